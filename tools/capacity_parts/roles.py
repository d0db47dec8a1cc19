"""Figures of the capacity page, one list per role."""

from tools.capacity_parts.markdown import Figure
from tools.capacity_parts.model import UPDATES_PER_FAILURE, UPDATES_PER_RESTART, Model
from tools.capacity_parts.sizes import (
    BYTES_PER_SECOND_LIMIT,
    CORE_LIMIT,
    DAY_S,
    MEMORY_LIMIT,
    STORE_READS_LIMIT,
    STORE_WRITES_LIMIT,
)


def _control_figures(role: str) -> list[Figure]:
    """Return the figures of membership and manifest, with the totals of a role."""
    is_entry = role == "entry"

    def core(m: Model) -> float:
        return m.control_core + (m.tables_core if is_entry else m.load_report_core)

    def sent(m: Model) -> float:
        return m.control_bytes + (0 if is_entry else m.load_report_bytes)

    def memory(m: Model) -> float:
        return m.entry_memory if is_entry else m.sidecar_memory

    return [
        Figure(
            "member records",
            "",
            lambda m: m.site.members,
            "process.memory",
            "each member holds all records",
        ),
        Figure(
            "memory of the member records",
            "B",
            lambda m: m.members_memory,
            "process.memory",
            "frozen records and one encoded copy of each",
        ),
        Figure(
            "memory of the manifest",
            "B",
            lambda m: m.manifest_memory,
            "manifest.memory manifest.bytes",
            "the current one and the previous one",
        ),
        Figure(
            "memory in all, without flows",
            "B",
            memory,
            "process.memory manifest.memory"
            + (" service.table.memory" if is_entry else ""),
            "sum, including the process itself",
            MEMORY_LIMIT,
        ),
        Figure(
            "probing and anti-entropy sent",
            "B/s",
            lambda m: m.log_fitted_cost("steady.bytes"),
            "steady.bytes",
            "one probe a second, digests every 10 s, regardless of size",
        ),
        Figure(
            "membership updates, steady day",
            "1/s",
            lambda m: m.updates_per_s,
            "change.bytes",
            f"{UPDATES_PER_RESTART} per restart (with slow start), "
            f"{UPDATES_PER_FAILURE} per failure",
        ),
        Figure(
            "membership updates sent",
            "B/s",
            lambda m: m.update_bytes,
            "change.bytes",
            "fan-out of 4, then piggybacked on probes and replies",
        ),
        Figure(
            "member tables sent to new members",
            "B/s",
            lambda m: m.join_bytes,
            "member.record",
            "each part pulled from a different random member",
        ),
        Figure(
            "manifest changes sent, mean of a day",
            "B/s",
            lambda m: m.site.changes / DAY_S * m.change_bytes,
            "announcement.datagrams datagram.announcement.bytes manifest.delta.bytes",
            "compressed delta inside the announcement",
        ),
        Figure(
            "datagrams sent (as many are received)",
            "1/s",
            lambda m: m.datagrams + (0 if is_entry else m.load_reports_per_s),
            "steady.datagrams change.datagrams announcement.datagrams",
            "single sealed datagrams",
        ),
        Figure(
            "control bytes sent (as many are received)",
            "B/s",
            sent,
            "steady.bytes change.bytes member.record",
            "sum; the token bucket enforces the limit",
            BYTES_PER_SECOND_LIMIT,
        ),
        Figure(
            "processor, total for control",
            "core",
            core,
            "steady.time change.time manifest.adopt.time datagram.ping.time"
            + (" table.rebuild.time" if is_entry else " datagram.service-load.time"),
            "sum of a steady day, including tables"
            if is_entry
            else "sum of a steady day",
            CORE_LIMIT,
        ),
    ]


