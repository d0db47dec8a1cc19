"""Follows the evacuations that the operator writes into the store."""

from __future__ import annotations

from cranberryhold.flows.adoption import ConfigurationSource
from cranberryhold.flows.evacuation.tracker import EvacuationTracker
from cranberryhold.flows.leased_store import ReadResult, StorePosition

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable


class StoredEvacuations:
    """What the store held at the last read, with the changes since.

    The existence of a key decides; its value does not matter. The tracker may know a
    newer state from other members, so changes are not applied to that.

    :param source: tells which data centre a key evacuates.
    :param tracker: takes the state.
    """

    def __init__(self, source: ConfigurationSource, tracker: EvacuationTracker) -> None:
        self._source = source
        self._tracker = tracker
        self._zones: frozenset[str] = frozenset()

    @property
    def prefix(self) -> str:
        """Prefix of the keys to read."""
        return self._source.prefix

    def apply_read(
        self, keys: Iterable[str], position: StorePosition, as_of: float
    ) -> None:
        """Apply a read of the store.

        :param keys: all keys with the prefix.
        :param position: position of the store that they were read at.
        :param as_of: monotonic time in seconds of the state that was read.
        """
        self._zones = self._zones_of(keys)
        self._tracker.record_stored(self._zones, position, as_of)

    def apply_changes(self, result: ReadResult, as_of: float) -> None:
        """Apply what has changed since the last read or change.

        :param as_of: monotonic time in seconds of the state with the changes.
        """
        ended = self._zones_of(result.deleted_keys)
        begun = self._zones_of(result.other_keys)
        self._zones = (self._zones - ended) | begun
        self._tracker.record_stored(self._zones, result.position, as_of)

    def _zones_of(self, keys: Iterable[str]) -> frozenset[str]:
        zones = map(self._source.evacuated_zone, keys)
        return frozenset(zone for zone in zones if zone is not None)
