"""HTTP/3 server of the sidecar: one task per connection and one per request."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import ErrorCode, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from cranberryhold.datapath.quic import (
    MAX_VARINT_STREAM_ID,
    is_acknowledged,
    send_goaway,
    unacknowledged_bytes,
)
from cranberryhold.logs import log_event
from cranberryhold.requests.exchange import (
    Handler,
    Headers,
    Outcome,
    Request,
    Response,
    error_response,
)

SEND_BUFFER_BYTES = 256 * 1024
# A caller's request streams are numbered 0, 4, 8 and so on (RFC 9000, section 2.1).
STREAM_ID_STEP = 4
_CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"}
)


class RequestAbandonedError(Exception):
    """The caller reset the stream or closed the connection."""


@dataclass(eq=False, slots=True)
class _Stream:
    """The stream of a request in progress."""

    stream_id: int
    chunks: asyncio.Queue[bytes | None] = field(default_factory=asyncio.Queue)
    task: asyncio.Task[None] | None = None
    response_started: bool = False
    abandoned: bool = False
    received_all: bool = False

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the request's body until its end."""
        while (chunk := await self.chunks.get()) is not None:
            yield chunk

    def receive(self, data: bytes, ended: bool) -> None:
        """Queue a part of the body."""
        if data:
            self.chunks.put_nowait(data)
        if ended and not self.received_all:
            self.received_all = True
            self.chunks.put_nowait(None)


@dataclass(slots=True)
class _SeenStreams:
    """The request streams that have been seen; they may arrive in any order.

    All streams below ``floor`` have been seen; those above it are listed in ``above``.
    Memory use is thus independent of the age of the connection.
    """

    floor: int = 0
    above: set[int] = field(default_factory=set)
    next_id: int = 0

    def add(self, stream_id: int) -> bool:
        """Record a stream; return False if it was seen before."""
        if stream_id < self.floor or stream_id in self.above:
            return False
        self.above.add(stream_id)
        self.next_id = max(self.next_id, stream_id + STREAM_ID_STEP)
        while self.floor in self.above:
            self.above.remove(self.floor)
            self.floor += STREAM_ID_STEP
        return True


