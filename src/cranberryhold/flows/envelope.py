"""Encapsulation header for packets that members forward to sidecars.

The header carries the ordered list of candidate sidecars, so that a sidecar can
forward a packet to the next one without knowing the other members.
"""

import struct
from enum import IntEnum
from hashlib import blake2b

from msgspec import Struct

MAGIC = 0xC7
# Bounded by the width of the ``inconclusive`` bitmap, one bit per candidate.
MAX_CANDIDATES = 120
# Largest UDP payload in one Ethernet frame (1500 bytes less the IPv4 and UDP headers).
MAX_DATAGRAM_BYTES = 1472
NO_CANDIDATE = 0xFF
MAX_LOAD_PERCENT = 0xFF
TAG_BYTES = 4

_INCONCLUSIVE_BYTES = MAX_CANDIDATES // 8
_ADDRESS_BYTES = 4
_HEADER = struct.Struct(f"!BBBB4s4s{_INCONCLUSIVE_BYTES}sBB?")


class Purpose(IntEnum):
    """How the receiving sidecar handles the packet.

    OPEN offers a SYN to each candidate in turn until one has a free slot; if none
    has, OPEN_AT_LEAST_LOADED returns it to the least loaded one. SEARCH delivers the
    packet only where the flow is known; SEARCH_INCONCLUSIVE then tries the sidecars
    whose flow tables may be incomplete because they started after their targets.
    DIRECT is for the sidecar that reported the flow.
    """

    OPEN = 1
    OPEN_AT_LEAST_LOADED = 2
    SEARCH = 3
    SEARCH_INCONCLUSIVE = 4
    DIRECT = 5


class Envelope(Struct):
    """A packet with its encapsulation header, as members exchange it.

    :param purpose: how to handle the packet.
    :param position: index of the candidate that it is addressed to.
    :param origin: packed IPv4 address of the entry instance that received the packet.
    :param service: tag of the service that a SYN is for.
    :param inconclusive: bitmap of the candidates that could not tell whether they
        hold the flow.
    :param least_loaded: index of the least loaded candidate so far, or
        ``NO_CANDIDATE``.
    :param least_load: that candidate's load in percent of its slots, at most 255.
    :param complete: whether the candidates are all members that may hold the flow.
    :param candidates: packed IPv4 addresses of the sidecars to try, in order.
    :param packet: the encapsulated packet.
    """

    purpose: Purpose
    position: int
    origin: bytes
    service: bytes
    candidates: tuple[bytes, ...]
    packet: bytes
    inconclusive: int = 0
    least_loaded: int = NO_CANDIDATE
    least_load: int = MAX_LOAD_PERCENT
    complete: bool = False

    def encode(self) -> bytes:
        """Return the datagram to send."""
        header = _HEADER.pack(
            MAGIC,
            self.purpose,
            self.position,
            len(self.candidates),
            self.origin,
            self.service,
            self.inconclusive.to_bytes(_INCONCLUSIVE_BYTES, "big"),
            self.least_loaded,
            self.least_load,
            self.complete,
        )
        return header + b"".join(self.candidates) + self.packet

    @property
    def receiver(self) -> bytes:
        """Packed IPv4 address of the candidate that it is addressed to."""
        return self.candidates[self.position]


def decode_envelope(datagram: bytes) -> Envelope | None:
    """Decode a datagram; return None if it is malformed."""
    if len(datagram) < _HEADER.size or datagram[0] != MAGIC:
        return None
    (
        _,
        purpose,
        position,
        count,
        origin,
        service,
        inconclusive,
        least_loaded,
        least_load,
        complete,
    ) = _HEADER.unpack_from(datagram)
    end = _HEADER.size + _ADDRESS_BYTES * count
    if (
        not Purpose.OPEN <= purpose <= Purpose.DIRECT
        or not 0 < count <= MAX_CANDIDATES
        or position >= count
        or (least_loaded != NO_CANDIDATE and least_loaded >= count)
        or len(datagram) <= end
    ):
        return None
    candidates = tuple(
        datagram[start : start + _ADDRESS_BYTES]
        for start in range(_HEADER.size, end, _ADDRESS_BYTES)
    )
    return Envelope(
        Purpose(purpose),
        position,
        origin,
        service,
        candidates,
        datagram[end:],
        int.from_bytes(inconclusive, "big"),
        least_loaded,
        least_load,
        complete,
    )


def max_candidates_for(packet_bytes: int) -> int:
    """Return how many candidates fit into a datagram with a packet of this length."""
    available = MAX_DATAGRAM_BYTES - _HEADER.size - packet_bytes
    return min(MAX_CANDIDATES, available // _ADDRESS_BYTES)


def service_tag(service: str) -> bytes:
    """Return the 4-byte hash that identifies a service between members."""
    return blake2b(service.encode(), digest_size=TAG_BYTES).digest()
