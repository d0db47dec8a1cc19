"""Mass failure guard: an observer with wrong reports must not empty a service."""

import asyncio

import pytest

from cranberryhold.addresses import Address
from cranberryhold.datapath.targets import (
    MassFailureGuard,
    ServiceTargets,
    TargetTables,
)
from cranberryhold.membership.members import (
    Member,
    MemberChange,
    MemberState,
    MemberTable,
)
from tests.builders import target

DOWN, LEAVING, ALIVE = MemberState.DOWN, MemberState.LEAVING, MemberState.ALIVE


class Observer:
    """A guard and the members whose changes it records."""

    def __init__(self, count: int) -> None:
        self.guard = MassFailureGuard()
        self.members = {
            f"t{n}": target(f"t{n}", f"10.0.0.{n + 1}:443") for n in range(count)
        }

    def set_state(self, state: MemberState, *numbers: int, at: float) -> None:
        for number in numbers:
            before = self.members[f"t{number}"]
            after = before.with_state(state)
            self.members[f"t{number}"] = after
            self.guard.record_change(MemberChange(before, after), at)

    def kept(self, at: float) -> set[int]:
        kept: list[Member] = self.guard.select(self.members.values(), at)
        return {int(m.node_id[1:]) for m in kept}


@pytest.mark.parametrize(
    ("count", "down", "kept"),
    [
        (7, 3, {3, 4, 5, 6}),
        (7, 4, {0, 1, 2, 3, 4, 5, 6}),
        (2, 1, {1}),
        (3, 2, {0, 1, 2}),
        (1, 1, {0}),
        (7, 7, {0, 1, 2, 3, 4, 5, 6}),
    ],
)
def test_targets_are_held_only_if_more_than_half_fail_at_once(
    count: int, down: int, kept: set[int]
) -> None:
    observer = Observer(count)
    observer.set_state(DOWN, *range(down), at=100.0)
    assert observer.kept(at=100.1) == kept


def test_targets_removed_early_in_a_mass_failure_are_restored() -> None:
    observer = Observer(7)
    observer.set_state(DOWN, 0, 1, at=100.0)
    assert observer.kept(at=100.0) == {2, 3, 4, 5, 6}
    observer.set_state(DOWN, 2, 3, at=109.9)
    assert observer.kept(at=109.9) == set(range(7))


def test_targets_that_fail_over_a_longer_time_are_removed() -> None:
    observer = Observer(7)
    for number in range(5):
        observer.set_state(DOWN, number, at=100.0 + 11 * number)
        observer.kept(at=100.0 + 11 * number)
    assert observer.kept(at=144.0) == {5, 6}


def test_held_targets_stay_until_most_of_the_service_is_up_again() -> None:
    observer = Observer(7)
    observer.set_state(DOWN, 0, 1, 2, 3, at=100.0)
    assert observer.kept(at=100.0) == set(range(7))
    assert observer.kept(at=5000.0) == set(range(7))
    assert observer.guard.held == {"t0", "t1", "t2", "t3"}
    observer.set_state(ALIVE, 0, at=5001.0)
    assert observer.kept(at=5001.0) == {0, 4, 5, 6}


def test_leaving_and_zero_weight_targets_are_never_kept() -> None:
    observer = Observer(4)
    observer.set_state(LEAVING, 0, 1, at=99.0)
    observer.set_state(DOWN, 0, 2, 3, at=100.0)
    assert observer.kept(at=100.0) == {2, 3}
    drained = target("t2", "10.0.0.3:443", weight=0)
    observer.members["t2"] = drained.with_state(DOWN)
    assert observer.kept(at=100.0) == {3}


def test_old_failures_reported_to_a_new_observer_do_not_count() -> None:
    observer = Observer(5)
    for number in range(3):
        after = observer.members[f"t{number}"].with_state(DOWN)
        observer.members[f"t{number}"] = after
        observer.guard.record_change(MemberChange(None, after), 100.0)
    assert observer.kept(at=100.0) == {3, 4}


def test_all_targets_are_held_if_none_is_up() -> None:
    observer = Observer(3)
    for number in range(3):
        observer.set_state(DOWN, number, at=100.0 + 20 * number)
        observer.kept(at=100.0 + 20 * number)
    assert observer.kept(at=140.0) == {0, 1, 2}


@pytest.mark.looptime
async def test_held_targets_that_are_forgotten_leave_the_table() -> None:
    members = MemberTable()
    tables = TargetTables(members)
    for n in range(3):
        members.merge(target(f"t{n}", f"10.0.0.{n + 1}:443"))
    tables.set_services(["core"])
    async with tables.tracking_members():
        await asyncio.sleep(1)
        for n in range(2):
            members.merge(members.get(f"t{n}").with_state(DOWN))
        await asyncio.sleep(1)
        assert len(tables["core"].table.weights) == 3
        members.forget("t0")
        await asyncio.sleep(60)
        assert len(tables["core"].table.weights) == 1


def test_newest_member_at_an_address_determines_its_weight() -> None:
    members = MemberTable()
    members.merge(target("old", "10.0.0.1:443", incarnation=1))
    members.merge(target("other", "10.0.0.2:443", incarnation=1))
    members.merge(target("new", "10.0.0.1:443", incarnation=2, weight=0))
    table = ServiceTargets("core").rebuild(members, 0.0)
    assert table.weights == ((Address("10.0.0.2", 443).pack(), 100),)


def test_suspicion_alone_does_not_rebuild_the_table() -> None:
    members, service = MemberTable(), ServiceTargets("core")
    members.merge(target("t0", "10.0.0.1:443"))
    table = service.rebuild(members, 0.0)
    members.merge(members.get("t0").with_state(MemberState.SUSPECT))
    assert service.rebuild(members, 0.0) is table
