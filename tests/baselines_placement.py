"""Plain ways of choosing a target, to compare placement with.

Each chooses by the caller's key and by the targets that one entry instance knows,
in the way of balancers that keep no id of the target in the packet.
"""

from collections import Counter
from collections.abc import Sequence
from hashlib import blake2b
from typing import Protocol


class Baseline(Protocol):
    """A way of choosing a target for each packet."""

    def choose(self, key: bytes, targets: Sequence[bytes], instance: int) -> bytes:
        """Return the target of a packet.

        :param key: identifies the flow.
        :param targets: targets that the instance knows.
        :param instance: number of the entry instance that has the packet.
        """


class HashModulo:
    """Hash of the flow modulo the number of targets."""

    def choose(self, key: bytes, targets: Sequence[bytes], instance: int) -> bytes:
        """Return the target at the hash's remainder."""
        return targets[_number(key) % len(targets)]


class Rendezvous:
    """The target with the highest hash of flow and target."""

    def choose(self, key: bytes, targets: Sequence[bytes], instance: int) -> bytes:
        """Return the target with the highest score."""
        return max(targets, key=lambda target: _number(key + target))


class RoundRobin:
    """Targets in turn for new flows, with a flow table at each instance."""

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


def _number(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")
