"""Counters, gauges and timings, sent to statsd over UDP in batches."""

import asyncio
import re
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import asynccontextmanager
from typing import Protocol

from statsd import StatsClient

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock

FLUSH_INTERVAL_S = 10.0
"""Seconds between batches; statsd's own default flush interval."""

MAX_DATAGRAM_BYTES = 1400
MAX_TIMINGS_PER_INTERVAL = 1000
"""Timings kept per interval; further ones are only counted, to bound memory."""

_INVALID_NAME_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]+")


class Metrics(Protocol):
    """Receiver of measured values; cheap enough to call for each request."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; the last value in an interval is sent."""

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds; it is sent in milliseconds."""


class NoMetrics:
    """Discards all values, for use without a statsd daemon."""

    def count(self, name: str, by: int = 1) -> None:
        """Ignore a count."""

    def gauge(self, name: str, value: float) -> None:
        """Ignore a gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Ignore a duration."""


class StatsdMetrics:
    """Collects values and sends them on :meth:`flush`.

    Between flushes counters are summed and gauges overwritten, so that the bytes sent
    don't grow with the traffic.

    :param address: address of the statsd daemon.
    :param prefix: prefix of all metric names.
    """

    def __init__(self, address: Address, prefix: str) -> None:
        self._client = StatsClient(
            address.ip, address.port, prefix=prefix, maxudpsize=MAX_DATAGRAM_BYTES
        )
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        if len(self._timings) < MAX_TIMINGS_PER_INTERVAL:
            self._timings.append((name, seconds))
        else:
            self._counts["metrics.timings_left_out"] += 1

    def flush(self) -> None:
        """Send the collected values; a datagram that can't be sent is lost."""
        with self._client.pipeline() as batch:
            for name, total in self._counts.items():
                batch.incr(name, total)
            for name, value in self._gauges.items():
                batch.gauge(name, value)
            for name, seconds in self._timings:
                batch.timing(name, seconds * 1000)
        self._counts.clear()
        self._gauges.clear()
        self._timings.clear()

    def close(self) -> None:
        """Send the remaining values and close the socket."""
        self.flush()
        self._client.close()


@asynccontextmanager
async def sending_metrics(
    address: Address | None,
    node_id: str,
    clock: Clock,
    state: Callable[[], Mapping[str, object]] = dict,
) -> AsyncIterator[Metrics]:
    """Yield the metrics of a process; send them every 10 s inside the context.

    :param address: address of the statsd daemon; None sends nothing.
    :param node_id: name of the instance, which is part of each metric's name.
    :param state: returns the state of the dump, whose numbers are sent as gauges.
    """
    if address is None:
        yield NoMetrics()
        return
    prefix = f"cranberryhold.{_INVALID_NAME_CHARACTERS.sub('_', node_id)}"
    metrics = StatsdMetrics(address, prefix)
    task = asyncio.create_task(_flush_periodically(metrics, clock, state))
    try:
        yield metrics
    finally:
        task.cancel()
        metrics.close()


async def _flush_periodically(
    metrics: StatsdMetrics, clock: Clock, state: Callable[[], Mapping[str, object]]
) -> None:
    while True:
        await clock.sleep(FLUSH_INTERVAL_S)
        for name, value in flatten_numbers(state()):
            metrics.gauge(name, value)
        metrics.flush()


def flatten_numbers(
    state: Mapping[str, object], prefix: str = ""
) -> Iterator[tuple[str, float]]:
    """Yield the dotted name and value of each number in a state, except in lists."""
    for key, value in state.items():
        name = prefix + _INVALID_NAME_CHARACTERS.sub("_", str(key))
        if isinstance(value, Mapping):
            yield from flatten_numbers(value, f"{name}.")
        elif isinstance(value, int | float):
            yield name, float(value)
