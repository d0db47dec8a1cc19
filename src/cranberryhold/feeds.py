"""Feeds that stay open for hours: they move between connections without a gap."""

import asyncio
import json
import random
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from enum import Enum, auto
from urllib.parse import parse_qsl, urlencode, urlsplit

from cranberryhold.clock import Clock
from cranberryhold.exceptions import (
    FeedRefusedError,
    NotRunError,
    OutcomeUnknownError,
)
from cranberryhold.exchange import Headers, Request, Response
from cranberryhold.h3_client import ClientConnection
from cranberryhold.manifest import RetryPolicy
from cranberryhold.retries import backoff

# A failed move is tried again after this long; the old connection serves on.
MOVE_RETRY_S = 5.0
# The old stream is not read while the next one is opened.
MOVE_TIMEOUT_S = 2.0
_REOPEN_POLICY = RetryPolicy()

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


class _Event(Enum):
    ENDED = auto()
    LOST = auto()
    MOVE = auto()


class Feed:
    """Follows one feed from connection to connection.

    :param open_stream: sends a request on the newest connection.
    :param give_up_s: seconds without a connection until the feed fails.
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
        source = await self._reopen(request)
        try:
            while (event := await source.next()) is not _Event.ENDED:
                if event is _Event.MOVE:
                    source = await self._move(source, request)
                elif event is _Event.LOST:
                    source = await self._reopen(request)
                else:
                    request = Request("GET", resume(path, event), headers)
                    yield event
        finally:
            await source.close()

    async def _move(self, old: "_Source", request: Request) -> "_Source":
        """Continue on the next connection; stay on the old one if that fails."""
        try:
            async with asyncio.timeout(MOVE_TIMEOUT_S):
                new = await self._open(request)
        except (NotRunError, OutcomeUnknownError, TimeoutError):
            old.move_not_before = self._clock.monotonic() + MOVE_RETRY_S
            return old
        await old.close()
        return new

    async def _reopen(self, request: Request) -> "_Source":
        give_up_at = self._clock.monotonic() + self._give_up_s
        attempt = 1
        while True:
            try:
                return await self._open(request)
            except (NotRunError, OutcomeUnknownError):
                pause_s = backoff(attempt, _REOPEN_POLICY, self._rng)
                if self._clock.monotonic() + pause_s >= give_up_at:
                    raise
            await self._clock.sleep(pause_s)
            attempt += 1

    async def _open(self, request: Request) -> "_Source":
        async with AsyncExitStack() as stack:
            connection, response = await stack.enter_async_context(
                self._open_stream(request)
            )
            if response.outcome is not None:
                raise NotRunError(f"status {response.status}", step="open feed")
            if response.status != 200:
                raise FeedRefusedError(
                    f"{request.path} answered status {response.status}",
                    step="open feed",
                )
            return _Source(stack.pop_all(), connection, response, self._clock)


class _Source:
    """An open feed on one connection.

    :param move_not_before: no move is due before this time of the clock.
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
        self._lines = _split(response.body)
        self._clock = clock
        self._reading: asyncio.Future[bytes | _Event] | None = None
        self.move_not_before = clock.monotonic()

    async def next(self) -> bytes | _Event:
        """Return the next line, or what has become of the feed."""
        if self._reading is None:
            self._reading = asyncio.ensure_future(self._read())
        moving = asyncio.ensure_future(self._move_due())
        try:
            await asyncio.wait(
                {self._reading, moving}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            moving.cancel()
        if not self._reading.done():
            return _Event.MOVE
        result, self._reading = self._reading.result(), None
        if result is _Event.LOST:
            await self.close()
        return result

    async def close(self) -> None:
        """Cancel the stream."""
        if self._reading is not None:
            self._reading.cancel()
            await asyncio.gather(self._reading, return_exceptions=True)
        await self._lines.aclose()
        await self._stack.aclose()

    async def _read(self) -> bytes | _Event:
        try:
            return await anext(self._lines, _Event.ENDED)
        except (NotRunError, OutcomeUnknownError):
            return _Event.LOST

    async def _move_due(self) -> None:
        await self._clock.sleep(self.move_not_before - self._clock.monotonic())
        await self._connection.going_away.wait()


async def _split(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield whole lines without their ends; a last line may lack its end."""
    rest = b""
    async for chunk in chunks:
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            if line:
                yield line
    if rest:
        yield rest
