"""Admission of requests to the slots of one upstream.

Short requests go first, and long ones leave as many slots free as the recent demand
of short requests needs. A request that could not be answered by its deadline is
refused at once, while its caller still has time to try elsewhere.
"""

import asyncio
import math
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from cranberryhold.clock import Clock
from cranberryhold.exceptions import NotRunError
from cranberryhold.manifest.models import ClassKind, RequestClass

OFFER_LIFETIME_S = 0.2
_STEP = "admit"
# The short window reacts to a rise at once; the long one spans pauses in demand.
_DEMAND_WINDOWS_S = (1.0, 10.0)
_MIN_DEMAND = 0.01
_SERVICE_TIME_SMOOTHING = 0.1
# Multiple of the mean service time that is expected for a run. With the mean alone,
# a tenth of the failures at peak load came only after the full deadline.
_SERVICE_TIME_MARGIN = 2.0
# A longer queue would not answer more requests, only answer and refuse them later.
_MAX_WAIT_SHARE = 0.5
# A long request that short ones have delayed for this long takes the next free slot
# if no other long one runs, so that uploads slow down at peak load but do not stop.
_STARVATION_LIMIT_S = 5.0
# The reserve shrinks with time and without an event, so waiting long requests poll.
_RESERVE_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a target: requests running and waiting, and its number of slots."""

    running: int
    waiting: int
    slots: int

    @property
    def utilization(self) -> float:
        """Running and waiting requests per slot; 1 or more means that none is free."""
        return (self.running + self.waiting) / max(1, self.slots)


@dataclass(eq=False, slots=True)
class Lease:
    """A slot in use; :meth:`release` may be called more than once."""

    request_class: RequestClass
    started_at: float
    _on_release: Callable[["Lease"], None]
    is_held: bool = True

    def release(self) -> None:
        """Release the slot."""
        if self.is_held:
            self.is_held = False
            self._on_release(self)


@dataclass(eq=False, slots=True)
class _Waiter:
    request_class: RequestClass
    queued_at: float
    granted: asyncio.Future[Lease]


@dataclass(slots=True)
class _Offer:
    lease: Lease
    timer: asyncio.TimerHandle


@dataclass(slots=True)
class _ServiceTimes:
    """Moving averages of service times, by class and kind; 0 until measured."""

    means: dict[object, float] = field(default_factory=dict)

    def add(self, request_class: RequestClass, seconds: float) -> None:
        for key in (request_class.name, request_class.kind):
            mean = self.means.get(key, seconds)
            self.means[key] = mean + _SERVICE_TIME_SMOOTHING * (seconds - mean)

    def of(self, key: object) -> float:
        return self.means.get(key, 0.0)


@dataclass(slots=True)
class _DecayingRate:
    """Seconds of work arriving per second, averaged over an exponential window."""

    window_s: float
    value: float = 0.0
    updated_at: float = 0.0

    def rate(self, now: float) -> float:
        return self.value * math.exp((self.updated_at - now) / self.window_s)

    def add(self, work_s: float, now: float) -> None:
        self.value = self.rate(now) + work_s / self.window_s
        self.updated_at = now


class Admission:
    """Slots of one upstream and the queues of requests that wait for them.

    :param slots: returns the number of slots, which a new manifest may change.
    :param clock: source of time.
    """

    def __init__(self, slots: Callable[[], int], clock: Clock) -> None:
        self._slots = slots
        self._clock = clock
        self._running: Counter[ClassKind] = Counter()
        self._queues = {kind: deque[_Waiter]() for kind in ClassKind}
        self._waiting: Counter[str] = Counter()
        self._times = _ServiceTimes()
        self._demand = [_DecayingRate(window_s) for window_s in _DEMAND_WINDOWS_S]
        self._offers: dict[int, _Offer] = {}
        self._last_offer_id = 0
        self._refused: Counter[str] = Counter()

    @property
    def load(self) -> Load:
        """Current load of this target."""
        waiting = sum(len(queue) for queue in self._queues.values())
        return Load(self._running.total(), waiting, self._slots())

    @property
    def reserved(self) -> int:
        """Slots that long requests leave free for short ones."""
        now = self._clock.monotonic()
        demand = max(window.rate(now) for window in self._demand)
        if demand < _MIN_DEMAND:
            return 0
        return min(self._slots() - 1, math.ceil(demand + math.sqrt(demand)))

    def state(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            "slots": self._slots(),
            "reserved": self.reserved,
            "running": {str(k): n for k, n in self._running.items() if n},
            "waiting": {k: n for k, n in self._waiting.items() if n},
            "offers": len(self._offers),
            "refused": dict(self._refused),
        }

    @asynccontextmanager
    async def slot(
        self, request_class: RequestClass, deadline: float, offer_id: int = 0
    ) -> AsyncIterator[Lease]:
        """Hold a slot inside the context, after waiting for one.

        :param deadline: monotonic time by which the response is due.
        :param offer_id: an offer made earlier, or 0.
        :raises NotRunError: if the request cannot be answered by its deadline or the
            queue is full; the message gives the reason.
        """
        lease = await self.acquire(request_class, deadline, offer_id)
        try:
            yield lease
        finally:
            lease.release()

    async def acquire(
        self, request_class: RequestClass, deadline: float, offer_id: int = 0
    ) -> Lease:
        """Wait for a slot, which the caller must release; see :meth:`slot`."""
        lease = self._take_offer(offer_id) or self.try_acquire(request_class)
        if lease is not None:
            return lease
        self._check_admissible(request_class, deadline)
        waiter = _Waiter(
            request_class,
            self._clock.monotonic(),
            asyncio.get_running_loop().create_future(),
        )
        queue = self._queues[request_class.kind]
        queue.append(waiter)
        self._waiting[request_class.name] += 1
        try:
            await self._wait(waiter, deadline)
        except BaseException:
            if waiter.granted.done():
                waiter.granted.result().release()
            raise
        finally:
            self._waiting[request_class.name] -= 1
            if not waiter.granted.done():
                queue.remove(waiter)
                self._dispatch()
        return waiter.granted.result()

    def record_arrival(self, request_class: RequestClass) -> None:
        """Add a request that arrived here to the demand, wherever it will run."""
        if request_class.kind is ClassKind.SHORT:
            now, work = self._clock.monotonic(), self._times.of(request_class.name)
            for window in self._demand:
                window.add(work, now)

    def try_acquire(self, request_class: RequestClass) -> Lease | None:
        """Return a slot if one is free and no waiting request has precedence."""
        self._dispatch()
        if self._queues[request_class.kind] or not self._can_start(request_class.kind):
            return None
        return self._start(request_class)

    def offer(self, request_class: RequestClass) -> int:
        """Reserve a slot for a peer for 200 ms; return the offer id or 0."""
        lease = self.try_acquire(request_class)
        if lease is None:
            return 0
        self._last_offer_id += 1
        offer_id = self._last_offer_id
        timer = asyncio.get_running_loop().call_later(
            OFFER_LIFETIME_S, self.withdraw, offer_id
        )
        self._offers[offer_id] = _Offer(lease, timer)
        return offer_id

    def withdraw(self, offer_id: int) -> None:
        """Free the slot of an offer that was not used."""
        offer = self._offers.pop(offer_id, None)
        if offer is not None:
            offer.timer.cancel()
            self._release_slot(offer.lease)

    def _take_offer(self, offer_id: int) -> Lease | None:
        offer = self._offers.pop(offer_id, None)
        if offer is None:
            return None
        offer.timer.cancel()
        offer.lease.started_at = self._clock.monotonic()
        return offer.lease

    def _check_admissible(self, request_class: RequestClass, deadline: float) -> None:
        if self._waiting[request_class.name] >= request_class.queue_limit:
            self._refuse(request_class, "the queue is full")
        time_left = deadline - self._clock.monotonic()
        wait = self._expected_wait(request_class.kind)
        if wait > min(
            _MAX_WAIT_SHARE * time_left,
            time_left - self._expected_run_time(request_class),
        ):
            self._refuse(request_class, "the deadline would pass in the queue")

    def _expected_run_time(self, request_class: RequestClass) -> float:
        return _SERVICE_TIME_MARGIN * self._times.of(request_class.name)

    def _refuse(self, request_class: RequestClass, reason: str) -> None:
        self._refused[request_class.name] += 1
        raise NotRunError(f"not run: {reason}", step=_STEP)

    def _expected_wait(self, kind: ClassKind) -> float:
        ahead = len(self._queues[kind])
        mean, slots = self._times.of(kind), self._slots()
        long_running = self._running[ClassKind.LONG]
        if kind is ClassKind.LONG:
            return (ahead + 1) * mean / max(1, slots - self.reserved)
        if slots > long_running:
            return (ahead + 1) * mean / (slots - long_running)
        first_free = self._times.of(ClassKind.LONG) / max(1, long_running)
        return first_free + ahead * mean

    async def _wait(self, waiter: _Waiter, deadline: float) -> None:
        request_class = waiter.request_class
        latest_start = deadline - self._expected_run_time(request_class)
        while not waiter.granted.done():
            time_left = latest_start - self._clock.monotonic()
            if time_left <= 0:
                self._refuse(request_class, "the deadline came too close in the queue")
            if request_class.kind is ClassKind.LONG:
                time_left = min(time_left, _RESERVE_POLL_INTERVAL_S)
            timeout = None if math.isinf(time_left) else time_left
            await asyncio.wait({waiter.granted}, timeout=timeout)
            self._dispatch()

    def _can_start(self, kind: ClassKind) -> bool:
        if self._running.total() >= self._slots():
            return False
        long_limit = self._slots() - self.reserved
        return kind is ClassKind.SHORT or self._running[ClassKind.LONG] < long_limit

    def _dispatch(self) -> None:
        while (queue := self._next_queue()) is not None:
            waiter = queue.popleft()
            waiter.granted.set_result(self._start(waiter.request_class))

    def _next_queue(self) -> deque[_Waiter] | None:
        shorts, longs = self._queues[ClassKind.SHORT], self._queues[ClassKind.LONG]
        if longs and self._is_starved(longs[0]):
            return longs
        if shorts and self._can_start(ClassKind.SHORT):
            return shorts
        return longs if longs and self._can_start(ClassKind.LONG) else None

    def _is_starved(self, waiter: _Waiter) -> bool:
        waited = self._clock.monotonic() - waiter.queued_at
        return (
            waited > _STARVATION_LIMIT_S
            and not self._running[ClassKind.LONG]
            and self._running.total() < self._slots()
        )

    def _start(self, request_class: RequestClass) -> Lease:
        self._running[request_class.kind] += 1
        return Lease(request_class, self._clock.monotonic(), self._finish)

    def _finish(self, lease: Lease) -> None:
        self._times.add(lease.request_class, self._clock.monotonic() - lease.started_at)
        self._release_slot(lease)

    def _release_slot(self, lease: Lease) -> None:
        lease.is_held = False
        self._running[lease.request_class.kind] -= 1
        self._dispatch()
