"""A small HTTP/1.1 client that keeps one idle connection open."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httptools
from msgspec import Struct

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_messages import ResponseParser, encode_request

READ_BYTES = 64 * 1024
# A connection that was idle for longer may be dead without having been closed.
MAX_IDLE_S = 20.0


class _Connection(Struct):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_since: float = 0.0


class HttpClient:
    """Calls one server; each concurrent call uses its own connection.

    :param address: address of the server.
    :param max_body_bytes: longest response body that is accepted.
    """

    def __init__(self, address: Address, max_body_bytes: int) -> None:
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._idle: _Connection | None = None

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request, and return the status and the body of the response.

        If an error is raised, the request may still have been executed.

        :raises PeerError: if no complete response arrives within ``timeout_s``.
        """
        step = f"{method} {target.partition('?')[0]}"
        connection: _Connection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._acquire_connection()
                parser = await self._exchange(connection, method, target, body)
        except (OSError, TimeoutError, httptools.HttpParserError, EOFError) as error:
            raise PeerError(
                f"no response ({type(error).__name__}: {error}); retry if the "
                "request is safe to repeat",
                step=step,
                peer=str(self._address),
            ) from error
        else:
            if parser.keep_alive:
                self._store_idle(connection)
                connection = None
            return parser.status, parser.body
        finally:
            if connection is not None:
                connection.writer.transport.abort()

    def set_address(self, address: Address) -> None:
        """Send later calls to another server."""
        if address != self._address:
            self._address = address
            self.close()

    def close(self) -> None:
        """Close the idle connection, if there is one."""
        if self._idle is not None:
            self._idle.writer.transport.abort()
            self._idle = None

    async def _acquire_connection(self) -> _Connection:
        connection, self._idle = self._idle, None
        now = asyncio.get_running_loop().time()
        if connection is not None:
            if (
                now - connection.idle_since < MAX_IDLE_S
                and not connection.reader.at_eof()
            ):
                return connection
            connection.writer.transport.abort()
        reader, writer = await asyncio.open_connection(
            self._address.ip, self._address.port
        )
        return _Connection(reader, writer)

    def _store_idle(self, connection: _Connection) -> None:
        connection.idle_since = asyncio.get_running_loop().time()
        self.close()
        self._idle = connection

    async def _exchange(
        self, connection: _Connection, method: str, target: str, body: bytes
    ) -> ResponseParser:
        connection.writer.write(encode_request(self._address, method, target, body))
        parser = ResponseParser(self._max_body_bytes)
        while not parser.complete:
            data = await connection.reader.read(READ_BYTES)
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
