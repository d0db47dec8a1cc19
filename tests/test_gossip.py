"""Parts of gossip: the byte budget, the order of updates, and comparison of tables."""

import pytest

from cranberryhold.clock import SystemClock
from cranberryhold.membership.gossip import (
    BUCKETS,
    ByteBudget,
    TableDigest,
    UpdateQueue,
    piggyback_limit,
)
from cranberryhold.membership.members import MemberState, MemberTable
from cranberryhold.membership.messages import (
    MAX_PAYLOAD_BYTES,
    Gossip,
    decode_datagram,
    encode,
)
from tools.clusters import Cluster, running_cluster

virtual = pytest.mark.looptime(start=0, noop_cycles=0)


@pytest.fixture
def members() -> list:
    cluster = Cluster(1)
    return [cluster.member(i) for i in range(300)]


@virtual
async def test_budget_keeps_its_rate_and_makes_up_for_an_overdraft() -> None:
    clock = SystemClock()
    budget = ByteBudget(clock, rate=1000.0, burst=500.0)
    budget.spend(1500)
    for _ in range(20):
        await budget.wait_for(100)
        budget.spend(100)
    assert clock.monotonic() == pytest.approx(3.0, abs=0.01)
    await clock.sleep(60)
    assert budget.available() == 500.0


def test_leaving_and_down_are_sent_before_other_updates(members) -> None:
    updates = UpdateQueue()
    for member in members[:40]:
        updates.add(member)
    updates.add(members[40].with_state(MemberState.DOWN))
    updates.add(members[41].with_state(MemberState.LEAVING))
    datagram = decode_datagram(encode(Gossip(updates.take_unsent(MAX_PAYLOAD_BYTES))))
    first = [r.node_id for r in datagram.updates[:2]]
    assert first == [members[41].node_id, members[40].node_id]


def test_each_update_is_piggybacked_a_limited_number_of_times(members) -> None:
    updates = UpdateQueue()
    updates.add(members[0])
    carried = sum(len(updates.take_for_piggyback(1000, 930)) for _ in range(100))
    assert carried == piggyback_limit(930) == 10
    assert len(updates) == 0


def test_newer_update_replaces_the_older_one_of_the_same_member(members) -> None:
    updates = UpdateQueue()
    updates.add(members[0])
    updates.add(members[0].with_state(MemberState.DOWN))
    message = decode_datagram(encode(Gossip(updates.take_for_piggyback(1000, 10))))
    assert [r.state for r in message.updates] == [MemberState.DOWN]


def equal_tables(
    members,
) -> tuple[MemberTable, TableDigest, MemberTable, TableDigest]:
    first, second = MemberTable(), MemberTable()
    digests = TableDigest(first), TableDigest(second)
    for member in members:
        first.merge(member)
        second.merge(member)
    return first, digests[0], second, digests[1]


def test_equal_tables_have_equal_digests_in_any_order(members) -> None:
    _, digest, _, _ = equal_tables(members)
    _, reversed_digest, _, _ = equal_tables(members[::-1])
    assert digest.differing_buckets(reversed_digest.pack()) == []


def test_digest_finds_the_record_that_differs(members) -> None:
    first, digest, second, other = equal_tables(members)
    changed = members[7].with_state(MemberState.LEAVING)
    first.merge(changed)
    buckets = digest.differing_buckets(other.pack())
    assert len(buckets) == 1
    offered, wanted = digest.compare(buckets[0], other.summary(buckets[0]))
    assert offered == [changed]
    assert [digest.find_by_hash(hash_value) for hash_value in wanted] == [changed]
    second.merge(changed)
    assert digest.differing_buckets(other.pack()) == []


def test_digest_excludes_members_that_are_down(members) -> None:
    first, digest, _, _ = equal_tables(members[:20])
    _, other, _, _ = equal_tables(members[:19])
    first.merge(members[19].with_state(MemberState.DOWN))
    assert digest.differing_buckets(other.pack()) == []
    first.forget(members[19].node_id)
    digest.forget(members[19].node_id)
    assert sum(len(digest.members(b)) for b in range(BUCKETS)) == 19


@virtual
async def test_control_bytes_stay_within_the_limit_when_a_zone_is_unreachable() -> None:
    async with running_cluster(2) as cluster:
        await cluster.start_all(90)
        cluster.partition_zones({0}, {1, 2})
        sent = [0] * 90
        for _ in range(4):
            await cluster.clock.sleep(10)
            total = [i.link.sent_bytes for i in cluster.instances]
            assert max(b - a for a, b in zip(sent, total, strict=True)) < 130_000
            sent = total
