"""The other members, as far as this process has heard of them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cranberryhold.flows.peer_messages import (
    MAX_LISTED_PEERS,
    EntryStatus,
    PeerList,
    SidecarStatus,
)
from cranberryhold.flows.rendezvous import rendezvous_order

# Bytes per second that a member spends on its statuses at the most.
STATUS_BUDGET_BYTES_S = 8_000
# A status with its IP and UDP headers.
STATUS_BYTES = 90
SIDECAR_STATUS_INTERVAL_S = 0.25
ENTRY_STATUS_INTERVAL_S = 1.0
# A sidecar that misses this many statuses is offered no packets.
MISSED_STATUSES = 4
# Members that are listed or were heard of within this time are sent statuses.
FORGET_AFTER_S = 60.0
# Candidates of a new flow, half of them from the entry instance's own zone.
OPEN_CANDIDATES = 8
SEEK_CANDIDATES = 16
# A target in another zone is preferred only if it has this much less to do.
REMOTE_COST_FACTOR = 1.3


@dataclass(slots=True)
class SidecarPeer:
    """A sidecar and its target, as it last described them.

    :param ip: packed IPv4 number.
    :param status: what it said last.
    :param heard_at: when, in seconds of the monotonic clock.
    :param placed: flows sent to it since then.
    """

    ip: bytes
    status: SidecarStatus
    heard_at: float
    placed: int = 0

    def cost(self, zone: str) -> tuple[bool, float]:
        """Return how little it suits for a new flow; the lowest is best."""
        status = self.status
        slots = max(1, status.slots // 2 if status.cold else status.slots)
        busy = status.running + self.placed >= slots
        share = (status.flows + self.placed + 1) / slots
        factor = 1.0 if status.zone == zone else REMOTE_COST_FACTOR
        return busy, share * factor


@dataclass(slots=True)
class EntryPeer:
    """An entry instance, as it last described itself."""

    ip: bytes
    status: EntryStatus
    heard_at: float


def status_interval_s(shortest_s: float, receivers: int) -> float:
    """Return seconds between statuses to this many members within the budget."""
    return max(shortest_s, receivers * STATUS_BYTES / STATUS_BUDGET_BYTES_S)


class Peers:
    """The members that this process knows.

    :param own_ip: packed IPv4 number of this instance.
    :param zone: data centre of this instance.
    :param monotonic: clock in seconds.
    """

    def __init__(self, own_ip: bytes, zone: str, monotonic: Callable[[], float]):
        self._own_ip = own_ip
        self._zone = zone
        self._monotonic = monotonic
        self._entries: dict[bytes, EntryPeer] = {}
        self._sidecars: dict[bytes, SidecarPeer] = {}
        # Members that were named by others and not heard yet, and until when.
        self._listed_entries: dict[bytes, float] = {}
        self._listed_sidecars: dict[bytes, float] = {}

    @property
    def entries(self) -> dict[bytes, EntryPeer]:
        """Entry instances that were heard."""
        return self._entries

    @property
    def sidecars(self) -> dict[bytes, SidecarPeer]:
        """Sidecars that were heard."""
        return self._sidecars

    def entry_ips(self) -> list[bytes]:
        """Return the entry instances that statuses are sent to."""
        return [*self._entries, *self._listed_entries]

    def sidecar_ips(self) -> list[bytes]:
        """Return the sidecars that statuses are sent to."""
        return [*self._sidecars, *self._listed_sidecars]

    def note_listed(
        self, entries: Iterable[bytes], sidecars: Iterable[bytes]
    ) -> list[bytes]:
        """Take members that others named; return those that are new here."""
        until = self._monotonic() + FORGET_AFTER_S
        new = []
        for ips, heard, listed in (
            (entries, self._entries, self._listed_entries),
            (sidecars, self._sidecars, self._listed_sidecars),
        ):
            for ip in ips:
                if ip == self._own_ip or ip in heard:
                    continue
                if ip not in listed:
                    new.append(ip)
                listed[ip] = until
        return new

    def note_sidecar(self, ip: bytes, status: SidecarStatus) -> bool:
        """Take a sidecar's status; return whether its process is new here."""
        now = self._monotonic()
        peer = self._sidecars.get(ip)
        self._listed_sidecars.pop(ip, None)
        if peer is None:
            self._sidecars[ip] = SidecarPeer(ip, status, now)
            return True
        new = peer.status.process != status.process
        peer.status, peer.heard_at, peer.placed = status, now, 0
        return new

    def note_entry(self, ip: bytes, status: EntryStatus) -> bool:
        """Take an entry instance's status; return whether its process is new."""
        before = self._entries.get(ip)
        self._listed_entries.pop(ip, None)
        self._entries[ip] = EntryPeer(ip, status, self._monotonic())
        return before is None or before.status.process != status.process

    def note_leaving(self, ip: bytes, process: int) -> bool:
        """Forget a process that ends; False if another one is there by now."""
        for heard in (self._entries, self._sidecars):
            peer = heard.get(ip)
            if peer is not None and peer.status.process == process:
                del heard[ip]
                return True
        return False

    def note_pause(self, seconds: float) -> None:
        """Take note that this process did not run for some time.

        Silence during that time says nothing about the others.
        """
        for peer in self._sidecars.values():
            peer.heard_at += seconds

    def forget_silent(self) -> list[bytes]:
        """Forget members that were not heard for long, and return them."""
        now = self._monotonic()
        gone = []
        for heard in (self._entries, self._sidecars):
            for ip in [
                i for i, p in heard.items() if now - p.heard_at > FORGET_AFTER_S
            ]:
                del heard[ip]
                gone.append(ip)
        for listed in (self._listed_entries, self._listed_sidecars):
            for ip in [i for i, until in listed.items() if until < now]:
                del listed[ip]
        return gone

    def list_for_newcomer(self) -> PeerList:
        """Return the members that are known here."""
        return PeerList(
            tuple(self._entries)[:MAX_LISTED_PEERS],
            tuple(self._sidecars)[:MAX_LISTED_PEERS],
        )

    def is_heard(self, ip: bytes) -> bool:
        """Whether a sidecar was heard of late."""
        peer = self._sidecars.get(ip)
        return (
            peer is not None and self._monotonic() - peer.heard_at <= self._silence_s()
        )

    def candidates_for_opening(self, key: bytes, service: bytes) -> list[SidecarPeer]:
        """Return the sidecars to offer a new flow to, the best first."""
        accepting = [
            peer
            for peer in self._reachable()
            if peer.status.service == service and peer.status.accepts
        ]
        if len(accepting) > OPEN_CANDIDATES:
            accepting = self._nearest(key, accepting, OPEN_CANDIDATES)
        return sorted(accepting, key=lambda peer: peer.cost(self._zone))

    def candidates_for_search(self, key: bytes, services: list[bytes]) -> list[bytes]:
        """Return the sidecars to ask for a flow, the likeliest first."""
        found = [peer for peer in self._reachable() if peer.status.service in services]
        return [peer.ip for peer in self._nearest(key, found, SEEK_CANDIDATES)]

    def _silence_s(self) -> float:
        interval = status_interval_s(SIDECAR_STATUS_INTERVAL_S, len(self._entries) + 1)
        return MISSED_STATUSES * interval

    def _reachable(self) -> list[SidecarPeer]:
        """Return the sidecars heard of late, or all if none was."""
        oldest = self._monotonic() - self._silence_s()
        heard = [peer for peer in self._sidecars.values() if peer.heard_at >= oldest]
        return heard or list(self._sidecars.values())

    def _nearest(
        self, key: bytes, peers: list[SidecarPeer], count: int
    ) -> list[SidecarPeer]:
        """Return so many of the peers in the key's order, half from the own zone."""
        by_ip = {peer.ip: peer for peer in peers}
        order = [by_ip[ip] for ip in rendezvous_order(key, by_ip)]
        local = [peer for peer in order if peer.status.zone == self._zone]
        first = local[: count // 2]
        rest = [peer for peer in order if peer not in first]
        return (first + rest)[:count]
