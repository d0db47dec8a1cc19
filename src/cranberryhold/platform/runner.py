"""Builds and runs a flow daemon from the platform's settings.

Sockets are opened first. Packets and heartbeats are already handled while asyncio and
the modules that need it are imported.
"""

from __future__ import annotations

import _signal as signal
import gc
import sys
import time

from cranberryhold.exceptions import CranberryholdError
from cranberryhold.flows.telemetry import NonBlockingOutput, Telemetry
from cranberryhold.platform.settings import (
    PlatformSettings,
    member_settings,
    read_admission_mode,
    read_settings,
    sidecar_settings,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterator

    from cranberryhold.flows.early_http import EarlyHttpServer

ROLES = ("entry", "sidecar")
MAX_STORE_BODY_BYTES = 4 << 20
# What asyncio imports, in its order, so that no import of a module takes long.
MODULES_OF_ASYNCIO = (
    "collections",
    "functools",
    "enum",
    "contextlib",
    "re",
    "traceback",
    "string",
    "threading",
    "logging",
    "concurrent.futures",
    "selectors",
    "socket",
    "locale",
    "signal",
    "subprocess",
    "ast",
    "dis",
    "inspect",
    "contextvars",
    "typing",
    "asyncio",
    "httptools",
)


def _run_entry(settings: PlatformSettings, telemetry: Telemetry) -> None:
    from cranberryhold.flows.early_forwarding import (
        forward_while_loading,
        import_modules,
    )
    from cranberryhold.flows.member_list import MEMBERSHIP_PREFIX
    from cranberryhold.flows.poller import Poller
    from cranberryhold.platform.bootstrap import BootstrapReading
    from cranberryhold.platform.operator_configuration import OperatorConfiguration

    def log_error(error: Exception) -> None:
        telemetry.event("first-reading-failed", error=error)

    member = member_settings(settings)
    source = OperatorConfiguration(read_admission_mode())
    poller = Poller()
    has_evacuations = member.evacuation_limit_s is not None
    # The store answers while the modules that forward packets are imported.
    reading = BootstrapReading(
        poller,
        member.store,
        source.key,
        MEMBERSHIP_PREFIX,
        log_error,
        operator_prefix=source.prefix if has_evacuations else None,
    )
    from cranberryhold.flows.entry_core import EntryCore
    from cranberryhold.platform.packets import PacketCodec

    core = EntryCore(member, PacketCodec(), source, telemetry)
    ready_servers: list[EarlyHttpServer] = []

    def load() -> Iterator[None]:
        from cranberryhold.flows.early_http import EarlyHttpServer
        from cranberryhold.flows.http_exchange import ready_response

        ready_servers.append(EarlyHttpServer(member.ready_address))
        ready_servers[0].serve(
            poller, lambda request: ready_response(request, core.is_ready), telemetry
        )
        yield
        modules = (*MODULES_OF_ASYNCIO, "cranberryhold.platform.entry_runner")
        yield from import_modules(modules)

    with core.open_sockets() as socket_handlers:
        bootstrap = forward_while_loading(
            core, socket_handlers, poller, reading, load()
        )
        from cranberryhold.platform.entry_runner import run_entry

        _collect_garbage()
        run_entry(
            core, socket_handlers, bootstrap, ready_servers[0], MAX_STORE_BODY_BYTES
        )


def _run_sidecar(settings: PlatformSettings, telemetry: Telemetry) -> None:
    from cranberryhold.flows.early_http import EarlyHttpServer

    own = sidecar_settings(settings)
    # A heartbeat that is refused is repeated only later.
    http = EarlyHttpServer(own.heartbeat_address)
    from cranberryhold.flows.early_forwarding import (
        import_modules,
        serve_target_while_loading,
    )
    from cranberryhold.flows.early_presence import EarlyPresenceCheck
    from cranberryhold.flows.poller import Poller
    from cranberryhold.flows.sidecar_core import SidecarCore
    from cranberryhold.flows.target_monitor import TargetMonitor
    from cranberryhold.platform.heartbeats import PlatformHeartbeatReader
    from cranberryhold.platform.packets import PacketCodec

    core = SidecarCore(own, PacketCodec(), telemetry)
    monitor = TargetMonitor(core, PlatformHeartbeatReader(str(own.target_address)))
    poller = Poller()
    with core.open_sockets() as socket_handlers:
        http.serve(poller, monitor.handle_request, telemetry)

        def record_check(listens: bool | None) -> None:
            if monitor.record_check(listens, None):
                monitor.presume_target()

        monitor.start_check()
        check = EarlyPresenceCheck(poller, own.target_address, record_check)
        serve_target_while_loading(
            core,
            socket_handlers,
            poller,
            import_modules(
                (*MODULES_OF_ASYNCIO, "cranberryhold.platform.sidecar_runner")
            ),
        )
        check.cancel()
        from cranberryhold.platform.sidecar_runner import run_sidecar

        _collect_garbage()
        run_sidecar(core, monitor, socket_handlers, http, MAX_STORE_BODY_BYTES)


def _collect_garbage() -> None:
    """Collect garbage from now on, but not among the imported modules."""
    gc.freeze()
    gc.enable()


def main() -> int:
    """Run the daemon until it is told to stop; return the exit code."""
    role = sys.argv[1] if len(sys.argv) == 2 else ""
    if role not in ROLES:
        sys.stderr.write(f"usage: python -m cranberryhold.platform {'|'.join(ROLES)}\n")
        return 2
    # A reload request before the daemon handles the signal can be ignored, as the
    # settings are about to be read anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    output = NonBlockingOutput(sys.stdout.fileno())
    telemetry = Telemetry(role, output, time.monotonic)
    try:
        settings = read_settings()
        telemetry = Telemetry(settings.node_name, output, time.monotonic)
        telemetry.event("started", role=role, zone=settings.zone, ip=settings.ip)
        run = _run_entry if role == "entry" else _run_sidecar
        run(settings, telemetry)
    except CranberryholdError as error:
        telemetry.event("start-failed", level="ERROR", error=error)
        return 1
    telemetry.event("stopped", role=role)
    return 0
