"""Request and response bodies: limits, reading ahead, digests."""

import asyncio
import hashlib
from collections.abc import AsyncIterator

from cranberryhold.clock import Clock
from cranberryhold.exceptions import BodyTooLargeError, DeadlinePassedError

READ_AHEAD_BYTES = 64 * 1024


class RequestBody:
    """A request's body with a size limit and a digest of what was read.

    Small bodies are read ahead, before a request takes a slot, so that a slow
    or vanishing caller neither holds a slot nor leaves half a request at the
    upstream.

    :param head: method and path, which the digest covers too.
    """

    def __init__(self, chunks: AsyncIterator[bytes], limit: int, head: str) -> None:
        self._chunks = chunks
        self._limit = limit
        self._size = 0
        self._ahead: list[bytes] = []
        self._hash = hashlib.sha256(head.encode() + b"\0")
        self._is_complete = False
        self.is_too_large = False

    @property
    def digest(self) -> bytes | None:
        """Digest of head and body, or None before the end was read."""
        return self._hash.digest()[:16] if self._is_complete else None

    async def read_ahead(self) -> None:
        """Read the body, or its first 64 KiB.

        :raises BodyTooLargeError: if it exceeds the limit.
        """
        while not self._is_complete and self._size < READ_AHEAD_BYTES:
            chunk = await self._read()
            if chunk:
                self._ahead.append(chunk)

    async def discard(self) -> None:
        """Read the body to its end without keeping it."""
        async for _ in self:
            pass

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for chunk in self._ahead:
            yield chunk
        self._ahead.clear()
        while not self._is_complete:
            if chunk := await self._read():
                yield chunk

    async def _read(self) -> bytes:
        try:
            chunk = await anext(self._chunks)
        except StopAsyncIteration:
            self._is_complete = True
            return b""
        self._size += len(chunk)
        if self._size > self._limit:
            self.is_too_large = True
            raise BodyTooLargeError(
                f"the body exceeds {self._limit} bytes", step="read body"
            )
        self._hash.update(chunk)
        return chunk


async def until_deadline(
    chunks: AsyncIterator[bytes], deadline: float, clock: Clock
) -> AsyncIterator[bytes]:
    """Return the chunks of a response that arrive before the deadline.

    :raises DeadlinePassedError: when it passes.
    """
    while True:
        try:
            async with asyncio.timeout(seconds_left(deadline, clock)):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise DeadlinePassedError(
                "the deadline passed during the answer", step="read answer"
            ) from None
        yield chunk


def seconds_left(deadline: float, clock: Clock) -> float | None:
    """Return the time until a deadline, or None if there is none."""
    return None if deadline == float("inf") else max(0.0, deadline - clock.monotonic())
