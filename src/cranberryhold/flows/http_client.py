"""A small HTTP/1.1 client that keeps one idle connection."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httptools
from msgspec import Struct

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_messages import ResponseParser, encode_request

READ_BYTES = 64 * 1024
# A connection that was idle for longer may have gone silent unnoticed.
MAX_IDLE_S = 20.0


class _Link(Struct):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_since: float = 0.0


class HttpClient:
    """Calls one server; concurrent calls each use a connection of their own.

    :param address: the server.
    :param max_body_bytes: the longest response body that is read.
    """

    def __init__(self, address: Address, max_body_bytes: int) -> None:
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._idle: _Link | None = None

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send one request, and return status and body of the response.

        The request may have been executed when an error is raised.

        :raises PeerError: if there is no complete response within ``timeout_s``.
        """
        step = f"{method} {target.partition('?')[0]}"
        link: _Link | None = None
        try:
            async with asyncio.timeout(timeout_s):
                link = await self._connection()
                parser = await self._exchange(link, method, target, body)
        except (OSError, TimeoutError, httptools.HttpParserError, EOFError) as error:
            raise PeerError(
                f"no response ({type(error).__name__}: {error}); repeat if the "
                "request can be repeated",
                step=step,
                peer=str(self._address),
            ) from error
        else:
            if parser.keeps_alive:
                self._keep(link)
                link = None
            return parser.status, parser.body
        finally:
            if link is not None:
                link.writer.transport.abort()

    def move_to(self, address: Address) -> None:
        """Call another server from now on."""
        if address != self._address:
            self._address = address
            self.close()

    def close(self) -> None:
        """Close the idle connection."""
        if self._idle is not None:
            self._idle.writer.transport.abort()
            self._idle = None

    async def _connection(self) -> _Link:
        link, self._idle = self._idle, None
        now = asyncio.get_running_loop().time()
        if link is not None:
            if now - link.idle_since < MAX_IDLE_S and not link.reader.at_eof():
                return link
            link.writer.transport.abort()
        reader, writer = await asyncio.open_connection(
            self._address.ip, self._address.port
        )
        return _Link(reader, writer)

    def _keep(self, link: _Link) -> None:
        link.idle_since = asyncio.get_running_loop().time()
        self.close()
        self._idle = link

    async def _exchange(
        self, link: _Link, method: str, target: str, body: bytes
    ) -> ResponseParser:
        link.writer.write(encode_request(self._address, method, target, body))
        parser = ResponseParser(self._max_body_bytes)
        while not parser.complete:
            data = await link.reader.read(READ_BYTES)
            if not data:
                raise EOFError("connection closed before the end of the response")
            parser.feed(data)
        return parser


@asynccontextmanager
async def http_client(
    address: Address, max_body_bytes: int
) -> AsyncIterator[HttpClient]:
    """Yield a client, and close its connection afterwards."""
    client = HttpClient(address, max_body_bytes)
    try:
        yield client
    finally:
        client.close()
