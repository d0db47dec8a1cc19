"""Cost of membership: steady state, changes, a lost zone and partitioned regions.

Whole clusters run in one process and in virtual time. The costs per change grow with
the logarithm of the number of members, like the piggyback limit, so they are fitted
against it.
"""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import log2

from cranberryhold.membership.members import MemberState
from tools.clusters import (
    Cluster,
    Instance,
    MemoryStore,
    accepted_manifest,
    running_cluster,
)
from tools.slope_parts.fits import Slope
from tools.slope_parts.meters import measure_processor_time
from tools.virtual_time import run_virtual

ZONES = 8
SIZES = (32, 64, 128, 256)
REGION_SIZES = (32, 64, 128)
_STEADY_S = 30.0
_SETTLE_S = 5.0
_CHANGES = 60
_CHANGE_INTERVAL_S = 0.5
_CONVERGENCE_S = 20.0
_ROUNDS = 2
_PARTITION_S = 60.0
_TIMEOUT_S = 600.0
_WINDOW_S = 1.0
_PER = "log2 of members"


@dataclass(frozen=True, slots=True)
class Event:
    """Cost of an event that changes the state of many members.

    :param seconds: time until all members agree again.
    :param bytes_per_news: bytes sent per member and per changed record.
    :param peak: maximum number of bytes that one member sent in one second.
    """

    seconds: float
    bytes_per_news: float
    peak: float


def slopes(seed: int) -> Iterator[Slope]:
    """Yield steady costs, costs per change and the costs of large events."""
    logs = [log2(n) for n in SIZES]
    steady = [_min_steady_costs(seed, n) for n in SIZES]
    names = ("bytes", "datagrams", "time")
    for index, (name, unit) in enumerate(
        zip(names, ("B/s", "1/s", "s/s"), strict=True)
    ):
        points = tuple(zip(logs, (s[index] for s in steady), strict=True))
        yield Slope(f"steady.{name}", unit, _PER, points)
    for index, (name, unit) in enumerate(zip(names, ("B", "1", "s"), strict=True)):
        points = tuple(zip(logs, (s[3 + index] for s in steady), strict=True))
        yield Slope(f"change.{name}", unit, _PER, points)
    points = tuple((log2(n), run_virtual(_manifest_change(seed, n))) for n in SIZES)
    yield Slope("announcement.datagrams", "1", _PER, points)
    for name, scenario, sizes in (
        ("zone.lost", _zone_lost, SIZES),
        ("zone.back", _zone_back, SIZES),
        ("regions", _regions, REGION_SIZES),
    ):
        events = [run_virtual(scenario(seed, n)) for n in sizes]
        for field, unit in (("seconds", "s"), ("bytes_per_news", "B"), ("peak", "B")):
            values = (getattr(event, field) for event in events)
            points = tuple(zip(map(log2, sizes), values, strict=True))
            yield Slope(f"{name}.{field}", unit, _PER, points)


def _min_steady_costs(seed: int, count: int) -> tuple[float, ...]:
    """Return the minimum of each cost, as other load on the machine only adds to it."""
    rounds = [run_virtual(_steady_costs(seed, count)) for _ in range(_ROUNDS)]
    return tuple(map(min, zip(*rounds, strict=True)))


def _sent_totals(instances: list[Instance]) -> tuple[int, int]:
    links = [i.link for i in instances]
    sent = sum(link.sent_bytes + link.call_bytes for link in links)
    return sent, sum(link.datagrams for link in links)


async def _measure_window(
    cluster: Cluster, seconds: float
) -> tuple[float, float, float]:
    """Return bytes, datagrams and processor time per member in a time window."""
    count = len(cluster.instances)
    before = _sent_totals(cluster.instances)
    with measure_processor_time() as measurement:
        await asyncio.sleep(seconds)
    after = _sent_totals(cluster.instances)
    return (
        (after[0] - before[0]) / count,
        (after[1] - before[1]) / count,
        measurement.value / count,
    )


async def _steady_costs(seed: int, count: int) -> tuple[float, ...]:
    """Return the costs per member and second, and per member and change."""
    async with running_cluster(seed, zones=ZONES) as cluster:
        await cluster.start_all(count)
        await asyncio.sleep(_SETTLE_S)
        idle = [cost / _STEADY_S for cost in await _measure_window(cluster, _STEADY_S)]

        async def change() -> None:
            for number in range(_CHANGES):
                instance = cluster.instances[number % count]
                weight = 90 - number % 2 - number // count
                instance.membership.announce(weight=weight)
                await asyncio.sleep(_CHANGE_INTERVAL_S)

        window_s = _CHANGES * _CHANGE_INTERVAL_S + _CONVERGENCE_S
        task = asyncio.create_task(change())
        busy = await _measure_window(cluster, window_s)
        await task
        changes = [
            (cost - window_s * rest) / _CHANGES
            for cost, rest in zip(busy, idle, strict=True)
        ]
    return (*idle, *changes)


