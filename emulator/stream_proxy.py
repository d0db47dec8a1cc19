"""A TCP proxy on loopback that delays, holds back, resets and refuses."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

from cranberryhold.addresses import Address

READ_BYTES = 64 * 1024


@dataclass
class StreamFaults:
    """What happens to connections.

    :ivar delay_s: extra delay of each piece, in both directions.
    :ivar holds_requests: whether bytes of clients are held back.
    :ivar holds_answers: whether bytes of the server are held back.
    :ivar refuses: whether new connections are reset.
    """

    delay_s: float = 0.0
    holds_requests: bool = False
    holds_answers: bool = False
    refuses: bool = False


class StreamProxy:
    """Connects clients with one server.

    :param listen: where clients connect.
    :param server: where it connects to.
    """

    def __init__(self, listen: Address, server: Address) -> None:
        self.faults = StreamFaults()
        self._listen = listen
        self._server = server
        self._writers: set[asyncio.StreamWriter] = set()
        self._released = asyncio.Event()

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Serve inside the context."""
        server = await asyncio.start_server(
            self._connect, self._listen.ip, self._listen.port
        )
        try:
            yield
        finally:
            server.close()
            self.reset_all()

    def release(self) -> None:
        """End all faults; bytes that were held back go on."""
        self.faults = StreamFaults()
        self._released.set()
        self._released = asyncio.Event()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuses:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._server.ip, self._server.port
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pass_on(reader, far_writer, is_request=True))
                tasks.create_task(self._pass_on(far_reader, writer, is_request=False))
        finally:
            self._writers -= ends
            for end in ends:
                end.transport.abort()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                while self._holds(is_request):
                    await self._released.wait()
                writer.write(data)
                await writer.drain()
        writer.close()

    def _holds(self, is_request: bool) -> bool:
        faults = self.faults
        return faults.holds_requests if is_request else faults.holds_answers
