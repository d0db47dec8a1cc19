"""Runs an entry instance with the platform's store."""

import asyncio

from cranberryhold.flows.early_http import EarlyHttpServer
from cranberryhold.flows.entry_core import EntryCore
from cranberryhold.flows.entry_daemon import EntryDaemon
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.leased_store import BootstrapState
from cranberryhold.flows.member_daemon import run_until_exit
from cranberryhold.flows.udp import SocketHandler
from cranberryhold.platform.settings import member_settings, read_settings
from cranberryhold.platform.store import PlatformStore


def run_entry(
    core: EntryCore,
    socket_handlers: list[SocketHandler],
    bootstrap: BootstrapState | None,
    early_ready: EarlyHttpServer,
    max_store_body_bytes: int,
) -> None:
    """Run until the process is told to stop."""

    async def run() -> None:
        client = HttpClient(core.settings.store, max_store_body_bytes)
        store = PlatformStore(client, core.telemetry.count, core.epochs.record)
        daemon = EntryDaemon(
            core,
            store,
            read_settings=lambda: member_settings(read_settings()),
            on_settings=lambda settings: client.set_address(settings.store),
        )
        position = bootstrap.position if bootstrap is not None else None
        await daemon.run(socket_handlers, position, early_ready)

    asyncio.run(run_until_exit(run()))
