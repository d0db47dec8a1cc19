"""Which requests a caller may repeat, how often and how soon."""

from collections.abc import Iterable
from random import Random

from cranberryhold.exchange import Outcome
from cranberryhold.manifest import RetryPolicy
from cranberryhold.pacing import TokenBucket, exponential_backoff_s

MAX_BACKOFF_S = 2.0
_MAX_TOKENS = 10.0
# Lets a caller that has made few requests repeat one of them.
_FIRST_TOKENS = 2.0
_READ_METHODS = frozenset({"GET", "HEAD"})


class RetryBudget:
    """Limits repeats to a share of the requests that a caller makes.

    When most requests fail, repeating each one would multiply the load that made
    them fail. Each request adds a part of a token, each repeat takes one. At most
    two repeats and the share are allowed in all, and ten at once.

    >>> budget = RetryBudget(RetryPolicy(budget_percent=50))
    >>> [budget.take() for _ in range(3)]
    [True, True, False]
    >>> budget.record_request(), budget.record_request(), budget.take()
    (None, None, True)
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._share = policy.budget_percent / 100
        self._tokens = TokenBucket(_MAX_TOKENS, _FIRST_TOKENS)

    def record_request(self) -> None:
        """Count the first try of a request."""
        self._tokens.add(self._share)

    def take(self) -> bool:
        """Take a token for a repeat; return whether there was one."""
        return self._tokens.take()


def backoff(attempt: int, policy: RetryPolicy, random: Random) -> float:
    """Return the seconds to wait after a try has failed.

    The wait doubles with each try up to 2 s, half of it at random.

    :param attempt: number of the try that failed, from 1.
    """
    return exponential_backoff_s(
        attempt, policy.backoff_ms / 1000, MAX_BACKOFF_S, random
    )


def may_retry(outcome: Outcome, method: str, has_key: bool) -> bool:
    """Return whether repeating a request can't make it run twice.

    :param has_key: whether it carries an idempotency key, kept for the repeat.
    """
    return outcome is Outcome.NOT_RUN or has_key or method in _READ_METHODS


def combined_outcome(outcomes: Iterable[Outcome]) -> Outcome:
    """Return what failed tries say of a request together.

    A later try that was not run says nothing of an earlier one that was lost.
    """
    is_lost = Outcome.UNKNOWN in set(outcomes)
    return Outcome.UNKNOWN if is_lost else Outcome.NOT_RUN
