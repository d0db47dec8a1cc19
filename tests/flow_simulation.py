"""Simulation of members and targets that exchange packets in memory."""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from socket import inet_aton

from msgspec import structs

from cranberryhold.flows.bulk_shedding import BulkShedding
from cranberryhold.flows.cold_start.gate import ColdStartGate
from cranberryhold.flows.entry_datapath import EntryDatapath
from cranberryhold.flows.evacuation.state import Evacuations, EvacuationState
from cranberryhold.flows.heartbeat import Heartbeat, TargetPhase
from cranberryhold.flows.leased_store import StorePosition
from cranberryhold.flows.link_load import LinkLoad
from cranberryhold.flows.peer_messages import (
    FlowHeld,
    FlowNotFound,
    FlowNotHeld,
    OpeningQueued,
    PeerList,
    SidecarStatus,
)
from cranberryhold.flows.peers import Peers
from cranberryhold.flows.route_table import (
    Configuration,
    Route,
    RouteTable,
    WeightedService,
)
from cranberryhold.flows.segments import Endpoint
from cranberryhold.flows.sidecar_datapath import SidecarDatapath
from cranberryhold.flows.target_state import TargetState
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.platform.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    PacketCodec,
)
from emulator.flow_packets import flow_packet, returned_packet

SERVICE = "core"
OTHER_SERVICE = "other"
SERVICE_IP = inet_aton("198.18.0.1")
SERVICE_PORT = 443
# An entry instance that sends the others the members it knows.
CONTACT_IP = inet_aton("10.0.0.250")
# Time within which a changed configuration must be in effect.
CONFIRMATION_S = 3.0
MAX_FLOW_S = 60.0
STATUS_INTERVAL_MS = 250
EVACUATION_LIMIT_S = 5.0


@dataclass
class LogLines:
    """Log lines of a process."""

    written: list[str] = field(default_factory=list)
    dropped: int = 0

    def write(self, line):
        self.written.append(line)


class ManualClock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def packet(
    caller, port, flags, *, sequence=0, acknowledgment=0, data=b"", from_target=False
):
    ends = Endpoint(caller, port), Endpoint(SERVICE_IP, SERVICE_PORT)
    if from_target:
        ends = ends[::-1]
    return flow_packet(
        *ends, flags, sequence=sequence, acknowledgment=acknowledgment, data=data
    )


def configuration(
    version=1,
    services=((SERVICE, 1),),
    port=SERVICE_PORT,
    *,
    bulk=False,
    admission=False,
):
    weighted = tuple(WeightedService(name, weight) for name, weight in services)
    route = Route("route", SERVICE_IP, port, weighted, bulk)
    return Configuration(version, (route,), 15.0, b"{}", admission=admission)


def heartbeat(**changes):
    values = {
        "target_id": "i-1",
        "started_ms": 1,
        "sequence": 1,
        "service": SERVICE,
        "phase": TargetPhase.READY,
        "slots": 3,
        "cold_for_s": 0.0,
    }
    return Heartbeat(**{**values, **changes})


class FakeTarget:
    """Accepts flows unless it is full, and returns packets of flows not its own."""

    def __init__(self, ip, sim):
        self.ip = ip
        self.sim = sim
        self.flows = {}
        # Times of the openings that were new to it.
        self.opened = []
        self.full = False
        self.alive = True
        self.served = []

    def receive(self, data):
        if not self.alive:
            return
        segment = self.sim.codec.decode(data)
        key = segment.flow_key_from_caller()
        if segment.syn:
            if self.full and key not in self.flows:
                self.return_packet(data)
                return
            if key not in self.flows:
                self.opened.append(self.sim.clock())
            initial = self.flows.setdefault(key, self.sim.random.getrandbits(32))
            self.send(segment, SYN | ACK, initial, segment.sequence + 1)
        elif key not in self.flows:
            self.sim.misdelivered.append((self.ip, key))
            self.return_packet(data)
        elif segment.length:
            self.served.append((key, segment.sequence))
            initial = self.flows[key]
            self.send(segment, ACK, initial + 1, segment.sequence, b"answer")

    def send(self, segment, flags, sequence, acknowledgment, data=b""):
        self.sim.enqueue(
            self.ip,
            "from_target",
            packet(
                segment.source,
                segment.source_port,
                flags,
                sequence=sequence,
                acknowledgment=acknowledgment,
                data=data,
                from_target=True,
            ),
        )

    def return_packet(self, data):
        self.sim.enqueue(self.ip, "from_target", returned_packet(data))


