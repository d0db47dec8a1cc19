"""Entry instance on loopback sockets: packets and replies arrive unchanged."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from cranberryhold.addresses import Address
from cranberryhold.clock import SystemClock
from cranberryhold.datapath.connection_ids import ConnectionIdCodec, TargetRef
from cranberryhold.datapath.packets import Direction, ForwardCodec
from cranberryhold.datapath.routing import DropReason
from cranberryhold.entry import EntryInstance
from cranberryhold.exceptions import ManifestError
from cranberryhold.manifest.models import ReleasedAddress, service_id
from cranberryhold.membership.members import MemberTable
from cranberryhold.settings import EntrySettings, NodeSettings
from tests.builders import (
    RING,
    accepted_manifest,
    initial_packet,
    short_header_packet,
    target,
)
from tests.sockets import LOOPBACK_IP, UdpSocket, free_port, free_ports
from tests.waiting import until

CORE = "10.9.8.7"
TO_TARGET = ForwardCodec(RING, Direction.TO_TARGET)
TO_CALLER = ForwardCodec(RING, Direction.TO_CALLER)


@pytest.fixture
def peers():
    with UdpSocket() as caller, UdpSocket() as upstream:
        yield caller, upstream


class ImmediateClock(SystemClock):
    """A clock whose sleeps return at once."""

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(0)


@asynccontextmanager
async def running_entry(members: MemberTable, **services: tuple[str, ...]):
    settings = EntrySettings(
        NodeSettings("e1", "z", "r", Address(LOOPBACK_IP, 1), (), RING),
        forward_address=Address(LOOPBACK_IP, free_port()),
        listen_ip=LOOPBACK_IP,
    )
    entry = EntryInstance(
        keys=RING, members=members, settings=settings, clock=ImmediateClock()
    )
    entry.apply_manifest(accepted_manifest(**services))
    async with entry.serving():
        yield entry, settings.forward_address


async def test_packets_are_forwarded_both_ways_with_the_address_of_the_manifest(
    peers,
) -> None:
    caller, upstream = peers
    port = free_port()
    service, listen = Address(CORE, port), Address(LOOPBACK_IP, port)
    members = MemberTable()
    members.merge(target("t1", str(upstream.address)))
    async with running_entry(members, core=(str(service),)) as (entry, forward):
        for packet in (
            initial_packet(b"8 bytes!"),
            short_header_packet(
                ConnectionIdCodec(RING).encode(
                    TargetRef(upstream.address, service_id("core"), 1), 1
                )
            ),
        ):
            caller.send(packet, listen)
            datagram, source = await upstream.receive()
            forwarded = TO_TARGET.decode(datagram)
            assert source == forward
            assert forwarded.caller == caller.address
            assert forwarded.service_address == service
            assert forwarded.packet == packet
        reply = TO_CALLER.header(caller.address, service) + b"answer"
        upstream.send(reply, forward)
        assert await caller.receive() == (b"answer", listen)
        state = json.loads(json.dumps(entry.state()))
        assert (state["forwarded"], state["returned"]) == (2, 1)


@pytest.mark.parametrize("service_stays", [True, False])
async def test_open_flows_continue_at_a_released_address(
    peers, service_stays: bool
) -> None:
    """A manifest that removes an address must not end the flows that use it."""
    caller, upstream = peers
    kept, gone = (Address(LOOPBACK_IP, port) for port in free_ports(2))
    ref = TargetRef(upstream.address, service_id("core"), 1)
    packet = short_header_packet(ConnectionIdCodec(RING).encode(ref, 1))
    members = MemberTable()
    members.merge(target("t1", str(upstream.address)))
    async with running_entry(members, core=(str(kept), str(gone))) as (entry, _):
        services = {"core": (str(kept),)} if service_stays else {}
        record = ReleasedAddress(address=str(gone), service="core", released_at=0.0)
        entry.apply_manifest(
            accepted_manifest(2, **services).model_copy(update={"released": (record,)})
        )
        caller.send(initial_packet(b"8 bytes!"), gone)
        caller.send(packet, gone)
        forwarded = TO_TARGET.decode((await upstream.receive())[0])
        assert (forwarded.packet, forwarded.service_address) == (packet, gone)
        assert entry.drops == {DropReason.NO_TARGET: 1}
        entry.apply_manifest(accepted_manifest(3, **services))
        assert all(a["listen"] != str(gone) for a in entry.state()["addresses"])


async def test_invalid_replies_are_counted_and_not_forwarded(peers) -> None:
    caller, upstream = peers
    service = Address(CORE, free_port())
    other = Address(CORE, 9)
    header = TO_CALLER.header(caller.address, service)
    async with running_entry(MemberTable(), core=(str(service),)) as (entry, forward):
        for invalid in (
            b"",
            header,  # truncated: no packet
            bytes((header[0], header[1] ^ 1)) + header[2:] + b"forged",
            TO_TARGET.header(caller.address, service) + b"wrong direction",
            TO_CALLER.header(caller.address, other) + b"not served here",
            header + bytes(2000),
        ):
            upstream.send(invalid, forward)
        upstream.send(header + b"good", forward)
        assert (await caller.receive())[0] == b"good"
        assert entry.drops == {
            DropReason.FORGED_HEADER: 4,
            DropReason.UNKNOWN_ADDRESS: 1,
            DropReason.OVERSIZED: 1,
        }


async def test_invalid_packets_are_counted_and_leave_no_state(peers) -> None:
    caller, upstream = peers
    listen = Address(LOOPBACK_IP, free_port())
    ref = TargetRef(upstream.address, service_id("core"), 1)
    good = short_header_packet(ConnectionIdCodec(RING).encode(ref, 1))
    members = MemberTable()
    members.merge(target("t1", str(upstream.address)))
    async with running_entry(members, core=(str(listen),)) as (entry, forward):
        caller.send(good, listen)
        replayed, _ = await upstream.receive()
        before = entry.state()
        for invalid in (
            b"",
            good[:20],
            good.ljust(2000, b"\0"),
            good[:20] + bytes((good[20] ^ 1,)) + good[21:],
            initial_packet(b"8 bytes!", size=1199),
            replayed,  # a datagram to a target, sent as a caller's packet
        ):
            caller.send(invalid, listen)
        upstream.send(replayed, forward)
        caller.send(good, listen)
        again, _ = await upstream.receive()
        assert again == replayed
        await until(lambda: entry.drops.get(DropReason.FORGED_HEADER))
        after = entry.state()
        assert entry.drops == {
            DropReason.TRUNCATED: 2,
            DropReason.OVERSIZED: 1,
            DropReason.UNKNOWN_ID: 2,
            DropReason.NOT_FIRST: 1,
            DropReason.FORGED_HEADER: 1,
        }
        for counter in ("forwarded", "dropped"):
            before.pop(counter), after.pop(counter)
        assert after == before


async def test_manifest_opens_and_closes_addresses_and_never_reverts(peers) -> None:
    caller, upstream = peers
    first, second = free_port(), free_port()
    members = MemberTable()
    members.merge(target("t1", str(upstream.address)))
    async with running_entry(members, core=(f"{CORE}:{first}",)) as (entry, _):
        entry.apply_manifest(accepted_manifest(3, core=(f"{CORE}:{second}",)))
        entry.apply_manifest(accepted_manifest(2, core=(f"{CORE}:{first}",)))
        assert entry.generation == 3
        caller.send(initial_packet(b"8 bytes!"), Address(LOOPBACK_IP, second))
        datagram, _ = await upstream.receive()
        assert TO_TARGET.decode(datagram).service_address == Address(CORE, second)
        with UdpSocket(LOOPBACK_IP, first):
            pass  # The closed address can be bound again.


async def test_members_that_join_later_receive_first_packets(peers) -> None:
    caller, upstream = peers
    listen = Address(LOOPBACK_IP, free_port())
    members = MemberTable()
    async with running_entry(members, core=(str(listen),)) as (entry, _):
        caller.send(initial_packet(b"8 bytes!"), listen)
        await until(lambda: entry.drops == {DropReason.NO_TARGET: 1})
        members.merge(target("t1", str(upstream.address)))
        await until(lambda: entry.state()["tables"]["core"]["targets"])
        caller.send(initial_packet(b"8 bytes!"), listen)
        await upstream.receive()


async def test_manifest_with_one_port_for_two_services_is_refused() -> None:
    async with running_entry(MemberTable()) as (entry, _):
        with pytest.raises(ManifestError, match="needs its own port"):
            entry.apply_manifest(
                accepted_manifest(2, core=(f"{CORE}:99",), intake=("10.0.0.1:99",))
            )
        assert entry.generation == 1


async def test_address_in_use_is_opened_when_it_becomes_free(peers) -> None:
    caller, upstream = peers
    members = MemberTable()
    members.merge(target("t1", str(upstream.address)))
    occupant = UdpSocket()
    listen = occupant.address
    async with running_entry(members, core=(str(listen),)) as (entry, _):
        assert "in use" in entry.state()["addresses"][0]["error"]
        occupant.socket.close()
        await until(lambda: entry.state()["addresses"][0]["open"])
        caller.send(initial_packet(b"8 bytes!"), listen)
        await upstream.receive()
