"""Runs a sidecar with the platform's store."""

import asyncio

from cranberryhold.flows.early_http import EarlyHttpServer
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.member_daemon import run_until_exit
from cranberryhold.flows.sidecar_core import SidecarCore
from cranberryhold.flows.sidecar_daemon import SidecarDaemon
from cranberryhold.flows.store_epoch import EpochTracker
from cranberryhold.flows.target_monitor import TargetMonitor
from cranberryhold.flows.udp import SocketHandler
from cranberryhold.platform.settings import read_settings, sidecar_settings
from cranberryhold.platform.store import PlatformStore


def run_sidecar(
    core: SidecarCore,
    monitor: TargetMonitor,
    socket_handlers: list[SocketHandler],
    early_http: EarlyHttpServer,
    max_store_body_bytes: int,
) -> None:
    """Run until the process is told to stop."""

    async def run() -> None:
        address = core.settings.member.store
        client = HttpClient(address, max_store_body_bytes)
        epochs = EpochTracker(core.telemetry, lambda: None)
        daemon = SidecarDaemon(
            core,
            PlatformStore(client, core.telemetry.count, epochs.record),
            monitor,
            read_settings=lambda: sidecar_settings(read_settings()),
            on_settings=lambda settings: client.set_address(settings.member.store),
        )
        await daemon.run(socket_handlers, early_http)

    asyncio.run(run_until_exit(run()))
