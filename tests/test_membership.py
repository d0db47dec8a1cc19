"""Membership under faults: which members are declared down, when, and the recovery."""

import asyncio
from contextlib import suppress
from dataclasses import replace

import pytest

from cranberryhold.clock import SystemClock
from cranberryhold.membership import membership as membership_module
from cranberryhold.membership.gossip import MAX_BYTES_PER_SECOND
from cranberryhold.membership.members import MemberState
from cranberryhold.membership.messages import (
    Ack,
    Announcement,
    BucketDigests,
    Exchange,
    Heartbeat,
    Join,
    Nack,
    ProbeRequest,
    Summary,
    encode,
    record_of,
)
from tools.clusters import Cluster, Instance, running_cluster, zone_of

pytestmark = pytest.mark.looptime(start=0, noop_cycles=0)

DETECTION_S = 9.0
"""An interval until the first probe, the probe, 4 s of suspicion, and gossip."""


def all_observe(observers: list[Instance], state: str, *others: Instance) -> bool:
    return all(set(o.view(*others).values()) == {state} for o in observers)


def all_observe_all_alive(cluster: Cluster) -> bool:
    instances = cluster.instances
    return all(all_observe([i], "ALIVE", *instances) for i in instances)


def declared_down(cluster: Cluster) -> int:
    return sum(i.membership.counters.declared_down for i in cluster.instances)


async def test_killed_member_is_down_everywhere_and_stays_down() -> None:
    async with running_cluster(1) as cluster:
        await cluster.start_all(30)
        victim, *others = cluster.instances
        await victim.kill()
        await cluster.until(lambda: all_observe(others, "DOWN", victim), DETECTION_S)
        await cluster.clock.sleep(30)
        assert all_observe(others, "DOWN", victim)
        assert all(all_observe(others, "ALIVE", o) for o in others)


async def test_member_is_not_declared_down_during_a_short_suspension() -> None:
    async with running_cluster(2) as cluster:
        await cluster.start_all(30)
        suspended = cluster.instances[0]
        resume = cluster.network.block(lambda a, b: suspended.address in (a, b))
        await cluster.clock.sleep(3.5)
        resume()
        await cluster.clock.sleep(10)
        assert declared_down(cluster) == 0
        assert all_observe_all_alive(cluster)


async def test_member_resumed_after_a_long_suspension_refutes_that_it_is_down() -> None:
    async with running_cluster(2) as cluster:
        await cluster.start_all(30)
        suspended, *others = cluster.instances
        resume = cluster.network.block(lambda a, b: suspended.address in (a, b))
        await cluster.until(lambda: all_observe(others, "DOWN", suspended), 15)
        resume()
        await cluster.until(lambda: all_observe_all_alive(cluster), 15)


class _SuspendableClock(SystemClock):
    """The clock of a process that can be suspended and resumed."""

    def __init__(self) -> None:
        super().__init__()
        self._offset_s = 0.0
        self._resumed = asyncio.Event()

    def monotonic(self) -> float:
        return super().monotonic() + self._offset_s

    async def sleep(self, seconds: float) -> None:
        end = self.monotonic() + seconds
        while (remaining := end - self.monotonic()) > 1e-5:
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self._resumed.wait()

    def suspend(self, seconds: float) -> None:
        self._offset_s += seconds
        self._resumed.set()
        self._resumed = asyncio.Event()


async def test_resumed_process_reads_refutations_before_it_declares_others_down() -> (
    None
):
    async with running_cluster(3) as cluster:
        system_clock, cluster.clock = cluster.clock, _SuspendableClock()
        initial_table = cluster.initial_table(2)
        suspended = await cluster.start(0, initial_table=initial_table)
        clock, cluster.clock = cluster.clock, system_clock
        other = await cluster.start(1, initial_table=initial_table)
        heal = cluster.network.block(lambda a, b: True)
        await cluster.until(lambda: all_observe([suspended], "SUSPECT", other), 5)
        heal()
        clock.suspend(60.0)
        await cluster.until(lambda: all_observe([suspended], "ALIVE", other), 4)
        assert suspended.membership.counters.declared_down == 0


@pytest.mark.parametrize("both_ways", [True, False], ids=["both ways", "one way"])
async def test_broken_link_between_two_members_raises_no_suspicion(both_ways) -> None:
    async with running_cluster(4) as cluster:
        await cluster.start_all(12)
        ends = tuple(i.address for i in cluster.instances[:2])
        cluster.network.block(
            lambda a, b: (a, b) == ends or (both_ways and (b, a) == ends)
        )
        await cluster.clock.sleep(60)
        assert all_observe_all_alive(cluster)
        assert all(i.membership.counters.refutations == 0 for i in cluster.instances)


async def test_zone_that_can_send_but_not_receive_goes_down_and_recovers() -> None:
    async with running_cluster(5) as cluster:
        await cluster.start_all(30)
        unreachable = [i for i in cluster.instances if zone_of(i.address) == 0]
        others = [i for i in cluster.instances if i not in unreachable]
        heal = cluster.network.block(lambda a, b: zone_of(a) != 0 and zone_of(b) == 0)
        await cluster.until(lambda: all_observe(others, "DOWN", *unreachable), 30)
        heal()
        await cluster.until(lambda: all_observe_all_alive(cluster), 30)


