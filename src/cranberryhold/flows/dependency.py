"""Log of a dependency that is lost and regained, one line each."""

from collections.abc import Callable

from cranberryhold.flows.telemetry import Telemetry


class Dependency:
    """Whether something that the process relies on answers.

    :param name: name in the log.
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

    def failed(self, reason: object) -> None:
        """Take note that it did not answer."""
        self._telemetry.count(f"{self._name}_failures")
        if self._lost_at is None:
            self._lost_at = self._monotonic()
            self._telemetry.event(
                "dependency-lost", level="WARNING", name=self._name, reason=reason
            )

    def answered(self) -> None:
        """Take note that it answered."""
        if self._lost_at is not None:
            seconds = self._monotonic() - self._lost_at
            self._lost_at = None
            self._telemetry.event(
                "dependency-regained", name=self._name, after_s=round(seconds, 3)
            )
