"""One run: load and faults, recovery, and the checks of each request."""

import asyncio
import time
from collections.abc import Callable

from tools.demo_site import CORE, Site, running_site
from tools.processes import ProcessError
from tools.request_soak.faults import (
    DEFAULT_LONGEST_PAUSE_S,
    FaultInjector,
    Interval,
)
from tools.request_soak.load import (
    LINE_DEADLINE_S,
    LineRecord,
    Load,
    Outcome,
    running_load,
)

# Before the faults, so that all members know each other.
WARM_UP_S = 2.0
# Callers give up the connections to a killed target after 15 s without packets.
RECOVERY_S = 20.0
# Lines that were sent this long after a disturbance may still be affected by it.
AFTER_EFFECT_S = 16.0
# A paused process may still run a line after its caller has given up.
SETTLE_S = 2.0


async def run_request_soak(
    seed: int,
    duration_s: float,
    log: Callable[[str], None],
    *,
    longest_pause_s: float = DEFAULT_LONGEST_PAUSE_S,
) -> list[str]:
    """Run a seed and return the violations.

    :param duration_s: seconds during which faults are started.
    :param log: takes progress lines.
    :param longest_pause_s: upper bound of the pause of a process in seconds.
    """
    async with running_site(intake=()) as site:
        await _apply_manifest(site)
        injector = FaultInjector(site, log, longest_pause_s)
        async with running_load(site) as load:
            await asyncio.sleep(WARM_UP_S)
            await injector.run(seed, duration_s)
            faults_ended_at = time.monotonic()
            await asyncio.sleep(RECOVERY_S)
        await asyncio.sleep(SETTLE_S)
        executions = await site.execution_counts()
    outcomes = {o: sum(r.outcome is o for r in load.lines) for o in Outcome}
    log(" ".join(f"{outcome.value}: {count}" for outcome, count in outcomes.items()))
    return [
        *injector.violations,
        *check_executions(load.lines, executions),
        *check_answers(load),
        *check_planned_work(load.lines, injector.disturbed),
        *check_recovery(load.lines, faults_ended_at),
    ]


async def _apply_manifest(site: Site) -> None:
    await site.apply(CORE)
    status = await site.wait_in_force(1)
    if status.exit_code:
        reported = "\n".join(status.lines)
        raise ProcessError(f"the manifest did not come into force:\n{reported}")


def check_executions(lines: list[LineRecord], executions: dict[str, int]) -> list[str]:
    """Check that each line ran as its caller was told, and never twice."""
    found = [
        f"TWICE: {line} ran {count} times"
        for line, count in executions.items()
        if count > 1
    ]
    for record in lines:
        count = executions.get(record.line, 0)
        if record.outcome is Outcome.NOT_RUN and count:
            found.append(f"NOT-RUN: {record.line} ran, told {record.detail}")
        if record.outcome is Outcome.ANSWERED and not count:
            found.append(f"LOST: {record.line} was answered but has not run")
    return found


def check_answers(load: Load) -> list[str]:
    """Check that answers belong to their requests, and that the feed is whole."""
    found = [f"MIXED: {text}" for text in load.mismatched]
    if not load.feed.sequence_numbers or load.feed.gaps_and_repeats:
        found.append(
            f"FEED: {load.feed.gaps_and_repeats} gaps or repeats in "
            f"{len(load.feed.sequence_numbers)} events"
        )
    return found


def check_planned_work(lines: list[LineRecord], disturbed: list[Interval]) -> list[str]:
    """Check that planned stops alone leave no line without an answer."""
    return [
        f"CUT: {record.line} after {record.ended_at - record.started_at:.1f} s: "
        f"{record.detail}"
        for record in lines
        if record.outcome is Outcome.UNKNOWN
        and not any(
            record.started_at < interval.end + AFTER_EFFECT_S
            and record.ended_at > interval.start
            for interval in disturbed
        )
    ]


def check_recovery(lines: list[LineRecord], faults_ended_at: float) -> list[str]:
    """Check that all lines are answered soon after the last fault."""
    due = faults_ended_at + RECOVERY_S - LINE_DEADLINE_S / 2
    late = [r for r in lines if r.started_at > due]
    if not late:
        return ["RECOVERY: no line was posted after the last fault"]
    return [
        f"RECOVERY: {record.line}: {record.detail}"
        for record in late
        if record.outcome is not Outcome.ANSWERED
    ]
