"""Reading the manifest from the store."""

import asyncio
from hashlib import blake2b
from random import Random

from loguru import logger
from pydantic import ValidationError

from cranberryhold.clock import Clock
from cranberryhold.distribution.missed_changes import MissedChangeDetector
from cranberryhold.distribution.state import ManifestState
from cranberryhold.exceptions import ManifestError, StoreError
from cranberryhold.manifest.models import MANIFEST_KEY, AcceptedManifest
from cranberryhold.membership.members import Member, MemberChange, MemberTable, Role
from cranberryhold.pacing import Backoff
from cranberryhold.store import Store, VersionedValue

READERS_PER_ZONE = 2
"""Two, so that one may fail without effect; with 8 zones the store has 16 open
watches."""

WATCH_TIMEOUT_S = 55.0
WATCH_GRACE_S = 10.0
"""Time beyond the timeout after which an unanswered watch counts as failed."""

MIN_WATCH_INTERVAL_S = 0.2
"""Shortest time between two watches, for a store that answers at once."""

MIN_IDLE_WATCH_INTERVAL_S = 1.0
"""The same after an answer without a change, such as that for a missing key."""

BACKOFF_S = (0.5, 5.0)


class ManifestReader:
    """Watches the store while this entry instance is one of its zone's readers.

    Readers are the live entry instances of a zone that rank first by rendezvous
    hashing. Different views of the membership may elect more of them; the additional
    watches do no harm. The first of them also checks that the watches miss no change.
    """

    def __init__(
        self,
        state: ManifestState,
        store: Store,
        local_member: Member,
        table: MemberTable,
        *,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._state = state
        self._store = store
        self._local_member = local_member
        self._table = table
        self._clock = clock
        self._rng = rng
        self._zone_changed = asyncio.Event()
        self._revision = 0
        self._detector = MissedChangeDetector(
            store,
            MANIFEST_KEY,
            is_responsible=lambda: self._rank() == 0,
            clock=clock,
            rng=rng,
        )
        self.watches = 0
        self.failures = 0
        table.changes.subscribe(self._on_change)

    @property
    def elected(self) -> bool:
        """Whether this process is one of its zone's readers."""
        rank = self._rank()
        return rank is not None and rank < READERS_PER_ZONE

    async def run(self) -> None:
        """Watch the store while elected."""
        backoff = Backoff(*BACKOFF_S, self._rng)
        while True:
            if not self.elected:
                self._zone_changed.clear()
                await self._zone_changed.wait()
                continue
            started = self._clock.monotonic()
            try:
                delay = await self._watch()
                backoff.reset()
            except (StoreError, TimeoutError) as error:
                self.failures += 1
                delay = backoff.next_delay_s()
                logger.warning(
                    "event=store-watch-failed retry_in_s={:.1f} error={!r}",
                    delay,
                    str(error),
                )
                started = self._clock.monotonic()
            elapsed = self._clock.monotonic() - started
            await self._clock.sleep(max(0.0, delay - elapsed))

    def _rank(self) -> int | None:
        """Return the rank of this process in its zone, None for a sidecar."""
        if self._local_member.role is not Role.ENTRY:
            return None
        own_score = _rendezvous_score(self._local_member.node_id)
        return sum(
            _rendezvous_score(member.node_id) < own_score
            for member in self._table.entry_instances()
            if member.zone == self._local_member.zone
        )

    async def _watch(self) -> float:
        """Run one watch; return the shortest time from its start to the next one."""
        self.watches += 1
        async with asyncio.timeout(WATCH_TIMEOUT_S + WATCH_GRACE_S):
            found = await self._wait_for_change()
        self._state.record_store_contact()
        if found is None or found.revision == self._revision:
            return MIN_IDLE_WATCH_INTERVAL_S
        self._revision = found.revision
        self._adopt(found.value)
        return MIN_WATCH_INTERVAL_S

    async def _wait_for_change(self) -> VersionedValue | None:
        """Wait for the watch, or for a change that it has missed."""
        watch = asyncio.create_task(
            self._store.watch(MANIFEST_KEY, self._revision, WATCH_TIMEOUT_S)
        )
        missed = asyncio.create_task(self._detector.wait(self._revision))
        tasks = (watch, missed)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if watch.done():
                return watch.result()
            found = missed.result()
            logger.warning("event=store-watch-lost revision={}", found.revision)
            return found
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _adopt(self, value: bytes) -> None:
        try:
            accepted = AcceptedManifest.model_validate_json(value)
            self._state.adopt_from_store(accepted)
        except (ValidationError, ManifestError) as error:
            self._state.refused += 1
            logger.error("event=manifest-refused source=store error={!r}", str(error))

    def _on_change(self, change: MemberChange) -> None:
        member = change.after
        if member.role is Role.ENTRY and member.zone == self._local_member.zone:
            self._zone_changed.set()


def _rendezvous_score(node_id: str) -> bytes:
    return blake2b(node_id.encode(), digest_size=8).digest()
