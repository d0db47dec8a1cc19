"""Rendezvous hashing: the order in which targets are tried for a flow.

The method is from Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates" (IEEE/ACM ToN 1998). All entry instances of a zone that know the same targets
use the same order, and a target that joins or leaves does not change the order of the
others.
"""

from __future__ import annotations

from _blake2 import blake2b

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

_MASK = (1 << 64) - 1
_DRAW_UNIT = 2.0**-53


def rendezvous_order(key: bytes, targets: Iterable[bytes]) -> list[bytes]:
    """Return the targets in the order of the key, the first choice first."""
    return sorted(targets, key=lambda target: _score(key, target))


def rendezvous_hash(value: bytes) -> int:
    """Return a 64-bit hash of a key or target, for :func:`rendezvous_draws`."""
    return int.from_bytes(blake2b(value, digest_size=8).digest(), "big")


def rendezvous_draws(key_hash: int, target_hashes: Iterable[int]) -> list[float]:
    """Return a number above 0 and up to 1 that the key draws for each target.

    The order of ``-log(draw) / weight`` selects targets in proportion to their weights,
    see Schindelhauer and Schomaker, "Weighted Distributed Hash Tables" (SPAA 2005).
    Mixing two hashes costs half as much as hashing the pair. The mixing is that of
    Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators" (OOPSLA
    2014), without its first and last shift.
    """
    draws = []
    for target_hash in target_hashes:
        mixed = (key_hash ^ target_hash) * 0xBF58476D1CE4E5B9 & _MASK
        mixed = (mixed ^ mixed >> 32) * 0x94D049BB133111EB & _MASK
        draws.append(((mixed >> 11) + 1) * _DRAW_UNIT)
    return draws


def _score(key: bytes, target: bytes) -> bytes:
    return blake2b(target, digest_size=8, key=key).digest()
