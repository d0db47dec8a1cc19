"""Faults that take away what daemons know of others, while processes are replaced.

Each of them leaves targets and their flows alone, so that no open flow may be reset.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

from cranberryhold.flows.member_list import MEMBERS_PREFIX
from emulator.stream_proxy import StreamFaults
from tools.soak.site import Machine, Site

RESTART_DELAY_S = (0.1, 1.5)
# A change is in effect within the upper bound, or some daemons restart before it is.
MOVE_INTERVAL_S = (0.0, 3.0)


async def move_route(site: Site, random: Random, _duration_s: float) -> None:
    """Move a route with open flows, once or twice in a row; replace processes."""
    for _ in range(random.randint(1, 2)):
        await site.move_route()
        await asyncio.sleep(random.uniform(*MOVE_INTERVAL_S))
    await _replace_processes(site, random, random.choice(site.sidecars))


async def lose_registration(site: Site, random: Random, duration_s: float) -> None:
    """Lose the registration of a member that the store turns away; replace processes.

    The member registers again after the time, with those that have started meanwhile.
    """
    machine = random.choice(site.machines)
    with _turned_away(site, machine):
        await site.store.delete(f"{MEMBERS_PREFIX}{machine.ip}")
        await asyncio.sleep(random.uniform(0.0, duration_s))
        await _replace_processes(site, random, machine)
        await asyncio.sleep(random.uniform(0.0, duration_s))


@contextmanager
def _turned_away(site: Site, machine: Machine) -> Iterator[None]:
    """Keep a machine from the store inside the context, without a response."""
    site.record_disturbance(machine)
    machine.store_proxy.faults = StreamFaults(hold_requests=True, hold_responses=True)
    try:
        yield
    finally:
        machine.store_proxy.clear_faults()
        site.record_disturbance(machine)


async def _replace_processes(site: Site, random: Random, other: Machine) -> None:
    """Replace one or all entry daemons, in some cases with another daemon at once."""
    machines = random.choice([[random.choice(site.entries)], list(site.entries)])
    if random.random() < 0.3 and other not in machines:
        machines.append(other)
    end = random.choice([site.stop, site.kill])
    delay_s = random.uniform(*RESTART_DELAY_S)

    async def replace(machine: Machine) -> None:
        await end(machine)
        await asyncio.sleep(delay_s)
        await site.start(machine)

    await asyncio.gather(*(replace(machine) for machine in machines))
