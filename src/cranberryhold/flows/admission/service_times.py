"""Expected times until a target answers, learned from the packets of its flows."""

from math import exp

from cranberryhold.structs import Struct

# Time constant with which former answers lose weight. A target that becomes slow stays
# so for seconds, and one that was cold is measured anew within this time.
DECAY_S = 2.0
# Weight of the former answers beside one more. At least this much is kept after a
# pause, so that a single answer never replaces the mean.
MIN_WEIGHT = 4.0
# Upper bound, so that a target that becomes eight times slower is known to be slow
# after a dozen answers.
MAX_WEIGHT = 10.0
# An answer counts as at most this multiple of the mean. On the known deployments, 3% of
# the requests take seven times as long as the others.
MAX_DEVIATION = 3.0
MIN_SERVICE_TIME_S = 0.0005
# Addresses of routes whose requests one target answers.
MAX_ROUTES = 64


class _Mean(Struct):
    value: float
    weight: float
    updated_at: float


class ServiceTimes:
    """Decayed mean of the seconds from a request's last byte to its answer.

    Means are kept for each route, named by its packed address and port.
    """

    def __init__(self) -> None:
        self._means: dict[bytes, _Mean] = {}
        self._mean: float | None = None
        self._recorded_at: float | None = None

    def clear(self) -> None:
        """Forget all answers, as the target has been replaced."""
        self._means.clear()
        self._mean = None
        self._recorded_at = None

    def record(self, route: bytes, seconds: float, now: float) -> None:
        """Record the time that a target took to answer a request of a route."""
        seconds = max(seconds, MIN_SERVICE_TIME_S)
        self._mean = None
        self._recorded_at = now
        mean = self._means.get(route)
        if mean is None:
            if len(self._means) >= MAX_ROUTES:
                del self._means[next(iter(self._means))]
            self._means[route] = _Mean(seconds, 1.0, now)
            return
        seconds = min(seconds, mean.value * MAX_DEVIATION)
        seconds = max(seconds, mean.value / MAX_DEVIATION)
        decayed = mean.weight * exp((mean.updated_at - now) / DECAY_S)
        weight = max(decayed, min(mean.weight, MIN_WEIGHT))
        mean.value += (seconds - mean.value) / (weight + 1.0)
        mean.weight = min(weight + 1.0, MAX_WEIGHT)
        mean.updated_at = now

    def age_s(self, now: float) -> float | None:
        """Return the seconds since the newest answer, None without any."""
        return None if self._recorded_at is None else now - self._recorded_at

    def expected_s(self, route: bytes) -> float | None:
        """Return the expected seconds for a request of a route, None if unknown.

        For a route without an answer, this is the mean of the others.
        """
        mean = self._means.get(route)
        return mean.value if mean is not None else self.mean_s()

    def mean_s(self) -> float | None:
        """Return the mean of all routes by their weight, None without any answer."""
        if self._mean is None and self._means:
            means = self._means.values()
            weighted = sum(mean.value * mean.weight for mean in means)
            self._mean = weighted / sum(mean.weight for mean in means)
        return self._mean


def remaining_s(expected_s: float, elapsed_s: float) -> float:
    """Return how much longer a running request is expected to take.

    A request that exceeds the expected time is expected to run for as long again as it
    has run, so that a target which hangs looks worse the longer it does.
    """
    if elapsed_s >= expected_s:
        return elapsed_s
    return expected_s - elapsed_s
