"""Packets that were delivered to the target and that it may still return."""

from itertools import islice

from cranberryhold.flows.envelope import Envelope

# Targets return a packet within milliseconds; this covers some seconds of load.
MAX_PENDING = 2048
_TOKENS = 1 << 32


class PendingDeliveries:
    """Bounded map from tokens to the envelopes of delivered packets."""

    def __init__(self, first_token: int) -> None:
        self._next_token = first_token % _TOKENS
        self._envelopes: dict[int, Envelope] = {}

    def add(self, envelope: Envelope) -> int:
        """Store an envelope and return its token (32 bits, never 0)."""
        token = self._next_token or 1
        self._next_token = (token + 1) % _TOKENS
        if len(self._envelopes) >= MAX_PENDING:
            for oldest in list(islice(self._envelopes, MAX_PENDING // 4)):
                del self._envelopes[oldest]
        self._envelopes[token] = envelope
        return token

    def pop(self, token: int) -> Envelope | None:
        """Remove and return the envelope of a token, or None if it is unknown."""
        return self._envelopes.pop(token, None)
