"""Decoded packets, independent of their format on the wire."""

from __future__ import annotations

from _socket import inet_ntoa

from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol
else:
    Protocol = object

SEQUENCE_MODULUS = 1 << 32


class Endpoint(Struct, frozen=True):
    """One end of a flow.

    :param ip: packed IPv4 address (4 bytes).
    :param port: 0 to 65535.
    """

    ip: bytes
    port: int

    def __str__(self) -> str:
        return f"{inet_ntoa(self.ip)}:{self.port}"


class Segment(Struct):
    """A decoded packet. Field names follow TCP.

    :param source: packed IPv4 address of the sender.
    :param source_port: port of the sender.
    :param destination: packed IPv4 address of the receiver.
    :param destination_port: port of the receiver.
    :param syn: whether the sender opens the flow.
    :param ack: whether ``acknowledgment`` is valid.
    :param fin: whether the sender has sent all its data.
    :param rst: whether the sender aborted the flow.
    :param returned: whether a target returned the packet because it does not hold
        the flow or does not accept it.
    :param token: number that the sidecar attached before delivery.
    :param sequence: sequence number of the first byte of data.
    :param acknowledgment: sequence number of the next byte expected from the other
        end; in a caller's SYN, the number of copies sent before.
    :param length: bytes of data.
    """

    source: bytes
    source_port: int
    destination: bytes
    destination_port: int
    syn: bool
    ack: bool
    fin: bool
    rst: bool
    returned: bool
    token: int
    sequence: int
    acknowledgment: int
    length: int

    def flow_key_from_caller(self) -> bytes:
        """Return the flow's key if the sender is the caller."""
        return flow_key(
            self.source, self.source_port, self.destination, self.destination_port
        )

    def flow_key_from_target(self) -> bytes:
        """Return the flow's key if the sender is the target."""
        return flow_key(
            self.destination, self.destination_port, self.source, self.source_port
        )


def flow_key(
    caller: bytes, caller_port: int, service: bytes, service_port: int
) -> bytes:
    """Return the 12-byte key that identifies a flow."""
    return (
        caller
        + caller_port.to_bytes(2, "big")
        + service
        + service_port.to_bytes(2, "big")
    )


def format_flow_key(key: bytes) -> str:
    """Format a flow's key for logs: caller, a dash, service address.

    >>> format_flow_key(bytes.fromhex("64400007 9c41 c6120001 01bb"))
    '100.64.0.7:40001-198.18.0.1:443'
    """
    caller = Endpoint(key[:4], int.from_bytes(key[4:6], "big"))
    service = Endpoint(key[6:10], int.from_bytes(key[10:12], "big"))
    return f"{caller}-{service}"


def sequence_distance(later: int, earlier: int) -> int:
    """Return how far ``later`` is after ``earlier``, modulo 2^32."""
    return (later - earlier) % SEQUENCE_MODULUS


class SegmentCodec(Protocol):
    """Decodes and modifies packets in the format of the callers and targets."""

    def decode(self, packet: bytes) -> Segment | None:
        """Decode a packet; return None if it does not belong to a flow."""

    def header(self, packet: bytes) -> bytes:
        """Return a packet without its data."""

    def decode_header(self, header: bytes) -> Segment | None:
        """Decode a packet whose data has been removed; the length stays that of it."""

    def with_token(self, packet: bytes, token: int) -> bytes:
        """Return the packet as its sender wrote it, with the sidecar's 32-bit token."""

    def build_reset(self, segment: Segment) -> bytes:
        """Build a reset that the caller accepts as an answer to this packet."""
