"""Entry instances that leave the rotation under lasting overload.

The patterns: the links of the small instances of a zone are full after a burst of
uploads, and packets wait in front of them for seconds; the processors of some instances
are slowed several times for some seconds.
"""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.flows.peer_records import Rotation
from cranberryhold.flows.rotation_guard import (
    LEAVE_AFTER_S,
    LEAVE_JITTER_S,
    MAX_AWAY_S,
    MIN_AWAY_S,
    RotationGuard,
)

STEP_S = 0.05


class Instance:
    """An entry instance with a constant load while it is in the rotation."""

    def __init__(self, seed=1):
        self.guard = RotationGuard(Random(seed))
        self.now = 100.0

    def run(
        self,
        seconds,
        *,
        utilization=0.0,
        lateness_s=0.0,
        may_leave=True,
        is_needed=False,
    ):
        """Return the times at which the state changed, since the start."""
        changes = []
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            if self.guard.update(
                utilization=utilization,
                lateness_s=lateness_s,
                may_leave=lambda: may_leave,
                is_needed=lambda: is_needed,
                now=self.now,
            ):
                changes.append(self.now)
        return changes


@pytest.mark.parametrize(
    "load", [{"utilization": 0.93}, {"lateness_s": 0.2}], ids=["link", "processor"]
)
def test_lasting_overload_takes_an_instance_out_until_it_is_calm(load):
    instance = Instance()
    (left,) = instance.run(2.0, **load)
    assert left - 100.0 <= LEAVE_AFTER_S + LEAVE_JITTER_S + 2 * STEP_S
    # The queue in front of it still drains.
    assert not instance.run(MIN_AWAY_S + 2, utilization=0.9)
    assert not instance.guard.in_rotation
    (returned,) = instance.run(1.0, utilization=0.1)
    assert returned - left >= MIN_AWAY_S
    assert instance.guard.in_rotation


def test_a_short_burst_does_not_change_the_rotation():
    instance = Instance()
    for _ in range(50):
        assert not instance.run(LEAVE_AFTER_S - 2 * STEP_S, utilization=1.5)
        assert not instance.run(0.1, utilization=0.5)


def test_a_full_link_whose_load_varies_is_still_overloaded():
    instance = Instance()
    changes = []
    for _ in range(10):
        changes += instance.run(0.1, utilization=0.9)
        changes += instance.run(0.1, utilization=0.65)
    assert len(changes) == 1


def test_an_instance_stays_while_its_zone_needs_it():
    instance = Instance()
    assert not instance.run(10.0, utilization=1.5, may_leave=False)
    assert instance.run(0.2, utilization=1.5)


def test_an_instance_returns_at_once_when_its_zone_needs_it():
    # A neighbor that was told to stop waited for the overloaded ones, and was still
    # ready 4 s later. With fewer than half ready, the fabric sends to all anyway.
    instance = Instance()
    assert instance.run(2.0, utilization=1.0)
    (returned,) = instance.run(0.5, utilization=1.0, is_needed=True)
    assert returned == pytest.approx(102.0 + STEP_S)


def test_an_instance_that_relapses_stays_away_longer_up_to_a_bound():
    instance = Instance()
    away = []
    for _ in range(5):
        (left,) = instance.run(1.5, utilization=1.0)
        while not instance.guard.in_rotation:
            instance.run(STEP_S)
        away.append(instance.now - left)
    expected = [MIN_AWAY_S, 2 * MIN_AWAY_S, MAX_AWAY_S, MAX_AWAY_S, MAX_AWAY_S]
    assert away == pytest.approx(expected, abs=2 * STEP_S)


@given(st.integers(0, 2**32), st.integers(2, 12), st.integers(1, 12))
def test_overloaded_neighbors_never_leave_fewer_than_half(seed, total, overloaded):
    # Each of them knows the others' readiness with the delay of one step.
    guards = [RotationGuard(Random(seed + n)) for n in range(total)]
    known = [True] * total
    for step in range(200):
        now = step * STEP_S
        for number, guard in enumerate(guards):
            others = [ready for n, ready in enumerate(known) if n != number]
            rotation = Rotation(sum(others), len(others) - sum(others))
            guard.update(
                utilization=1.0 if number < overloaded else 0.2,
                lateness_s=0.0,
                may_leave=rotation.keeps_half,
                is_needed=lambda r=rotation: not r.keeps_half(),
                now=now,
            )
            known[number] = guard.in_rotation
        assert 2 * sum(known) >= total


@pytest.mark.parametrize(
    ("ready", "absent", "expected"),
    [(0, 0, False), (0, 4, False), (2, 2, False), (3, 2, True), (3, 3, False)],
)
def test_the_others_must_be_half_of_the_zone(ready, absent, expected):
    assert Rotation(ready, absent).keeps_half() == expected


@pytest.mark.parametrize(
    ("ready", "absent", "expected"),
    [(0, 0, True), (2, 2, True), (3, 2, False), (2, 3, True), (3, 3, True)],
)
def test_the_zone_needs_an_instance_if_less_than_half_are_ready(
    ready, absent, expected
):
    assert (not Rotation(ready, absent).keeps_half()) == expected
