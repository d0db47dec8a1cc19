"""Costs of a daemon at a site: slopes times sizes."""

from dataclasses import dataclass

from cranberryhold.distribution import (
    BACKOFF_S,
    MAX_INLINE_DELTA_BYTES,
    READERS_PER_ZONE,
    WATCH_TIMEOUT_S,
)
from cranberryhold.idempotency import MAX_RECORDS
from cranberryhold.load_reports import PEERS_PER_ROUND, REPORT_INTERVAL_S
from cranberryhold.manifest import Service
from cranberryhold.placement import TABLE_SIZES, slow_start_schedule, table_size
from tools.capacity_parts.sizes import DAY_S, Site
from tools.slope_parts.fits import Slope

SLOW_START_S = Service.model_fields["slow_start_s"].default

RESTART_NEWS = len(slow_start_schedule(SLOW_START_S)) - 1 + 3
"""Records that a restart spreads: leaving, down, the join, and each later weight."""

FAILURE_NEWS = 2
"""Records that a failure spreads: suspect and down."""

BASE64 = 4 / 3
"""The store's HTTP interface returns values in base64."""


@dataclass(frozen=True)
class Model:
    """Costs of the members of a site."""

    slopes: dict[str, Slope]
    site: Site

    def unit(self, name: str) -> float:
        """Return the cost of one unit."""
        return self.slopes[name].slope

    def spread(self, name: str) -> float:
        """Return a cost that is fitted against the logarithm of the members."""
        return self.slopes[name].predict(self.site.log_members)

    def news_of_event(self, name: str) -> float:
        """Bytes that a member sends for each record that an event changes.

        The cost falls with the size as more records share a datagram. It is taken as
        no lower than in the largest run, since that gain ends with full datagrams.
        """
        slope = self.slopes[f"{name}.bytes_per_news"]
        return max(slope.predict(self.site.log_members), slope.points[-1][1])

    # News of members

    @property
    def news_per_day(self) -> float:
        """Changed records that all members hear of in a day."""
        site = self.site
        return site.restarts * RESTART_NEWS + site.failures * FAILURE_NEWS

    @property
    def news_per_s(self) -> float:
        """The same, each second of a steady day."""
        return self.news_per_day / DAY_S

    @property
    def news_bytes(self) -> float:
        """Bytes a second that a member sends for news."""
        return self.news_per_s * self.spread("change.bytes")

    @property
    def table_bytes(self) -> float:
        """Bytes of all records, which a new member pulls."""
        return self.unit("member.record") * self.site.members

    @property
    def join_bytes(self) -> float:
        """Bytes a second that a member sends to new members, on average."""
        return self.site.restarts / DAY_S * self.table_bytes / self.site.members

    # The manifest

    @property
    def document_bytes(self) -> float:
        """Bytes of the manifest."""
        return self.slopes["manifest.bytes"].predict(self.site.services)

    @property
    def kilobytes(self) -> float:
        """Kilobytes of the manifest."""
        return self.document_bytes / 1000

    @property
    def delta_bytes(self) -> float:
        """Bytes of the delta of one changed service."""
        return self.slopes["manifest.delta.bytes"].predict(1)

    @property
    def delta_fits(self) -> bool:
        """Whether that delta travels inside the announcement."""
        return self.delta_bytes <= MAX_INLINE_DELTA_BYTES

    @property
    def request_bytes(self) -> float:
        """Bytes of a pull's request, which lists the digests of all services."""
        return self.slopes["manifest.request.bytes"].predict(self.site.services)

    def announced_bytes(self, delta_bytes: float) -> float:
        """Bytes in which a member passes on a change, with a delta of this size."""
        each = self.slopes["datagram.announcement.bytes"].predict(delta_bytes)
        return self.spread("announcement.datagrams") * each

    @property
    def inline_bytes(self) -> float:
        """Bytes per member and change if the delta travels inside the datagram."""
        return self.announced_bytes(self.delta_bytes)

    @property
    def pulled_bytes(self) -> float:
        """Bytes per member and change if each member pulls the delta."""
        return self.announced_bytes(0) + self.request_bytes + self.delta_bytes

    @property
    def change_bytes(self) -> float:
        """Bytes that a member sends for a change of one service."""
        return self.inline_bytes if self.delta_fits else self.pulled_bytes

    @property
    def adopt_s(self) -> float:
        """Processor seconds for a change, at each member."""
        return max(0.0, self.slopes["manifest.adopt.time"].predict(self.kilobytes))

    # A daemon's control

    @property
    def control_bytes(self) -> float:
        """Bytes of control that a member sends a second, on a steady day."""
        changes = self.site.changes / DAY_S * self.change_bytes
        steady = self.spread("steady.bytes")
        return steady + self.news_bytes + self.join_bytes + changes

    @property
    def loads_per_s(self) -> float:
        """Datagrams a second in which a sidecar tells its service's others its load."""
        peers = self.site.targets / self.site.services - 1
        return min(PEERS_PER_ROUND, peers) / REPORT_INTERVAL_S

    @property
    def loads_bytes(self) -> float:
        """Bytes a second of these."""
        return self.loads_per_s * self.unit("datagram.service-load.wire")

    @property
    def loads_core(self) -> float:
        """Share of a core to send and receive them."""
        return self.loads_per_s * self.unit("datagram.service-load.time")

    @property
    def datagrams(self) -> float:
        """Datagrams that a member sends a second, on a steady day."""
        changes = self.site.changes / DAY_S * self.spread("announcement.datagrams")
        news = self.news_per_s * self.spread("change.datagrams")
        return self.spread("steady.datagrams") + news + changes

    @property
    def sealing_s(self) -> float:
        """Processor seconds a second to seal, unseal, encode and decode."""
        kinds = ("ping", "ack")
        each = sum(self.unit(f"datagram.{k}.time") for k in kinds) / len(kinds)
        return self.datagrams * each

    @property
    def control_core(self) -> float:
        """Share of a core for control, without the tables of an entry instance."""
        news = self.news_per_s * self.spread("change.time")
        changes = self.site.changes / DAY_S * self.adopt_s
        return self.spread("steady.time") + news + changes + self.sealing_s

    @property
    def rebuild_s(self) -> float:
        """Processor seconds to rebuild the table of a service of mean size."""
        targets = round(self.site.targets / self.site.services)
        return self.slopes["table.rebuild.time"].predict(table_size(targets))

    @property
    def largest_rebuild_s(self) -> float:
        """The same for a service with the largest table."""
        return self.slopes["table.rebuild.time"].predict(TABLE_SIZES[-1])

    @property
    def tables_core(self) -> float:
        """Share of a core in which an entry instance rebuilds tables."""
        share = self.site.targets / self.site.members
        return self.news_per_s * share * self.rebuild_s

    @property
    def base_memory(self) -> float:
        """Bytes of a process without members or manifest."""
        return self.slopes["process.memory"].intercept

    @property
    def members_memory(self) -> float:
        """Bytes of the records of all members, by process size."""
        return self.unit("process.memory") * self.site.members

    @property
    def manifest_memory(self) -> float:
        """Bytes of the manifest in force and the one before it."""
        return 2 * self.slopes["manifest.memory"].predict(self.kilobytes)

    @property
    def tables_memory(self) -> float:
        """Bytes of an entry instance's tables, for services of mean size."""
        return self.slopes["service.table.memory"].predict(self.site.services)

    @property
    def sidecar_memory(self) -> float:
        """Bytes of a sidecar without its connections."""
        return self.base_memory + self.members_memory + self.manifest_memory

    @property
    def entry_memory(self) -> float:
        """Bytes of an entry instance."""
        return self.sidecar_memory + self.tables_memory

    # The store

    @property
    def readers(self) -> int:
        """Members that hold a watch."""
        return READERS_PER_ZONE * self.site.zones

    @property
    def store_reads(self) -> float:
        """Reads of the store a second: watches, and one per ``apply``."""
        watches = self.unit("watch.calls") * self.site.zones
        return watches + self.site.changes / DAY_S * (self.readers + 1)

    @property
    def stored_answer_bytes(self) -> float:
        """Bytes in which the store returns the manifest."""
        return BASE64 * self.document_bytes

    @property
    def outage_calls(self) -> float:
        """Calls a second to a store that fails at once, with the longest backoff."""
        return self.readers / (0.75 * BACKOFF_S[1])

    @property
    def lease_writes(self) -> float:
        """Writes a second if each member renewed a lease every 10 s."""
        return self.site.members / 10

    @property
    def watch_reads(self) -> float:
        """Calls a second if each member held a watch, without any change."""
        return self.site.members / WATCH_TIMEOUT_S

    # Data path

    @property
    def handshakes(self) -> float:
        """New connections a second at a sidecar."""
        return self.site.new_flows / self.site.targets

    @property
    def close_s(self) -> float:
        """Processor seconds to remove a connection among a sidecar's others."""
        return self.slopes["flow.close.time"].predict(self.site.flows_per_target)

    @property
    def handshake_core(self) -> float:
        """Share of a core in which a sidecar opens and closes connections."""
        return self.handshakes * (self.unit("flow.handshake.time") + self.close_s)

    @property
    def connections_memory(self) -> float:
        """Bytes of a sidecar's open connections."""
        return self.unit("flow.memory") * self.site.flows_per_target

    @property
    def records_memory(self) -> float:
        """Bytes of as many idempotency records as a sidecar keeps."""
        return MAX_RECORDS * self.unit("idempotency.memory")
