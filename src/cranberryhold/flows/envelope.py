"""The header that entry instances and sidecars put before a flow's packet.

The entry instance lists the targets to try, in order, so that a sidecar can pass a
packet on without knowing the other members.
"""

import struct
from enum import IntEnum
from hashlib import blake2b

from msgspec import Struct

MAGIC = 0xC7
# One bit for each in the field that marks the unsure ones.
MAX_CANDIDATES = 120
# What an Ethernet frame carries in a UDP datagram.
MAX_DATAGRAM_BYTES = 1472
NO_CANDIDATE = 0xFF
MAX_LOAD = 0xFF
TAG_BYTES = 4

_UNSURE_BYTES = MAX_CANDIDATES // 8
_ADDRESS_BYTES = 4
_FIXED = struct.Struct(f"!BBBB4s4s{_UNSURE_BYTES}sBB?")


class Purpose(IntEnum):
    """What the receiving sidecar does with the packet.

    OPEN offers a SYN to the target, as long as it has a free slot; the least loaded
    candidate takes it if none has. SEEK delivers only where the flow is known, then
    asks the sidecars that started after their targets. DIRECT is for the sidecar
    that reported the flow.
    """

    OPEN = 1
    OPEN_AT_BEST = 2
    SEEK = 3
    SEEK_AT_UNSURE = 4
    DIRECT = 5


class Envelope(Struct):
    """A packet on its way between members.

    :param purpose: what to do with the packet.
    :param position: index of the candidate that it is addressed to.
    :param origin: packed IPv4 number of the entry instance that took the packet.
    :param service: tag of the service that a SYN is for.
    :param unsure: bit per candidate that could not tell whether it holds the flow.
    :param best: index of the least loaded candidate so far, or ``NO_CANDIDATE``.
    :param best_load: that candidate's load in percent of its slots, at most 255.
    :param complete: whether the candidates are all members that may hold the flow.
    :param candidates: packed IPv4 numbers of the sidecars to try, in order.
    :param packet: the packet of the flow.
    """

    purpose: Purpose
    position: int
    origin: bytes
    service: bytes
    candidates: tuple[bytes, ...]
    packet: bytes
    unsure: int = 0
    best: int = NO_CANDIDATE
    best_load: int = MAX_LOAD
    complete: bool = False

    def encode(self) -> bytes:
        """Return the datagram."""
        head = _FIXED.pack(
            MAGIC,
            self.purpose,
            self.position,
            len(self.candidates),
            self.origin,
            self.service,
            self.unsure.to_bytes(_UNSURE_BYTES, "big"),
            self.best,
            self.best_load,
            self.complete,
        )
        return head + b"".join(self.candidates) + self.packet

    @property
    def receiver(self) -> bytes:
        """Packed IPv4 number of the candidate that it is addressed to."""
        return self.candidates[self.position]


def decode_envelope(datagram: bytes) -> Envelope | None:
    """Return the envelope, or None if the datagram is malformed."""
    if len(datagram) < _FIXED.size or datagram[0] != MAGIC:
        return None
    (
        _,
        purpose,
        position,
        count,
        origin,
        service,
        unsure,
        best,
        load,
        complete,
    ) = _FIXED.unpack_from(datagram)
    end = _FIXED.size + _ADDRESS_BYTES * count
    if (
        not Purpose.OPEN <= purpose <= Purpose.DIRECT
        or not 0 < count <= MAX_CANDIDATES
        or position >= count
        or (best != NO_CANDIDATE and best >= count)
        or len(datagram) <= end
    ):
        return None
    candidates = tuple(
        datagram[start : start + _ADDRESS_BYTES]
        for start in range(_FIXED.size, end, _ADDRESS_BYTES)
    )
    return Envelope(
        Purpose(purpose),
        position,
        origin,
        service,
        candidates,
        datagram[end:],
        int.from_bytes(unsure, "big"),
        best,
        load,
        complete,
    )


def candidates_that_fit(packet_bytes: int) -> int:
    """Return how many candidates fit beside a packet of this length."""
    left = MAX_DATAGRAM_BYTES - _FIXED.size - packet_bytes
    return min(MAX_CANDIDATES, left // _ADDRESS_BYTES)


def service_tag(service: str) -> bytes:
    """Return the 4 bytes that stand for a service's name between members."""
    return blake2b(service.encode(), digest_size=TAG_BYTES).digest()
