"""Fakes of the upstream and the peers of a target, in one process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random

from cranberryhold.addresses import Address
from cranberryhold.clock import SystemClock
from cranberryhold.datapath.connection_ids import TargetRef
from cranberryhold.exceptions import OutcomeUnknownError, PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.models import ClassKind, RequestClass, Service
from cranberryhold.membership.members import Member, Role
from cranberryhold.requests.exchange import Request, Response, bytes_body
from cranberryhold.requests.peer_pool import PeerPool, SlotReply
from cranberryhold.requests.pipeline import RequestPipeline

RING = KeyRing({1: bytes(range(32))})
SHORT = RequestClass(name="short")
LONG = RequestClass(
    name="long", kind=ClassKind.LONG, path_prefix="/upload", deadline_s=600
)
FEED = RequestClass(name="feed", kind=ClassKind.FEED, path_prefix="/feed")
ONCE = RequestClass(
    name="once",
    methods=("POST",),
    path_prefix="/lines",
    at_most_once=True,
    max_body_bytes=200_000,
)


def service(slots: int = 2, **more: object) -> Service:
    """Return a service with one class of each kind."""
    more.setdefault("classes", (LONG, FEED, ONCE, SHORT))
    return Service(
        name="khata-core",
        addresses=("127.0.0.1:4433",),
        slots_per_target=slots,
        **more,
    )


class FakeUpstream:
    """Records the requests that it receives and echoes their path and body.

    :param seconds: service time of a request without the header ``x-seconds``.
    :param response_suffix: bytes that follow the body in the response.
    """

    def __init__(self, seconds: float = 0.1, response_suffix: bytes = b"") -> None:
        self.seconds = seconds
        self.suffix = response_suffix
        self.started: list[str] = []
        self.finished: list[str] = []
        self.headers: tuple[tuple[str, str], ...] = ()
        self.error: Exception | None = None
        self.seconds_between_chunks = 0.0

    @asynccontextmanager
    async def __call__(self, request: Request) -> AsyncIterator[Response]:
        if self.error is not None:
            raise self.error
        self.started.append(request.path)
        body = b"".join([chunk async for chunk in request.body])
        await asyncio.sleep(float(request.header("x-seconds") or self.seconds))
        self.finished.append(request.path)
        text = f"{request.method} {request.path} ".encode() + body
        yield Response(200, self.headers, self._chunks(text, self.suffix))

    async def _chunks(self, *parts: bytes) -> AsyncIterator[bytes]:
        for part in parts:
            yield part
            if self.seconds_between_chunks:
                await asyncio.sleep(self.seconds_between_chunks)


class FakePeerNetwork:
    """Connects the pipelines of one process, with a delay between zones.

    :param delay: one-way delay between zones in seconds; a tenth of it within one.
    """

    def __init__(self, delay: float = 0.004) -> None:
        self.delay = delay
        self.members: list[Member] = []
        self.pipelines: dict[str, RequestPipeline] = {}
        self.lost: set[str] = set()
        self.frozen: set[str] = set()

    def client(self, member: Member) -> "FakePeerClient":
        return FakePeerClient(self, member)


class FakePeerClient:
    """The peer client of one target."""

    def __init__(self, peers: FakePeerNetwork, member: Member) -> None:
        self.peers = peers
        self.zone = member.zone

    async def _delay(self, peer: Member) -> None:
        same_zone = peer.zone == self.zone
        await asyncio.sleep(self.peers.delay * (0.1 if same_zone else 1.0))

    async def request_slot(self, peer: Member, request_class: str) -> SlotReply:
        await self._delay(peer)
        if peer.node_id in self.peers.lost:
            raise PeerError("lost", peer=peer.node_id)
        reply = self.peers.pipelines[peer.node_id].offer_slot(request_class)
        await self._delay(peer)
        return reply

    def withdraw(self, peer: Member, offer_id: int) -> None:
        self.peers.pipelines[peer.node_id].withdraw_offer(offer_id)

    @asynccontextmanager
    async def forward_request(
        self, peer: Member, request: Request, offer_id: int
    ) -> AsyncIterator[Response]:
        request.offer_id = offer_id
        await self._delay(peer)
        if peer.node_id in self.peers.lost:
            raise PeerError("lost", peer=peer.node_id)
        if peer.node_id in self.peers.frozen:
            await asyncio.sleep(10**6)
        async with self.peers.pipelines[peer.node_id](request) as response:
            await self._delay(peer)
            if peer.node_id in self.peers.lost:
                raise OutcomeUnknownError("lost", peer=peer.node_id)
            yield response


class TargetGroup:
    """Targets of one service whose pipelines are peers of each other."""

    def __init__(
        self,
        size: int,
        source: Callable[[], Service],
        seconds: float = 0.1,
        delay: float = 0.004,
    ) -> None:
        self.clock = SystemClock()
        self.peers = FakePeerNetwork(delay)
        self.upstreams = [FakeUpstream(seconds) for _ in range(size)]
        self.pipelines: list[RequestPipeline] = []
        self.pools: list[PeerPool] = []
        for number in range(size):
            self._add(number, source)

    @staticmethod
    def address(number: int) -> Address:
        return Address("127.0.0.1", 5000 + number)

    def _add(self, number: int, source: Callable[[], Service]) -> None:
        address = self.address(number)
        member = Member(
            f"t{number}",
            Role.SIDECAR,
            f"z{number % 3}",
            "r",
            Address("127.0.0.1", 6000 + number),
            address,
            service="khata-core",
            incarnation=100 + number,
        )
        self.peers.members.append(member)
        pool = PeerPool(
            lambda: self.peers.members,
            member.node_id,
            member.zone,
            self.peers.client(member),
            self.clock,
            Random(number),
        )
        pipeline = RequestPipeline(
            source,
            TargetRef(address, source().service_id, member.incarnation),
            RING,
            self.clock,
            self.upstreams[number],
            pool,
        )
        self.pools.append(pool)
        self.pipelines.append(pipeline)
        self.peers.pipelines[member.node_id] = pipeline


def post(path: str, body: bytes = b"", *headers: tuple[str, str]) -> Request:
    """Return a POST request."""
    return Request("POST", path, headers, bytes_body(body))


async def get_response(
    pipeline: RequestPipeline, request: Request
) -> tuple[int, str | None, bytes]:
    """Return status, outcome and body of the response to a request."""
    async with pipeline(request) as response:
        body = b"".join([chunk async for chunk in response.body])
        return response.status, response.outcome, body