@pytest.mark.parametrize("loss", [0.02, 0.1])
async def test_loss_and_delay_between_zones_cause_no_false_failure(loss) -> None:
    async with running_cluster(6, zone_loss=loss, zone_jitter_s=0.1) as cluster:
        await cluster.start_all(30)
        await cluster.clock.sleep(120)
        assert declared_down(cluster) == 0
        refutations = [i.membership.counters.refutations for i in cluster.instances]
        assert sum(refutations) <= 3


async def test_partitioned_regions_stay_alive_and_merge_when_healed() -> None:
    async with running_cluster(7, zones=2) as cluster:
        await cluster.start_all(40)
        sides = [
            [i for i in cluster.instances if zone_of(i.address) == zone]
            for zone in (0, 1)
        ]
        heal = cluster.partition_zones({0}, {1})
        await cluster.until(
            lambda: (
                all_observe(sides[0], "DOWN", *sides[1])
                and all_observe(sides[1], "DOWN", *sides[0])
            ),
            40,
        )
        assert all(all_observe(side, "ALIVE", *side) for side in sides)
        for number in (100, 101):
            await cluster.start(number, [sides[number % 2][0].address])
        await cluster.clock.sleep(60)
        heal()
        await cluster.until(lambda: all_observe_all_alive(cluster), 30)
        sent = [i.link.sent_bytes for i in cluster.instances]
        assert max(sent) < MAX_BYTES_PER_SECOND * cluster.clock.monotonic()


async def test_clusters_that_started_apart_merge_through_a_contact() -> None:
    async with running_cluster(8, zones=2) as cluster:
        heal = cluster.partition_zones({0}, {1})
        hub = await cluster.start(0)
        other = await cluster.start(1, [hub.address])
        for number in (2, 3, 4, 5):
            contact = (hub, other)[number % 2].address
            await cluster.start(number, [contact])
        await cluster.clock.sleep(10)
        assert len(hub.membership.table) == len(other.membership.table) == 3
        heal()
        await cluster.until(lambda: all_observe_all_alive(cluster), 60)


async def test_new_member_retries_until_its_contact_is_up() -> None:
    async with running_cluster(9) as cluster:
        await cluster.start(50, [cluster.member(0).control_address])
        await cluster.clock.sleep(10)
        await cluster.start_all(10)
        await cluster.until(lambda: all_observe_all_alive(cluster), 9)


async def test_new_member_knows_all_members_within_a_second() -> None:
    async with running_cluster(9) as cluster:
        await cluster.start_all(40)
        new_member = await cluster.start(50, [cluster.instances[7].address])
        table = new_member.membership.table
        await cluster.until(lambda: len(table) == 41, 1)
        await cluster.until(lambda: all_observe_all_alive(cluster), 5)


async def test_restarted_member_supersedes_its_earlier_incarnation() -> None:
    async with running_cluster(10) as cluster:
        await cluster.start_all(12)
        old, *others = cluster.instances
        await old.kill()
        cluster.instances.remove(old)
        contacts = [others[0].address]
        await cluster.start(0, contacts, incarnation=2000)
        await cluster.until(lambda: all_observe_all_alive(cluster), 10)
        tables = [o.membership.table for o in others]
        await cluster.clock.sleep(20)
        assert {t.get(old.node_id).incarnation for t in tables} == {2000}
        assert declared_down(cluster) == 0


@pytest.mark.parametrize("down_for_s", [0.5, DETECTION_S + 5.0])
async def test_member_whose_clock_was_set_back_rejoins_after_a_restart(
    down_for_s: float,
) -> None:
    # Guards against a process that stays unknown because its start time is earlier than
    # that of the process before it, as the clock was set back in between.
    async with running_cluster(17) as cluster:
        await cluster.start_all(12)
        old, *others = cluster.instances
        await old.kill()
        cluster.instances.remove(old)
        await cluster.clock.sleep(down_for_s)
        await cluster.start(0, [others[0].address], incarnation=500)
        await cluster.until(lambda: all_observe_all_alive(cluster), 10)
        (restarted,) = (i for i in cluster.instances if i.node_id == old.node_id)
        assert restarted.membership.local_member.incarnation > 1000
        await cluster.clock.sleep(20)
        assert all_observe_all_alive(cluster)
        assert restarted.membership.counters.duplicate_node_ids == 0


async def test_contact_whose_clock_was_set_back_rejoins_after_a_restart() -> None:
    # Guards against the same for a process that has no contact and is probed by others.
    async with running_cluster(18) as cluster:
        await cluster.start_all(12)
        old, *others = cluster.instances
        await old.kill()
        cluster.instances.remove(old)
        await cluster.until(lambda: all_observe(others, "DOWN", old), 2 * DETECTION_S)
        await cluster.start(0, [], incarnation=500)
        await cluster.until(lambda: all_observe_all_alive(cluster), 60)


