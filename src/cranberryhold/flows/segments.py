"""The packets of a flow, as the decisions see them."""

from socket import inet_ntoa
from typing import Protocol

from msgspec import Struct

SEQUENCE_MODULUS = 1 << 32


class Endpoint(Struct, frozen=True):
    """One end of a flow.

    :param ip: packed IPv4 number (4 bytes).
    :param port: 0 to 65535.
    """

    ip: bytes
    port: int

    def __str__(self) -> str:
        return f"{inet_ntoa(self.ip)}:{self.port}"


class Segment(Struct):
    """A decoded packet. Field names follow TCP.

    :param source: packed IPv4 number of the sender's end.
    :param source_port: port of the sender's end.
    :param destination: packed IPv4 number of the other end.
    :param destination_port: port of the other end.
    :param syn: whether the packet is a SYN.
    :param ack: whether ``acknowledgment`` is valid.
    :param fin: whether the sender has sent all its data (FIN).
    :param rst: whether the sender gave the flow up (RST).
    :param returned: whether a target returned the packet as not its own.
    :param token: the number that the sidecar attached before delivery.
    :param sequence: number of the first byte of data.
    :param acknowledgment: number of the next byte expected from the other end; in a
        caller's SYN, how many copies of it were sent before.
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
    """Return the 12 bytes that name a flow."""
    return (
        caller
        + caller_port.to_bytes(2, "big")
        + service
        + service_port.to_bytes(2, "big")
    )


def format_flow_key(key: bytes) -> str:
    """Return a flow's key as logs show it: caller, a dash, service address.

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
    """Reads and marks packets in the format of the callers and targets."""

    def decode(self, packet: bytes) -> Segment | None:
        """Return the packet's fields, or None if it is no packet of a flow."""

    def with_token(self, packet: bytes, token: int) -> bytes:
        """Return the packet as first sent, with the sidecar's token (32 bits)."""

    def build_reset(self, segment: Segment) -> bytes:
        """Return a reset of the flow that the caller accepts as ours."""
