"""What an opening's route states about its requests, as sent to sidecars."""

import struct

from cranberryhold.structs import Struct

MAX_PRIORITY = 0xFF
MAX_MILLISECONDS = 0xFFFF
MAX_COLD_RATE = 0xFFFF
COLD_RATE_UNIT = 0.1
"""Unit of the rate in the encoded form, in openings per second."""

_FORMAT = struct.Struct("!BBHHH")
_REPEATABLE = 1
_HAS_COLD_RATE = 2
_QUEUED = 4

TERMS_BYTES = _FORMAT.size
# Terms that are kept decoded; there are as many forms as routes and cold rates.
MAX_DECODED = 64


class OpeningTerms(Struct, frozen=True):
    """Terms of the requests of a route.

    :param priority: 0 is the most urgent.
    :param objective_s: seconds in which a request should be answered.
    :param deadline_s: seconds after which its caller gives it up.
    :param repeatable: whether a request may be run more than once.
    :param cold_rate: openings per second that a cold target of the service bears, None
        if the configuration does not limit it.
    :param queued: whether the opening may wait at a sidecar, and be rejected there.
    """

    priority: int
    objective_s: float
    deadline_s: float
    repeatable: bool
    cold_rate: float | None = None
    queued: bool = False

    def encode(self) -> bytes:
        """Return the encoded form, of ``TERMS_BYTES`` bytes."""
        flags = _REPEATABLE if self.repeatable else 0
        if self.queued:
            flags |= _QUEUED
        rate = 0
        if self.cold_rate is not None:
            flags |= _HAS_COLD_RATE
            rate = min(MAX_COLD_RATE, int(self.cold_rate / COLD_RATE_UNIT))
        return _FORMAT.pack(
            min(MAX_PRIORITY, self.priority),
            flags,
            min(MAX_MILLISECONDS, int(self.objective_s * 1000)),
            min(MAX_MILLISECONDS, int(self.deadline_s * 1000)),
            rate,
        )


_decoded: dict[bytes, OpeningTerms] = {}


def decode_terms(data: bytes) -> OpeningTerms:
    """Decode the form that :meth:`OpeningTerms.encode` returns."""
    terms = _decoded.get(data)
    if terms is None:
        if len(_decoded) >= MAX_DECODED:
            _decoded.clear()
        terms = _decoded[data] = _decode(data)
    return terms


def _decode(data: bytes) -> OpeningTerms:
    priority, flags, aim_ms, deadline_ms, rate = _FORMAT.unpack(data)
    return OpeningTerms(
        priority,
        aim_ms / 1000,
        deadline_ms / 1000,
        bool(flags & _REPEATABLE),
        rate * COLD_RATE_UNIT if flags & _HAS_COLD_RATE else None,
        bool(flags & _QUEUED),
    )
