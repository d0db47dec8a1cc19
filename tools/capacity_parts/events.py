"""Sections of the capacity page on events that affect many members at once."""

from math import ceil, log

from cranberryhold.distribution.distributor import (
    ANNOUNCE_FANOUT,
    MAX_INLINE_DELTA_BYTES,
)
from cranberryhold.membership.membership import RETENTION_S
from tools.capacity_parts.markdown import fmt, plain_table
from tools.capacity_parts.model import UPDATES_PER_FAILURE, UPDATES_PER_RESTART, Model
from tools.capacity_parts.sizes import BYTES_PER_SECOND_LIMIT, CORE_LIMIT, DAY_S

_HOUR_S = 3600
BURST_CHANGES = 10
BURST_S = 3.0
_ROLLOUT_S = 3600.0


def event_seconds(model: Model, name: str, updates: float) -> float:
    """Return the seconds to send an event's updates within the byte budget."""
    spare = BYTES_PER_SECOND_LIMIT - model.log_fitted_cost("steady.bytes")
    return updates * model.event_bytes_per_update(name) / spare


def zone_members(model: Model) -> float:
    """Return the number of members of one data centre."""
    return model.site.members / model.site.zones


def propagation_s(model: Model) -> float:
    """Return the seconds until all members have adopted an announced change.

    Each hop adopts the change before it passes the announcement on.
    """
    return ceil(log(model.site.members, ANNOUNCE_FANOUT)) * model.adopt_s


def burst_core(model: Model) -> float:
    """Return the share of a core that a burst of manifest changes takes."""
    return BURST_CHANGES * model.adopt_s / BURST_S


def changes_per_minute(model: Model) -> float:
    """Return the rate of manifest changes at which the processor limit is reached."""
    return 60 * CORE_LIMIT / model.adopt_s


def load_reports(model: Model) -> str:
    """Return the cost of load reports to entry instances and of the chosen design."""
    site = model.site
    report = model.unit_cost("datagram.service-load.wire")
    return f"""
If {site.targets:,} targets reported their load to each entry instance once a second,
each of these would receive {fmt(site.targets * report, "B/s")}
({fmt(report, "B")} per report), {site.targets * report / BYTES_PER_SECOND_LIMIT:.0f}
times the limit, and spend {
        fmt(site.targets * model.unit_cost("datagram.service-load.time"), "core")
    } on decoding them.

Instead, the target that receives a first packet compares its own load with the load
reports of the other targets of its service. That costs each sidecar
{fmt(model.load_report_bytes, "B/s")} and {
        fmt(model.load_report_core, "core")
    }, and an entry
instance nothing. Entry instances receive only weights, as membership updates:
{fmt(model.update_bytes, "B/s")} on a steady day.
(`datagram.service-load.wire`, `datagram.service-load.time`, `change.bytes`)
"""


def store_calls(models: list[Model]) -> str:
    """Return the growth of calls to the store with the size of the site."""
    model, small = models[-1], models[0]
    fleet = model.site.members / small.site.members
    calls = model.store_reads / small.store_reads
    return f"""
{model.site.members:,} processes that renewed a lease every 10 s would make
{fmt(model.lease_writes, "1/s")} writes. The same number of open watches would make
{fmt(model.watch_reads, "1/s")} calls without any change, and each change would end
all of them: {model.site.members:,} responses of {fmt(model.stored_answer_bytes, "B")}
at once, {fmt(model.site.members * model.stored_answer_bytes, "B")}, against about
2,000 reads a second.

Instead, {model.readers} readers hold watches, and no lease is renewed:
{fmt(model.store_reads, "1/s")} reads and
{fmt(model.site.changes / DAY_S, "1/s")} writes. From {small.site.name} to the
two-year size the fleet grows {fleet:,.0f} times, the reads {calls:.1f} times, as they
depend on the numbers of data centres and changes. (`watch.calls`, `manifest.bytes`)
"""


