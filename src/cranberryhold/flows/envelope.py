"""Encapsulation header for packets that members forward to sidecars.

The header carries the ordered list of candidate sidecars, so that a sidecar can
forward a packet to the next one without knowing the other members.
"""

import struct
from _blake2 import blake2b

from cranberryhold.choices import IntChoice
from cranberryhold.flows.admission.terms import (
    TERMS_BYTES,
    OpeningTerms,
    decode_terms,
)
from cranberryhold.structs import Struct

# Bounded by the width of the ``inconclusive`` bitmap, one bit per candidate. Members of
# an older version know the narrow format only, which suffices for most services.
MAX_NARROW_CANDIDATES = 120
MAX_CANDIDATES = 240
NARROW_MAGIC = 0xC7
WIDE_MAGIC = 0xC8
# For openings with terms, sent only to sidecars that report that they read them.
TERMS_MAGIC = 0xC9
# An opening has few candidates.
MAX_TERMS_CANDIDATES = 16
# Largest UDP payload in one Ethernet frame (1500 bytes less the IPv4 and UDP headers).
MAX_DATAGRAM_BYTES = 1472
NO_CANDIDATE = 0xFF
MAX_LOAD_PERCENT = 0xFF
TAG_BYTES = 4

_ADDRESS_BYTES = 4


class _Format:
    """Layout of the header for a number of candidates.

    :param magic: first byte, which identifies the format.
    :param max_candidates: number of candidates that it has bits for.
    :param terms_bytes: length of the terms of an opening, 0 if it has none.
    """

    def __init__(self, magic: int, max_candidates: int, terms_bytes: int = 0) -> None:
        self.magic = magic
        self.max_candidates = max_candidates
        self.bitmap_bytes = max_candidates // 8
        self.header = struct.Struct(f"!BBBB4s4s{self.bitmap_bytes}sBB?{terms_bytes}s")

    def capacity(self, packet_bytes: int) -> int:
        """Return how many candidates fit into a datagram beside a packet."""
        available = MAX_DATAGRAM_BYTES - self.header.size - packet_bytes
        return min(self.max_candidates, available // _ADDRESS_BYTES)


_NARROW = _Format(NARROW_MAGIC, MAX_NARROW_CANDIDATES)
_WIDE = _Format(WIDE_MAGIC, MAX_CANDIDATES)
_TERMS = _Format(TERMS_MAGIC, MAX_TERMS_CANDIDATES, TERMS_BYTES)
_FORMATS = {form.magic: form for form in (_NARROW, _WIDE, _TERMS)}


class Purpose(IntChoice):
    """How the receiving sidecar handles the packet.

    OPEN offers a SYN to each candidate in turn until one has a free slot; if none
    has, OPEN_AT_LEAST_LOADED returns it to the least loaded one. SEARCH delivers the
    packet only where the flow is known; SEARCH_INCONCLUSIVE then tries the sidecars
    whose flow tables may be incomplete because they started after their targets.
    DIRECT is for the sidecar that reported the flow. INQUIRY carries only the header of
    a packet beside which not all candidates fit: it is delivered to no target, and
    finds out where the flow is held, or that no target holds it.
    """

    OPEN = 1
    OPEN_AT_LEAST_LOADED = 2
    SEARCH = 3
    SEARCH_INCONCLUSIVE = 4
    DIRECT = 5
    INQUIRY = 6


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
    :param least_load: that candidate's load in percent of its slots, at most 255; for
        an opening that may wait, the expected time until its answer in units of 10 ms.
    :param complete: whether the candidates are all members that may hold the flow.
    :param candidates: packed IPv4 addresses of the sidecars to try, in order.
    :param packet: the encapsulated packet, or its header.
    :param terms: terms of an opening, None if it carries none.
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
    terms: OpeningTerms | None = None

    def encode(self) -> bytes:
        """Return the datagram to send."""
        form = self._format
        header = form.header.pack(
            form.magic,
            self.purpose,
            self.position,
            len(self.candidates),
            self.origin,
            self.service,
            self.inconclusive.to_bytes(form.bitmap_bytes, "big"),
            self.least_loaded,
            self.least_load,
            self.complete,
            self.terms.encode() if self.terms is not None else b"",
        )
        return header + b"".join(self.candidates) + self.packet

    @property
    def _format(self) -> _Format:
        if self.terms is not None:
            return _TERMS
        return _NARROW if len(self.candidates) <= MAX_NARROW_CANDIDATES else _WIDE

    @property
    def receiver(self) -> bytes:
        """Packed IPv4 address of the candidate that it is addressed to."""
        return self.candidates[self.position]

    def next_search_position(self) -> int | None:
        """Return the next candidate of a search, None after the last one.

        A search ends with the candidates that could not tell; their targets tell. The
        purpose changes when it gets there.
        """
        start = self.position + 1
        if self.purpose in (Purpose.SEARCH, Purpose.INQUIRY):
            if start < len(self.candidates):
                return start
            if self.purpose is Purpose.INQUIRY:
                return None
            start = 0
            self.purpose = Purpose.SEARCH_INCONCLUSIVE
        return next(
            (
                position
                for position in range(start, len(self.candidates))
                if self.inconclusive >> position & 1
            ),
            None,
        )


def decode_envelope(datagram: bytes) -> Envelope | None:
    """Decode a datagram; return None if it is malformed."""
    form = _FORMATS.get(datagram[0]) if datagram else None
    if form is None or len(datagram) < form.header.size:
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
        terms,
    ) = form.header.unpack_from(datagram)
    end = form.header.size + _ADDRESS_BYTES * count
    if (
        not Purpose.OPEN <= purpose <= Purpose.INQUIRY
        or not 0 < count <= form.max_candidates
        or position >= count
        or (least_loaded != NO_CANDIDATE and least_loaded >= count)
        or len(datagram) <= end
    ):
        return None
    candidates = tuple(
        datagram[start : start + _ADDRESS_BYTES]
        for start in range(form.header.size, end, _ADDRESS_BYTES)
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
        decode_terms(terms) if terms else None,
    )


def max_candidates_for(packet_bytes: int) -> int:
    """Return how many candidates fit into a datagram with a packet of this length."""
    return max(_NARROW.capacity(packet_bytes), _WIDE.capacity(packet_bytes))


def service_tag(service: str) -> bytes:
    """Return the 4-byte hash that identifies a service between members."""
    return blake2b(service.encode(), digest_size=TAG_BYTES).digest()
