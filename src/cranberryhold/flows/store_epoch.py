"""Recognizes that the store was restored from an older copy of its data."""

from __future__ import annotations

from cranberryhold.flows.telemetry import Telemetry

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable


class EpochTracker:
    """The newest epoch of the store that a response has shown.

    :param telemetry: log and counters.
    :param on_new_epoch: called at each epoch that is newer than those seen before, and
        at the first one, which may have begun only just before.
    """

    def __init__(self, telemetry: Telemetry, on_new_epoch: Callable[[], None]) -> None:
        self._telemetry = telemetry
        self._on_new_epoch = on_new_epoch
        self._newest: int | None = None

    def trust(self, epoch: int) -> None:
        """Record an epoch in which what the store had lost is known to be back."""
        self._newest = epoch
        self._telemetry.event("store-epoch", epoch=epoch, trusted=True)

    def record(self, epoch: int) -> None:
        """Record the epoch of a response; a late response may be of an older one."""
        previous = self._newest
        if previous is not None and epoch <= previous:
            return
        self._newest = epoch
        if previous is None:
            self._telemetry.event("store-epoch", epoch=epoch, trusted=False)
        else:
            self._telemetry.count("store_restores")
            self._telemetry.event(
                "store-restored", level="WARNING", epoch=epoch, previous=previous
            )
        self._on_new_epoch()
