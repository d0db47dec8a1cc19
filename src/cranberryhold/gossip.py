"""Spreading of member records: rumors, bucketed digests and the byte budget."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from math import ceil, log2
from struct import Struct as Layout
from typing import TYPE_CHECKING

from msgspec import Raw

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock
from cranberryhold.members import Member, MemberChange, MemberState, MemberTable
from cranberryhold.messages import (
    MAX_PAYLOAD_BYTES,
    BucketDigests,
    Exchange,
    Summary,
    encoded_record,
)

if TYPE_CHECKING:
    from cranberryhold.membership import Membership

MAX_BYTES_PER_SECOND = 13_000
"""Limit of control bytes that a member sends, from the requirements."""

BUCKETS = 128
"""A bucket holds 58 of 7,430 records, so that a summary (8 bytes each) is short."""

ANTI_ENTROPY_S = 10.0
"""Mean seconds between comparisons with a random member."""

_SHORTEST_WAIT_S = 0.001
"""A wait below the resolution of the clock would spin."""

_EXCHANGE_ROOM_BYTES = MAX_PAYLOAD_BYTES - 40
_WANTED_PER_DATAGRAM = 100
_PAIR = Layout("!II")
_FINGERPRINT = Layout("!IIII")
_MASK = 0xFFFFFFFF


class ByteBudget:
    """Token bucket of control bytes.

    Probes and answers may overdraw it, because delaying them would cause false
    suspicion; everything else waits or is left out until it has refilled.

    :param rate: bytes per second.
    :param burst: bytes that may be sent at once after a pause.
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
        self._filled_at: float | None = None

    def available(self) -> float:
        """Return the bytes that may be sent now; negative when overdrawn."""
        now = self._clock.monotonic()
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        return self._tokens

    def spend(self, size: int) -> None:
        """Account for bytes that were sent."""
        self.available()
        self._tokens -= size

    async def wait_for(self, size: int) -> None:
        """Wait until this many bytes may be sent."""
        while (missing := size - self.available()) > 0:
            await self._clock.sleep(max(missing / self._rate, _SHORTEST_WAIT_S))


def priority_of(member: Member) -> int:
    """Return the priority of a record as news; 0 is sent first."""
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
    """Records that are still being spread, at most one per member.

    A newer record of a member replaces the older one. Each is dropped once it has
    been sent often enough for the size of the cluster.
    """

    _rumors: dict[str, _QueuedUpdate] = field(default_factory=dict)
    _fresh: dict[str, _QueuedUpdate] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._rumors)

    def add(self, member: Member) -> None:
        """Start to spread a record."""
        raw = encoded_record(member)
        rumor = _QueuedUpdate(raw, len(raw), priority_of(member))
        self._rumors[member.node_id] = rumor
        self._fresh[member.node_id] = rumor

    def take_fresh(self, room: int) -> list[Raw]:
        """Return records that were not sent yet, as many as fit in ``room`` bytes."""
        chosen = _fill(self._fresh, self._fresh, room)
        for node_id in chosen:
            del self._fresh[node_id]
        return [self._rumors[n].raw for n in chosen if n in self._rumors]

    def take(self, room: int, members: int) -> list[Raw]:
        """Return records to piggyback, as many as fit in ``room`` bytes.

        :param members: size of the cluster, which sets how often each is sent.
        """
        if not self._rumors:
            return []
        limit = piggyback_limit(members)
        taken = []
        for node_id in _fill(self._rumors, self._rumors, room):
            rumor = self._rumors[node_id]
            taken.append(rumor.raw)
            rumor.sent += 1
            if rumor.sent >= limit:
                del self._rumors[node_id]
        return taken


def piggyback_limit(members: int) -> int:
    """Return how many probes and answers carry a record after its fan-out."""
    return max(4, ceil(log2(members + 1)))


def _fill(
    pending: dict[str, _QueuedUpdate], rumors: dict[str, _QueuedUpdate], room: int
) -> list[str]:
    order: Iterable[str] = pending
    if len(pending) > 1:
        order = sorted(pending, key=lambda n: (rumors[n].priority, rumors[n].sent))
    chosen = []
    for node_id in order:
        size = rumors[node_id].size
        if size > room:
            break
        room -= size
        chosen.append(node_id)
    return chosen


@lru_cache(maxsize=1 << 15)
def node_hash(node_id: str) -> int:
    """Return the 32-bit hash that names a node in summaries."""
    return zlib.crc32(node_id.encode())


