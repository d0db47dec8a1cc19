"""One run of the soak: faults, then recovery, then a stop under load."""

import asyncio
import os
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random

from tools.processes import RunningProcess
from tools.soak.callers import (
    LONG_FLOWS,
    SHORT_FLOWS_PER_S,
    keep_long_flow,
    open_short_flows,
    probe_configuration,
)
from tools.soak.faults import inject, plan_faults
from tools.soak.promises import RECOVERY_S, Promises
from tools.soak.site import Site, running_site

START_LIMIT_S = 20.0
# All requests that are sent for this long must be answered after recovery.
CALM_CHECK_S = 3.0
ANSWERS_ARRIVE_WITHIN_S = 3.5
MEMORY_LIMIT_MB = 104
# A daemon that repeats calls without pauses makes hundreds.
STORE_CALLS_PER_DAEMON_S = 10.0
_LINE = re.compile(r"time=\S+ level=\w+ node=\S+ event=[\w-]+( [\w.]+=.*)?$")


@dataclass(frozen=True)
class Size:
    """How large the site of a run is.

    :ivar entries: entry instances in each of the two zones.
    :ivar sidecars: sidecars in all.
    """

    entries: int = 2
    sidecars: int = 5


async def run_soak(
    seed: int,
    duration_s: float,
    *,
    size: Size,
    directory: Path,
    note: Callable[[str], None],
) -> list[str]:
    """Run the faults of a seed, and return the broken promises.

    :param duration_s: how long faults begin, in seconds.
    :param directory: where settings files, and logs after a failure, are written.
    :param note: takes lines about the progress.
    """
    promises = Promises(note)
    random = Random(seed)
    async with running_site(
        promises, random, directory, entries=size.entries, sidecars=size.sidecars
    ) as site:
        async with _load(site, promises, random):
            if await _is_served(promises, "start", START_LIMIT_S):
                await _harm(site, seed, duration_s, note)
                await _check_recovery(promises)
                _check_daemons(site, promises)
            await asyncio.gather(*(site.stop(m) for m in site.machines))
        _check_lines(site, promises)
        if promises.broken:
            _write_logs(site, directory)
    return promises.broken


@asynccontextmanager
async def _load(site: Site, promises: Promises, random: Random) -> AsyncIterator[None]:
    async with asyncio.TaskGroup() as group:
        tasks = []
        for number in range(LONG_FLOWS):
            host = site.callers[number % len(site.callers)]
            tasks.append(group.create_task(keep_long_flow(host, promises, random)))
        for host in site.callers:
            per_s = SHORT_FLOWS_PER_S / len(site.callers)
            tasks.append(
                group.create_task(open_short_flows(host, promises, random, per_s))
            )
        for entry in site.entries:
            tasks.append(
                group.create_task(
                    probe_configuration(site, site.callers[0], entry, promises)
                )
            )
        yield
        for task in tasks:
            task.cancel()


async def _harm(
    site: Site, seed: int, duration_s: float, note: Callable[[str], None]
) -> None:
    began = _now()
    async with asyncio.TaskGroup() as faults:
        for fault in plan_faults(seed, duration_s):
            await asyncio.sleep(max(0.0, began + fault.at_s - _now()))
            note(f"{fault.at_s:6.2f} s {fault.kind} for {fault.lasts_s:.2f} s")
            faults.create_task(inject(site, fault))
    for machine in site.machines:
        await site.start(machine)
    for machine in site.sidecars:
        if machine.target is None:
            await site.start_target(machine)


async def _check_recovery(promises: Promises) -> None:
    if await _is_served(promises, "recovery", RECOVERY_S):
        began = _now()
        await asyncio.sleep(CALM_CHECK_S + ANSWERS_ARRIVE_WITHIN_S)
        calm = [r for r in promises.since(began) if r.sent_at < began + CALM_CHECK_S]
        if not promises.all_served(calm, "calm"):
            promises.break_promise("SERVED not all requests were answered when calm")


async def _is_served(promises: Promises, when: str, limit_s: float) -> bool:
    """Wait until all requests that were sent for some time are answered.

    :param limit_s: seconds after which that time must have begun.
    """
    gives_up_at = _now() + limit_s
    while _now() < gives_up_at:
        began = _now()
        await asyncio.sleep(CALM_CHECK_S)
        if promises.all_served(promises.since(began), when):
            return True
    promises.break_promise(f"RECOVER {when}: requests fail for {limit_s:.0f} s")
    return False


def _check_daemons(site: Site, promises: Promises) -> None:
    for machine in site.machines:
        process = machine.process
        if process is None:
            promises.break_promise(f"FAULT {machine.name} ended by itself")
            continue
        memory_mb = _resident_mb(process)
        if memory_mb > MEMORY_LIMIT_MB:
            promises.break_promise(f"FAULT {machine.name} uses {memory_mb:.0f} MB")
    calls = sum(site.store.calls.values())
    per_daemon_s = calls / len(site.machines) / _seconds_since_start(site)
    if per_daemon_s > STORE_CALLS_PER_DAEMON_S:
        promises.break_promise(f"FAULT {per_daemon_s:.1f} store calls a second each")


def _check_lines(site: Site, promises: Promises) -> None:
    for machine in site.machines:
        for process in machine.processes:
            for line in process.lines:
                if not _LINE.match(line):
                    promises.break_promise(f"LOG {machine.name}: {line}")


def _write_logs(site: Site, directory: Path) -> None:
    for machine in site.machines:
        lines = [line for process in machine.processes for line in process.lines]
        (directory / f"{machine.name}.log").write_text("\n".join(lines) + "\n")


def _resident_mb(process: RunningProcess) -> float:
    fields = Path(f"/proc/{process.pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def _seconds_since_start(site: Site) -> float:
    return max(1.0, _now() - site.started_at)


def _now() -> float:
    return asyncio.get_running_loop().time()
