"""A small HTTP/1.1 server for probes, heartbeats, metrics and peers."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import httptools

from cranberryhold.addresses import Address
from cranberryhold.flows.early_http import MAX_CONNECTIONS, READ_BYTES, EarlyHttpServer
from cranberryhold.flows.http_exchange import (
    MAX_BODY_BYTES,
    Request,
    Response,
    encode_response,
    handle_fault,
)
from cranberryhold.flows.telemetry import Telemetry

# Long enough that a probe sent twice per second reuses its connection.
IDLE_TIMEOUT_S = 10.0

Handler = Callable[[Request], Awaitable[Response]]


@asynccontextmanager
async def serving_http(
    address: Address,
    handler: Handler,
    telemetry: Telemetry,
    early: EarlyHttpServer | None = None,
) -> AsyncIterator[None]:
    """Serve requests on an address inside the context.

    :param early: server of that address whose sockets are taken over, if any.
    """
    connections: dict[asyncio.StreamWriter, asyncio.Task[None] | None] = {}
    closing = False

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(connections) >= MAX_CONNECTIONS:
            telemetry.count("http_connections_refused")
            writer.close()
            return
        connections[writer] = asyncio.current_task()
        try:
            await _serve_connection(reader, writer, handler, telemetry)
        except asyncio.CancelledError:
            # asyncio would log the cancellation at shutdown as an unhandled error.
            if not closing:
                raise
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            telemetry.count("http_connections_lost")
            telemetry.flow_event(
                "http-connection-lost",
                port=address.port,
                error=f"{type(error).__name__}: {error}",
            )
        except httptools.HttpParserError as error:
            telemetry.count("http_requests_malformed")
            telemetry.flow_event(
                "http-request-malformed", port=address.port, error=error
            )
        finally:
            connections.pop(writer, None)
            writer.close()

    if early is None:
        server = await asyncio.start_server(serve, address.ip, address.port)
    else:
        server = await _take_over(early, serve)
    try:
        yield
    finally:
        closing = True
        server.close()
        tasks = [task for task in connections.values() if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks)


async def _take_over(
    early: EarlyHttpServer,
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> asyncio.Server:
    """Serve the open connections of another server, and accept further ones."""
    listener, connections = early.hand_over()
    loop = asyncio.get_running_loop()
    for fd, received in connections:
        reader = asyncio.StreamReader()
        reader.feed_data(received)
        protocol = asyncio.StreamReaderProtocol(reader, serve)
        await loop.connect_accepted_socket(
            lambda protocol=protocol: protocol, socket.socket(fileno=fd)
        )
    return await asyncio.start_server(serve, sock=socket.socket(fileno=listener))


class _RequestParser:
    """Parses the requests of one connection.

    httptools prescribes the names of the callbacks.
    """

    def __init__(self) -> None:
        self.requests: list[tuple[Request, bool]] = []
        self.body_too_large = False
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes that were received."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._target, self._body, self._size = b"", [], 0

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target."""
        self._target += target

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._size += len(body)
        if self._size > MAX_BODY_BYTES:
            self.body_too_large = True
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Add the complete request."""
        method = self._parser.get_method().decode("latin-1")
        path, _, query = self._target.decode("latin-1").partition("?")
        request = Request(method, path, query, b"".join(self._body))
        self.requests.append((request, self._parser.should_keep_alive()))


async def _serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
    telemetry: Telemetry,
) -> None:
    parser = _RequestParser()
    while True:
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            data = await reader.read(READ_BYTES)
        if not data:
            return
        parser.feed(data)
        if parser.body_too_large:
            writer.write(encode_response(Response(413), keep_alive=False))
            await writer.drain()
            return
        for request, keep_alive in parser.requests:
            response = await _handle(handler, request, telemetry)
            writer.write(encode_response(response, keep_alive=keep_alive))
            await writer.drain()
            if not keep_alive:
                return
        parser.requests.clear()


async def _handle(handler: Handler, request: Request, telemetry: Telemetry) -> Response:
    try:
        return await handler(request)
    except Exception as error:
        return handle_fault(request, error, telemetry)
