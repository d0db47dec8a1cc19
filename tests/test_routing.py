"""Routing: a packet must never reach a target of another service."""

import asyncio
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.addresses import Address
from cranberryhold.datapath.connection_ids import ConnectionIdCodec, TargetRef
from cranberryhold.datapath.packets import Direction, ForwardCodec
from cranberryhold.datapath.routing import DropReason, Router
from cranberryhold.datapath.targets import TargetTables
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.models import service_id
from cranberryhold.membership.members import Member, MemberState, MemberTable
from tests.builders import (
    RING,
    ManualClock,
    initial_packet,
    short_header_packet,
    target,
)

SERVICES = ("core", "intake", "feeds")
HOSTS = [Address(f"10.0.0.{n}", 443) for n in range(1, 6)]
ADDRESSES = [Address(f"192.0.2.{n}", 443) for n in range(1, 4)]
# The service that owns each address, by manifest generation. An address that moves
# to another service is unowned for one generation (60 s) in between.
OWNERS = [
    {ADDRESSES[0]: "core", ADDRESSES[1]: "intake", ADDRESSES[2]: "feeds"},
    {ADDRESSES[0]: "core", ADDRESSES[1]: "intake"},
    {ADDRESSES[0]: "core", ADDRESSES[1]: "intake", ADDRESSES[2]: "core"},
    {ADDRESSES[1]: "intake", ADDRESSES[2]: "core"},
    {ADDRESSES[0]: "intake", ADDRESSES[1]: "intake", ADDRESSES[2]: "core"},
]
CODEC = ConnectionIdCodec(RING)
FORWARD = ForwardCodec(RING, Direction.TO_TARGET)


def create_router(members: MemberTable, *services: str, keys: KeyRing = RING):
    tables = TargetTables(members, ManualClock())
    tables.set_services(services)
    return Router(keys, tables), tables


@dataclass
class TargetHistory:
    """Targets that start one after another on a few hosts and reuse addresses."""

    starts: list[tuple[int, int]]
    records: list[Member] = field(default_factory=list)
    running: dict[Address, str] = field(default_factory=dict)
    ids: list[bytes] = field(default_factory=list)

    def __post_init__(self) -> None:
        for number, (host, service) in enumerate(self.starts):
            address, name = HOSTS[host], SERVICES[service]
            record = target(f"n{number}", str(address), name, incarnation=number)
            self.records.append(record)
            self.running[address] = name
            ref = TargetRef(address, service_id(name), number)
            self.ids.append(CODEC.encode(ref, number))

    def accepting_service(
        self, datagram: bytes, address: Address, generation: int
    ) -> str | None:
        """Return the service of the target that accepts a datagram, or None.

        A target accepts a datagram if its own manifest assigns the service address
        in the forward header to its service.
        """
        forwarded = FORWARD.decode(datagram)
        service = self.running.get(address)
        owner = OWNERS[generation].get(forwarded.service_address)
        return service if service is not None and owner == service else None


starts = st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2)), max_size=12)
random_ids = st.one_of(st.binary(min_size=8, max_size=20), st.none())


@given(
    starts,
    st.sets(st.integers(0, 11)),
    st.integers(0, len(OWNERS) - 1),
    st.integers(-1, 1),
    st.sampled_from(ADDRESSES),
    random_ids,
    st.integers(0, 11),
    st.sampled_from([initial_packet, short_header_packet]),
)
def test_no_target_accepts_a_packet_of_another_service(
    starts,
    known,
    generation,
    generation_lag,
    service_address,
    connection_id,
    id_index,
    build_packet,
) -> None:
    history = TargetHistory(starts)
    members = MemberTable()
    for number in known & set(range(len(starts))):
        members.merge(history.records[number])
    service = OWNERS[generation].get(service_address)
    if service is None:
        return
    if connection_id is None:
        connection_id = (
            history.ids[id_index % len(history.ids)] if history.ids else bytes(20)
        )
    packet = build_packet(connection_id)
    router, tables = create_router(members, *SERVICES)
    address = router.route(tables[service], packet)
    if isinstance(address, DropReason):
        return
    own = {r.forward_address.pack() for r in history.records if r.service == service}
    assert address in own, "no target of the service ever ran there"
    datagram = FORWARD.header(HOSTS[0], service_address) + packet
    target_generation = min(max(generation + generation_lag, 0), len(OWNERS) - 1)
    accepted_by = history.accepting_service(
        datagram, Address.unpack(address), target_generation
    )
    assert accepted_by in (None, service)


