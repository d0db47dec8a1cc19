"""Recognizes that the store was restored from an older copy of its data."""

from collections.abc import Callable

from cranberryhold.flows.telemetry import Telemetry


class EpochTracker:
    """The newest epoch of the store that a response has shown.

    :param telemetry: log and counters.
    :param on_new_epoch: called with each epoch that is newer than those seen before.
    """

    def __init__(
        self, telemetry: Telemetry, on_new_epoch: Callable[[int], None]
    ) -> None:
        self._telemetry = telemetry
        self._on_new_epoch = on_new_epoch
        self._newest: int | None = None

    def record(self, epoch: int) -> None:
        """Record the epoch of a response; a late response may be of an older one."""
        previous = self._newest
        if previous is not None and epoch <= previous:
            return
        self._newest = epoch
        if previous is None:
            self._telemetry.event("store-epoch", epoch=epoch)
        else:
            self._telemetry.count("store_restores")
            self._telemetry.event(
                "store-restored", level="WARNING", epoch=epoch, previous=previous
            )
        self._on_new_epoch(epoch)
