"""Adapter to aioquic that issues connection ids which identify this target.

aioquic has no hook for choosing connection ids, so this module uses private
attributes of the pinned version. ``tests/test_quic.py`` fails if a new version
changes them.
"""

import os
from collections.abc import Callable
from functools import partial

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.buffer import Buffer
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from aioquic.quic.packet import (
    QuicHeader,
    QuicPacketType,
    encode_quic_version_negotiation,
    pull_quic_header,
)

from cranberryhold.datapath.connection_ids import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    TargetRef,
)
from cranberryhold.datapath.packets import is_first_packet

STATELESS_RESET_TOKEN_BYTES = 16
MAX_ACTIVE_CONNECTION_IDS = 8
MAX_VARINT_STREAM_ID = 2**62 - 4

NetworkAddress = tuple[str, int]
SendPacket = Callable[[bytes, NetworkAddress], None]
CreateProtocol = Callable[[QuicConnection], QuicConnectionProtocol]


class RoutedQuicConnection(QuicConnection):
    """A server connection that takes its connection ids from a function.

    :param issue_connection_id: returns a new id of 20 bytes.
    :param configuration: TLS and transport settings.
    :param original_destination_connection_id: id that the caller chose for its
        first packet.
    """

    def __init__(
        self,
        *,
        issue_connection_id: Callable[[], bytes],
        configuration: QuicConfiguration,
        original_destination_connection_id: bytes,
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination_connection_id,
        )
        self._issue_connection_id = issue_connection_id
        connection_id = issue_connection_id()
        self._host_cids[0].cid = connection_id
        self.host_cid = connection_id
        self._local_initial_source_connection_id = connection_id

    def _replenish_connection_ids(self) -> None:
        limit = min(MAX_ACTIVE_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            self._host_cids.append(
                QuicConnectionId(
                    cid=self._issue_connection_id(),
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=os.urandom(STATELESS_RESET_TOKEN_BYTES),
                )
            )
            self._host_cid_seq += 1


class SidecarQuicServer:
    """Dispatches packets to the connections of one target.

    :param target: target that the issued connection ids identify.
    :param codec: encodes connection ids.
    :param configuration: TLS and transport settings of a server; its connection
        id length is set to 20.
    :param send: sends a packet to a caller.
    :param create_protocol: creates the protocol object of a new connection.
    :param on_closed: called after a connection has ended.
    """

    def __init__(
        self,
        *,
        target: TargetRef,
        codec: ConnectionIdCodec,
        configuration: QuicConfiguration,
        send: SendPacket,
        create_protocol: CreateProtocol,
        on_closed: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_closed = on_closed
        self._target = target
        self._codec = codec
        configuration.connection_id_length = CONNECTION_ID_BYTES
        self._configuration = configuration
        self._transport = _SendOnlyTransport(send)
        self._create_protocol = create_protocol
        self._protocols_by_id: dict[bytes, QuicConnectionProtocol] = {}
        self._connections: dict[QuicConnectionProtocol, set[bytes]] = {}
        self._last_serial = int.from_bytes(os.urandom(2), "big")
        self.accepts_connections = True

    @property
    def connections(self) -> frozenset[QuicConnectionProtocol]:
        """The open connections."""
        return frozenset(self._connections)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def has_connection_id(self, connection_id: bytes | None) -> bool:
        """Return whether an open connection uses this id."""
        return connection_id in self._protocols_by_id

    def receive(self, packet: bytes, caller: NetworkAddress) -> bool:
        """Dispatch a packet to its connection; return False if it was dropped."""
        try:
            header = pull_quic_header(
                Buffer(data=packet), host_cid_length=CONNECTION_ID_BYTES
            )
        except ValueError:
            return False
        protocol = self._protocols_by_id.get(header.destination_cid)
        if protocol is None:
            protocol = self._create_connection(header, packet, caller)
        if protocol is None:
            return False
        protocol.datagram_received(packet, caller)
        return True

    def close(self) -> None:
        """Close all connections."""
        for protocol in list(self._connections):
            protocol.close()

    def _create_connection(
        self, header: QuicHeader, packet: bytes, caller: NetworkAddress
    ) -> QuicConnectionProtocol | None:
        if not self.accepts_connections or not is_first_packet(packet):
            return None
        if header.version not in self._configuration.supported_versions:
            self._transport.sendto(
                encode_quic_version_negotiation(
                    source_cid=header.destination_cid,
                    destination_cid=header.source_cid,
                    supported_versions=self._configuration.supported_versions,
                ),
                caller,
            )
            return None
        if header.packet_type != QuicPacketType.INITIAL:
            return None
        connection = RoutedQuicConnection(
            issue_connection_id=self._new_connection_id,
            configuration=self._configuration,
            original_destination_connection_id=header.destination_cid,
        )
        protocol = self._create_protocol(connection)
        protocol.connection_made(self._transport)
        protocol._connection_id_issued_handler = partial(
            self._add_connection_id, protocol
        )
        protocol._connection_id_retired_handler = partial(
            self._remove_connection_id, protocol
        )
        protocol._connection_terminated_handler = partial(
            self._remove_connection, protocol
        )
        self._connections[protocol] = set()
        self._add_connection_id(protocol, header.destination_cid)
        self._add_connection_id(protocol, connection.host_cid)
        return protocol

    def _new_connection_id(self) -> bytes:
        while True:
            self._last_serial += 1
            connection_id = self._codec.encode(self._target, self._last_serial)
            if connection_id not in self._protocols_by_id:
                return connection_id

    def _add_connection_id(
        self, protocol: QuicConnectionProtocol, connection_id: bytes
    ) -> None:
        connection_ids = self._connections.get(protocol)
        if connection_ids is None:
            # Timers of aioquic may still issue ids after the connection has ended.
            return
        connection_ids.add(connection_id)
        self._protocols_by_id[connection_id] = protocol

    def _remove_connection_id(
        self, protocol: QuicConnectionProtocol, connection_id: bytes
    ) -> None:
        connection_ids = self._connections.get(protocol)
        if connection_ids is not None and connection_id in connection_ids:
            connection_ids.discard(connection_id)
            self._protocols_by_id.pop(connection_id, None)

    def _remove_connection(self, protocol: QuicConnectionProtocol) -> None:
        for connection_id in self._connections.pop(protocol, ()):
            self._protocols_by_id.pop(connection_id, None)
        self._on_closed()


class _SendOnlyTransport:
    """The subset of a datagram transport that aioquic's protocol uses."""

    def __init__(self, send: SendPacket) -> None:
        self.sendto = send

    def close(self) -> None:
        """Do nothing, since the sidecar owns the socket."""


def send_goaway(h3: H3Connection, quic: QuicConnection, stream_id: int) -> None:
    """Send GOAWAY (RFC 9114, section 5.2).

    :param stream_id: requests on this stream id or above will not be processed;
        :data:`MAX_VARINT_STREAM_ID` announces a shutdown without refusing requests
        in flight.
    """
    payload = Buffer(capacity=8)
    payload.push_uint_var(stream_id)
    quic.send_stream_data(
        h3._local_control_stream_id, encode_frame(FrameType.GOAWAY, payload.data)
    )


def unacknowledged_bytes(quic: QuicConnection, stream_id: int) -> int:
    """Return the number of buffered bytes of a stream that are not acknowledged."""
    stream = quic._streams.get(stream_id)
    return len(stream.sender._buffer) if stream is not None else 0


def is_acknowledged(quic: QuicConnection, stream_id: int) -> bool:
    """Return whether the peer has acknowledged the end or reset of a stream."""
    stream = quic._streams.get(stream_id)
    return stream is None or stream.sender.is_finished
