"""Simple placement algorithms as baselines for comparison.

Like load balancers whose packets carry no target id, each selects a target from the
flow's key and the targets that one entry instance knows.
"""

from collections import Counter
from collections.abc import Sequence
from hashlib import blake2b
from typing import Protocol


class Baseline(Protocol):
    """An algorithm that selects the target of each packet."""

    def choose(self, key: bytes, targets: Sequence[bytes], instance: int) -> bytes:
        """Return the target of a packet.

        :param key: identifies the flow.
        :param targets: targets that the instance knows.
        :param instance: number of the entry instance that received the packet.
        """


class HashModulo:
    """Selects by the hash of the flow modulo the number of targets."""

    def choose(self, key: bytes, targets: Sequence[bytes], instance: int) -> bytes:
        """Return the target whose index is the remainder of the hash."""
        return targets[_hash(key) % len(targets)]


class Rendezvous:
    """Selects the target with the highest hash of flow and target."""

    def choose(self, key: bytes, targets: Sequence[bytes], instance: int) -> bytes:
        """Return the target with the highest hash."""
        return max(targets, key=lambda target: _hash(key + target))


class RoundRobin:
    """Assigns new flows to the targets in turn; each instance keeps a flow table."""

    def __init__(self) -> None:
        self._turns: Counter[int] = Counter()
        self._flows: dict[tuple[int, bytes], bytes] = {}

    def choose(self, key: bytes, targets: Sequence[bytes], instance: int) -> bytes:
        """Return the flow's target at this instance, or the next in turn."""
        known = self._flows.get((instance, key))
        if known in targets:
            return known
        target = targets[self._turns[instance] % len(targets)]
        self._turns[instance] += 1
        self._flows[instance, key] = target
        return target


def _hash(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")
