"""HTTP/3 client connections over aioquic 1.7.2.

This module is the only one of the caller library that touches the QUIC library's
private names; ``tests/test_h3_client.py`` fails when a new version moves them.
"""

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.buffer import Buffer, BufferReadError
from aioquic.h3.connection import (
    H3_ALPN,
    ErrorCode,
    FrameType,
    H3Connection,
    StreamType,
)
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StopSendingReceived,
    StreamDataReceived,
    StreamReset,
)

from cranberryhold.addresses import Address
from cranberryhold.exceptions import (
    CranberryholdError,
    NotRunError,
    OutcomeUnknownError,
)
from cranberryhold.exchange import Headers, Request, Response

CONNECT_TIMEOUT_S = 5.0
# A connection with open requests that delivers nothing for this long is lost. Lost
# answers to pings, and the seconds in which a dead entry instance is still in use,
# fit in it.
IDLE_TIMEOUT_S = 15.0
PING_INTERVAL_S = 4.0
_SILENCE_POLL_S = 1.0
# aioquic buffers without a limit; an upload waits while this much is not yet
# acknowledged, which also keeps the progress shown to a user honest.
SEND_BUFFER_BYTES = 512 * 1024


class _ControlStreamReader:
    """Finds the lowest GOAWAY id on a server's unidirectional stream.

    Frames of other types are skipped as they arrive, whatever their length.
    """

    def __init__(self) -> None:
        self.goaway_id: int | None = None
        self._is_control: bool | None = None
        self._buffer = b""
        self._skip = 0

    def feed(self, data: bytes) -> None:
        """Read on; the data may end anywhere."""
        if self._is_control is False:
            return
        self._buffer += data
        with suppress(BufferReadError):
            while self._buffer:
                self._read_item()

    def _read_item(self) -> None:
        """Read the stream's type or one frame; BufferReadError if it is not whole."""
        if self._skip:
            skipped = min(self._skip, len(self._buffer))
            self._skip -= skipped
            self._buffer = self._buffer[skipped:]
            return
        buffer = Buffer(data=self._buffer)
        number = buffer.pull_uint_var()
        if self._is_control is None:
            self._is_control = number == StreamType.CONTROL
            self._buffer = self._buffer[buffer.tell() :] if self._is_control else b""
            return
        length = buffer.pull_uint_var()
        if number == FrameType.GOAWAY and length:
            start = buffer.tell()
            stream_id = buffer.pull_uint_var()
            # The id may only fall (RFC 9114, section 5.2).
            known = stream_id if self.goaway_id is None else self.goaway_id
            self.goaway_id = min(stream_id, known)
            length -= buffer.tell() - start
        self._buffer = self._buffer[buffer.tell() :]
        self._skip = max(0, length)


