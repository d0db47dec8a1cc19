"""ConsulStore against the stand-in over loopback HTTP, with each fault.

Guards against a lost answer that is reported as a conflict or as a failure, calls
without a time limit, and watches that cost more than one call.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from cranberryhold.addresses import Address
from cranberryhold.consul import LEASE_PREFIX, ConsulStore
from cranberryhold.exceptions import StoreError, StoreOutcomeUnknownError
from cranberryhold.store import VersionedValue
from emulator.key_values import MAX_VALUE_BYTES, KeyValues
from emulator.platform import Platform

KEY = "cranberryhold/manifest"
ANY_PORT = Address("127.0.0.1", 0)


@pytest.fixture
def key_values() -> KeyValues:
    return KeyValues()


@pytest.fixture
async def store(key_values: KeyValues) -> AsyncIterator[ConsulStore]:
    async with (
        Platform(key_values).serve(ANY_PORT) as address,
        ConsulStore.open(f"http://{address}", call_timeout_s=0.5) as store,
    ):
        yield store


async def read(store: ConsulStore) -> VersionedValue:
    stored = await store.get(KEY)
    assert stored
    return stored


async def test_swap_takes_effect_only_at_the_expected_revision(
    store: ConsulStore,
) -> None:
    assert await store.get(KEY) is None
    assert await store.compare_and_swap(KEY, b"one", 0)
    assert not await store.compare_and_swap(KEY, b"two", 0)
    first = await read(store)
    assert first.value == b"one"
    assert await store.compare_and_swap(KEY, b"two", first.revision)
    second = await read(store)
    assert second.value == b"two"
    assert second.revision > first.revision


async def test_lost_answer_is_unknown_and_the_write_is_sent_once(
    store: ConsulStore, key_values: KeyValues
) -> None:
    """A client that silently repeats the PUT would see a failed swap instead."""
    key_values.faults.lose_answers = 1
    with pytest.raises(StoreOutcomeUnknownError) as caught:
        await store.compare_and_swap(KEY, b"one", 0)
    assert caught.value.step == "compare and swap"
    assert caught.value.peer == store.url
    assert key_values.calls.writes == 1
    stored = await read(store)
    assert stored.value == b"one"


async def test_error_of_the_service_leaves_the_outcome_unknown(
    store: ConsulStore, key_values: KeyValues
) -> None:
    """The service may have written before it lost its leader."""
    key_values.faults.error_answers = 1
    with pytest.raises(StoreOutcomeUnknownError, match="status 500"):
        await store.compare_and_swap(KEY, b"one", 0)
    stored = await read(store)
    assert stored.value == b"one"


async def test_lost_request_is_unknown_and_changes_nothing(
    store: ConsulStore, key_values: KeyValues
) -> None:
    key_values.faults.lose_requests = 1
    with pytest.raises(StoreOutcomeUnknownError):
        await store.compare_and_swap(KEY, b"one", 0)
    assert await store.get(KEY) is None


async def test_slow_answer_is_given_up_within_the_limit(
    store: ConsulStore, key_values: KeyValues
) -> None:
    key_values.faults.answer_delay_s = 60.0
    async with asyncio.timeout(10.0):
        with pytest.raises(StoreOutcomeUnknownError):
            await store.compare_and_swap(KEY, b"one", 0)
        with pytest.raises(StoreError, match="was not reached") as caught:
            await store.get(KEY)
    assert caught.value.step == "read key"
    key_values.faults.answer_delay_s = 0.0
    stored = await read(store)
    assert stored.value == b"one"


async def test_service_that_is_down_is_reported_and_recovers(
    store: ConsulStore, key_values: KeyValues
) -> None:
    key_values.set_down(True)
    with pytest.raises(StoreError):
        await store.get(KEY)
    key_values.set_down(False)
    assert await store.compare_and_swap(KEY, b"one", 0)


async def test_refused_connection_is_not_an_unknown_outcome() -> None:
    """Nothing was sent, so the caller need not wonder whether it took effect."""
    async with Platform().serve(ANY_PORT) as address:
        pass
    async with ConsulStore.open(f"http://{address}") as store:
        with pytest.raises(StoreError) as caught:
            await store.compare_and_swap(KEY, b"one", 0)
    assert not isinstance(caught.value, StoreOutcomeUnknownError)


async def test_values_are_limited_to_one_megabyte(store: ConsulStore) -> None:
    with pytest.raises(StoreError, match="status 413") as caught:
        await store.compare_and_swap(KEY, b"x" * (MAX_VALUE_BYTES + 1), 0)
    assert not isinstance(caught.value, StoreOutcomeUnknownError)
    assert await store.compare_and_swap(KEY, b"x" * MAX_VALUE_BYTES, 0)


async def test_watch_returns_on_change_and_counts_as_one_call(
    store: ConsulStore, key_values: KeyValues
) -> None:
    await store.compare_and_swap(KEY, b"one", 0)
    first = await read(store)
    watch = asyncio.create_task(store.watch(KEY, first.revision, 30.0))
    await asyncio.wait_for(key_values.watching.wait(), 5.0)
    await store.compare_and_swap("cranberryhold/other", b"x", 0)
    await store.compare_and_swap(KEY, b"two", first.revision)
    changed = await asyncio.wait_for(watch, 5.0)
    assert changed
    assert changed.value == b"two"
    assert key_values.calls.watches == 1


async def test_watch_waits_for_a_key_that_does_not_exist_yet(
    store: ConsulStore, key_values: KeyValues
) -> None:
    """Index 0 is answered at once, so that a plain watch would poll."""
    watch = asyncio.create_task(store.watch(KEY, 0, 30.0))
    await asyncio.wait_for(key_values.watching.wait(), 5.0)
    await store.compare_and_swap(KEY, b"one", 0)
    changed = await asyncio.wait_for(watch, 5.0)
    assert changed
    assert changed.value == b"one"
    assert key_values.calls.watches == 2


async def test_watch_without_a_change_returns_none(store: ConsulStore) -> None:
    assert await store.watch(KEY, 0, 0.05) is None
    await store.compare_and_swap(KEY, b"one", 0)
    first = await read(store)
    assert await store.watch(KEY, first.revision, 0.05) is None


async def test_watch_sees_a_store_that_went_back(
    store: ConsulStore, key_values: KeyValues
) -> None:
    """The reader must get the older value, to raise its alarm."""
    await store.compare_and_swap(KEY, b"old", 0)
    old = await read(store)
    key_values.snapshot("before")
    await store.compare_and_swap(KEY, b"new", old.revision)
    new = await read(store)
    key_values.restore("before")
    assert await store.watch(KEY, new.revision, 0.05) == VersionedValue(
        b"old", old.revision
    )


async def test_lease_has_one_holder_and_a_paused_one_loses_it(
    store: ConsulStore, key_values: KeyValues
) -> None:
    lease = await store.acquire_lease("writer", 10.0)
    assert lease
    assert await store.acquire_lease("writer", 10.0) is None
    assert await store.renew_lease(lease)
    assert key_values.expire_holder(LEASE_PREFIX + "writer")
    second = await store.acquire_lease("writer", 10.0)
    assert second
    assert not await store.renew_lease(lease)
    await store.release_lease(lease)
    assert await store.renew_lease(second)
    await store.release_lease(second)
    assert await store.acquire_lease("writer", 10.0)


async def test_lease_below_the_service_s_minimum_is_refused(store: ConsulStore) -> None:
    with pytest.raises(StoreError, match="10s to 86400s"):
        await store.acquire_lease("writer", 1.0)
