"""A small HTTP/1.1 client that keeps one idle connection."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError

READ_BYTES = 64 * 1024
# A connection that was idle for longer may have gone silent unnoticed.
MAX_IDLE_S = 20.0


@dataclass(slots=True)
class _Link:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    state: h11.Connection
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
                status, content = await self._exchange(link, method, target, body)
        except (OSError, TimeoutError, h11.ProtocolError, EOFError) as error:
            raise PeerError(
                f"no response ({type(error).__name__}: {error}); repeat if the "
                "request can be repeated",
                step=step,
                peer=str(self._address),
            ) from error
        else:
            self._keep(link)
            link = None
            return status, content
        finally:
            if link is not None:
                link.writer.transport.abort()

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
        return _Link(reader, writer, h11.Connection(h11.CLIENT))

    def _keep(self, link: _Link) -> None:
        state = link.state
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
            link.writer.close()
            return
        state.start_next_cycle()
        link.idle_since = asyncio.get_running_loop().time()
        self.close()
        self._idle = link

    async def _exchange(
        self, link: _Link, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        headers = [("Host", str(self._address))]
        if body or method == "POST":
            headers.append(("Content-Type", "application/json"))
            headers.append(("Content-Length", str(len(body))))
        state = link.state
        head = h11.Request(method=method, target=target, headers=headers)
        data = state.send(head) or b""
        if body:
            data += state.send(h11.Data(data=body)) or b""
        data += state.send(h11.EndOfMessage()) or b""
        link.writer.write(data)
        return await self._read_response(link)

    async def _read_response(self, link: _Link) -> tuple[int, bytes]:
        status, parts, size = 0, [], 0
        while True:
            event = link.state.next_event()
            if event is h11.NEED_DATA:
                data = await link.reader.read(READ_BYTES)
                if not data and link.state.their_state is h11.SEND_RESPONSE:
                    raise EOFError("connection closed before the response")
                link.state.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._max_body_bytes:
                    raise EOFError(f"response over {self._max_body_bytes} bytes")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b"".join(parts)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("connection closed")


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
