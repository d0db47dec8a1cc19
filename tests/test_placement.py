"""Placement: shares follow the weights, and membership changes move few keys."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.datapath.placement import (
    TABLE_SIZES,
    MaglevTable,
    should_pass_on,
    slow_start_schedule,
    slow_start_weight,
    table_size,
)

KEYS = [n.to_bytes(8, "big") for n in range(5000)]
weights = st.dictionaries(
    st.binary(min_size=6, max_size=6), st.integers(0, 100), max_size=12
)


def targets(count: int, weight: int = 100) -> list[tuple[bytes, int]]:
    return [(bytes((10, 0, 0, n, 1, 187)), weight) for n in range(count)]


def slot_shares(table: MaglevTable) -> dict[bytes, float]:
    slots = table.slots()
    return {target: slots.count(target) / len(slots) for target, _ in table.weights}


@pytest.mark.parametrize("count", [1, 2, 7, 10, 20, 150])
def test_equal_targets_get_shares_within_two_percent(count: int) -> None:
    shares = slot_shares(MaglevTable(targets(count), b"core"))
    assert max(shares.values()) <= 1.02 / count


def test_shares_follow_weights() -> None:
    shares = slot_shares(MaglevTable([(b"a", 100), (b"b", 10), (b"c", 50), (b"d", 0)]))
    assert shares == {
        b"a": pytest.approx(100 / 160, rel=0.02),
        b"b": pytest.approx(10 / 160, rel=0.02),
        b"c": pytest.approx(50 / 160, rel=0.02),
    }


@given(weights, st.randoms(use_true_random=False))
def test_table_does_not_depend_on_the_order_of_targets(
    weights_by_target, random
) -> None:
    shuffled = list(weights_by_target.items())
    random.shuffle(shuffled)
    one, other = (
        MaglevTable(weights_by_target.items(), b"s"),
        MaglevTable(shuffled, b"s"),
    )
    assert one.slots() == other.slots()
    assert {t for t, _ in one.weights} == {t for t, w in weights_by_target.items() if w}


@given(weights, st.binary(max_size=20))
def test_lookup_excluding_returns_another_target_with_weight(
    weights_by_target, key
) -> None:
    table = MaglevTable(weights_by_target.items(), b"s")
    first = table.lookup(key)
    live = {target for target, weight in weights_by_target.items() if weight}
    assert (first is None) == (not live)
    if first is not None:
        second = table.lookup_excluding(key, first)
        assert second in live - {first} if len(live) > 1 else second is None
        assert table.lookup_excluding(key, b"no longer a target") == first


@pytest.mark.parametrize("change", ["join", "leave"])
def test_one_join_or_leave_moves_few_more_keys_than_necessary(
    change: str,
) -> None:
    few, many = MaglevTable(targets(7)), MaglevTable(targets(8))
    before, after = (few, many) if change == "join" else (many, few)
    moved = sum(before.lookup(key) != after.lookup(key) for key in KEYS)
    assert 0.8 / 8 < moved / len(KEYS) < 2 / 8


def test_sizes_are_prime_and_bounded() -> None:
    for size in TABLE_SIZES:
        assert all(size % divisor for divisor in range(2, int(size**0.5) + 1))
    assert [table_size(n) for n in (1, 40, 41, 10_000)] == [4093, 4093, 16381, 65537]


@pytest.mark.parametrize(
    ("age_s", "weight"),
    [(-1.0, 10), (0.0, 10), (3.3, 10), (3.4, 20), (29.9, 90), (30.0, 100), (1e9, 100)],
)
def test_slow_start_rises_in_steps(age_s: float, weight: int) -> None:
    assert slow_start_weight(age_s, 30.0) == weight


@pytest.mark.parametrize("duration_s", [0.0, 0.5, 30.0, 600.0])
def test_slow_start_schedule_lists_every_step(duration_s: float) -> None:
    schedule = slow_start_schedule(duration_s)
    assert schedule[0][0] == 0.0
    assert schedule[-1] == (duration_s, 100)
    for at_s, weight in schedule:
        assert slow_start_weight(at_s + 1e-6, duration_s) == weight


@pytest.mark.parametrize(
    ("own", "peers", "passed_on", "expected"),
    [
        (125, [100, 100], False, False),
        (126, [100, 100], False, True),
        (126, [100, 100], True, False),
        (126, [], False, False),
        (2000, [2400, 0, 0], False, True),
    ],
)
def test_only_a_target_above_the_load_bound_passes_on_and_only_once(
    own: int, peers: list[int], passed_on: bool, expected: bool
) -> None:
    assert should_pass_on(own, peers, passed_on) is expected
