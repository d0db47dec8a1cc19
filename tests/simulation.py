"""Simulation of a small deployment, in one process and virtual time, for scenarios.

Routers, sidecars and pipelines are the real ones. The fabric, the links, the upstreams
and the callers are fakes: a datagram is a delayed function call.
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
from cranberryhold.datapath.connection_ids import TargetRef
from cranberryhold.datapath.packets import Direction, ForwardCodec
from cranberryhold.datapath.routing import DropReason, Router
from cranberryhold.datapath.targets import TargetTables
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.models import Service
from cranberryhold.membership.members import Member, MemberState, MemberTable, Role
from cranberryhold.requests.exchange import Request, Response
from cranberryhold.requests.peer_pool import PeerPool
from cranberryhold.requests.pipeline import RequestPipeline
from cranberryhold.sidecar import Sidecar, quic_configuration
from tests.aioquic_client import AioquicClient
from tests.pipeline_fakes import FakePeerNetwork
from tests.waiting import until

KEYS = KeyRing({1: bytes(range(32))})
FEED_INTERVAL_S = 30.0
CALLER_DELAY_S = 0.001
INTRA_ZONE_DELAY_S = 0.0002


@dataclass(slots=True)
class Network:
    """Delay, loss and faults of the links and processes.

    :param inter_zone_delay_s: one-way delay between two zones, in seconds.
    :param jitter_s: maximum additional delay.
    :param loss: fraction of datagrams lost between zones.
    """

    rng: Random
    inter_zone_delay_s: float
    jitter_s: float = 0.0
    loss: float = 0.0
    frozen: set[str] = field(default_factory=set)
    killed: set[str] = field(default_factory=set)
    buffered: dict[str, list[Callable[[], None]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    partitioned_zones: set[str] = field(default_factory=set)

    def send(self, to: str, delay_s: float, deliver: Callable[[], None]) -> None:
        """Deliver to a process after a delay, unless the datagram is lost."""
        if delay_s > CALLER_DELAY_S and self.rng.random() < self.loss:
            return
        delay_s += self.rng.random() * self.jitter_s
        asyncio.get_running_loop().call_later(delay_s, self._receive, to, deliver)

    def resume(self, name: str) -> None:
        """Resume a frozen process, which first reads the buffered datagrams."""
        self.frozen.discard(name)
        for deliver in self.buffered.pop(name, []):
            self._receive(name, deliver)

    def _receive(self, to: str, deliver: Callable[[], None]) -> None:
        if to in self.killed:
            return
        if to in self.frozen:
            self.buffered[to].append(deliver)
            return
        deliver()


class SimulatedEntry:
    """An entry instance: the real router between two fake sockets."""

    def __init__(self, simulation: "Simulation", member: Member) -> None:
        self.simulation = simulation
        self.member = member
        self.members = MemberTable()
        self.tables = TargetTables(self.members, simulation.clock)
        self.router = Router(KEYS, self.tables)
        self.to_target_codec = ForwardCodec(KEYS, Direction.TO_TARGET)
        self.to_caller_codec = ForwardCodec(KEYS, Direction.TO_CALLER)
        self.drops: Counter[DropReason] = Counter()

    def apply(self, services: Iterable[Service]) -> None:
        self.tables.set_services(s.name for s in services)

    def handle_caller_packet(
        self, service: Service, packet: bytes, caller: Address
    ) -> None:
        route = self.router.route(self.tables[service.name], packet)
        if isinstance(route, DropReason):
            self.drops[route] += 1
            return
        header = self.to_target_codec.header(caller, service.endpoints[0])
        self.simulation.send_to_target(
            self.member, Address.unpack(route), header + packet
        )

    def handle_target_packet(self, datagram: bytes) -> None:
        reply = self.to_caller_codec.decode(datagram)
        assert reply is not None
        self.simulation.send_to_caller(reply.caller, reply.packet)


class _SidecarSocket:
    """Socket of a sidecar, which sends to entry instances and to peers."""

    def __init__(self, simulation: "Simulation", member: Member) -> None:
        self.simulation = simulation
        self.member = member

    def sendto(self, datagram: bytes, address: tuple[str, int]) -> None:
        self.simulation.send_from_target(self.member, Address(*address), datagram)


class SimulatedTarget:
    """An upstream instance with its sidecar."""

    def __init__(
        self, simulation: "Simulation", member: Member, service: Service
    ) -> None:
        self.simulation = simulation
        self.member = member
        self.service = service
        self.members = MemberTable()
        self.executions: Counter[str] = Counter()
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
        self.sidecar.connection_made(_SidecarSocket(simulation, member))
        self.sidecar.apply_service(service)

    @asynccontextmanager
    async def run(self, request: Request) -> AsyncIterator[Response]:
        """Answer like the users' services: feeds, lines and slow requests."""
        body = b"".join([chunk async for chunk in request.body])
        path, _, query = request.path.partition("?")
        if path == "/feed":
            yield Response(200, (), self.feed())
            return
        self.executions[f"{request.method} {path} {body.decode()}"] += 1
        if query.startswith("seconds="):
            await asyncio.sleep(float(query.removeprefix("seconds=")))
        answer = {"service": self.service.name, "path": path, "body": body.decode()}
        yield Response(200, (), _single_chunk(json.dumps(answer).encode()))

    async def feed(self) -> AsyncIterator[bytes]:
        number = 0
        while True:
            yield b"%d\n" % number
            number += 1
            await asyncio.sleep(FEED_INTERVAL_S)


