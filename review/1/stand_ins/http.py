"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

Reply = tuple[int, bytes, dict[str, str]]
Handler = Callable[[str, str, bytes], Awaitable[Reply | None]]


async def serve(ip: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests; the handler returns None for a request without a response."""

    async def connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    method, target, _ = head.split("\r\n")[0].split(" ")
                    body = await reader.readexactly(_content_length(head))
                    reply = await handler(method, target, body)
                    if reply is None:
                        # The connection returns nothing further.
                        await reader.read()
                        break
                    writer.write(_encode(*reply))
                    await writer.drain()
        finally:
            writer.close()

    return await asyncio.start_server(connection, ip, port)


async def call(
    ip: str, port: int, method: str, target: str, body: bytes, timeout_s: float
) -> int | None:
    """Send a request; return the status, or None without a response in time."""
    with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(
                    f"{method} {target} HTTP/1.1\r\nHost: {ip}:{port}\r\n"
                    "Content-Type: application/json\r\nConnection: close\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                await reader.readexactly(_content_length(head))
                return int(head.split(" ")[1])
            finally:
                writer.close()
    return None


def _content_length(head: str) -> int:
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            return int(value)
    return 0


def _encode(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    lines = [
        f"HTTP/1.1 {status} X",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