class _SidecarOutput:
    def __init__(self, ip, sim):
        self.ip, self.sim = ip, sim

    def send_to_target(self, data):
        self.sim.enqueue(self.ip, "target", data)

    def send_to_caller(self, ip, data):
        self.sim.sent_to_callers.append((ip, data))

    def send_to_sidecar(self, ip, datagram):
        self.sim.hops += 1
        self.sim.enqueue(ip, "from_member", datagram)

    def send_to_peer(self, ip, message):
        self.sim.enqueue(ip, ("message", self.ip), message)


class _EntryOutput:
    def __init__(self, sim):
        self.sim = sim

    def send_to_sidecar(self, ip, datagram):
        self.sim.enqueue(ip, "from_member", datagram)

    def send_to_caller(self, ip, data):
        self.sim.sent_to_callers.append((ip, data))


class FlowSimulation:
    """Entry instances at 10.0.0.x, and sidecars at 10.0.1.x with one target each."""

    def __init__(self, sidecars=3, entries=1, seed=1, cold_start=None, cold_rates=()):
        self.random = Random(seed)
        self.codec = PacketCodec()
        self.clock = ManualClock()
        self.lines = LogLines()
        self.queue = deque()
        self.sent_to_callers = []
        self.misdelivered = []
        self.hops = 0
        self.unreachable = set()
        self.links = {}
        self.routes = {}
        self.peers = {}
        self.entries = {}
        self.sidecars = {}
        self.states = {}
        self.targets = {}
        self.processes = {}
        self.zones = {}
        self.services = {}
        # What each member knows of evacuations.
        self.evacuations = {}
        self.evacuation_revision = 0
        self.heartbeats = 1
        self.cold_start = cold_start
        self.gates = {}
        rates = dict(cold_rates)
        self.configuration = structs.replace(configuration(), cold_rates=rates)
        for number in range(entries):
            self.start_entry(inet_aton(f"10.0.0.{number + 1}"))
        for number in range(sidecars):
            self.add_sidecar(inet_aton(f"10.0.1.{number + 1}"))
        self.share_statuses()

    def telemetry(self, name):
        return Telemetry(name, self.lines, self.clock)

    def start_entry(self, ip, zone="a", configured=True):
        routes = RouteTable(MAX_FLOW_S, CONFIRMATION_S)
        if configured:
            routes.adopt(self.configuration, self.clock())
        peers = Peers(ip, zone, self.clock)
        self.routes[ip], self.peers[ip] = routes, peers
        self.entries[ip] = EntryDatapath(
            ip,
            routes,
            peers,
            self.codec,
            _EntryOutput(self),
            self.telemetry("entry"),
            monotonic=self.clock,
            link=self.links.setdefault(ip, LinkLoad(None)),
            shedding=BulkShedding(self.random),
            evacuations=self.evacuations_of(ip),
        )
        return ip

    def add_sidecar(self, ip, service=SERVICE, zone="a"):
        self.targets[ip] = FakeTarget(ip, self)
        self.zones[ip] = zone
        self.services[ip] = service
        self.start_sidecar(ip)
        self.sidecars[ip].record_heartbeat(heartbeat(service=service))

    def advance(self, seconds):
        """Let time pass, after which all members send their state again."""
        self.clock.now += seconds
        self.heartbeats += 1
        for ip, sidecar in self.sidecars.items():
            sidecar.record_heartbeat(
                heartbeat(sequence=self.heartbeats, service=self.services[ip])
            )
        self.share_statuses()

    def move_route(self, *services, missed_by=()):
        """Lead the route to other services; some entry instances miss the change."""
        version = self.configuration.version + 1
        weighted = [(service, 1) for service in services]
        self.configuration = configuration(version, weighted)
        for ip, routes in self.routes.items():
            if ip not in missed_by:
                routes.adopt(self.configuration, self.clock())

    def start_sidecar(self, ip):
        self.states[ip] = TargetState(1.0, 2.0)
        telemetry = self.telemetry("sidecar")
        clocks = dict.fromkeys(("monotonic", "boot_time", "unix_time"), self.clock)
        gate = ColdStartGate(self.cold_start, self.states[ip], telemetry, **clocks)
        self.gates[ip] = gate
        self.processes[ip] = self.random.getrandbits(32)
        self.sidecars[ip] = SidecarDatapath(
            self.states[ip],
            self.codec,
            _SidecarOutput(ip, self),
            telemetry,
            max_flow_s=MAX_FLOW_S,
            **clocks,
            random=self.random,
            cold_start=gate,
            evacuations=self.evacuations_of(ip),
            zone=self.zones[ip],
        )

    def evacuations_of(self, ip):
        """Return the state of a process that has just started."""
        self.evacuations[ip] = EvacuationState(EVACUATION_LIMIT_S)
        return self.evacuations[ip]

    def evacuate(self, *zones, missed_by=()):
        """Evacuate these zones and no others; some members miss the change."""
        self.evacuation_revision += 1
        position = StorePosition(1, self.evacuation_revision)
        found = Evacuations(position, frozenset(zones))
        for ip, state in self.evacuations.items():
            if ip not in missed_by:
                state.adopt(found, self.clock(), now=self.clock())

    def restart_sidecar(self, ip, sequence=50):
        """Restart a sidecar, but not its target, which has sent heartbeats before."""
        self.start_sidecar(ip)
        self.sidecars[ip].record_heartbeat(
            heartbeat(sequence=sequence, service=self.services[ip])
        )

    def crash(self, ip, sequence=5):
        """Restart a target and its sidecar, which first hears this heartbeat."""
        self.targets[ip].flows.clear()
        self.start_sidecar(ip)
        started = self.random.getrandbits(30)
        self.sidecars[ip].record_heartbeat(
            heartbeat(started_ms=started, sequence=sequence, service=self.services[ip])
        )

    def share_statuses(self):
        """Send the statuses of all reachable sidecars to all entry instances.

        An entry instance that has run for long confirms that these are all.
        """
        for peers in self.peers.values():
            for ip, datapath in self.sidecars.items():
                if ip not in self.unreachable:
                    peers.update_sidecar(ip, self.status(ip, datapath))
            complete = PeerList((), tuple(self.sidecars), complete=True)
            peers.record_peer_list(CONTACT_IP, complete)

    def status(self, ip, datapath):
        state = self.states[ip]
        return SidecarStatus(
            self.processes[ip],
            self.zones[ip],
            state.service,
            datapath.accepts_flows(),
            state.slots,
            datapath.flows.running,
            len(datapath.flows),
            state.is_cold(self.clock()),
            STATUS_INTERVAL_MS,
            reads_terms=True,
            cold_room=self.gates[ip].room(),
            distrust=datapath.openings.distrust(),
        )

    def enqueue(self, ip, kind, data):
        self.queue.append((ip, kind, data))

    def deliver_all(self):
        while self.queue:
            ip, kind, data = self.queue.popleft()
            if ip in self.unreachable:
                continue
            if kind == "target":
                self.targets[ip].receive(data)
            elif kind == "from_target":
                self.sidecars[ip].handle_target_packet(data)
            elif kind == "from_member":
                self.sidecars[ip].handle_member_datagram(data)
            elif isinstance(data, FlowHeld):
                self.entries[ip].record_held(kind[1], data)
            elif isinstance(data, FlowNotHeld):
                self.entries[ip].record_not_held(kind[1], data)
            elif isinstance(data, OpeningQueued):
                self.entries[ip].record_queued(kind[1], data)
            elif isinstance(data, FlowNotFound):
                self.entries[ip].record_not_found(data)

    def from_caller(self, data, entry=None):
        ip = entry or next(iter(self.entries))
        self.entries[ip].handle_caller_packet(data)
        self.deliver_all()

    def pop_answers(self):
        """Remove and return the packets that were sent to callers, decoded."""
        sent = [self.codec.decode(data) for _, data in self.sent_to_callers]
        self.sent_to_callers.clear()
        return sent

    def holder(self, caller):
        """Return the sidecar whose target holds a caller's flow."""
        key = caller.key
        return next((ip for ip, t in self.targets.items() if key in t.flows), None)


