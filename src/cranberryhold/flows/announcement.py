"""Registers this member in the store and reads the other members from there.

The store is used for discovery only. Whether a member is alive is decided from the
messages that members exchange directly.
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
    StoreLease,
)
from cranberryhold.flows.member_list import (
    MEMBERS_PREFIX,
    ListedMembers,
    MemberEntry,
    decode_members,
)
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.pacing import Backoff

LEASE_TTL_S = 12.0
RENEWALS_PER_TTL = 3
# Reading the members also detects that the store has dropped the own entry while the
# lease is still valid.
MEMBERS_READ_INTERVAL_S = 12.0


class Announcer:
    """Keeps this member's entry in the store under a lease.

    :param ip: packed IPv4 address of this instance.
    :param entry: the entry to write.
    :param store: the store.
    :param telemetry: log and counters.
    :param dependency: records whether the store is available.
    :param random: source of jitter.
    :param on_members: called with the members each time they have been read.
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
        self._key = MEMBERS_PREFIX + inet_ntoa(ip)
        self._value = json.encode(entry)
        self._store = store
        self._telemetry = telemetry
        self._random = random
        self._on_members = on_members
        self._dependency = dependency
        self._lease: StoreLease | None = None
        self._entry_written = False
        self._revision = 0
        # Of two members that register at about the same time, at least one must find
        # the other. This is certain only if both read an exact list after that; later
        # lists may be stale, as an exact one costs ten times as much.
        self._needs_exact_list = False

    async def run(self) -> None:
        """Write the entry, renew its lease and read the members, until cancelled."""
        loop = asyncio.get_running_loop()
        backoff = Backoff(*STORE_BACKOFF_S, self._random)
        next_read_at = 0.0
        while True:
            try:
                await self._maintain_entry()
                if self._needs_exact_list or loop.time() >= next_read_at:
                    await self._read_members()
                    next_read_at = loop.time() + MEMBERS_READ_INTERVAL_S
            except LeaseLostError as error:
                self._telemetry.event("lease-lost", key=self._key, error=error)
                self._lease = None
                await asyncio.sleep(backoff.next_delay_s())
            except StoreError as error:
                self._dependency.record_failure(error)
                await asyncio.sleep(backoff.next_delay_s())
            else:
                self._dependency.record_success()
                backoff.reset()
                delay_s = LEASE_TTL_S / RENEWALS_PER_TTL
                await asyncio.sleep(delay_s * self._random.uniform(0.8, 1.0))

    async def withdraw(self) -> None:
        """Remove the entry, so that no other member contacts this one any more."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self._store.end_lease(lease)
        except StoreError as error:
            self._telemetry.event("entry-not-withdrawn", key=self._key, error=error)

    async def _maintain_entry(self) -> None:
        if self._lease is None:
            self._entry_written = False
            self._lease = await self._store.grant_lease(LEASE_TTL_S)
        if self._entry_written:
            await self._store.renew_lease(self._lease)
        else:
            await self._write_entry(self._lease)
            self._entry_written = True

    async def _write_entry(self, lease: StoreLease) -> None:
        """Write the entry, replacing any entry that is already there."""
        while True:
            result = await self._store.write(
                self._key, self._value, expected_revision=self._revision, lease=lease
            )
            self._revision = result.revision
            if result.applied:
                self._needs_exact_list = True
                self._telemetry.event(
                    "announced",
                    key=self._key,
                    revision=result.revision,
                    lease=lease.lease_id,
                    epoch=lease.epoch,
                )
                return

    async def _read_members(self) -> None:
        items = await self._store.list_items(
            MEMBERS_PREFIX, may_be_stale=not self._needs_exact_list
        )
        self._needs_exact_list = False
        own = next((item for item in items if item.key == self._key), None)
        if own is None or own.value != self._value:
            # A stale list can lack the entry as well; the next write is then redundant
            # but harmless.
            self._telemetry.event("entry-missing", key=self._key)
            self._lease = None
        self._on_members(decode_members(items, self._telemetry))
