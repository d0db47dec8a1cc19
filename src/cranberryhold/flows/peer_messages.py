"""Datagrams by which the members tell each other what they know.

They travel over UDP, are small, and may be lost or repeated: each states a present
condition, and the next one replaces it.
"""

from typing import Annotated

from msgspec import Meta, MsgspecError, Struct, msgpack

MAX_DATAGRAM_BYTES = 1200
MAX_LISTED_PEERS = 64

PackedIp = Annotated[bytes, Meta(min_length=4, max_length=4)]
Tag = Annotated[bytes, Meta(min_length=4, max_length=4)]
FlowKey = Annotated[bytes, Meta(min_length=12, max_length=12)]


class _Message(Struct, array_like=True, frozen=True, gc=False):
    """Base of the messages; each kind has a tag on the wire."""


class SidecarStatus(_Message, tag=1):
    """What a sidecar says of its target.

    :param process: random number of the sidecar's process.
    :param zone: data centre of the instance.
    :param service: tag of the target's service, 4 zero bytes if unknown.
    :param accepts: whether the target takes new flows.
    :param slots: requests that the target works on at a time.
    :param running: requests that occupy a slot now.
    :param flows: flows that the target has not closed.
    :param cold: whether the target still is slow after its start.
    """

    process: int
    zone: str
    service: Tag
    accepts: bool
    slots: int
    running: int
    flows: int
    cold: bool


class EntryStatus(_Message, tag=2):
    """What an entry instance says of itself.

    :param process: random number of its process.
    :param zone: data centre of the instance.
    :param version: version of the configuration in effect, 0 for none.
    :param ready: whether it tells the fabric that it takes packets.
    """

    process: int
    zone: str
    version: int
    ready: bool


class PeerList(_Message, tag=3):
    """Members that the sender knows, for one that has just started.

    :param entries: packed IPv4 numbers of entry instances.
    :param sidecars: packed IPv4 numbers of sidecars.
    """

    entries: tuple[PackedIp, ...]
    sidecars: tuple[PackedIp, ...]


class FlowHeld(_Message, tag=4):
    """Tells an entry instance that the sender's target holds a flow.

    :param flow: key of the flow.
    :param first_sequence: number of the target's SYN+ACK, None if unknown.
    """

    flow: FlowKey
    first_sequence: int | None


class FlowNotHeld(_Message, tag=5):
    """Tells an entry instance that the sender's target does not hold a flow."""

    flow: FlowKey


class Leaving(_Message, tag=6):
    """The sender is about to end; nothing more should be sent to it.

    :param process: random number of its process.
    :param flows: open flows that the sender's target still holds.
    """

    process: int
    flows: int


PeerMessage = SidecarStatus | EntryStatus | PeerList | FlowHeld | FlowNotHeld | Leaving

_encoder = msgpack.Encoder()
_decoder = msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> PeerMessage | None:
    """Return the message, or None if the datagram is malformed."""
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return None
    try:
        return _decoder.decode(datagram)
    except MsgspecError:
        return None
