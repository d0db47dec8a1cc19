"""Serving of an aiohttp application by a stand-in."""

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
    """Listen until the context ends; yields the address (port 0: any free one).

    :param shutdown_timeout_s: seconds that open requests get at the end.
    :param handler_cancellation: whether a handler is cancelled when its client goes.
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
