"""Starts real processes, awaits their readiness and stops those it started."""

import asyncio
import os
import signal
import socket
import sys
from asyncio.subprocess import PIPE, STDOUT, Process
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress

from cranberryhold.addresses import Address

LOOPBACK = "127.0.0.1"
_POLL_S = 0.02
_KEPT_LINES = 2000


class ProcessError(Exception):
    """A process ended early or did not become ready."""


class RunningProcess:
    """A process that this program started, and what it has printed.

    :param name: name for messages.
    """

    def __init__(self, name: str, process: Process) -> None:
        self.name = name
        self.lines: list[str] = []
        self._process = process
        self._reading = asyncio.create_task(self._read())

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal, or None while it runs."""
        return self._process.returncode

    async def wait_for_output(self, text: str, limit_s: float = 20.0) -> str:
        """Wait for a line that contains a text, and return it.

        :raises ProcessError: if the process ends or takes longer.
        """
        found: list[str] = []

        def search() -> bool:
            found.extend(line for line in self.lines if text in line)
            return bool(found) or self.exit_code is not None

        with suppress(TimeoutError):
            await until(search, limit_s)
        if not found:
            last = "\n  ".join(self.lines[-15:])
            raise ProcessError(f"{self.name} did not print {text!r}:\n  {last}")
        return found[0]

    def write_line(self, line: str) -> None:
        """Write a line to its standard input."""
        self._process.stdin.write(line.encode() + b"\n")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; nothing happens if it has ended."""
        with suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def wait_ended(self, limit_s: float = 20.0) -> int:
        """Wait for its end and return the exit code; kill it after the limit."""
        try:
            async with asyncio.timeout(limit_s):
                await self._process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self._process.wait()
        await self._reading
        return self._process.returncode

    async def _read(self) -> None:
        async for line in self._process.stdout:
            self.lines.append(line.decode(errors="replace").rstrip())
            del self.lines[:-_KEPT_LINES]


class ProcessManager:
    """The processes that were started; made by :func:`process_manager`."""

    def __init__(self) -> None:
        self._all: list[RunningProcess] = []

    @property
    def running(self) -> list[RunningProcess]:
        """Those that have not ended, in the order of their start."""
        return [p for p in self._all if p.exit_code is None]

    async def start(
        self, name: str, *arguments: str, environment: dict[str, str] | None = None
    ) -> RunningProcess:
        """Start ``python -m`` with these arguments.

        :param environment: additions to the own environment.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            stdin=PIPE,
            stdout=PIPE,
            stderr=STDOUT,
            env=os.environ | {"PYTHONUNBUFFERED": "1"} | (environment or {}),
        )
        self._all.append(RunningProcess(name, process))
        return self._all[-1]

    async def run(
        self, name: str, *arguments: str, environment: dict[str, str] | None = None
    ) -> RunningProcess:
        """Start a command and wait for its end."""
        process = await self.start(name, *arguments, environment=environment)
        await process.wait_ended()
        return process

    async def stop(self, *, limit_s: float = 20.0) -> dict[str, int]:
        """Ask all that run to stop and return their exit codes by name."""
        stopping = self.running
        for process in stopping:
            process.signal(signal.SIGTERM)
        codes = await asyncio.gather(*(p.wait_ended(limit_s) for p in stopping))
        return {p.name: code for p, code in zip(stopping, codes, strict=True)}


@asynccontextmanager
async def process_manager() -> AsyncIterator[ProcessManager]:
    """Yield a place to start processes from; all are ended at the end."""
    started = ProcessManager()
    try:
        yield started
    finally:
        await started.stop(limit_s=1.0)


async def until(condition: Callable[[], object], limit_s: float = 10.0) -> None:
    """Wait until a condition holds; TimeoutError after the limit."""
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110 - conditions of other processes
            await asyncio.sleep(_POLL_S)


def free_addresses(count: int, ip: str = LOOPBACK) -> list[Address]:
    """Return addresses whose ports were free just now, for UDP and for TCP."""
    held: list[socket.socket] = []
    addresses: list[Address] = []
    try:
        while len(addresses) < count:
            datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            held += [datagram, stream]
            datagram.bind((ip, 0))
            port = datagram.getsockname()[1]
            with suppress(OSError):
                stream.bind((ip, port))
                addresses.append(Address(ip, port))
    finally:
        for sock in held:
            sock.close()
    return addresses
