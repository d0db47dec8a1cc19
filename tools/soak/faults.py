"""Faults of a soak: kind, victim and duration of each are drawn from a seed."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random

from emulator.packet_router import LinkFaults
from emulator.stream_proxy import StreamFaults
from tools.soak.cold_starts import start_cold
from tools.soak.evacuations import evacuate_zone
from tools.soak.lost_evidence import (
    RESTART_DELAY_S,
    lose_registration,
    move_route,
)
from tools.soak.other_writers import odd_items, send_odd_heartbeat
from tools.soak.site import Machine, Site

FAULT_DURATION_S = (0.2, 4.0)
# Faults overlap in a burst; in a quiet period the invariants with a time limit apply.
BURST_DURATION_S = (3.0, 8.0)
QUIET_PERIOD_S = (0.0, 9.0)
BURST_MEAN_INTERVAL_S = 0.7
SEPARATE_INTERVAL_S = (4.0, 16.0)
SEPARATE_DURATION_S = (0.2, 6.0)
CHANGE_AFTER_OUTAGE_S = (0.0, 0.5)
RESTORE_OUTAGE_S = (0.02, 1.0)
RESPONSE_DELIVERY_S = 0.05
GROUP_KILL_FRACTIONS = (0.3, 0.6, 1.0)
MIN_REMAINING_TARGETS = 1


@dataclass(frozen=True)
class Fault:
    """One planned fault.

    :ivar start_s: seconds after the start of the fault injection.
    :ivar kind: name of the fault, a key of the injectors.
    :ivar duration_s: duration, where the kind has one.
    :ivar seed: seed for everything else that is drawn for the fault.
    """

    start_s: float
    kind: str
    duration_s: float
    seed: int


def plan_faults(seed: int, duration_s: float) -> list[Fault]:
    """Return the faults of a seed, ordered by start."""
    random = Random(seed)
    faults: list[Fault] = []
    at_s = 0.0
    while at_s < duration_s:
        burst_ends_at = at_s + random.uniform(*BURST_DURATION_S)
        while at_s < min(burst_ends_at, duration_s):
            faults.append(
                Fault(
                    at_s,
                    random.choice(list(INJECTORS)),
                    random.uniform(*FAULT_DURATION_S),
                    random.getrandbits(32),
                )
            )
            at_s += random.expovariate(1 / BURST_MEAN_INTERVAL_S)
        at_s += random.uniform(*QUIET_PERIOD_S)
    for kind in SEPARATE_INJECTORS:
        faults.extend(_plan_separate(kind, seed, duration_s))
    return sorted(faults, key=lambda f: f.start_s)


def _plan_separate(kind: str, seed: int, duration_s: float) -> Iterator[Fault]:
    random = Random(f"{seed} {kind}")
    at_s = random.uniform(*SEPARATE_INTERVAL_S)
    while at_s < duration_s:
        length_s = random.uniform(*SEPARATE_DURATION_S)
        yield Fault(at_s, kind, length_s, random.getrandbits(32))
        at_s += random.uniform(*SEPARATE_INTERVAL_S)


async def inject(site: Site, fault: Fault) -> None:
    """Inject a fault and wait until it is over."""
    injector = (INJECTORS | SEPARATE_INJECTORS)[fault.kind]
    if fault.kind in PLANNED_KINDS:
        await injector(site, Random(fault.seed), fault.duration_s)
        return
    site.checker.record_fault_start()
    site_wide = fault.kind in SITE_WIDE_KINDS
    if site_wide:
        site.checker.record_disturbance()
    of_store = fault.kind.startswith("store")
    if of_store:
        site.checker.record_store_fault_start()
    try:
        await injector(site, Random(fault.seed), fault.duration_s)
    finally:
        if of_store:
            site.checker.record_store_fault_end()
        site.checker.record_fault_end()
        if site_wide:
            site.checker.record_disturbance()


async def _kill(site: Site, random: Random, _duration_s: float) -> None:
    await _kill_and_restart(site, random, random.choice(site.machines))


async def _kill_group(site: Site, random: Random, _duration_s: float) -> None:
    group = random.choice([site.entries, site.sidecars, site.machines])
    count = max(1, round(len(group) * random.choice(GROUP_KILL_FRACTIONS)))
    chosen = random.sample(group, count)
    await asyncio.gather(*(_kill_and_restart(site, random, m) for m in chosen))


async def _kill_and_restart(site: Site, random: Random, machine: Machine) -> None:
    await site.kill(machine)
    await asyncio.sleep(random.uniform(*RESTART_DELAY_S))
    await site.start(machine)
    site.record_disturbance(machine)


async def _terminate(site: Site, random: Random, _duration_s: float) -> None:
    machine = random.choice(site.machines)
    await site.stop(machine)
    await asyncio.sleep(random.uniform(*RESTART_DELAY_S))
    await site.start(machine)


async def _restart_in_turn(site: Site, random: Random, duration_s: float) -> None:
    group = random.choice([site.entries, site.sidecars])
    for machine in random.sample(group, min(3, len(group))):
        await site.stop(machine)
        await site.start(machine)
        await asyncio.sleep(duration_s / 4)


async def _pause(site: Site, random: Random, duration_s: float) -> None:
    with _stopped(site, [random.choice(site.machines)]):
        await asyncio.sleep(duration_s)


async def _reload(site: Site, random: Random, _duration_s: float) -> None:
    for machine in random.sample(site.machines, len(site.machines) // 2):
        machine.signal(signal.SIGHUP)


async def _disturb_store_links(site: Site, random: Random, duration_s: float) -> None:
    """Disturb the connections of some machines to the store."""
    count = random.choice([1, 2, len(site.machines)])
    faults = random.choice(
        [
            StreamFaults(delay_s=random.uniform(0.1, 1.0)),
            StreamFaults(hold_requests=True),
            StreamFaults(hold_responses=True),
            StreamFaults(
                hold_requests=True, hold_responses=True, refuse_connections=True
            ),
            StreamFaults(refuse_connections=True),
        ]
    )
    proxies = [m.store_proxy for m in random.sample(site.machines, count)]
    for store_proxy in proxies:
        store_proxy.faults = faults
        if faults.refuse_connections or random.random() < 0.3:
            store_proxy.reset_connections()
    await asyncio.sleep(duration_s)
    for store_proxy in proxies:
        store_proxy.clear_faults()


async def _return_store_errors(site: Site, random: Random, duration_s: float) -> None:
    site.store.error_status = random.choice([429, 503])
    await asyncio.sleep(duration_s)
    site.store.error_status = None


async def _silence_store(site: Site, random: Random, duration_s: float) -> None:
    """Let the store answer nothing for a while, and change the configuration then."""
    site.store.unresponsive = True
    await asyncio.sleep(duration_s)
    site.store.unresponsive = False
    await asyncio.sleep(random.uniform(*CHANGE_AFTER_OUTAGE_S))
    await site.write_configuration()


async def _restore_store(site: Site, random: Random, duration_s: float) -> None:
    """Let the store come back from a copy after an outage, and lose what was written.

    The operator writes its newest configuration again, and changes it then. In half of
    the cases, the entry daemons sleep over the outage, with unread responses.
    """
    copy = site.store.copy()
    changes = random.randint(0, 2)
    for _ in range(changes):
        await asyncio.sleep(duration_s / (changes + 1))
        await site.write_configuration()
    await asyncio.sleep(duration_s / (changes + 1))
    with _stopped(site, site.entries if random.random() < 0.5 else []):
        await site.write_configuration()
        await asyncio.sleep(RESPONSE_DELIVERY_S)
        site.store.error_status = 503
        await asyncio.sleep(random.uniform(*RESTORE_OUTAGE_S))
        await site.store.restore(copy)
        site.store.error_status = None
        await asyncio.sleep(random.uniform(*CHANGE_AFTER_OUTAGE_S))
        await site.repeat_configuration()
        await site.repeat_evacuations()
        await asyncio.sleep(random.uniform(*CHANGE_AFTER_OUTAGE_S))
        await site.write_configuration()


@contextmanager
def _stopped(site: Site, machines: list[Machine]) -> Iterator[None]:
    """Stop the daemons of some machines inside the context."""
    for machine in machines:
        site.record_disturbance(machine)
        machine.signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for machine in machines:
            machine.signal(signal.SIGCONT)
            site.record_disturbance(machine)


async def _write_odd_items(site: Site, random: Random, duration_s: float) -> None:
    """Let another writer leave entries among those of the members for a while."""
    items = odd_items(random)
    for key, value in items.items():
        await site.store.put(key, value)
    await asyncio.sleep(duration_s)
    for key in items:
        await site.store.delete(key)


async def _send_odd_heartbeats(site: Site, random: Random, duration_s: float) -> None:
    for _ in range(random.randint(1, 4)):
        await send_odd_heartbeat(site, random.choice(site.sidecars), random)
        await asyncio.sleep(duration_s / 8)


async def _drop_store_responses(site: Site, random: Random, _duration_s: float) -> None:
    site.store.responses_to_drop += random.randint(1, 5)


async def _compact_store(site: Site, random: Random, _duration_s: float) -> None:
    site.store.compact_history()
    if random.random() < 0.5:
        site.store.expire_all_leases()


async def _delete_member_entries(
    site: Site, random: Random, _duration_s: float
) -> None:
    members = [key for key in site.store.keys if not key.startswith("op/")]
    for key in random.sample(members, min(2, len(members))):
        await site.store.delete(key)


async def _disturb_caller_link(site: Site, random: Random, duration_s: float) -> None:
    router = random.choice(list(site.routers.values()))
    router.faults = LinkFaults(
        loss=random.choice([0.0, 0.1, 0.5, 1.0]),
        duplication=random.choice([0.0, 0.3]),
        delay_s=random.choice([0.0, 0.05, 0.3]),
    )
    await asyncio.sleep(duration_s)
    router.faults = LinkFaults()


async def _crash_target(site: Site, random: Random, duration_s: float) -> None:
    machine = random.choice(site.sidecars)
    if machine.target is None:
        return
    name = machine.target.name if random.random() < 0.5 else None
    await site.crash_target(machine)
    await asyncio.sleep(duration_s / 2)
    if machine.target is None:
        await site.start_target(machine, name)


async def _replace_target(site: Site, random: Random, duration_s: float) -> None:
    """Drain a target, stop it and start a new one in its place."""
    machine = random.choice(site.sidecars)
    target = machine.target
    peers = [m for m in site.sidecars if m.service == machine.service and m.target]
    if target is None or len(peers) <= MIN_REMAINING_TARGETS:
        return
    target.drain()
    await asyncio.sleep(duration_s)
    if machine.target is not target:
        return
    if random.random() < 0.7:
        await target.deregister()
    await site.crash_target(machine)
    await asyncio.sleep(duration_s / 2)
    if machine.target is None:
        await site.start_target(machine)


async def _change_configuration(site: Site, random: Random, duration_s: float) -> None:
    for _ in range(random.randint(1, 4)):
        await site.write_configuration()
        await asyncio.sleep(duration_s / 8)


INJECTORS: dict[str, Callable[[Site, Random, float], Awaitable[None]]] = {
    "kill": _kill,
    "kill-group": _kill_group,
    "terminate": _terminate,
    "rolling-restart": _restart_in_turn,
    "pause": _pause,
    "reload": _reload,
    "store-link": _disturb_store_links,
    "store-errors": _return_store_errors,
    "store-lost-responses": _drop_store_responses,
    "store-compaction": _compact_store,
    "store-deleted-members": _delete_member_entries,
    "caller-link": _disturb_caller_link,
    "crash-target": _crash_target,
    "replace-target": _replace_target,
    "change-configuration": _change_configuration,
}

SEPARATE_INJECTORS: dict[str, Callable[[Site, Random, float], Awaitable[None]]] = {
    "store-silence": _silence_store,
    "store-restore": _restore_store,
    "odd-items": _write_odd_items,
    "odd-heartbeats": _send_odd_heartbeats,
    "moved-route": move_route,
    "lost-registration": lose_registration,
    "evacuation": evacuate_zone,
    "cold-start": start_cold,
}
"""Faults that come on their own, so that a new kind does not change the bursts of a
seed."""

PLANNED_KINDS = frozenset({"evacuation"})
"""Kinds that are no faults: the bounds for times without faults apply meanwhile."""

SITE_WIDE_KINDS = frozenset(
    kind
    for kind in (*INJECTORS, *SEPARATE_INJECTORS)
    if kind.startswith(("store", "caller"))
)
"""Kinds of faults that disturb all machines while they last."""
