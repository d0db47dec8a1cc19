"""Orders the sidecars that a new flow is offered to, without any I/O.

The flow's key determines a sample of the service's targets, so that entry instances
with the same reports, some of them seconds old, do not all choose the same target.
The sample leans to targets that answer faster, as weighted rendezvous hashing draws
them more often. It does not lean to targets that look idle: a report is older than most
requests last, and targets that many entry instances take for idle are busy when the
flow arrives.
"""

from __future__ import annotations

from _operator import itemgetter
from math import log

from cranberryhold.flows.envelope import MAX_TERMS_CANDIDATES
from cranberryhold.flows.peer_records import SidecarPeer
from cranberryhold.flows.rendezvous import (
    rendezvous_draws,
    rendezvous_hash,
    rendezvous_order,
)
from cranberryhold.structs import Struct, field

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

# Half of the candidates come from the entry instance's zone, if it has enough.
MAX_NEW_FLOW_CANDIDATES = 8
# With admission control, more targets are visited before an opening waits, as many as
# an envelope with terms has room for. At 95% load, 12 of 36 targets left 56% of the
# openings waiting and 16 left 52%.
MAX_ADMISSION_CANDIDATES = MAX_TERMS_CANDIDATES
# While no zone has a free slot, further visits only cost processor time.
MAX_OVERLOAD_CANDIDATES = 8
# One of this many candidates is in another zone, or one of two while only other zones
# have free slots.
REMOTE_DIVISOR = 4
OVERFLOW_REMOTE_DIVISOR = 2
# Time that a target in another zone adds to an answer: the handshake and the request
# cross twice each, 1.4 to 3.9 ms one way.
REMOTE_DISTANCE_S = 0.011
# Used while no target of the service has reported its service time.
DEFAULT_SERVICE_TIME_S = 0.05
# A cold target takes about twice as long.
COLD_SERVICE_FACTOR = 2.0
# Service times that differ from the median by less than this factor count as equal.
# They are means of few requests; the order by them sent most openings of all entry
# instances to the same targets.
SERVICE_TIME_NOISE = 1.6
# A target counts as no faster than the quantile 1/3 of the service. One that fails
# requests at once looks fast, and up to a third of a service may be ejected for that.
FASTEST_QUANTILE_PARTS = 3

# Rank, draw or cost, and target; rank 0 is without objections.
_Drawn = tuple[int, float, SidecarPeer]
_FIRST_TWO = itemgetter(0, 1)
_NOISE_SPAN = SERVICE_TIME_NOISE**2


class ServiceOutlook(Struct, frozen=True):
    """What the targets of a service report together.

    :param usual_s: median of the known service times in seconds.
    :param fastest_s: service time below which none is taken for real, in seconds.
    :param local_load: requests per slot at the targets of the local zone, running or
        waiting; 0 without targets.
    :param remote_load: the same of the other zones.
    :param known: expected service time in seconds and hash of each target, by address.
    """

    usual_s: float
    fastest_s: float
    local_load: float
    remote_load: float
    known: dict[bytes, tuple[float, int]] = field(default_factory=dict)

    def service_time_s(self, peer: SidecarPeer) -> float:
        """Return the expected service time of a target in seconds."""
        known = self.known.get(peer.ip)
        return known[0] if known is not None else self._estimate_s(peer)

    def time_and_hash(self, peer: SidecarPeer) -> tuple[float, int]:
        """Return the expected service time of a target, and the hash for its draws."""
        known = self.known.get(peer.ip)
        return known or (self._estimate_s(peer), rendezvous_hash(peer.ip))

    def _estimate_s(self, peer: SidecarPeer) -> float:
        status = peer.status
        known = status.service_time_ms > 0
        time_s = status.service_time_ms / 1000 if known else self.usual_s
        time_s = max(time_s, self.fastest_s)
        if self.usual_s < time_s * SERVICE_TIME_NOISE < self.usual_s * _NOISE_SPAN:
            time_s = self.usual_s
        return time_s * COLD_SERVICE_FACTOR if status.cold and not known else time_s

    def expected_answer_s(self, peer: SidecarPeer, zone: str) -> float:
        """Return the expected time until a target answers one more request."""
        status = peer.status
        slots = max(1, status.slots)
        excess = max(0, status.running) + max(0, status.waiting) + peer.offered + 1
        excess -= slots
        time_s = self.service_time_s(peer)
        answer_s = time_s + excess * time_s / slots if excess > 0 else time_s
        return answer_s if status.zone == zone else answer_s + REMOTE_DISTANCE_S

    def sample_size(self) -> tuple[int, int]:
        """Return the number of candidates, and how many of them from other zones."""
        if self.local_load < 1.0:
            size, divisor = MAX_ADMISSION_CANDIDATES, REMOTE_DIVISOR
        elif self.remote_load < 1.0:
            size, divisor = MAX_ADMISSION_CANDIDATES, OVERFLOW_REMOTE_DIVISOR
        else:
            size, divisor = MAX_OVERLOAD_CANDIDATES, REMOTE_DIVISOR
        return size, size // divisor


