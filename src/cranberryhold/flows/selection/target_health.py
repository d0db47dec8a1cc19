"""Judges a target's health by what its sidecar observes, without any I/O.

The sidecar sees headers, lengths and times of packets, never their data. It compares
each answer with the usual ones of the same route, and counts requests without an
answer, resets and returned packets. Whether a target is worse than its peers is for
the entry instances to judge, as only they know all targets of a service.
"""

from __future__ import annotations

from math import exp

from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

# Usual answers are learned over this time. Faults of seconds change them little, and a
# route whose requests have changed is known again after minutes.
USUAL_AVERAGING_S = 60.0
# Fewer answers say too little about what is usual on a route.
MIN_USUAL_ANSWERS = 16
MAX_ROUTES = 64
# An answer that takes this multiple of the usual time counts half as a failure, if it
# is late enough for a caller to notice.
SLOW_FACTOR = 3.0
MIN_LATENESS_S = 0.05
# From here on, it counts in full.
VERY_SLOW_FACTOR = 6.0
# An answer below both shares of the usual time and length counts as a failure: the
# target has most likely not done the work.
IMPLAUSIBLE_TIME_SHARE = 0.25
IMPLAUSIBLE_LENGTH_SHARE = 0.5
# A request is overdue after this multiple of the usual time. A few percent of the
# requests take seven times as long as the others.
OVERDUE_FACTOR = 10.0
MIN_OVERDUE_S = 0.5
# The same before enough answers of the route are known. Such a request alone is no
# reason to eject a target, as the whole service may be as slow.
UNKNOWN_OVERDUE_S = 2.0
MAX_UNKNOWN_SEVERITY = 0.4
# Evidence counts for about this time, and for about this many requests.
EVIDENCE_DECAY_S = 2.0
EVIDENCE_REQUESTS = 16
# Good requests that are assumed in advance, so that one failure is no verdict.
ASSUMED_GOOD = 3.0
MAX_DISTRUST = 100


class _UsualAnswers(Struct):
    """Decayed sums over the plausible answers of a route."""

    weight: float = 0.0
    time_s: float = 0.0
    length: float = 0.0
    updated_at: float = 0.0

    def add(self, time_s: float, length: int | None, now: float) -> None:
        if length is None:
            length = round(self.length / self.weight) if self.weight else 0
        kept = exp(min(0.0, self.updated_at - now) / USUAL_AVERAGING_S)
        self.weight = self.weight * kept + 1.0
        self.time_s = self.time_s * kept + time_s
        self.length = self.length * kept + length
        self.updated_at = now

    def mean_time_s(self) -> float | None:
        if self.weight < MIN_USUAL_ANSWERS:
            return None
        return self.time_s / self.weight

    def severity(self, time_s: float, length: int | None) -> tuple[float, bool]:
        """Return how much an answer counts as a failure, and whether it is plausible.

        :param length: bytes of data in its first packet, None if not known.
        :return: a number from 0 to 1.
        """
        usual_s = self.mean_time_s()
        if usual_s is None:
            return 0.0, True
        if time_s < IMPLAUSIBLE_TIME_SHARE * usual_s:
            usual_length = self.length / self.weight
            plausible = (length or 0) >= IMPLAUSIBLE_LENGTH_SHARE * usual_length
            return (0.0 if plausible else 1.0), plausible
        ratio = time_s / max(usual_s, 1e-6)
        if ratio < SLOW_FACTOR or time_s - usual_s < MIN_LATENESS_S:
            return 0.0, True
        excess = (ratio - SLOW_FACTOR) / (VERY_SLOW_FACTOR - SLOW_FACTOR)
        return min(1.0, 0.5 + 0.5 * excess), True


class TargetHealth:
    """What a sidecar has observed of its target.

    Routes are named by their packed address and port. Times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._usual: dict[bytes, _UsualAnswers] = {}
        self._requests = 0.0
        self._failures = 0.0
        self._updated_at = 0.0

    def record_answer(
        self, route: bytes, time_s: float, length: int | None, now: float
    ) -> bool:
        """Record an answer of the target.

        :param time_s: time from the last byte of the request to the first of it.
        :param length: bytes of data in its first packet, None if the end of the flow
            overtook them.
        :return: whether it may be the result of the usual work.
        """
        usual = self._usual_of(route)
        severity, plausible = usual.severity(time_s, length)
        self._add_evidence(severity, now)
        if plausible:
            usual.add(time_s, length, now)
        return plausible

    def record_failure(self, now: float) -> None:
        """Record a request without an answer.

        The target reset its flow or never sent anything, or it returned the packet
        although it had a free slot.
        """
        self._add_evidence(1.0, now)

    def clear(self) -> None:
        """Forget everything, as another target runs."""
        self._usual.clear()
        self._requests = self._failures = 0.0

    def distrust(self, running: Sequence[tuple[bytes, float]], now: float) -> int:
        """Return how much speaks against the target's health, from 0 to 100.

        :param running: route and age in seconds of each request in a slot.
        """
        self._decay(now)
        failed = self._failures / (self._requests + ASSUMED_GOOD)
        hanging = sum(self._hanging(route, age_s) for route, age_s in running)
        if hanging:
            failed = max(failed, hanging / len(running))
        return min(MAX_DISTRUST, round(MAX_DISTRUST * failed))

    def is_overdue(self, route: bytes, age_s: float) -> bool:
        """Whether a request has run for much longer than usual without an answer."""
        return age_s > self._overdue_s(route)

    def _usual_of(self, route: bytes) -> _UsualAnswers:
        usual = self._usual.get(route)
        if usual is None:
            if len(self._usual) >= MAX_ROUTES:
                del self._usual[next(iter(self._usual))]
            usual = self._usual[route] = _UsualAnswers()
        return usual

    def _usual_time_s(self, route: bytes) -> float | None:
        usual = self._usual.get(route)
        return usual.mean_time_s() if usual is not None else None

    def _overdue_s(self, route: bytes) -> float:
        usual_s = self._usual_time_s(route)
        if usual_s is None:
            return UNKNOWN_OVERDUE_S
        return max(MIN_OVERDUE_S, OVERDUE_FACTOR * usual_s)

    def _hanging(self, route: bytes, age_s: float) -> float:
        """Return how much a request without an answer counts, from 0 to 1."""
        if age_s <= MIN_OVERDUE_S:
            return 0.0
        excess = max(0.0, age_s / self._overdue_s(route) - 1.0)
        is_known = self._usual_time_s(route) is not None
        return min(1.0 if is_known else MAX_UNKNOWN_SEVERITY, excess)

    def _add_evidence(self, severity: float, now: float) -> None:
        self._decay(now)
        kept = 1.0 - 1.0 / EVIDENCE_REQUESTS
        self._requests = self._requests * kept + 1.0
        self._failures = self._failures * kept + severity

    def _decay(self, now: float) -> None:
        if now > self._updated_at:
            kept = exp((self._updated_at - now) / EVIDENCE_DECAY_S)
            self._requests *= kept
            self._failures *= kept
            self._updated_at = now
