"""A store that comes back from an older copy and assigns numbers again."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cranberryhold.addresses import Address
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.leased_store import LeaseLostError, StoreHistoryLostError
from cranberryhold.flows.store_epoch import EpochTracker
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.platform.store import PlatformStore
from emulator.metadata_store import MetadataStore, metadata_store
from tests.flow_simulation import LogLines
from tests.sockets import LOOPBACK_IP, free_port

KEY = "op/config"
WAIT_S = 0.1


def create_telemetry() -> Telemetry:
    return Telemetry("test", LogLines(), lambda: 0.0)


@asynccontextmanager
async def running_store() -> AsyncIterator[tuple[MetadataStore, PlatformStore]]:
    telemetry = create_telemetry()
    address = Address(LOOPBACK_IP, free_port())
    async with metadata_store(address, telemetry) as stand_in:
        client = HttpClient(address, 1 << 20)
        yield stand_in, PlatformStore(client, telemetry.count)


async def test_a_restore_is_logged_once() -> None:
    telemetry, epochs = create_telemetry(), []
    tracker = EpochTracker(telemetry, epochs.append)
    for epoch in (1, 1, 2, 1, 2):
        tracker.record(epoch)
    assert epochs == [1, 2]
    assert telemetry.counts["store_restores"] == 1
    lines = [line for line in telemetry.output.written if "store-restored" in line]
    assert len(lines) == 1
    assert "epoch=2 previous=1" in lines[0]


async def test_a_revision_that_was_not_assigned_again_is_refused() -> None:
    async with running_store() as (stand_in, store):
        copy = stand_in.copy()
        await stand_in.put(KEY, b"1")
        result = await store.get(KEY)
        await stand_in.restore(copy)
        with pytest.raises(StoreHistoryLostError):
            await store.wait_for_change(KEY, result.store_revision, WAIT_S)


async def test_a_lease_that_was_not_assigned_again_is_lost() -> None:
    async with running_store() as (stand_in, store):
        copy = stand_in.copy()
        lease = await store.grant_lease(5.0)
        await stand_in.restore(copy)
        with pytest.raises(LeaseLostError):
            await store.renew_lease(lease)