def manifest_changes(model: Model) -> str:
    """Return the costs of sending the whole manifest and of sending deltas."""
    site = model.site
    whole = model.document_bytes
    mean = site.changes / DAY_S
    burst = BURST_CHANGES
    rows = [
        (
            "bytes sent per member and change",
            fmt(whole, "B"),
            fmt(model.change_bytes, "B"),
        ),
        (
            f"mean of {site.changes:,.0f} changes a day",
            fmt(whole * mean, "B/s"),
            fmt(model.change_bytes * mean, "B/s"),
        ),
        (
            "seconds of the byte budget for one change",
            fmt(whole / BYTES_PER_SECOND_LIMIT, "s"),
            fmt(model.change_bytes / BYTES_PER_SECOND_LIMIT, "s"),
        ),
        (
            f"the same for a burst of {burst}",
            fmt(burst * whole / BYTES_PER_SECOND_LIMIT, "s"),
            fmt(burst * model.change_bytes / BYTES_PER_SECOND_LIMIT, "s"),
        ),
    ]
    table = plain_table(("", "whole, forwarded once", "delta"), rows)
    fits = "fits" if model.delta_fits else "does not fit"
    return f"""
A manifest of {site.services} services takes {fmt(whole, "B")} in the store; the delta
of one changed service takes {fmt(model.delta_bytes, "B")} and {fits} in the datagram
(limit {MAX_INLINE_DELTA_BYTES} B). A member forwards it
{model.log_fitted_cost("announcement.datagrams"):.1f} times.

{table}

- Adopting a change takes {fmt(model.adopt_s, "s")} of processor time, as each member
  validates the whole manifest again and forwards it only after that. Over the
  {ceil(log(site.members, ANNOUNCE_FANOUT))} steps that a fan-out of {ANNOUNCE_FANOUT}
  needs for all members, that is {fmt(propagation_s(model), "s")} of the 3 s. A day's
  changes cost {fmt(mean * model.adopt_s, "core")}; {burst} changes within
  {BURST_S:.0f} s cost {fmt(burst_core(model), "core")} for that long.
  The limit of {fmt(CORE_LIMIT, "core")} allows up to
  {changes_per_minute(model):.0f} changes a minute.
- A member that missed a change sends a pull request. It lists the digest of each
  service and takes {fmt(model.request_bytes, "B")},
  {model.request_bytes / BYTES_PER_SECOND_LIMIT:.1f} s of the budget, for a response of
  {fmt(model.delta_bytes, "B")}.

(`manifest.bytes`, `manifest.delta.bytes`, `manifest.request.bytes`,
`manifest.adopt.time`, `announcement.datagrams`)
"""


def _event_row(model: Model, label: str, name: str, updates: float) -> tuple[str, ...]:
    each = model.event_bytes_per_update(name)
    slope = model.slopes[f"{name}.seconds"]
    measured = ", ".join(
        f"{seconds:.1f} s at {2**size:.0f}" for size, seconds in slope.points
    )
    return (
        label,
        f"{updates:,.0f}",
        fmt(each, "B"),
        fmt(updates * each, "B"),
        fmt(event_seconds(model, name, updates), "s"),
        measured,
    )


def large_events(model: Model) -> str:
    """Return the costs of a lost data centre and of a network partition of regions."""
    site = model.site
    zone = zone_members(model)
    rows = [
        _event_row(model, "data centre lost", "zone.lost", zone),
        _event_row(model, "data centre restored", "zone.back", zone),
        _event_row(model, "regions reconnected", "regions", site.members),
    ]
    columns = (
        "event",
        "members affected",
        "bytes sent per member and change",
        "bytes per member",
        "time within the byte budget",
        "measured convergence time, by number of members",
    )
    table = plain_table(columns, rows)
    detected = model.slopes["zone.lost.seconds"].points[-1][1]
    pulled = zone * model.table_bytes / (site.members - zone)
    changes = site.changes / DAY_S * _HOUR_S
    delta = model.slopes["manifest.delta.bytes"].predict(changes)
    return f"""
A data centre holds {site.entries / site.zones:.0f} entry instances and
{site.targets / site.zones:.0f} targets.

{table}

- The time within the byte budget is bytes divided by what remains of 13 KB/s;
  detection precedes it (all views agreed after {detected:.0f} s in the largest run,
  with few members lost). Until a member has received all updates, its tables
  hold some of the lost targets; a first packet routed to one is lost, and its
  caller's retransmissions are lost too until the table has changed. Announcements of
  the manifest do not wait for the byte budget.
- All instances of a restored data centre pull the member table:
  {fmt(model.table_bytes, "B")} each, together {fmt(pulled, "B")} from each other
  member, {fmt(pulled / BYTES_PER_SECOND_LIMIT, "s")} of its budget.
- If more than half of a service's targets go down within 10 s, they are not dropped
  (mass-failure guard), so partitioned regions keep the tables of services whose targets
  are mostly on the other side.
- Regions partitioned for an hour: members that are down are retained for
  {RETENTION_S / 3600:.0f} h and retried, so that the views merge automatically. The
  side with the store adopts {changes:.0f} changes in that time. `manifest status` there
  shows the new generation and a store age of seconds. On the other side it shows the
  old generation, and a store age that grows to {_HOUR_S:,} s; its `apply` reports
  that the store was not reached. Afterwards each member of that side pulls once:
  {fmt(model.request_bytes + delta, "B")} with its request, and the higher generation
  wins.

(`zone.lost.*`, `zone.back.*`, `regions.*`, `member.record`, `steady.bytes`)
"""


