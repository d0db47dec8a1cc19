"""The other members, as far as this process has heard of them."""

from collections.abc import Callable, Iterable
from math import inf

from msgspec import Struct

from cranberryhold.flows.peer_messages import (
    MAX_LISTED_PEERS,
    EntryStatus,
    Leaving,
    PeerList,
    SidecarStatus,
)
from cranberryhold.flows.rendezvous import rendezvous_order
from cranberryhold.flows.target_state import NO_SERVICE

# Bytes per second that a member spends on its statuses at the most.
STATUS_BUDGET_BYTES_S = 8_000
# A status with its IP and UDP headers.
STATUS_BYTES = 90
SIDECAR_STATUS_INTERVAL_S = 0.25
ENTRY_STATUS_INTERVAL_S = 1.0
# A sidecar that misses this many statuses is offered no packets.
MAX_MISSED_STATUSES = 4
# Members that were heard or first named within this time are sent statuses.
PEER_EXPIRY_S = 60.0
# A member that was named by others answers within this time, even if it is being
# restarted; otherwise it is gone.
LISTED_ANSWERS_WITHIN_S = 4.0
# An entry instance that restarts is back within this time.
DEPARTED_KEPT_S = 10.0
# An entry instance that misses this many statuses takes no packets.
MISSED_ENTRY_STATUSES = 3
# Candidates of a new flow, half of them from the entry instance's own zone.
OPEN_CANDIDATES = 8
# A sidecar that is silent for longer has ended with its target.
HOLDS_FLOWS_AFTER_S = 15.0
# The same for one that had not heard its target.
HOLDS_NO_FLOWS_AFTER_S = 4.0
# A process that can't read the list of members has heard of all by then.
LEARN_MEMBERS_S = 5.0
# A target in another zone is preferred only if it has this much less to do.
REMOTE_COST_FACTOR = 1.3


