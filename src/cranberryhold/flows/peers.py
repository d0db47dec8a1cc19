"""Known state of the other members."""

from __future__ import annotations

from math import ceil, inf

from cranberryhold.flows.discovery import Discovery
from cranberryhold.flows.peer_messages import MAX_LISTED_PEERS, PeerList
from cranberryhold.flows.peer_records import Departure, EntryPeer, Rotation, SidecarPeer
from cranberryhold.flows.rendezvous import rendezvous_order
from cranberryhold.flows.selection.candidates import order_by_load
from cranberryhold.flows.target_state import NO_TARGET, UNKNOWN_SERVICE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cranberryhold.flows.peer_messages import EntryStatus, Leaving, SidecarStatus

# Members are removed, and sent no more statuses, this long after their last message,
# or after they were first listed if they never sent one.
PEER_EXPIRY_S = 60.0
# A member that sends statuses less often is removed after this many were missed.
EXPIRY_STATUSES = 3
# Entry instances of its zone that send a new process the known members.
MIN_CONTACTS = 2
# Members that sent a status within this time are passed on to new members.
RECENT_PEER_S = 4.0
# A restarting entry instance is back within this time, and lists no longer contain a
# sidecar that has left.
DEPARTED_RETENTION_S = 10.0
# An entry instance that misses this many statuses is assumed to take no packets.
MAX_MISSED_ENTRY_STATUSES = 3
# A sidecar that is silent for longer, or has been listed for longer without a status,
# has ended together with its target. Longer than any deadline, as a machine that is
# paused or cut off must not lose its flows.
HOLDER_TIMEOUT_S = 15.0


