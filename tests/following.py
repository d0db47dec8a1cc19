"""A stand-in of the store with a client, and a follower of its configuration."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random

from cranberryhold.addresses import Address
from cranberryhold.flows.adoption import ConfigurationAdopter
from cranberryhold.flows.configuration import ConfigurationFollower
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.evacuation.stored import StoredEvacuations
from cranberryhold.flows.evacuation.tracker import EvacuationTracker
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.leased_store import LeasedStore
from cranberryhold.flows.route_table import RouteTable
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.platform.operator_configuration import OperatorConfiguration
from cranberryhold.platform.store import PlatformStore
from emulator.metadata_store import MetadataStore, metadata_store
from tests.flow_simulation import LogLines
from tests.sockets import LOOPBACK_IP, free_port

FLOW_LIFETIME_S = 60.0


def create_telemetry() -> Telemetry:
    """Return a log and counters in memory."""
    return Telemetry("test", LogLines(), lambda: 0.0)


@asynccontextmanager
async def running_store() -> AsyncIterator[tuple[MetadataStore, PlatformStore]]:
    """Yield a stand-in of the store and a client of it."""
    address = Address(LOOPBACK_IP, free_port())
    telemetry = create_telemetry()
    client = HttpClient(address, 1 << 20)
    async with metadata_store(address, telemetry) as stand_in:
        yield stand_in, PlatformStore(client, telemetry.count)


@asynccontextmanager
async def following(
    store: LeasedStore,
    *,
    limit_s: float,
    monotonic: Callable[[], float],
    recovery_s: float | None = None,
    seed: int = 1,
    on_version: Callable[[int], None] = lambda _: None,
    evacuations: EvacuationTracker | None = None,
) -> AsyncIterator[tuple[ConfigurationFollower, RouteTable, Telemetry]]:
    """Keep a route table up to date inside the context.

    :param limit_s: seconds within which a change must be in effect.
    :param recovery_s: the same after an outage, if it differs.
    :param monotonic: clock in seconds.
    :param seed: seed of the jitter.
    :param on_version: called with each version that was adopted.
    :param evacuations: is kept up to date as well, unless it is None.
    """
    source = OperatorConfiguration()
    routes, telemetry = RouteTable(FLOW_LIFETIME_S, limit_s), create_telemetry()
    adopter = ConfigurationAdopter(
        source,
        routes,
        telemetry,
        monotonic=monotonic,
        on_change=lambda: on_version(routes.version),
    )
    follower = ConfigurationFollower(
        adopter,
        store,
        telemetry,
        dependency=Dependency("configuration", telemetry, monotonic),
        random=Random(seed),
        monotonic=monotonic,
        recovery_s=limit_s if recovery_s is None else recovery_s,
        evacuations=StoredEvacuations(source, evacuations) if evacuations else None,
    )
    task = asyncio.create_task(follower.run())
    try:
        yield follower, routes, telemetry
    finally:
        task.cancel()
