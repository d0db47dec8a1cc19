"""Messages with which targets forward requests to each other, and flow control.

A sender may have 256 KiB of a body in flight. The receiver returns credit as the
body is consumed, so it never buffers more than that for a slow reader.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from cranberryhold.exceptions import OutcomeUnknownError
from cranberryhold.requests.exchange import Headers

WINDOW_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024


class SlotRequest(Struct, tag=1, array_like=True):
    """Requests a slot for a request of a class."""

    exchange: int
    request_class: str


class SlotResponse(Struct, tag=2, array_like=True):
    """Answers a :class:`SlotRequest`; offer id 0 means that no slot is free."""

    exchange: int
    offer_id: int
    running: int
    waiting: int
    slots: int


class WithdrawOffer(Struct, tag=3, array_like=True):
    """Tells the peer that its offer will not be used."""

    offer_id: int


class RequestHead(Struct, tag=4, array_like=True):
    """Begins a request; ``time_left_ms`` is the time to its deadline, or None."""

    exchange: int
    offer_id: int
    method: str
    path: str
    headers: Headers
    time_left_ms: float | None


class ResponseHead(Struct, tag=5, array_like=True):
    """Begins a response."""

    exchange: int
    status: int
    headers: Headers


class BodyChunk(Struct, tag=6, array_like=True):
    """Part of a body."""

    exchange: int
    data: bytes


class BodyEnd(Struct, tag=7, array_like=True):
    """Ends a body; ``size`` is its length, which the receiver checks."""

    exchange: int
    size: int


class Credit(Struct, tag=8, array_like=True):
    """Allows the sender of a body to send ``size`` more bytes."""

    exchange: int
    size: int


class Cancel(Struct, tag=9, array_like=True):
    """Tells the peer that the response is no longer needed."""

    exchange: int


class Failed(Struct, tag=10, array_like=True):
    """Tells the peer that the response will not arrive or not be completed."""

    exchange: int
    reason: str


class Ping(Struct, tag=11, array_like=True):
    """Probes whether the connection still exists; expects no reply."""


Message = (
    SlotRequest
    | SlotResponse
    | WithdrawOffer
    | RequestHead
    | ResponseHead
    | BodyChunk
    | BodyEnd
    | Credit
    | Cancel
    | Failed
    | Ping
)
SendMessage = Callable[[Message], Awaitable[None]]

encode = Encoder().encode
decode = Decoder(Message).decode


class Channel:
    """One request and its response on a connection that carries many.

    :param number: the number of this exchange on its connection.
    :param send: sends a message to the peer, in order.
    """

    def __init__(self, number: int, send: SendMessage) -> None:
        self.number = number
        self.is_ended = False
        self._send = send
        self._inbox: asyncio.Queue[Message | Exception] = asyncio.Queue()
        self._credit = WINDOW_BYTES
        self._has_credit = asyncio.Event()
        self._has_credit.set()

    def deliver(self, message: Message | Exception) -> None:
        """Queue a received message, or an error that ends the exchange."""
        if isinstance(message, Credit):
            self._credit += message.size
            self._has_credit.set()
        else:
            self._inbox.put_nowait(message)

    async def receive(self) -> Message:
        """Return the next message.

        :raises OutcomeUnknownError: if the peer reported a failure or was lost.
        """
        message = await self._inbox.get()
        if isinstance(message, Exception):
            raise message
        if isinstance(message, Failed):
            self.is_ended = True
            raise OutcomeUnknownError(message.reason, step="pass request")
        return message

    async def send_body(self, chunks: AsyncIterator[bytes]) -> None:
        """Send a body as fast as credit allows."""
        size = 0
        async for chunk in chunks:
            for start in range(0, len(chunk), CHUNK_BYTES):
                piece = bytes(chunk[start : start + CHUNK_BYTES])
                await self._consume_credit(len(piece))
                size += len(piece)
                await self._send(BodyChunk(self.number, piece))
        await self._send(BodyEnd(self.number, size))

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the peer's body and return credit for it.

        :raises OutcomeUnknownError: if the body is not complete.
        """
        size = 0
        while True:
            message = await self.receive()
            if isinstance(message, BodyEnd):
                self.is_ended = True
                if message.size != size:
                    raise OutcomeUnknownError(
                        f"got {size} of {message.size} bytes", step="read body"
                    )
                return
            if not isinstance(message, BodyChunk):
                raise OutcomeUnknownError(
                    f"unexpected {type(message).__name__}", step="read body"
                )
            size += len(message.data)
            yield message.data
            await self._send(Credit(self.number, len(message.data)))

    async def _consume_credit(self, size: int) -> None:
        while self._credit < size:
            self._has_credit.clear()
            await self._has_credit.wait()
        self._credit -= size
