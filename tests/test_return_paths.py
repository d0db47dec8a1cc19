"""Return paths: replies must survive the loss of an entry instance."""

import random

import pytest

from cranberryhold.addresses import Address
from cranberryhold.datapath.return_paths import PATH_LIFETIME_S, PATH_LIMIT, ReturnPaths
from cranberryhold.membership.members import Member, MemberState, MemberTable, Role

CALLER = ("10.9.0.1", 5000)
SERVICE = bytes(6)


class ManualClock:
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds


def entry_member(number: int, zone: str = "baneshwor", **more: object) -> Member:
    address = Address(f"10.0.0.{number}", 7000)
    return Member(f"e{number}", Role.ENTRY, zone, "np", address, address, **more)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def members() -> MemberTable:
    table = MemberTable()
    for member in (entry_member(1), entry_member(2), entry_member(3, "lalitpur")):
        table.merge(member)
    return table


@pytest.fixture
def paths(members: MemberTable, clock: ManualClock) -> ReturnPaths:
    paths = ReturnPaths(members, "baneshwor", clock, random.Random(1))
    paths.record_packet(CALLER, entry_member(1).forward_address, SERVICE)
    return paths


def test_fresh_path_is_kept(paths: ReturnPaths, clock: ManualClock) -> None:
    clock.now += PATH_LIFETIME_S / 2
    assert paths.choose(CALLER) == entry_member(1).forward_address


def test_stale_path_is_replaced_by_another_entry_of_the_zone(
    paths: ReturnPaths, clock: ManualClock
) -> None:
    """Guards against losing an idle feed whose entry instance failed undetected."""
    clock.now += PATH_LIFETIME_S
    assert paths.choose(CALLER) == entry_member(2).forward_address


@pytest.mark.parametrize(
    "state", [MemberState.SUSPECT, MemberState.LEAVING, MemberState.DOWN]
)
def test_path_through_an_unhealthy_entry_is_replaced_at_once(
    paths: ReturnPaths, members: MemberTable, state: MemberState
) -> None:
    members.merge(entry_member(1, state=state, version=1))
    assert paths.choose(CALLER) == entry_member(2).forward_address


def test_other_zones_are_used_when_the_own_zone_is_down(
    paths: ReturnPaths, members: MemberTable
) -> None:
    for number in (1, 2):
        members.merge(entry_member(number, state=MemberState.DOWN, version=1))
    assert paths.choose(CALLER) == entry_member(3, "lalitpur").forward_address


def test_last_path_is_used_when_no_other_entry_is_known(clock: ManualClock) -> None:
    paths = ReturnPaths(MemberTable(), "baneshwor", clock, random.Random(1))
    paths.record_packet(CALLER, entry_member(1).forward_address, SERVICE)
    clock.now += 10 * PATH_LIFETIME_S
    assert paths.choose(CALLER) == entry_member(1).forward_address


def test_datagram_of_a_peer_does_not_move_the_path(paths: ReturnPaths) -> None:
    """A first packet that a sidecar passed on doesn't come from an entry instance."""
    paths.record_packet(CALLER, Address("10.0.1.1", 9000), SERVICE)
    assert paths.choose(CALLER) == entry_member(1).forward_address


def test_number_of_paths_is_bounded(paths: ReturnPaths) -> None:
    for port in range(PATH_LIMIT + 100):
        paths.record_packet(
            ("10.9.0.2", port), entry_member(1).forward_address, SERVICE
        )
    assert len(paths) == PATH_LIMIT
