"""Routing of packets to targets.

A connection id issued by a target identifies that target, so packets of established
flows need no table and take the same route at every entry instance. Only first
packets are routed by a Maglev table.
"""

from enum import Enum

from cranberryhold.datapath.connection_ids import CONNECTION_ID_BYTES, ConnectionIdCodec
from cranberryhold.datapath.packets import is_first_packet, read_connection_id
from cranberryhold.datapath.targets import ServiceTargets, TargetTables
from cranberryhold.keys import KeyRing

# The usual Ethernet MTU, which bounds QUIC packets as they are not fragmented.
MAXIMUM_PACKET_BYTES = 1500
_LONG_HEADER = 0x80


class DropReason(Enum):
    """Why a packet was dropped."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    UNKNOWN_ID = "unknown-id"
    """A short header with an id that was not issued under a key of the ring."""
    OTHER_SERVICE = "other-service"
    """The id identifies a target of a service that the address doesn't belong to."""
    NOT_FIRST = "not-first"
    """A long header with an unknown id, in a packet that can't open a connection."""
    NO_TARGET = "no-target"
    """A first packet for a service without targets."""
    FORGED_HEADER = "forged-header"
    """A reply whose forward header can't be authenticated."""
    UNKNOWN_ADDRESS = "unknown-address"
    """A reply from a service address that this entry instance doesn't serve."""
    SEND_FAILED = "send-failed"
    """The kernel did not accept the packet."""


class Router:
    """Selects the target of each packet.

    :param keys: key ring of the deployment.
    :param tables: tables that select the targets of first packets.
    """

    def __init__(self, keys: KeyRing, tables: TargetTables) -> None:
        self._decode = ConnectionIdCodec(keys).decode_route
        self._tables = tables

    def route(self, service: ServiceTargets, packet: bytes) -> bytes | DropReason:
        """Return the packed address of a packet's target, or why it is dropped.

        :param service: service of the address on which the packet arrived.
        """
        if len(packet) > MAXIMUM_PACKET_BYTES:
            return DropReason.OVERSIZED
        connection_id = read_connection_id(packet)
        if connection_id is None:
            return DropReason.TRUNCATED
        if len(connection_id) == CONNECTION_ID_BYTES:
            route = self._decode(connection_id)
            if route is not None:
                address, service_id = route
                if service_id != service.service_id:
                    return DropReason.OTHER_SERVICE
                return address
        if not packet[0] & _LONG_HEADER:
            return DropReason.UNKNOWN_ID
        if not is_first_packet(packet):
            return DropReason.NOT_FIRST
        return (
            self._tables.table_of(service).lookup(connection_id) or DropReason.NO_TARGET
        )
