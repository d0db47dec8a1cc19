"""Components shared by the entry daemon and the sidecar daemon."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Generic, Protocol, TypeVar

from cranberryhold.addresses import Address
from cranberryhold.documents import encode_json
from cranberryhold.flows.announcement import Announcer
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.early_http import EarlyHttpServer
from cranberryhold.flows.evacuation.tracker import EvacuationTracker
from cranberryhold.flows.http_exchange import ready_response
from cranberryhold.flows.http_server import Request, Response, serving_http
from cranberryhold.flows.leased_store import LeasedStore
from cranberryhold.flows.member import Member
from cranberryhold.flows.member_list import MemberEntry, Role
from cranberryhold.flows.metrics_page import CONTENT_TYPE, metrics_page
from cranberryhold.flows.settings import MemberSettings
from cranberryhold.flows.settings_watch import SettingsWatch
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.flows.udp import SocketHandler
from cranberryhold.structs import Struct

SWEEP_INTERVAL_S = 2.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
METRICS_PATH = "/metrics"
STATE_PATH = "/state"

S = TypeVar("S", bound=Struct)


@asynccontextmanager
async def reading_sockets(socket_handlers: list[SocketHandler]) -> AsyncIterator[None]:
    """Pass datagrams from open sockets to their handlers inside the context."""
    loop = asyncio.get_running_loop()
    for socket, handler in socket_handlers:
        loop.add_reader(socket.fileno(), socket.read, handler)
    try:
        yield
    finally:
        for socket, _ in socket_handlers:
            loop.remove_reader(socket.fileno())


async def sweep_regularly(*sweeps: Callable[[], None]) -> None:
    """Remove expired state at regular intervals until cancelled."""
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        for sweep in sweeps:
            sweep()


async def run_until_exit(daemon: Awaitable[None]) -> None:
    """Run a daemon, then block stop and reload signals until the process exits.

    A signal that arrives during the exit would otherwise kill the process, and its
    exit status would report a failed stop.
    """
    try:
        await daemon
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, signal.SIGHUP))


class StopSignal:
    """Waits for SIGTERM or SIGINT; a second SIGINT ends the process immediately.

    A repeated SIGTERM is ignored, as overlapping rollouts send it more than once.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._event = asyncio.Event()

    @property
    def received(self) -> bool:
        """Whether the process has been told to stop."""
        return self._event.is_set()

    def install(self) -> None:
        """Install the signal handlers."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._handle, number)

    async def wait(self) -> None:
        """Wait until the process is told to stop."""
        await self._event.wait()

    def _handle(self, number: int) -> None:
        self._telemetry.event("stop-requested", signal=signal.Signals(number).name)
        if self._event.is_set() and number == signal.SIGINT:
            raise SystemExit(1)
        self._event.set()


class MemberCore(Protocol[S]):
    """The parts of a daemon's state that all daemons have."""

    @property
    def settings(self) -> S:
        """Settings of the daemon."""

    @property
    def telemetry(self) -> Telemetry:
        """Log and counters."""

    @property
    def member(self) -> Member:
        """The local process as a member."""

    def apply_settings(self, settings: S) -> None:
        """Apply changed settings."""


class DaemonComponents(Generic[S]):
    """The components of a flow daemon that do not depend on its role.

    :param role: role of the daemon in its entry in the store.
    :param core: state of the daemon.
    :param member_settings: settings that all flow daemons have.
    :param store: the store.
    :param restart_only: prefixes of the names of settings that need a restart.
    :param read_settings: rereads the settings.
    :param on_settings: called with changed settings.
    """

    def __init__(
        self,
        role: Role,
        core: MemberCore[S],
        member_settings: MemberSettings,
        store: LeasedStore,
        *,
        restart_only: tuple[str, ...],
        read_settings: Callable[[], S],
        on_settings: Callable[[S], None],
    ) -> None:
        def apply(settings: S) -> None:
            core.apply_settings(settings)
            on_settings(settings)

        member, telemetry = core.member, core.telemetry
        self.stop = StopSignal(telemetry)
        self.settings_watch = SettingsWatch(
            core.settings,
            read_settings,
            apply,
            restart_only=restart_only,
            telemetry=telemetry,
        )
        self.announcer = Announcer(
            member.ip,
            MemberEntry(role, member_settings.zone, member.process),
            store,
            telemetry,
            dependency=Dependency("store", telemetry, time.monotonic),
            random=member.random,
            on_members=member.apply_member_list,
            on_registration=member.record_registration,
        )


def state_response(
    settings: MemberSettings,
    role: Role,
    configuration_version: int,
    evacuations: EvacuationTracker,
) -> Response:
    """Return what a daemon knows of the operator's writes, as JSON.

    :param configuration_version: newest version that the daemon knows of.
    """
    state = {
        "name": settings.name,
        "role": role,
        "zone": settings.zone,
        "configuration_version": configuration_version,
        "evacuation": evacuations.snapshot(),
    }
    return Response(200, encode_json(state))


@asynccontextmanager
async def serving_member_http(
    settings: MemberSettings,
    telemetry: Telemetry,
    *,
    is_ready: Callable[[], bool],
    gauges: Callable[[], Mapping[str, float]],
    peer_handler: Callable[[Request], Awaitable[Response]],
    early_ready: EarlyHttpServer | None = None,
) -> AsyncIterator[None]:
    """Serve readiness, metrics and requests from peers inside the context.

    :param early_ready: server that has reported the readiness until now, if any.
    """

    async def ready(request: Request) -> Response:
        return ready_response(request, is_ready)

    async def metrics(request: Request) -> Response:
        if request.path != METRICS_PATH:
            return Response(404)
        return Response(200, metrics_page(telemetry, gauges), CONTENT_TYPE)

    addresses: list[tuple[Address, Callable[[Request], Awaitable[Response]]]] = [
        (settings.peer_address, peer_handler),
        (settings.metrics_address, metrics),
    ]
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(
            serving_http(settings.ready_address, ready, telemetry, early_ready)
        )
        for address, handler in addresses:
            await stack.enter_async_context(serving_http(address, handler, telemetry))
        yield
