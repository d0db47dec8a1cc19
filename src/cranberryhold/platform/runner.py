"""Builds and runs a flow daemon from the platform's settings."""

import asyncio
import sys
import time

from cranberryhold.exceptions import CranberryholdError
from cranberryhold.flows.http_client import http_client
from cranberryhold.flows.telemetry import NonBlockingOutput, Telemetry
from cranberryhold.platform.heartbeats import HeartbeatCalls
from cranberryhold.platform.operator_configuration import OperatorConfiguration
from cranberryhold.platform.packets import PacketCodec
from cranberryhold.platform.settings import (
    PlatformSettings,
    member_settings,
    read_settings,
    sidecar_settings,
)
from cranberryhold.platform.store import PlatformStore

ROLES = ("entry", "sidecar")
MAX_STORE_BODY_BYTES = 4 << 20


async def _run_entry(settings: PlatformSettings, telemetry: Telemetry) -> None:
    from cranberryhold.flows.entry_daemon import EntryDaemon

    member = member_settings(settings)
    async with http_client(member.store, MAX_STORE_BODY_BYTES) as client:
        store = PlatformStore(client, telemetry.count)
        await EntryDaemon(
            member, PacketCodec(), store, OperatorConfiguration(), telemetry
        ).run()


async def _run_sidecar(settings: PlatformSettings, telemetry: Telemetry) -> None:
    from cranberryhold.flows.sidecar_daemon import SidecarDaemon

    sidecar = sidecar_settings(settings)
    async with http_client(sidecar.member.store, MAX_STORE_BODY_BYTES) as client:
        store = PlatformStore(client, telemetry.count)
        await SidecarDaemon(
            sidecar,
            PacketCodec(),
            store,
            HeartbeatCalls(str(sidecar.target_address)),
            telemetry,
        ).run()


def main() -> int:
    """Run the daemon until it is asked to stop; return the exit code."""
    role = sys.argv[1] if len(sys.argv) == 2 else ""
    if role not in ROLES:
        sys.stderr.write(f"usage: python -m cranberryhold.platform {'|'.join(ROLES)}\n")
        return 2
    output = NonBlockingOutput(sys.stdout.fileno())
    telemetry = Telemetry(role, output, time.monotonic)
    try:
        settings = read_settings()
        telemetry = Telemetry(settings.node_name, output, time.monotonic)
        run = _run_entry if role == "entry" else _run_sidecar
        telemetry.event("started", role=role, zone=settings.zone, ip=settings.ip)
        asyncio.run(run(settings, telemetry))
    except CranberryholdError as error:
        telemetry.event("start-failed", level="ERROR", error=error)
        return 1
    telemetry.event("stopped", role=role)
    return 0
