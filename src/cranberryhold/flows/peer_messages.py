"""Messages between members over UDP.

The datagrams are small, and may be lost or duplicated: each one states the sender's
current state, and the next one replaces it.
"""

from cranberryhold.documents import Limited, convert_array
from cranberryhold.exceptions import DECODE_ERRORS
from cranberryhold.flows.message_pack import pack, unpack
from cranberryhold.structs import Struct, asdict

MAX_DATAGRAM_BYTES = 1200
MAX_LISTED_PEERS = 64


class PackedIp(bytes, Limited):
    """A packed IPv4 address."""

    minimum = maximum = 4


class ServiceTag(bytes, Limited):
    """The tag of a service."""

    minimum = maximum = 4


class FlowKey(bytes, Limited):
    """The key of a flow."""

    minimum = maximum = 12


# Interval of statuses from a process of a version that does not state it.
DEFAULT_STATUS_INTERVAL_MS = 1000


class _Message(Struct, array_like=True, frozen=True):
    """Base class of the messages; each class has its own tag on the wire.

    Fields are only ever added at the end and with a default, because members of
    different versions run beside each other during an update. Decoders ignore
    additional fields.
    """


class EvacuationNotice(Struct, array_like=True, frozen=True):
    """The data centres that are evacuated, as of a position of the store.

    :param epoch: epoch of the store.
    :param revision: revision of the store that the state was read at; increases within
        an epoch.
    :param zones: names of the evacuated data centres.
    :param age_ms: milliseconds since the store last confirmed it to the sender.
    :param former_zones: data centres that were evacuated before the store was restored
        and for now remain so.
    :param former_ms: milliseconds for which they remain so.
    """

    epoch: int
    revision: int
    zones: tuple[str, ...]
    age_ms: int = 0
    former_zones: tuple[str, ...] = ()
    former_ms: int = 0


class SidecarStatus(_Message, tag=1):
    """State of a sidecar and its target.

    :param process: random number of the sidecar's process.
    :param zone: data centre of the instance.
    :param service: tag of the target's service, 4 zero bytes if unknown.
    :param accepts: whether the target takes new flows.
    :param slots: number of requests that the target processes concurrently.
    :param running: number of requests that occupy a slot now.
    :param flows: number of flows that the target has not closed.
    :param cold: whether the target is still in its slow start.
    :param interval_ms: time until the receiver is sent the next status, in
        milliseconds.
    :param presumed: whether the target is only presumed to be ready, as the sidecar
        has not received a heartbeat yet.
    :param started_anew: whether both this process and its target, if any, have started
        a moment ago.
    :param reads_terms: whether the sidecar reads envelopes with the terms of an
        opening.
    :param waiting: number of openings in the sidecar's queue.
    :param service_time_ms: observed mean time until the target answers a request, in
        milliseconds, 0 if unknown.
    :param cold_room: openings that a cold target may still be offered in the present
        second, None if it is warm or unlimited.
    :param distrust: how much of what the sidecar observes speaks against the target's
        health, from 0 to 100.
    """

    process: int
    zone: str
    service: ServiceTag
    accepts: bool
    slots: int
    running: int
    flows: int
    cold: bool
    interval_ms: int = DEFAULT_STATUS_INTERVAL_MS
    presumed: bool = False
    started_anew: bool = False
    reads_terms: bool = False
    waiting: int = 0
    service_time_ms: int = 0
    cold_room: int | None = None
    distrust: int = 0


class EntryStatus(_Message, tag=2):
    """State of an entry instance.

    :param process: random number of its process.
    :param zone: data centre of the instance.
    :param version: version of the configuration in effect, 0 for none.
    :param ready: whether it reports itself ready to the fabric.
    :param interval_ms: time until the receiver is sent the next status, in
        milliseconds.
    :param status_port: UDP port where it receives regular statuses, 0 for the port
        of all other messages.
    :param stopping: whether it was told to stop; it stays ready until its zone can
        spare it, for a short time.
    :param needs_members: whether it has started so recently that members may not have
        found it yet; it is sent the known members.
    :param evacuation: the newest known state of evacuations, None if the deployment
        does not use them or nothing is known yet.
    """

    process: int
    zone: str
    version: int
    ready: bool
    interval_ms: int = DEFAULT_STATUS_INTERVAL_MS
    status_port: int = 0
    stopping: bool = False
    needs_members: bool = False
    evacuation: EvacuationNotice | None = None


class PeerList(_Message, tag=3):
    """Members that the sender knows, sent to a process that has just started.

    :param entries: packed IPv4 addresses of entry instances.
    :param sidecars: packed IPv4 addresses of sidecars.
    :param complete: whether all parts together name every sidecar that may hold flows.
    :param list_id: number of the list, which differs between the sender's lists.
    :param part: index of this part.
    :param parts: number of parts of the list.
    """

    entries: tuple[PackedIp, ...]
    sidecars: tuple[PackedIp, ...]
    complete: bool = False
    list_id: int = 0
    part: int = 0
    parts: int = 1


class FlowHeld(_Message, tag=4):
    """Reports to an entry instance that the sender's target holds a flow.

    :param flow: key of the flow.
    :param initial_sequence: sequence number of the target's SYN+ACK, None if unknown.
    """

    flow: FlowKey
    initial_sequence: int | None


class FlowNotHeld(_Message, tag=5):
    """Reports to an entry instance that the sender's target does not hold a flow."""

    flow: FlowKey


class Leaving(_Message, tag=6):
    """Announces that the sender's process ends; nothing more should be sent to it.

    :param process: random number of its process.
    :param flows: number of open flows that the sender's target still holds.
    """

    process: int
    flows: int


class FlowNotFound(_Message, tag=7):
    """Reports to an entry instance that no target holds a flow.

    Sent at the end of a search that included every possible holder.
    """

    flow: FlowKey


class OpeningQueued(_Message, tag=8):
    """Reports to an entry instance that an opening waits at the sender.

    Sent only for openings whose terms let them wait.

    :param flow: key of the flow.
    """

    flow: FlowKey


PeerMessage = (
    SidecarStatus
    | EntryStatus
    | PeerList
    | FlowHeld
    | FlowNotHeld
    | Leaving
    | FlowNotFound
    | OpeningQueued
)

_CLASSES: dict[object, type[PeerMessage]] = {
    message_class.options["tag"]: message_class
    for message_class in PeerMessage.__args__
}


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as a datagram."""
    return pack([type(message).options["tag"], *_values(message)])


def decode_message(datagram: bytes) -> PeerMessage | None:
    """Decode a datagram; return None if it is malformed."""
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return None
    try:
        values = unpack(datagram)
        if not isinstance(values, list) or not values or type(values[0]) is not int:
            return None
        message_class = _CLASSES.get(values[0])
        if message_class is None:
            return None
        return convert_array(values[1:], message_class, "message")
    except DECODE_ERRORS:
        return None


def _values(struct: Struct) -> list[object]:
    """Return the fields of a message, those of structs in it as lists."""
    return [
        _values(value) if isinstance(value, Struct) else value
        for value in asdict(struct).values()
    ]
