"""Stops offering requests to a target that fails one after the other.

A target that resets flows or fails requests at once always looks idle, so that it
attracts the requests of a whole service until the entry instances have heard of it.
Its sidecar sees the failures first.
"""

from cranberryhold.flows.telemetry import Telemetry

# The breaker opens after two failures in a row, or soon at a share of failures above a
# third: each failure counts 1, and each good answer takes half of one away.
OPEN_SCORE = 2.0
GOOD_ANSWER = 0.5
MAX_SCORE = 3.0
# The breaker closes below this score, so that more than one good answer is needed.
CLOSED_SCORE = 1.0
# Time between two requests on trial. It doubles with each one that fails, as a target
# that is down for long would fail many, and callers lose them.
MIN_TRIAL_INTERVAL_S = 0.25
MAX_TRIAL_INTERVAL_S = 2.0


class CircuitBreaker:
    """Counts failures and good answers of one target.

    :param telemetry: log and counters.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._score = 0.0
        self._is_open = False
        self._interval_s = MIN_TRIAL_INTERVAL_S
        self._next_trial_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the target gets requests on trial only."""
        return self._is_open

    def permits(self, now: float, *, repeatable: bool) -> bool:
        """Whether the target may be offered a request; on trial, if it is open.

        :param repeatable: whether the caller may repeat the request; others are not
            sent on trial.
        """
        if not self._is_open:
            return True
        if not repeatable or now < self._next_trial_at:
            return False
        self._next_trial_at = now + self._interval_s
        return True

    def record_failure(self, now: float) -> None:
        """Record a request that the target failed."""
        self._score = min(MAX_SCORE, self._score + 1.0)
        if self._is_open:
            self._interval_s = min(MAX_TRIAL_INTERVAL_S, 2 * self._interval_s)
        elif self._score >= OPEN_SCORE:
            self._is_open = True
            self._telemetry.count("breaker_opened")
            self._telemetry.event("breaker-opened", score=self._score)
        self._next_trial_at = now + self._interval_s

    def record_answer(self) -> None:
        """Record a request that the target answered."""
        self._score = max(0.0, self._score - GOOD_ANSWER)
        self._next_trial_at = 0.0
        if self._is_open and self._score < CLOSED_SCORE:
            self._close()

    def reset(self) -> None:
        """Forget what happened, as another target runs."""
        self._score = 0.0
        if self._is_open:
            self._close()

    def _close(self) -> None:
        self._is_open = False
        self._interval_s = MIN_TRIAL_INTERVAL_S
        self._telemetry.event("breaker-closed", score=self._score)
