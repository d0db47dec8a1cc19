"""ConsulStore against a local stand-in of the service, with each kind of fault.

Guards against a lost response that is reported as a conflict or as a failure, calls
without a timeout, and watches that need more than one call.
"""

import asyncio
import socket
from collections.abc import AsyncIterator

import pytest

from cranberryhold import consul
from cranberryhold.addresses import Address
from cranberryhold.consul import LEASE_PREFIX, ConsulStore
from cranberryhold.exceptions import StoreError, StoreOutcomeUnknownError
from cranberryhold.store import VersionedValue
from emulator.key_values import MAX_VALUE_BYTES, KeyValues
from emulator.platform import KeyValueServer

KEY = "cranberryhold/manifest"
ANY_PORT = Address("127.0.0.1", 0)


@pytest.fixture
def key_values() -> KeyValues:
    return KeyValues()


@pytest.fixture
async def store(key_values: KeyValues) -> AsyncIterator[ConsulStore]:
    async with (
        KeyValueServer(key_values).serve(ANY_PORT) as address,
        ConsulStore.open(f"http://{address}", call_timeout_s=0.5) as store,
    ):
        yield store


async def test_a_watch_over_a_lost_connection_fails_soon(
    key_values: KeyValues, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a manifest that is not in force for a minute after the machine of
    # the service lost power: no reset arrives, and the watches wait on.
    sockets: list[socket.socket] = []
    create = consul._create_socket

    def record(address) -> socket.socket:
        sockets.append(create(address))
        return sockets[-1]

    monkeypatch.setattr(consul, "_create_socket", record)
    async with (
        KeyValueServer(key_values).serve(ANY_PORT) as address,
        ConsulStore.open(f"http://{address}") as store,
    ):
        await store.get(KEY)
        (connection,) = sockets
        assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle_s, interval_s, probes = (
            connection.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
            )
        )
        assert idle_s + interval_s * probes <= 3


async def read(store: ConsulStore) -> VersionedValue:
    current = await store.get(KEY)
    assert current
    return current


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


async def test_lost_response_is_an_unknown_outcome_and_the_write_is_sent_once(
    store: ConsulStore, key_values: KeyValues
) -> None:
    """If the client retried the PUT by itself, the swap would seem to have failed."""
    key_values.faults.lose_answers = 1
    with pytest.raises(StoreOutcomeUnknownError) as caught:
        await store.compare_and_swap(KEY, b"one", 0)
    assert caught.value.step == "compare and swap"
    assert caught.value.peer == store.url
    assert key_values.calls.writes == 1
    current = await read(store)
    assert current.value == b"one"


async def test_server_error_leaves_the_outcome_unknown(
    store: ConsulStore, key_values: KeyValues
) -> None:
    """The service may have written the value before it lost its leader."""
    key_values.faults.error_answers = 1
    with pytest.raises(StoreOutcomeUnknownError, match="status 500"):
        await store.compare_and_swap(KEY, b"one", 0)
    current = await read(store)
    assert current.value == b"one"


async def test_lost_request_is_an_unknown_outcome_and_changes_nothing(
    store: ConsulStore, key_values: KeyValues
) -> None:
    key_values.faults.lose_requests = 1
    with pytest.raises(StoreOutcomeUnknownError):
        await store.compare_and_swap(KEY, b"one", 0)
    assert await store.get(KEY) is None


async def test_slow_response_times_out(
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
    current = await read(store)
    assert current.value == b"one"


async def test_unavailable_service_is_an_error_until_it_recovers(
    store: ConsulStore, key_values: KeyValues
) -> None:
    key_values.set_down(True)
    with pytest.raises(StoreError):
        await store.get(KEY)
    key_values.set_down(False)
    assert await store.compare_and_swap(KEY, b"one", 0)


async def test_refused_connection_is_not_an_unknown_outcome() -> None:
    """Nothing was sent, so the write can't have taken effect."""
    async with KeyValueServer().serve(ANY_PORT) as address:
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
    await asyncio.wait_for(key_values.watch_started.wait(), 5.0)
    await store.compare_and_swap("cranberryhold/other", b"x", 0)
    await store.compare_and_swap(KEY, b"two", first.revision)
    changed = await asyncio.wait_for(watch, 5.0)
    assert changed
    assert changed.value == b"two"
    assert key_values.calls.watches == 1


async def test_watch_waits_for_a_key_that_does_not_exist_yet(
    store: ConsulStore, key_values: KeyValues
) -> None:
    """The service responds to index 0 at once, so a naive watch would poll."""
    watch = asyncio.create_task(store.watch(KEY, 0, 30.0))
    await asyncio.wait_for(key_values.watch_started.wait(), 5.0)
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


async def test_watch_returns_the_older_value_of_a_restored_store(
    store: ConsulStore, key_values: KeyValues
) -> None:
    """The reader needs the older value to report that the store went back."""
    await store.compare_and_swap(KEY, b"old", 0)
    old = await read(store)
    key_values.snapshot("before")
    await store.compare_and_swap(KEY, b"new", old.revision)
    new = await read(store)
    key_values.restore("before")
    assert await store.watch(KEY, new.revision, 0.05) == VersionedValue(
        b"old", old.revision
    )


async def test_the_latest_index_changes_with_the_key_and_needs_no_value(
    store: ConsulStore, key_values: KeyValues
) -> None:
    assert await store.latest_index(KEY) >= 1
    key_values.put(KEY, b"a" * 1000)
    written = await store.get(KEY)
    assert written is not None
    assert await store.latest_index(KEY) == written.revision
    key_values.put("other", b"x")
    assert await store.latest_index(KEY) == written.revision
    key_values.put(f"{KEY}-copy", b"x")
    assert await store.latest_index(KEY) > written.revision


async def test_lease_has_one_holder_and_expires_while_the_holder_is_paused(
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


async def test_lease_shorter_than_the_minimum_is_rejected(store: ConsulStore) -> None:
    with pytest.raises(StoreError, match="10s to 86400s"):
        await store.acquire_lease("writer", 1.0)
