"""Request and response bodies: size limits, read-ahead, digests and deadlines."""

import asyncio
import hashlib
from collections.abc import AsyncIterator

from cranberryhold.clock import Clock
from cranberryhold.exceptions import BodyTooLargeError, DeadlinePassedError

READ_AHEAD_BYTES = 64 * 1024


class RequestBody:
    """A request body with a size limit and a digest of the data read.

    Small bodies are read ahead, before the request takes a slot. A caller that is
    slow or disappears then neither occupies a slot nor leaves an incomplete request
    at the upstream.

    :param chunks: chunks of the body.
    :param limit: maximum size in bytes.
    :param digest_prefix: method and path, which the digest also covers.
    """

    def __init__(
        self, chunks: AsyncIterator[bytes], limit: int, digest_prefix: str
    ) -> None:
        self._chunks = chunks
        self._limit = limit
        self._size = 0
        self._read_ahead_chunks: list[bytes] = []
        self._hash = hashlib.sha256(digest_prefix.encode() + b"\0")
        self._is_complete = False
        self.is_too_large = False

    @property
    def digest(self) -> bytes | None:
        """Digest of prefix and body, or None until the body was read completely."""
        return self._hash.digest()[:16] if self._is_complete else None

    async def read_ahead(self) -> None:
        """Read the body, or at least its first 64 KiB, into memory.

        :raises BodyTooLargeError: if it exceeds the limit.
        """
        while not self._is_complete and self._size < READ_AHEAD_BYTES:
            chunk = await self._read()
            if chunk:
                self._read_ahead_chunks.append(chunk)

    async def discard(self) -> None:
        """Read and discard the rest of the body."""
        async for _ in self:
            pass

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for chunk in self._read_ahead_chunks:
            yield chunk
        self._read_ahead_chunks.clear()
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
    """Yield the chunks of a response until the deadline.

    :raises DeadlinePassedError: if the deadline passes before the body ends.
    """
    while True:
        try:
            async with asyncio.timeout(seconds_left(deadline, clock)):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise DeadlinePassedError(
                "the deadline passed before the response ended", step="read response"
            ) from None
        yield chunk


def seconds_left(deadline: float, clock: Clock) -> float | None:
    """Return the time until a deadline, or None if there is none."""
    return None if deadline == float("inf") else max(0.0, deadline - clock.monotonic())
