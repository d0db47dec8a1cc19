"""A small HTTP/1.1 server for probes, heartbeats, metrics and peers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11

from cranberryhold.addresses import Address
from cranberryhold.flows.telemetry import Telemetry

MAX_BODY_BYTES = 64 * 1024
MAX_CONNECTIONS = 256
READ_BYTES = 16 * 1024
# A probe that comes twice per second keeps its connection.
IDLE_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Request:
    """A request.

    :param method: method in capitals.
    :param path: path without the query.
    :param body: the whole body.
    """

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """A response with its whole body."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = Callable[[Request], Awaitable[Response]]


@asynccontextmanager
async def serving_http(
    address: Address, handler: Handler, telemetry: Telemetry
) -> AsyncIterator[None]:
    """Serve requests at an address inside the context."""
    connections: set[asyncio.StreamWriter] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(connections) >= MAX_CONNECTIONS:
            telemetry.count("http_connections_refused")
            writer.close()
            return
        connections.add(writer)
        try:
            await _serve_connection(reader, writer, handler)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            telemetry.count("http_connections_lost")
            telemetry.flow_event(
                "http-connection-lost",
                port=address.port,
                error=f"{type(error).__name__}: {error}",
            )
        except h11.RemoteProtocolError as error:
            telemetry.count("http_requests_malformed")
            telemetry.flow_event(
                "http-request-malformed", port=address.port, error=error
            )
        finally:
            connections.discard(writer)
            writer.close()

    server = await asyncio.start_server(serve, address.ip, address.port)
    try:
        yield
    finally:
        server.close()
        for writer in list(connections):
            writer.close()


async def _serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> None:
    connection = h11.Connection(h11.SERVER)
    while True:
        request = await _read_request(connection, reader)
        if request is None:
            return
        if isinstance(request, Response):
            response = request
        else:
            response = await handler(request)
        _write_response(connection, writer, response)
        await writer.drain()
        if connection.our_state is not h11.DONE or (
            connection.their_state is not h11.DONE
        ):
            return
        connection.start_next_cycle()


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> Request | Response | None:
    """Return the next request; a response if it is refused; None at the end."""
    head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                data = await reader.read(READ_BYTES)
            connection.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                return Response(413)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            path = head.target.decode("latin-1").partition("?")[0]
            return Request(head.method.decode("latin-1"), path, body)
        else:
            return None


def _write_response(
    connection: h11.Connection, writer: asyncio.StreamWriter, response: Response
) -> None:
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    parts = [
        connection.send(head),
        connection.send(h11.Data(data=response.body)),
        connection.send(h11.EndOfMessage()),
    ]
    writer.write(b"".join(part for part in parts if part))