def assess_service(peers: Sequence[SidecarPeer], zone: str) -> ServiceOutlook:
    """Return what the targets of a service report together.

    :param zone: the local zone.
    """
    known = []
    requests, slots = [0, 0], [0, 0]
    for peer in peers:
        status = peer.status
        if status.service_time_ms > 0:
            known.append(status.service_time_ms / 1000)
        is_remote = status.zone != zone
        requests[is_remote] += max(0, status.running) + max(0, status.waiting)
        slots[is_remote] += max(1, status.slots)
    known.sort()
    outlook = ServiceOutlook(
        known[(len(known) - 1) // 2] if known else DEFAULT_SERVICE_TIME_S,
        known[len(known) // FASTEST_QUANTILE_PARTS] if known else 0.0,
        *(r / s if s else 0.0 for r, s in zip(requests, slots, strict=True)),
    )
    known_targets = {peer.ip: outlook.time_and_hash(peer) for peer in peers}
    outlook.known.update(known_targets)
    return outlook


def order_by_expected_answer(
    key: bytes,
    zone: str,
    peers: Sequence[SidecarPeer],
    outlook: ServiceOutlook,
    suspected: Collection[bytes] = (),
) -> list[SidecarPeer]:
    """Return the sidecars to offer a flow to, the earliest expected answer first.

    A target in another zone precedes a local one only if it saves more than the service
    time of a local target, as it costs traffic between the zones.

    :param key: key of the flow.
    :param zone: the local zone.
    :param peers: the accepting sidecars of the service.
    :param suspected: addresses of targets that come after all others.
    """
    local: list[_Drawn] = []
    remote: list[_Drawn] = []
    known = [outlook.time_and_hash(peer) for peer in peers]
    draws = rendezvous_draws(rendezvous_hash(key), [pair[1] for pair in known])
    for peer, (time_s, _), draw in zip(peers, known, draws, strict=True):
        status = peer.status
        rank = 1 if peer.ip in suspected else 0
        if status.cold_room is not None and peer.offered >= status.cold_room:
            rank = 2
        sample = local if status.zone == zone else remote
        sample.append((rank, -log(draw) * time_s, peer))
    local.sort(key=_FIRST_TWO)
    remote.sort(key=_FIRST_TWO)
    size, remote_size = outlook.sample_size()
    del local[size - min(remote_size, len(remote)) :]
    del remote[size - len(local) :]
    margin_s = min((outlook.service_time_s(item[2]) for item in local), default=0.0)
    costs = [
        (rank, outlook.expected_answer_s(peer, zone) + extra_s, peer)
        for sample, extra_s in ((local, 0.0), (remote, margin_s))
        for rank, _, peer in sample
    ]
    costs.sort(key=_FIRST_TWO)
    return [peer for _, _, peer in costs]


def order_by_load(
    key: bytes, zone: str, peers: Sequence[SidecarPeer]
) -> list[SidecarPeer]:
    """Return the sidecars to offer a flow to, lowest cost first.

    :param key: key of the flow.
    :param zone: the local zone.
    :param peers: the accepting sidecars of the service.
    """
    if len(peers) > MAX_NEW_FLOW_CANDIDATES:
        by_ip = {peer.ip: peer for peer in peers}
        order = [by_ip[ip] for ip in rendezvous_order(key, by_ip)]
        local = [peer for peer in order if peer.status.zone == zone]
        first = local[: MAX_NEW_FLOW_CANDIDATES // 2]
        chosen = {peer.ip for peer in first}
        rest = [peer for peer in order if peer.ip not in chosen]
        peers = (first + rest)[:MAX_NEW_FLOW_CANDIDATES]
    return sorted(peers, key=lambda peer: peer.cost(zone))
