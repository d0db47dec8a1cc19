"""Load generators of the request benchmark: new flows, and requests.

Each runs as ``python -m tools.bench_load <part> ...``, prints ``event=measuring``
when the warm-up is over and ``event=measured`` with its results as JSON at the end.
"""

import argparse
import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import asdict, dataclass, field, replace

import aiohttp

from cranberryhold.addresses import Address
from cranberryhold.caller import Caller, parse_url
from cranberryhold.client.connection import client_configuration, open_connection
from cranberryhold.exceptions import CranberryholdError
from tools.bench_parts import WARM_UP_S

Operation = Callable[[], Awaitable[float]]
"""Performs one operation and returns its duration in seconds; raises if it failed."""


class UnexpectedStatusError(Exception):
    """A response has a status other than 200."""


_FAILURES = (CranberryholdError, aiohttp.ClientError, UnexpectedStatusError, OSError)
# Keeps lines below the 64 KiB limit of asyncio's stream reader.
_DURATIONS_PER_LINE = 500


@dataclass(slots=True)
class LoadResult:
    """Measurements of one load process.

    :param seconds: length of the measurement.
    :param durations_ms: duration of each operation that completed in this time.
    :param failed: operations that failed in this time.
    :param instance: upstream instance that sent the last response, or empty.
    """

    seconds: float = 0.0
    durations_ms: list[float] = field(default_factory=list)
    failed: int = 0
    instance: str = ""

    def lines(self) -> Iterator[str]:
        """Return the lines to print; :meth:`parse` reads them."""
        for part in _chunks(self.durations_ms):
            yield f"event=durations {json.dumps(part)}"
        summary = asdict(self) | {"durations_ms": []}
        yield f"event=measured {json.dumps(summary)}"

    @classmethod
    def parse(cls, lines: Iterable[str]) -> "LoadResult":
        """Return the result in the output of a load process; skip other lines."""
        durations: list[float] = []
        result = cls()
        for line in lines:
            kind, _, text = line.partition(" ")
            if kind == "event=durations":
                durations += json.loads(text)
            elif kind == "event=measured":
                result = cls(**json.loads(text))
        return replace(result, durations_ms=durations)


def _chunks(values: list[float]) -> Iterator[list[float]]:
    for start in range(0, len(values), _DURATIONS_PER_LINE):
        yield values[start : start + _DURATIONS_PER_LINE]


async def run_load(
    operation: Operation, outstanding: int, seconds: float, max_operations: int
) -> LoadResult:
    """Keep operations outstanding; record those that complete after the warm-up.

    :param max_operations: maximum number of operations, warm-up included.
    """
    remaining = iter(range(max_operations))
    result = LoadResult()
    begin = time.monotonic() + WARM_UP_S
    end = begin + seconds

    async def run_operations() -> None:
        while time.monotonic() < end and next(remaining, None) is not None:
            duration_s = None
            with suppress(*_FAILURES):
                duration_s = await operation()
            now = time.monotonic()
            if not begin <= now < end:
                continue
            if duration_s is None:
                result.failed += 1
            else:
                result.durations_ms.append(duration_s * 1000)

    async def print_measuring() -> None:
        await asyncio.sleep(WARM_UP_S)
        print("event=measuring", flush=True)

    await asyncio.gather(
        print_measuring(), *(run_operations() for _ in range(outstanding))
    )
    # Shorter than requested only if ``max_operations`` was reached.
    result.seconds = max(0.0, min(time.monotonic(), end) - begin)
    return result


async def measure_flows(options: argparse.Namespace) -> LoadResult:
    """Open and close connections; the duration is that of the handshake.

    A flow is complete when CONNECTION_CLOSE is sent. After that the caller only
    discards packets for three probe timeouts (RFC 9000, section 10.2), which is half
    a second under load; the next flow is opened in the meantime.
    """
    host, port = parse_url(options.url)
    configuration = client_configuration(host, insecure=True)
    closing: set[asyncio.Task[None]] = set()

    async def open_and_close(close_sent: asyncio.Event) -> None:
        async with open_connection(Address(host, port), configuration):
            # The context manager sends CONNECTION_CLOSE before it waits.
            close_sent.set()

    async def flow() -> float:
        started, close_sent = time.monotonic(), asyncio.Event()
        close_sent_task = asyncio.create_task(close_sent.wait())
        task = asyncio.create_task(open_and_close(close_sent))
        closing.add(task)
        task.add_done_callback(closing.discard)
        await asyncio.wait((task, close_sent_task), return_when=asyncio.FIRST_COMPLETED)
        if not close_sent.is_set():
            close_sent_task.cancel()
            task.result()
        return time.monotonic() - started

    measured = await run_load(flow, options.outstanding, options.seconds, options.most)
    await asyncio.gather(*closing, return_exceptions=True)
    return measured


async def measure_requests(options: argparse.Namespace) -> LoadResult:
    """Send requests on one open connection to the service."""
    last_body: list[bytes] = [b""]
    async with Caller.connect(options.url, insecure=True) as caller:

        async def request() -> float:
            started = time.monotonic()
            response = await caller.request("GET", "/")
            if response.status != 200:
                raise UnexpectedStatusError(response.status)
            last_body[0] = response.body
            return time.monotonic() - started

        return await _measure_requests(request, last_body, options)


async def measure_direct(options: argparse.Namespace) -> LoadResult:
    """Send requests to an upstream over persistent HTTP/1.1 connections."""
    last_body: list[bytes] = [b""]
    connector = aiohttp.TCPConnector(limit=options.outstanding)
    async with aiohttp.ClientSession(options.url, connector=connector) as session:

        async def request() -> float:
            started = time.monotonic()
            async with session.get("/") as response:
                last_body[0] = await response.read()
                if response.status != 200:
                    raise UnexpectedStatusError(response.status)
            return time.monotonic() - started

        return await _measure_requests(request, last_body, options)


async def _measure_requests(
    request: Operation, last_body: list[bytes], options: argparse.Namespace
) -> LoadResult:
    result = await run_load(request, options.outstanding, options.seconds, options.most)
    if result.durations_ms:
        result.instance = json.loads(last_body[0])["instance"]
    return result


def main() -> None:
    """Run one kind of load to its end."""
    parts = {
        "flows": measure_flows,
        "requests": measure_requests,
        "direct": measure_direct,
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=parts)
    parser.add_argument("--url", required=True)
    parser.add_argument("--outstanding", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--most", type=int, default=20_000)
    options = parser.parse_args()
    result = asyncio.run(parts[options.part](options))
    print("\n".join(result.lines()), flush=True)
    # Stay alive until a line arrives, so that the processor time can still be read.
    sys.stdin.readline()


if __name__ == "__main__":
    main()
