"""The metrics of a flow daemon in the Prometheus text format.

The format is version 0.0.4 of
https://prometheus.io/docs/instrumenting/exposition_formats/. The client library is
not used for it: importing it takes a tenth of a second of processor time, during which
a small instance would forward no packets, and needs the ssl module.
"""

from collections.abc import Callable, Iterator, Mapping

from cranberryhold.flows.telemetry import Histogram, Telemetry

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_PREFIX = "cranberryhold_"


def metrics_page(
    telemetry: Telemetry, gauges: Callable[[], Mapping[str, float]]
) -> bytes:
    """Return the metrics page.

    Names contain only letters, digits and underscores, so nothing needs escaping.
    """
    lines: list[str] = []
    for name, total in sorted(telemetry.counts.items()):
        lines += _counter_lines(_PREFIX + name, name, total)
    for name, value in sorted(gauges().items()):
        lines += _gauge_lines(_PREFIX + name, name, value)
    for name, histogram in sorted(telemetry.histograms.items()):
        lines += _histogram_lines(f"{_PREFIX}{name}_seconds", name, histogram)
    return "".join(f"{line}\n" for line in lines).encode()


def _counter_lines(metric: str, name: str, total: int) -> Iterator[str]:
    yield f"# HELP {metric}_total Number of {name}."
    yield f"# TYPE {metric}_total counter"
    yield f"{metric}_total {float(total)}"


def _gauge_lines(metric: str, name: str, value: float) -> Iterator[str]:
    yield f"# HELP {metric} Present {name}."
    yield f"# TYPE {metric} gauge"
    yield f"{metric} {_number(value)}"


def _histogram_lines(metric: str, name: str, histogram: Histogram) -> Iterator[str]:
    yield f"# HELP {metric} Duration of {name}."
    yield f"# TYPE {metric} histogram"
    rows = histogram.cumulative()
    for bound, count in rows:
        yield f'{metric}_bucket{{le="{bound}"}} {float(count)}'
    yield f"{metric}_count {float(rows[-1][1])}"
    yield f"{metric}_sum {histogram.total_s}"


def _number(value: float) -> str:
    """Format a number; the format spells infinity ``+Inf``, unlike Python."""
    return "+Inf" if value == float("inf") else str(float(value))