ENTRY = [
    *_control_figures("entry"),
    Figure(
        "memory of the tables",
        "B",
        lambda m: m.tables_memory,
        "service.table.memory",
        "one Maglev table per service of 10 targets",
    ),
    Figure(
        "rebuilding tables",
        "core",
        lambda m: m.tables_core,
        "table.rebuild.time",
        "only when targets or weights change",
    ),
    Figure(
        "first packets",
        "1/s",
        lambda m: m.site.new_flows / m.site.entries,
        "flow.new.time",
        "Maglev table, no state per flow (not control)",
    ),
    Figure(
        "processor for first packets",
        "core",
        lambda m: m.site.new_flows / m.site.entries * m.unit_cost("flow.new.time"),
        "flow.new.time",
        "routing and the header; system calls not included (not control)",
    ),
    Figure(
        "processor per packet of a flow",
        "s",
        lambda m: m.unit_cost("flow.packet.time"),
        "flow.packet.time",
        "the target is in the connection id (not control)",
    ),
]

SIDECAR = [
    *_control_figures("sidecar"),
    Figure(
        "load reports sent to other targets of the service",
        "B/s",
        lambda m: m.load_report_bytes,
        "datagram.service-load.wire",
        "one datagram to each (at most 16) every 2 s",
    ),
    Figure(
        "handshakes",
        "1/s",
        lambda m: m.handshakes,
        "flow.handshake.time",
        "QUIC is terminated at the sidecar (not control)",
    ),
    Figure(
        "processor per handshake",
        "s",
        lambda m: m.unit_cost("flow.handshake.time"),
        "flow.handshake.time",
        "TLS 1.3 with an ECDSA P-256 certificate (not control)",
    ),
    Figure(
        "processor per closed connection",
        "s",
        lambda m: m.close_s,
        "flow.close.time",
        "a scan over the ids of all open connections (not control)",
    ),
    Figure(
        "processor for handshakes and closes",
        "core",
        lambda m: m.handshake_core,
        "flow.handshake.time flow.close.time",
        "sum (not control)",
    ),
    Figure(
        "processor per request",
        "s",
        lambda m: m.unit_cost("request.time"),
        "request.time",
        "HTTP/3 and the pipeline, without the upstream call (not control)",
    ),
    Figure(
        "requests a second that saturate a core",
        "1/s",
        lambda m: (1 - m.handshake_core - m.control_core) / m.unit_cost("request.time"),
        "request.time",
        "one core, less handshakes and control (not control)",
    ),
    Figure(
        "concurrent requests",
        "",
        lambda m: m.site.slots,
        "request.time",
        "slots of the upstream; today's number for the two-year size (not control)",
    ),
    Figure(
        "open connections",
        "",
        lambda m: m.site.flows_per_target,
        "flow.memory",
        "placed by weight, bounded at 1.25 times the mean (not control)",
    ),
    Figure(
        "memory per open connection",
        "B",
        lambda m: m.unit_cost("flow.memory"),
        "flow.memory",
        "aioquic's connection and HTTP/3 state (not control)",
    ),
    Figure(
        "memory of the connections",
        "B",
        lambda m: m.connections_memory,
        "flow.memory",
        "sum (not control)",
    ),
    Figure(
        "memory of 50,000 idempotency records",
        "B",
        lambda m: m.records_memory,
        "idempotency.memory",
        "with responses of 200 bytes; their number is bounded (not control)",
    ),
]

