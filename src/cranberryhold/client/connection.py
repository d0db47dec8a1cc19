"""HTTP/3 client connections over aioquic 1.7.2.

No module outside this package uses private attributes of aioquic for callers.
``tests/test_h3_client.py`` fails if a new version changes them.
"""

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import (
    H3_ALPN,
    ErrorCode,
)
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from cranberryhold.addresses import Address
from cranberryhold.client.goaway import GoawayH3Connection
from cranberryhold.client.request_stream import RequestStream
from cranberryhold.exceptions import (
    CranberryholdError,
    NotRunError,
    OutcomeUnknownError,
)
from cranberryhold.requests.exchange import Headers, Request, Response

CONNECT_TIMEOUT_S = 5.0
# A connection with open requests on which nothing arrives for this long counts as
# lost. The time-out leaves room for lost ping acknowledgements and for the seconds
# in which packets still go to a failed entry instance.
IDLE_TIMEOUT_S = 15.0
PING_INTERVAL_S = 4.0
_IDLE_CHECK_S = 1.0
# aioquic's send buffer is unbounded, so an upload waits while this much data is not
# acknowledged. The progress bar of an upload thus follows what has been delivered.
SEND_BUFFER_BYTES = 512 * 1024


class ClientConnection(QuicConnectionProtocol):
    """One HTTP/3 connection to a service; created by :func:`open_connection`.

    :param quic: the QUIC connection.
    :param peer: address of the service.
    """

    def __init__(self, quic: QuicConnection, peer: Address) -> None:
        super().__init__(quic)
        self._h3 = GoawayH3Connection(quic)
        self._peer = str(peer)
        self._streams: dict[int, RequestStream] = {}
        self._established: asyncio.Future[None] = self._loop.create_future()
        self._send_progress = asyncio.Event()
        self._going_away = asyncio.Event()
        self._lost = False
        self._finished = asyncio.Event()
        self._last_received = self._loop.time()
        self._in_use_since = self._last_received

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent: no GOAWAY and no lost connection."""
        return not self._lost and not self._going_away.is_set()

    @property
    def going_away(self) -> asyncio.Event:
        """Set when the server sends GOAWAY or the connection is lost."""
        return self._going_away

    async def wait_established(self) -> None:
        """Wait until the handshake is complete.

        :raises NotRunError: if it fails.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._established
        except TimeoutError as error:
            raise NotRunError(
                f"no answer within {CONNECT_TIMEOUT_S:g} s: check the address",
                step="connect",
                peer=self._peer,
            ) from error

    async def wait_finished(self) -> None:
        """Wait until the connection is lost, or has drained after GOAWAY."""
        await self._finished.wait()

    async def keep_alive(self) -> None:
        """Send pings while requests are open and nothing arrives, until cancelled.

        The first ping restarts QUIC's own idle time-out, which then detected a dead
        service only after 23 s. The idle time is therefore also measured here.
        """
        last_ping = 0.0
        while True:
            await asyncio.sleep(min(_IDLE_CHECK_S, PING_INTERVAL_S))
            if not self._streams:
                continue
            now = self._loop.time()
            idle_since = max(self._last_received, self._in_use_since)
            if now - idle_since >= IDLE_TIMEOUT_S:
                self._going_away.set()
                self.close(ErrorCode.H3_NO_ERROR, "nothing arrived")
            elif now - max(idle_since, last_ping) >= PING_INTERVAL_S:
                last_ping = now
                self._quic.send_ping(id(self))
                self.transmit()

    @asynccontextmanager
    async def exchange(
        self, request: Request, authority: str
    ) -> AsyncIterator[Response]:
        """Send a request and yield its response; leaving early cancels it.

        :raises NotRunError: if the request certainly did not run.
        :raises OutcomeUnknownError: if the response was lost; also raised while its
            body is read.
        """
        if not self.accepts_requests:
            raise NotRunError(
                "the connection is closing and accepts no new requests",
                step="send request",
                peer=self._peer,
            )
        headers = _request_headers(request, authority)
        stream = RequestStream(self._quic.get_next_available_stream_id(), self._peer)
        if not self._streams:
            self._in_use_since = self._loop.time()
        self._streams[stream.stream_id] = stream
        self._h3.send_headers(stream.stream_id, headers)
        sender = asyncio.create_task(self._send_body(stream, request))
        try:
            headers_event = await stream.headers_event()
            status, *fields = _decode_headers(headers_event.headers)
            yield Response(int(status[1]), tuple(fields), stream.body(headers_event))
        finally:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
            self._close_stream(stream)

    def datagram_received(self, data: bytes, addr) -> None:
        """Process a datagram; wake senders that wait for acknowledgements."""
        self._last_received = self._loop.time()
        super().datagram_received(data, addr)
        self._send_progress.set()

    def quic_event_received(self, event: QuicEvent) -> None:
        """Dispatch an event to its request stream."""
        match event:
            case HandshakeCompleted():
                if not self._established.done():
                    self._established.set_result(None)
            case ConnectionTerminated():
                self._handle_termination(event)
            case StreamReset() if event.stream_id in self._streams:
                self._streams[event.stream_id].fail_reset(event.error_code)
            case StopSendingReceived() if event.stream_id in self._streams:
                self._streams[event.stream_id].stop_requested = True
        for h3_event in self._h3.handle_event(event):
            stream = self._streams.get(getattr(h3_event, "stream_id", -1))
            if stream and isinstance(h3_event, HeadersReceived | DataReceived):
                stream.push(h3_event)
        self._check_goaway()

    async def _send_body(self, stream: RequestStream, request: Request) -> None:
        try:
            async for chunk in request.body:
                if stream.stop_requested or self._lost:
                    return
                self._h3.send_data(stream.stream_id, chunk, end_stream=False)
                self.transmit()
                await self._wait_for_send_buffer(stream)
            if not stream.stop_requested and not self._lost:
                self._h3.send_data(stream.stream_id, b"", end_stream=True)
                stream.sent_all = True
                self.transmit()
        except Exception as error:
            stream.fail(error)

    async def _wait_for_send_buffer(self, stream: RequestStream) -> None:
        """Wait until a stream has less than the limit of unacknowledged data."""
        while not stream.stop_requested and not self._lost:
            state = self._quic._streams.get(stream.stream_id)
            if state is None or len(state.sender._buffer) < SEND_BUFFER_BYTES:
                return
            self._send_progress.clear()
            await self._send_progress.wait()

    def _close_stream(self, stream: RequestStream) -> None:
        """Forget a stream; cancel the directions that are not complete."""
        self._streams.pop(stream.stream_id, None)
        if not self._lost:
            code = ErrorCode.H3_REQUEST_CANCELLED
            if not stream.sent_all and not stream.stop_requested:
                self._quic.reset_stream(stream.stream_id, code)
                # Makes the HTTP/3 layer drop its state of the stream, which would
                # otherwise leak.
                self._h3.handle_event(StopSendingReceived(code, stream.stream_id))
            if not stream.received_all:
                # aioquic raises if it has already discarded the finished stream.
                with suppress(ValueError):
                    self._quic.stop_stream(stream.stream_id, code)
            self.transmit()
        self._check_finished()

    def _check_goaway(self) -> None:
        first_rejected_id = self._h3.goaway_id
        if first_rejected_id is None:
            return
        self._going_away.set()
        for stream in self._streams.values():
            if stream.stream_id >= first_rejected_id:
                stream.fail(
                    NotRunError(
                        "the service is going away and did not process the request",
                        step="request",
                        peer=self._peer,
                    )
                )
        self._check_finished()

    def _handle_termination(self, event: ConnectionTerminated) -> None:
        self._lost = True
        self._going_away.set()
        self._send_progress.set()
        reason = event.reason_phrase or f"code {event.error_code:#x}"
        if not self._established.done():
            self._established.set_exception(
                NotRunError(
                    f"the connection was refused: {reason}",
                    step="connect",
                    peer=self._peer,
                )
            )
        for stream in self._streams.values():
            stream.fail(self._connection_lost_error(reason))
        self._check_finished()

    def _connection_lost_error(self, reason: str) -> CranberryholdError:
        return OutcomeUnknownError(
            f"the connection was lost: {reason}", step="read response", peer=self._peer
        )

    def _check_finished(self) -> None:
        if self._lost or (self._going_away.is_set() and not self._streams):
            self._finished.set()


