"""Placement of flows: imbalance, and flows broken by planned changes.

Every packet goes to a random entry instance. A flow is broken when one of its
packets reaches another target than the one that holds it.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from cranberryhold.addresses import Address
from cranberryhold.connection_ids import ConnectionIdCodec, TargetRef
from cranberryhold.keys import KeyRing
from cranberryhold.manifest import service_id
from cranberryhold.members import Member, MemberState, MemberTable, Role
from cranberryhold.placement import MaglevTable, should_pass_on
from cranberryhold.routing import DropReason, Router
from cranberryhold.targets import (
    GUARD_WINDOW_S,
    MassFailureGuard,
    ServiceTargets,
    TargetTables,
)
from tests.baselines_placement import Baseline, HashModulo, Rendezvous, RoundRobin
from tools.tables import Table

SERVICE = "khata-core"
TARGETS = 7
INSTANCES = 20
FLOWS = 2_000
PACKETS_AFTER = 5
NEW_FLOWS = 70_000
KEYS = KeyRing({1: bytes(range(32))})

Targets = tuple[Member, ...]


class _NoTime:
    """A clock at zero: nothing here depends on time."""

    def monotonic(self) -> float:
        return 0.0

    wall = monotonic

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


class Ours:
    """The real router; established flows carry ids issued by their target."""

    def __init__(self) -> None:
        self._routers: dict[Targets, tuple[Router, TargetTables]] = {}
        self._ids = ConnectionIdCodec(KEYS)

    def first(self, key: bytes, view: Targets, instance: int) -> bytes:
        """Return the target of a first packet."""
        return self._route(view, _initial(key))

    def later(self, key: bytes, home: bytes, view: Targets, instance: int) -> bytes:
        """Return the target of a packet of a flow that ``home`` holds."""
        ref = TargetRef(Address.unpack(home), service_id(SERVICE), 1)
        packet = b"\x40" + self._ids.encode(ref, key[-1]) + bytes(20)
        return self._route(view, packet)

    def _route(self, view: Targets, packet: bytes) -> bytes:
        if view not in self._routers:
            members = MemberTable()
            for member in view:
                members.merge(member)
            tables = TargetTables(members, _NoTime())
            tables.set_services([SERVICE])
            self._routers[view] = Router(KEYS, tables), tables
        router, tables = self._routers[view]
        target = router.route(tables[SERVICE], packet)
        if isinstance(target, DropReason):
            raise AssertionError(f"dropped: {target}")
        return target


class Plain:
    """A baseline, which treats all packets of a flow alike."""

    def __init__(self, baseline: Baseline) -> None:
        self._baseline = baseline

    def first(self, key: bytes, view: Targets, instance: int) -> bytes:
        """Return the target of a first packet."""
        return self._baseline.choose(key, _live(view), instance)

    def later(self, key: bytes, home: bytes, view: Targets, instance: int) -> bytes:
        """Return the target of a later packet."""
        return self.first(key, view, instance)


Scheme = Ours | Plain
SCHEMES: dict[str, Callable[[], Scheme]] = {
    "ours": Ours,
    "hash mod n": lambda: Plain(HashModulo()),
    "rendezvous": lambda: Plain(Rendezvous()),
    "round robin, flow tables": lambda: Plain(RoundRobin()),
}


@dataclass(frozen=True, slots=True)
class Change:
    """What the instances know before and after a change.

    :param share: share of the instances that know of it.
    """

    name: str
    before: Targets
    after: Targets
    share: float = 1.0

    def view(self, instance: int) -> Targets:
        """Return what an instance knows after the change."""
        return self.after if instance < self.share * INSTANCES else self.before


def tables(seed: int) -> list[Table]:
    """Return all tables of this experiment."""
    return [
        _planned_changes(seed),
        _handshakes(seed),
        _bounded_load(seed),
        _guarded(),
    ]


def _member(number: int) -> Member:
    where = Address(f"10.0.0.{number + 1}", 4433)
    return Member(f"t{number}", Role.SIDECAR, "z", "r", where, where, SERVICE)


def _changes() -> list[Change]:
    seven = tuple(_member(n) for n in range(TARGETS))
    eight = (*seven, _member(TARGETS))
    leaving = replace(seven[3], weight=0, state=MemberState.LEAVING, version=1)
    left = (*seven[:3], leaving, *seven[4:])
    replaced = (*left, _member(TARGETS))
    return [
        Change("none", seven, seven),
        Change("join", seven, eight),
        Change("leave", seven, left),
        Change("join, half know", seven, eight, share=0.5),
        Change("leave, half know", seven, left, share=0.5),
        Change("replace, half know", seven, replaced, share=0.5),
    ]


def _planned_changes(seed: int) -> Table:
    changes = _changes()
    table = Table(
        f"Planned changes: {TARGETS} targets, {INSTANCES} entry instances; imbalance "
        f"(max/mean) of {NEW_FLOWS} new flows, share of {FLOWS} flows broken",
        ("scheme", "imbalance", *(change.name for change in changes)),
    )
    table.add("least possible", 1.0, *(0.0 for _ in changes))
    for name, make in SCHEMES.items():
        broken = [_broken(make(), change, seed) for change in changes]
        table.add(name, _imbalance(make(), changes[0].before, seed), *broken)
    return table


def _broken(scheme: Scheme, change: Change, seed: int) -> float:
    source = random.Random(seed)
    homes = {}
    for _ in range(FLOWS):
        key = source.randbytes(8)
        homes[key] = scheme.first(key, change.before, source.randrange(INSTANCES))
    broken = 0
    for key, home in homes.items():
        instances = [source.randrange(INSTANCES) for _ in range(PACKETS_AFTER)]
        broken += any(
            scheme.later(key, home, change.view(i), i) != home for i in instances
        )
    return broken / FLOWS


def _imbalance(scheme: Scheme, view: Targets, seed: int) -> float:
    source = random.Random(seed)
    counts = Counter(
        scheme.first(source.randbytes(8), view, source.randrange(INSTANCES))
        for _ in range(NEW_FLOWS)
    )
    return _max_over_mean([counts[target] for target in _live(view)])


def _handshakes(seed: int) -> Table:
    changes = _changes()[1:]
    table = Table(
        "Handshakes split: share of first packets whose copy, sent again after the "
        "change through another instance, reaches another target",
        ("scheme", *(change.name for change in changes)),
    )
    # A join must move 1/8 of the keys, a leave or a replacement 1/7. When half of
    # the instances know, the copy meets the new table half the time.
    join, leave = 1 / (TARGETS + 1), 1 / TARGETS
    table.add("least possible", join, leave, join / 2, leave / 2, leave / 2)
    for name, make in SCHEMES.items():
        table.add(name, *(_split(make(), change, seed) for change in changes))
    return table


def _split(scheme: Scheme, change: Change, seed: int) -> float:
    source = random.Random(seed)
    split = 0
    for _ in range(FLOWS * 5):
        key = source.randbytes(8)
        one, two = source.sample(range(INSTANCES), 2)
        first = scheme.first(key, change.before, one)
        split += first != scheme.first(key, change.view(two), two)
    return split / (FLOWS * 5)


@dataclass(slots=True)
class _LoadRun:
    """Arrivals and departures of connections at the targets of a service."""

    seed: int
    bounded: bool
    half_old: bool
    sticky: int = 1
    """How many times longer the connections of one target stay."""
    passed_on: int = 0

    def run(self) -> tuple[float, float, float]:
        """Return mean and worst imbalance after a join, and the share passed on."""
        source = random.Random(self.seed)
        names = [_member(n).forward_address.pack() for n in range(TARGETS + 1)]
        old = MaglevTable([(n, 100) for n in names[:TARGETS]])
        new = MaglevTable([(n, 100) for n in names])
        counts = dict.fromkeys(names, 0)
        heard = dict(counts)
        leaving_at: list[list[bytes]] = [[] for _ in range(_TICKS + _LONGEST_TICKS + 1)]
        samples, arrivals = [], 0
        for tick in range(_TICKS):
            joined = tick >= _JOIN_TICK
            for name in leaving_at[tick]:
                counts[name] -= 1
            if tick % _HEARD_TICKS == 0:
                heard = dict(counts)
            for _ in range(_arrivals(source, tick)):
                key = source.randbytes(8)
                knows = joined and not (self.half_old and source.random() < 0.5)
                target = (new if knows else old).lookup(key)
                target = self._bounded(
                    target, key, new if joined else old, counts, heard
                )
                counts[target] += 1
                arrivals += 1
                stays = _lifetime(source) * (self.sticky if target == names[0] else 1)
                leaving_at[tick + min(stays, _LONGEST_TICKS)].append(target)
            if joined:
                samples.append(_max_over_mean(list(counts.values())))
        return sum(samples) / len(samples), max(samples), self.passed_on / arrivals

    def _bounded(self, target, key, table, counts, heard) -> bytes:
        peers = [heard[name] for name, _ in table.weights if name != target]
        if not self.bounded or not should_pass_on(counts[target], peers, False):
            return target
        self.passed_on += 1
        return table.lookup_excluding(key, target) or target


# One tick is 1 s: an hour, a join after ten minutes, load heard every 10 s.
_TICKS = 3600
_JOIN_TICK = 600
_HEARD_TICKS = 10
_LONGEST_TICKS = 1800


def _arrivals(source: random.Random, tick: int) -> int:
    # Demand varies widely within seconds: bursts of ten times the usual rate.
    return source.randrange(40, 60) if tick % 60 < 5 else source.randrange(3, 7)


def _lifetime(source: random.Random) -> int:
    return 1 + int(source.paretovariate(0.8) * 60)


def _bounded_load(seed: int) -> Table:
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
    for name, half_old, sticky in conditions:
        for bounded in (False, True):
            label = f"{name}, bounded load {'on' if bounded else 'off'}"
            table.add(label, *_LoadRun(seed, bounded, half_old, sticky).run())
    return table


def _guarded() -> Table:
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
            _reached(MassFailureGuard(window_s), reported, stopped, replaced)
            for window_s in (GUARD_WINDOW_S, -1.0)
        )
        table.add(name, on[0], off[0], on[1], off[1])
    return table


def _reached(
    guard: MassFailureGuard, reported: int, stopped: int, replaced: int
) -> tuple[float, float]:
    """Return the share of keys on running targets, and their load (max/mean)."""
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


def _live(view: Targets) -> Sequence[bytes]:
    return [m.forward_address.pack() for m in view if m.accepts_new_flows]


def _initial(key: bytes) -> bytes:
    return (b"\xc0\x00\x00\x00\x01\x08" + key).ljust(1200, b"\0")


def _max_over_mean(counts: list[int]) -> float:
    return max(counts) * len(counts) / max(sum(counts), 1)
