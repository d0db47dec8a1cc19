"""Baseline placements of requests, compared with the system in virtual time."""

import asyncio
import heapq
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from cranberryhold.client.retries import RetryBudget, backoff
from cranberryhold.manifest.models import ClassKind, RequestClass, RetryPolicy, Service
from cranberryhold.requests.exchange import Request
from tests.pipeline_fakes import TargetGroup


@dataclass(frozen=True, slots=True)
class Job:
    """A simulated request.

    :param flow: number of the flow that it arrives on.
    :param seconds: service time.
    :param deadline_s: seconds after which its caller gives up.
    """

    kind: ClassKind
    flow: int
    seconds: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """Size of a simulated service; ``delay`` is the one-way delay between zones."""

    name: str
    targets: int
    slots: int
    delay: float


class Placement(Protocol):
    """Runs jobs on the targets of a service."""

    async def run(self, job: Job) -> bool:
        """Run a job; return False if it was refused."""


def target_of_flow(flow: int, targets: int) -> int:
    """Return the number of the target that a flow is hashed to."""
    return zlib.crc32(flow.to_bytes(8)) % targets


class CranberryholdPlacement:
    """The pipelines of the system itself."""

    def __init__(self, size: ServiceSize, random: Random) -> None:
        service = Service(
            name="khata-core",
            addresses=("127.0.0.1:4433",),
            slots_per_target=size.slots,
            classes=(
                RequestClass(
                    name="long",
                    kind=ClassKind.LONG,
                    path_prefix="/long",
                    deadline_s=3600,
                    queue_limit=10_000,
                ),
                RequestClass(name="short", deadline_s=3600, queue_limit=10_000),
            ),
        )
        self.group = TargetGroup(size.targets, lambda: service, delay=size.delay)

    async def run(self, job: Job) -> bool:
        pipelines = self.group.pipelines
        headers = (
            ("x-seconds", repr(job.seconds)),
            ("cranberryhold-deadline-ms", repr(job.deadline_s * 1000)),
        )
        request = Request("GET", f"/{job.kind}", headers)
        async with pipelines[target_of_flow(job.flow, len(pipelines))](
            request
        ) as response:
            async for _ in response.body:
                pass
            return response.status == 200


class SharedQueue:
    """One first-in, first-out queue for all slots, without delays."""

    def __init__(self, size: ServiceSize, random: Random) -> None:
        self._slots = asyncio.Semaphore(size.targets * size.slots)

    async def run(self, job: Job) -> bool:
        async with self._slots:
            await asyncio.sleep(job.seconds)
        return True


class _QueuePerTarget:
    """A first-in, first-out queue at each target."""

    def __init__(self, size: ServiceSize, random: Random) -> None:
        self._size = size
        self._random = random
        self._slots = [asyncio.Semaphore(size.slots) for _ in range(size.targets)]
        self._active = [0] * size.targets

    def _choose(self, job: Job) -> int:
        raise NotImplementedError

    async def run(self, job: Job) -> bool:
        target = self._choose(job)
        self._active[target] += 1
        try:
            async with self._slots[target]:
                await asyncio.sleep(job.seconds)
        finally:
            self._active[target] -= 1
        return True


class PlainHash(_QueuePerTarget):
    """Chooses the target that the flow is hashed to."""

    def _choose(self, job: Job) -> int:
        return target_of_flow(job.flow, self._size.targets)


class RoundRobin(_QueuePerTarget):
    """Chooses each target in turn."""

    _next = 0

    def _choose(self, job: Job) -> int:
        self._next += 1
        return self._next % self._size.targets


class LeastLoaded(_QueuePerTarget):
    """Chooses the target with the fewest requests, by reports up to 1 s old."""

    _reported_at = -1.0
    _reported: tuple[int, ...] = ()

    def _choose(self, job: Job) -> int:
        now = asyncio.get_running_loop().time()
        if now - self._reported_at >= 1.0:
            self._reported_at, self._reported = now, tuple(self._active)
        fewest = min(self._reported)
        return self._random.choice(
            [i for i, n in enumerate(self._reported) if n == fewest]
        )


PLACEMENTS: dict[str, Callable[[ServiceSize, Random], Placement]] = {
    "cranberryhold": CranberryholdPlacement,
    "one queue": SharedQueue,
    "least loaded, stale": LeastLoaded,
    "round robin": RoundRobin,
    "plain hash": PlainHash,
}


class BudgetedCaller:
    """Retries refused requests within the retry budget, after a backoff."""

    def __init__(self, policy: RetryPolicy, random: Random) -> None:
        self._policy = policy
        self._random = random
        self._budget = RetryBudget(policy)

    def record_request(self) -> None:
        self._budget.record_request()

    def may_retry(self, attempt: int) -> bool:
        return attempt < self._policy.attempts and self._budget.take()

    def backoff_s(self, attempt: int) -> float:
        return backoff(attempt, self._policy, self._random)


class UnlimitedRetryCaller:
    """Retries every request that was not answered, at once and without limit."""

    def __init__(self, policy: RetryPolicy, random: Random) -> None:
        pass

    def record_request(self) -> None:
        pass

    def may_retry(self, attempt: int) -> bool:
        return True

    def backoff_s(self, attempt: int) -> float:
        return 0.0


class FifoWithoutCancellation:
    """A queue at each target, which also runs requests whose caller has given up."""

    def __init__(self, size: ServiceSize, random: Random) -> None:
        self._free_at = [[0.0] * size.slots for _ in range(size.targets)]

    async def run(self, job: Job) -> bool:
        now = asyncio.get_running_loop().time()
        slots = self._free_at[target_of_flow(job.flow, len(self._free_at))]
        end = max(now, heapq.heappop(slots)) + job.seconds
        heapq.heappush(slots, end)
        await asyncio.sleep(min(end - now, job.deadline_s))
        return end - now <= job.deadline_s
