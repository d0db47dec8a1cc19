"""Retry policy of a caller: which requests, how often and after which delay."""

from collections.abc import Iterable
from random import Random

from cranberryhold.manifest.models import RetryPolicy
from cranberryhold.pacing import TokenBucket, exponential_backoff_s
from cranberryhold.requests.exchange import Outcome

MAX_BACKOFF_S = 2.0
_MAX_TOKENS = 10.0
# Allows retries for a caller that has made only a few requests.
_INITIAL_TOKENS = 2.0
_SAFE_METHODS = frozenset({"GET", "HEAD"})


class RetryBudget:
    """Limits retries to a share of the requests that a caller makes.

    When most requests fail, retrying each one would multiply the load that made
    them fail. Each request adds a fraction of a token and each retry takes one. The
    total is limited to two retries plus the share, a burst to ten.

    >>> budget = RetryBudget(RetryPolicy(budget_percent=50))
    >>> [budget.take() for _ in range(3)]
    [True, True, False]
    >>> budget.record_request(), budget.record_request(), budget.take()
    (None, None, True)
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._retry_share = policy.budget_percent / 100
        self._tokens = TokenBucket(_MAX_TOKENS, _INITIAL_TOKENS)

    def record_request(self) -> None:
        """Count a request, at its first attempt."""
        self._tokens.add(self._retry_share)

    def take(self) -> bool:
        """Take a token for a retry; return whether there was one."""
        return self._tokens.take()


def backoff(attempt: int, policy: RetryPolicy, random: Random) -> float:
    """Return the seconds to wait after a failed attempt.

    The delay doubles with each attempt, up to 2 s; half of it is jitter.

    :param attempt: number of the failed attempt, from 1.
    """
    return exponential_backoff_s(
        attempt, policy.backoff_ms / 1000, MAX_BACKOFF_S, random
    )


def may_retry(outcome: Outcome, method: str, has_key: bool) -> bool:
    """Return whether a request can be retried without the risk of a second effect.

    :param has_key: whether it carries an idempotency key, which the retry reuses.
    """
    return outcome is Outcome.NOT_RUN or has_key or method in _SAFE_METHODS


def combined_outcome(outcomes: Iterable[Outcome]) -> Outcome:
    """Return the outcome of a request from those of its failed attempts.

    If the outcome of any attempt is unknown, so is that of the request, even if a
    later attempt did not run.
    """
    is_unknown = Outcome.UNKNOWN in set(outcomes)
    return Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN
