"""Simulated clusters: all members run in one process and in virtual time."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random
from typing import Any

from loguru import logger

from cranberryhold.addresses import Address
from cranberryhold.background_tasks import running_tasks
from cranberryhold.clock import SystemClock
from cranberryhold.distribution import (
    ManifestDistributor,
    ManifestReader,
    ManifestState,
)
from cranberryhold.exceptions import StoreError
from cranberryhold.manifest.models import (
    MANIFEST_KEY,
    AcceptedManifest,
    Manifest,
    Service,
)
from cranberryhold.membership.links import MemoryLink, MemoryNetwork
from cranberryhold.membership.members import Member, MemberTable, Role
from cranberryhold.membership.membership import Membership
from cranberryhold.membership.messages import ManifestRequest, RecordsRequest
from cranberryhold.store import Store, VersionedValue

LOCAL_DELAY_S = 0.0005
ZONE_DELAY_S = 0.004
PORT = 7000


def zone_of(address: Address) -> int:
    """Return the zone number of an address in a cluster."""
    return int(address.ip.split(".")[1])


def accepted_manifest(
    generation: int, *services: str, port: int = 443, addresses: int = 1
) -> AcceptedManifest:
    """Return a manifest with these services.

    :param addresses: number of random addresses of each service; with many of them,
        the manifest does not fit into a datagram even when it is compressed.
    """
    rng = Random(f"{generation} {port}")
    declared = tuple(
        Service(name=name, addresses=_addresses(rng, i, port, addresses))
        for i, name in enumerate(services or ("khata-core", "bill-intake"))
    )
    return AcceptedManifest(
        generation=generation,
        submission_id=f"submission-{generation}-{port}",
        manifest=Manifest(services=declared),
    )


def _addresses(rng: Random, number: int, port: int, count: int) -> tuple[str, ...]:
    hosts = (number << 8 | low for low in rng.sample(range(1, 255), count))
    return tuple(f"10.200.{host >> 8}.{host & 255}:{port}" for host in hosts)


class MemoryStore:
    """Stand-in for the platform's store with one key, outages and slow answers."""

    def __init__(self) -> None:
        self.value: VersionedValue | None = None
        self.down = False
        self.delay_s = 0.005
        self.calls = 0
        self.checks = 0
        self._changed = asyncio.Event()
        self._silent = False
        self._silences = 0

    @asynccontextmanager
    async def silence(self) -> AsyncIterator[None]:
        """Never answer the calls that are open inside the context."""
        self._silent = True
        self._silences += 1
        try:
            yield
        finally:
            self._silent = False

    def put(self, accepted: AcceptedManifest) -> None:
        """Write a manifest, like an operator's ``apply`` or a restored backup."""
        self.put_raw(accepted.model_dump_json().encode())

    def put_raw(self, value: bytes) -> None:
        """Write any bytes."""
        revision = self.value.revision + 1 if self.value else 1
        self.value = VersionedValue(value, revision)
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> VersionedValue | None:
        """Wait until the revision differs."""
        self.calls += 1
        assert key == MANIFEST_KEY
        async with self._answering("watch"):
            if self.value is not None and self.value.revision != after_revision:
                return self.value
            try:
                async with asyncio.timeout(timeout_s):
                    await self._changed.wait()
            except TimeoutError:
                return None
        return self.value

    async def latest_index(self, key: str) -> int:
        """Return the revision."""
        self.checks += 1
        assert key == MANIFEST_KEY
        async with self._answering("read index"):
            return self.value.revision if self.value else 0

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value."""
        self.calls += 1
        assert key == MANIFEST_KEY
        async with self._answering("read key"):
            return self.value

    @asynccontextmanager
    async def _answering(self, step: str) -> AsyncIterator[None]:
        silences, silent = self._silences, self._silent
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise StoreError("connection refused", step=step)
        yield
        if silent or self._silences > silences:
            await asyncio.Event().wait()
        if self.down:
            raise StoreError("connection reset", step=step)


class Instance:
    """One member of a cluster, with the parts that its daemon would run."""

    def __init__(
        self,
        cluster: "Cluster",
        local_member: Member,
        contacts: list[Address],
        store: Store | None,
        table: MemberTable | None,
    ) -> None:
        self._cluster = cluster
        self._stack = AsyncExitStack()
        clock, rng = cluster.clock, Random(f"{cluster.seed} {local_member.node_id}")
        self.link: MemoryLink = cluster.network.link(local_member.control_address)
        self.membership = Membership(
            local_member,
            self.link,
            clock=clock,
            rng=rng,
            contacts=contacts,
            rpc_client=self.link,
            table=table,
        )
        self.manifest_state = ManifestState(clock)
        self.distributor = ManifestDistributor(
            self.manifest_state, self.membership, self.link
        )
        self.reader: ManifestReader | None = None
        self._functions = [self.distributor.run]
        if store is not None:
            table = self.membership.table
            self.reader = ManifestReader(
                self.manifest_state, store, local_member, table, clock=clock, rng=rng
            )
            self._functions.append(self.reader.run)
        self.link.handlers = {
            RecordsRequest: self.membership.handle_records_request,
            ManifestRequest: self.distributor.handle_manifest_request,
        }

    @property
    def node_id(self) -> str:
        """Node id of the member."""
        return self.membership.local_member.node_id

    @property
    def address(self) -> Address:
        """Control address of the member."""
        return self.membership.local_member.control_address

    def view(self, *others: "Instance") -> dict[str, str]:
        """Return the states of the given members, or of all, as this member sees them.

        :return: the name of the state by node id, UNKNOWN for members not in the table.
        """
        table = self.membership.table
        node_ids = {o.node_id for o in others} or {m.node_id for m in table}
        records = {n: table.get(n) for n in node_ids}
        return {n: m.state.name if m else "UNKNOWN" for n, m in records.items()}

    async def start(self) -> None:
        """Start all background tasks."""
        await self._stack.enter_async_context(self.membership.running())
        tasks = running_tasks(self._cluster.clock, *self._functions)
        await self._stack.enter_async_context(tasks)

    async def kill(self) -> None:
        """Stop at once, without a notification to other members."""
        self._cluster.network.close(self.address)
        await self.stop()

    async def stop(self) -> None:
        """Shut down gracefully."""
        await self._stack.aclose()
        self._cluster.network.close(self.address)


class Cluster:
    """Instances in several zones over one simulated network.

    :param loss: fraction of datagrams lost on every link.
    :param zone_loss: fraction of datagrams lost between zones.
    :param zone_jitter_s: largest additional delay between zones.
    """

    def __init__(
        self,
        seed: int,
        *,
        zones: int = 3,
        loss: float = 0.0,
        zone_loss: float = 0.0,
        zone_jitter_s: float = 0.0,
    ) -> None:
        self.seed = seed
        self.zones = zones
        self.loss = loss
        self.zone_loss = zone_loss
        self.zone_jitter_s = zone_jitter_s
        self.clock = SystemClock()
        self.network = MemoryNetwork(self._impair)
        self.instances: list[Instance] = []
        self._rng = Random(seed)

    def member(self, number: int, *, incarnation: int = 1000) -> Member:
        """Return the first record of an instance.

        One of four instances in a zone is an entry instance.
        """
        zone = number % self.zones
        entry = number // self.zones % 4 == 0
        address = Address(f"10.{zone}.{number >> 8}.{number & 255}", PORT)
        return Member(
            f"instance-{number:04}",
            Role.ENTRY if entry else Role.SIDECAR,
            f"zone-{zone}",
            f"region-{zone % 2}",
            address,
            address,
            "" if entry else "khata-core",
            incarnation=incarnation,
        )

    async def start(
        self,
        number: int,
        contacts: list[Address] = (),
        *,
        store: Store | None = None,
        incarnation: int = 1000,
        initial_table: MemberTable | None = None,
    ) -> Instance:
        """Start one instance, which knows the members of ``initial_table``."""
        local_member = self.member(number, incarnation=incarnation)
        table = initial_table.copy() if initial_table else None
        instance = Instance(self, local_member, list(contacts), store, table)
        self.instances.append(instance)
        await instance.start()
        return instance

    def initial_table(self, count: int) -> MemberTable:
        """Return a table with the first records of this many instances."""
        table = MemberTable()
        for number in range(count):
            table.merge(self.member(number))
        return table

    async def start_all(self, count: int, *, store: Store | None = None) -> None:
        """Start instances that already know each other."""
        initial_table = self.initial_table(count)
        for number in range(count):
            await self.start(number, store=store, initial_table=initial_table)

    @property
    def sent_bytes(self) -> int:
        """Bytes of all datagrams and calls that the instances have sent."""
        links = [i.link for i in self.instances]
        return sum(link.sent_bytes + link.call_bytes for link in links)

    async def until(
        self, condition: Callable[[], bool], limit_s: float, step_s: float = 0.02
    ) -> float:
        """Wait for a condition; return the elapsed seconds.

        :raises TimeoutError: if it does not hold within ``limit_s``.
        """
        started = self.clock.monotonic()
        while not condition():
            if self.clock.monotonic() - started > limit_s:
                raise TimeoutError(f"condition does not hold after {limit_s} s")
            await asyncio.sleep(step_s)
        return self.clock.monotonic() - started

    def partition_zones(self, first: set[int], second: set[int]) -> Callable[[], None]:
        """Drop all traffic between two groups of zones.

        :return: a function that heals the partition.
        """

        def matches(source: Address, target: Address) -> bool:
            zones = zone_of(source), zone_of(target)
            return (zones[0] in first and zones[1] in second) or (
                zones[0] in second and zones[1] in first
            )

        return self.network.block(matches)

    def _impair(self, source: Address, target: Address) -> float | None:
        rng = self._rng
        local = zone_of(source) == zone_of(target)
        loss = self.loss if local else max(self.loss, self.zone_loss)
        if loss and rng.random() < loss:
            return None
        if local:
            return LOCAL_DELAY_S * (1 + rng.random())
        return ZONE_DELAY_S * (1 + 0.2 * rng.random()) + (
            self.zone_jitter_s * rng.random()
        )


@asynccontextmanager
async def running_cluster(seed: int, **options: Any) -> AsyncIterator[Cluster]:
    """Provide a cluster and stop its instances afterwards.

    :raises RuntimeError: if a background task or a handler raised, which is otherwise
        only logged.
    """
    cluster = Cluster(seed, **options)
    faults: list[str] = []
    sink = logger.add(faults.append, filter=_is_fault, format="{message}{exception}")
    try:
        yield cluster
    finally:
        for instance in cluster.instances:
            await instance.kill()
        logger.remove(sink)
    if faults:
        raise RuntimeError(f"{len(faults)} tasks or handlers failed: {faults[0]}")


def _is_fault(record: Any) -> bool:
    return record["message"].startswith(("event=duty-failed", "event=datagram-failed"))
