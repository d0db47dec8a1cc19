"""Faults of a soak: what happens, to whom, for how long; drawn from a seed."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from emulator.packet_router import LinkFaults
from emulator.stream_proxy import StreamFaults
from tools.soak.site import Machine, Site

RESTART_DELAY_S = (0.1, 1.5)
FAULT_LASTS_S = (0.2, 4.0)
# A busy spell has overlapping faults; a calm one lets time-bound promises apply.
BUSY_SPELL_S = (3.0, 8.0)
CALM_SPELL_S = (0.0, 9.0)
BUSY_GAP_S = 0.7
HERD_SHARES = (0.3, 0.6, 1.0)
LEAST_TARGETS_LEFT = 1


@dataclass(frozen=True)
class Fault:
    """One planned fault.

    :ivar at_s: seconds after the start of the faults.
    :ivar kind: name of the fault, a key of :data:`KINDS`.
    :ivar lasts_s: how long it lasts, where that applies.
    :ivar seed: seed of what else is drawn for it.
    """

    at_s: float
    kind: str
    lasts_s: float
    seed: int


def plan_faults(seed: int, duration_s: float) -> list[Fault]:
    """Return the faults of a seed, in the order of their start."""
    random = Random(seed)
    faults: list[Fault] = []
    at_s = 0.0
    while at_s < duration_s:
        spell_ends = at_s + random.uniform(*BUSY_SPELL_S)
        while at_s < min(spell_ends, duration_s):
            faults.append(
                Fault(
                    at_s,
                    random.choice(list(KINDS)),
                    random.uniform(*FAULT_LASTS_S),
                    random.getrandbits(32),
                )
            )
            at_s += random.expovariate(1 / BUSY_GAP_S)
        at_s += random.uniform(*CALM_SPELL_S)
    return faults


async def inject(site: Site, fault: Fault) -> None:
    """Let a fault happen, and wait until it is over."""
    site.promises.fault_begins()
    harms_all = fault.kind in HARMS_ALL
    if harms_all:
        site.promises.harmed()
    try:
        await KINDS[fault.kind](site, Random(fault.seed), fault.lasts_s)
    finally:
        site.promises.fault_ends()
        if harms_all:
            site.promises.harmed()


async def _kill(site: Site, random: Random, _lasts_s: float) -> None:
    await _kill_and_restart(site, random, random.choice(site.machines))


async def _kill_herd(site: Site, random: Random, _lasts_s: float) -> None:
    group = random.choice([site.entries, site.sidecars, site.machines])
    count = max(1, round(len(group) * random.choice(HERD_SHARES)))
    chosen = random.sample(group, count)
    await asyncio.gather(*(_kill_and_restart(site, random, m) for m in chosen))


async def _kill_and_restart(site: Site, random: Random, machine: Machine) -> None:
    await site.kill(machine)
    await asyncio.sleep(random.uniform(*RESTART_DELAY_S))
    await site.start(machine)
    site.harm(machine)


async def _terminate(site: Site, random: Random, _lasts_s: float) -> None:
    machine = random.choice(site.machines)
    await site.stop(machine)
    await asyncio.sleep(random.uniform(*RESTART_DELAY_S))
    await site.start(machine)


async def _roll(site: Site, random: Random, lasts_s: float) -> None:
    group = random.choice([site.entries, site.sidecars])
    for machine in random.sample(group, min(3, len(group))):
        await site.stop(machine)
        await site.start(machine)
        await asyncio.sleep(lasts_s / 4)


async def _pause(site: Site, random: Random, lasts_s: float) -> None:
    machine = random.choice(site.machines)
    site.harm(machine)
    machine.signal(signal.SIGSTOP)
    await asyncio.sleep(lasts_s)
    machine.signal(signal.SIGCONT)
    site.harm(machine)


async def _hang_up(site: Site, random: Random, _lasts_s: float) -> None:
    for machine in random.sample(site.machines, len(site.machines) // 2):
        machine.signal(signal.SIGHUP)


async def _store_link(site: Site, random: Random, lasts_s: float) -> None:
    """Harm the connections of some machines to the store."""
    count = random.choice([1, 2, len(site.machines)])
    faults = random.choice(
        [
            StreamFaults(delay_s=random.uniform(0.1, 1.0)),
            StreamFaults(holds_requests=True),
            StreamFaults(holds_answers=True),
            StreamFaults(holds_requests=True, holds_answers=True, refuses=True),
            StreamFaults(refuses=True),
        ]
    )
    proxies = [m.proxy for m in random.sample(site.machines, count)]
    for proxy in proxies:
        proxy.faults = faults
        if faults.refuses or random.random() < 0.3:
            proxy.reset_all()
    await asyncio.sleep(lasts_s)
    for proxy in proxies:
        proxy.release()


async def _store_refuses(site: Site, random: Random, lasts_s: float) -> None:
    site.store.error_status = random.choice([429, 503])
    await asyncio.sleep(lasts_s)
    site.store.error_status = None


async def _store_loses(site: Site, random: Random, _lasts_s: float) -> None:
    site.store.responses_to_drop += random.randint(1, 5)


async def _store_forgets(site: Site, random: Random, _lasts_s: float) -> None:
    site.store.compact_history()
    if random.random() < 0.5:
        site.store.expire_all_leases()


async def _store_drops(site: Site, random: Random, _lasts_s: float) -> None:
    members = [key for key in site.store.keys if not key.startswith("op/")]
    for key in random.sample(members, min(2, len(members))):
        await site.store.delete(key)


async def _caller_link(site: Site, random: Random, lasts_s: float) -> None:
    router = random.choice(list(site.routers.values()))
    router.faults = LinkFaults(
        loss=random.choice([0.0, 0.1, 0.5, 1.0]),
        duplicates=random.choice([0.0, 0.3]),
        delay_s=random.choice([0.0, 0.05, 0.3]),
    )
    await asyncio.sleep(lasts_s)
    router.faults = LinkFaults()


async def _crash_target(site: Site, random: Random, lasts_s: float) -> None:
    machine = random.choice(site.sidecars)
    if machine.target is None:
        return
    name = machine.target.name if random.random() < 0.5 else None
    await site.crash_target(machine)
    await asyncio.sleep(lasts_s / 2)
    if machine.target is None:
        await site.start_target(machine, name)


async def _replace_target(site: Site, random: Random, lasts_s: float) -> None:
    """Drain a target and start another, at times one of the other service."""
    machine = random.choice(site.sidecars)
    target = machine.target
    same = [m for m in site.sidecars if m.service == machine.service and m.target]
    if target is None or len(same) <= LEAST_TARGETS_LEFT:
        return
    target.drain()
    await asyncio.sleep(lasts_s)
    if machine.target is not target:
        return
    if random.random() < 0.7:
        await target.deregister()
    await site.crash_target(machine)
    await asyncio.sleep(lasts_s / 2)
    if machine.target is None:
        await site.start_target(machine)


async def _change_configuration(site: Site, random: Random, lasts_s: float) -> None:
    for _ in range(random.randint(1, 4)):
        await site.write_configuration()
        await asyncio.sleep(lasts_s / 8)


KINDS: dict[str, Callable[[Site, Random, float], Awaitable[None]]] = {
    "kill": _kill,
    "kill-herd": _kill_herd,
    "terminate": _terminate,
    "roll": _roll,
    "pause": _pause,
    "hang-up": _hang_up,
    "store-link": _store_link,
    "store-refuses": _store_refuses,
    "store-loses-answers": _store_loses,
    "store-forgets": _store_forgets,
    "store-drops-members": _store_drops,
    "caller-link": _caller_link,
    "crash-target": _crash_target,
    "replace-target": _replace_target,
    "change-configuration": _change_configuration,
}

HARMS_ALL = frozenset(kind for kind in KINDS if kind.startswith(("store", "caller")))
"""Faults during which no machine counts as undisturbed."""
