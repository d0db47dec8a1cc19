"""Runs a sidecar with the platform's store."""

import asyncio

from cranberryhold.flows.http_client import http_client
from cranberryhold.flows.settings import FlowSidecarSettings
from cranberryhold.flows.sidecar_daemon import SidecarDaemon
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.platform.heartbeats import HeartbeatCalls
from cranberryhold.platform.packets import PacketCodec
from cranberryhold.platform.settings import read_settings, sidecar_settings
from cranberryhold.platform.store import PlatformStore


def run_sidecar(
    settings: FlowSidecarSettings, telemetry: Telemetry, max_store_body_bytes: int
) -> None:
    """Run until the process is asked to stop."""

    async def run() -> None:
        address = settings.member.store
        async with http_client(address, max_store_body_bytes) as client:
            store = PlatformStore(client, telemetry.count)
            heartbeats = HeartbeatCalls(str(settings.target_address))
            daemon = SidecarDaemon(
                settings,
                PacketCodec(),
                store,
                heartbeats,
                telemetry,
                read_settings=lambda: sidecar_settings(read_settings()),
                on_settings=lambda settings: client.move_to(settings.member.store),
            )
            await daemon.run()

    asyncio.run(run())
