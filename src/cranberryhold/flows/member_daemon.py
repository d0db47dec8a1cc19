"""What the entry daemon and the sidecar daemon have in common."""

import asyncio
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager

from cranberryhold.addresses import Address
from cranberryhold.flows.announcement import Announcer
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.early_forwarding import Reader
from cranberryhold.flows.http_server import Request, Response, serving_http
from cranberryhold.flows.leased_store import LeasedStore
from cranberryhold.flows.member import Member
from cranberryhold.flows.member_list import MemberEntry, Role
from cranberryhold.flows.metrics_page import CONTENT_TYPE, metrics_page
from cranberryhold.flows.settings import MemberSettings
from cranberryhold.flows.telemetry import Telemetry

SWEEP_INTERVAL_S = 2.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
METRICS_PATH = "/metrics"
READY_PATH = "/readyz"


@asynccontextmanager
async def reading_sockets(readers: list[Reader]) -> AsyncIterator[None]:
    """Hand the datagrams of open sockets on inside the context."""
    loop = asyncio.get_running_loop()
    for socket, take in readers:
        loop.add_reader(socket.fileno(), socket.read, take)
    try:
        yield
    finally:
        for socket, _ in readers:
            loop.remove_reader(socket.fileno())


def announcer_of(
    role: Role,
    member: Member,
    settings: MemberSettings,
    store: LeasedStore,
    telemetry: Telemetry,
    dependency: Dependency,
) -> Announcer:
    """Return what keeps the member's entry in the store."""
    return Announcer(
        member.ip,
        MemberEntry(role, settings.zone, member.process),
        store,
        telemetry,
        dependency=dependency,
        random=member.random,
        on_members=member.note_listed,
    )


async def sweep_regularly(*sweeps: Callable[[], None]) -> None:
    """Forget what is old, until cancelled."""
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        for sweep in sweeps:
            sweep()


async def run_to_exit(work: Awaitable[None]) -> None:
    """Run a daemon, after whose end the process exits.

    A signal that arrives during the exit is held back: it would end the process as
    if the stop had failed.
    """
    try:
        await work
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, signal.SIGHUP))


class StopSignal:
    """Waits for SIGTERM or SIGINT; a second SIGINT ends the process at once.

    A repeated SIGTERM comes from overlapping rollouts, and changes nothing.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._event = asyncio.Event()

    @property
    def received(self) -> bool:
        """Whether the process was asked to stop."""
        return self._event.is_set()

    def install(self) -> None:
        """Handle the signals."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._take, number)

    async def wait(self) -> None:
        """Return when the process was asked to stop."""
        await self._event.wait()

    def _take(self, number: int) -> None:
        self._telemetry.event("stop-requested", signal=signal.Signals(number).name)
        if self._event.is_set() and number == signal.SIGINT:
            raise SystemExit(1)
        self._event.set()


@asynccontextmanager
async def serving_member_http(
    settings: MemberSettings,
    telemetry: Telemetry,
    *,
    is_ready: Callable[[], bool],
    gauges: Callable[[], Mapping[str, float]],
    peer_pages: Callable[[Request], Awaitable[Response]],
) -> AsyncIterator[None]:
    """Serve readiness, metrics and what peers ask for inside the context."""

    async def ready(request: Request) -> Response:
        if request.path != READY_PATH:
            return Response(404)
        return Response(200 if is_ready() else 503)

    async def metrics(request: Request) -> Response:
        if request.path != METRICS_PATH:
            return Response(404)
        return Response(200, metrics_page(telemetry, gauges), CONTENT_TYPE)

    addresses: list[tuple[Address, Callable[[Request], Awaitable[Response]]]] = [
        (settings.ready_address, ready),
        (settings.peer_address, peer_pages),
        (settings.metrics_address, metrics),
    ]
    async with AsyncExitStack() as stack:
        for address, handler in addresses:
            await stack.enter_async_context(serving_http(address, handler, telemetry))
        yield
