"""The targets of each service that accept new flows, updated with the members."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress
from math import inf

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock, SystemClock
from cranberryhold.datapath.placement import MaglevTable
from cranberryhold.manifest.models import service_id
from cranberryhold.membership.members import (
    Member,
    MemberChange,
    MemberState,
    MemberTable,
)

GUARD_WINDOW_S = 10.0
# Changes that arrive together, such as the records of a zone, cause one rebuild.
COALESCE_S = 0.1
# Members that are forgotten cause no change event, so services with held targets are
# rebuilt periodically.
_HELD_REBUILD_INTERVAL_S = 10.0


class MassFailureGuard:
    """Keeps the targets of a service in use when too many appear down at once.

    If more than half of the targets go down within a window, either the reports are
    wrong or the observer itself is isolated, so none of these targets is removed.
    They are held until they are reported up again, are forgotten, or are no longer
    more than half of the service's targets.

    :param window_s: seconds within which reports count as simultaneous.
    """

    def __init__(self, window_s: float = GUARD_WINDOW_S) -> None:
        self._window_s = window_s
        self._down_since: dict[str, float] = {}
        self._departed: set[str] = set()
        self._held: set[str] = set()

    @property
    def held(self) -> frozenset[str]:
        """Node ids of the targets that are considered down but kept in use."""
        return frozenset(self._held)

    def record_change(self, change: MemberChange, now: float) -> None:
        """Record a change of a member; ``now`` is in seconds of a monotonic clock."""
        before, after = change.before, change.after
        node = after.node_id
        if after.state is not MemberState.DOWN:
            self._down_since.pop(node, None)
            self._departed.discard(node)
            return
        if before is None or before.state is MemberState.DOWN:
            # A process that joins is told of old failures, which are not simultaneous.
            return
        if before.state is MemberState.LEAVING:
            self._departed.add(node)
        else:
            self._down_since[node] = now

    def select(self, members: Iterable[Member], now: float) -> list[Member]:
        """Return the members that accept new flows.

        Members that are leaving, have left, or have weight 0 are never selected.
        """
        members = list(members)
        self._discard_except({m.node_id for m in members})
        eligible = [
            m
            for m in members
            if m.weight > 0
            and m.state is not MemberState.LEAVING
            and m.node_id not in self._departed
        ]
        up = [m for m in eligible if m.state is not MemberState.DOWN]
        down = [m for m in eligible if m.state is MemberState.DOWN]
        simultaneous = {
            m.node_id
            for m in down
            if m.node_id in self._held
            or now - self._down_since.get(m.node_id, -inf) <= self._window_s
        }
        is_mass_failure = len(simultaneous) > len(up)
        self._held = simultaneous if is_mass_failure else set()
        if not up:
            self._held = {m.node_id for m in down}
        return [
            m
            for m in eligible
            if m.state is not MemberState.DOWN or m.node_id in self._held
        ]

    def _discard_except(self, node_ids: set[str]) -> None:
        self._departed &= node_ids
        for node_id in self._down_since.keys() - node_ids:
            del self._down_since[node_id]


class ServiceTargets:
    """The targets of one service that accept new flows, and their table.

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
        """Return targets for an address that serves only open flows."""
        targets = cls(name)
        targets.table = MaglevTable([])
        return targets

    def rebuild(self, members: MemberTable, now: float) -> MaglevTable:
        """Return the table for the current state of the members.

        It is rebuilt only if targets or weights differ, because most changes of a
        member (suspicion, refutation) affect neither.
        """
        kept = self.guard.select(_newest_by_address(members.of_service(self.name)), now)
        weights = {m.forward_address.pack(): m.weight for m in kept}
        if self.table is None or dict(self.table.weights) != weights:
            salt = self.service_id.to_bytes(4, "big")
            self.table = MaglevTable(weights.items(), salt)
        return self.table


class TargetTables:
    """The tables of all services of the manifest.

    A table is rebuilt when one of its members changes, at most once per
    :data:`COALESCE_S`, and when a first packet finds no table.

    :param members: the known members.
    :param clock: source of time for the guard and for coalescing.
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
        """Maintain the tables of exactly these services."""
        self._services = {
            name: self._services.get(name) or ServiceTargets(name) for name in names
        }
        self._stale &= self._services.keys()
        self._mark_stale(s.name for s in self if s.table is None)

    def table_of(self, service: ServiceTargets) -> MaglevTable:
        """Return the table of a service; build it if there is none."""
        return service.table or service.rebuild(self._members, self._clock.monotonic())

    def refresh(self) -> None:
        """Rebuild all tables whose members have changed."""
        while self._stale:
            self._rebuild_one()

    @asynccontextmanager
    async def tracking_members(self) -> AsyncIterator[None]:
        """Keep the tables up to date with the members inside the context."""
        subscription = self._members.changes.subscribe(self._on_change)
        self._mark_stale(self._services)
        task = asyncio.create_task(self._refresh_on_changes())
        try:
            yield
        finally:
            subscription.dispose()
            task.cancel()

    async def _refresh_on_changes(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(_HELD_REBUILD_INTERVAL_S):
                    await self._changed.wait()
            self._mark_stale(s.name for s in self if s.guard.held)
            self._changed.clear()
            while self._stale:
                self._rebuild_one()
                # Yields to packet forwarding; each rebuild takes milliseconds.
                await asyncio.sleep(0)
            await self._clock.sleep(COALESCE_S)

    def _rebuild_one(self) -> None:
        service = self._services.get(self._stale.pop())
        if service is not None:
            service.rebuild(self._members, self._clock.monotonic())

    def _on_change(self, change: MemberChange) -> None:
        service = self._services.get(change.after.service)
        if service is not None:
            service.guard.record_change(change, self._clock.monotonic())
        names = {change.after.service}
        if change.before is not None:
            names.add(change.before.service)
        self._mark_stale(name for name in names if name in self._services)

    def _mark_stale(self, names: Iterable[str]) -> None:
        self._stale.update(names)
        if self._stale:
            self._changed.set()


def _newest_by_address(members: Iterable[Member]) -> list[Member]:
    """Return the last started member of each address; earlier ones have ended."""
    newest: dict[Address, Member] = {}
    for member in sorted(members, key=lambda m: m.incarnation):
        newest[member.forward_address] = member
    return list(newest.values())
