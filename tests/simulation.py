"""A small deployment in one process and in virtual time, for the scenarios.

Routers, sidecars and pipelines are the product's own. The fabric, the links, the
upstreams and the callers are fakes: a datagram is a delayed function call.
"""

import asyncio
import json
import ssl
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated, QuicEvent

from cranberryhold.addresses import Address
from cranberryhold.clock import SystemClock
from cranberryhold.connection_ids import TargetRef
from cranberryhold.exchange import Request, Response
from cranberryhold.keys import KeyRing
from cranberryhold.manifest import Service
from cranberryhold.members import Member, MemberState, MemberTable, Role
from cranberryhold.packets import Direction, ForwardCodec
from cranberryhold.peer_pool import PeerPool
from cranberryhold.pipeline import RequestPipeline
from cranberryhold.routing import DropReason, Router
from cranberryhold.sidecar import Sidecar, quic_configuration
from cranberryhold.targets import TargetTables
from tests.aioquic_client import AioquicClient
from tests.pipeline_fakes import FakePeerNetwork
from tests.waiting import until

KEYS = KeyRing({1: bytes(range(32))})
FEED_INTERVAL_S = 30.0
ONE_WAY_TO_CALLER_S = 0.001
WITHIN_ZONE_S = 0.0002


@dataclass(slots=True)
class Network:
    """Delays and losses of the links.

    :param between_zones_s: one-way delay between two zones, in seconds.
    :param jitter_s: largest additional delay.
    :param loss: share of datagrams lost between zones.
    """

    rng: Random
    between_zones_s: float
    jitter_s: float = 0.0
    loss: float = 0.0
    frozen: set[str] = field(default_factory=set)
    dead: set[str] = field(default_factory=set)
    held: dict[str, list[Callable[[], None]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    cut_zones: set[str] = field(default_factory=set)

    def send(self, to: str, delay_s: float, deliver: Callable[[], None]) -> None:
        """Deliver to a process after a delay, unless the datagram is lost."""
        if delay_s > ONE_WAY_TO_CALLER_S and self.rng.random() < self.loss:
            return
        delay_s += self.rng.random() * self.jitter_s
        asyncio.get_running_loop().call_later(delay_s, self._arrive, to, deliver)

    def resume(self, name: str) -> None:
        """Resume a frozen process; its socket buffer is read first."""
        self.frozen.discard(name)
        for deliver in self.held.pop(name, []):
            self._arrive(name, deliver)

    def _arrive(self, to: str, deliver: Callable[[], None]) -> None:
        if to in self.dead:
            return
        if to in self.frozen:
            self.held[to].append(deliver)
            return
        deliver()


class SimulatedEntry:
    """An entry instance: the product's router between two fake sockets."""

    def __init__(self, simulation: "Simulation", member: Member) -> None:
        self.simulation = simulation
        self.member = member
        self.members = MemberTable()
        self.tables = TargetTables(self.members, simulation.clock)
        self.router = Router(KEYS, self.tables)
        self.to_target = ForwardCodec(KEYS, Direction.TO_TARGET)
        self.to_caller = ForwardCodec(KEYS, Direction.TO_CALLER)
        self.drops: Counter[DropReason] = Counter()

    def apply(self, services: Iterable[Service]) -> None:
        self.tables.set_services(s.name for s in services)

    def from_caller(self, service: Service, packet: bytes, caller: Address) -> None:
        route = self.router.route(self.tables[service.name], packet)
        if isinstance(route, DropReason):
            self.drops[route] += 1
            return
        header = self.to_target.header(caller, service.endpoints[0])
        self.simulation.to_target(self.member, Address.unpack(route), header + packet)

    def from_target(self, datagram: bytes) -> None:
        reply = self.to_caller.decode(datagram)
        assert reply is not None
        self.simulation.to_caller(reply.caller, reply.packet)


class _TargetSocket:
    """The sidecar's socket: sends to entry instances and to peers."""

    def __init__(self, simulation: "Simulation", member: Member) -> None:
        self.simulation = simulation
        self.member = member

    def sendto(self, datagram: bytes, address: tuple[str, int]) -> None:
        self.simulation.from_target(self.member, Address(*address), datagram)


class SimulatedTarget:
    """An upstream instance with its sidecar."""

    def __init__(
        self, simulation: "Simulation", member: Member, service: Service
    ) -> None:
        self.simulation = simulation
        self.member = member
        self.service = service
        self.members = MemberTable()
        self.runs: Counter[str] = Counter()
        ref = TargetRef(member.forward_address, service.service_id, member.incarnation)
        peers = simulation.peers[service.name]
        pool = PeerPool(
            lambda: self.members.of_service(service.name),
            member.node_id,
            member.zone,
            peers.client(member),
            simulation.clock,
            Random(member.node_id),
        )
        self.pipeline = RequestPipeline(
            lambda: simulation.services.get(service.name),
            ref,
            KEYS,
            simulation.clock,
            self.run,
            pool,
        )
        peers.pipelines[member.node_id] = self.pipeline
        self.sidecar = Sidecar(
            target=ref,
            zone=member.zone,
            node_id=member.node_id,
            service=service.name,
            keys=KEYS,
            members=self.members,
            clock=simulation.clock,
            configuration=quic_configuration(*simulation.certificate),
            handler=self.pipeline,
        )
        self.sidecar.connection_made(_TargetSocket(simulation, member))
        self.sidecar.apply_service(service)

    @asynccontextmanager
    async def run(self, request: Request) -> AsyncIterator[Response]:
        """Answer like the users' services: feeds, lines, slow requests."""
        body = b"".join([chunk async for chunk in request.body])
        path, _, query = request.path.partition("?")
        if path == "/feed":
            yield Response(200, (), self.feed())
            return
        self.runs[f"{request.method} {path} {body.decode()}"] += 1
        if query.startswith("seconds="):
            await asyncio.sleep(float(query.removeprefix("seconds=")))
        answer = {"service": self.service.name, "path": path, "body": body.decode()}
        yield Response(200, (), _one(json.dumps(answer).encode()))

    async def feed(self) -> AsyncIterator[bytes]:
        number = 0
        while True:
            yield b"%d\n" % number
            number += 1
            await asyncio.sleep(FEED_INTERVAL_S)


async def _one(data: bytes) -> AsyncIterator[bytes]:
    yield data


class SimulatedCaller(AioquicClient):
    """aioquic's own client behind the fabric."""

    terminated: ConnectionTerminated | None = None

    def quic_event_received(self, event: QuicEvent) -> None:
        if isinstance(event, ConnectionTerminated):
            self.terminated = event
        super().quic_event_received(event)

    def feed_numbers(self, stream_id: int) -> list[int]:
        """Return the numbers of a feed's lines that have arrived."""
        _, data = self.partial_responses.get(stream_id, (0, b""))
        return [int(line) for line in data.split()]


@dataclass(slots=True)
class OpenFeed:
    """A feed that a caller keeps open."""

    caller: SimulatedCaller
    stream_id: int
    opened_at: float

    @property
    def covered_s(self) -> float:
        """Seconds for which the feed's lines account."""
        return len(self.numbers) * FEED_INTERVAL_S

    @property
    def numbers(self) -> list[int]:
        return self.caller.feed_numbers(self.stream_id)


class _CallerSocket:
    def __init__(
        self, simulation: "Simulation", service: Service, caller: Address
    ) -> None:
        self.simulation, self.service, self.caller = simulation, service, caller

    def sendto(self, packet: bytes, _: object) -> None:
        self.simulation.from_caller(self.service, packet, self.caller)


class Simulation:
    """Entry instances, targets and callers of one user.

    :param zones: data centres.
    :param between_zones_s: one-way delay between two of them.
    :param certificate: paths of a certificate and its key.
    """

    def __init__(
        self, zones: list[str], between_zones_s: float, certificate: tuple[str, str]
    ) -> None:
        self.zones = zones
        self.certificate = certificate
        self.clock = SystemClock()
        self.network = Network(Random(1), between_zones_s)
        self.rng = Random(2)
        self.services: dict[str, Service] = {}
        self.entries: dict[str, SimulatedEntry] = {}
        self.targets: dict[str, SimulatedTarget] = {}
        self.sprayed_to: list[str] = []
        self.callers: dict[Address, SimulatedCaller] = {}
        self.feeds: list[OpenFeed] = []
        self.members: dict[str, Member] = {}
        self.cut_off: set[str] = set()
        self.peers: dict[str, FakePeerNetwork] = defaultdict(FakePeerNetwork)
        self.misdelivered = 0
        self._ports = 0
        self._following: list[asyncio.Task] = []

    # Membership: news reaches each process at once unless it is cut off.

    def announce(self, member: Member) -> None:
        self.members[member.node_id] = member
        for name, process in {**self.entries, **self.targets}.items():
            if name not in self.cut_off:
                process.members.merge(member)

    def change(self, name: str, **changes: object) -> None:
        member = self.members[name]
        self.announce(replace(member, version=member.version + 1, **changes))

    def learn_all(self, name: str) -> None:
        process = self.entries.get(name) or self.targets[name]
        for member in self.members.values():
            process.members.merge(member)

    def add_service(self, service: Service) -> None:
        self.services[service.name] = service
        for entry in self.entries.values():
            entry.apply(self.services.values())

    def add_entry(self, name: str, zone: str, *, sprayed: bool = True) -> None:
        self._ports += 1
        address = Address(f"10.1.0.{self._ports}", 7000)
        member = Member(name, Role.ENTRY, zone, "r", address, address)
        entry = SimulatedEntry(self, member)
        entry.apply(self.services.values())
        self.entries[name] = entry
        self._following.append(asyncio.ensure_future(_follow(entry.tables)))
        self.network.dead.discard(name)
        self.announce(member)
        if name not in self.cut_off:
            self.learn_all(name)
        if sprayed:
            self.sprayed_to.append(name)

    def add_target(self, name: str, zone: str, service: str, **more: object) -> None:
        self._ports += 1
        address = more.pop("address", None) or Address(f"10.2.0.{self._ports}", 7000)
        member = Member(
            name,
            Role.SIDECAR,
            zone,
            "r",
            address,
            address,
            service=service,
            incarnation=self._ports,
            **more,
        )
        self.network.dead.discard(name)
        self.targets[name] = SimulatedTarget(self, member, self.services[service])
        self.announce(member)
        self.learn_all(name)
        self.peers[service].members = [
            t.member for t in self.targets.values() if t.service.name == service
        ]

    def kill(self, name: str) -> None:
        self.network.dead.add(name)
        for peers in self.peers.values():
            peers.lost.add(name)
        self.sprayed_to = [n for n in self.sprayed_to if n != name]

    async def stop_entry(self, name: str) -> None:
        """Shut an entry instance down as its daemon does."""
        self.change(name, state=MemberState.LEAVING)
        self.sprayed_to = [n for n in self.sprayed_to if n != name]
        await asyncio.sleep(5.0)
        self.kill(name)
        self.change(name, state=MemberState.DOWN)

    # The fabric and the links.

    def from_caller(self, service: Service, packet: bytes, caller: Address) -> None:
        if not self.sprayed_to:
            return
        name = self.rng.choice(self.sprayed_to)
        entry = self.entries[name]
        self.network.send(
            name,
            ONE_WAY_TO_CALLER_S,
            lambda: entry.from_caller(service, packet, caller),
        )

    def to_caller(self, caller: Address, packet: bytes) -> None:
        protocol = self.callers[caller]
        self.network.send(
            str(caller),
            ONE_WAY_TO_CALLER_S,
            lambda: protocol.datagram_received(packet, ("192.0.2.1", 443)),
        )

    def to_target(self, entry: Member, address: Address, datagram: bytes) -> None:
        source = entry.forward_address
        self._between(entry, address, datagram, (source.ip, source.port))

    def from_target(self, target: Member, address: Address, datagram: bytes) -> None:
        for entry in self.entries.values():
            if entry.member.forward_address == address:
                self._send_between(
                    target.zone,
                    entry.member,
                    lambda e=entry: e.from_target(datagram),
                )
                return
        source = target.forward_address
        self._between(target, address, datagram, (source.ip, source.port))

    def _between(
        self, sender: Member, address: Address, datagram: bytes, source: tuple
    ) -> None:
        # The newest target with this address has it now.
        for target in reversed(self.targets.values()):
            if target.member.forward_address == address:
                self._send_between(
                    sender.zone,
                    target.member,
                    lambda t=target: t.sidecar.datagram_received(datagram, source),
                )
                return

    def _send_between(
        self, zone: str, receiver: Member, deliver: Callable[[], None]
    ) -> None:
        if zone == receiver.zone:
            self.network.send(receiver.node_id, WITHIN_ZONE_S, deliver)
        elif not self.network.cut_zones & {zone, receiver.zone}:
            delay_s = self.network.between_zones_s
            self.network.send(receiver.node_id, delay_s, deliver)

    # Callers.

    async def connect(self, service: str) -> SimulatedCaller:
        """Open a connection to a service."""
        self._ports += 1
        address = Address("192.0.2.9", 10_000 + self._ports)
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=H3_ALPN, verify_mode=ssl.CERT_NONE
        )
        caller = SimulatedCaller(QuicConnection(configuration=configuration))
        caller.limit_s = 120.0
        self.callers[address] = caller
        caller.connection_made(_CallerSocket(self, self.services[service], address))
        caller.connect(("192.0.2.1", 443))
        async with asyncio.timeout(60):
            await caller.wait_connected()
        return caller

    async def open_feed(self, service: str) -> OpenFeed:
        """Open a connection with a feed on it."""
        caller = await self.connect(service)
        stream_id, _ = caller.send("GET", "/feed")
        feed = OpenFeed(caller, stream_id, asyncio.get_running_loop().time())
        await until(lambda: feed.numbers, limit_s=60)
        self.feeds.append(feed)
        return feed

    def target_of(self, caller: SimulatedCaller) -> str:
        """Return the target that holds a caller's connection."""
        peer_id = caller._quic._peer_cid.cid
        return next(
            name
            for name, target in self.targets.items()
            if name not in self.network.dead
            and target.sidecar._server.has_connection_id(peer_id)
        )

    async def settle(self) -> None:
        """Wait until tables have taken over the latest news."""
        await asyncio.sleep(0.5)

    def close(self) -> None:
        """Stop the tasks of the world."""
        for task in self._following:
            task.cancel()


async def _follow(tables: TargetTables) -> None:
    async with tables.tracking_members():
        await asyncio.Event().wait()
