"""Requests that a target has or is about to receive, and how far they are."""

from __future__ import annotations

from cranberryhold.flows.admission.service_times import ServiceTimes, remaining_s
from cranberryhold.flows.selection.circuit_breaker import CircuitBreaker
from cranberryhold.flows.selection.target_health import TargetHealth
from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

# A caller sends its request directly after the SYN+ACK, so that it arrives after a
# round trip of at most 12 ms. If a packet is lost, it follows 0.2 s later.
HANDSHAKE_LIMIT_S = 0.25
# After two round trips, a caller has most likely gone: an attempt that begins shortly
# before the deadline looks fresh. Its place is used, but only as many as the target
# bears in case that all members are slow.
PROMPT_HANDSHAKE_S = 0.02
# Assumed for a request while nothing is known of its target; only the comparison with
# other targets without knowledge depends on it.
UNKNOWN_SERVICE_TIME_S = 0.1
_PORT_AND_ADDRESS = slice(6, 12)


def route_of(key: bytes) -> bytes:
    """Return the packed address and port of the service in a flow's key."""
    return key[_PORT_AND_ADDRESS]


class _Request(Struct):
    """A request whose bytes have been delivered. Times are monotonic, in seconds.

    :param arrived_at: delivery of its last byte.
    :param started_at: when a slot was free for it, None while the target queues it.
    """

    arrived_at: float
    started_at: float | None


class TargetRequests:
    """Requests in progress at a target, from the delivery of a SYN to the answer.

    The target processes one request in each slot, in the order of their arrival. The
    time for which a request waits for a slot does not count as its service time.

    :param times: records the service times.
    :param slots: returns the number of requests that the target processes at once.
    :param health: judges the target by its answers.
    :param breaker: learns of failures and good answers.
    """

    def __init__(
        self,
        times: ServiceTimes,
        slots: Callable[[], int],
        health: TargetHealth | None = None,
        breaker: CircuitBreaker | None = None,
    ) -> None:
        self._times = times
        self._slots = slots
        self._health = health or TargetHealth()
        self._breaker = breaker
        # Flows that the target has not accepted yet, and accepted ones whose request
        # has not arrived yet, both with the time of that step and in its order.
        self._offered: dict[bytes, float] = {}
        self._accepted: dict[bytes, float] = {}
        self._requests: dict[bytes, _Request] = {}

    def count(self, now: float) -> int:
        """Return the number of requests in progress, including announced ones.

        An opened flow whose request does not follow in time stops counting: its caller
        has accepted another target's SYN+ACK, or has gone.
        """
        if not self._offered and not self._accepted:
            return len(self._requests)
        _remove_older(self._offered, now - HANDSHAKE_LIMIT_S)
        _remove_older(self._accepted, now - HANDSHAKE_LIMIT_S)
        doubtful = 0
        for since in self._accepted.values():
            if now - since < PROMPT_HANDSHAKE_S or doubtful > self._slots():
                break
            doubtful += 1
        openings = len(self._offered) + len(self._accepted) - doubtful
        return openings + len(self._requests)

    def is_offered(self, key: bytes) -> bool:
        """Whether a flow was offered to the target, which has not answered yet."""
        return key in self._offered

    def knowledge_age_s(self, now: float) -> float | None:
        """Return the seconds since the newest answer, None without any."""
        return self._times.age_s(now)

    def work_s(self, route: bytes) -> float:
        """Return the expected service time of a request, assumed if unknown."""
        expected = self._times.expected_s(route)
        return UNKNOWN_SERVICE_TIME_S if expected is None else expected

    def remaining_s(self, now: float) -> float:
        """Return the sum of the expected remaining times of all in progress."""
        self._start(now)
        total = 0.0
        for key, request in self._requests.items():
            work_s = self.work_s(route_of(key))
            if request.started_at is not None:
                work_s = remaining_s(work_s, now - request.started_at)
            total += work_s
        for openings in (self._offered, self._accepted):
            total += sum(self.work_s(route_of(key)) for key in openings)
        return total

    def next_free_s(self, now: float) -> float:
        """Return the expected time until one of the requests ends, 0 without any."""
        self._start(now)
        return min(
            (
                remaining_s(self.work_s(route_of(key)), now - request.started_at)
                for key, request in self._requests.items()
                if request.started_at is not None
            ),
            default=0.0,
        )

    def record_offered(self, key: bytes, now: float) -> None:
        """Record that an opening is delivered to the target."""
        self._offered.pop(key, None)
        self._offered[key] = now

    def record_accepted(self, key: bytes, now: float) -> None:
        """Record that the target has accepted a flow, whose request follows."""
        self._offered.pop(key, None)
        # The former step would keep its place in the order.
        self._accepted.pop(key, None)
        self._accepted[key] = now

    def record_received(self, key: bytes, now: float) -> None:
        """Record that new bytes of a request were delivered to the target."""
        self._accepted.pop(key, None)
        request = self._requests.get(key)
        if request is None:
            self._requests[key] = request = _Request(now, None)
            if len(self._requests) <= self._slots():
                request.started_at = now
            return
        request.arrived_at = now
        if request.started_at is not None:
            request.started_at = now

    def distrust(self, now: float) -> int:
        """Return how much speaks against the target's health, from 0 to 100."""
        self._start(now)
        running = [
            (route_of(key), now - request.started_at)
            for key, request in self._requests.items()
            if request.started_at is not None
        ]
        return self._health.distrust(running, now)

    def record_answered(self, key: bytes, length: int | None, now: float) -> None:
        """Record that the target sent the first bytes of an answer.

        :param length: bytes of data in the packet, None if it is the end of the flow
            that overtook the answer.
        """
        request = self._requests.pop(key, None)
        if request is None:
            return
        if request.started_at is not None:
            route, seconds = route_of(key), now - request.started_at
            if self._health.record_answer(route, seconds, length, now):
                self._times.record(route, seconds, now)
                if self._breaker is not None:
                    self._breaker.record_answer()
            elif self._breaker is not None:
                self._breaker.record_failure(now)
        if self._requests:
            self._start(now)

    def record_failed(self, key: bytes, now: float) -> None:
        """Record that the target will not answer the request of a flow, if any."""
        if key in self._requests:
            self._record_failure(now)

    def record_abandoned(self, key: bytes, now: float) -> None:
        """Record that a caller gave its request up, if any."""
        request = self._requests.get(key)
        if request is not None and request.started_at is not None:
            age_s = now - request.started_at
            if self._health.is_overdue(route_of(key), age_s):
                self._record_failure(now)

    def remove(self, key: bytes) -> None:
        """Remove the request of a flow that ended without an answer."""
        for flows in (self._offered, self._accepted, self._requests):
            flows.pop(key, None)

    def clear(self) -> None:
        """Remove all requests, as the target has ended."""
        for flows in (self._offered, self._accepted, self._requests):
            flows.clear()

    def _record_failure(self, now: float) -> None:
        self._health.record_failure(now)
        if self._breaker is not None:
            self._breaker.record_failure(now)

    def _start(self, now: float) -> None:
        """Mark the first requests in the order of their arrival as started."""
        free = self._slots()
        for request in self._requests.values():
            if free <= 0:
                break
            free -= 1
            if request.started_at is None:
                request.started_at = max(now, request.arrived_at)


def _remove_older(times: dict[bytes, float], oldest: float) -> None:
    """Remove the entries up to a time from a dictionary in the order of its times."""
    while times:
        key, since = next(iter(times.items()))
        if since > oldest:
            return
        del times[key]