async def _single_chunk(data: bytes) -> AsyncIterator[bytes]:
    yield data


class SimulatedCaller(AioquicClient):
    """The aioquic client, connected through the fabric."""

    terminated: ConnectionTerminated | None = None

    def quic_event_received(self, event: QuicEvent) -> None:
        if isinstance(event, ConnectionTerminated):
            self.terminated = event
        super().quic_event_received(event)

    def feed_numbers(self, stream_id: int) -> list[int]:
        """Return the numbers of the feed lines that have arrived."""
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
        """Seconds of the feed that the received lines cover."""
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
        self.simulation.send_from_caller(self.service, packet, self.caller)


class Simulation:
    """Entry instances, targets and callers of one user.

    :param zones: data centres.
    :param inter_zone_delay_s: one-way delay between two of them, in seconds.
    :param certificate: paths of a certificate and its key.
    """

    def __init__(
        self, zones: list[str], inter_zone_delay_s: float, certificate: tuple[str, str]
    ) -> None:
        self.zones = zones
        self.certificate = certificate
        self.clock = SystemClock()
        self.network = Network(Random(1), inter_zone_delay_s)
        self.rng = Random(2)
        self.services: dict[str, Service] = {}
        self.entries: dict[str, SimulatedEntry] = {}
        self.targets: dict[str, SimulatedTarget] = {}
        self.active_entries: list[str] = []
        self.callers: dict[Address, SimulatedCaller] = {}
        self.feeds: list[OpenFeed] = []
        self.members: dict[str, Member] = {}
        self.isolated: set[str] = set()
        self.peers: dict[str, FakePeerNetwork] = defaultdict(FakePeerNetwork)
        self._last_number = 0
        self._tracking_tasks: list[asyncio.Task] = []

    # Membership: updates reach each process at once unless it is isolated.

    def announce(self, member: Member) -> None:
        self.members[member.node_id] = member
        for name, process in {**self.entries, **self.targets}.items():
            if name not in self.isolated:
                process.members.merge(member)

    def update_member(self, name: str, **changes: object) -> None:
        member = self.members[name]
        self.announce(replace(member, version=member.version + 1, **changes))

    def sync_members(self, name: str) -> None:
        process = self.entries.get(name) or self.targets[name]
        for member in self.members.values():
            process.members.merge(member)

    def add_service(self, service: Service) -> None:
        self.services[service.name] = service
        for entry in self.entries.values():
            entry.apply(self.services.values())

    def add_entry(self, name: str, zone: str, *, receives_packets: bool = True) -> None:
        self._last_number += 1
        address = Address(f"10.1.0.{self._last_number}", 7000)
        member = Member(name, Role.ENTRY, zone, "r", address, address)
        entry = SimulatedEntry(self, member)
        entry.apply(self.services.values())
        self.entries[name] = entry
        self._tracking_tasks.append(asyncio.ensure_future(_track_members(entry.tables)))
        self.network.killed.discard(name)
        self.announce(member)
        if name not in self.isolated:
            self.sync_members(name)
        if receives_packets:
            self.active_entries.append(name)

    def add_target(
        self, name: str, zone: str, service: str, **member_fields: object
    ) -> None:
        self._last_number += 1
        address = member_fields.pop("address", None) or Address(
            f"10.2.0.{self._last_number}", 7000
        )
        member = Member(
            name,
            Role.SIDECAR,
            zone,
            "r",
            address,
            address,
            service=service,
            incarnation=self._last_number,
            **member_fields,
        )
        self.network.killed.discard(name)
        self.targets[name] = SimulatedTarget(self, member, self.services[service])
        self.announce(member)
        self.sync_members(name)
        self.peers[service].members = [
            t.member for t in self.targets.values() if t.service.name == service
        ]

    def kill(self, name: str) -> None:
        self.network.killed.add(name)
        for peers in self.peers.values():
            peers.lost.add(name)
        self.active_entries = [n for n in self.active_entries if n != name]

    async def stop_entry(self, name: str) -> None:
        """Shut an entry instance down as its daemon does."""
        self.update_member(name, state=MemberState.LEAVING)
        self.active_entries = [n for n in self.active_entries if n != name]
        await asyncio.sleep(5.0)
        self.kill(name)
        self.update_member(name, state=MemberState.DOWN)

    # Fabric and links.

    def send_from_caller(
        self, service: Service, packet: bytes, caller: Address
    ) -> None:
        if not self.active_entries:
            return
        name = self.rng.choice(self.active_entries)
        entry = self.entries[name]
        self.network.send(
            name,
            CALLER_DELAY_S,
            lambda: entry.handle_caller_packet(service, packet, caller),
        )

    def send_to_caller(self, caller: Address, packet: bytes) -> None:
        protocol = self.callers[caller]
        self.network.send(
            str(caller),
            CALLER_DELAY_S,
            lambda: protocol.datagram_received(packet, ("192.0.2.1", 443)),
        )

    def send_to_target(self, entry: Member, address: Address, datagram: bytes) -> None:
        source = entry.forward_address
        self._send_to_address(entry, address, datagram, (source.ip, source.port))

    def send_from_target(
        self, target: Member, address: Address, datagram: bytes
    ) -> None:
        for entry in self.entries.values():
            if entry.member.forward_address == address:
                self._send_over_link(
                    target.zone,
                    entry.member,
                    lambda e=entry: e.handle_target_packet(datagram),
                )
                return
        source = target.forward_address
        self._send_to_address(target, address, datagram, (source.ip, source.port))

    def _send_to_address(
        self, sender: Member, address: Address, datagram: bytes, source: tuple
    ) -> None:
        # A reused address belongs to the target that was added last.
        for target in reversed(self.targets.values()):
            if target.member.forward_address == address:
                self._send_over_link(
                    sender.zone,
                    target.member,
                    lambda t=target: t.sidecar.datagram_received(datagram, source),
                )
                return

    def _send_over_link(
        self, zone: str, receiver: Member, deliver: Callable[[], None]
    ) -> None:
        if zone == receiver.zone:
            self.network.send(receiver.node_id, INTRA_ZONE_DELAY_S, deliver)
        elif not self.network.partitioned_zones & {zone, receiver.zone}:
            delay_s = self.network.inter_zone_delay_s
            self.network.send(receiver.node_id, delay_s, deliver)

    # Callers.

    async def connect(self, service: str) -> SimulatedCaller:
        """Open a connection to a service."""
        self._last_number += 1
        address = Address("192.0.2.9", 10_000 + self._last_number)
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
        """Return the name of the target that holds a caller's connection."""
        peer_id = caller._quic._peer_cid.cid
        return next(
            name
            for name, target in self.targets.items()
            if name not in self.network.killed
            and target.sidecar._server.has_connection_id(peer_id)
        )

    async def wait_for_updates(self) -> None:
        """Wait until the target tables have applied the latest updates."""
        await asyncio.sleep(0.5)

    def close(self) -> None:
        """Cancel the tasks of the simulation."""
        for task in self._tracking_tasks:
            task.cancel()


async def _track_members(tables: TargetTables) -> None:
    async with tables.tracking_members():
        await asyncio.Event().wait()
