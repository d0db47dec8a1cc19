"""Waiting of short requests while long uploads fill a service, in virtual time.

Flows are spread by hash. Short requests arrive at random and need half of all
slots if nothing else runs; twice as many uploads as there are slots are always
present in the second run. Waiting is the time to the answer less the service time;
the ratios compare the 99th percentiles with and without uploads, once of the
waiting (with at least 1 ms) and once of the whole time to the answer.
"""

import asyncio
from dataclasses import dataclass, field
from random import Random

from cranberryhold.manifest import ClassKind
from tests.baselines_requests import PLACEMENTS, Job, Placement, ServiceSize
from tools.tables import Table
from tools.virtual_time import run_virtual

SIZES = (
    ServiceSize("khata-core, 7 x 4", 7, 4, 0.004),
    ServiceSize("bill-intake, 3 x 4", 3, 4, 0.004),
    ServiceSize("returns-core, 7 x 3", 7, 3, 0.003),
    ServiceSize("sheet-intake, 3 x 3", 3, 3, 0.003),
)
SHORT_LOADS = (0.3, 0.5)
_SHORT_S = 0.05
_LONG_S = 10.0
_WARM_UP_S = 20.0
_RUN_S = 60.0
_FLOWS = 2000


@dataclass(slots=True)
class _Result:
    waits: list[float] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    uploads: int = 0

    def add(self, seconds: float, service: float) -> None:
        """Note the time to an answer and the part that was service."""
        self.times.append(seconds)
        self.waits.append(max(0.0, seconds - service))


def _ms(values: list[float], share: float) -> float:
    """Return a percentile of seconds in milliseconds."""
    return sorted(values)[int(share * len(values))] * 1000


async def _short(placement: Placement, job: Job, result: _Result) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    await placement.run(job)
    if started >= _WARM_UP_S:
        result.add(loop.time() - started, job.seconds)


async def _shorts(
    placement: Placement, rate: float, random: Random, result: _Result
) -> None:
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as group:
        while loop.time() < _RUN_S:
            await asyncio.sleep(random.expovariate(rate))
            seconds = random.expovariate(1 / _SHORT_S)
            job = Job(ClassKind.SHORT, random.randrange(_FLOWS), seconds, 3600)
            group.create_task(_short(placement, job, result))


async def _uploader(placement: Placement, random: Random, result: _Result) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(random.uniform(0, _WARM_UP_S / 2))
    while True:
        seconds = _LONG_S * random.uniform(0.5, 1.5)
        job = Job(ClassKind.LONG, random.randrange(_FLOWS), seconds, 3600)
        await placement.run(job)
        result.uploads += loop.time() >= _WARM_UP_S


async def _run(
    name: str, size: ServiceSize, load: float, uploaders: int, seed: int
) -> _Result:
    random = Random(seed)
    placement = PLACEMENTS[name](size, Random(seed))
    result = _Result()
    rate = load * size.targets * size.slots / _SHORT_S
    uploads = [
        asyncio.create_task(_uploader(placement, Random(f"{seed} {i}"), result))
        for i in range(uploaders)
    ]
    await _shorts(placement, rate, random, result)
    for upload in uploads:
        upload.cancel()
    await asyncio.gather(*uploads, return_exceptions=True)
    return result


def tables(seed: int) -> list[Table]:
    """Return a table for each size and short load."""
    return [_table(size, load, seed) for size in SIZES for load in SHORT_LOADS]


def _table(size: ServiceSize, load: float, seed: int) -> Table:
    table = Table(
        f"{size.name} slots, short work {load:.0%} of them: waiting in ms",
        (
            "placement",
            "p50 alone",
            "p99 alone",
            "p50 uploads",
            "p99 uploads",
            "waiting ratio",
            "answer ratio",
            "uploads/min",
        ),
    )
    uploaders = 2 * size.targets * size.slots
    for name in PLACEMENTS:
        alone = run_virtual(_run(name, size, load, 0, seed))
        mixed = run_virtual(_run(name, size, load, uploaders, seed))
        p99_alone, p99_mixed = _ms(alone.waits, 0.99), _ms(mixed.waits, 0.99)
        table.add(
            name,
            _ms(alone.waits, 0.5),
            p99_alone,
            _ms(mixed.waits, 0.5),
            p99_mixed,
            p99_mixed / max(1.0, p99_alone),
            _ms(mixed.times, 0.99) / _ms(alone.times, 0.99),
            mixed.uploads / ((_RUN_S - _WARM_UP_S) / 60),
        )
    return table
