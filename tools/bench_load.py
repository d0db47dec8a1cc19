"""Load processes of the request benchmark: new flows, and requests.

Each runs as ``python -m tools.bench_load <part> ...``, prints ``event=measuring``
when the warm-up is over and ``event=measured`` with its figures as JSON at the end.
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
from cranberryhold.exceptions import CranberryholdError
from cranberryhold.h3_client import client_configuration, open_connection
from tools.bench_parts import WARM_UP_S

Operation = Callable[[], Awaitable[float]]
"""Does one thing and returns the seconds to record; raises if it failed."""


class UnexpectedStatusError(Exception):
    """An answer has another status than 200."""


_FAILURES = (CranberryholdError, aiohttp.ClientError, UnexpectedStatusError, OSError)
# Lines stay below the 64 KiB that a reader of asyncio streams accepts.
_DURATIONS_PER_LINE = 500


@dataclass(slots=True)
class Measured:
    """What one load process measured.

    :param seconds: length of the measurement.
    :param durations_ms: duration of each operation that completed in it.
    :param failed: operations that failed in it.
    :param instance: upstream instance that answered last, or empty.
    """

    seconds: float = 0.0
    durations_ms: list[float] = field(default_factory=list)
    failed: int = 0
    instance: str = ""

    def lines(self) -> Iterator[str]:
        """Return the lines to print; :meth:`read` takes them."""
        for part in _parts(self.durations_ms):
            yield f"event=durations {json.dumps(part)}"
        figures = asdict(self) | {"durations_ms": []}
        yield f"event=measured {json.dumps(figures)}"

    @classmethod
    def read(cls, lines: Iterable[str]) -> "Measured":
        """Return what a load process has printed; other lines are skipped."""
        durations: list[float] = []
        result = cls()
        for line in lines:
            kind, _, text = line.partition(" ")
            if kind == "event=durations":
                durations += json.loads(text)
            elif kind == "event=measured":
                result = cls(**json.loads(text))
        return replace(result, durations_ms=durations)


def _parts(values: list[float]) -> Iterator[list[float]]:
    for start in range(0, len(values), _DURATIONS_PER_LINE):
        yield values[start : start + _DURATIONS_PER_LINE]


async def drive(
    operation: Operation, outstanding: int, seconds: float, most: int
) -> Measured:
    """Keep operations outstanding; record those that complete after the warm-up.

    :param most: operations to start at the most, warm-up included.
    """
    numbers = iter(range(most))
    measured = Measured()
    begin = time.monotonic() + WARM_UP_S
    end = begin + seconds

    async def work() -> None:
        while time.monotonic() < end and next(numbers, None) is not None:
            duration_s = None
            with suppress(*_FAILURES):
                duration_s = await operation()
            now = time.monotonic()
            if not begin <= now < end:
                continue
            if duration_s is None:
                measured.failed += 1
            else:
                measured.durations_ms.append(duration_s * 1000)

    async def announce() -> None:
        await asyncio.sleep(WARM_UP_S)
        print("event=measuring", flush=True)

    await asyncio.gather(announce(), *(work() for _ in range(outstanding)))
    # Shorter than asked for only if the limit on the count was reached.
    measured.seconds = max(0.0, min(time.monotonic(), end) - begin)
    return measured


async def flows(options: argparse.Namespace) -> Measured:
    """Open and close connections; the duration is that of the opening.

    A flow is complete when CONNECTION_CLOSE is sent. The caller's side then only
    discards packets for three probe time-outs (RFC 9000, section 10.2), half a second
    under load, in which the next flow is opened.
    """
    host, port = parse_url(options.url)
    configuration = client_configuration(host, insecure=True)
    closing: set[asyncio.Task[None]] = set()

    async def open_and_close(closed: asyncio.Event) -> None:
        async with open_connection(Address(host, port), configuration):
            # The context sends CONNECTION_CLOSE before it waits for anything.
            closed.set()

    async def flow() -> float:
        started, closed = time.monotonic(), asyncio.Event()
        waiting = asyncio.create_task(closed.wait())
        task = asyncio.create_task(open_and_close(closed))
        closing.add(task)
        task.add_done_callback(closing.discard)
        await asyncio.wait((task, waiting), return_when=asyncio.FIRST_COMPLETED)
        if not closed.is_set():
            waiting.cancel()
            task.result()
        return time.monotonic() - started

    measured = await drive(flow, options.outstanding, options.seconds, options.most)
    await asyncio.gather(*closing, return_exceptions=True)
    return measured


async def requests(options: argparse.Namespace) -> Measured:
    """Send requests on one open connection to the service."""
    answers: list[bytes] = [b""]
    async with Caller.connect(options.url, insecure=True) as caller:

        async def request() -> float:
            started = time.monotonic()
            answer = await caller.request("GET", "/")
            if answer.status != 200:
                raise UnexpectedStatusError(answer.status)
            answers[0] = answer.body
            return time.monotonic() - started

        return await _requests(request, answers, options)


async def direct(options: argparse.Namespace) -> Measured:
    """Send requests to an upstream over HTTP/1.1 connections that stay open."""
    answers: list[bytes] = [b""]
    connector = aiohttp.TCPConnector(limit=options.outstanding)
    async with aiohttp.ClientSession(options.url, connector=connector) as session:

        async def request() -> float:
            started = time.monotonic()
            async with session.get("/") as response:
                answers[0] = await response.read()
                if response.status != 200:
                    raise UnexpectedStatusError(response.status)
            return time.monotonic() - started

        return await _requests(request, answers, options)


async def _requests(
    request: Operation, answers: list[bytes], options: argparse.Namespace
) -> Measured:
    measured = await drive(request, options.outstanding, options.seconds, options.most)
    if measured.durations_ms:
        measured.instance = json.loads(answers[0])["instance"]
    return measured


def main() -> None:
    """Run one kind of load to its end."""
    parts = {"flows": flows, "requests": requests, "direct": direct}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=parts)
    parser.add_argument("--url", required=True)
    parser.add_argument("--outstanding", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--most", type=int, default=20_000)
    options = parser.parse_args()
    measured = asyncio.run(parts[options.part](options))
    print("\n".join(measured.lines()), flush=True)
    # The processor time can be read until the line that ends the process arrives.
    sys.stdin.readline()


if __name__ == "__main__":
    main()
