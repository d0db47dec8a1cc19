"""Limits how often an operation is repeated: exponential backoff, token buckets."""

from __future__ import annotations

import _random

TYPE_CHECKING = False
if TYPE_CHECKING:
    from random import Random
else:

    class Random(_random.Random):
        """Source of random numbers, with a part of the methods of its namesake.

        Importing ``random`` takes half as long as starting the interpreter.
        """

        def uniform(self, lower: float, upper: float) -> float:
            """Return a number between two others."""
            return lower + (upper - lower) * self.random()


def exponential_backoff_s(
    failures: int, initial_s: float, max_s: float, random: Random
) -> float:
    """Return the seconds to wait after a number of consecutive failures.

    The delay doubles with each failure. Jitter of up to half the delay keeps clients
    that failed at the same time from retrying at the same time.

    :param failures: number of consecutive failures, at least 1.
    :param initial_s: longest delay after the first failure.
    :param max_s: longest delay after any failure.
    """
    # A power of two above 2^1023 overflows a float; the limit is reached long before.
    doublings = min(failures - 1, 64)
    return min(max_s, initial_s * 2.0**doublings) * random.uniform(0.5, 1.0)


class Backoff:
    """Delays between the attempts of one task.

    :param initial_s: longest delay after the first failure, in seconds.
    :param max_s: longest delay after any failure, in seconds.
    :param random: source of the jitter.
    """

    def __init__(self, initial_s: float, max_s: float, random: Random) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._random = random
        self._failures = 0

    def reset(self) -> None:
        """Start again from the initial delay after a success."""
        self._failures = 0

    def next_delay_s(self) -> float:
        """Record a failure and return the seconds to wait before the next attempt."""
        self._failures += 1
        return exponential_backoff_s(
            self._failures, self._initial_s, self._max_s, self._random
        )


class TokenBucket:
    """A token bucket that allows a burst up to its capacity.

    The caller adds tokens, which set the rate beyond the burst.

    >>> bucket = TokenBucket(capacity=2)
    >>> [bucket.take() for _ in range(3)]
    [True, True, False]

    :param capacity: largest number of tokens.
    :param tokens: initial number of tokens; None for a full bucket.
    """

    def __init__(self, capacity: float, tokens: float | None = None) -> None:
        self._capacity = capacity
        self._tokens = capacity if tokens is None else tokens

    def add(self, tokens: float) -> None:
        """Add tokens, which may be fractional, up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + tokens)

    def take(self) -> bool:
        """Take a token; return whether one was available."""
        # The sum of fractions such as 0.1 can be slightly below 1 due to rounding.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens -= 1
        return True
