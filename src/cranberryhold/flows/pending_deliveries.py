"""Packets that were handed to the target and may come back as not its own."""

from itertools import islice

from cranberryhold.flows.envelope import Envelope

# A target returns a packet within milliseconds; this covers some seconds of load.
MAX_PENDING = 2048
_TOKENS = 1 << 32


class PendingDeliveries:
    """Remembers the envelope of each packet handed over, by its token."""

    def __init__(self, first_token: int) -> None:
        self._next = first_token % _TOKENS
        self._envelopes: dict[int, Envelope] = {}

    def add(self, envelope: Envelope) -> int:
        """Remember an envelope, and return its token (32 bits, never 0)."""
        token = self._next or 1
        self._next = (token + 1) % _TOKENS
        if len(self._envelopes) >= MAX_PENDING:
            for oldest in list(islice(self._envelopes, MAX_PENDING // 4)):
                del self._envelopes[oldest]
        self._envelopes[token] = envelope
        return token

    def take(self, token: int) -> Envelope | None:
        """Return and forget the envelope of a token; None if it is unknown."""
        return self._envelopes.pop(token, None)
