"""Costs of a daemon at a site: slopes times sizes."""

from dataclasses import dataclass

from cranberryhold.datapath.placement import (
    TABLE_SIZES,
    slow_start_schedule,
    table_size,
)
from cranberryhold.distribution.distributor import MAX_INLINE_DELTA_BYTES
from cranberryhold.distribution.missed_changes import CHECK_INTERVAL_S, CHECK_JITTER
from cranberryhold.distribution.reader import (
    BACKOFF_S,
    READERS_PER_ZONE,
    WATCH_TIMEOUT_S,
)
from cranberryhold.manifest.models import Service
from cranberryhold.requests.idempotency import MAX_RECORDS
from cranberryhold.requests.load_reports import PEERS_PER_ROUND, REPORT_INTERVAL_S
from tools.capacity_parts.sizes import DAY_S, Site
from tools.slope_parts.fits import Slope

SLOW_START_S = Service.model_fields["slow_start_s"].default

UPDATES_PER_RESTART = len(slow_start_schedule(SLOW_START_S)) - 1 + 3
"""Membership updates per restart: leaving, down, join, and each later weight."""

UPDATES_PER_FAILURE = 2
"""Membership updates per failure: suspect and down."""

BASE64_OVERHEAD = 4 / 3
"""Growth of a value in base64, in which the store's HTTP interface returns it."""


@dataclass(frozen=True)
class Model:
    """Costs of the members of a site."""

    slopes: dict[str, Slope]
    site: Site

    def unit_cost(self, name: str) -> float:
        """Return the cost of one unit: the slope of a fitted line."""
        return self.slopes[name].slope

    def log_fitted_cost(self, name: str) -> float:
        """Return a cost that is fitted against the logarithm of the members."""
        return self.slopes[name].predict(self.site.log_members)

    def event_bytes_per_update(self, name: str) -> float:
        """Return the bytes that a member sends for each record that an event changes.

        The cost falls with the size, as more records share a datagram. It is taken as
        no lower than in the largest run, since the gain ends with full datagrams.
        """
        slope = self.slopes[f"{name}.bytes_per_news"]
        return max(slope.predict(self.site.log_members), slope.points[-1][1])

    # Membership updates

    @property
    def updates_per_day(self) -> float:
        """Membership updates that reach all members in a day."""
        site = self.site
        return site.restarts * UPDATES_PER_RESTART + site.failures * UPDATES_PER_FAILURE

    @property
    def updates_per_s(self) -> float:
        """Membership updates per second, averaged over a day."""
        return self.updates_per_day / DAY_S

    @property
    def update_bytes(self) -> float:
        """Bytes a second that a member sends for membership updates."""
        return self.updates_per_s * self.log_fitted_cost("change.bytes")

    @property
    def table_bytes(self) -> float:
        """Bytes of all records, which a new member pulls."""
        return self.unit_cost("member.record") * self.site.members

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
        """Whether that delta is sent inside the announcement."""
        return self.delta_bytes <= MAX_INLINE_DELTA_BYTES

    @property
    def request_bytes(self) -> float:
        """Bytes of a pull request, which lists the digests of all services."""
        return self.slopes["manifest.request.bytes"].predict(self.site.services)

    def announced_bytes(self, delta_bytes: float) -> float:
        """Return the bytes that a member sends to announce a change with a delta."""
        each = self.slopes["datagram.announcement.bytes"].predict(delta_bytes)
        return self.log_fitted_cost("announcement.datagrams") * each

    @property
    def inline_bytes(self) -> float:
        """Bytes per member and change if the delta is sent inside the announcement."""
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

    # Control traffic of a daemon

    @property
    def control_bytes(self) -> float:
        """Control bytes that a member sends a second, on a steady day."""
        changes = self.site.changes / DAY_S * self.change_bytes
        steady = self.log_fitted_cost("steady.bytes")
        return steady + self.update_bytes + self.join_bytes + changes

    @property
    def load_reports_per_s(self) -> float:
        """Load reports a second that a sidecar sends to targets of its service."""
        peers = self.site.targets / self.site.services - 1
        return min(PEERS_PER_ROUND, peers) / REPORT_INTERVAL_S

    @property
    def load_report_bytes(self) -> float:
        """Bytes a second of load reports."""
        return self.load_reports_per_s * self.unit_cost("datagram.service-load.wire")

    @property
    def load_report_core(self) -> float:
        """Share of a core to send and receive load reports."""
        return self.load_reports_per_s * self.unit_cost("datagram.service-load.time")

    @property
    def datagrams(self) -> float:
        """Datagrams that a member sends a second, on a steady day."""
        changes = (
            self.site.changes / DAY_S * self.log_fitted_cost("announcement.datagrams")
        )
        updates = self.updates_per_s * self.log_fitted_cost("change.datagrams")
        return self.log_fitted_cost("steady.datagrams") + updates + changes

    @property
    def datagram_core(self) -> float:
        """Share of a core to encode, seal, unseal and decode datagrams."""
        kinds = ("ping", "ack")
        each = sum(self.unit_cost(f"datagram.{k}.time") for k in kinds) / len(kinds)
        return self.datagrams * each

    @property
    def control_core(self) -> float:
        """Share of a core for control traffic, without rebuilding of tables."""
        updates = self.updates_per_s * self.log_fitted_cost("change.time")
        changes = self.site.changes / DAY_S * self.adopt_s
        return (
            self.log_fitted_cost("steady.time") + updates + changes + self.datagram_core
        )

    @property
    def rebuild_s(self) -> float:
        """Processor seconds to rebuild the table of a service of mean size."""
        targets = round(self.site.targets / self.site.services)
        return self.slopes["table.rebuild.time"].predict(table_size(targets))

    @property
    def largest_rebuild_s(self) -> float:
        """Processor seconds to rebuild the largest possible table of a service."""
        return self.slopes["table.rebuild.time"].predict(TABLE_SIZES[-1])

    @property
    def tables_core(self) -> float:
        """Share of a core that an entry instance spends on rebuilding tables."""
        share = self.site.targets / self.site.members
        return self.updates_per_s * share * self.rebuild_s

    @property
    def base_memory(self) -> float:
        """Bytes of a process without members or manifest."""
        return self.slopes["process.memory"].intercept

    @property
    def members_memory(self) -> float:
        """Bytes of the records of all members, from the growth of a process."""
        return self.unit_cost("process.memory") * self.site.members

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
        """Reads of the store a second: watches, checks, and one per ``apply``."""
        watches = self.unit_cost("watch.calls") * self.site.zones
        return watches + self.checks + self.site.changes / DAY_S * (self.readers + 1)

    @property
    def checks(self) -> float:
        """Checks for missed changes a second, by the first reader of each zone."""
        return self.site.zones / (CHECK_INTERVAL_S * (1 - CHECK_JITTER / 2))

    @property
    def stored_answer_bytes(self) -> float:
        """Bytes of the manifest in a response of the store, in base64."""
        return BASE64_OVERHEAD * self.document_bytes

    @property
    def outage_calls(self) -> float:
        """Calls a second to a store that fails at once, with the longest backoff."""
        return self.readers / (0.75 * BACKOFF_S[1]) + self.checks

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
        return self.handshakes * (self.unit_cost("flow.handshake.time") + self.close_s)

    @property
    def connections_memory(self) -> float:
        """Bytes of a sidecar's open connections."""
        return self.unit_cost("flow.memory") * self.site.flows_per_target

    @property
    def records_memory(self) -> float:
        """Bytes of the idempotency records of a sidecar, at their maximum number."""
        return MAX_RECORDS * self.unit_cost("idempotency.memory")
