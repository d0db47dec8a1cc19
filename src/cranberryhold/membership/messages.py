"""Messages between members: sealed datagrams and zmq calls, encoded as MessagePack.

Datagrams are arrays that start with a small integer tag, so that a probe takes
about 60 bytes. Calls are ordinary structs that are sent with their class name;
any module may add one by deriving from :class:`ControlMessage`.
"""

from functools import lru_cache

from msgspec import MsgspecError, Raw, Struct
from msgspec.msgpack import Decoder, Encoder

from cranberryhold.addresses import Address
from cranberryhold.exceptions import DECODE_ERRORS, PeerError
from cranberryhold.membership.members import Member, MemberState, Role

MAX_DATAGRAM_BYTES = 1400
"""Upper limit of a sealed datagram: fits an Ethernet frame with tunnel headers."""

SEAL_BYTES = 29
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - SEAL_BYTES
RECORDS_HEADER_BYTES = 200
"""Space reserved in a datagram with records for everything but them."""
MAX_RECORDS_BYTES = MAX_PAYLOAD_BYTES - RECORDS_HEADER_BYTES


class Record(Struct, array_like=True, frozen=True, gc=False):
    """Wire form of a :class:`~cranberryhold.membership.members.Member`."""

    node_id: str
    role: int
    zone: str
    region: str
    control_address: bytes
    forward_address: bytes
    service: str
    weight: int
    incarnation: int
    state: int
    version: int

    def to_member(self) -> Member:
        """Return the record as a member.

        :raises ValueError: if the value of a field is out of range.
        """
        if not (0 <= self.weight <= 100 and 0 <= self.incarnation < 1 << 32):
            raise ValueError("weight or incarnation out of range")
        if len(self.control_address) != 6 or len(self.forward_address) != 6:
            raise ValueError("a packed address must have 6 bytes")
        return Member(
            self.node_id,
            Role(self.role),
            self.zone,
            self.region,
            _unpack_address(self.control_address),
            _unpack_address(self.forward_address),
            self.service,
            self.weight,
            self.incarnation,
            MemberState(self.state),
            self.version,
        )


_unpack_address = lru_cache(maxsize=32768)(Address.unpack)


class Datagram(Struct, array_like=True, frozen=True, gc=False):
    """Base of all datagrams."""


class Heartbeat(Struct, array_like=True, frozen=True, gc=False):
    """State of the sender, carried by each probe and each answer.

    :param generation: generation of the manifest in force, 0 for none.
    :param store_age_s: whole seconds since the store was last known to answer, -1
        if that is not known.
    """

    generation: int = 0
    store_age_s: int = -1


class Ping(Datagram, tag=1):
    """A probe; answered only by the node that it names.

    :param sequence: number of the probe, repeated in the answer.
    :param updates: member records piggybacked on the probe.
    """

    sequence: int
    sender: str
    target: str
    heartbeat: Heartbeat
    updates: list[Record] = []


class Ack(Datagram, tag=2):
    """Answer to a probe, sent by the probed member or by a proxy on its behalf."""

    sequence: int
    sender: str
    heartbeat: Heartbeat
    updates: list[Record] = []


class ProbeRequest(Datagram, tag=3):
    """Asks a proxy to probe a member and to report the result."""

    sequence: int
    target: str
    target_address: bytes


class Nack(Datagram, tag=4):
    """Sent by a proxy that is itself up but received no answer from the member."""

    sequence: int


class Gossip(Datagram, tag=5):
    """Member records that the sender has learned recently."""

    updates: list[Record]


class Join(Datagram, tag=6):
    """Sent by a new member to a contact; carries the record of the sender."""

    record: Record


class Welcome(Datagram, tag=7):
    """Answer to :class:`Join`; the first record is the sender's own."""

    updates: list[Record]


class BucketDigests(Datagram, tag=8):
    """Digests (4 bytes each) of the sender's buckets of records."""

    digests: bytes


class Summary(Datagram, tag=9):
    """Node hash and fingerprint (4 bytes each) of all records of some buckets."""

    buckets: dict[int, bytes]


class Exchange(Datagram, tag=10):
    """Records that the receiver lacks, and node hashes of those that it should send."""

    updates: list[Record]
    wanted: list[int] = []


