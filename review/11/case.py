"""Case 11: a SYN that a frozen machine held up arrives after a planned restart."""

import asyncio
import sys
import time
from pathlib import Path

from bed3.bed import (
    BOUNDS,
    Bed,
    Record,
    has_trouble,
    log_lines,
    run_case,
    running_bed,
)
from bed3.ends import Caller

from emulator.flow_callers import Outcome

FLOWS = 24
# The dose of `node_freeze` in the site file of khata-lb.
FREEZE_S = 4.0
# Longer than the window after which machines are in touch again; flows stay idle for
# less than the idle time-out of 15 s.
PAUSE_S = BOUNDS["stableWindowMs"] / 1000 + 1.5


async def open_flow(bed: Bed) -> Caller | None:
    """Open a long flow and send its first request."""
    flow = bed.new_flow()
    if await flow.open() is not Outcome.ANSWERED:
        bed.record.write(f"flow {flow.key.hex()}: not opened")
        return None
    outcome = await flow.send_request(2.5)
    holder = next((t.name for t in bed.observer.targets if t.holds(flow.key)), None)
    bed.record.write(f"flow {flow.key.hex()}: open at {holder}, {outcome.value}")
    return flow if outcome is Outcome.ANSWERED else None


async def open_flows(bed: Bed) -> list[Caller]:
    """Open flows one shortly after the other."""
    tasks = []
    for _ in range(FLOWS):
        tasks.append(asyncio.create_task(open_flow(bed)))
        await asyncio.sleep(0.01)
    return [flow for flow in await asyncio.gather(*tasks) if flow is not None]


async def play(record: Record) -> int:
    """Play the case."""
    async with running_bed(record, entries=2, sidecars=3) as bed:
        targets = []
        for machine in bed.sidecars:
            target = bed.new_target(machine, f"i-{machine.name}")
            await bed.start_target(machine, target)
            targets.append(target)
        # The entry daemons know all members after 5 s.
        await asyncio.sleep(6.0)
        frozen, frozen_target = bed.sidecars[0], targets[0]
        frozen_at = time.monotonic()
        if has_trouble():
            bed.freeze(frozen, frozen_target)
        flows = await open_flows(bed)
        # Planned work: the other sidecars are stopped and started in turn.
        for machine in bed.sidecars[1:]:
            await bed.restart_daemon(machine)
        await asyncio.sleep(frozen_at + FREEZE_S - time.monotonic())
        if has_trouble():
            bed.wake(frozen, frozen_target)
        await asyncio.sleep(PAUSE_S)
        for flow in flows:
            outcome = await flow.send_request(2.5)
            record.write(f"flow {flow.key.hex()}: next request {outcome.value}")
        for machine in bed.sidecars:
            for line in log_lines(machine, "flow-reset ", "packet-discarded"):
                record.write(f"log: {line}")
        broken = len(bed.observer.broken)
        record.write(f"flows reset while open at their target: {broken}")
        return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
