"""Structured log lines and counters of a process, both bounded under load.

Lines have the format that :mod:`cranberryhold.logs` documents. They are written
without loguru, because importing it takes a sixth of a flow daemon's start-up time.
"""

from __future__ import annotations

import time

from cranberryhold.flows.segments import format_flow_key
from cranberryhold.logfmt import format_logfmt
from cranberryhold.operating_system import set_blocking, write
from cranberryhold.pacing import TokenBucket

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol
else:
    Protocol = object

# Rate limit for each kind of flow event: sustained lines per second, and burst size.
FLOW_EVENTS_PER_S = 10.0
FLOW_EVENT_BURST = 40.0
# Upper bounds of the latency buckets in seconds.
LATENCY_BUCKETS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0)


class Histogram:
    """Counts of durations in fixed buckets.

    :param bounds: upper bound of each bucket in seconds, ascending.
    """

    def __init__(self, bounds: tuple[float, ...] = LATENCY_BUCKETS_S) -> None:
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self._sum = 0.0

    @property
    def total_s(self) -> float:
        """Sum of all durations in seconds."""
        return self._sum

    def observe(self, seconds: float) -> None:
        """Add a duration."""
        self._sum += seconds
        for index, bound in enumerate(self._bounds):
            if seconds <= bound:
                self._counts[index] += 1
                return
        self._counts[-1] += 1

    def cumulative(self) -> list[tuple[str, int]]:
        """Return the upper bound and the cumulative count of each bucket."""
        total = 0
        rows = []
        for bound, count in zip(
            [*map(str, self._bounds), "+Inf"], self._counts, strict=True
        ):
            total += count
            rows.append((bound, total))
        return rows


class Counts(dict[str, int]):
    """Counters by name; those that were never counted are 0."""

    def __missing__(self, name: str) -> int:
        return 0


class _RateLimit:
    """Limits the log lines of one kind of event."""

    def __init__(self, now: float) -> None:
        self._bucket = TokenBucket(FLOW_EVENT_BURST)
        self._updated_at = now
        self.suppressed = 0

    def allow(self, now: float) -> bool:
        self._bucket.add((now - self._updated_at) * FLOW_EVENTS_PER_S)
        self._updated_at = now
        if self._bucket.take():
            return True
        self.suppressed += 1
        return False


class LogOutput(Protocol):
    """A destination of log lines."""

    @property
    def dropped(self) -> int:
        """Lines that could not be written since the start."""

    def write(self, line: str) -> None:
        """Write one line that ends with a line feed, without blocking."""


class Telemetry:
    """Log and counters of one process.

    :param node: name of the instance, which each line contains.
    :param output: destination of the log lines.
    :param monotonic: clock for the rate limits, in seconds.
    """

    def __init__(
        self, node: str, output: LogOutput, monotonic: Callable[[], float]
    ) -> None:
        self._node = node
        self._output = output
        self._monotonic = monotonic
        self._rate_limits: dict[str, _RateLimit] = {}
        self._counts = Counts()
        self._histograms: dict[str, Histogram] = {}

    @property
    def lines_dropped(self) -> int:
        """Log lines that could not be written since the start."""
        return self._output.dropped

    @property
    def output(self) -> LogOutput:
        """Destination of the log lines."""
        return self._output

    @property
    def counts(self) -> Counts:
        """Counters by name."""
        return self._counts

    @property
    def histograms(self) -> dict[str, Histogram]:
        """Latency histograms by name."""
        return self._histograms

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += by

    def observe(
        self, name: str, seconds: float, bounds: tuple[float, ...] = LATENCY_BUCKETS_S
    ) -> None:
        """Add a duration to a histogram.

        :param bounds: upper bounds of its buckets, used by the first call for a name.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram(bounds)
        histogram.observe(seconds)

    def event(self, event: str, /, *, level: str = "INFO", **fields: object) -> None:
        """Log an event without a rate limit; for events that are rare by nature."""
        self._write(level, event, fields)

    def flow_event(
        self,
        event: str,
        flow: bytes | None = None,
        /,
        *,
        level: str = "INFO",
        **fields: object,
    ) -> None:
        """Log an event that traffic can trigger, within the rate limit of its kind.

        :param flow: key of the flow that the event concerns, if any.
        """
        now = self._monotonic()
        rate_limit = self._rate_limits.get(event)
        if rate_limit is None:
            rate_limit = self._rate_limits[event] = _RateLimit(now)
        if not rate_limit.allow(now):
            self._counts["log_lines_suppressed"] += 1
            return
        if rate_limit.suppressed:
            fields["suppressed"] = rate_limit.suppressed
            rate_limit.suppressed = 0
        if flow is not None:
            fields = {"flow": format_flow_key(flow), **fields}
        self._write(level, event, fields)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        now = time.time()
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now))
        head = {
            "time": f"{seconds}.{int(now % 1 * 1000):03}Z",
            "level": level.lower(),
            "node": self._node,
            "event": event,
        }
        self._output.write(format_logfmt({**head, **fields}) + "\n")


class NonBlockingOutput:
    """Writes lines to a file descriptor, and drops them rather than block.

    :param descriptor: file descriptor, which is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._dropped = 0
        set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines that could not be written since the start."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write one line, or count it as dropped."""
        try:
            write(self._descriptor, line.encode(errors="replace"))
        except OSError:
            # The failure can't be logged to the output that has just failed; the
            # metrics report the count.
            self._dropped += 1