async def test_forgotten_member_whose_clock_was_set_back_rejoins(monkeypatch) -> None:
    # Guards against the same for a process that the others remember as gone only.
    monkeypatch.setattr(membership_module, "RETENTION_S", 60.0)
    async with running_cluster(19) as cluster:
        await cluster.start_all(6)
        old, *others = cluster.instances
        await old.kill()
        cluster.instances.remove(old)
        await cluster.until(lambda: all_observe(others, "UNKNOWN", old), 90)
        await cluster.start(0, [others[0].address], incarnation=500)
        await cluster.until(lambda: all_observe_all_alive(cluster), 10)


async def test_leaving_reaches_all_members_and_departure_is_no_failure() -> None:
    async with running_cluster(11) as cluster:
        await cluster.start_all(30)
        leaving_member, *others = cluster.instances
        leaving_member.membership.announce(weight=0, leaving=True)
        await cluster.until(lambda: all_observe(others, "LEAVING", leaving_member), 3)
        await leaving_member.stop()
        await cluster.until(lambda: all_observe(others, "DOWN", leaving_member), 3)
        assert declared_down(cluster) == 0


async def test_member_killed_while_leaving_is_detected() -> None:
    async with running_cluster(12) as cluster:
        await cluster.start_all(12)
        leaving_member, *others = cluster.instances
        leaving_member.membership.announce(leaving=True)
        await cluster.until(lambda: all_observe(others, "LEAVING", leaving_member), 3)
        await leaving_member.kill()
        await cluster.until(lambda: all_observe(others, "DOWN", leaving_member), 15)


async def test_forgotten_member_does_not_come_back(monkeypatch) -> None:
    monkeypatch.setattr(membership_module, "RETENTION_S", 60.0)
    async with running_cluster(13) as cluster:
        await cluster.start_all(6)
        victim, *others = cluster.instances
        record = victim.membership.local_member
        await victim.kill()
        await cluster.until(lambda: all_observe(others, "UNKNOWN", victim), 90)
        observer = others[0].membership
        assert not observer.merge(record)
        assert not observer.merge(record.with_state(MemberState.DOWN))
        await cluster.clock.sleep(20)
        assert all_observe(others, "UNKNOWN", victim)
        cluster.instances.remove(victim)
        await cluster.start(0, [others[0].address], incarnation=2000)
        await cluster.until(lambda: all_observe_all_alive(cluster), 10)


async def test_second_process_with_the_same_node_id_is_reported() -> None:
    async with running_cluster(14) as cluster:
        instance = await cluster.start(0)
        other_address = cluster.member(1).control_address
        duplicate = replace(
            cluster.member(0, incarnation=3000), control_address=other_address
        )
        link = cluster.network.link(other_address)
        link.send(encode(Join(record_of(duplicate))), instance.address)
        instance.membership.merge(duplicate)
        assert instance.membership.counters.duplicate_node_ids == 1
        assert instance.membership.local_member.incarnation == 1000


async def test_malformed_datagrams_are_counted_and_dropped() -> None:
    async with running_cluster(15) as cluster:
        await cluster.start_all(3)
        target = cluster.instances[0]
        link = cluster.network.link(cluster.member(7).control_address)
        record = record_of(cluster.member(7))
        data = encode(Join(record)).replace(b"zone-1", b"\xff" * 6)
        for datagram in (b"", b"\x93", data, encode([99, 1])):
            link.send(datagram, target.address)
        await cluster.clock.sleep(5)
        assert target.membership.counters.malformed == 4
        assert all_observe_all_alive(cluster)


@pytest.mark.parametrize(
    "message",
    [
        ProbeRequest(1, "nobody", b"12"),
        BucketDigests(b"123"),
        Summary({-5: b"123", 99999: b"12345678", 3: b"12345678901"}),
        Exchange([], [-1, 1 << 40]),
        Announcement(99, b"", b"no delta"),
        Ack(-1, "nobody", Heartbeat(1 << 40, 1 << 40)),
        Nack(77),
    ],
    ids=lambda message: type(message).__name__,
)
async def test_datagram_with_invalid_values_has_no_effect(message) -> None:
    faults: list[object] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: faults.append(context))
    async with running_cluster(16) as cluster:
        await cluster.start_all(3)
        target = cluster.instances[0]
        link = cluster.network.link(cluster.member(7).control_address)
        link.send(encode(message), target.address)
        await cluster.clock.sleep(10)
        assert target.manifest_state.generation == 0
        assert all_observe_all_alive(cluster)
    assert not faults


async def test_fault_in_a_handler_does_not_stop_the_receive_loop() -> None:
    def fail(message: Nack, sender: object) -> None:
        raise LookupError

    async def scenario() -> None:
        async with running_cluster(17) as cluster:
            await cluster.start_all(2)
            target, other = cluster.instances
            target.membership.register_handler(Nack, fail)
            for _ in range(3):
                other.link.send(encode(Nack(1)), target.address)
            other.membership.announce(weight=7)
            table = target.membership.table
            await cluster.until(lambda: table.get(other.node_id).weight == 7, 0.5)

    with pytest.raises(RuntimeError, match="datagram-failed"):
        await scenario()