class GoawayH3Connection(H3Connection):
    """HTTP/3 that keeps the stream id of a GOAWAY frame, which aioquic drops."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self._readers: dict[int, _ControlStreamReader] = {}

    @property
    def goaway_id(self) -> int | None:
        """First stream that the server will not process, None before a GOAWAY."""
        found = (reader.goaway_id for reader in self._readers.values())
        return next((number for number in found if number is not None), None)

    def handle_event(self, event: QuicEvent) -> list[H3Event]:
        """Handle a QUIC event and return what it means for HTTP/3."""
        if isinstance(event, StreamDataReceived) and event.stream_id % 4 == 3:
            reader = self._readers.setdefault(event.stream_id, _ControlStreamReader())
            reader.feed(event.data)
        return super().handle_event(event)


@dataclass(slots=True)
class _Stream:
    """One request stream: what has arrived and was not read yet."""

    stream_id: int
    peer: str
    arrived: asyncio.Queue[H3Event | Exception] = field(default_factory=asyncio.Queue)
    answered: bool = False
    received_all: bool = False
    sent_all: bool = False
    stopped: bool = False

    def fail(self, error: Exception) -> None:
        """Make the reader raise."""
        if not self.received_all:
            self.received_all = True
            self.arrived.put_nowait(error)

    def fail_reset(self, code: int) -> None:
        """Make the reader raise what a reset with this code means."""
        if code == ErrorCode.H3_REQUEST_REJECTED and not self.answered:
            self.fail(NotRunError("refused", step="request", peer=self.peer))
        else:
            self.fail(
                OutcomeUnknownError(
                    f"the answer broke off (code {code:#x})",
                    step="read answer",
                    peer=self.peer,
                )
            )

    def take(self, event: HeadersReceived | DataReceived) -> None:
        """Keep an event for the reader."""
        self.answered = True
        self.received_all |= event.stream_ended
        self.arrived.put_nowait(event)

    async def head(self) -> HeadersReceived:
        """Wait for the final response headers."""
        while True:
            event = await self._next()
            if isinstance(event, HeadersReceived) and not _is_interim(event):
                return event

    async def body(self, head: HeadersReceived) -> AsyncIterator[bytes]:
        """Yield the chunks of the body."""
        ended = head.stream_ended
        while not ended:
            event = await self._next()
            ended = event.stream_ended
            if isinstance(event, DataReceived) and event.data:
                yield event.data

    async def _next(self) -> HeadersReceived | DataReceived:
        event = await self.arrived.get()
        if isinstance(event, Exception):
            raise event
        return event


class ClientConnection(QuicConnectionProtocol):
    """One HTTP/3 connection to a service; made by :func:`open_connection`.

    :param quic: the QUIC connection.
    :param peer: address of the service.
    """

    def __init__(self, quic: QuicConnection, peer: Address) -> None:
        super().__init__(quic)
        self._h3 = GoawayH3Connection(quic)
        self._peer = str(peer)
        self._streams: dict[int, _Stream] = {}
        self._established: asyncio.Future[None] = self._loop.create_future()
        self._moved = asyncio.Event()
        self._going_away = asyncio.Event()
        self._lost = False
        self._unused = asyncio.Event()
        self._received_at = self._loop.time()
        self._in_use_since = self._received_at

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent: neither lost nor going away."""
        return not self._lost and not self._going_away.is_set()

    @property
    def going_away(self) -> asyncio.Event:
        """Set when the server sends GOAWAY or the connection is lost."""
        return self._going_away

    async def established(self) -> None:
        """Wait for the handshake; NotRunError if it fails."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._established
        except TimeoutError as error:
            raise NotRunError(
                f"no answer within {CONNECT_TIMEOUT_S:g} s: check the address",
                step="connect",
                peer=self._peer,
            ) from error

    async def finished(self) -> None:
        """Wait until the connection takes no requests and none is left."""
        await self._unused.wait()

    async def keep_alive(self) -> None:
        """Ping while requests are open and nothing arrives, until cancelled.

        QUIC's own idle time-out starts anew with the first ping, so the silence is
        measured here; otherwise a dead service was noticed after 23 s only.
        """
        pinged_at = 0.0
        while True:
            await asyncio.sleep(min(_SILENCE_POLL_S, PING_INTERVAL_S))
            if not self._streams:
                continue
            now = self._loop.time()
            quiet_since = max(self._received_at, self._in_use_since)
            if now - quiet_since >= IDLE_TIMEOUT_S:
                self._going_away.set()
                self.close(ErrorCode.H3_NO_ERROR, "nothing arrived")
            elif now - max(quiet_since, pinged_at) >= PING_INTERVAL_S:
                pinged_at = now
                self._quic.send_ping(id(self))
                self.transmit()

    @asynccontextmanager
    async def exchange(
        self, request: Request, authority: str
    ) -> AsyncIterator[Response]:
        """Send a request and yield its response; leaving early cancels it.

        :raises NotRunError: if the request certainly did not run.
        :raises OutcomeUnknownError: if the answer was lost, also while its body is
            read.
        """
        if not self.accepts_requests:
            raise NotRunError(
                "the connection takes no new requests",
                step="send request",
                peer=self._peer,
            )
        headers = _request_headers(request, authority)
        stream = _Stream(self._quic.get_next_available_stream_id(), self._peer)
        if not self._streams:
            self._in_use_since = self._loop.time()
        self._streams[stream.stream_id] = stream
        self._h3.send_headers(stream.stream_id, headers)
        sender = asyncio.create_task(self._send_body(stream, request))
        try:
            head = await stream.head()
            status, *fields = _text(head.headers)
            yield Response(int(status[1]), tuple(fields), stream.body(head))
        finally:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
            self._end(stream)

    def datagram_received(self, data: bytes, addr) -> None:
        """Take a packet from the network."""
        self._received_at = self._loop.time()
        super().datagram_received(data, addr)
        self._moved.set()

    def quic_event_received(self, event: QuicEvent) -> None:
        """Hand an event to the stream that it concerns."""
        match event:
            case HandshakeCompleted():
                if not self._established.done():
                    self._established.set_result(None)
            case ConnectionTerminated():
                self._lose(event)
            case StreamReset() if event.stream_id in self._streams:
                self._streams[event.stream_id].fail_reset(event.error_code)
            case StopSendingReceived() if event.stream_id in self._streams:
                self._streams[event.stream_id].stopped = True
        for answer in self._h3.handle_event(event):
            stream = self._streams.get(getattr(answer, "stream_id", -1))
            if stream and isinstance(answer, HeadersReceived | DataReceived):
                stream.take(answer)
        self._check_goaway()

    async def _send_body(self, stream: _Stream, request: Request) -> None:
        try:
            async for chunk in request.body:
                if stream.stopped or self._lost:
                    return
                self._h3.send_data(stream.stream_id, chunk, end_stream=False)
                self.transmit()
                await self._room(stream)
            if not stream.stopped and not self._lost:
                self._h3.send_data(stream.stream_id, b"", end_stream=True)
                stream.sent_all = True
                self.transmit()
        except Exception as error:
            stream.fail(error)

    async def _room(self, stream: _Stream) -> None:
        """Wait until enough of what was sent on a stream is acknowledged."""
        while not stream.stopped and not self._lost:
            state = self._quic._streams.get(stream.stream_id)
            if state is None or len(state.sender._buffer) < SEND_BUFFER_BYTES:
                return
            self._moved.clear()
            await self._moved.wait()

    def _end(self, stream: _Stream) -> None:
        """Close a stream, and cancel the request where it has not finished."""
        self._streams.pop(stream.stream_id, None)
        if not self._lost:
            code = ErrorCode.H3_REQUEST_CANCELLED
            if not stream.sent_all and not stream.stopped:
                self._quic.reset_stream(stream.stream_id, code)
                # Otherwise the HTTP/3 layer would keep the stream for ever.
                self._h3.handle_event(StopSendingReceived(code, stream.stream_id))
            if not stream.received_all:
                # The stream is unknown once both sides have ended.
                with suppress(ValueError):
                    self._quic.stop_stream(stream.stream_id, code)
            self.transmit()
        self._check_unused()

    def _check_goaway(self) -> None:
        limit = self._h3.goaway_id
        if limit is None:
            return
        self._going_away.set()
        for stream in self._streams.values():
            if stream.stream_id >= limit:
                stream.fail(NotRunError("going away", step="request", peer=self._peer))
        self._check_unused()

    def _lose(self, event: ConnectionTerminated) -> None:
        self._lost = True
        self._going_away.set()
        self._moved.set()
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
            stream.fail(self._lost_answer(reason))
        self._check_unused()

    def _lost_answer(self, reason: str) -> CranberryholdError:
        return OutcomeUnknownError(
            f"the connection was lost: {reason}", step="read answer", peer=self._peer
        )

    def _check_unused(self) -> None:
        if self._lost or (self._going_away.is_set() and not self._streams):
            self._unused.set()


def client_configuration(
    server_name: str, ca_file: str | None = None, insecure: bool = False
) -> QuicConfiguration:
    """Return the QUIC settings of a caller. Early data (0-RTT) stays disabled.

    :param ca_file: PEM file with the authorities to trust; None for the system's.
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
    """Open a connection and close it at the end.

    :raises NotRunError: if the handshake fails.
    """
    loop = asyncio.get_running_loop()
    quic = QuicConnection(configuration=configuration)
    transport, connection = await loop.create_datagram_endpoint(
        lambda: ClientConnection(quic, peer), remote_addr=(peer.ip, peer.port)
    )
    try:
        connection.connect((peer.ip, peer.port))
        await connection.established()
        pinging = asyncio.create_task(connection.keep_alive())
        try:
            yield connection
        finally:
            pinging.cancel()
    finally:
        connection.close(ErrorCode.H3_NO_ERROR)
        await connection.wait_closed()
        transport.close()


def _request_headers(request: Request, authority: str) -> list[tuple[bytes, bytes]]:
    pseudo = (
        (":method", request.method),
        (":scheme", "https"),
        (":authority", authority),
        (":path", request.path),
    )
    fields = ((name.lower(), value) for name, value in request.headers)
    return [(k.encode(), v.encode()) for k, v in (*pseudo, *fields)]


def _text(headers: list[tuple[bytes, bytes]]) -> Headers:
    return tuple((k.decode(), v.decode("latin-1")) for k, v in headers)


def _is_interim(event: HeadersReceived) -> bool:
    return dict(event.headers).get(b":status", b"").startswith(b"1")
