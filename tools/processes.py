"""Starts child processes, waits until they are ready and stops them."""

import asyncio
import os
import signal
import socket
import sys
from asyncio.subprocess import PIPE, STDOUT, Process
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress

from cranberryhold.addresses import Address
from tools.ports import candidate_ports

LOOPBACK = "127.0.0.1"
_POLL_INTERVAL_S = 0.02
_MAX_LINES = 2000


class ProcessError(Exception):
    """A process exited early or did not become ready in time."""


class RunningProcess:
    """A child process and the last lines of its output.

    :param name: name for error messages.
    """

    def __init__(self, name: str, process: Process) -> None:
        self.name = name
        self.lines: list[str] = []
        self._process = process
        self._reader = asyncio.create_task(self._read())

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal, None while the process runs."""
        return self._process.returncode

    async def wait_for_output(self, text: str, timeout_s: float = 20.0) -> str:
        """Wait for an output line that contains a text, and return the line.

        :raises ProcessError: if the process exits or does not print it in time.
        """
        found: list[str] = []

        def search() -> bool:
            found.extend(line for line in self.lines if text in line)
            return bool(found) or self.exit_code is not None

        with suppress(TimeoutError):
            await until(search, timeout_s)
        if not found:
            last = "\n  ".join(self.lines[-15:])
            raise ProcessError(f"{self.name} did not print {text!r}:\n  {last}")
        return found[0]

    def write_line(self, line: str) -> None:
        """Write a line to the standard input of the process."""
        self._process.stdin.write(line.encode() + b"\n")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        with suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def wait_ended(self, timeout_s: float = 20.0) -> int:
        """Wait for the exit and return its code; kill the process after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self._process.wait()
        await self._reader
        return self._process.returncode

    async def _read(self) -> None:
        async for line in self._process.stdout:
            self.lines.append(line.decode(errors="replace").rstrip())
            del self.lines[:-_MAX_LINES]


class ProcessManager:
    """Starts and stops processes; created by :func:`process_manager`."""

    def __init__(self) -> None:
        self._processes: list[RunningProcess] = []

    @property
    def running(self) -> list[RunningProcess]:
        """The processes that have not exited, in start order."""
        return [p for p in self._processes if p.exit_code is None]

    async def start(
        self, name: str, *arguments: str, environment: dict[str, str] | None = None
    ) -> RunningProcess:
        """Start ``python -m`` with these arguments.

        :param environment: variables added to the inherited environment.
        """
        return await self.start_command(
            name, sys.executable, "-m", *arguments, environment=environment
        )

    async def start_command(
        self, name: str, *command: str, environment: dict[str, str] | None = None
    ) -> RunningProcess:
        """Start a program with its arguments.

        :param environment: variables added to the inherited environment.
        """
        process = await asyncio.create_subprocess_exec(
            *command,
            stdin=PIPE,
            stdout=PIPE,
            stderr=STDOUT,
            env=os.environ | {"PYTHONUNBUFFERED": "1"} | (environment or {}),
        )
        self._processes.append(RunningProcess(name, process))
        return self._processes[-1]

    async def run(
        self, name: str, *arguments: str, environment: dict[str, str] | None = None
    ) -> RunningProcess:
        """Start ``python -m`` with these arguments and wait until it exits."""
        process = await self.start(name, *arguments, environment=environment)
        await process.wait_ended()
        return process

    async def stop(self, *, timeout_s: float = 20.0) -> dict[str, int]:
        """Terminate all running processes and return their exit codes by name."""
        stopping = self.running
        for process in stopping:
            process.signal(signal.SIGTERM)
        codes = await asyncio.gather(*(p.wait_ended(timeout_s) for p in stopping))
        return {p.name: code for p, code in zip(stopping, codes, strict=True)}


@asynccontextmanager
async def process_manager() -> AsyncIterator[ProcessManager]:
    """Yield a process manager; its processes are stopped when the context ends."""
    manager = ProcessManager()
    try:
        yield manager
    finally:
        await manager.stop(timeout_s=1.0)


async def until(condition: Callable[[], object], timeout_s: float = 10.0) -> None:
    """Poll until the condition is true.

    :raises TimeoutError: if it is still false after the timeout.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 - state of other processes
            await asyncio.sleep(_POLL_INTERVAL_S)


def free_addresses(count: int, ip: str = LOOPBACK) -> list[Address]:
    """Return addresses whose ports are currently free for both UDP and TCP."""
    sockets: list[socket.socket] = []
    addresses: list[Address] = []
    try:
        for port in candidate_ports():
            if len(addresses) == count:
                break
            datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sockets += [datagram, stream]
            with suppress(OSError):
                datagram.bind((ip, port))
                stream.bind((ip, port))
                addresses.append(Address(ip, port))
    finally:
        for sock in sockets:
            sock.close()
    return addresses