def client_configuration(
    server_name: str, ca_file: str | None = None, insecure: bool = False
) -> QuicConfiguration:
    """Return the QUIC settings of a caller; early data (0-RTT) is disabled.

    :param ca_file: PEM file with the trusted certificate authorities; None for
        those of the system.
    :param insecure: accept any certificate.
    """
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=H3_ALPN,
        idle_timeout=IDLE_TIMEOUT_S,
        server_name=server_name,
    )
    if ca_file:
        configuration.load_verify_locations(ca_file)
    if insecure:
        configuration.verify_mode = ssl.CERT_NONE
    return configuration


@asynccontextmanager
async def open_connection(
    peer: Address, configuration: QuicConfiguration
) -> AsyncIterator[ClientConnection]:
    """Open a connection and close it when the context ends.

    :raises NotRunError: if the handshake fails.
    """
    loop = asyncio.get_running_loop()
    quic = QuicConnection(configuration=configuration)
    transport, connection = await loop.create_datagram_endpoint(
        lambda: ClientConnection(quic, peer), remote_addr=(peer.ip, peer.port)
    )
    try:
        connection.connect((peer.ip, peer.port))
        await connection.wait_established()
        keep_alive_task = asyncio.create_task(connection.keep_alive())
        try:
            yield connection
        finally:
            keep_alive_task.cancel()
    finally:
        connection.close(ErrorCode.H3_NO_ERROR)
        await connection.wait_closed()
        transport.close()


def _request_headers(request: Request, authority: str) -> list[tuple[bytes, bytes]]:
    pseudo_headers = (
        (":method", request.method),
        (":scheme", "https"),
        (":authority", authority),
        (":path", request.path),
    )
    fields = ((name.lower(), value) for name, value in request.headers)
    return [(k.encode(), v.encode()) for k, v in (*pseudo_headers, *fields)]


def _decode_headers(headers: list[tuple[bytes, bytes]]) -> Headers:
    return tuple((k.decode(), v.decode("latin-1")) for k, v in headers)
