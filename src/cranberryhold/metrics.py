"""Metrics: counters, gauges and timers, sent to statsd over UDP in batches."""

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
"""Seconds between batches, as statsd flushes by default."""

MAX_DATAGRAM_BYTES = 1400
MAX_TIMINGS_PER_INTERVAL = 1000
"""Timings kept per interval; more are counted and left out, to bound memory."""

_UNUSABLE = re.compile(r"[^A-Za-z0-9_-]+")


class Metrics(Protocol):
    """Takes measured values; cheap enough to call for each request."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; the last value of an interval is sent."""

    def timing(self, name: str, seconds: float) -> None:
        """Add one duration in seconds; it is sent in milliseconds."""


class NoMetrics:
    """Takes values and sends nothing, where no statsd is set."""

    def count(self, name: str, by: int = 1) -> None:
        """Ignore a count."""

    def gauge(self, name: str, value: float) -> None:
        """Ignore a gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Ignore a duration."""


class StatsdMetrics:
    """Gathers values and sends them on :meth:`flush`.

    Counters are summed and gauges overwritten in between, so that the bytes sent
    don't grow with the traffic.

    :param address: the statsd daemon.
    :param prefix: first part of all names.
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
        """Add one duration."""
        if len(self._timings) < MAX_TIMINGS_PER_INTERVAL:
            self._timings.append((name, seconds))
        else:
            self._counts["metrics.timings_left_out"] += 1

    def flush(self) -> None:
        """Send what was gathered; a datagram that can't be sent is lost."""
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
        """Send the rest and close the socket."""
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

    :param address: the statsd daemon; None sends nothing.
    :param node_id: name of the instance, a part of each metric's name.
    :param state: the state for the dump, whose numbers are sent as gauges.
    """
    if address is None:
        yield NoMetrics()
        return
    prefix = f"cranberryhold.{_UNUSABLE.sub('_', node_id)}"
    metrics = StatsdMetrics(address, prefix)
    task = asyncio.create_task(_send_regularly(metrics, clock, state))
    try:
        yield metrics
    finally:
        task.cancel()
        metrics.close()


async def _send_regularly(
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
    """Yield dotted name and value of each number in a state, lists left out."""
    for key, value in state.items():
        name = prefix + _UNUSABLE.sub("_", str(key))
        if isinstance(value, Mapping):
            yield from flatten_numbers(value, f"{name}.")
        elif isinstance(value, int | float):
            yield name, float(value)
