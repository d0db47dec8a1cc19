"""How often something may be repeated: pauses that double, and token buckets."""

from random import Random


def exponential_backoff_s(
    failures: int, shortest_s: float, longest_s: float, random: Random
) -> float:
    """Return the seconds to wait after so many failures in a row.

    The wait doubles with each failure; its random half keeps those that failed
    together from coming back together.

    :param failures: failures so far, from 1.
    :param shortest_s: most that is waited after the first failure.
    :param longest_s: most that is waited after any.
    """
    # A float power of two above 2^1023 overflows; the bound is reached long before.
    doublings = min(failures - 1, 64)
    return min(longest_s, shortest_s * 2.0**doublings) * random.uniform(0.5, 1.0)


class Backoff:
    """Pauses between the attempts of one task.

    :param shortest_s: most that is waited after the first failure, in seconds.
    :param longest_s: most that is waited after any, in seconds.
    :param random: source of the jitter.
    """

    def __init__(self, shortest_s: float, longest_s: float, random: Random) -> None:
        self._shortest_s = shortest_s
        self._longest_s = longest_s
        self._random = random
        self._failures = 0

    def reset(self) -> None:
        """Begin anew after a success."""
        self._failures = 0

    def next_delay_s(self) -> float:
        """Count a failure; return the seconds to wait before the next attempt."""
        self._failures += 1
        return exponential_backoff_s(
            self._failures, self._shortest_s, self._longest_s, self._random
        )


class TokenBucket:
    """Allows a burst, and beyond it as much as is added.

    >>> bucket = TokenBucket(capacity=2)
    >>> [bucket.take() for _ in range(3)]
    [True, True, False]

    :param capacity: most tokens that are kept.
    :param tokens: tokens at the start; None for a full bucket.
    """

    def __init__(self, capacity: float, tokens: float | None = None) -> None:
        self._capacity = capacity
        self._tokens = capacity if tokens is None else tokens

    def add(self, tokens: float) -> None:
        """Add tokens, or parts of one, up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + tokens)

    def take(self) -> bool:
        """Take a token; return whether there was one."""
        # Sums of a share such as 0.1 fall short of 1 by rounding.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens -= 1
        return True
