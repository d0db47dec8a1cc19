"""Bytes on the wire and processor time per datagram of each type."""

from collections.abc import Iterator

from cranberryhold.membership.gossip import BUCKETS, TableDigest
from cranberryhold.membership.links import OVERHEAD_BYTES
from cranberryhold.membership.members import MemberTable
from cranberryhold.membership.messages import (
    Ack,
    Announcement,
    BucketDigests,
    Datagram,
    Exchange,
    Gossip,
    Heartbeat,
    Join,
    Nack,
    Ping,
    ProbeRequest,
    ServiceLoad,
    Status,
    StatusRequest,
    Summary,
    Welcome,
    decode_datagram,
    encode,
    encoded_record,
    record_of,
)
from tools.bench_parts import KEYS
from tools.clusters import Cluster
from tools.slope_parts.fits import Slope
from tools.slope_parts.meters import min_processor_seconds

_RECORDS = (0, 4, 8, 12)
_COUNTS = (500, 1000, 2000)
_FLEET_SIZE = 7430
_HEARTBEAT = Heartbeat(1200, 30)


def slopes(seed: int) -> Iterator[Slope]:
    """Yield size and processor time of each type of datagram."""
    cluster = Cluster(seed, zones=8)
    members = [cluster.member(i) for i in range(_FLEET_SIZE)]
    table = MemberTable()
    for member in members:
        table.merge(member)
    digest = TableDigest(table)
    records = [encoded_record(m) for m in members[: _RECORDS[-1]]]
    address = members[0].control_address.pack()
    name = members[0].node_id

    record_carriers = {
        "ping": lambda n: Ping(1000, name, name, _HEARTBEAT, records[:n]),
        "ack": lambda n: Ack(1000, name, _HEARTBEAT, records[:n]),
        "gossip": lambda n: Gossip(records[:n]),
        "welcome": lambda n: Welcome(records[:n]),
        "exchange": lambda n: Exchange(records[:n]),
    }
    for kind, build in record_carriers.items():
        points = tuple((n, _wire_bytes(build(n))) for n in _RECORDS)
        yield Slope(f"datagram.{kind}.bytes", "bytes", "record", points)
    points = tuple((n, _wire_bytes(_announcement(n))) for n in (0, 300, 600, 900))
    yield Slope("datagram.announcement.bytes", "bytes", "byte of delta", points)
    fixed_size = {
        "ping": record_carriers["ping"](0),
        "ack": record_carriers["ack"](0),
        "gossip": record_carriers["gossip"](1),
        "probe-request": ProbeRequest(1000, name, address),
        "nack": Nack(1000),
        "join": Join(record_of(members[0])),
        "bucket-digests": BucketDigests(digest.pack()),
        "summary": Summary({0: digest.summary(0)}),
        "exchange": record_carriers["exchange"](8),
        "welcome": record_carriers["welcome"](8),
        "announcement": _announcement(400),
        "service-load": ServiceLoad(name, 1385, 4, 2, 4),
        "status-request": StatusRequest(1000),
        "status": Status(1000, name, _HEARTBEAT),
    }
    for kind, message in fixed_size.items():
        points = tuple((n, n * _wire_bytes(message)) for n in _COUNTS)
        yield Slope(f"datagram.{kind}.wire", "bytes", "datagram", points)
        points = tuple((n, _round_trip_time(message, n)) for n in _COUNTS)
        yield Slope(f"datagram.{kind}.time", "s", "datagram", points)
    sizes = (500, 2000, _FLEET_SIZE)
    points = tuple((n, sum(len(encoded_record(m)) for m in members[:n])) for n in sizes)
    yield Slope("member.record", "bytes", "member", points)
    points = tuple((n, _summary_bytes(members[:n])) for n in sizes)
    yield Slope("member.summary", "bytes", "member", points)


def _announcement(delta_bytes: int) -> Announcement:
    return Announcement(generation=1200, digest=bytes(16), delta=bytes(delta_bytes))


def _wire_bytes(message: Datagram) -> int:
    return len(encode(message)) + OVERHEAD_BYTES


def _round_trip_time(message: Datagram, count: int) -> float:
    """Return the time to encode, seal, unseal and decode a message ``count`` times."""

    def round_trips() -> None:
        for _ in range(count):
            sealed = KEYS.seal(b"gossip", encode(message))
            decode_datagram(KEYS.unseal(b"gossip", sealed))

    return min_processor_seconds(round_trips, 3)


def _summary_bytes(members: list) -> float:
    table = MemberTable()
    for member in members:
        table.merge(member)
    digest = TableDigest(table)
    return sum(len(digest.summary(bucket)) for bucket in range(BUCKETS))
