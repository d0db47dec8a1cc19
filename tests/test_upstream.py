"""The upstream client reports "not run" only if no byte of a request was sent."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from cranberryhold.addresses import Address
from cranberryhold.exceptions import NotRunError, OutcomeUnknownError
from cranberryhold.requests.exchange import Request, bytes_body
from cranberryhold.requests.upstream import (
    UpstreamMonitor,
    UpstreamState,
    open_upstream,
)

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def tcp_server(serve: Serve) -> AsyncIterator[Address]:
    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    async with server:
        yield Address(*server.sockets[0].getsockname())


async def closes_without_response(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read the request and close the connection."""


async def closes_within_response(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")
    await writer.drain()


async def echoes_body(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    body = await reader.readexactly(5)
    writer.write(b"HTTP/1.1 201 Created\r\ncontent-length: 5\r\nx-a: b\r\n\r\n" + body)
    await writer.drain()


def post(body: bytes = b"hello") -> Request:
    headers = (("host", "khata"), ("content-length", str(len(body))))
    return Request("POST", "/lines", headers, bytes_body(body))


async def run(address: Address, request: Request) -> tuple[int, bytes]:
    async with open_upstream(address) as client, client.run(request) as response:
        return response.status, b"".join([c async for c in response.body])


async def test_response_is_returned_complete() -> None:
    async with tcp_server(echoes_body) as address:
        assert await run(address, post()) == (201, b"hello")


async def test_refused_connection_means_not_run() -> None:
    async with tcp_server(closes_without_response) as address:
        pass
    with pytest.raises(NotRunError) as caught:
        await run(address, post())
    assert caught.value.step == "connect to upstream"
    assert caught.value.peer == str(address)


@pytest.mark.parametrize("serve", [closes_without_response, closes_within_response])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_loss_after_the_first_byte_means_unknown_outcome(
    serve: Serve, method: str
) -> None:
    attempts = []

    async def count(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        attempts.append(1)
        await serve(reader, writer)

    async with tcp_server(count) as address:
        request = Request(method, "/") if method == "GET" else post()
        with pytest.raises(OutcomeUnknownError):
            await run(address, request)
    assert len(attempts) == 1, "aiohttp must not retry a request by itself"


async def test_single_failed_health_polls_are_ignored() -> None:
    monitor = UpstreamMonitor(client=None, path="/health")
    states: list[UpstreamState] = []
    monitor.changes.subscribe(states.append)
    for state in ("down", "ok", "down", "down", "ok", "down", "down", "down", "ok"):
        monitor._observe(UpstreamState(state))
    assert states == [UpstreamState.OK, UpstreamState.DOWN, UpstreamState.OK]


async def test_draining_is_reported_at_once() -> None:
    monitor = UpstreamMonitor(client=None, path="/health")
    monitor._observe(UpstreamState.DRAINING)
    assert monitor.state is UpstreamState.DRAINING
