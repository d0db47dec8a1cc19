"""Logs when a dependency becomes unavailable and when it recovers."""

from collections.abc import Callable

from cranberryhold.flows.telemetry import Telemetry


class Dependency:
    """Tracks the availability of a service that the process depends on.

    :param name: name in the log and the metrics.
    :param telemetry: log and counters.
    :param monotonic: clock in seconds.
    """

    def __init__(
        self, name: str, telemetry: Telemetry, monotonic: Callable[[], float]
    ) -> None:
        self._name = name
        self._telemetry = telemetry
        self._monotonic = monotonic
        self._lost_at: float | None = None
        # Failures since the last success.
        self._failures = 0

    def record_failure(self, reason: object) -> None:
        """Count a failure, and log the first one since the last success."""
        self._telemetry.count(f"{self._name}_failures")
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = self._monotonic()
            self._telemetry.event(
                "dependency-lost", level="WARNING", name=self._name, reason=reason
            )

    def record_success(self) -> None:
        """Log the recovery if the dependency was unavailable."""
        if self._lost_at is not None:
            seconds = self._monotonic() - self._lost_at
            self._telemetry.event(
                "dependency-regained",
                name=self._name,
                after_s=round(seconds, 3),
                failures=self._failures,
            )
            self._lost_at = None
            self._failures = 0
