"""Entries and heartbeats of other writers: each is left out, the others hold."""

from random import Random

import pytest
from msgspec import msgpack

from cranberryhold.exceptions import ManifestError, PeerError
from cranberryhold.flows.peer_messages import (
    Leaving,
    decode_message,
    encode_message,
)
from cranberryhold.manifest.deltas import decode_delta, encode_delta
from cranberryhold.membership.messages import (
    ManifestDelta,
    StatusRequest,
    decode_datagram,
    encode,
)

FIXARRAY, FIXMAP = 0x90, 0x80
NESTED_FIELD = b"\x91" * 1100 + b"\xc0"


def with_nested_field(message: bytes) -> bytes:
    """Append a field that decoders skip to a short array or map in MessagePack."""
    assert message[0] & 0xF0 in (FIXARRAY, FIXMAP)
    name = b"\xa5later" if message[0] & 0xF0 == FIXMAP else b""
    return bytes((message[0] + 1,)) + message[1:] + name + NESTED_FIELD


class TestMessages:
    def test_a_deeply_nested_message_is_malformed(self):
        assert decode_message(with_nested_field(encode_message(Leaving(1, 0)))) is None
        with pytest.raises(PeerError):
            decode_datagram(with_nested_field(encode(StatusRequest(1))))
        with pytest.raises(ManifestError):
            decode_delta(with_nested_field(encode_delta(ManifestDelta(generation=1))))

    def test_random_messages_are_decoded_or_malformed(self):
        random = Random(7)
        for _ in range(2000):
            value = [random.getrandbits(random.choice((3, 8, 33, 63)))]
            value += [random.choice((b"", "a", 2**63, -1, None, [[]]))] * 9
            decode_message(msgpack.encode(value))