class Caller:
    """One flow of a caller."""

    def __init__(self, sim, port=40001, entry=None):
        self.sim = sim
        self.ip = inet_aton("100.64.0.7")
        self.port = port
        self.entry = entry
        self.sequence = 500
        self.next = None
        self.key = sim.codec.decode(self.packet(SYN)).flow_key_from_caller()

    def packet(self, flags, *, acknowledgment=0, data=b""):
        return packet(
            self.ip,
            self.port,
            flags,
            sequence=self.sequence,
            acknowledgment=acknowledgment,
            data=data,
        )

    def open(self, copy=0):
        """Send a SYN and, if it is accepted, the acknowledgment."""
        self.sim.from_caller(self.packet(SYN, acknowledgment=copy), self.entry)
        accepted = [s for s in self.sim.pop_answers() if s.syn]
        if accepted:
            self.next = accepted[0].sequence + 1
            self.send(ACK)
        return bool(accepted)

    def send(self, flags=ACK, data=b"", entry=None):
        self.sim.from_caller(
            self.packet(flags, acknowledgment=self.next, data=data), entry or self.entry
        )
        return self.sim.pop_answers()

    def request(self, entry=None):
        """Send a request; return whether the answer came, or "reset"."""
        self.sequence += 10
        answers = self.send(data=b"request", entry=entry)
        if any(answer.rst for answer in answers):
            return "reset"
        return any(answer.length for answer in answers)


__all__ = ["ACK", "FIN", "RST", "SYN", "Caller", "FlowSimulation"]
