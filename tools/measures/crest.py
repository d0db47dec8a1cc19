"""Answers in time through a tenfold swing of demand, in virtual time.

Demand rises from 0.3 to 3 times the capacity within 2 s, stays there for 10 s and
falls back. Callers wait for 1 s; cranberryhold's callers repeat refused requests
within the retry budget, the baseline's repeat every lost request at once.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from cranberryhold.manifest import ClassKind, RetryPolicy
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

_SERVICE_S = 0.05
_DEADLINE_S = 1.0
_RISE_AT, _CREST_AT, _FALL_AT, _BASE_AT, _END_AT = 10.0, 12.0, 22.0, 24.0, 34.0
_BASE, _CREST = 0.3, 3.0
_FLOWS = 2000
_PHASES = (
    ("before", 0.0, _RISE_AT),
    ("rise", _RISE_AT, _CREST_AT),
    ("crest", _CREST_AT, _FALL_AT),
    ("fall", _FALL_AT, _BASE_AT),
    ("after", _BASE_AT, _END_AT),
)


@dataclass(slots=True)
class _Result:
    """Counts by second, and the delays of refusals in seconds."""

    requests: Counter[int] = field(default_factory=Counter)
    answered: Counter[int] = field(default_factory=Counter)
    repeats: Counter[int] = field(default_factory=Counter)
    refusals: list[float] = field(default_factory=list)
    answer_times: list[float] = field(default_factory=list)

    def rate(self, counts: Counter[int], start: float, end: float) -> float:
        """Return a count for each second of a phase."""
        return sum(counts[s] for s in range(int(start), int(end))) / (end - start)


def _demand(now: float) -> float:
    """Return the demand in multiples of the capacity."""
    if now < _RISE_AT or now >= _BASE_AT:
        return _BASE
    if now < _CREST_AT:
        return _BASE + (_CREST - _BASE) * (now - _RISE_AT) / (_CREST_AT - _RISE_AT)
    if now < _FALL_AT:
        return _CREST
    return _CREST - (_CREST - _BASE) * (now - _FALL_AT) / (_BASE_AT - _FALL_AT)


_SYSTEMS = {
    "cranberryhold": (CranberryholdPlacement, BudgetedCaller),
    "FIFO, budgeted repeats": (FifoWithoutCancellation, BudgetedCaller),
    "FIFO, repeats at once": (FifoWithoutCancellation, UnlimitedRetryCaller),
}


async def _request(placement, caller, seed_job: Job, result: _Result) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    caller.record_request()
    result.requests[int(started)] += 1
    attempt = 1
    while True:
        tried = loop.time()
        if await placement.run(seed_job):
            result.answered[int(loop.time())] += 1
            result.answer_times.append(loop.time() - started)
            return
        result.refusals.append(loop.time() - tried)
        if loop.time() >= _END_AT or not caller.may_retry(attempt):
            return
        await asyncio.sleep(caller.backoff_s(attempt))
        attempt += 1
        result.repeats[int(loop.time())] += 1


async def _run(name: str, size: ServiceSize, seed: int) -> _Result:
    random = Random(seed)
    make_placement, make_caller = _SYSTEMS[name]
    placement = make_placement(size, Random(seed))
    callers = [make_caller(RetryPolicy(), Random(f"{seed} {i}")) for i in range(50)]
    result = _Result()
    capacity = size.targets * size.slots / _SERVICE_S
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[None]] = set()
    while (now := loop.time()) < _END_AT:
        await asyncio.sleep(random.expovariate(_demand(now) * capacity))
        seconds = random.expovariate(1 / _SERVICE_S)
        job = Job(ClassKind.SHORT, random.randrange(_FLOWS), seconds, _DEADLINE_S)
        task = asyncio.create_task(
            _request(placement, random.choice(callers), job, result)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.sleep(2 * _DEADLINE_S)
    for task in tasks:
        task.cancel()
    return result


def tables(seed: int) -> list[Table]:
    """Return two tables for each size."""
    return [table for size in SIZES for table in _tables(size, seed)]


def _tables(size: ServiceSize, seed: int) -> list[Table]:
    capacity = size.targets * size.slots / _SERVICE_S
    results = {name: run_virtual(_run(name, size, seed)) for name in _SYSTEMS}
    phases = Table(
        f"{size.name} slots: answers within {_DEADLINE_S:g} s as parts of the capacity",
        ("system", *(name for name, *_ in _PHASES)),
    )
    refusals = Table(
        f"{size.name} slots: refusals and repeats",
        ("system", "refusal p50 ms", "refusal p90 ms", "repeats %", "answer p99 ms"),
    )
    for name, result in results.items():
        phases.add(
            name,
            *(
                result.rate(result.answered, start, end) / capacity
                for _, start, end in _PHASES
            ),
        )
        refused = sorted(result.refusals) or [0.0]
        times = sorted(result.answer_times)
        refusals.add(
            name,
            refused[len(refused) // 2] * 1000,
            refused[int(len(refused) * 0.9)] * 1000,
            100 * result.repeats.total() / result.requests.total(),
            times[int(len(times) * 0.99)] * 1000,
        )
    return [phases, refusals]
