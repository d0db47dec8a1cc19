"""Member records: merging must not depend on the order in which records arrive."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.addresses import Address
from cranberryhold.membership.members import (
    LivePeers,
    Member,
    MemberState,
    MemberTable,
    Role,
    incarnation_is_later,
)
from cranberryhold.membership.messages import Join as JoinMessage
from cranberryhold.membership.messages import decode_datagram, encode, record_of
from tools.clusters import Cluster, running_cluster
from tools.virtual_time import run_virtual

INCARNATION_MODULUS = 1 << 32


def record(node: int, start: int, version: int, state: MemberState) -> Member:
    """Return a record whose weight follows from incarnation and version."""
    address = Address("10.0.0.1", 7000 + node)
    return Member(
        f"instance-{node}",
        Role.SIDECAR,
        "addis-a",
        "addis",
        address,
        address,
        "returns-core",
        (start + 7 * version) % 101,
        (INCARNATION_MODULUS - 2 + start) % INCARNATION_MODULUS,
        state,
        version,
    )


records = st.builds(
    record,
    st.integers(0, 3),
    st.integers(0, 4),
    st.integers(0, 4),
    st.sampled_from(MemberState),
)


@given(st.lists(records, max_size=12), st.randoms(use_true_random=False))
def test_table_does_not_depend_on_order_or_repetition(found, random: Random) -> None:
    shuffled = found * 2
    random.shuffle(shuffled)
    tables = MemberTable(), MemberTable()
    for table, sequence in zip(tables, (found, shuffled), strict=True):
        for member in sequence:
            table.merge(member)
    assert set(tables[0]) == set(tables[1])


@given(st.lists(records, max_size=8), st.randoms(use_true_random=False))
def test_membership_does_not_depend_on_order_or_repetition(found, random) -> None:
    shuffled = found * 2
    random.shuffle(shuffled)

    async def merged(sequence: list[Member]) -> set[Member]:
        async with running_cluster(1) as cluster:
            instance = await cluster.start(9)
            for member in sequence:
                instance.membership.merge(member)
            table = instance.membership.table
            return {m for m in table if m.state is not MemberState.DOWN}

    assert run_virtual(merged(found)) == run_virtual(merged(shuffled))


@given(st.lists(records, max_size=20))
def test_live_peers_are_all_others_that_are_not_down(found: list[Member]) -> None:
    table = MemberTable()
    live_peers = LivePeers(table, "instance-0")
    for member in found:
        table.merge(member)
    expected = {
        m
        for m in table
        if m.state is not MemberState.DOWN and m.node_id != "instance-0"
    }
    assert set(live_peers) == expected
    assert len(live_peers) == len(expected)
    for count in (1, 2, 9):
        picked = live_peers.pick(Random(1), count, excluding="instance-1")
        others = {m for m in expected if m.node_id != "instance-1"}
        assert set(picked) <= others
        assert len(picked) == min(count, len(others))


@given(records)
def test_record_is_unchanged_by_encoding_and_decoding(member: Member) -> None:
    message = decode_datagram(encode(JoinMessage(record_of(member))))
    assert message.record.to_member() == member


@given(
    st.integers(0, INCARNATION_MODULUS - 1),
    st.integers(1, INCARNATION_MODULUS // 2 - 1),
)
def test_incarnations_are_ordered_across_the_wraparound(
    start: int, distance: int
) -> None:
    later = (start + distance) % INCARNATION_MODULUS
    assert incarnation_is_later(later, start)
    assert not incarnation_is_later(start, later)
    assert not incarnation_is_later(start, start)


def test_members_of_a_cluster_have_different_addresses() -> None:
    cluster = Cluster(1)
    assert len({cluster.member(i).control_address for i in range(7430)}) == 7430