def fingerprint(member: Member) -> int:
    """Return a 32-bit fingerprint of a record.

    A suspect has the fingerprint of a live member: a suspicion soon ends either
    way, and the rumors spread it.
    """
    state = 0 if member.state is MemberState.SUSPECT else int(member.state)
    packed = _FINGERPRINT.pack(
        node_hash(member.node_id), member.incarnation, member.version & _MASK, state
    )
    return int.from_bytes(blake2b(packed, digest_size=4).digest(), "big")


class TableDigest:
    """Digests of a member table by bucket, kept up to date as the table changes.

    Members that are down have no part in the digests, so that processes may forget
    them at different times without exchanging them again.
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
        number = node_hash(after.node_id)
        bucket = number % BUCKETS
        total = self._sums[bucket]
        if before is not None and before.state is not MemberState.DOWN:
            total -= fingerprint(before)
        if after.state is not MemberState.DOWN:
            total += fingerprint(after)
        self._sums[bucket] = total & _MASK
        self._buckets[bucket][number] = after.node_id

    def forget(self, node_id: str) -> None:
        """Remove a node that the table has forgotten."""
        number = node_hash(node_id)
        self._buckets[number % BUCKETS].pop(number, None)

    def pack(self) -> bytes:
        """Return all digests, 4 bytes each."""
        return b"".join(total.to_bytes(4, "big") for total in self._sums)

    def differing(self, other: bytes) -> list[int]:
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

    def find(self, number: int) -> Member | None:
        """Return the record of the node with this hash, or None."""
        node_id = self._buckets[number % BUCKETS].get(number)
        return None if node_id is None else self._table.get(node_id)

    def summary(self, bucket: int) -> bytes:
        """Return node hash and fingerprint of each member that is not down."""
        return b"".join(
            _PAIR.pack(node_hash(m.node_id), fingerprint(m))
            for m in self.members(bucket)
            if m.state is not MemberState.DOWN
        )

    def compare(self, bucket: int, summary: bytes) -> tuple[list[Member], list[int]]:
        """Compare another member's summary with this table.

        :return: records that the other lacks or has in another version, and node
            hashes of those that this table lacks or has in another version.
        """
        theirs = dict(_PAIR.iter_unpack(summary[: len(summary) // 8 * 8]))
        offered, wanted = [], []
        for member in self.members(bucket):
            number = node_hash(member.node_id)
            if number in theirs:
                if theirs.pop(number) != fingerprint(member):
                    offered.append(member)
                    wanted.append(number)
            elif member.state is not MemberState.DOWN:
                offered.append(member)
        return offered, wanted + list(theirs)


class AntiEntropy:
    """Compares the table with that of a random member from time to time.

    It repairs what the rumors missed. All of it is left out when the byte budget is
    used up; a later round makes up for it.
    """

    def __init__(self, membership: "Membership") -> None:
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
            pause = ANTI_ENTROPY_S * (0.5 + membership.rng.random())
            await membership.clock.sleep(pause)
            for member in membership.live_peers.pick(membership.rng, 1):
                self.start(member.control_address)

    def start(self, address: Address) -> None:
        """Compare the table with that of the member at an address."""
        self._membership.try_send(BucketDigests(self.digest.pack()), address)

    def _on_digests(self, message: BucketDigests, sender: Address) -> None:
        buckets = self.digest.differing(message.digests)
        self._membership.rng.shuffle(buckets)
        room, chosen = _EXCHANGE_ROOM_BYTES, {}
        for bucket in buckets:
            summary = self.digest.summary(bucket)
            room -= len(summary) + 6
            if room < 0:
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
        newer = self._membership.take(message.rumors, spread=False)
        found = (self.digest.find(number) for number in message.wanted)
        self._exchange(newer + [m for m in found if m is not None], [], sender)

    def _exchange(self, offered: list[Member], wanted: list[int], to: Address) -> None:
        records = [encoded_record(member) for member in offered]
        while records or wanted:
            asked, wanted = wanted[:_WANTED_PER_DATAGRAM], wanted[_WANTED_PER_DATAGRAM:]
            room, batch = _EXCHANGE_ROOM_BYTES - 5 * len(asked), []
            while records and len(records[-1]) <= room:
                batch.append(records.pop())
                room -= len(batch[-1])
            if not self._membership.try_send(Exchange(batch, asked), to):
                return
