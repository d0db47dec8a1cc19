"""Dissemination of member records: queued updates, anti-entropy and byte budget."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from math import ceil, log2
from struct import Struct as Layout

from msgspec import Raw

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock
from cranberryhold.membership.context import MembershipContext
from cranberryhold.membership.members import (
    Member,
    MemberChange,
    MemberState,
    MemberTable,
)
from cranberryhold.membership.messages import (
    MAX_PAYLOAD_BYTES,
    BucketDigests,
    Exchange,
    Summary,
    encoded_record,
)

MAX_BYTES_PER_SECOND = 13_000
"""Limit of control traffic that a member sends, from the requirements."""

BUCKETS = 128
"""With 7,430 members a bucket holds 58 records, whose summary takes 464 bytes."""

ANTI_ENTROPY_INTERVAL_S = 10.0
"""Mean seconds between comparisons with a random member."""

_MIN_WAIT_S = 0.001
"""A wait below the resolution of the clock would become a busy loop."""

_MAX_EXCHANGE_BYTES = MAX_PAYLOAD_BYTES - 40
_MAX_WANTED = 100
"""Largest number of records that one datagram asks for."""

_SUMMARY_ITEM = Layout("!II")
_FINGERPRINT = Layout("!IIII")
_MASK = 0xFFFFFFFF


class ByteBudget:
    """Token bucket that limits the rate of control bytes.

    Probes and answers may overdraw it, because delaying them would cause false
    suspicions. Other datagrams are delayed or omitted until it has refilled.

    :param rate: bytes per second.
    :param burst: bytes that may be sent at once after an idle time.
    """

    def __init__(
        self,
        clock: Clock,
        rate: float = MAX_BYTES_PER_SECOND,
        burst: float | None = None,
    ) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = rate / 2 if burst is None else burst
        self._tokens = self._burst
        self._refilled_at: float | None = None

    def available(self) -> float:
        """Return the bytes that may be sent now; negative when overdrawn."""
        now = self._clock.monotonic()
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        return self._tokens

    def spend(self, size: int) -> None:
        """Account for bytes that were sent."""
        self.available()
        self._tokens -= size

    async def wait_for(self, size: int) -> None:
        """Wait until this many bytes may be sent."""
        while (missing := size - self.available()) > 0:
            await self._clock.sleep(max(missing / self._rate, _MIN_WAIT_S))


def update_priority(member: Member) -> int:
    """Return the priority for sending a record; 0 is sent first."""
    if member.state is MemberState.LEAVING or member.weight == 0:
        return 0
    if member.state is MemberState.DOWN:
        return 1
    return 3 if member.state is MemberState.SUSPECT else 2


@dataclass(slots=True)
class _QueuedUpdate:
    raw: Raw
    size: int
    priority: int
    sent: int = 0


@dataclass(slots=True)
class UpdateQueue:
    """Records that are still being disseminated, at most one per member.

    A newer record of a member replaces the older one. A record is dropped once it
    has been sent often enough for the size of the cluster.
    """

    _updates: dict[str, _QueuedUpdate] = field(default_factory=dict)
    _unsent: dict[str, _QueuedUpdate] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, member: Member) -> None:
        """Queue a record for dissemination."""
        raw = encoded_record(member)
        update = _QueuedUpdate(raw, len(raw), update_priority(member))
        self._updates[member.node_id] = update
        self._unsent[member.node_id] = update

    def take_unsent(self, max_bytes: int) -> list[Raw]:
        """Return records that were not sent yet, as many as fit in ``max_bytes``."""
        chosen = _select(self._unsent, self._unsent, max_bytes)
        for node_id in chosen:
            del self._unsent[node_id]
        return [self._updates[n].raw for n in chosen if n in self._updates]

    def take_for_piggyback(self, max_bytes: int, cluster_size: int) -> list[Raw]:
        """Return records to piggyback, as many as fit in ``max_bytes``.

        :param cluster_size: number of members, which sets how often each is sent.
        """
        if not self._updates:
            return []
        limit = piggyback_limit(cluster_size)
        taken = []
        for node_id in _select(self._updates, self._updates, max_bytes):
            update = self._updates[node_id]
            taken.append(update.raw)
            update.sent += 1
            if update.sent >= limit:
                del self._updates[node_id]
        return taken


def piggyback_limit(cluster_size: int) -> int:
    """Return how many probes and answers carry a record after its first sending."""
    return max(4, ceil(log2(cluster_size + 1)))


def _select(
    pending: dict[str, _QueuedUpdate],
    updates: dict[str, _QueuedUpdate],
    max_bytes: int,
) -> list[str]:
    order: Iterable[str] = pending
    if len(pending) > 1:
        order = sorted(pending, key=lambda n: (updates[n].priority, updates[n].sent))
    chosen = []
    for node_id in order:
        size = updates[node_id].size
        if size > max_bytes:
            break
        max_bytes -= size
        chosen.append(node_id)
    return chosen


@lru_cache(maxsize=1 << 15)
def node_hash(node_id: str) -> int:
    """Return the 32-bit hash that identifies a node in summaries."""
    return zlib.crc32(node_id.encode())


def fingerprint(member: Member) -> int:
    """Return a 32-bit fingerprint of a record.

    A suspect has the fingerprint of a live member: a suspicion is short, and is
    disseminated as an update anyway.
    """
    state = 0 if member.state is MemberState.SUSPECT else int(member.state)
    packed = _FINGERPRINT.pack(
        node_hash(member.node_id), member.incarnation, member.version & _MASK, state
    )
    return int.from_bytes(blake2b(packed, digest_size=4).digest(), "big")


class TableDigest:
    """Digests of a member table by bucket, updated as the table changes.

    The digests exclude members that are down, so that processes may forget them at
    different times without exchanging them again.
    """

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._sums = [0] * BUCKETS
        self._buckets: list[dict[int, str]] = [{} for _ in range(BUCKETS)]
        for member in table:
            self._update(MemberChange(None, member))
        table.changes.subscribe(self._update)

    def _update(self, change: MemberChange) -> None:
        before, after = change.before, change.after
        hash_value = node_hash(after.node_id)
        bucket = hash_value % BUCKETS
        total = self._sums[bucket]
        if before is not None and before.state is not MemberState.DOWN:
            total -= fingerprint(before)
        if after.state is not MemberState.DOWN:
            total += fingerprint(after)
        self._sums[bucket] = total & _MASK
        self._buckets[bucket][hash_value] = after.node_id

    def forget(self, node_id: str) -> None:
        """Remove a node that the table has forgotten."""
        hash_value = node_hash(node_id)
        self._buckets[hash_value % BUCKETS].pop(hash_value, None)

    def pack(self) -> bytes:
        """Return all digests, 4 bytes each."""
        return b"".join(total.to_bytes(4, "big") for total in self._sums)

    def differing_buckets(self, other: bytes) -> list[int]:
        """Return the buckets whose digest differs from another member's."""
        return [
            bucket
            for bucket, total in enumerate(self._sums)
            if other[4 * bucket : 4 * bucket + 4] != total.to_bytes(4, "big")
        ]

    def members(self, bucket: int) -> list[Member]:
        """Return all records of a bucket."""
        found = (self._table.get(n) for n in self._buckets[bucket].values())
        return [m for m in found if m is not None]

    def find_by_hash(self, hash_value: int) -> Member | None:
        """Return the record of the node with this hash, or None."""
        node_id = self._buckets[hash_value % BUCKETS].get(hash_value)
        return None if node_id is None else self._table.get(node_id)

    def summary(self, bucket: int) -> bytes:
        """Return node hash and fingerprint of each member that is not down."""
        return b"".join(
            _SUMMARY_ITEM.pack(node_hash(m.node_id), fingerprint(m))
            for m in self.members(bucket)
            if m.state is not MemberState.DOWN
        )

    def compare(self, bucket: int, summary: bytes) -> tuple[list[Member], list[int]]:
        """Compare another member's summary with this table.

        :return: records that the other lacks or has in another version, and node
            hashes of those that this table lacks or has in another version.
        """
        theirs = dict(_SUMMARY_ITEM.iter_unpack(summary[: len(summary) // 8 * 8]))
        offered, wanted = [], []
        for member in self.members(bucket):
            hash_value = node_hash(member.node_id)
            if hash_value in theirs:
                if theirs.pop(hash_value) != fingerprint(member):
                    offered.append(member)
                    wanted.append(hash_value)
            elif member.state is not MemberState.DOWN:
                offered.append(member)
        return offered, wanted + list(theirs)


class AntiEntropy:
    """Compares the table periodically with that of a random member.

    This repairs what the updates missed. A round is skipped or cut short when the
    byte budget is used up; a later round makes up for it.
    """

    def __init__(self, membership: MembershipContext) -> None:
        self._membership = membership
        self.digest = TableDigest(membership.table)
        self.handlers = {
            BucketDigests: self._on_digests,
            Summary: self._on_summary,
            Exchange: self._on_exchange,
        }

    async def run(self) -> None:
        """Compare with one member every 10 s on average."""
        membership = self._membership
        while True:
            interval = ANTI_ENTROPY_INTERVAL_S * (0.5 + membership.rng.random())
            await membership.clock.sleep(interval)
            for member in membership.live_peers.pick(membership.rng, 1):
                self.compare_with(member.control_address)

    def compare_with(self, address: Address) -> None:
        """Compare the table with that of the member at an address."""
        self._membership.try_send(BucketDigests(self.digest.pack()), address)

    def _on_digests(self, message: BucketDigests, sender: Address) -> None:
        buckets = self.digest.differing_buckets(message.digests)
        self._membership.rng.shuffle(buckets)
        free_bytes, chosen = _MAX_EXCHANGE_BYTES, {}
        for bucket in buckets:
            summary = self.digest.summary(bucket)
            free_bytes -= len(summary) + 6
            if free_bytes < 0:
                break
            chosen[bucket] = summary
        if chosen:
            self._membership.try_send(Summary(chosen), sender)

    def _on_summary(self, message: Summary, sender: Address) -> None:
        offered: list[Member] = []
        wanted: list[int] = []
        for bucket, summary in message.buckets.items():
            if 0 <= bucket < BUCKETS:
                more_offered, more_wanted = self.digest.compare(bucket, summary)
                offered += more_offered
                wanted += more_wanted
        self._exchange(offered, wanted, sender)

    def _on_exchange(self, message: Exchange, sender: Address) -> None:
        newer = self._membership.merge_records(message.updates, spread=False)
        found = (self.digest.find_by_hash(hash_value) for hash_value in message.wanted)
        self._exchange(newer + [m for m in found if m is not None], [], sender)

    def _exchange(self, offered: list[Member], wanted: list[int], to: Address) -> None:
        records = [encoded_record(member) for member in offered]
        while records or wanted:
            requested, wanted = wanted[:_MAX_WANTED], wanted[_MAX_WANTED:]
            free_bytes, batch = _MAX_EXCHANGE_BYTES - 5 * len(requested), []
            while records and len(records[-1]) <= free_bytes:
                batch.append(records.pop())
                free_bytes -= len(batch[-1])
            if not self._membership.try_send(Exchange(batch, requested), to):
                return
