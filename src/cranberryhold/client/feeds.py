"""Long-lived feeds that continue across connections without gaps or repeats."""

import asyncio
import json
import random
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from enum import Enum, auto
from urllib.parse import parse_qsl, urlencode, urlsplit

from cranberryhold.client.connection import ClientConnection
from cranberryhold.client.retries import backoff
from cranberryhold.clock import Clock
from cranberryhold.exceptions import (
    FeedRefusedError,
    NotRunError,
    OutcomeUnknownError,
)
from cranberryhold.manifest.models import RetryPolicy
from cranberryhold.requests.exchange import Headers, Request, Response

# Delay before the next attempt after a failed move; the old stream stays in use.
MOVE_RETRY_S = 5.0
# The old stream is not read while the new one is opened, which bounds this pause.
MOVE_TIMEOUT_S = 2.0
_RECONNECT_POLICY = RetryPolicy()

OpenStream = Callable[
    [Request], AbstractAsyncContextManager[tuple[ClientConnection, Response]]
]
Resume = Callable[[str, bytes], str]


def resume_by_sequence(path: str, line: bytes) -> str:
    """Return the path with ``from=`` set to the line's JSON ``sequence`` plus one.

    >>> resume_by_sequence("/feed?board=2", b'{"sequence": 7}')
    '/feed?board=2&from=8'
    """
    parts = urlsplit(path)
    query = [pair for pair in parse_qsl(parts.query, True) if pair[0] != "from"]
    query.append(("from", str(json.loads(line)["sequence"] + 1)))
    return f"{parts.path}?{urlencode(query)}"


class _FeedEvent(Enum):
    ENDED = auto()
    LOST = auto()
    MOVE = auto()


class Feed:
    """One feed that moves to the next connection when its own is going away.

    :param open_stream: sends a request on the connection for new requests.
    :param give_up_s: seconds of failed reconnection attempts after which the last
        error is raised.
    """

    def __init__(
        self,
        open_stream: OpenStream,
        clock: Clock,
        rng: random.Random,
        give_up_s: float,
    ) -> None:
        self._open_stream = open_stream
        self._clock = clock
        self._rng = rng
        self._give_up_s = give_up_s

    async def lines(
        self, path: str, resume: Resume, headers: Headers
    ) -> AsyncIterator[bytes]:
        """Yield each line once, in order."""
        request = Request("GET", path, headers)
        stream = await self._reconnect(request)
        try:
            while (event := await stream.next()) is not _FeedEvent.ENDED:
                if event is _FeedEvent.MOVE:
                    stream = await self._move(stream, request)
                elif event is _FeedEvent.LOST:
                    stream = await self._reconnect(request)
                else:
                    request = Request("GET", resume(path, event), headers)
                    yield event
        finally:
            await stream.close()

    async def _move(self, old: "_FeedStream", request: Request) -> "_FeedStream":
        """Open the feed on a new connection; keep the old stream if that fails."""
        try:
            async with asyncio.timeout(MOVE_TIMEOUT_S):
                new = await self._open(request)
        except (NotRunError, OutcomeUnknownError, TimeoutError):
            old.next_move_at = self._clock.monotonic() + MOVE_RETRY_S
            return old
        await old.close()
        return new

    async def _reconnect(self, request: Request) -> "_FeedStream":
        give_up_at = self._clock.monotonic() + self._give_up_s
        attempt = 1
        while True:
            try:
                return await self._open(request)
            except (NotRunError, OutcomeUnknownError):
                delay_s = backoff(attempt, _RECONNECT_POLICY, self._rng)
                if self._clock.monotonic() + delay_s >= give_up_at:
                    raise
            await self._clock.sleep(delay_s)
            attempt += 1

    async def _open(self, request: Request) -> "_FeedStream":
        async with AsyncExitStack() as stack:
            connection, response = await stack.enter_async_context(
                self._open_stream(request)
            )
            if response.outcome is not None:
                raise NotRunError(
                    f"the feed was refused with status {response.status}",
                    step="open feed",
                )
            if response.status != 200:
                raise FeedRefusedError(
                    f"{request.path} answered with status {response.status}",
                    step="open feed",
                )
            return _FeedStream(stack.pop_all(), connection, response, self._clock)


class _FeedStream:
    """An open feed on one connection.

    :param next_move_at: monotonic time before which no move is attempted.
    """

    def __init__(
        self,
        stack: AsyncExitStack,
        connection: ClientConnection,
        response: Response,
        clock: Clock,
    ) -> None:
        self._stack = stack
        self._connection = connection
        self._lines = _split_lines(response.body)
        self._clock = clock
        self._next_line: asyncio.Future[bytes | _FeedEvent] | None = None
        self.next_move_at = clock.monotonic()

    async def next(self) -> bytes | _FeedEvent:
        """Return the next line, or an event that ends or interrupts the stream."""
        if self._next_line is None:
            self._next_line = asyncio.ensure_future(self._read_line())
        move_due = asyncio.ensure_future(self._wait_until_move_due())
        try:
            await asyncio.wait(
                {self._next_line, move_due}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            move_due.cancel()
        if not self._next_line.done():
            return _FeedEvent.MOVE
        result, self._next_line = self._next_line.result(), None
        if result is _FeedEvent.LOST:
            await self.close()
        return result

    async def close(self) -> None:
        """Cancel the stream."""
        if self._next_line is not None:
            self._next_line.cancel()
            await asyncio.gather(self._next_line, return_exceptions=True)
        await self._lines.aclose()
        await self._stack.aclose()

    async def _read_line(self) -> bytes | _FeedEvent:
        try:
            return await anext(self._lines, _FeedEvent.ENDED)
        except (NotRunError, OutcomeUnknownError):
            return _FeedEvent.LOST

    async def _wait_until_move_due(self) -> None:
        await self._clock.sleep(self.next_move_at - self._clock.monotonic())
        await self._connection.going_away.wait()


async def _split_lines(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield non-empty lines without newlines; the last may be unterminated."""
    remainder = b""
    async for chunk in chunks:
        *lines, remainder = (remainder + chunk).split(b"\n")
        for line in lines:
            if line:
                yield line
    if remainder:
        yield remainder
