"""Serves an aiohttp application in a stand-in."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from cranberryhold.addresses import Address


@asynccontextmanager
async def serving_application(
    application: web.Application,
    listen: Address,
    *,
    shutdown_timeout_s: float,
    handler_cancellation: bool = False,
) -> AsyncIterator[Address]:
    """Serve until the context ends and yield the address; port 0 takes a free port.

    :param shutdown_timeout_s: seconds that open requests have to complete at the end.
    :param handler_cancellation: whether a handler is cancelled when its client
        disconnects.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        shutdown_timeout=shutdown_timeout_s,
        handler_cancellation=handler_cancellation,
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, listen.ip, listen.port)
        await site.start()
        ip, port = runner.addresses[0][:2]
        yield Address(ip, port)
    finally:
        await runner.cleanup()
