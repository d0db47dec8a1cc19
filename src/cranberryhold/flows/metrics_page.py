"""The metrics of a flow daemon in the Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping

from cranberryhold.flows.telemetry import Telemetry

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_PREFIX = "cranberryhold_"


class _Collector:
    def __init__(self, telemetry: Telemetry, gauges: Mapping[str, float]) -> None:
        self._telemetry = telemetry
        self._gauges = gauges

    def collect(self) -> Iterable[object]:
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, total in sorted(self._telemetry.counts.items()):
            yield CounterMetricFamily(_PREFIX + name, f"Number of {name}.", total)
        for name, value in sorted(self._gauges.items()):
            yield GaugeMetricFamily(_PREFIX + name, f"Present {name}.", value)
        for name, histogram in sorted(self._telemetry.histograms.items()):
            yield HistogramMetricFamily(
                _PREFIX + name + "_seconds",
                f"Duration of {name}.",
                buckets=histogram.cumulative(),
                sum_value=histogram.total_s,
            )


def metrics_page(
    telemetry: Telemetry, gauges: Callable[[], Mapping[str, float]]
) -> bytes:
    """Return the metrics page.

    The library is imported on the first call: the import takes a tenth of a second
    of processor time on a small instance, and most processes are never scraped.
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(telemetry, gauges()))
    return generate_latest(registry)