class SidecarPeer(Struct):
    """A sidecar and its target, as it last described them.

    :param ip: packed IPv4 number.
    :param status: what it said last.
    :param heard_at: when, in seconds of the monotonic clock.
    :param placed: flows sent to it since then.
    :param left: whether its process has ended; another is expected.
    """

    ip: bytes
    status: SidecarStatus
    heard_at: float
    placed: int = 0
    left: bool = False

    def may_hold_flows_s(self) -> float:
        """Return for how many seconds of silence its target may hold flows."""
        if self.status.service == NO_SERVICE:
            return HOLDS_NO_FLOWS_AFTER_S
        return HOLDS_FLOWS_AFTER_S

    def may_serve(self, services: list[bytes] | None) -> bool:
        """Whether its target may hold flows of these services; None for all."""
        return services is None or self.status.service in (*services, NO_SERVICE)

    def cost(self, zone: str) -> tuple[bool, float]:
        """Return how little it suits for a new flow; the lowest is best."""
        status = self.status
        slots = max(1, status.slots // 2 if status.cold else status.slots)
        busy = status.running + self.placed >= slots
        share = (status.flows + self.placed + 1) / slots
        factor = 1.0 if status.zone == zone else REMOTE_COST_FACTOR
        return busy, share * factor


class EntryPeer(Struct):
    """An entry instance, as it last described itself.

    :param ip: packed IPv4 number.
    :param status: what it said last.
    :param heard_at: when, in seconds of the monotonic clock.
    """

    ip: bytes
    status: EntryStatus
    heard_at: float


class Rotation(Struct, frozen=True):
    """The other entry instances of the own zone, as the fabric sees them.

    :param ready: those that take packets.
    :param absent: those that restart, start or are silent.
    """

    ready: int
    absent: int

    def tolerates_withdrawal(self) -> bool:
        """Whether the fabric does without this instance, and without the absent.

        With some but fewer than half of a zone's instances ready, the fabric sends
        packets to all of them, also to those that do not run.
        """
        total = self.ready + self.absent + 1
        return self.ready == 0 or 2 * self.ready >= total


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
        self._started_at = monotonic()
        # When this process went on after a pause.
        self._resumed_at = -inf
        self._list_read = False
        self._entries: dict[bytes, EntryPeer] = {}
        # Entry instances of the own zone that said they end, and when.
        self._departed: dict[bytes, float] = {}
        self._sidecars: dict[bytes, SidecarPeer] = {}
        # Members that were named by others and not heard yet, and since when.
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

    def mark_list_read(self) -> None:
        """Take note that the store's list of members was read whole."""
        self._list_read = True

    def add_listed(
        self, entries: Iterable[bytes], sidecars: Iterable[bytes]
    ) -> list[bytes]:
        """Take members that others named; return those that are new here."""
        now = self._monotonic()
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
                    listed[ip] = now
        return new

    def update_sidecar(self, ip: bytes, status: SidecarStatus) -> bool:
        """Take a sidecar's status; return whether its process is new here."""
        now = self._monotonic()
        peer = self._sidecars.get(ip)
        self._listed_sidecars.pop(ip, None)
        if peer is None:
            self._sidecars[ip] = SidecarPeer(ip, status, now)
            return True
        new = peer.status.process != status.process
        if peer.left and not new:
            return False
        peer.status, peer.heard_at, peer.placed, peer.left = status, now, 0, False
        return new

    def update_entry(self, ip: bytes, status: EntryStatus) -> bool:
        """Take an entry instance's status; return whether its process is new."""
        before = self._entries.get(ip)
        self._listed_entries.pop(ip, None)
        self._departed.pop(ip, None)
        self._entries[ip] = EntryPeer(ip, status, self._monotonic())
        return before is None or before.status.process != status.process

    def record_departure(self, ip: bytes, message: Leaving) -> bool:
        """Take a process's word that it ends; False if another is there by now.

        A sidecar whose target holds flows is kept, as its successor serves them.
        """
        entry = self._entries.get(ip)
        if entry is not None and entry.status.process == message.process:
            del self._entries[ip]
            if entry.status.zone == self._zone:
                self._departed[ip] = self._monotonic()
            return True
        sidecar = self._sidecars.get(ip)
        if sidecar is None or sidecar.status.process != message.process:
            return False
        if message.flows:
            sidecar.left = True
        else:
            del self._sidecars[ip]
        return True

    def rotation(self) -> Rotation:
        """Return how many other entry instances of the own zone take packets."""
        now = self._monotonic()
        interval = status_interval_s(
            ENTRY_STATUS_INTERVAL_S, len(self._entries) + len(self._sidecars)
        )
        oldest = now - MISSED_ENTRY_STATUSES * interval
        local = [p for p in self._entries.values() if p.status.zone == self._zone]
        ready = sum(p.status.ready and p.heard_at >= oldest for p in local)
        departed = [t for t in self._departed.values() if now - t < DEPARTED_KEPT_S]
        return Rotation(ready, len(local) - ready + len(departed))

    def record_pause(self, seconds: float) -> None:
        """Take note that this process did not run for some time.

        Silence during that time says nothing about the others. What is known of
        them is as old as the pause, so that no search is complete until all that
        live have been heard again.
        """
        for peer in self._sidecars.values():
            peer.heard_at += seconds
        self._resumed_at = self._monotonic()

    def remove_expired(self) -> list[bytes]:
        """Forget members that were not heard for long, and return them."""
        now = self._monotonic()
        gone = []
        for heard in (self._entries, self._sidecars):
            for ip in [i for i, p in heard.items() if now - p.heard_at > PEER_EXPIRY_S]:
                del heard[ip]
                gone.append(ip)
        for listed in (self._listed_entries, self._listed_sidecars):
            for ip in [i for i, t in listed.items() if now - t > PEER_EXPIRY_S]:
                del listed[ip]
        return gone

    def recent_peers(self) -> PeerList:
        """Return the members that were heard of late."""
        oldest = self._monotonic() - LISTED_ANSWERS_WITHIN_S
        entries, sidecars = (
            tuple(ip for ip, peer in heard.items() if peer.heard_at >= oldest)
            for heard in (self._entries, self._sidecars)
        )
        return PeerList(entries[:MAX_LISTED_PEERS], sidecars[:MAX_LISTED_PEERS])

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

    def candidates_for_search(
        self, key: bytes, services: list[bytes] | None, most: int
    ) -> list[bytes]:
        """Return the sidecars to ask for a flow, one zone after the other.

        A sidecar that has not heard its target yet may hold any flow.

        :param services: tags of the services where the flow may be; None for all.
        :param most: how many may be asked.
        """
        found = {p.ip: p for p in self._reachable() if p.may_serve(services)}
        by_zone: dict[str, list[bytes]] = {self._zone: []}
        for ip in rendezvous_order(key, found):
            by_zone.setdefault(found[ip].status.zone, []).append(ip)
        return [ip for zone in by_zone.values() for ip in zone][:most]

    def search_is_complete(self, services: list[bytes] | None, candidates: int) -> bool:
        """Whether the candidates of a search are all that may hold the flow."""
        now = self._monotonic()
        if (
            services is None
            or not self._listed_all(now)
            or now - self._resumed_at <= self._silence_s()
            or any(
                now - since < LISTED_ANSWERS_WITHIN_S
                for since in self._listed_sidecars.values()
            )
        ):
            return False
        holders = [
            peer
            for peer in self._sidecars.values()
            if now - peer.heard_at < peer.may_hold_flows_s()
            and peer.may_serve(services)
        ]
        return len(holders) == candidates and all(
            self.is_heard(peer.ip) for peer in holders
        )

    def _listed_all(self, now: float) -> bool:
        return self._list_read or now - self._started_at > LEARN_MEMBERS_S

    def _silence_s(self) -> float:
        interval = status_interval_s(SIDECAR_STATUS_INTERVAL_S, len(self._entries) + 1)
        return MAX_MISSED_STATUSES * interval

    def _reachable(self) -> list[SidecarPeer]:
        """Return the sidecars heard of late, or all if none was."""
        oldest = self._monotonic() - self._silence_s()
        heard = [
            peer
            for peer in self._sidecars.values()
            if peer.heard_at >= oldest and not peer.left
        ]
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
