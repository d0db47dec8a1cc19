"""Manifest distribution under faults: which generation is in force, where, how soon."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.clock import SystemClock
from cranberryhold.distribution import ManifestState
from cranberryhold.exceptions import ManifestError
from cranberryhold.manifest.models import AcceptedManifest, Manifest
from cranberryhold.membership.messages import Announcement, encode
from tools.clusters import Cluster, MemoryStore, accepted_manifest, running_cluster
from tools.virtual_time import run_virtual

virtual = pytest.mark.looptime(start=0, noop_cycles=0)

IN_FORCE_S = 3.0
MANY_SERVICES = tuple(f"service-{i}" for i in range(40))


def in_force(cluster: Cluster, generation: int) -> bool:
    return all(i.manifest_state.generation == generation for i in cluster.instances)


async def put_in_force(cluster: Cluster, store: MemoryStore, manifest) -> None:
    store.put(manifest)
    await cluster.until(lambda: in_force(cluster, manifest.generation), IN_FORCE_S)


def reader_count(cluster: Cluster) -> int:
    return sum(i.reader is not None and i.reader.elected for i in cluster.instances)


@virtual
@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("pulled", [False, True])
async def test_change_is_in_force_everywhere_within_the_limit(pulled, loss) -> None:
    store = MemoryStore()
    services, addresses = (MANY_SERVICES, 12) if pulled else (("khata-core",), 1)
    async with running_cluster(1, loss=loss) as cluster:
        await cluster.start_all(60, store=store)
        for generation in (1, 2, 3):
            changed = accepted_manifest(
                generation, *services, port=400 + generation, addresses=addresses
            )
            await put_in_force(cluster, store, changed)
            await cluster.clock.sleep(2)
        assert len({i.manifest_state.digest for i in cluster.instances}) == 1
        if pulled:
            assert sum(i.distributor.pulls for i in cluster.instances) >= 3 * 50


@virtual
async def test_small_change_travels_in_the_datagram_without_pulls() -> None:
    async with running_cluster(2) as cluster:
        await cluster.start_all(30)
        for generation in (1, 2):
            changed = accepted_manifest(generation, *MANY_SERVICES[: 2 + generation])
            cluster.instances[0].manifest_state.adopt(changed)
            await cluster.until(lambda g=generation: in_force(cluster, g), IN_FORCE_S)
        assert sum(i.distributor.pulls for i in cluster.instances) == 0


@virtual
async def test_pulls_of_a_large_change_are_distributed_over_the_members() -> None:
    async with running_cluster(3) as cluster:
        await cluster.start_all(60)
        cluster.instances[0].manifest_state.adopt(
            accepted_manifest(1, *MANY_SERVICES, addresses=12)
        )
        await cluster.until(lambda: in_force(cluster, 1), IN_FORCE_S)
        served_bytes = [i.link.call_bytes for i in cluster.instances]
        assert served_bytes[0] < sum(served_bytes) / 4


@virtual
async def test_long_outage_of_the_store_causes_no_flood_and_no_change() -> None:
    store = MemoryStore()
    async with running_cluster(4) as cluster:
        await cluster.start_all(24, store=store)
        await put_in_force(cluster, store, accepted_manifest(1))
        store.down = True
        store.calls = 0
        await cluster.clock.sleep(300)
        assert in_force(cluster, 1)
        assert store.calls <= 6 * 300 / 2
        assert min(i.manifest_state.store_age_s for i in cluster.instances) > 200
        store.down = False
        store.put(accepted_manifest(2))
        await cluster.until(lambda: in_force(cluster, 2), 5 + IN_FORCE_S)


@virtual
async def test_new_member_gets_the_manifest_from_peers_during_a_store_outage() -> None:
    store = MemoryStore()
    async with running_cluster(5) as cluster:
        await cluster.start_all(12, store=store)
        await put_in_force(cluster, store, accepted_manifest(7, *MANY_SERVICES))
        store.down = True
        contact = cluster.instances[3].address
        new_member = await cluster.start(60, [contact], store=store)
        await cluster.until(
            lambda: new_member.manifest_state.generation == 7, IN_FORCE_S
        )
        digests = {i.manifest_state.digest for i in cluster.instances}
        assert len(digests) == 1


@virtual
async def test_store_that_returns_older_generation_raises_alarm_and_changes_nothing():
    store = MemoryStore()
    async with running_cluster(6) as cluster:
        await cluster.start_all(12, store=store)
        for generation in (1, 2):
            await put_in_force(cluster, store, accepted_manifest(generation))
        store.put(accepted_manifest(1))
        await cluster.clock.sleep(5)
        readers = [i for i in cluster.instances if i.reader and i.reader.elected]
        assert in_force(cluster, 2)
        assert all(i.manifest_state.store_is_behind for i in readers)
        assert all(i.manifest_state.alarms == 1 for i in readers)
        store.put(accepted_manifest(2, port=999))
        await cluster.clock.sleep(5)
        assert all(i.manifest_state.alarms == 2 for i in readers)
        await put_in_force(cluster, store, accepted_manifest(3))
        assert not any(i.manifest_state.store_is_behind for i in cluster.instances)


@virtual
async def test_unreadable_value_is_refused_without_a_busy_loop() -> None:
    store = MemoryStore()
    async with running_cluster(7) as cluster:
        await cluster.start_all(12, store=store)
        await put_in_force(cluster, store, accepted_manifest(1))
        store.put_raw(b'{"generation": 2}')
        store.calls = 0
        await cluster.clock.sleep(30)
        assert in_force(cluster, 1)
        assert store.calls <= 12
        await put_in_force(cluster, store, accepted_manifest(3))


@virtual
async def test_store_that_answers_each_watch_at_once_is_not_flooded() -> None:
    store = MemoryStore()
    async with running_cluster(8) as cluster:
        await cluster.start_all(12, store=store)

        async def answer(key: str, revision: int, timeout_s: float) -> None:
            store.calls += 1

        store.watch = answer
        store.calls = 0
        await cluster.clock.sleep(120)
        assert store.calls <= 12 * 120


@virtual
async def test_watch_whose_answer_is_lost_times_out() -> None:
    store = MemoryStore()
    async with running_cluster(14) as cluster:

        async def lose(key: str, revision: int, timeout_s: float) -> None:
            await cluster.clock.sleep(1e6)

        store.watch = lose
        await cluster.start_all(6, store=store)
        await cluster.clock.sleep(30)
        del store.watch
        store.put(accepted_manifest(1))
        await cluster.until(lambda: in_force(cluster, 1), 60)


@virtual
async def test_change_after_a_silent_outage_is_in_force_within_the_limit() -> None:
    # Guards against readers that still wait for answers which the outage has lost.
    store = MemoryStore()
    async with running_cluster(15) as cluster:
        await cluster.start_all(12, store=store)
        await put_in_force(cluster, store, accepted_manifest(1))
        async with store.silence():
            await cluster.clock.sleep(5)
        await put_in_force(cluster, store, accepted_manifest(2))


@virtual
@pytest.mark.parametrize("outage_s", [0.1, 0.5, 1.0, 2.0, 30.0, 70.0])
async def test_change_right_after_any_silent_outage_is_in_force_within_the_limit(
    outage_s: float,
) -> None:
    # Guards against a detector whose own call was lost in the outage.
    store = MemoryStore()
    async with running_cluster(16) as cluster:
        await cluster.start_all(12, store=store)
        await put_in_force(cluster, store, accepted_manifest(1))
        for generation in range(2, 8):
            await cluster.clock.sleep(10 + 0.17 * generation)
            async with store.silence():
                await cluster.clock.sleep(outage_s)
            await put_in_force(cluster, store, accepted_manifest(generation))


@virtual
async def test_only_the_first_reader_of_each_zone_checks_for_missed_changes() -> None:
    store = MemoryStore()
    async with running_cluster(17) as cluster:
        await cluster.start_all(36, store=store)
        await put_in_force(cluster, store, accepted_manifest(1))
        store.calls = store.checks = 0
        await cluster.clock.sleep(50)
        assert cluster.zones * 50 <= store.checks <= cluster.zones * 50 / 0.8 + 3
        assert store.calls <= 2 * cluster.zones


@virtual
async def test_another_key_with_the_same_prefix_costs_one_read() -> None:
    # The index of a prefix is also raised by other keys.
    store = MemoryStore()
    async with running_cluster(18) as cluster:
        await cluster.start_all(12, store=store)
        await put_in_force(cluster, store, accepted_manifest(1))

        async def higher_index(key: str) -> int:
            return 99

        await cluster.clock.sleep(1)  # The next watches have begun.
        store.latest_index = higher_index
        store.calls = 0
        await cluster.clock.sleep(30)
        assert store.calls <= cluster.zones
        await put_in_force(cluster, store, accepted_manifest(2))


@virtual
async def test_slow_store_delays_a_change_only_by_its_own_latency() -> None:
    store = MemoryStore()
    store.delay_s = 2.0
    async with running_cluster(9) as cluster:
        await cluster.start_all(24, store=store)
        await cluster.clock.sleep(5)
        store.put(accepted_manifest(1))
        await cluster.until(lambda: in_force(cluster, 1), 2.0 + IN_FORCE_S)


@virtual
async def test_two_entries_of_each_zone_watch_and_others_take_over() -> None:
    store = MemoryStore()
    async with running_cluster(10) as cluster:
        await cluster.start_all(36, store=store)
        await cluster.clock.sleep(2)
        assert reader_count(cluster) == 6
        readers = [i for i in cluster.instances if i.reader and i.reader.elected]
        for reader in readers:
            await reader.kill()
            cluster.instances.remove(reader)
        await cluster.until(lambda: reader_count(cluster) == 3, 30)
        await put_in_force(cluster, store, accepted_manifest(1))


@virtual
async def test_zone_without_the_store_keeps_its_generation_and_catches_up() -> None:
    store = MemoryStore()
    async with running_cluster(11, zones=2) as cluster:
        await cluster.start_all(24, store=store)
        await put_in_force(cluster, store, accepted_manifest(1, *MANY_SERVICES))
        isolated = [i for i in cluster.instances if i.address.ip.startswith("10.1.")]
        heal = cluster.partition_zones({0}, {1})

        async def unreachable(*arguments: object) -> None:
            await cluster.clock.sleep(1e9)

        for instance in isolated:
            if instance.reader:
                isolated_store = type(
                    "UnreachableStore",
                    (),
                    {"watch": unreachable, "latest_index": unreachable},
                )()
                instance.reader._store = isolated_store
                instance.reader._detector._store = isolated_store
        await cluster.clock.sleep(70)
        for generation in (2, 3):
            store.put(accepted_manifest(generation, *MANY_SERVICES[generation:]))
            await cluster.clock.sleep(3)
        assert {i.manifest_state.generation for i in isolated} == {1}
        assert min(i.manifest_state.store_age_s for i in isolated) > 60
        heal()
        await cluster.until(lambda: in_force(cluster, 3), 20)
        assert len({i.manifest_state.digest for i in cluster.instances}) == 1


@virtual
async def test_member_that_missed_a_generation_does_not_apply_a_later_delta() -> None:
    async with running_cluster(13) as cluster:
        await cluster.start_all(3)
        source, *_, lagging = cluster.instances
        source.manifest_state.adopt(accepted_manifest(1, "a", "b"))
        await cluster.until(lambda: in_force(cluster, 1), IN_FORCE_S)
        heal = cluster.network.block(lambda a, b: lagging.address in (a, b))
        source.manifest_state.adopt(accepted_manifest(2, "b", "c"))
        heal()
        source.manifest_state.adopt(accepted_manifest(3, "b", "c", "d"))
        await cluster.until(lambda: in_force(cluster, 3), IN_FORCE_S)
        assert lagging.manifest_state.digest == source.manifest_state.digest
        assert set(lagging.manifest_state.service_digests) == {"b", "c", "d"}


@virtual
async def test_pulls_of_a_generation_that_no_member_has_end() -> None:
    async with running_cluster(12) as cluster:
        await cluster.start_all(6)
        cluster.instances[0].manifest_state.adopt(accepted_manifest(1))
        await cluster.until(lambda: in_force(cluster, 1), IN_FORCE_S)
        link = cluster.network.link(cluster.member(7).control_address)
        link.send(encode(Announcement(99, b"x" * 16)), cluster.instances[1].address)
        await cluster.clock.sleep(600)
        assert cluster.instances[1].distributor.failed_pulls <= 5
        cluster.instances[2].manifest_state.adopt(accepted_manifest(2))
        await cluster.until(lambda: in_force(cluster, 2), IN_FORCE_S)


@given(st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=20))
def test_generation_never_reverts(offers: list[tuple[int, bool]]) -> None:
    async def main() -> None:
        state, seen = ManifestState(SystemClock()), []
        state.accepted.subscribe(lambda a: seen.append(a.generation))
        for generation, from_store in offers:
            before = state.generation
            adopt = state.adopt_from_store if from_store else state.adopt
            assert adopt(accepted_manifest(generation)) is (generation > before)
            assert state.generation == max(before, generation)
        assert seen == sorted(set(seen))

    run_virtual(main())


def test_late_subscriber_receives_the_manifest_in_force() -> None:
    state, seen = ManifestState(SystemClock()), []
    for generation in (1, 2):
        state.adopt(accepted_manifest(generation))
    state.accepted.subscribe(lambda a: seen.append(a.generation))
    assert seen == [2]


def test_invalid_manifest_is_refused_and_the_one_in_force_stays() -> None:
    state = ManifestState(SystemClock())
    state.adopt(accepted_manifest(1))
    twice = accepted_manifest(2).manifest.services[:1] * 2
    manifest = Manifest.model_construct(version=1, services=twice)
    bad = AcceptedManifest.model_construct(
        generation=2, submission_id="x", manifest=manifest, released=()
    )
    with pytest.raises(ManifestError, match="appears twice"):
        state.adopt(bad)
    assert state.generation == 1
    assert state.refused == 1
