"""Detection of changes that an open watch has missed.

A service that keeps its connections but no longer answers the waiting watches gives no
sign of it. Short watches would bound the delay too, but each carries the whole value.
"""

import asyncio
from collections.abc import Callable
from random import Random

from cranberryhold.clock import Clock
from cranberryhold.exceptions import StoreError
from cranberryhold.store import Store, VersionedValue

CHECK_INTERVAL_S = 1.0
"""A lost change is found within twice this time, which leaves a second to distribute
it."""

CHECK_TIMEOUT_S = 1.0
CHECK_JITTER = 0.2


class MissedChangeDetector:
    """Compares the revision of a key with the store at regular intervals.

    A check transfers no value unless the revision differs.

    :param store: the store.
    :param key: key to check.
    :param is_responsible: whether this process is to call the store at present.
    :param clock: clock in seconds.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        store: Store,
        key: str,
        *,
        is_responsible: Callable[[], bool],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._store = store
        self._key = key
        self._is_responsible = is_responsible
        self._clock = clock
        self._rng = rng
        # Index of the store that belongs to another key.
        self._unrelated_index = 0
        self.checks = 0
        self.failures = 0

    async def wait(self, revision: int) -> VersionedValue:
        """Return the value of the key once its revision differs.

        :param revision: the revision that is known, 0 if the key was not found.
        """
        while True:
            interval_s = CHECK_INTERVAL_S * self._rng.uniform(1.0 - CHECK_JITTER, 1.0)
            next_check_at = self._clock.monotonic() + interval_s
            if self._is_responsible():
                found = await self._check(revision)
                if found is not None:
                    return found
            await self._clock.sleep(max(0.0, next_check_at - self._clock.monotonic()))

    async def _check(self, revision: int) -> VersionedValue | None:
        self.checks += 1
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                return await self._read_if_changed(revision)
        except (StoreError, TimeoutError):
            # The watch reports the loss of a service that refuses calls.
            self.failures += 1
            return None

    async def _read_if_changed(self, revision: int) -> VersionedValue | None:
        index = await self._store.latest_index(self._key)
        if index in (revision, self._unrelated_index):
            return None
        found = await self._store.get(self._key)
        if found is not None and found.revision != revision:
            return found
        self._unrelated_index = index
        return None
