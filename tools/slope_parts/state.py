"""Memory of the state that a daemon holds, and time per packet of the data path."""

import asyncio
from collections.abc import Callable, Iterator
from functools import partial
from random import Random

from msgspec.msgpack import Decoder

from cranberryhold.addresses import Address
from cranberryhold.clock import SystemClock
from cranberryhold.datapath.connection_ids import TargetRef
from cranberryhold.datapath.packets import Direction, ForwardCodec
from cranberryhold.datapath.placement import MaglevTable, table_size
from cranberryhold.datapath.routing import Router
from cranberryhold.datapath.targets import TargetTables
from cranberryhold.membership.links import MemoryNetwork
from cranberryhold.membership.members import Member, MemberTable, Role
from cranberryhold.membership.membership import Membership
from cranberryhold.membership.messages import Record, encode, encoded_record, record_of
from cranberryhold.requests.idempotency import (
    IdempotencyKey,
    RecordTable,
    StoredResponse,
)
from tools.bench_parts import KEYS, flow_packet
from tools.clusters import Cluster
from tools.slope_parts.fits import Slope
from tools.slope_parts.meters import measure_memory, min_processor_seconds

_TARGETS_PER_SERVICE = 10
_ANSWER_BYTES = 200
_TARGET_COUNTS = (10, 100, 600)
"""Numbers of targets; each leads to another table size."""
_record_decoder = Decoder(Record)


def slopes(seed: int) -> Iterator[Slope]:
    """Yield memory per member, table and record, and time per packet."""
    points = tuple((n, _member_memory(seed, n)) for n in (500, 2000, 7430))
    yield Slope("member.memory", "bytes", "member", points)
    points = tuple((n, _table_memory(n)) for n in (25, 50, 100))
    yield Slope("service.table.memory", "bytes", "service of 10 targets", points)
    points = tuple(
        (table_size(n), min_processor_seconds(lambda n=n: _build_table(n)))
        for n in _TARGET_COUNTS
    )
    yield Slope("table.rebuild.time", "s", "table slot", points)
    points = tuple((n, _record_memory(n)) for n in (1000, 5000, 20000))
    yield Slope("idempotency.memory", "bytes", "record with 200-byte answer", points)
    points = tuple((n, _record_time(n)) for n in (1000, 5000, 20000))
    yield Slope("idempotency.time", "s", "record", points)
    yield from _packet_times()


def _member_memory(seed: int, count: int) -> float:
    """Return the memory of a membership that knows ``count`` members."""
    with measure_memory() as measurement:
        membership = known_members(seed, count)
    assert len(membership.table) == count
    return measurement.value


def known_members(seed: int, count: int) -> Membership:
    """Return a membership that has received the records of ``count`` members."""

    async def build() -> Membership:
        cluster = Cluster(seed, zones=8)
        encoded_record.cache_clear()
        local_member = cluster.member(0)
        link = MemoryNetwork(lambda source, target: None).link(
            local_member.control_address
        )
        membership = Membership(
            local_member, link, clock=SystemClock(), rng=Random(seed)
        )
        for number in range(1, count):
            # Decoded records share no strings with each other, as in a daemon.
            raw = encode(record_of(cluster.member(number)))
            member = _record_decoder.decode(raw).to_member()
            membership.merge(member, spread=False)
            encoded_record(member)
        return membership

    return asyncio.run(build())


def _members(services: int, per_service: int) -> MemberTable:
    table = MemberTable()
    for number in range(services * per_service):
        address = Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 443)
        service = f"service-{number // per_service}"
        table.merge(
            Member(f"t{number}", Role.SIDECAR, "z", "r", address, address, service)
        )
    return table


def _table_memory(services: int) -> float:
    members = _members(services, _TARGETS_PER_SERVICE)

    async def build() -> float:
        with measure_memory() as measurement:
            tables = TargetTables(members, SystemClock())
            tables.set_services(f"service-{i}" for i in range(services))
            tables.refresh()
        assert len(list(tables)) == services
        return measurement.value

    return asyncio.run(build())


def _build_table(targets: int) -> MaglevTable:
    return MaglevTable((i.to_bytes(6, "big"), 100) for i in range(targets))


def _measure_records(count: int, measure: Callable[[Callable], float]) -> float:
    async def run() -> float:
        clock = SystemClock()
        target = TargetRef(Address("10.0.0.1", 443), 1, 1)

        def fill() -> RecordTable:
            table = RecordTable(clock)
            for number in range(count):
                nonce = number.to_bytes(8, "big")
                key = IdempotencyKey(target, nonce, clock.wall())
                record = table.create(key, f"POST /lines/{number}")
                record.digest = nonce * 4
                body = bytes(_ANSWER_BYTES - 8) + nonce
                table.mark_answered(record, StoredResponse(200, (), body))
            return table

        return measure(fill)

    return asyncio.run(run())


def _record_memory(count: int) -> float:
    def measure(fill: Callable) -> float:
        with measure_memory() as measurement:
            table = fill()
        assert len(table) == count
        return measurement.value

    return _measure_records(count, measure)


def _record_time(count: int) -> float:
    return _measure_records(count, lambda fill: min_processor_seconds(fill, 3))


def _packet_times() -> Iterator[Slope]:
    members = _members(650, _TARGETS_PER_SERVICE)
    # The benchmark's flow packets are addressed to a service of its own.
    benchmark_targets = [Address(f"127.0.1.{n}", 443) for n in range(1, 11)]
    for number, address in enumerate(benchmark_targets):
        members.merge(
            Member(f"c{number}", Role.SIDECAR, "z", "r", address, address, "core")
        )
    tables = TargetTables(members)
    tables.set_services(["core", *(f"service-{i}" for i in range(650))])

    async def refresh() -> None:
        tables.refresh()

    asyncio.run(refresh())
    router, service = Router(KEYS, tables), tables["core"]
    packed_header = ForwardCodec(KEYS, Direction.TO_TARGET).packed_header
    counts = (2000, 5000, 10000)
    flows = [flow_packet(benchmark_targets[n % 10], n) for n in range(counts[-1])]
    first_packets = [
        (b"\xc0\x00\x00\x00\x01\x08" + n.to_bytes(8, "big")).ljust(1200, b"\0")
        for n in range(counts[-1])
    ]
    caller = benchmark_targets[0].pack()

    def forward(packets: list[bytes], count: int) -> None:
        for packet in packets[:count]:
            packed_header(caller, router.route(service, packet)) + packet

    for name, packets in (
        ("flow.packet.time", flows),
        ("flow.new.time", first_packets),
    ):
        points = tuple(
            (n, min_processor_seconds(partial(forward, packets, n), 3)) for n in counts
        )
        yield Slope(name, "s", "packet", points)
