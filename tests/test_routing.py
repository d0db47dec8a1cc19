"""Routing: a packet of one service must never reach another service's target."""

import asyncio
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.addresses import Address
from cranberryhold.connection_ids import ConnectionIdCodec, TargetRef
from cranberryhold.keys import KeyRing
from cranberryhold.manifest import service_id
from cranberryhold.members import Member, MemberState, MemberTable
from cranberryhold.packets import Direction, ForwardCodec
from cranberryhold.routing import DropReason, Router
from cranberryhold.targets import TargetTables
from tests.builders import (
    RING,
    ManualClock,
    initial_packet,
    short_header_packet,
    target,
)

SERVICES = ("core", "intake", "feeds")
HOSTS = [Address(f"10.0.0.{n}", 443) for n in range(1, 6)]
FRONTS = [Address(f"192.0.2.{n}", 443) for n in range(1, 4)]
# The owner of each service address by generation: an address that moves to
# another service is without one for a generation (60 s) first.
OWNERS = [
    {FRONTS[0]: "core", FRONTS[1]: "intake", FRONTS[2]: "feeds"},
    {FRONTS[0]: "core", FRONTS[1]: "intake"},
    {FRONTS[0]: "core", FRONTS[1]: "intake", FRONTS[2]: "core"},
    {FRONTS[1]: "intake", FRONTS[2]: "core"},
    {FRONTS[0]: "intake", FRONTS[1]: "intake", FRONTS[2]: "core"},
]
CODEC = ConnectionIdCodec(RING)
FORWARD = ForwardCodec(RING, Direction.TO_TARGET)


def router(members: MemberTable, *services: str, keys: KeyRing = RING):
    tables = TargetTables(members, ManualClock())
    tables.set_services(services)
    return Router(keys, tables), tables


@dataclass
class World:
    """Targets that start on a few hosts one after the other, reusing addresses."""

    starts: list[tuple[int, int]]
    records: list[Member] = field(default_factory=list)
    running: dict[Address, str] = field(default_factory=dict)
    ids: list[bytes] = field(default_factory=list)

    def __post_init__(self) -> None:
        for number, (host, service) in enumerate(self.starts):
            where, name = HOSTS[host], SERVICES[service]
            record = target(f"n{number}", str(where), name, incarnation=number)
            self.records.append(record)
            self.running[where] = name
            ref = TargetRef(where, service_id(name), number)
            self.ids.append(CODEC.encode(ref, number))

    def takes(self, datagram: bytes, where: Address, generation: int) -> str | None:
        """Return the service of the target that takes a datagram, or None.

        This is the check of every target: the service address in the header is one
        of its own service's in the manifest that the target has.
        """
        forwarded = FORWARD.decode(datagram)
        service = self.running.get(where)
        owner = OWNERS[generation].get(forwarded.service_address)
        return service if service is not None and owner == service else None


starts = st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2)), max_size=12)
random_ids = st.one_of(st.binary(min_size=8, max_size=20), st.none())


@given(
    starts,
    st.sets(st.integers(0, 11)),
    st.integers(0, len(OWNERS) - 1),
    st.integers(-1, 1),
    st.sampled_from(FRONTS),
    random_ids,
    st.integers(0, 11),
    st.sampled_from([initial_packet, short_header_packet]),
)
def test_no_target_takes_a_packet_of_another_service(
    starts, known, generation, lag, front, connection_id, pick, packet_of
) -> None:
    world = World(starts)
    members = MemberTable()
    for number in known & set(range(len(starts))):
        members.merge(world.records[number])
    service = OWNERS[generation].get(front)
    if service is None:
        return
    if connection_id is None:
        connection_id = world.ids[pick % len(world.ids)] if world.ids else bytes(20)
    packet = packet_of(connection_id)
    decisions, tables = router(members, *SERVICES)
    where = decisions.route(tables[service], packet)
    if isinstance(where, DropReason):
        return
    own = {r.forward_address.pack() for r in world.records if r.service == service}
    assert where in own, "no target of the service ever ran there"
    datagram = FORWARD.header(HOSTS[0], front) + packet
    seen = min(max(generation + lag, 0), len(OWNERS) - 1)
    taken_by = world.takes(datagram, Address.unpack(where), seen)
    assert taken_by in (None, service)


@given(starts.filter(bool), st.data())
def test_established_flows_need_no_members(starts, data) -> None:
    world = World(starts)
    members = MemberTable()
    for record in world.records:
        state = data.draw(st.sampled_from(MemberState))
        members.merge(record.with_state(state))
    full, full_tables = router(members, *SERVICES)
    empty, empty_tables = router(MemberTable(), *SERVICES)
    for record, connection_id in zip(world.records, world.ids, strict=True):
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
    forged = bytearray(World(starts).ids[-1])
    forged[bit // 8] ^= 1 << bit % 8
    decisions, tables = router(MemberTable(), *SERVICES)
    packet = short_header_packet(bytes(forged))
    assert decisions.route(tables[service], packet) is DropReason.UNKNOWN_ID


@given(st.binary(max_size=1600), st.sampled_from(SERVICES))
def test_any_bytes_are_routed_or_dropped(packet, service) -> None:
    members = MemberTable()
    members.merge(target("a", "10.0.0.1:443", "core"))
    decisions, tables = router(members, *SERVICES)
    decision = decisions.route(tables[service], packet)
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
def test_each_bad_packet_has_its_reason(packet: bytes, drop: DropReason) -> None:
    decisions, tables = router(MemberTable(), "core")
    assert decisions.route(tables["core"], packet) == drop


def test_retransmitted_first_packets_reach_the_same_target_everywhere() -> None:
    records = [target(f"t{n}", str(host)) for n, host in enumerate(HOSTS)]
    chosen = set()
    for order in (records, records[::-1]):
        members = MemberTable()
        for record in order:
            members.merge(record)
        decisions, tables = router(members, "core")
        chosen |= {decisions.route(tables["core"], initial_packet(b"same id!"))}
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
