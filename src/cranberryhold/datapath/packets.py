"""Parsing of QUIC's invariant header, and the header of forwarded packets.

Source: RFC 8999 (invariants of QUIC) and RFC 9000, section 17.2 (packet types of
version 1).
"""

import struct
from dataclasses import dataclass
from enum import Enum

from cryptography.hazmat.primitives.ciphers import Cipher
from cryptography.hazmat.primitives.ciphers.algorithms import AES
from cryptography.hazmat.primitives.ciphers.modes import ECB

from cranberryhold.addresses import Address
from cranberryhold.datapath.connection_ids import CONNECTION_ID_BYTES
from cranberryhold.keys import KeyRing

MINIMUM_INITIAL_BYTES = 1200
FORWARD_HEADER_BYTES = 17
_FORWARD_BLOCK = struct.Struct("!6s6sI")
_LONG_HEADER = 0x80
_FIXED_BIT = 0x40
_TYPE_BITS = 0x30
_VERSION_1 = 1
_VERSION_2 = 0x6B3343CF
# Type bits of an Initial packet, by version (RFC 9000 17.2, RFC 9369 3.2).
_INITIAL_BITS = {_VERSION_1: 0x00, _VERSION_2: 0x10}


def read_connection_id(packet: bytes) -> bytes | None:
    """Return the destination connection id, or None if the packet is too short.

    A short header doesn't carry the length of the id; the 20 bytes of ids issued by
    targets are assumed.
    """
    if not packet:
        return None
    if not packet[0] & _LONG_HEADER:
        end = 1 + CONNECTION_ID_BYTES
        return packet[1:end] if len(packet) >= end else None
    if len(packet) < 6:
        return None
    end = 6 + packet[5]
    return packet[6:end] if packet[5] <= 20 and len(packet) >= end else None


def is_first_packet(packet: bytes) -> bool:
    """Return whether a packet may open a connection.

    This holds for an Initial packet of at least 1,200 bytes with a connection id of
    at least 8 bytes (RFC 9000, sections 7.2 and 14.1). It also holds for a packet
    of that size with a long header of another version, to which the target responds
    with version negotiation.
    """
    if len(packet) < MINIMUM_INITIAL_BYTES or not packet[0] & _LONG_HEADER:
        return False
    if packet[5] < 8:
        return False
    version = int.from_bytes(packet[1:5], "big")
    if version == 0:
        return False
    initial = _INITIAL_BITS.get(version)
    if initial is None:
        return True
    return bool(packet[0] & _FIXED_BIT) and packet[0] & _TYPE_BITS == initial


class Direction(Enum):
    """Direction of a forwarded packet; its value is the label of the derived key."""

    TO_TARGET = b"forward to target"
    TO_CALLER = b"forward to caller"


@dataclass(frozen=True, slots=True)
class ForwardedPacket:
    """A forwarded QUIC packet and the addresses of its forward header.

    :param caller: address of the caller.
    :param service_address: address of the service, as in the manifest.
    :param packet: the QUIC packet, unchanged.
    """

    caller: Address
    service_address: Address
    packet: bytes


class ForwardCodec:
    """Encodes and decodes the header of packets between entry instance and target.

    Its 17 bytes are the key id (1) and one AES-128 block: caller (6), service
    address (6), four zero bytes. The zero bytes authenticate the header: without
    them, anyone could make a target send to arbitrary addresses or use an entry
    instance as an open reflector.
    """

    def __init__(self, keys: KeyRing, direction: Direction) -> None:
        self._key_id = bytes((keys.primary_key_id,))
        ciphers = {
            key_id: Cipher(AES(keys.derive(direction.value, key_id)), ECB())
            for key_id in keys.key_ids
        }
        self._encrypt = ciphers[keys.primary_key_id].encryptor().update
        self._decrypt = {i: c.decryptor().update for i, c in ciphers.items()}

    def header(self, caller: Address, service_address: Address) -> bytes:
        """Return the header that precedes a packet."""
        return self.packed_header(caller.pack(), service_address.pack())

    def packed_header(self, caller: bytes, service_address: bytes) -> bytes:
        """Return the header for two packed addresses of 6 bytes each."""
        block = _FORWARD_BLOCK.pack(caller, service_address, 0)
        return self._key_id + self._encrypt(block)

    def decode(self, datagram: bytes) -> ForwardedPacket | None:
        """Return the forwarded packet, or None if the header is not authentic."""
        addresses = self.decode_packed(datagram)
        if addresses is None:
            return None
        caller, service = addresses
        return ForwardedPacket(
            Address.unpack(caller),
            Address.unpack(service),
            datagram[FORWARD_HEADER_BYTES:],
        )

    def decode_packed(self, datagram: bytes) -> tuple[bytes, bytes] | None:
        """Return the packed addresses of caller and service, or None.

        None has the same meaning as in :meth:`decode`.
        """
        if len(datagram) <= FORWARD_HEADER_BYTES:
            return None
        decrypt = self._decrypt.get(datagram[0])
        if decrypt is None:
            return None
        caller, service, padding = _FORWARD_BLOCK.unpack(decrypt(datagram[1:17]))
        return None if padding else (caller, service)
