"""Packets of flows, as the users' callers and targets write and check them."""

from zlib import crc32

from cranberryhold.flows.segments import Endpoint
from cranberryhold.platform.packets import BOUNCED, HEADER

# Known to the two ends of a flow, and to nobody between them.
_SUM_KEY = b"ends of a flow"
# Each of these is left out of the sum, as sidecars and targets may change it.
_ECHO = slice(12, 16)
_FLAGS, _PAD = 22, 23
_SUM = slice(18, 22)


def flow_packet(
    source: Endpoint,
    destination: Endpoint,
    flags: int,
    *,
    sequence: int = 0,
    acknowledged: int = 0,
    data: bytes = b"",
) -> bytes:
    """Return a packet with a valid sum; sequence numbers are taken modulo 2^32."""
    packet = bytearray(
        HEADER.pack(
            destination.ip,
            destination.port,
            source.port,
            source.ip,
            0,
            len(data),
            0,
            flags,
            0,
            sequence % 2**32,
            acknowledged % 2**32,
        )
    )
    packet += data
    packet[_SUM] = _sum_of(packet)
    return bytes(packet)


def has_valid_checksum(packet: bytes) -> bool:
    """Whether a packet is as one of the two ends wrote it."""
    return len(packet) >= HEADER.size and packet[_SUM] == _sum_of(packet)


def is_generated_reset(packet: bytes) -> bool:
    """Whether a packet claims to be a reset that no end of the flow wrote."""
    return len(packet) == HEADER.size and packet[_SUM] == bytes(4)


def returned_packet(packet: bytes) -> bytes:
    """Return a packet as a target sends it back that does not hold its flow."""
    changed = bytearray(packet)
    changed[_FLAGS] |= BOUNCED
    changed[_PAD] = 0
    return bytes(changed)


def _sum_of(packet: bytes | bytearray) -> bytes:
    plain = bytearray(packet)
    plain[_ECHO] = bytes(4)
    plain[_SUM] = bytes(4)
    plain[_FLAGS] &= ~BOUNCED
    plain[_PAD] = 0
    # A sum of 0 marks the system's own resets.
    return (crc32(_SUM_KEY + plain) or 1).to_bytes(4, "big")