async def _manifest_change(seed: int, count: int) -> float:
    """Return the announcements sent per member for a change of the manifest."""
    store = MemoryStore()
    store.put(accepted_manifest(1))
    async with running_cluster(seed, zones=ZONES) as cluster:
        await cluster.start_all(count, store=store)
        await cluster.until(lambda: _all_have(cluster, 1), _TIMEOUT_S)
        await asyncio.sleep(_SETTLE_S)
        idle = (await _measure_window(cluster, 10.0))[1]
        task = asyncio.create_task(_measure_window(cluster, 10.0))
        await asyncio.sleep(0)
        store.put(accepted_manifest(2, "khata-core", "bill-intake", port=444))
        sent = (await task)[1]
        assert _all_have(cluster, 2)
    return sent - idle


def _all_have(cluster: Cluster, generation: int) -> bool:
    return all(i.manifest_state.generation >= generation for i in cluster.instances)


def _all_see(
    observers: list[Instance], others: list[Instance], state: MemberState
) -> bool:
    names = [o.node_id for o in others]
    for observer in observers:
        table = observer.membership.table
        for name in names:
            member = table.get(name)
            if member is None or member.state is not state:
                return False
    return True


def _instances_in(cluster: Cluster, zones: set[int]) -> list[Instance]:
    return [i for i in cluster.instances if int(i.address.ip.split(".")[1]) in zones]


async def _measure_event(
    cluster: Cluster,
    observers: list[Instance],
    changed: int,
    idle: float,
    condition: Callable[[], bool],
) -> Event:
    """Wait for a condition; return the cost above the steady state.

    :param idle: bytes per member and second in the steady state.
    """
    peak, before = 0, _sent_totals(observers)[0]

    async def watch() -> None:
        nonlocal peak
        while True:
            sent = [_sent_totals([o])[0] for o in observers]
            await asyncio.sleep(_WINDOW_S)
            now = [_sent_totals([o])[0] for o in observers]
            peak = max(peak, *(b - a for a, b in zip(sent, now, strict=True)))

    task = asyncio.create_task(watch())
    seconds = await cluster.until(condition, _TIMEOUT_S, 0.1)
    await asyncio.sleep(2 * _WINDOW_S)
    task.cancel()
    total = (_sent_totals(observers)[0] - before) / len(observers)
    excess = total - idle * (seconds + 2 * _WINDOW_S)
    return Event(seconds, max(0.0, excess) / changed, peak)


async def _zone_lost(seed: int, count: int) -> Event:
    async with running_cluster(seed, zones=ZONES) as cluster:
        idle = await _start_steady(cluster, count)
        return await _lose_zone(cluster, idle)


async def _start_steady(cluster: Cluster, count: int) -> float:
    """Start a cluster; return its bytes per member and second when idle."""
    await cluster.start_all(count)
    await asyncio.sleep(_SETTLE_S)
    return (await _measure_window(cluster, _STEADY_S))[0] / _STEADY_S


async def _lose_zone(cluster: Cluster, idle: float) -> Event:
    lost = _instances_in(cluster, {0})
    rest = _instances_in(cluster, set(range(1, ZONES)))
    for instance in lost:
        await instance.kill()

    def converged() -> bool:
        return _all_see(rest, lost, MemberState.DOWN)

    return await _measure_event(cluster, rest, len(lost), idle, converged)


async def _zone_back(seed: int, count: int) -> Event:
    async with running_cluster(seed, zones=ZONES) as cluster:
        idle = await _start_steady(cluster, count)
        await _lose_zone(cluster, idle)
        rest = _instances_in(cluster, set(range(1, ZONES)))
        lost = _instances_in(cluster, {0})
        cluster.instances[:] = rest
        for number in range(0, count, ZONES):
            contacts = [rest[number % len(rest)].address]
            await cluster.start(number, contacts, incarnation=2000)
        back = _instances_in(cluster, {0})

        def converged() -> bool:
            return _all_see(rest, back, MemberState.ALIVE) and _all_see(
                back, rest, MemberState.ALIVE
            )

        return await _measure_event(
            cluster, cluster.instances, len(lost), idle, converged
        )


async def _regions(seed: int, count: int) -> Event:
    even, odd = set(range(0, ZONES, 2)), set(range(1, ZONES, 2))
    async with running_cluster(seed, zones=ZONES) as cluster:
        idle = await _start_steady(cluster, count)
        heal = cluster.partition_zones(even, odd)
        first, second = _instances_in(cluster, even), _instances_in(cluster, odd)
        await cluster.until(
            lambda: (
                _all_see(first, second, MemberState.DOWN)
                and _all_see(second, first, MemberState.DOWN)
            ),
            _TIMEOUT_S,
        )
        await asyncio.sleep(_PARTITION_S)
        heal()
        all_instances = cluster.instances
        return await _measure_event(
            cluster,
            all_instances,
            count,
            idle,
            lambda: _all_see(all_instances, all_instances, MemberState.ALIVE),
        )
