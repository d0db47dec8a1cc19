"""Backoff delays grow with consecutive failures up to a limit; token buckets."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.pacing import Backoff, TokenBucket


@given(st.integers(0, 1000))
def test_delays_grow_to_a_limit(seed: int) -> None:
    # Without a limit, a store that was unavailable for an hour would be retried only
    # after another hour.
    backoff = Backoff(0.1, 1.5, Random(seed))
    delays = [backoff.next_delay_s() for _ in range(2000)]
    assert 0.05 <= delays[0] <= 0.1
    assert all(0.75 <= delay <= 1.5 for delay in delays[4:])
    assert len({round(delay, 6) for delay in delays[:10]}) == 10, "no jitter"


def test_a_success_resets_the_delay() -> None:
    backoff = Backoff(0.1, 1.5, Random(1))
    for _ in range(10):
        backoff.next_delay_s()
    backoff.reset()
    assert backoff.next_delay_s() <= 0.1


@pytest.mark.parametrize(("tokens", "allowed"), [(None, 3), (1, 1), (0, 0)])
def test_a_bucket_allows_its_tokens_and_no_more(
    tokens: float | None, allowed: int
) -> None:
    bucket = TokenBucket(3, tokens)
    assert sum(bucket.take() for _ in range(10)) == allowed
    bucket.add(100)
    assert sum(bucket.take() for _ in range(10)) == 3
