"""Keeps the operator's configuration on an entry instance up to date."""

import asyncio
from collections.abc import Callable
from random import Random

from cranberryhold.exceptions import StoreError
from cranberryhold.flows.adoption import ConfigurationAdopter
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.evacuation.stored import StoredEvacuations
from cranberryhold.flows.leased_store import (
    LeasedStore,
    StoreHistoryLostError,
    StorePosition,
)
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.pacing import Backoff

# Kept of the limit after an outage for a change that a lost response hides: the time
# until the loss is noticed, a short delay, and a read that takes as long as it may.
RETRY_RESERVE_S = 2.4
MIN_WATCH_WAIT_S = 0.25
# Watches that a change has ended at the same time would otherwise stay in step.
WATCH_WAIT_JITTER = 0.2
# Longest delay in seconds after the first failed call, and after any failed call.
BACKOFF_S = (0.15, 1.0)


def watch_wait_s(recovery_s: float) -> float:
    """Return the longest wait of a watch whose response may be lost in an outage.

    >>> round(watch_wait_s(recovery_s=4.0), 3)
    1.6

    :param recovery_s: seconds after an outage within which a change must be in effect.
    """
    return max(MIN_WATCH_WAIT_S, recovery_s - RETRY_RESERVE_S)


class ConfigurationFollower:
    """Fetches newer versions from the store.

    A response can be lost without notice, so a watch is short enough for a read after
    it within the limit. After a failed call, the item is read without waiting: such a
    call fails sooner if the store is still unavailable.

    :param adopter: applies documents.
    :param store: the store.
    :param telemetry: log and counters.
    :param dependency: records whether changes can be followed. It is not shared with
        other callers of the store, whose calls may succeed while a watch is lost.
    :param random: source of jitter.
    :param monotonic: clock in seconds, that of the adopter.
    :param recovery_s: seconds after an outage within which a change must be in effect.
    :param evacuations: follows evacuations with the same calls, None if there are none.
    """

    def __init__(
        self,
        adopter: ConfigurationAdopter,
        store: LeasedStore,
        telemetry: Telemetry,
        *,
        dependency: Dependency,
        random: Random,
        monotonic: Callable[[], float],
        recovery_s: float,
        evacuations: StoredEvacuations | None = None,
    ) -> None:
        self._evacuations = evacuations
        self._prefix = evacuations.prefix if evacuations is not None else None
        self._watch_wait_s = watch_wait_s(recovery_s)
        self._dependency = dependency
        self._adopter = adopter
        self._store = store
        self._telemetry = telemetry
        self._random = random
        self._monotonic = monotonic

    async def run(self, position: StorePosition | None = None) -> None:
        """Follow changes in the store until cancelled.

        :param position: position of the store at which the configuration was last
            read, or None if it has not been read yet.
        """
        backoff = Backoff(*BACKOFF_S, self._random)
        while True:
            try:
                position = await self._read_or_wait(position)
            except StoreHistoryLostError as error:
                self._telemetry.flow_event("configuration-watch-lost", error=error)
                position = None
                await asyncio.sleep(backoff.next_delay_s())
            except StoreError as error:
                self._dependency.record_failure(error)
                position = None
                await asyncio.sleep(backoff.next_delay_s())
            else:
                self._dependency.record_success()
                backoff.reset()

    async def _read_or_wait(self, position: StorePosition | None) -> StorePosition:
        # The response shows a state that is at least as recent as the request.
        as_of = self._monotonic()
        key = self._adopter.key
        if position is None:
            result = await self._store.get(key, prefix=self._prefix)
            if self._evacuations is not None:
                self._evacuations.apply_read(result.other_keys, result.position, as_of)
            self._adopter.apply_read(result.item, as_of, **self._call("read", as_of))
            return result.position
        called_at = as_of
        wait_s = self._watch_wait_s * self._random.uniform(1.0 - WATCH_WAIT_JITTER, 1.0)
        result = await self._store.wait_for_change(
            key, position, wait_s, prefix=self._prefix
        )
        if not result.has_changes and self._monotonic() - as_of >= wait_s:
            as_of += wait_s
        if self._evacuations is not None:
            self._evacuations.apply_changes(result, as_of)
        if result.item is not None:
            call = self._call("watch", called_at)
            self._adopter.apply_read(result.item, as_of, **call)
        else:
            self._adopter.apply_unchanged(as_of)
        return result.position

    def _call(self, kind: str, called_at: float) -> dict[str, object]:
        """Return the log fields of a call that has ended."""
        return {"call": kind, "call_s": round(self._monotonic() - called_at, 3)}
