"""Member records, and the table with the view that one process has of the members."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum
from random import Random

from reactivex import Observable
from reactivex.subject import Subject

from cranberryhold.addresses import Address

FULL_WEIGHT = 100

_INCARNATION_MODULUS = 1 << 32


def incarnation_at(wall_s: float) -> int:
    """Return the incarnation of a process that starts at this Unix time."""
    return int(wall_s * 100) % _INCARNATION_MODULUS


def incarnation_after(incarnation: int) -> int:
    """Return the earliest incarnation that is later than another."""
    return (incarnation + 1) % _INCARNATION_MODULUS


def incarnation_is_later(first: int, second: int) -> bool:
    """Whether the first incarnation is later than the second.

    Incarnations wrap around every 497 days, so they are compared as serial numbers
    (RFC 1982): the shorter distance around the range decides.
    """
    return 0 < (first - second) % _INCARNATION_MODULUS < _INCARNATION_MODULUS // 2


class Role(IntEnum):
    """Function of a member."""

    ENTRY = 0
    SIDECAR = 1


class MemberState(IntEnum):
    """State that an observer assigns to a member; at equal versions the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DOWN = 3


@dataclass(frozen=True, slots=True)
class Member:
    """Record of one process of the system.

    :param node_id: unique name of the instance, kept across restarts.
    :param role: entry instance or sidecar.
    :param zone: data centre, from the settings.
    :param region: region of the zone, from the settings.
    :param control_address: receives control datagrams; zmq uses the TCP port of the
        same number.
    :param forward_address: receives forwarded packets.
    :param service: name of the service it serves; empty for entry instances.
    :param weight: share of new flows, 0 (none) to 100.
    :param incarnation: start time in units of 10 ms, modulo 2^32; later than that of
        earlier processes of the instance even if its clock was set back.
    :param state: state according to the process that reported the record.
    :param version: incremented with each change that the member itself announces.
    """

    node_id: str
    role: Role
    zone: str
    region: str
    control_address: Address
    forward_address: Address
    service: str = ""
    weight: int = FULL_WEIGHT
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    version: int = 0

    @property
    def accepts_new_flows(self) -> bool:
        """Whether first packets may be sent to this member.

        A suspect accepts new flows until it is declared down, so that a suspended
        process or a lossy link does not leave a service without targets.
        """
        return self.weight > 0 and self.state <= MemberState.SUSPECT

    def supersedes(self, other: "Member") -> bool:
        """Whether this record is newer than another of the same node."""
        if self.incarnation != other.incarnation:
            return incarnation_is_later(self.incarnation, other.incarnation)
        return (self.version, self.state) > (other.version, other.state)

    def with_state(self, state: MemberState) -> "Member":
        """Return a copy in another state."""
        return replace(self, state=state)


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of the table; ``before`` is None for a new member."""

    before: Member | None
    after: Member


class MemberTable:
    """The newest record of each member, with a stream of changes.

    A record that supersedes the stored one replaces it and is published in
    ``changes``; other records are ignored.
    """

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._by_service: dict[str, dict[str, Member]] = {}
        self._changes: Subject[MemberChange] = Subject()

    @property
    def changes(self) -> Observable[MemberChange]:
        """Stream of all changes, in the order in which they were merged."""
        return self._changes

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self):
        return iter(self._members.values())

    def get(self, node_id: str) -> Member | None:
        """Return the record of a node, or None."""
        return self._members.get(node_id)

    def copy(self) -> "MemberTable":
        """Return a table with the same records and no subscribers."""
        table = MemberTable()
        table._members = self._members.copy()
        table._by_service = {s: m.copy() for s, m in self._by_service.items()}
        return table

    def merge(self, member: Member) -> bool:
        """Store a record if it is newer than the stored one; return whether it was."""
        before = self._members.get(member.node_id)
        if before is not None and not member.supersedes(before):
            return False
        self._members[member.node_id] = member
        self._index(before, member)
        self._changes.on_next(MemberChange(before, member))
        return True

    def forget(self, node_id: str) -> None:
        """Remove a record, for example of a member that has been down for long."""
        member = self._members.pop(node_id, None)
        if member is not None:
            self._by_service[member.service].pop(node_id, None)

    def of_service(self, service: str) -> list[Member]:
        """Return the sidecars of a service, in the order of their node ids."""
        return sorted(
            self._by_service.get(service, {}).values(), key=lambda m: m.node_id
        )

    def entry_instances(self) -> list[Member]:
        """Return the entry instances that are not down or leaving."""
        return [
            m
            for m in self._by_service.get("", {}).values()
            if m.role is Role.ENTRY and m.state <= MemberState.SUSPECT
        ]

    def _index(self, before: Member | None, member: Member) -> None:
        if before is not None and before.service != member.service:
            self._by_service[before.service].pop(member.node_id, None)
        self._by_service.setdefault(member.service, {})[member.node_id] = member


class LivePeers:
    """All members that are not down, except the local one, for fast random sampling.

    :param local_id: node id of the local member.
    """

    def __init__(self, table: MemberTable, local_id: str) -> None:
        self._local_id = local_id
        self._members: list[Member] = []
        self._positions: dict[str, int] = {}
        for member in table:
            self._update(MemberChange(None, member))
        table.changes.subscribe(self._update)

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    def pick(self, rng: Random, count: int, excluding: str = "") -> list[Member]:
        """Return up to ``count`` different members, chosen at random."""
        sample_size = count + 1 if excluding else count
        chosen = rng.sample(self._members, min(sample_size, len(self._members)))
        return [m for m in chosen if m.node_id != excluding][:count]

    def shuffled(self, rng: Random) -> list[Member]:
        """Return all members in random order."""
        return rng.sample(self._members, len(self._members))

    def _update(self, change: MemberChange) -> None:
        member = change.after
        if member.node_id == self._local_id:
            return
        position = self._positions.get(member.node_id)
        if member.state is MemberState.DOWN:
            if position is not None:
                self._remove(position)
        elif position is None:
            self._positions[member.node_id] = len(self._members)
            self._members.append(member)
        else:
            self._members[position] = member

    def _remove(self, position: int) -> None:
        last = self._members.pop()
        if position == len(self._members):
            del self._positions[last.node_id]
            return
        del self._positions[self._members[position].node_id]
        self._members[position] = last
        self._positions[last.node_id] = position
