"""Retries stay within the budget, are spread out, and never run a request twice."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.client.retries import (
    RetryBudget,
    backoff,
    combined_outcome,
    may_retry,
)
from cranberryhold.manifest.models import RetryPolicy
from cranberryhold.requests.exchange import Outcome

NOT_RUN, UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN


@given(st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_the_budget(takes: list[bool]) -> None:
    # Unlimited retries would keep an overloaded service overloaded.
    budget = RetryBudget(RetryPolicy())
    requests = retries = 0
    for take in takes:
        if take:
            retries += budget.take()
        else:
            budget.record_request()
            requests += 1
        assert retries <= 2 + 0.1 * requests + 1e-6


@given(st.integers(1, 40), st.integers(0, 100))
def test_backoff_doubles_up_to_its_limit(attempt: int, seed: int) -> None:
    longest = min(2.0, 0.05 * 2 ** (attempt - 1))
    assert longest / 2 <= backoff(attempt, RetryPolicy(), Random(seed)) <= longest


@pytest.mark.parametrize(
    ("outcome", "method", "has_key", "expected"),
    [
        (NOT_RUN, "POST", False, True),
        (UNKNOWN, "POST", False, False),
        (UNKNOWN, "DELETE", False, False),
        (UNKNOWN, "POST", True, True),
        (UNKNOWN, "GET", False, True),
        (UNKNOWN, "HEAD", False, True),
    ],
)
def test_only_requests_that_cannot_run_twice_are_retried(
    outcome: Outcome, method: str, has_key: bool, expected: bool
) -> None:
    assert may_retry(outcome, method, has_key) is expected


def test_a_later_refusal_does_not_hide_a_lost_attempt() -> None:
    assert combined_outcome([UNKNOWN, NOT_RUN]) is UNKNOWN
    assert combined_outcome([NOT_RUN, NOT_RUN]) is NOT_RUN