class Announcement(Datagram, tag=11):
    """A new manifest generation is in force at the sender.

    :param digest: digest of the accepted manifest.
    :param delta: encoded :class:`ManifestDelta` from the previous generation, empty
        if it does not fit. The receiver compares the digest of the result.
    """

    generation: int
    digest: bytes
    delta: bytes = b""


class StatusRequest(Datagram, tag=12):
    """Asks for :class:`Status`.

    :param request_id: repeated in the answer.
    """

    request_id: int


class Status(Datagram, tag=13):
    """Manifest generation that a member has in force."""

    request_id: int
    node_id: str
    heartbeat: Heartbeat


class ServiceLoad(Datagram, tag=14):
    """Load of a target, sent to the other targets of its service.

    :param connections: open connections of callers.
    :param running: requests that hold a slot.
    :param waiting: requests that wait for one.
    """

    sender: str
    connections: int
    running: int
    waiting: int
    slots: int


_DATAGRAM_TYPES = (
    Ping
    | Ack
    | ProbeRequest
    | Nack
    | Gossip
    | Join
    | Welcome
    | BucketDigests
    | Summary
    | Exchange
    | Announcement
    | StatusRequest
    | Status
    | ServiceLoad
)

_encoder = Encoder()
_datagram_decoder = Decoder(_DATAGRAM_TYPES)

encode = _encoder.encode


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram.

    :raises PeerError: if it is malformed.
    """
    try:
        return _datagram_decoder.decode(data)
    except (MsgspecError, *DECODE_ERRORS) as error:
        raise PeerError(
            f"malformed datagram: {error}", step="decode datagram"
        ) from error


def record_of(member: Member) -> Record:
    """Return the wire form of a member."""
    return Record(
        member.node_id,
        int(member.role),
        member.zone,
        member.region,
        member.control_address.pack(),
        member.forward_address.pack(),
        member.service,
        member.weight,
        member.incarnation,
        int(member.state),
        member.version,
    )


@lru_cache(maxsize=16384)
def encoded_record(member: Member) -> Raw:
    """Return a member's encoded record, which can replace a :class:`Record`."""
    return Raw(encode(record_of(member)))


class ControlMessage(Struct, kw_only=True):
    """Base of all messages of zmq calls; registers subclasses by class name."""

    _types = {}

    def __init_subclass__(cls, **options: object) -> None:
        super().__init_subclass__(**options)
        ControlMessage._types[cls.__name__] = cls


class Failure(ControlMessage):
    """Answer of a call whose handler failed."""

    message: str


class RecordsRequest(ControlMessage):
    """Asks for all records of some buckets."""

    buckets: list[int]


class Records(ControlMessage):
    """Answer to :class:`RecordsRequest`."""

    records: list[Record]


class ManifestRequest(ControlMessage):
    """Asks for the manifest in force, as a delta from what the sender has.

    :param generation: generation in force at the sender, 0 for none.
    :param digests: digest of each service that the sender has.
    """

    generation: int
    digests: dict[str, bytes]


class ManifestDelta(ControlMessage, omit_defaults=True):
    """Difference between two accepted manifests.

    :param generation: generation after the change, 0 if the sender has no manifest.
    :param services: compressed JSON list of the new and changed services.
    :param removed: names of the removed services.
    :param released: compressed JSON list of the released addresses.
    """

    generation: int
    submission_id: str = ""
    services: bytes = b""
    removed: list[str] = []
    released: bytes = b""


def encode_call(message: ControlMessage) -> tuple[bytes, bytes]:
    """Return the class name and the encoded fields of a message."""
    return type(message).__name__.encode(), encode(message)


def decode_call(name: bytes, data: bytes) -> ControlMessage:
    """Decode the output of :func:`encode_call`.

    :raises PeerError: if the type is unknown or the data malformed.
    """
    message_type = ControlMessage._types.get(name.decode(errors="replace"))
    if message_type is None:
        raise PeerError(f"unknown message type {name!r}", step="decode call")
    try:
        return _call_decoder(message_type).decode(data)
    except (MsgspecError, *DECODE_ERRORS) as error:
        raise PeerError(f"malformed call: {error}", step="decode call") from error


@lru_cache(maxsize=256)
def _call_decoder(message_type: type) -> Decoder:
    return Decoder(message_type)