@given(starts.filter(bool), st.data())
def test_established_flows_need_no_members(starts, data) -> None:
    history = TargetHistory(starts)
    members = MemberTable()
    for record in history.records:
        state = data.draw(st.sampled_from(MemberState))
        members.merge(record.with_state(state))
    full, full_tables = create_router(members, *SERVICES)
    empty, empty_tables = create_router(MemberTable(), *SERVICES)
    for record, connection_id in zip(history.records, history.ids, strict=True):
        for packet in (
            short_header_packet(connection_id),
            initial_packet(connection_id, size=100),
        ):
            for name in SERVICES:
                expected = full.route(full_tables[name], packet)
                assert empty.route(empty_tables[name], packet) == expected
                assert expected == (
                    record.forward_address.pack()
                    if name == record.service
                    else DropReason.OTHER_SERVICE
                )


@given(starts.filter(bool), st.integers(0, 159), st.sampled_from(SERVICES))
def test_id_with_one_flipped_bit_is_dropped(starts, bit, service) -> None:
    forged = bytearray(TargetHistory(starts).ids[-1])
    forged[bit // 8] ^= 1 << bit % 8
    router, tables = create_router(MemberTable(), *SERVICES)
    packet = short_header_packet(bytes(forged))
    assert router.route(tables[service], packet) is DropReason.UNKNOWN_ID


@given(st.binary(max_size=1600), st.sampled_from(SERVICES))
def test_any_bytes_are_routed_or_dropped(packet, service) -> None:
    members = MemberTable()
    members.merge(target("a", "10.0.0.1:443", "core"))
    router, tables = create_router(members, *SERVICES)
    decision = router.route(tables[service], packet)
    only_target = HOSTS[0].pack() if service == "core" else DropReason.NO_TARGET
    assert decision == only_target or isinstance(decision, DropReason)


ISSUED = CODEC.encode(TargetRef(HOSTS[0], service_id("core"), 1), 1)
OTHER_RING = ConnectionIdCodec(KeyRing({1: bytes(32)}))
FOREIGN = OTHER_RING.encode(TargetRef(HOSTS[0], service_id("core"), 1), 1)


@pytest.mark.parametrize(
    ("packet", "drop"),
    [
        (b"", DropReason.TRUNCATED),
        (short_header_packet(ISSUED)[:20], DropReason.TRUNCATED),
        (initial_packet(ISSUED)[:25], DropReason.TRUNCATED),
        (short_header_packet(ISSUED, size=1501), DropReason.OVERSIZED),
        (short_header_packet(FOREIGN), DropReason.UNKNOWN_ID),
        (initial_packet(b"8 bytes!", size=1199), DropReason.NOT_FIRST),
        (initial_packet(b"7 bytes"), DropReason.NOT_FIRST),
        (b"\xe0" + initial_packet(b"8 bytes!")[1:], DropReason.NOT_FIRST),
        (initial_packet(b"8 bytes!"), DropReason.NO_TARGET),
        (short_header_packet(ISSUED), HOSTS[0].pack()),
        (initial_packet(ISSUED, size=60), HOSTS[0].pack()),
    ],
)
def test_each_packet_is_routed_or_dropped_for_its_reason(
    packet: bytes, drop: DropReason
) -> None:
    router, tables = create_router(MemberTable(), "core")
    assert router.route(tables["core"], packet) == drop


def test_retransmitted_first_packets_reach_the_same_target_everywhere() -> None:
    records = [target(f"t{n}", str(host)) for n, host in enumerate(HOSTS)]
    chosen = set()
    for order in (records, records[::-1]):
        members = MemberTable()
        for record in order:
            members.merge(record)
        router, tables = create_router(members, "core")
        chosen |= {router.route(tables["core"], initial_packet(b"same id!"))}
    assert len(chosen) == 1


@pytest.mark.looptime
async def test_changes_are_coalesced_into_one_rebuild() -> None:
    members = MemberTable()
    tables = TargetTables(members)
    tables.set_services(["core"])
    built = []
    async with tables.tracking_members():
        await asyncio.sleep(1)
        for host in HOSTS:
            members.merge(target(f"t{host.ip}", str(host)))
            built.append(tables["core"].table)
        await asyncio.sleep(0.01)
        built.append(tables["core"].table)
    assert [len(table.weights) for table in built] == [0, 0, 0, 0, 0, 5]
