"""Runs a flow daemon on the platform: ``python -m cranberryhold.platform ROLE``."""

import argparse
import asyncio
import sys
import time

from cranberryhold.exceptions import CranberryholdError
from cranberryhold.flows.http_client import http_client
from cranberryhold.flows.telemetry import NonBlockingOutput, Telemetry
from cranberryhold.logs import setup_logs
from cranberryhold.platform.heartbeats import HeartbeatCalls
from cranberryhold.platform.operator_configuration import OperatorConfiguration
from cranberryhold.platform.packets import PacketCodec
from cranberryhold.platform.settings import (
    member_settings,
    read_settings,
    sidecar_settings,
)
from cranberryhold.platform.store import PlatformStore

ROLES = ("entry", "sidecar")
MAX_STORE_BODY_BYTES = 4 << 20


async def _run_entry(telemetry: Telemetry) -> None:
    from cranberryhold.flows.entry_daemon import EntryDaemon

    settings = member_settings(read_settings())
    async with http_client(settings.store, MAX_STORE_BODY_BYTES) as client:
        store = PlatformStore(client, telemetry.count)
        telemetry.event("started", role="entry", name=settings.name, zone=settings.zone)
        await EntryDaemon(
            settings, PacketCodec(), store, OperatorConfiguration(), telemetry
        ).run()


async def _run_sidecar(telemetry: Telemetry) -> None:
    from cranberryhold.flows.sidecar_daemon import SidecarDaemon

    settings = sidecar_settings(read_settings())
    member = settings.member
    async with http_client(member.store, MAX_STORE_BODY_BYTES) as client:
        store = PlatformStore(client, telemetry.count)
        telemetry.event("started", role="sidecar", name=member.name, zone=member.zone)
        await SidecarDaemon(
            settings,
            PacketCodec(),
            store,
            HeartbeatCalls(str(settings.target_address)),
            telemetry,
        ).run()


def main() -> int:
    """Run the daemon until it is asked to stop; return the exit code."""
    parser = argparse.ArgumentParser(prog="cranberryhold.platform", description=__doc__)
    parser.add_argument("role", choices=ROLES)
    role = parser.parse_args().role
    setup_logs(stream=NonBlockingOutput(sys.stdout.fileno()))
    telemetry = Telemetry(time.monotonic)
    try:
        asyncio.run(
            _run_entry(telemetry) if role == "entry" else _run_sidecar(telemetry)
        )
    except CranberryholdError as error:
        telemetry.event("start-failed", level="ERROR", error=error)
        return 1
    telemetry.event("stopped", role=role)
    return 0


if __name__ == "__main__":
    sys.exit(main())
