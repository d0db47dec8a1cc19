"""Cold starts: targets crash together and come back slow, during a burst."""

import asyncio
from random import Random

from tools.soak.load import run_short_flow
from tools.soak.site import SERVICES, ZONES, Machine, Site

COLD_S = 3.0
# Targets start again sooner or later than their sidecars.
DOWN_S = (0.05, 1.5)
BURST_FLOWS = 60
BURST_S = 2.0


async def start_cold(site: Site, random: Random, _duration_s: float) -> None:
    """Let all targets, or those of a service or a zone, start cold during a burst.

    Their sidecars keep running, or are killed with the targets or at any time later.
    """
    service, zone = random.choice(SERVICES), random.choice(ZONES)
    machines = random.choice(
        [
            site.sidecars,
            [m for m in site.sidecars if m.service == service],
            [m for m in site.sidecars if m.zone == zone],
        ]
    )
    kill_after_s = random.choice([None, 0.0, random.uniform(0.0, COLD_S)])
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_send_burst(site, random))
        for machine in machines:
            tasks.create_task(_restart_target(site, machine, random.uniform(*DOWN_S)))
            if kill_after_s is not None:
                delay_s = random.uniform(*DOWN_S)
                tasks.create_task(_kill(site, machine, kill_after_s, delay_s))
    await asyncio.sleep(COLD_S)


async def _restart_target(site: Site, machine: Machine, down_s: float) -> None:
    await site.crash_target(machine)
    await asyncio.sleep(down_s)
    await site.start_target(machine, cold_s=COLD_S)


async def _kill(site: Site, machine: Machine, after_s: float, down_s: float) -> None:
    await asyncio.sleep(after_s)
    await site.kill(machine)
    await asyncio.sleep(down_s)
    await site.start(machine)
    site.record_disturbance(machine)


async def _send_burst(site: Site, random: Random) -> None:
    async with asyncio.TaskGroup() as flows:
        for _ in range(BURST_FLOWS):
            host = random.choice(site.callers)
            flows.create_task(run_short_flow(host, site.checker, random))
            await asyncio.sleep(BURST_S / BURST_FLOWS)
