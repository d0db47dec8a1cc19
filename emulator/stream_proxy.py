"""TCP proxy that delays or holds back data and resets or refuses connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

from cranberryhold.addresses import Address

MAX_CHUNK_BYTES = 64 * 1024


@dataclass
class StreamFaults:
    """Faults of the proxied connections.

    :ivar delay_s: extra delay of each chunk, in both directions.
    :ivar hold_requests: whether data from clients is held back.
    :ivar hold_responses: whether data from the server is held back.
    :ivar refuse_connections: whether new connections are reset.
    """

    delay_s: float = 0.0
    hold_requests: bool = False
    hold_responses: bool = False
    refuse_connections: bool = False


class StreamProxy:
    """Relays connections from clients to one server.

    :param listen: address that clients connect to.
    :param server: address that connections are relayed to.
    """

    def __init__(self, listen: Address, server: Address) -> None:
        self.faults = StreamFaults()
        self._listen = listen
        self._server = server
        self._writers: set[asyncio.StreamWriter] = set()
        self._faults_cleared = asyncio.Event()

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Accept connections until the context ends."""
        server = await asyncio.start_server(
            self._relay_connection, self._listen.ip, self._listen.port
        )
        try:
            yield
        finally:
            server.close()
            self.reset_connections()

    def clear_faults(self) -> None:
        """Clear all faults and relay the data that was held back."""
        self.faults = StreamFaults()
        self._faults_cleared.set()
        self._faults_cleared = asyncio.Event()

    def reset_connections(self) -> None:
        """Reset all open connections, on both sides."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse_connections:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self._server.ip, self._server.port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, server_writer}
        self._writers |= writers
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._relay(reader, server_writer, is_request=True))
                tasks.create_task(self._relay(server_reader, writer, is_request=False))
        finally:
            self._writers -= writers
            for open_writer in writers:
                open_writer.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(MAX_CHUNK_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                while self._is_held(is_request):
                    await self._faults_cleared.wait()
                writer.write(chunk)
                await writer.drain()
        writer.close()

    def _is_held(self, is_request: bool) -> bool:
        faults = self.faults
        return faults.hold_requests if is_request else faults.hold_responses
