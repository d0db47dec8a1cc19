"""Response of one request of an HTTP/3 connection, read event by event."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from aioquic.h3.connection import ErrorCode
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived

from cranberryhold.exceptions import NotRunError, OutcomeUnknownError


@dataclass(slots=True)
class RequestStream:
    """State of one request stream and the events that were not read yet.

    :ivar stream_id: QUIC stream of the request.
    :ivar peer: address of the service, for errors.
    :ivar events: events of the response, ended by an error if it is not complete.
    :ivar has_response: whether a part of the response has arrived.
    :ivar received_all: whether no event will follow.
    :ivar sent_all: whether the whole request was sent.
    :ivar stop_requested: whether the service wants no more of the request.
    """

    stream_id: int
    peer: str
    events: asyncio.Queue[H3Event | Exception] = field(default_factory=asyncio.Queue)
    has_response: bool = False
    received_all: bool = False
    sent_all: bool = False
    stop_requested: bool = False

    def fail(self, error: Exception) -> None:
        """Make the reader of the response raise an error."""
        if not self.received_all:
            self.received_all = True
            self.events.put_nowait(error)

    def fail_reset(self, code: int) -> None:
        """Make the reader raise the error that corresponds to a reset code."""
        if code == ErrorCode.H3_REQUEST_REJECTED and not self.has_response:
            self.fail(
                NotRunError(
                    "the service rejected the request", step="request", peer=self.peer
                )
            )
        else:
            self.fail(
                OutcomeUnknownError(
                    f"the stream was reset before the response ended (code {code:#x})",
                    step="read response",
                    peer=self.peer,
                )
            )

    def push(self, event: HeadersReceived | DataReceived) -> None:
        """Queue an event for the reader."""
        self.has_response = True
        self.received_all |= event.stream_ended
        self.events.put_nowait(event)

    async def headers_event(self) -> HeadersReceived:
        """Wait for the headers of the final response, skipping interim ones."""
        while True:
            event = await self._next_event()
            if isinstance(event, HeadersReceived) and not _is_interim(event):
                return event

    async def body(self, headers_event: HeadersReceived) -> AsyncIterator[bytes]:
        """Yield the chunks of the body."""
        ended = headers_event.stream_ended
        while not ended:
            event = await self._next_event()
            ended = event.stream_ended
            if isinstance(event, DataReceived) and event.data:
                yield event.data

    async def _next_event(self) -> HeadersReceived | DataReceived:
        event = await self.events.get()
        if isinstance(event, Exception):
            raise event
        return event


def _is_interim(event: HeadersReceived) -> bool:
    return dict(event.headers).get(b":status", b"").startswith(b"1")
