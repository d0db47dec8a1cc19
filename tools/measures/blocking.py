"""Queueing delay of short requests while uploads saturate a service, in virtual time.

Flows are assigned to targets by hash. Short requests arrive as a Poisson process; on
their own they occupy a fixed share of all slots (see ``SHORT_LOADS``). In the second
run, twice as many uploads as there are slots are outstanding at all times. The
queueing delay is the response time less the service time. The ratios compare the 99th
percentiles with and without uploads: one of the queueing delay (taken as 1 ms or
more), one of the response time.
"""

import asyncio
from dataclasses import dataclass, field
from random import Random

from cranberryhold.manifest.models import ClassKind
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
_SHORT_SERVICE_S = 0.05
_LONG_SERVICE_S = 10.0
_WARM_UP_S = 20.0
_RUN_S = 60.0
_FLOWS = 2000


@dataclass(slots=True)
class _Result:
    queueing_delays_s: list[float] = field(default_factory=list)
    response_times_s: list[float] = field(default_factory=list)
    completed_uploads: int = 0

    def add(self, seconds: float, service_time_s: float) -> None:
        """Record a response time and its queueing delay."""
        self.response_times_s.append(seconds)
        self.queueing_delays_s.append(max(0.0, seconds - service_time_s))


def _percentile_ms(values: list[float], share: float) -> float:
    """Return a percentile, in milliseconds, of values in seconds."""
    return sorted(values)[int(share * len(values))] * 1000


async def _send_short_request(placement: Placement, job: Job, result: _Result) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    await placement.run(job)
    if started >= _WARM_UP_S:
        result.add(loop.time() - started, job.seconds)


async def _generate_short_requests(
    placement: Placement, rate: float, rng: Random, result: _Result
) -> None:
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as group:
        while loop.time() < _RUN_S:
            await asyncio.sleep(rng.expovariate(rate))
            seconds = rng.expovariate(1 / _SHORT_SERVICE_S)
            job = Job(ClassKind.SHORT, rng.randrange(_FLOWS), seconds, 3600)
            group.create_task(_send_short_request(placement, job, result))


async def _upload_repeatedly(
    placement: Placement, rng: Random, result: _Result
) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(rng.uniform(0, _WARM_UP_S / 2))
    while True:
        seconds = _LONG_SERVICE_S * rng.uniform(0.5, 1.5)
        job = Job(ClassKind.LONG, rng.randrange(_FLOWS), seconds, 3600)
        await placement.run(job)
        result.completed_uploads += loop.time() >= _WARM_UP_S


async def _simulate(
    name: str, size: ServiceSize, short_load: float, uploader_count: int, seed: int
) -> _Result:
    rng = Random(seed)
    placement = PLACEMENTS[name](size, Random(seed))
    result = _Result()
    rate = short_load * size.targets * size.slots / _SHORT_SERVICE_S
    uploads = [
        asyncio.create_task(
            _upload_repeatedly(placement, Random(f"{seed} {i}"), result)
        )
        for i in range(uploader_count)
    ]
    await _generate_short_requests(placement, rate, rng, result)
    for upload in uploads:
        upload.cancel()
    await asyncio.gather(*uploads, return_exceptions=True)
    return result


def tables(seed: int) -> list[Table]:
    """Return a table for each service size and each load of short requests."""
    return [
        _result_table(size, short_load, seed)
        for size in SIZES
        for short_load in SHORT_LOADS
    ]


def _result_table(size: ServiceSize, short_load: float, seed: int) -> Table:
    table = Table(
        f"{size.name} slots, short work {short_load:.0%} of them: waiting in ms",
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
    uploader_count = 2 * size.targets * size.slots
    for name in PLACEMENTS:
        unloaded = run_virtual(_simulate(name, size, short_load, 0, seed))
        loaded = run_virtual(_simulate(name, size, short_load, uploader_count, seed))
        p99_unloaded, p99_loaded = (
            _percentile_ms(unloaded.queueing_delays_s, 0.99),
            _percentile_ms(loaded.queueing_delays_s, 0.99),
        )
        table.add(
            name,
            _percentile_ms(unloaded.queueing_delays_s, 0.5),
            p99_unloaded,
            _percentile_ms(loaded.queueing_delays_s, 0.5),
            p99_loaded,
            p99_loaded / max(1.0, p99_unloaded),
            _percentile_ms(loaded.response_times_s, 0.99)
            / _percentile_ms(unloaded.response_times_s, 0.99),
            loaded.completed_uploads / ((_RUN_S - _WARM_UP_S) / 60),
        )
    return table
