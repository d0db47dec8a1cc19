"""Placement of flows: imbalance, and flows broken by planned changes.

Each packet goes to a random entry instance. A flow counts as broken if any of its
packets reaches a target other than the one that it is assigned to.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from cranberryhold.addresses import Address
from cranberryhold.datapath.connection_ids import ConnectionIdCodec, TargetRef
from cranberryhold.datapath.placement import MaglevTable, should_pass_on
from cranberryhold.datapath.routing import DropReason, Router
from cranberryhold.datapath.targets import (
    GUARD_WINDOW_S,
    MassFailureGuard,
    ServiceTargets,
    TargetTables,
)
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.models import service_id
from cranberryhold.membership.members import Member, MemberState, MemberTable, Role
from tests.baselines_placement import Baseline, HashModulo, Rendezvous, RoundRobin
from tools.tables import Table

SERVICE = "khata-core"
TARGETS = 7
INSTANCES = 20
FLOWS = 2_000
PACKETS_AFTER_CHANGE = 5
NEW_FLOWS = 70_000
KEYS = KeyRing({1: bytes(range(32))})

Targets = tuple[Member, ...]


class _ZeroClock:
    """A clock that stays at zero, as nothing here depends on time."""

    def monotonic(self) -> float:
        return 0.0

    wall = monotonic

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


class CranberryholdScheme:
    """The real router; packets of established flows carry ids of their target."""

    def __init__(self) -> None:
        self._routers: dict[Targets, tuple[Router, TargetTables]] = {}
        self._ids = ConnectionIdCodec(KEYS)

    def route_first_packet(self, key: bytes, view: Targets, instance: int) -> bytes:
        """Return the target of a first packet."""
        return self._route(view, _initial_packet(key))

    def route_later_packet(
        self, key: bytes, assigned: bytes, view: Targets, instance: int
    ) -> bytes:
        """Return the target of a packet of a flow that is assigned to a target."""
        ref = TargetRef(Address.unpack(assigned), service_id(SERVICE), 1)
        packet = b"\x40" + self._ids.encode(ref, key[-1]) + bytes(20)
        return self._route(view, packet)

    def _route(self, view: Targets, packet: bytes) -> bytes:
        if view not in self._routers:
            members = MemberTable()
            for member in view:
                members.merge(member)
            tables = TargetTables(members, _ZeroClock())
            tables.set_services([SERVICE])
            self._routers[view] = Router(KEYS, tables), tables
        router, tables = self._routers[view]
        target = router.route(tables[SERVICE], packet)
        if isinstance(target, DropReason):
            raise AssertionError(f"dropped: {target}")
        return target


class BaselineScheme:
    """A baseline, which routes first and later packets in the same way."""

    def __init__(self, baseline: Baseline) -> None:
        self._baseline = baseline

    def route_first_packet(self, key: bytes, view: Targets, instance: int) -> bytes:
        """Return the target of a first packet."""
        return self._baseline.choose(key, _accepting_targets(view), instance)

    def route_later_packet(
        self, key: bytes, assigned: bytes, view: Targets, instance: int
    ) -> bytes:
        """Return the target of a later packet."""
        return self.route_first_packet(key, view, instance)


Scheme = CranberryholdScheme | BaselineScheme
SCHEMES: dict[str, Callable[[], Scheme]] = {
    "ours": CranberryholdScheme,
    "hash mod n": lambda: BaselineScheme(HashModulo()),
    "rendezvous": lambda: BaselineScheme(Rendezvous()),
    "round robin, flow tables": lambda: BaselineScheme(RoundRobin()),
}


@dataclass(frozen=True, slots=True)
class Change:
    """Targets known to the instances before and after a change.

    :param updated_share: share of the instances that know of the change.
    """

    name: str
    before: Targets
    after: Targets
    updated_share: float = 1.0

    def view(self, instance: int) -> Targets:
        """Return the targets known to an instance after the change."""
        return self.after if instance < self.updated_share * INSTANCES else self.before


def tables(seed: int) -> list[Table]:
    """Return all tables of this experiment."""
    return [
        _planned_changes_table(seed),
        _handshake_table(seed),
        _bounded_load_table(seed),
        _mass_failure_table(),
    ]


def _member(number: int) -> Member:
    address = Address(f"10.0.0.{number + 1}", 4433)
    return Member(f"t{number}", Role.SIDECAR, "z", "r", address, address, SERVICE)


def _changes() -> list[Change]:
    initial_targets = tuple(_member(n) for n in range(TARGETS))
    joined_targets = (*initial_targets, _member(TARGETS))
    leaving = replace(
        initial_targets[3], weight=0, state=MemberState.LEAVING, version=1
    )
    left_targets = (*initial_targets[:3], leaving, *initial_targets[4:])
    replaced = (*left_targets, _member(TARGETS))
    return [
        Change("none", initial_targets, initial_targets),
        Change("join", initial_targets, joined_targets),
        Change("leave", initial_targets, left_targets),
        Change("join, half know", initial_targets, joined_targets, updated_share=0.5),
        Change("leave, half know", initial_targets, left_targets, updated_share=0.5),
        Change("replace, half know", initial_targets, replaced, updated_share=0.5),
    ]


def _planned_changes_table(seed: int) -> Table:
    changes = _changes()
    table = Table(
        f"Planned changes: {TARGETS} targets, {INSTANCES} entry instances; imbalance "
        f"(max/mean) of {NEW_FLOWS} new flows, share of {FLOWS} flows broken",
        ("scheme", "imbalance", *(change.name for change in changes)),
    )
    table.add("least possible", 1.0, *(0.0 for _ in changes))
    for name, make in SCHEMES.items():
        broken = [_broken_share(make(), change, seed) for change in changes]
        table.add(name, _imbalance(make(), changes[0].before, seed), *broken)
    return table


def _broken_share(scheme: Scheme, change: Change, seed: int) -> float:
    rng = random.Random(seed)
    assignments = {}
    for _ in range(FLOWS):
        key = rng.randbytes(8)
        assignments[key] = scheme.route_first_packet(
            key, change.before, rng.randrange(INSTANCES)
        )
    broken = 0
    for key, assigned in assignments.items():
        instances = [rng.randrange(INSTANCES) for _ in range(PACKETS_AFTER_CHANGE)]
        broken += any(
            scheme.route_later_packet(key, assigned, change.view(i), i) != assigned
            for i in instances
        )
    return broken / FLOWS


def _imbalance(scheme: Scheme, view: Targets, seed: int) -> float:
    rng = random.Random(seed)
    counts = Counter(
        scheme.route_first_packet(rng.randbytes(8), view, rng.randrange(INSTANCES))
        for _ in range(NEW_FLOWS)
    )
    return _max_over_mean([counts[target] for target in _accepting_targets(view)])


def _handshake_table(seed: int) -> Table:
    changes = _changes()[1:]
    table = Table(
        "Handshakes split: share of first packets whose copy, sent again after the "
        "change through another instance, reaches another target",
        ("scheme", *(change.name for change in changes)),
    )
    # A join has to move 1/8 of the keys, a leave or a replacement 1/7. When half of
    # the instances are updated, half of the copies are routed by the new table.
    join, leave = 1 / (TARGETS + 1), 1 / TARGETS
    table.add("least possible", join, leave, join / 2, leave / 2, leave / 2)
    for name, make in SCHEMES.items():
        table.add(name, *(_split_share(make(), change, seed) for change in changes))
    return table


def _split_share(scheme: Scheme, change: Change, seed: int) -> float:
    rng = random.Random(seed)
    split = 0
    for _ in range(FLOWS * 5):
        key = rng.randbytes(8)
        one, two = rng.sample(range(INSTANCES), 2)
        first_target = scheme.route_first_packet(key, change.before, one)
        split += first_target != scheme.route_first_packet(key, change.view(two), two)
    return split / (FLOWS * 5)


@dataclass(slots=True)
class _LoadSimulation:
    """Arrivals and departures of connections at the targets of a service."""

    seed: int
    bounded: bool
    half_outdated: bool
    lifetime_factor: int = 1
    """Factor by which connections of the first target last longer."""
    passed_on: int = 0

    def run(self) -> tuple[float, float, float]:
        """Return mean and maximum imbalance after a join, and the share passed on."""
        rng = random.Random(self.seed)
        names = [_member(n).forward_address.pack() for n in range(TARGETS + 1)]
        old = MaglevTable([(n, 100) for n in names[:TARGETS]])
        new = MaglevTable([(n, 100) for n in names])
        counts = dict.fromkeys(names, 0)
        reported_counts = dict(counts)
        departures_at: list[list[bytes]] = [
            [] for _ in range(_TICKS + _MAX_LIFETIME_TICKS + 1)
        ]
        samples, arrivals = [], 0
        for tick in range(_TICKS):
            joined = tick >= _JOIN_TICK
            for name in departures_at[tick]:
                counts[name] -= 1
            if tick % _REPORT_TICKS == 0:
                reported_counts = dict(counts)
            for _ in range(_arrival_count(rng, tick)):
                key = rng.randbytes(8)
                is_updated = joined and not (self.half_outdated and rng.random() < 0.5)
                target = (new if is_updated else old).lookup(key)
                target = self._apply_load_bound(
                    target, key, new if joined else old, counts, reported_counts
                )
                counts[target] += 1
                arrivals += 1
                lifetime = _lifetime(rng) * (
                    self.lifetime_factor if target == names[0] else 1
                )
                departures_at[tick + min(lifetime, _MAX_LIFETIME_TICKS)].append(target)
            if joined:
                samples.append(_max_over_mean(list(counts.values())))
        return sum(samples) / len(samples), max(samples), self.passed_on / arrivals

    def _apply_load_bound(self, target, key, table, counts, reported_counts) -> bytes:
        peers = [reported_counts[name] for name, _ in table.weights if name != target]
        if not self.bounded or not should_pass_on(counts[target], peers, False):
            return target
        self.passed_on += 1
        return table.lookup_excluding(key, target) or target


# One tick is 1 s: the run takes an hour, a target joins after ten minutes, and load
# is reported every 10 s.
_TICKS = 3600
_JOIN_TICK = 600
_REPORT_TICKS = 10
_MAX_LIFETIME_TICKS = 1800


def _arrival_count(rng: random.Random, tick: int) -> int:
    # Bursts of ten times the usual rate in the first 5 s of each minute.
    return rng.randrange(40, 60) if tick % 60 < 5 else rng.randrange(3, 7)


def _lifetime(rng: random.Random) -> int:
    return 1 + int(rng.paretovariate(0.8) * 60)


def _bounded_load_table(seed: int) -> Table:
    table = Table(
        f"Bounded load: open connections (max/mean) in the 50 minutes after a join, "
        f"{TARGETS} + 1 targets",
        ("run", "mean imbalance", "worst imbalance", "first packets passed on"),
    )
    conditions = (
        ("all know", False, 1),
        ("half the fleet with the old table", True, 1),
        ("connections of one target stay 3 times longer", False, 3),
    )
    for name, half_outdated, lifetime_factor in conditions:
        for bounded in (False, True):
            label = f"{name}, bounded load {'on' if bounded else 'off'}"
            table.add(
                label,
                *_LoadSimulation(seed, bounded, half_outdated, lifetime_factor).run(),
            )
    return table


def _mass_failure_table() -> Table:
    table = Table(
        f"Guard: {TARGETS} targets, some reported down within a second; share of "
        "first packets that reach a running target, load (max/mean) of running ones",
        ("reports", "reached", "reached, no guard", "load", "load, no guard"),
    )
    for name, reported, stopped, replaced in (
        ("3 down, true", 3, 3, 0),
        ("4 down, false", 4, 0, 0),
        ("4 down, true", 4, 4, 0),
        ("4 down, true, 1 replaced", 4, 4, 1),
    ):
        on, off = (
            _reachable_share_and_load(
                MassFailureGuard(window_s), reported, stopped, replaced
            )
            for window_s in (GUARD_WINDOW_S, -1.0)
        )
        table.add(name, on[0], off[0], on[1], off[1])
    return table


def _reachable_share_and_load(
    guard: MassFailureGuard, reported: int, stopped: int, replaced: int
) -> tuple[float, float]:
    """Return the share of slots of running targets, and their load (max/mean)."""
    members, service = MemberTable(), ServiceTargets(SERVICE)
    service.guard = guard
    members.changes.subscribe(lambda change: guard.record_change(change, 0.0))
    before = [_member(number) for number in range(TARGETS)]
    new = [_member(TARGETS + number) for number in range(replaced)]
    down = [member.with_state(MemberState.DOWN) for member in before[:reported]]
    for member in (*before, *down, *new):
        members.merge(member)
    slots = Counter(service.rebuild(members, 0.0).slots())
    running = [slots[m.forward_address.pack()] for m in (*before[stopped:], *new)]
    return sum(running) / slots.total(), _max_over_mean(running)


def _accepting_targets(view: Targets) -> Sequence[bytes]:
    return [m.forward_address.pack() for m in view if m.accepts_new_flows]


def _initial_packet(key: bytes) -> bytes:
    return (b"\xc0\x00\x00\x00\x01\x08" + key).ljust(1200, b"\0")


def _max_over_mean(counts: list[int]) -> float:
    return max(counts) * len(counts) / max(sum(counts), 1)