READER = [
    Figure(
        "open watches",
        "",
        lambda m: 1,
        "watch.memory",
        "two readers per zone, by rendezvous score",
    ),
    Figure(
        "memory of the watch, including the stand-in store's end",
        "B",
        lambda m: m.unit_cost("watch.memory"),
        "watch.memory",
        "one HTTP call",
    ),
    Figure(
        "calls to the store",
        "1/s",
        lambda m: (
            m.unit_cost("watch.calls") / 2
            + m.site.changes / DAY_S
            + m.checks / m.site.zones
        ),
        "watch.calls",
        "a watch lasts 55 s or until a change; the first reader checks every second",
    ),
    Figure(
        "request bytes sent to the store",
        "B/s",
        lambda m: (
            (
                m.unit_cost("watch.calls") / 2
                + m.site.changes / DAY_S
                + m.checks / m.site.zones
            )
            * m.unit_cost("watch.bytes")
        ),
        "watch.calls watch.bytes",
        "HTTP request",
    ),
    Figure(
        "bytes received per change",
        "B",
        lambda m: m.stored_answer_bytes,
        "manifest.bytes",
        "the whole value, in base64",
    ),
    Figure(
        "processor per change, in addition to a member's",
        "s",
        lambda m: max(0.0, m.slopes["manifest.read.time"].predict(m.kilobytes)),
        "manifest.read.time",
        "reading the document",
    ),
    Figure(
        "processor, mean of a day",
        "core",
        lambda m: (
            m.site.changes
            / DAY_S
            * max(0.0, m.slopes["manifest.read.time"].predict(m.kilobytes))
        ),
        "manifest.read.time",
        "sum",
        CORE_LIMIT,
    ),
]

PLATFORM = [
    Figure(
        "open watches",
        "",
        lambda m: m.readers,
        "watch.calls",
        "grows with the zones, not with the fleet",
    ),
    Figure(
        "reads a second",
        "1/s",
        lambda m: m.store_reads,
        "watch.calls",
        "watches that end, a check a second in each zone, and one read per apply",
        STORE_READS_LIMIT,
    ),
    Figure(
        "writes a second, mean of a day",
        "1/s",
        lambda m: m.site.changes / DAY_S,
        "watch.calls",
        "one compare-and-swap per change",
        STORE_WRITES_LIMIT,
    ),
    Figure(
        "size of the value",
        "B",
        lambda m: m.document_bytes,
        "manifest.bytes",
        "one key; without the record of submissions",
        1_000_000,
    ),
    Figure(
        "response bytes per change",
        "B",
        lambda m: m.readers * m.stored_answer_bytes,
        "manifest.bytes",
        "to all readers at once",
    ),
    Figure(
        "calls a second during an outage",
        "1/s",
        lambda m: m.outage_calls,
        "watch.calls",
        "checks, and watches with a backoff of 5 s at most, with jitter",
    ),
    Figure(
        "if each member held a watch",
        "1/s",
        lambda m: m.watch_reads,
        "watch.calls",
        "rejected: every change would end all of them at once",
    ),
    Figure(
        "if each member renewed a lease every 10 s",
        "1/s",
        lambda m: m.lease_writes,
        "watch.calls",
        "rejected: no lease is needed for correctness",
    ),
]

OPERATORS = [
    Figure(
        "`apply`: bytes sent and received",
        "B",
        lambda m: m.stored_answer_bytes + m.document_bytes,
        "manifest.bytes",
        "one read and one compare-and-swap",
    ),
    Figure(
        "`status` of all members: bytes sent",
        "B",
        lambda m: m.site.members * m.unit_cost("datagram.status-request.wire"),
        "datagram.status-request.wire",
        "one datagram to each member that is asked",
    ),
    Figure(
        "`status` of all members: bytes received",
        "B",
        lambda m: m.site.members * m.unit_cost("datagram.status.wire"),
        "datagram.status.wire",
        "one datagram from each",
    ),
    Figure(
        "`status` of all members: processor",
        "s",
        lambda m: (
            m.site.members
            * (
                m.unit_cost("datagram.status.time")
                + m.unit_cost("datagram.status-request.time")
            )
        ),
        "datagram.status.time datagram.status-request.time",
        "encode, seal, unseal and decode",
    ),
    Figure(
        "if members gossiped their generations: bytes sent by each",
        "B/s",
        lambda m: (
            m.site.changes / DAY_S * m.site.members * m.log_fitted_cost("change.bytes")
        ),
        "change.bytes",
        "rejected: members are asked directly",
    ),
]