class Peers:
    """The other members that this process knows.

    :param local_ip: packed IPv4 address of this instance.
    :param zone: data centre of this instance.
    :param monotonic: clock in seconds.
    """

    def __init__(self, local_ip: bytes, zone: str, monotonic: Callable[[], float]):
        self._local_ip = local_ip
        self._zone = zone
        self._monotonic = monotonic
        self._discovery = Discovery(monotonic())
        self._lists_sent = 0
        # Time at which this process resumed after a pause.
        self._resumed_at = -inf
        self._entries: dict[bytes, EntryPeer] = {}
        # Entry instances that announced their end.
        self._departed_entries: dict[bytes, Departure] = {}
        self._sidecars: dict[bytes, SidecarPeer] = {}
        # Sidecars that left without flows; lists may be older than that.
        self._departed_sidecars: dict[bytes, Departure] = {}
        # Members that were listed but sent no status yet, with the time of listing.
        self._listed_entries: dict[bytes, float] = {}
        self._listed_sidecars: dict[bytes, float] = {}

    @property
    def zone(self) -> str:
        """Data centre of this instance."""
        return self._zone

    @property
    def entries(self) -> dict[bytes, EntryPeer]:
        """Entry instances that sent a status."""
        return self._entries

    @property
    def sidecars(self) -> dict[bytes, SidecarPeer]:
        """Sidecars that sent a status."""
        return self._sidecars

    def local_entry_ips(self) -> list[bytes]:
        """Return the entry instances of this zone, and those of an unknown zone."""
        known = [p.ip for p in self._entries.values() if p.status.zone == self._zone]
        return [*known, *self._listed_entries]

    def remote_entry_ips(self) -> list[bytes]:
        """Return the entry instances of the other zones."""
        return [p.ip for p in self._entries.values() if p.status.zone != self._zone]

    def entry_ips(self) -> list[bytes]:
        """Return the addresses of the entry instances to send statuses to."""
        return [*self._entries, *self._listed_entries]

    def is_contact_of(self, ip: bytes, zone: str) -> bool:
        """Whether this member sends the known members to one that has started.

        Members of another zone leave that to the entry instances of its zone, unless
        there are too few besides itself: one alone may not know it either.

        :param zone: data centre of the member that has started.
        """
        if zone == self._zone:
            return True
        contacts = [
            peer
            for peer in self._entries.values()
            if peer.status.zone == zone and peer.ip != ip
        ]
        return len(contacts) < MIN_CONTACTS

    def status_port_of(self, ip: bytes, default: int) -> int:
        """Return the port where a member takes regular statuses."""
        entry = self._entries.get(ip)
        if entry is None:
            return default
        return entry.status.status_port or default

    def sidecar_ips(self) -> list[bytes]:
        """Return the addresses of the sidecars to send statuses to."""
        return [*self._sidecars, *self._listed_sidecars]

    def record_restore(self) -> None:
        """Record that the store may have lost registrations, also that of this process.

        No list of members is complete until all have registered again.
        """
        self._discovery.restart(self._monotonic())

    def record_registration(self, *, is_registered: bool) -> None:
        """Record whether members that start can find this process in the store."""
        if is_registered:
            self._discovery.resume(self._monotonic())
        else:
            self._discovery.suspend()

    def record_registered(self, ips: Iterable[bytes]) -> None:
        """Record a complete list of the members that are registered in the store."""
        self._discovery.record_registered(ips)

    def record_peer_list(self, ip: bytes, message: PeerList) -> bool:
        """Record a list of members whose members have been added.

        :return: whether it confirms that all running members are known now.
        """
        return self._discovery.record_peer_list(ip, message)

    def needs_members(self) -> bool:
        """Whether other members should send this process the members they know."""
        return not self._discovery.has_settled(self._monotonic())

    def add_listed(
        self, entries: Iterable[bytes], sidecars: Iterable[bytes]
    ) -> list[bytes]:
        """Add members that the store or a peer lists; return those not known before."""
        now = self._monotonic()
        sidecars = [ip for ip in sidecars if not self._has_departed(ip, now)]
        new = []
        for ips, known, listed in (
            (entries, self._entries, self._listed_entries),
            (sidecars, self._sidecars, self._listed_sidecars),
        ):
            for ip in ips:
                if ip == self._local_ip or ip in known:
                    continue
                if ip not in listed:
                    new.append(ip)
                    listed[ip] = now
        return new

    def update_sidecar(self, ip: bytes, status: SidecarStatus) -> bool:
        """Record a sidecar's status; return whether its process is new.

        Statuses of a process that has left are ignored. They may arrive after the
        message that announced its end, as they are sent to another port.
        """
        departure = self._departed_sidecars.get(ip)
        if departure is not None and departure.process == status.process:
            return False
        now = self._monotonic()
        peer = self._sidecars.get(ip)
        self._listed_sidecars.pop(ip, None)
        self._departed_sidecars.pop(ip, None)
        confirmed = status if _is_confirmed(status) else None
        if peer is None:
            self._sidecars[ip] = SidecarPeer(
                ip, status, now, confirmed=confirmed, started_anew=status.started_anew
            )
            return True
        new = peer.status.process != status.process
        if peer.restarting and not new:
            return False
        peer.started_anew = status.started_anew or (peer.started_anew and not new)
        peer.status, peer.last_seen = status, now
        peer.offered, peer.restarting = 0, False
        peer.confirmed = confirmed or peer.confirmed
        return new

    def update_entry(self, ip: bytes, status: EntryStatus) -> bool:
        """Record an entry instance's status; return whether its process is new.

        Statuses of a process that has left are ignored.
        """
        departure = self._departed_entries.get(ip)
        if departure is not None and departure.process == status.process:
            return False
        previous = self._entries.get(ip)
        self._listed_entries.pop(ip, None)
        self._departed_entries.pop(ip, None)
        self._entries[ip] = EntryPeer(ip, status, self._monotonic())
        return previous is None or previous.status.process != status.process

    def record_departure(self, ip: bytes, message: Leaving) -> bool:
        """Record that a process ends; return False if it was replaced already.

        A sidecar whose target holds flows is kept, as its successor serves them. An
        entry instance is still sent statuses: its successor at the same address may
        have no other way to learn of this member.
        """
        entry = self._entries.get(ip)
        if entry is not None and entry.status.process == message.process:
            now = self._monotonic()
            del self._entries[ip]
            self._listed_entries[ip] = now
            self._departed_entries[ip] = Departure(
                message.process, entry.status.zone, now
            )
            return True
        sidecar = self._sidecars.get(ip)
        if sidecar is None or sidecar.status.process != message.process:
            return False
        if message.flows:
            sidecar.restarting = True
        else:
            del self._sidecars[ip]
            self._departed_sidecars[ip] = Departure(
                message.process, sidecar.status.zone, self._monotonic()
            )
        return True

    def rotation(self) -> Rotation:
        """Return the readiness of the other entry instances in the local zone."""
        now = self._monotonic()
        local = [p for p in self._entries.values() if p.status.zone == self._zone]
        ready = sum(
            p.status.ready
            and not p.status.stopping
            and now - p.last_seen
            <= MAX_MISSED_ENTRY_STATUSES * p.status.interval_ms / 1000
            for p in local
        )
        departed = [
            departure
            for departure in self._departed_entries.values()
            if departure.zone == self._zone
            and now - departure.at < DEPARTED_RETENTION_S
        ]
        return Rotation(ready, len(local) - ready + len(departed))

    def record_pause(self, seconds: float) -> None:
        """Record that this process was paused.

        Statuses missed during the pause do not count against the other members. Their
        known state is as old as the pause, so no search is complete until all running
        members have sent a status again.
        """
        for peer in self._sidecars.values():
            peer.last_seen += seconds
        self._resumed_at = self._monotonic()

    def remove_expired(self) -> list[bytes]:
        """Remove expired members, and return those of them that had sent a status."""
        now = self._monotonic()
        expired = []
        for known in (self._entries, self._sidecars):
            for ip in [
                i
                for i, p in known.items()
                if now - p.last_seen > _expiry_s(p.status.interval_ms / 1000)
            ]:
                del known[ip]
                expired.append(ip)
        for times in (self._listed_entries, self._listed_sidecars):
            for ip in [i for i, t in times.items() if now - t > PEER_EXPIRY_S]:
                del times[ip]
        for departures in (self._departed_entries, self._departed_sidecars):
            for ip in [i for i, d in departures.items() if now - d.at > PEER_EXPIRY_S]:
                del departures[ip]
        return expired

    def peer_lists(self) -> list[PeerList]:
        """Return the members to send to a process that has started.

        Entry instances are listed if they sent a status recently, sidecars as long as
        they may hold flows.
        """
        now = self._monotonic()
        entries = [
            ip
            for ip, peer in self._entries.items()
            if now - peer.last_seen <= RECENT_PEER_S
        ]
        sidecars = [peer.ip for peer in self._possible_holders(now)]
        # A sidecar hears no others. It may have read a list with some that have left.
        if sidecars:
            sidecars += [
                ip
                for ip, since in self._listed_sidecars.items()
                if now - since < HOLDER_TIMEOUT_S
            ]
        # A process that was paused may not have noticed it yet.
        complete = self._discovery.has_settled(now) and any(
            self.is_reachable(ip) for ip in sidecars
        )
        parts = max(1, ceil(max(len(entries), len(sidecars)) / MAX_LISTED_PEERS))
        self._lists_sent += 1
        return [
            PeerList(
                tuple(entries[start : start + MAX_LISTED_PEERS]),
                tuple(sidecars[start : start + MAX_LISTED_PEERS]),
                complete,
                self._lists_sent,
                part,
                parts,
            )
            for part, start in enumerate(
                range(0, parts * MAX_LISTED_PEERS, MAX_LISTED_PEERS)
            )
        ]

    def has_left(self, ip: bytes) -> bool:
        """Whether a sidecar has left because its target has ended."""
        return ip in self._departed_sidecars

    def is_reachable(self, ip: bytes) -> bool:
        """Whether a sidecar sent a status within the time-out."""
        peer = self._sidecars.get(ip)
        return (
            peer is not None
            and self._monotonic() - peer.last_seen <= peer.silence_timeout_s()
        )

    def candidates_for_new_flow(
        self, key: bytes, service: bytes, evacuated: frozenset[str] = frozenset()
    ) -> list[SidecarPeer]:
        """Return the sidecars to offer a new flow to, lowest cost first."""
        return order_by_load(key, self._zone, self.accepting(service, evacuated))

    def accepting(
        self, service: bytes, evacuated: frozenset[str] = frozenset()
    ) -> list[SidecarPeer]:
        """Return the sidecars whose targets take new flows of a service.

        :param evacuated: data centres whose targets get no new flows.
        """
        return [
            peer
            for peer in self._reachable_or_all()
            if peer.accepts_flows_of(service) and peer.status.zone not in evacuated
        ]

    def candidates_for_search(
        self, key: bytes, services: list[bytes], limit: int
    ) -> list[bytes]:
        """Return the sidecars to search for a flow, the likely holders first.

        Any sidecar may hold the flow: an earlier configuration, which this process need
        not have seen, may have led the route to another service, and a status may be
        older than the flow. Sidecars of the route's services come first, and among
        them those of the local zone.

        :param services: tags of the services that most likely hold the flow.
        :param limit: maximum number of sidecars.
        """
        found = {peer.ip: peer for peer in self._reachable_or_all()}
        likely: dict[str, list[bytes]] = {self._zone: []}
        others: dict[str, list[bytes]] = {self._zone: []}
        for ip in rendezvous_order(key, found):
            peer = found[ip]
            zones = likely if peer.is_likely_holder(services) else others
            zones.setdefault(peer.status.zone, []).append(ip)
        ordered = [*likely.values(), *others.values()]
        return [ip for zone in ordered for ip in zone][:limit]

    def search_is_complete(self, candidates: int) -> bool:
        """Whether the candidates of a search include every possible holder.

        :param candidates: number of sidecars that are searched.
        """
        now = self._monotonic()
        if (
            not self._knows_all_members(now)
            or now - self._resumed_at <= self._longest_silence_s()
            or any(
                now - since < HOLDER_TIMEOUT_S
                for since in self._listed_sidecars.values()
            )
        ):
            return False
        holders = self._possible_holders(now)
        return len(holders) == candidates and all(
            self.is_reachable(peer.ip) for peer in holders
        )

    def _has_departed(self, ip: bytes, now: float) -> bool:
        """Whether a sidecar has left so recently that a list may still contain it."""
        departure = self._departed_sidecars.get(ip)
        return departure is not None and now - departure.at < DEPARTED_RETENTION_S

    def _possible_holders(self, now: float) -> list[SidecarPeer]:
        """Return the known sidecars whose targets may hold flows.

        A sidecar without a target counts as long as it is heard, as a target may have
        started since its last status. Once it is silent, it has most likely ended.
        """
        return [
            peer
            for peer in self._sidecars.values()
            if now - peer.last_seen < HOLDER_TIMEOUT_S
            and (peer.status.service != NO_TARGET or self.is_reachable(peer.ip))
        ]

    def _knows_all_members(self, now: float) -> bool:
        """Whether every running member that may hold flows is known."""
        return self._discovery.knows_all(now) or (
            self._discovery.lists((*self._entries, *self._sidecars))
            and all(peer.started_anew for peer in self._sidecars.values())
        )

    def _longest_silence_s(self) -> float:
        """Return the seconds within which every running sidecar sends a status."""
        return max((p.silence_timeout_s() for p in self._sidecars.values()), default=0)

    def _reachable_or_all(self) -> list[SidecarPeer]:
        """Return the sidecars with a recent status, or all of them if none has one."""
        now = self._monotonic()
        reachable = [
            peer
            for peer in self._sidecars.values()
            if now - peer.last_seen <= peer.silence_timeout_s() and not peer.restarting
        ]
        return reachable or list(self._sidecars.values())


def _is_confirmed(status: SidecarStatus) -> bool:
    """Whether a status rests on what the target reported of itself."""
    return status.service != UNKNOWN_SERVICE and not status.presumed


def _expiry_s(interval_s: float) -> float:
    return max(PEER_EXPIRY_S, EXPIRY_STATUSES * interval_s)
