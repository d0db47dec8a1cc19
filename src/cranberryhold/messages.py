"""Messages between members: sealed datagrams and zmq calls, encoded as MessagePack.

Datagrams are arrays that start with a small integer tag, so that a probe stays
near 60 bytes. Calls are ordinary structs that travel under their class name;
any module may add one by deriving from :class:`ControlMessage`.
"""

from functools import lru_cache

from msgspec import MsgspecError, Raw, Struct
from msgspec.msgpack import Decoder, Encoder

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.members import Member, MemberState, Role

MAX_DATAGRAM_BYTES = 1400
"""Upper limit of a sealed datagram: fits an Ethernet frame with tunnel headers."""

SEAL_BYTES = 29
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - SEAL_BYTES


class Record(Struct, array_like=True, frozen=True, gc=False):
    """A member record on the wire; see :class:`~cranberryhold.members.Member`."""

    node_id: str
    role: int
    zone: str
    region: str
    control: bytes
    forward: bytes
    service: str
    weight: int
    incarnation: int
    state: int
    version: int

    def to_member(self) -> Member:
        """Return the record as a member.

        :raises ValueError: if a field has an impossible value.
        """
        if not (0 <= self.weight <= 100 and 0 <= self.incarnation < 1 << 32):
            raise ValueError("weight or incarnation out of range")
        if len(self.control) != 6 or len(self.forward) != 6:
            raise ValueError("an address has 6 bytes")
        return Member(
            self.node_id,
            Role(self.role),
            self.zone,
            self.region,
            _address(self.control),
            _address(self.forward),
            self.service,
            self.weight,
            self.incarnation,
            MemberState(self.state),
            self.version,
        )


_address = lru_cache(maxsize=32768)(Address.unpack)


class Datagram(Struct, array_like=True, frozen=True, gc=False):
    """Base of all datagrams."""


class Heartbeat(Struct, array_like=True, frozen=True, gc=False):
    """What each probe and answer tells of its sender.

    :param generation: generation of the manifest in force, 0 for none.
    :param store_age_s: whole seconds since the store was last known to answer, -1
        if that is not known.
    """

    generation: int = 0
    store_age_s: int = -1


class Ping(Datagram, tag=1):
    """A probe; answered only by the node that it names.

    :param rumors: records piggybacked on the probe.
    """

    number: int
    sender: str
    target: str
    heartbeat: Heartbeat
    rumors: list[Record] = []


class Ack(Datagram, tag=2):
    """Answer to a probe, direct or through a proxy."""

    number: int
    sender: str
    heartbeat: Heartbeat
    rumors: list[Record] = []


class ProbeRequest(Datagram, tag=3):
    """Asks a proxy to probe a member and to pass the answer on."""

    number: int
    target: str
    target_address: bytes


class Nack(Datagram, tag=4):
    """The proxy is up and has had no answer from the member."""

    number: int


class Gossip(Datagram, tag=5):
    """Records that are new to the sender."""

    rumors: list[Record]


class Join(Datagram, tag=6):
    """A new member presents itself to a contact."""

    record: Record


class Welcome(Datagram, tag=7):
    """Answer to :class:`Join`; the first record is the sender's own."""

    rumors: list[Record]


class BucketDigests(Datagram, tag=8):
    """Digests (4 bytes each) of the sender's buckets of records."""

    digests: bytes


class Summary(Datagram, tag=9):
    """Node hash and fingerprint (4 bytes each) of all records of some buckets."""

    buckets: dict[int, bytes]


class Exchange(Datagram, tag=10):
    """Records that the receiver lacks, and node hashes of those wanted from it."""

    rumors: list[Record]
    wanted: list[int] = []


class Announcement(Datagram, tag=11):
    """A new manifest generation is in force at the sender.

    :param digest: digest of the accepted manifest.
    :param delta: encoded :class:`ManifestDelta` to the previous generation, empty if
        it does not fit. The digest shows whether it led to the right result.
    """

    generation: int
    digest: bytes
    delta: bytes = b""


class StatusRequest(Datagram, tag=12):
    """Asks for :class:`Status`."""

    number: int


class Status(Datagram, tag=13):
    """What a member has in force."""

    number: int
    node_id: str
    heartbeat: Heartbeat


class ServiceLoad(Datagram, tag=14):
    """How busy a target is, told to the other targets of its service.

    :param connections: open connections of callers.
    :param running: requests that hold a slot.
    :param waiting: requests that wait for one.
    """

    sender: str
    connections: int
    running: int
    waiting: int
    slots: int


_TYPES = (
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
_datagrams = Decoder(_TYPES)

encode = _encoder.encode


def decode_datagram(data: bytes) -> Datagram:
    """Read a datagram.

    :raises PeerError: if it is malformed.
    """
    try:
        return _datagrams.decode(data)
    except MsgspecError as error:
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
    """Return a member's encoded record, which fits wherever a record is expected."""
    return Raw(encode(record_of(member)))


class ControlMessage(Struct, kw_only=True):
    """Base of all messages of zmq calls; registers subclasses by class name."""

    _types = {}

    def __init_subclass__(cls, **options: object) -> None:
        super().__init_subclass__(**options)
        ControlMessage._types[cls.__name__] = cls


class Failure(ControlMessage):
    """The handler of a call failed."""

    message: str


class RecordsRequest(ControlMessage):
    """Asks for all records of some buckets."""

    buckets: list[int]


class Records(ControlMessage):
    """Answer to :class:`RecordsRequest`."""

    records: list[Record]


class ManifestRequest(ControlMessage):
    """Asks for the manifest in force, as a delta to what the sender has.

    :param generation: generation in force at the sender, 0 for none.
    :param digests: digest of each service that the sender has.
    """

    generation: int
    digests: dict[str, bytes]


class ManifestDelta(ControlMessage, omit_defaults=True):
    """What differs between two accepted manifests.

    :param generation: generation after the change, 0 if the sender has no manifest.
    :param services: compressed JSON list of the new and changed services.
    :param removed: names of the services that are gone.
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
    """Read what :func:`encode_call` wrote.

    :raises PeerError: if the type is unknown or the data malformed.
    """
    kind = ControlMessage._types.get(name.decode(errors="replace"))
    if kind is None:
        raise PeerError(f"unknown message type {name!r}", step="decode call")
    try:
        return _call_decoder(kind).decode(data)
    except MsgspecError as error:
        raise PeerError(f"malformed call: {error}", step="decode call") from error


@lru_cache(maxsize=256)
def _call_decoder(kind: type) -> Decoder:
    return Decoder(kind)
