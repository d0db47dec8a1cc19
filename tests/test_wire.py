"""Connection ids, forward headers and sealed messages: forged input is rejected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.addresses import Address
from cranberryhold.datapath.connection_ids import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    TargetRef,
)
from cranberryhold.datapath.packets import (
    Direction,
    ForwardCodec,
    is_first_packet,
    read_connection_id,
)
from cranberryhold.exceptions import KeyRingError, SealError
from cranberryhold.keys import KeyRing

OLD = bytes(range(32))
NEW = bytes(range(32, 64))
RING = KeyRing({1: OLD})

addresses = st.builds(
    Address, st.ip_addresses(v=4).map(str), st.integers(min_value=0, max_value=65535)
)
targets = st.builds(
    TargetRef, addresses, st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1)
)


@given(targets, st.integers(0, 2**20))
def test_connection_id_identifies_its_target(target: TargetRef, serial: int) -> None:
    codec = ConnectionIdCodec(RING)
    connection_id = codec.encode(target, serial)
    assert len(connection_id) == CONNECTION_ID_BYTES
    assert codec.decode(connection_id) == target


@given(targets, st.integers(0, 159))
def test_connection_id_with_one_flipped_bit_is_refused(
    target: TargetRef, bit: int
) -> None:
    codec = ConnectionIdCodec(RING)
    forged = bytearray(codec.encode(target, 7))
    forged[bit // 8] ^= 1 << bit % 8
    assert codec.decode(bytes(forged)) is None


@given(st.binary(max_size=40))
def test_arbitrary_bytes_never_decode(data: bytes) -> None:
    assert ConnectionIdCodec(RING).decode(data) is None
    assert ForwardCodec(RING, Direction.TO_TARGET).decode(data) is None
    with pytest.raises(SealError):
        RING.unseal(b"gossip", data)


def test_ids_remain_valid_through_a_key_rotation() -> None:
    target = TargetRef(Address("10.0.0.1", 9), 5, 6)
    issued = ConnectionIdCodec(KeyRing({1: OLD})).encode(target, 1)
    for ring in ({1: OLD, 2: NEW}, {2: NEW, 1: OLD}):
        assert ConnectionIdCodec(KeyRing(ring)).decode(issued) == target
    assert ConnectionIdCodec(KeyRing({2: NEW})).decode(issued) is None


@given(addresses, addresses, st.binary(min_size=1, max_size=1500))
def test_forward_header_round_trips_in_its_own_direction_only(
    caller: Address, service: Address, packet: bytes
) -> None:
    datagram = ForwardCodec(RING, Direction.TO_TARGET).header(caller, service) + packet
    decoded = ForwardCodec(RING, Direction.TO_TARGET).decode(datagram)
    assert decoded is not None
    assert (decoded.caller, decoded.service_address) == (caller, service)
    assert decoded.packet == packet
    assert ForwardCodec(RING, Direction.TO_CALLER).decode(datagram) is None


@given(st.binary(max_size=1500))
def test_header_parser_accepts_any_bytes(packet: bytes) -> None:
    connection_id = read_connection_id(packet)
    assert connection_id is None or len(connection_id) <= 20
    assert is_first_packet(packet) in (True, False)


@pytest.mark.parametrize(
    "text", ["", "1", "1:zz", "300:" + "00" * 32, "1:00", f"1:{'0' * 64},1:{'1' * 64}"]
)
def test_malformed_key_ring_is_refused(text: str) -> None:
    with pytest.raises(KeyRingError):
        KeyRing.parse(text)


def test_message_sealed_under_another_label_is_refused() -> None:
    sealed = RING.seal(b"gossip", b"data")
    assert RING.unseal(b"gossip", sealed) == b"data"
    with pytest.raises(SealError):
        RING.unseal(b"other", sealed)