class H3ServerConnection(QuicConnectionProtocol):
    """The server side of one HTTP/3 connection of a caller.

    Each request is handled by ``handler`` in a task of its own, which is cancelled
    if the caller abandons the request.

    :param quic: the connection.
    :param handler: handles requests.
    :param on_idle: called whenever the last request in progress has ended.
    """

    def __init__(
        self,
        quic: QuicConnection,
        handler: Handler,
        on_idle: Callable[["H3ServerConnection"], None] = lambda _: None,
    ) -> None:
        super().__init__(quic)
        self._handler = handler
        self._on_idle = on_idle
        self._h3 = H3Connection(quic)
        self._events: asyncio.Queue[QuicEvent] = asyncio.Queue()
        self._streams: dict[int, _Stream] = {}
        self._progress = asyncio.Event()
        self._seen_streams = _SeenStreams()
        self._first_rejected_id = MAX_VARINT_STREAM_ID
        self._task = asyncio.ensure_future(self._serve_connection())

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return len(self._streams)

    @property
    def peer(self) -> str:
        """Address of the caller, for logs."""
        paths = self._quic._network_paths
        return "{}:{}".format(*paths[0].addr[:2]) if paths else ""

    def announce_shutdown(self) -> None:
        """Ask the caller to send new requests elsewhere, without refusing any yet."""
        self._send_goaway(MAX_VARINT_STREAM_ID)

    def refuse_new_requests(self) -> None:
        """Reject all requests that arrive from now on, as not run."""
        self._first_rejected_id = self._seen_streams.next_id
        self._send_goaway(self._first_rejected_id)

    def close_if_idle(self) -> bool:
        """Close the connection if no request is in progress."""
        if self._streams:
            return False
        self.close(error_code=ErrorCode.H3_NO_ERROR)
        return True

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a packet of the caller."""
        super().datagram_received(data, addr)
        self._progress.set()

    def quic_event_received(self, event: QuicEvent) -> None:
        """Queue an event for the connection's task."""
        self._events.put_nowait(event)
        if isinstance(event, ConnectionTerminated):
            self._progress.set()

    def _send_goaway(self, stream_id: int) -> None:
        send_goaway(self._h3, self._quic, stream_id)
        self.transmit()

    async def _serve_connection(self) -> None:
        while True:
            event = await self._events.get()
            if isinstance(event, ConnectionTerminated):
                break
            if isinstance(event, StreamReset | StopSendingReceived):
                self._abandon(event.stream_id)
            for h3_event in self._h3.handle_event(event):
                self._handle_h3_event(h3_event)
        for stream_id in list(self._streams):
            self._abandon(stream_id)

    def _handle_h3_event(self, event: H3Event) -> None:
        if isinstance(event, HeadersReceived) and event.stream_id not in self._streams:
            self._start_request(event)
        elif isinstance(event, HeadersReceived | DataReceived):
            stream = self._streams.get(event.stream_id)
            if stream is not None:
                data = event.data if isinstance(event, DataReceived) else b""
                stream.receive(data, event.stream_ended)

    def _start_request(self, event: HeadersReceived) -> None:
        if not self._seen_streams.add(event.stream_id):
            return  # Trailers of a request that has already been answered.
        if event.stream_id >= self._first_rejected_id:
            self._reject(event.stream_id)
            return
        stream = _Stream(event.stream_id)
        stream.receive(b"", event.stream_ended)
        self._streams[event.stream_id] = stream
        stream.task = asyncio.ensure_future(self._serve_request(stream, event.headers))

    def _reject(self, stream_id: int) -> None:
        # RFC 9114, section 4.1.1: H3_REQUEST_REJECTED means that it was not processed.
        self._quic.reset_stream(stream_id, ErrorCode.H3_REQUEST_REJECTED)
        self._quic.stop_stream(stream_id, ErrorCode.H3_REQUEST_REJECTED)
        self.transmit()

    def _abandon(self, stream_id: int) -> None:
        stream = self._streams.get(stream_id)
        if stream is not None and stream.task is not None:
            stream.abandoned = True
            stream.task.cancel()

    async def _serve_request(
        self, stream: _Stream, raw_headers: list[tuple[bytes, bytes]]
    ) -> None:
        try:
            async with self._handler(_parse_request(raw_headers, stream)) as response:
                await self._send_response(stream, response)
            await self._wait_acknowledged(stream.stream_id)
        except asyncio.CancelledError:
            self._reset(stream, ErrorCode.H3_REQUEST_CANCELLED)
            if not stream.abandoned:
                raise  # The process is shutting down, which waiting here would delay.
        except RequestAbandonedError:
            self._reset(stream, ErrorCode.H3_REQUEST_CANCELLED)
        except Exception as error:
            log_event("request-failed", level="ERROR", peer=self.peer, error=error)
            await self._send_error(stream)
        finally:
            self._streams.pop(stream.stream_id, None)
            if not self._streams:
                self._on_idle(self)

    async def _send_error(self, stream: _Stream) -> None:
        if stream.response_started:
            self._reset(stream, ErrorCode.H3_INTERNAL_ERROR)
        else:
            await self._send_response(
                stream,
                error_response(500, Outcome.UNKNOWN, "internal error of the sidecar"),
            )
            await self._wait_acknowledged(stream.stream_id)

    async def _send_response(self, stream: _Stream, response: Response) -> None:
        headers = [(b":status", str(response.status).encode())]
        headers += [(k.encode(), v.encode("latin-1")) for k, v in response.headers]
        stream.response_started = True
        # Transmitted in the next iteration of the event loop, so that a short response
        # goes out in one datagram.
        self._h3.send_headers(stream.stream_id, headers)
        self._transmit_soon()
        async for chunk in response.body:
            await self._wait_for_send_buffer(stream.stream_id)
            self._h3.send_data(stream.stream_id, chunk, end_stream=False)
            self._transmit_soon()
        self._h3.send_data(stream.stream_id, b"", end_stream=True)
        if not stream.received_all:
            # The response is complete before the request is; RFC 9114, section 4.1.
            self._quic.stop_stream(stream.stream_id, ErrorCode.H3_NO_ERROR)
        self._transmit_soon()

    async def _wait_for_send_buffer(self, stream_id: int) -> None:
        while unacknowledged_bytes(self._quic, stream_id) > SEND_BUFFER_BYTES:
            if self._closed.is_set():
                raise RequestAbandonedError
            self._progress.clear()
            await self._progress.wait()

    async def _wait_acknowledged(self, stream_id: int) -> None:
        """Wait until the caller has acknowledged the whole response.

        Until then the connection is not idle: closing it would truncate the response.
        """
        while not (self._closed.is_set() or is_acknowledged(self._quic, stream_id)):
            self._progress.clear()
            await self._progress.wait()

    def _reset(self, stream: _Stream, code: int) -> None:
        if not self._closed.is_set():
            self._quic.reset_stream(stream.stream_id, code)
            if not stream.received_all:
                self._quic.stop_stream(stream.stream_id, code)
            self.transmit()


def _parse_request(raw_headers: list[tuple[bytes, bytes]], stream: _Stream) -> Request:
    pairs = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in raw_headers]
    pseudo = dict(pair for pair in pairs if pair[0].startswith(":"))
    headers: Headers = tuple(
        (name, value)
        for name, value in pairs
        if not name.startswith(":") and name not in _CONNECTION_HEADERS
    )
    if ":authority" in pseudo and all(name != "host" for name, _ in headers):
        headers = (("host", pseudo[":authority"]), *headers)
    return Request(
        method=pseudo.get(":method", "GET"),
        path=pseudo.get(":path", "/"),
        headers=headers,
        body=stream.body(),
    )
