"""Responses within the deadline during a tenfold overload peak, in virtual time.

Demand rises from 0.3 to 3 times the capacity within 2 s, stays there for 10 s and
falls back. The deadline is 1 s. Callers of cranberryhold retry refused requests
within the retry budget; the baseline with unlimited retries retries every failed
request at once.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from cranberryhold.manifest.models import ClassKind, RetryPolicy
from tests.baselines_requests import (
    BudgetedCaller,
    CranberryholdPlacement,
    FifoWithoutCancellation,
    Job,
    ServiceSize,
    UnlimitedRetryCaller,
)
from tools.measures.blocking import SIZES
from tools.tables import Table
from tools.virtual_time import run_virtual

_MEAN_SERVICE_S = 0.05
_DEADLINE_S = 1.0
_RISE_START_S, _PEAK_START_S, _FALL_START_S, _FALL_END_S, _RUN_END_S = (
    10.0,
    12.0,
    22.0,
    24.0,
    34.0,
)
_BASE_DEMAND, _PEAK_DEMAND = 0.3, 3.0
_FLOWS = 2000
_PHASES = (
    ("before", 0.0, _RISE_START_S),
    ("rise", _RISE_START_S, _PEAK_START_S),
    ("crest", _PEAK_START_S, _FALL_START_S),
    ("fall", _FALL_START_S, _FALL_END_S),
    ("after", _FALL_END_S, _RUN_END_S),
)


@dataclass(slots=True)
class _Result:
    """Counts for each second, times until refusal, and response times."""

    requests: Counter[int] = field(default_factory=Counter)
    answered: Counter[int] = field(default_factory=Counter)
    retries: Counter[int] = field(default_factory=Counter)
    refusal_delays_s: list[float] = field(default_factory=list)
    response_times_s: list[float] = field(default_factory=list)

    def rate_per_s(self, counts: Counter[int], start: float, end: float) -> float:
        """Return the mean count per second of a phase."""
        return sum(counts[s] for s in range(int(start), int(end))) / (end - start)


def _demand_at(now: float) -> float:
    """Return the demand at a time, in multiples of the capacity."""
    if now < _RISE_START_S or now >= _FALL_END_S:
        return _BASE_DEMAND
    if now < _PEAK_START_S:
        return _BASE_DEMAND + (_PEAK_DEMAND - _BASE_DEMAND) * (now - _RISE_START_S) / (
            _PEAK_START_S - _RISE_START_S
        )
    if now < _FALL_START_S:
        return _PEAK_DEMAND
    return _PEAK_DEMAND - (_PEAK_DEMAND - _BASE_DEMAND) * (now - _FALL_START_S) / (
        _FALL_END_S - _FALL_START_S
    )


_SYSTEMS = {
    "cranberryhold": (CranberryholdPlacement, BudgetedCaller),
    "FIFO, budgeted repeats": (FifoWithoutCancellation, BudgetedCaller),
    "FIFO, repeats at once": (FifoWithoutCancellation, UnlimitedRetryCaller),
}


async def _send_request(placement, caller, job: Job, result: _Result) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    caller.record_request()
    result.requests[int(started)] += 1
    attempt = 1
    while True:
        attempt_started = loop.time()
        if await placement.run(job):
            result.answered[int(loop.time())] += 1
            result.response_times_s.append(loop.time() - started)
            return
        result.refusal_delays_s.append(loop.time() - attempt_started)
        if loop.time() >= _RUN_END_S or not caller.may_retry(attempt):
            return
        await asyncio.sleep(caller.backoff_s(attempt))
        attempt += 1
        result.retries[int(loop.time())] += 1


async def _simulate(name: str, size: ServiceSize, seed: int) -> _Result:
    rng = Random(seed)
    make_placement, make_caller = _SYSTEMS[name]
    placement = make_placement(size, Random(seed))
    callers = [make_caller(RetryPolicy(), Random(f"{seed} {i}")) for i in range(50)]
    result = _Result()
    capacity = size.targets * size.slots / _MEAN_SERVICE_S
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[None]] = set()
    while (now := loop.time()) < _RUN_END_S:
        await asyncio.sleep(rng.expovariate(_demand_at(now) * capacity))
        seconds = rng.expovariate(1 / _MEAN_SERVICE_S)
        job = Job(ClassKind.SHORT, rng.randrange(_FLOWS), seconds, _DEADLINE_S)
        task = asyncio.create_task(
            _send_request(placement, rng.choice(callers), job, result)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.sleep(2 * _DEADLINE_S)
    for task in tasks:
        task.cancel()
    return result


def tables(seed: int) -> list[Table]:
    """Return a throughput table and a refusal table for each service size."""
    return [table for size in SIZES for table in _result_tables(size, seed)]


def _result_tables(size: ServiceSize, seed: int) -> list[Table]:
    capacity = size.targets * size.slots / _MEAN_SERVICE_S
    results = {name: run_virtual(_simulate(name, size, seed)) for name in _SYSTEMS}
    throughput_table = Table(
        f"{size.name} slots: answers within {_DEADLINE_S:g} s as parts of the capacity",
        ("system", *(name for name, *_ in _PHASES)),
    )
    refusal_table = Table(
        f"{size.name} slots: refusals and repeats",
        ("system", "refusal p50 ms", "refusal p90 ms", "repeats %", "answer p99 ms"),
    )
    for name, result in results.items():
        throughput_table.add(
            name,
            *(
                result.rate_per_s(result.answered, start, end) / capacity
                for _, start, end in _PHASES
            ),
        )
        refusal_delays = sorted(result.refusal_delays_s) or [0.0]
        response_times = sorted(result.response_times_s)
        refusal_table.add(
            name,
            refusal_delays[len(refusal_delays) // 2] * 1000,
            refusal_delays[int(len(refusal_delays) * 0.9)] * 1000,
            100 * result.retries.total() / result.requests.total(),
            response_times[int(len(response_times) * 0.99)] * 1000,
        )
    return [throughput_table, refusal_table]
