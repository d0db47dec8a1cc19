"""Registers this member in the store and reads the other members from there.

The store is used for discovery only. Whether a member is alive is decided from the
messages that members exchange directly.
"""

import asyncio
from collections.abc import Callable
from math import inf
from socket import inet_ntoa

from cranberryhold.documents import encode_json
from cranberryhold.exceptions import StoreError
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.discovery import MEMBER_DISCOVERY_S
from cranberryhold.flows.leased_store import (
    STORE_BACKOFF_S,
    LeasedStore,
    LeaseLostError,
    StoreLease,
)
from cranberryhold.flows.member_list import (
    MEMBERS_PREFIX,
    MEMBERSHIP_PREFIX,
    WITNESSES_PREFIX,
    ListedMembers,
    MemberEntry,
    Role,
    Witness,
    decode_members,
)
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.pacing import Backoff, Random

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
    :param on_registration: called with whether the entry is in the store, as far as
        known: True when it was written or its lease renewed, False when it was found to
        be lost, or its lease may have expired.
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
        on_registration: Callable[[bool], None],
    ) -> None:
        self._key = MEMBERS_PREFIX + inet_ntoa(ip)
        self._witness_key = WITNESSES_PREFIX + inet_ntoa(ip)
        self._value = encode_json(entry)
        self._is_witness = entry.role == Role.ENTRY
        self._store = store
        self._telemetry = telemetry
        self._random = random
        self._on_members = on_members
        self._on_registration = on_registration
        self._dependency = dependency
        self._lease: StoreLease | None = None
        self._registered_at: float | None = None
        # Time of the last call that showed the lease to be held.
        self._held_at = -inf
        self._witness_written = False
        # Revisions of the items of this member, for conditional writes.
        self._revisions: dict[str, int] = {}
        # Of two members that register at about the same time, at least one must find
        # the other. This is certain only if both read an exact list after that; later
        # lists may be stale, as an exact one costs ten times as much.
        self._needs_exact_list = False

    async def run(self) -> None:
        """Write the entry, renew its lease and read the members, until cancelled."""
        loop = asyncio.get_running_loop()
        backoff = Backoff(*STORE_BACKOFF_S, self._random)
        lost_lease_backoff = Backoff(*STORE_BACKOFF_S, self._random)
        next_read_at = 0.0
        while True:
            try:
                await self._maintain_entry()
                if self._needs_exact_list or loop.time() >= next_read_at:
                    await self._read_members()
                    next_read_at = loop.time() + MEMBERS_READ_INTERVAL_S
            except LeaseLostError as error:
                self._telemetry.event("lease-lost", key=self._key, error=error)
                self._lose_registration()
                # The store has answered, so the delays of an outage don't apply.
                backoff.reset()
                await asyncio.sleep(lost_lease_backoff.next_delay_s())
            except StoreError as error:
                self._dependency.record_failure(error)
                if loop.time() - self._held_at > LEASE_TTL_S:
                    self._on_registration(False)
                await asyncio.sleep(backoff.next_delay_s())
            else:
                self._dependency.record_success()
                backoff.reset()
                lost_lease_backoff.reset()
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
        loop = asyncio.get_running_loop()
        if self._lease is None:
            self._registered_at = None
            self._lease = await self._store.grant_lease(LEASE_TTL_S)
        if self._registered_at is None:
            await self._register(self._lease)
            self._registered_at = loop.time()
            self._witness_written = False
            return
        await self._store.renew_lease(self._lease)
        self._record_held()
        held_s = loop.time() - self._registered_at
        if self._is_witness and held_s >= MEMBER_DISCOVERY_S:
            await self._write_witness(self._lease)

    async def _write_witness(self, lease: StoreLease) -> None:
        """State once for each lease that all running members are registered."""
        if not self._witness_written:
            value = encode_json(Witness(lease.epoch))
            await self._put(self._witness_key, value, lease)
            self._witness_written = True

    async def _register(self, lease: StoreLease) -> None:
        revision = await self._put(self._key, self._value, lease)
        self._needs_exact_list = True
        self._record_held()
        self._telemetry.event(
            "announced",
            key=self._key,
            revision=revision,
            lease=lease.lease_id,
            epoch=lease.epoch,
        )

    def _record_held(self) -> None:
        self._held_at = asyncio.get_running_loop().time()
        self._on_registration(True)

    def _lose_registration(self) -> None:
        self._lease = None
        self._on_registration(False)

    async def _put(self, key: str, value: bytes, lease: StoreLease) -> int:
        """Write an item, replacing any that is already there; return its revision."""
        while True:
            result = await self._store.write(
                key,
                value,
                expected_revision=self._revisions.get(key, 0),
                lease=lease,
            )
            self._revisions[key] = result.revision
            if result.applied:
                return result.revision

    async def _read_members(self) -> None:
        exact = self._needs_exact_list
        listed = await self._store.list_items(MEMBERSHIP_PREFIX, may_be_stale=not exact)
        self._needs_exact_list = False
        own = next((item for item in listed.items if item.key == self._key), None)
        if own is None or own.value != self._value:
            # A stale list can lack the entry as well; the next write is then redundant
            # but harmless.
            self._telemetry.event("entry-missing", key=self._key)
            self._lose_registration()
        self._on_members(decode_members(listed, self._telemetry, exact=exact))