def replacement(model: Model) -> str:
    """Return the costs of replacing all instances, and of a steady day."""
    site = model.site
    updates = site.members * UPDATES_PER_RESTART
    each = model.log_fitted_cost("change.bytes")

    def row(label: str, changes: float, seconds: float, joins: float) -> tuple:
        rate = changes / seconds
        sent = rate * each + joins / seconds * model.table_bytes / site.members
        core = rate * (
            model.log_fitted_cost("change.time")
            + site.targets / site.members * model.rebuild_s
        )
        return (
            label,
            f"{changes:,.0f}",
            fmt(rate, "1/s"),
            fmt(sent + model.log_fitted_cost("steady.bytes"), "B/s"),
            fmt(
                core + model.log_fitted_cost("steady.time") + model.datagram_core,
                "core",
            ),
        )

    day = site.restarts * UPDATES_PER_RESTART + site.failures * UPDATES_PER_FAILURE
    rows = [
        row(
            f"steady day: {site.failures:.0f} failures, {site.restarts:,.0f} restarts",
            day,
            DAY_S,
            site.restarts,
        ),
        row("all instances replaced in a day", updates, DAY_S, site.members),
        row("all instances replaced in an hour", updates, _ROLLOUT_S, site.members),
    ]
    columns = (
        "",
        "changed records",
        "membership updates",
        "control bytes sent, with probing",
        "processor of an entry instance, without the manifest",
    )
    fastest = (
        updates
        * each
        / (BYTES_PER_SECOND_LIMIT - model.log_fitted_cost("steady.bytes"))
    )
    return f"""
A restart with slow start spreads {UPDATES_PER_RESTART} records: leaving, down, the
join, and each later weight. A failure spreads {UPDATES_PER_FAILURE}.

{plain_table(columns, rows)}

Within the byte budget, replacing all instances takes at least
{fmt(fastest / 3600, "h")}; if done faster, membership updates would be delayed by the
budget.
(`change.bytes`, `change.time`, `member.record`, `table.rebuild.time`, `steady.*`)
"""


def outage(model: Model) -> str:
    """Return the effects of a store outage during each kind of event."""
    calls = fmt(model.outage_calls, "1/s")
    rows = [
        (
            "a change of the manifest",
            "a change that was written still spreads from any member that adopted it; "
            "`apply` reports that the store was not reached, or that the outcome is "
            "unknown",
        ),
        (
            "a data centre lost or restored",
            "the same membership updates, as the store holds no member records; "
            "new instances "
            f"pull the manifest ({fmt(model.document_bytes, 'B')} before "
            "compression) from members",
        ),
        (
            "partitioned regions",
            "both sides keep their generation and show a growing store age",
        ),
        (
            "all instances replaced",
            "the manifest is kept as long as one member remains; the store is read "
            "again when it is available",
        ),
        ("a steady day", "only the store age"),
    ]
    table = plain_table(("outage during", "what changes"), rows)
    return f"""
During an outage only the {model.readers} readers call the store, {calls} in all, and a
member sends nothing more than before.

{table}

(`watch.calls`; `tests/test_distribution.py` covers new members, a long outage and a
partition without the store)
"""
