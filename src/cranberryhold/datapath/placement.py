"""Placement of new flows: weighted Maglev hashing, slow start, bounded load.

The table is described in Eisenbud et al., "Maglev: A Fast and Reliable Software
Network Load Balancer" (NSDI 2016), section 3.4. For weights, each target fills
slots at a rate proportional to its weight.
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from cranberryhold.membership.members import FULL_WEIGHT

# There are few sizes, so that a join rarely changes the size, which would move most
# keys. The smallest is 4,093: a join to seven targets moves 13.4% of the keys there,
# but 14.0% (up to 20.5%) with 2,039 slots, where two targets share a step more often.
# Up to 655 targets there are at least 100 slots per target, which keeps the shares
# of equal targets within 1% of each other (Maglev, section 5.3).
TABLE_SIZES = (4093, 16381, 65537)
_SLOTS_PER_TARGET = 100

SLOW_START_STEP = 10
BOUNDED_LOAD_FACTOR = 1.25


class MaglevTable:
    """Maps keys to targets, each with a share of the keys proportional to its weight.

    The table depends only on the set of targets, their weights and the salt, and
    not on the order of the targets or on earlier tables. Instances with the same
    members therefore have the same table.

    >>> table = MaglevTable([(b"one", 100), (b"two", 0)])
    >>> table.lookup(b"key")
    b'one'

    :param weights: targets and their weights; a target of weight 0 gets no keys.
    :param salt: makes the tables of different services independent.
    """

    def __init__(self, weights: Iterable[tuple[bytes, int]], salt: bytes = b"") -> None:
        self._weights = tuple(sorted((t, w) for t, w in dict(weights).items() if w > 0))
        self._salt = salt
        self._targets = tuple(target for target, _ in self._weights)
        self._size = table_size(len(self._targets))
        self._slots = self._fill() if self._targets else []

    @property
    def weights(self) -> tuple[tuple[bytes, int], ...]:
        """Targets of weight above 0 and their weights, sorted by target."""
        return self._weights

    @property
    def size(self) -> int:
        """Number of slots."""
        return self._size

    def slots(self) -> tuple[bytes, ...]:
        """Return the target of each slot."""
        return tuple(self._slots)

    def lookup(self, key: bytes) -> bytes | None:
        """Return the target of a key, or None if the table is empty."""
        if not self._slots:
            return None
        return self._slots[_hash(key, self._salt) % self._size]

    def lookup_excluding(self, key: bytes, excluded: bytes) -> bytes | None:
        """Return the target that receives a key which ``excluded`` passes on.

        If the key maps to another target, the result is that one; this happens when
        the table is newer than the one that mapped the key to ``excluded``.
        Otherwise it is the next other target in the key's probe sequence, or None
        if there is no other.
        """
        if not any(target != excluded for target in self._targets):
            return None
        number = _hash(key, self._salt)
        slot, step = number % self._size, 1 + (number >> 32) % (self._size - 1)
        # The size is prime, so the probe sequence visits every slot.
        while self._slots[slot] == excluded:
            slot = (slot + step) % self._size
        return self._slots[slot]

    def _fill(self) -> list[bytes]:
        size = self._size
        slots: list[bytes | None] = [None] * size
        max_weight = max(weight for _, weight in self._weights)
        # Per target: next slot of its permutation, step, weight, credit, target. A
        # target fills a slot whenever its credit reaches the maximum weight.
        rows = []
        for target, weight in self._weights:
            number = _hash(target, self._salt)
            step = 1 + (number >> 32) % (size - 1)
            rows.append([number % size, step, weight, 0, target])
        unfilled = size
        while True:
            for row in rows:
                slot, step, weight, credit, target = row
                credit += weight
                if credit < max_weight:
                    row[3] = credit
                    continue
                while slots[slot] is not None:
                    slot = (slot + step) % size
                slots[slot] = target
                row[0], row[3] = slot, credit - max_weight
                unfilled -= 1
                if not unfilled:
                    return slots


def table_size(targets: int) -> int:
    """Return the number of slots, a prime, of a table with this many targets."""
    min_slots = targets * _SLOTS_PER_TARGET
    return next((size for size in TABLE_SIZES if size >= min_slots), TABLE_SIZES[-1])


def slow_start_weight(age_s: float, duration_s: float) -> int:
    """Return the weight of a target that started ``age_s`` seconds ago.

    The weight rises from 10 to 100 in steps of 10. The steps are coarse because each
    one is a membership update to all members.
    """
    if age_s >= duration_s:
        return FULL_WEIGHT
    steps = FULL_WEIGHT // SLOW_START_STEP - 1
    return SLOW_START_STEP * (1 + int(max(age_s, 0.0) / duration_s * steps))


def slow_start_schedule(duration_s: float) -> tuple[tuple[float, int], ...]:
    """Return the weight steps of a starting target as pairs (age in s, weight)."""
    if duration_s <= 0:
        return ((0.0, FULL_WEIGHT),)
    steps = FULL_WEIGHT // SLOW_START_STEP - 1
    return tuple(
        (duration_s * step / steps, SLOW_START_STEP * (1 + step))
        for step in range(steps + 1)
    )


def should_pass_on(own: int, peers: Sequence[int], already_passed_on: bool) -> bool:
    """Return whether a target above the load bound passes a first packet to a peer.

    :param own: open connections of this target.
    :param peers: open connections of each other target of the service, as last
        reported.
    :param already_passed_on: whether a peer passed the packet to this target.
    """
    if already_passed_on or not peers:
        return False
    return own * len(peers) > BOUNDED_LOAD_FACTOR * sum(peers)


def _hash(key: bytes, salt: bytes) -> int:
    return int.from_bytes(blake2b(key, digest_size=8, key=salt).digest(), "big")
