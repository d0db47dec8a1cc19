"""Pacing: failures in a row are followed by longer waits, up to a bound."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.pacing import Backoff, TokenBucket


@given(st.integers(0, 1000))
def test_pauses_grow_to_a_bound(seed: int) -> None:
    # Without a bound, a store that was away for an hour would be asked again after
    # another hour.
    backoff = Backoff(0.1, 1.5, Random(seed))
    pauses = [backoff.next_delay_s() for _ in range(2000)]
    assert 0.05 <= pauses[0] <= 0.1
    assert all(0.75 <= pause <= 1.5 for pause in pauses[4:])
    assert len({round(pause, 6) for pause in pauses[:10]}) == 10, "no jitter"


def test_a_success_starts_the_pauses_anew() -> None:
    backoff = Backoff(0.1, 1.5, Random(1))
    for _ in range(10):
        backoff.next_delay_s()
    backoff.reset()
    assert backoff.next_delay_s() <= 0.1


@pytest.mark.parametrize(("first", "allowed"), [(None, 3), (1, 1), (0, 0)])
def test_a_bucket_allows_its_tokens_and_no_more(
    first: float | None, allowed: int
) -> None:
    bucket = TokenBucket(3, first)
    assert sum(bucket.take() for _ in range(10)) == allowed
    bucket.add(100)
    assert sum(bucket.take() for _ in range(10)) == 3
