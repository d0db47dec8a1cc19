"""What the entry daemon and the sidecar daemon have in common."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random
from socket import inet_aton, inet_ntoa

from cranberryhold.addresses import Address
from cranberryhold.flows.announcement import Announcer, ListedMembers, MemberEntry, Role
from cranberryhold.flows.http_server import Request, Response, serving_http
from cranberryhold.flows.leased_store import LeasedStore
from cranberryhold.flows.metrics_page import CONTENT_TYPE, metrics_page
from cranberryhold.flows.peer_messages import (
    Leaving,
    PeerList,
    PeerMessage,
    decode_message,
    encode_message,
)
from cranberryhold.flows.peers import Peers
from cranberryhold.flows.settings import MemberSettings
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.flows.udp import UdpSocket

SWEEP_INTERVAL_S = 2.0
METRICS_PATH = "/metrics"
READY_PATH = "/readyz"
_PROCESS_BITS = 32


def boot_time() -> float:
    """Return seconds of a clock that also counts while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Member:
    """The own process as a member: its peers, its entry in the store, its messages.

    :param role: kind of daemon.
    :param settings: settings of the daemon.
    :param store: the store.
    :param telemetry: log and counters.
    :param on_listed: takes members that were named for the first time.
    """

    def __init__(
        self,
        role: Role,
        settings: MemberSettings,
        store: LeasedStore,
        telemetry: Telemetry,
        *,
        on_listed: Callable[[list[bytes]], None],
    ) -> None:
        self._settings = settings
        self._on_listed = on_listed
        self._telemetry = telemetry
        self._random = Random()
        self._process = self._random.getrandbits(_PROCESS_BITS)
        self._ip = inet_aton(settings.peer_address.ip)
        self._peers = Peers(self._ip, settings.zone, time.monotonic)
        self._socket: UdpSocket | None = None
        self._announcer = Announcer(
            self._ip,
            MemberEntry(role, settings.zone, self._process),
            store,
            telemetry,
            random=self._random,
            on_members=self._take_listed,
        )

    @property
    def ip(self) -> bytes:
        """Packed IPv4 number of this instance."""
        return self._ip

    @property
    def process(self) -> int:
        """Random number of this process."""
        return self._process

    @property
    def random(self) -> Random:
        """Source of jitter."""
        return self._random

    @property
    def peers(self) -> Peers:
        """The other members."""
        return self._peers

    @property
    def announcer(self) -> Announcer:
        """Keeps this member's entry in the store."""
        return self._announcer

    def attach(
        self, socket: UdpSocket, take: Callable[[bytes, PeerMessage], None]
    ) -> None:
        """Receive messages at a socket, and hand on what is not handled here."""
        self._socket = socket

        def receive(datagram: bytes, ip: bytes) -> None:
            message = decode_message(datagram)
            if message is None:
                self._telemetry.count("messages_malformed")
            elif isinstance(message, PeerList):
                self._note_listed(message.entries, message.sidecars, "peer")
            elif isinstance(message, Leaving):
                if self._peers.note_leaving(ip, message):
                    self._telemetry.event(
                        "peer-left", peer=inet_ntoa(ip), flows=message.flows
                    )
            else:
                take(ip, message)

        socket.read_with(receive)

    def send(self, ip: bytes, message: PeerMessage) -> None:
        """Send a message to a member."""
        self.send_all((ip,), message)

    def send_all(self, ips: Iterable[bytes], message: PeerMessage) -> None:
        """Send a message to several members."""
        if self._socket is None:
            return
        datagram = encode_message(message)
        port = self._settings.peer_address.port
        for ip in ips:
            if ip != self._ip:
                self._socket.send(datagram, ip, port)

    def welcome(self, ip: bytes) -> None:
        """Tell a process that was not known before which members there are."""
        self._telemetry.event(
            "peer-joined",
            peer=inet_ntoa(ip),
            entries=len(self._peers.entries),
            sidecars=len(self._peers.sidecars),
        )
        self.send(ip, self._peers.list_for_newcomer())

    def note_seeds(self) -> None:
        """Count the seeds of the settings as members that may exist."""
        self._peers.note_listed([inet_aton(s.ip) for s in self._settings.seeds], ())

    def leave(self, flows: int) -> None:
        """Tell the other members that this process ends.

        :param flows: open flows that the target beside this process still holds.
        """
        ips = [*self._peers.entry_ips(), *self._peers.sidecar_ips()]
        self.send_all(ips, Leaving(self._process, flows))

    async def sweep_regularly(self, sweep: Callable[[], None]) -> None:
        """Forget what is old, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for ip in self._peers.forget_silent():
                self._telemetry.event("peer-forgotten", peer=inet_ntoa(ip))
            sweep()

    def _take_listed(self, members: ListedMembers) -> None:
        self._note_listed(members.entries, members.sidecars, "store")
        self._peers.note_list_read()

    def _note_listed(
        self, entries: Iterable[bytes], sidecars: Iterable[bytes], source: str
    ) -> None:
        new = self._peers.note_listed(entries, sidecars)
        if new:
            self._telemetry.event(
                "peers-listed", source=source, new=",".join(map(inet_ntoa, new[:16]))
            )
            self._on_listed(new)


class StopSignal:
    """Waits for SIGTERM or SIGINT; a second one ends the process at once."""

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
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take, number)

    async def wait(self) -> None:
        """Return when the process was asked to stop."""
        await self._event.wait()

    def _take(self, number: int) -> None:
        self._telemetry.event("stop-requested", signal=signal.Signals(number).name)
        if self._event.is_set():
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
