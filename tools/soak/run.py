"""One run of the soak: fault injection, recovery, then a stop under load."""

import asyncio
import os
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random

from tools.processes import RunningProcess
from tools.soak.faults import inject, plan_faults
from tools.soak.invariants import RECOVERY_TIMEOUT_S, InvariantChecker
from tools.soak.load import (
    LONG_FLOWS,
    MOVED_FLOWS,
    SERVED_ENDPOINTS,
    SHORT_FLOWS_PER_S,
    generate_long_flows,
    generate_short_flows,
    probe_configuration,
)
from tools.soak.pages import watch_page
from tools.soak.site import MOVED_ENDPOINT, Site, running_site

START_TIMEOUT_S = 20.0
# After recovery, every request sent within this time must be answered.
STEADY_CHECK_S = 3.0
REQUEST_COMPLETION_S = 3.5
MEMORY_LIMIT_MB = 104
# A daemon that retries without backoff makes hundreds of calls a second.
MAX_STORE_CALLS_PER_S = 10.0
_LOG_LINE = re.compile(r"time=\S+ level=\w+ node=\S+ event=[\w-]+( [\w.]+=.*)?$")


@dataclass(frozen=True)
class SiteSize:
    """Size of the site of a run.

    :ivar entries: entry instances in each of the two zones.
    :ivar sidecars: sidecars in total.
    """

    entries: int = 2
    sidecars: int = 5


async def run_soak(
    seed: int,
    duration_s: float,
    *,
    size: SiteSize,
    directory: Path,
    log: Callable[[str], None],
) -> list[str]:
    """Run the soak of a seed and return the violations of invariants.

    :param duration_s: seconds during which faults are started.
    :param directory: directory for settings files, and for logs after a violation.
    :param log: takes progress lines.
    """
    checker = InvariantChecker(log)
    random = Random(seed)
    async with running_site(
        checker, random, directory, entries=size.entries, sidecars=size.sidecars
    ) as site:
        async with _load(site, checker, random):
            if await _wait_until_answered(checker, "start", START_TIMEOUT_S):
                await _inject_faults(site, seed, duration_s, log)
                await _check_recovery(checker)
                _check_daemons(site, checker)
                log(f"most openings at a cold target: {checker.most_cold_openings}")
            await asyncio.gather(*(site.stop(m) for m in site.machines))
        _check_log_lines(site, checker)
        if checker.violations:
            _write_logs(site, directory)
    return checker.violations


@asynccontextmanager
async def _load(
    site: Site, checker: InvariantChecker, random: Random
) -> AsyncIterator[None]:
    async with asyncio.TaskGroup() as group:
        tasks = []
        for endpoints, count in (
            (SERVED_ENDPOINTS, LONG_FLOWS),
            ([MOVED_ENDPOINT], MOVED_FLOWS),
        ):
            for number in range(count):
                host = site.callers[number % len(site.callers)]
                flows = generate_long_flows(host, checker, random, endpoints)
                tasks.append(group.create_task(flows))
        for host in site.callers:
            per_s = SHORT_FLOWS_PER_S / len(site.callers)
            tasks.append(
                group.create_task(generate_short_flows(host, checker, random, per_s))
            )
        for entry in site.entries:
            tasks.append(
                group.create_task(
                    probe_configuration(site, site.callers[0], entry, checker)
                )
            )
        for machine in site.machines:
            tasks.append(group.create_task(watch_page(machine, checker)))
        yield
        for task in tasks:
            task.cancel()


async def _inject_faults(
    site: Site, seed: int, injection_s: float, log: Callable[[str], None]
) -> None:
    started_at = _now()
    async with asyncio.TaskGroup() as faults:
        for fault in plan_faults(seed, injection_s):
            await asyncio.sleep(max(0.0, started_at + fault.start_s - _now()))
            log(f"{fault.start_s:6.2f} s {fault.kind} for {fault.duration_s:.2f} s")
            faults.create_task(inject(site, fault))
    for machine in site.machines:
        await site.start(machine)
    for machine in site.sidecars:
        if machine.target is None:
            await site.start_target(machine)


async def _check_recovery(checker: InvariantChecker) -> None:
    if await _wait_until_answered(checker, "recovery", RECOVERY_TIMEOUT_S):
        started_at = _now()
        await asyncio.sleep(STEADY_CHECK_S + REQUEST_COMPLETION_S)
        steady = [
            r
            for r in checker.requests_since(started_at)
            if r.sent_at < started_at + STEADY_CHECK_S
        ]
        if not checker.all_answered(steady, "steady state"):
            checker.record_violation(
                "SERVED some requests were not answered after recovery"
            )
        checker.check_zones_in_use(started_at)


async def _wait_until_answered(
    checker: InvariantChecker, phase: str, timeout_s: float
) -> bool:
    """Wait for a period in which every request sent is answered.

    :param timeout_s: seconds within which that period must begin.
    """
    deadline = _now() + timeout_s
    while _now() < deadline:
        started_at = _now()
        await asyncio.sleep(STEADY_CHECK_S)
        if checker.all_answered(checker.requests_since(started_at), phase):
            return True
    checker.record_violation(
        f"RECOVER {phase}: requests still fail after {timeout_s:.0f} s"
    )
    return False


def _check_daemons(site: Site, checker: InvariantChecker) -> None:
    for machine in site.machines:
        process = machine.process
        if process is None:
            checker.record_violation(f"FAULT {machine.name} exited unexpectedly")
            continue
        memory_mb = _resident_mb(process)
        if memory_mb > MEMORY_LIMIT_MB:
            checker.record_violation(
                f"FAULT {machine.name} uses {memory_mb:.0f} MB of memory"
            )
    calls = sum(site.store.calls.values())
    per_daemon_s = calls / len(site.machines) / _seconds_since_start(site)
    if per_daemon_s > MAX_STORE_CALLS_PER_S:
        checker.record_violation(
            f"FAULT {per_daemon_s:.1f} store calls a second per daemon"
        )


def _check_log_lines(site: Site, checker: InvariantChecker) -> None:
    for machine in site.machines:
        for process in machine.processes:
            for line in process.lines:
                if not _LOG_LINE.match(line):
                    checker.record_violation(f"LOG {machine.name}: {line}")


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
