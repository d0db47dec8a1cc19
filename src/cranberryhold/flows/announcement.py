"""Lists this member in the store, and learns of the others there.

The list only brings members together. Whether a member lives is decided by what the
members hear of each other directly.
"""

import asyncio
from collections.abc import Callable
from random import Random
from socket import inet_ntoa

from msgspec import json

from cranberryhold.exceptions import StoreError
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.leased_store import (
    STORE_BACKOFF_S,
    LeasedStore,
    LeaseLostError,
)
from cranberryhold.flows.member_list import (
    PREFIX,
    ListedMembers,
    MemberEntry,
    decode_members,
)
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.pacing import Backoff

LEASE_TTL_S = 12.0
RENEWALS_PER_TTL = 3
# Shows an entry that the store has dropped without ending the lease.
LIST_INTERVAL_S = 12.0


class Announcer:
    """Keeps this member's entry in the store.

    :param ip: packed IPv4 number of this instance.
    :param entry: what to list.
    :param store: the store.
    :param telemetry: log and counters.
    :param dependency: log of the store's failures.
    :param random: source of jitter.
    :param on_members: takes the list each time it was read.
    """

    def __init__(
        self,
        ip: bytes,
        entry: MemberEntry,
        store: LeasedStore,
        telemetry: Telemetry,
        *,
        dependency: Dependency,
        random: Random,
        on_members: Callable[[ListedMembers], None],
    ) -> None:
        self._key = PREFIX + inet_ntoa(ip)
        self._value = json.encode(entry)
        self._store = store
        self._telemetry = telemetry
        self._random = random
        self._on_members = on_members
        self._dependency = dependency
        self._lease: int | None = None
        self._written = False
        self._revision = 0

    async def run(self) -> None:
        """Announce, renew and list, until cancelled."""
        loop = asyncio.get_running_loop()
        backoff = Backoff(*STORE_BACKOFF_S, self._random)
        list_at = 0.0
        while True:
            try:
                await self._hold()
                if loop.time() >= list_at:
                    await self._list(may_be_stale=list_at > 0)
                    list_at = loop.time() + LIST_INTERVAL_S
            except LeaseLostError:
                self._telemetry.event("lease-lost", key=self._key, lease=self._lease)
                self._lease = None
                await asyncio.sleep(backoff.next_delay_s())
            except StoreError as error:
                self._dependency.failed(error)
                await asyncio.sleep(backoff.next_delay_s())
            else:
                self._dependency.answered()
                backoff.reset()
                pause_s = LEASE_TTL_S / RENEWALS_PER_TTL
                await asyncio.sleep(pause_s * self._random.uniform(0.8, 1.0))

    async def withdraw(self) -> None:
        """Drop the entry, so that nobody looks for this member any more."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self._store.end_lease(lease)
        except StoreError as error:
            self._telemetry.event("entry-not-withdrawn", key=self._key, error=error)

    async def _hold(self) -> None:
        if self._lease is None:
            self._written = False
            self._lease = await self._store.grant_lease(LEASE_TTL_S)
        if self._written:
            await self._store.renew_lease(self._lease)
        else:
            await self._write(self._lease)
            self._written = True

    async def _write(self, lease: int) -> None:
        """Write the entry, whatever was there before."""
        while True:
            written = await self._store.write(
                self._key, self._value, expected_revision=self._revision, lease=lease
            )
            self._revision = written.revision
            if written.done:
                self._telemetry.event(
                    "announced", key=self._key, revision=written.revision, lease=lease
                )
                return

    async def _list(self, *, may_be_stale: bool) -> None:
        items = await self._store.list_items(PREFIX, may_be_stale=may_be_stale)
        own = next((item for item in items if item.key == self._key), None)
        if may_be_stale and (own is None or own.value != self._value):
            # A stale list may show this too; the write then only repeats the entry.
            self._telemetry.event("entry-missing", key=self._key)
            self._lease = None
        self._on_members(decode_members(items, self._telemetry))
