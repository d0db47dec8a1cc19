"""Targets that take new flows, per service, kept up to date with the members."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress
from math import inf

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock, SystemClock
from cranberryhold.manifest import service_id
from cranberryhold.members import Member, MemberChange, MemberState, MemberTable
from cranberryhold.placement import MaglevTable

GUARD_WINDOW_S = 10.0
# Changes that arrive together, such as the records of a zone, cost one rebuild.
COALESCE_S = 0.1
# Members that are forgotten cause no change, so held targets are looked at again.
_RECHECK_HELD_S = 10.0


class MassFailureGuard:
    """Keeps a service's targets when too many appear down at once.

    When more than half of the targets go down within a window, either the reports
    are misleading or the observer is the isolated one, so none of those is
    dropped. They are kept until they are reported up again, are forgotten, or are
    no longer more than half of the service's targets.

    :param window_s: seconds within which reports count as simultaneous.
    """

    def __init__(self, window_s: float = GUARD_WINDOW_S) -> None:
        self._window_s = window_s
        self._down_since: dict[str, float] = {}
        self._left: set[str] = set()
        self._held: set[str] = set()

    @property
    def held(self) -> frozenset[str]:
        """Node ids of the targets that are believed down and kept."""
        return frozenset(self._held)

    def record_change(self, change: MemberChange, now: float) -> None:
        """Take note of a change; ``now`` is in seconds of a monotonic clock."""
        before, after = change.before, change.after
        node = after.node_id
        if after.state is not MemberState.DOWN:
            self._down_since.pop(node, None)
            self._left.discard(node)
            return
        if before is None or before.state is MemberState.DOWN:
            # A process that joins is told of old failures; that is no burst.
            return
        if before.state is MemberState.LEAVING:
            self._left.add(node)
        else:
            self._down_since[node] = now

    def select(self, members: Iterable[Member], now: float) -> list[Member]:
        """Return the members that take new flows.

        Members that are leaving, left, or have weight 0 are never among them.
        """
        members = list(members)
        self._forget_others({m.node_id for m in members})
        wanted = [
            m
            for m in members
            if m.weight > 0
            and m.state is not MemberState.LEAVING
            and m.node_id not in self._left
        ]
        up = [m for m in wanted if m.state is not MemberState.DOWN]
        down = [m for m in wanted if m.state is MemberState.DOWN]
        suspicious = {
            m.node_id
            for m in down
            if m.node_id in self._held
            or now - self._down_since.get(m.node_id, -inf) <= self._window_s
        }
        burst = len(suspicious) > len(up)
        self._held = suspicious if burst else set()
        if not up:
            self._held = {m.node_id for m in down}
        return [
            m
            for m in wanted
            if m.state is not MemberState.DOWN or m.node_id in self._held
        ]

    def _forget_others(self, node_ids: set[str]) -> None:
        self._left &= node_ids
        for node in self._down_since.keys() - node_ids:
            del self._down_since[node]


class ServiceTargets:
    """The targets of one service that take new flows, and their table.

    :param name: name of the service.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.service_id = service_id(name)
        self.guard = MassFailureGuard()
        self.table: MaglevTable | None = None
        """None until the first build."""

    @classmethod
    def without_new_flows(cls, name: str) -> "ServiceTargets":
        """Return targets for an address that serves open flows only."""
        targets = cls(name)
        targets.table = MaglevTable([])
        return targets

    def rebuild(self, members: MemberTable, now: float) -> MaglevTable:
        """Return the table for what is believed of the members now.

        It is built only if targets or weights differ, as most changes of a member
        (suspicion, refutation) change neither.
        """
        kept = self.guard.select(_newest(members.of_service(self.name)), now)
        weights = {m.forward_address.pack(): m.weight for m in kept}
        if self.table is None or dict(self.table.weights) != weights:
            salt = self.service_id.to_bytes(4, "big")
            self.table = MaglevTable(weights.items(), salt)
        return self.table


class TargetTables:
    """The tables of all services of the manifest.

    A table is rebuilt when one of its members changes, at most once per
    :data:`COALESCE_S`, and when a first packet finds none.

    :param members: what is believed of the members.
    :param clock: time of the guard and of coalescing.
    """

    def __init__(self, members: MemberTable, clock: Clock | None = None) -> None:
        self._members = members
        self._clock = clock or SystemClock()
        self._services: dict[str, ServiceTargets] = {}
        self._stale: set[str] = set()
        self._changed = asyncio.Event()

    def __getitem__(self, name: str) -> ServiceTargets:
        return self._services[name]

    def __iter__(self):
        return iter(self._services.values())

    def set_services(self, names: Iterable[str]) -> None:
        """Keep tables of exactly these services."""
        self._services = {
            name: self._services.get(name) or ServiceTargets(name) for name in names
        }
        self._stale &= self._services.keys()
        self._mark(s.name for s in self if s.table is None)

    def table_of(self, service: ServiceTargets) -> MaglevTable:
        """Return the service's table, built now if there is none."""
        return service.table or service.rebuild(self._members, self._clock.monotonic())

    def refresh(self) -> None:
        """Rebuild all tables whose members have changed."""
        while self._stale:
            self._refresh_one()

    @asynccontextmanager
    async def tracking_members(self) -> AsyncIterator[None]:
        """Keep the tables up to date with the members inside the context."""
        subscription = self._members.changes.subscribe(self._note)
        self._mark(self._services)
        task = asyncio.create_task(self._refresh_on_changes())
        try:
            yield
        finally:
            subscription.dispose()
            task.cancel()

    async def _refresh_on_changes(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(_RECHECK_HELD_S):
                    await self._changed.wait()
            self._mark(s.name for s in self if s.guard.held)
            self._changed.clear()
            while self._stale:
                self._refresh_one()
                # Packets go on between two tables; each takes milliseconds.
                await asyncio.sleep(0)
            await self._clock.sleep(COALESCE_S)

    def _refresh_one(self) -> None:
        service = self._services.get(self._stale.pop())
        if service is not None:
            service.rebuild(self._members, self._clock.monotonic())

    def _note(self, change: MemberChange) -> None:
        service = self._services.get(change.after.service)
        if service is not None:
            service.guard.record_change(change, self._clock.monotonic())
        names = {change.after.service}
        if change.before is not None:
            names.add(change.before.service)
        self._mark(name for name in names if name in self._services)

    def _mark(self, names: Iterable[str]) -> None:
        self._stale.update(names)
        if self._stale:
            self._changed.set()


def _newest(members: Iterable[Member]) -> list[Member]:
    """Return the last started member at each address, which others have left."""
    newest: dict[Address, Member] = {}
    for member in sorted(members, key=lambda m: m.incarnation):
        newest[member.forward_address] = member
    return list(newest.values())
