"""A small HTTP/1.1 client that opens a connection for each call.

Connections are not used again. A server that sends a second copy of a response, late,
would otherwise answer the next call with it, and a connection that has gone silent
would cost the next call its time limit.
"""

import asyncio

import httptools

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_messages import (
    HttpResponse,
    ResponseParser,
    encode_request,
)

READ_BYTES = 64 * 1024


class HttpClient:
    """Calls one server.

    :param address: address of the server.
    :param max_body_bytes: longest response body that is accepted.
    """

    def __init__(self, address: Address, max_body_bytes: int) -> None:
        self._address = address
        self._max_body_bytes = max_body_bytes

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        """Send a request, and return the response.

        If an error is raised, the request may still have been executed.

        :raises PeerError: if no complete response arrives within ``timeout_s``.
        """
        address = self._address
        request = encode_request(address, method, target, body)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(address, request)
        except (OSError, TimeoutError, httptools.HttpParserError, EOFError) as error:
            raise PeerError(
                f"no response ({type(error).__name__}: {error}); retry if the "
                "request is safe to repeat",
                step=f"{method} {target.partition('?')[0]}",
                peer=str(address),
            ) from error

    def set_address(self, address: Address) -> None:
        """Send later calls to another server."""
        self._address = address

    async def _exchange(self, address: Address, request: bytes) -> HttpResponse:
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        try:
            writer.write(request)
            parser = ResponseParser(self._max_body_bytes)
            while not parser.complete:
                data = await reader.read(READ_BYTES)
                if not data:
                    raise EOFError("connection closed before the end of the response")
                parser.feed(data)
            return parser.response
        finally:
            writer.transport.abort()
