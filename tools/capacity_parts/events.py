"""The sections of the capacity page on events that touch many members at once."""

from math import ceil, log

from cranberryhold.distribution import ANNOUNCE_FANOUT, MAX_INLINE_DELTA_BYTES
from cranberryhold.membership import RETENTION_S
from tools.capacity_parts.markdown import plain_table, text
from tools.capacity_parts.model import FAILURE_NEWS, RESTART_NEWS, Model
from tools.capacity_parts.sizes import BYTES_PER_SECOND_LIMIT, CORE_LIMIT, DAY_S

_HOUR_S = 3600
BURST_CHANGES = 10
BURST_S = 3.0
_ROLLOUT_S = 3600.0


def event_seconds(model: Model, name: str, news: float) -> float:
    """Return how long the news of an event takes within the byte budget."""
    spare = BYTES_PER_SECOND_LIMIT - model.spread("steady.bytes")
    return news * model.news_of_event(name) / spare


def zone_members(model: Model) -> float:
    """Return the members of one data centre."""
    return model.site.members / model.site.zones


def hop_seconds(model: Model) -> float:
    """Return how long an announcement takes to all members, by adoption times."""
    return ceil(log(model.site.members, ANNOUNCE_FANOUT)) * model.adopt_s


def burst_core(model: Model) -> float:
    """Return the share of a core that a burst of manifest changes takes."""
    return BURST_CHANGES * model.adopt_s / BURST_S


def changes_per_minute(model: Model) -> float:
    """Return the changes of the manifest that the processor limit carries."""
    return 60 * CORE_LIMIT / model.adopt_s


def load_reports(model: Model) -> str:
    """Return what load reports would cost, and what happens instead."""
    site = model.site
    report = model.unit("datagram.service-load.wire")
    return f"""
If {site.targets:,} targets reported their load to each entry instance once a second,
each of these would receive {text(site.targets * report, "B/s")}
({text(report, "B")} per report), {site.targets * report / BYTES_PER_SECOND_LIMIT:.0f}
times the limit, and spend {
        text(site.targets * model.unit("datagram.service-load.time"), "core")
    } on decoding them.

Instead the target that a first packet reaches judges its own load against what the
other targets of its service told it. That costs each sidecar
{text(model.loads_bytes, "B/s")} and {text(model.loads_core, "core")}, and an entry
instance nothing. Entry instances hear of weights alone, as news of members:
{text(model.news_bytes, "B/s")} on a steady day.
(`datagram.service-load.wire`, `datagram.service-load.time`, `change.bytes`)
"""


def store_calls(models: list[Model]) -> str:
    """Return how the store's calls grow."""
    model, small = models[-1], models[0]
    fleet = model.site.members / small.site.members
    calls = model.store_reads / small.store_reads
    return f"""
{model.site.members:,} processes that renewed a lease every 10 s would make
{text(model.lease_writes, "1/s")} writes. As many waiting watches would make
{text(model.watch_reads, "1/s")} calls without any change, and each change would end
all of them: {model.site.members:,} answers of {text(model.stored_answer_bytes, "B")}
at once, {text(model.site.members * model.stored_answer_bytes, "B")}, against about
2,000 reads a second.

Instead {model.readers} readers wait, and no lease is renewed:
{text(model.store_reads, "1/s")} reads and
{text(model.site.changes / DAY_S, "1/s")} writes. From {small.site.name} to the
two-year size the fleet grows {fleet:,.0f} times, the reads {calls:.1f} times, as they
follow the data centres and the changes. (`watch.calls`, `manifest.bytes`)
"""


def manifest_changes(model: Model) -> str:
    """Return the cost of the whole manifest against that of deltas."""
    site = model.site
    whole = model.document_bytes
    mean = site.changes / DAY_S
    burst = BURST_CHANGES
    rows = [
        (
            "bytes sent per member and change",
            text(whole, "B"),
            text(model.change_bytes, "B"),
        ),
        (
            f"mean of {site.changes:,.0f} changes a day",
            text(whole * mean, "B/s"),
            text(model.change_bytes * mean, "B/s"),
        ),
        (
            "seconds of the byte budget for one change",
            text(whole / BYTES_PER_SECOND_LIMIT, "s"),
            text(model.change_bytes / BYTES_PER_SECOND_LIMIT, "s"),
        ),
        (
            f"the same for a burst of {burst}",
            text(burst * whole / BYTES_PER_SECOND_LIMIT, "s"),
            text(burst * model.change_bytes / BYTES_PER_SECOND_LIMIT, "s"),
        ),
    ]
    table = plain_table(("", "whole, passed on once", "delta"), rows)
    fits = "fits" if model.delta_fits else "does not fit"
    return f"""
A manifest of {site.services} services has {text(whole, "B")} in the store; the delta of
one changed service has {text(model.delta_bytes, "B")} and {fits} in the datagram (limit
{MAX_INLINE_DELTA_BYTES} B). A member passes it on
{model.spread("announcement.datagrams"):.1f} times.

{table}

- Adopting a change takes {text(model.adopt_s, "s")} of processor time, as each member
  validates the whole manifest again and passes it on only after that. Over the
  {ceil(log(site.members, ANNOUNCE_FANOUT))} steps that a fan-out of {ANNOUNCE_FANOUT}
  needs for all members, that is {text(hop_seconds(model), "s")} of the 3 s. A day's
  changes cost {text(mean * model.adopt_s, "core")}; {burst} changes within
  {BURST_S:.0f} s cost {text(burst_core(model), "core")} for that long.
  The limit of {text(CORE_LIMIT, "core")} holds up to
  {changes_per_minute(model):.0f} changes a minute.
- A member that missed a change pulls. Its request names the digest of each service and
  has {text(model.request_bytes, "B")},
  {model.request_bytes / BYTES_PER_SECOND_LIMIT:.1f} s of the budget, for an answer of
  {text(model.delta_bytes, "B")}.

(`manifest.bytes`, `manifest.delta.bytes`, `manifest.request.bytes`,
`manifest.adopt.time`, `announcement.datagrams`)
"""


def _event_row(model: Model, label: str, name: str, news: float) -> tuple[str, ...]:
    each = model.news_of_event(name)
    slope = model.slopes[f"{name}.seconds"]
    measured = ", ".join(
        f"{seconds:.1f} s at {2**size:.0f}" for size, seconds in slope.points
    )
    return (
        label,
        f"{news:,.0f}",
        text(each, "B"),
        text(news * each, "B"),
        text(event_seconds(model, name, news), "s"),
        measured,
    )


def large_events(model: Model) -> str:
    """Return the costs of a lost data centre and of separated regions."""
    site = model.site
    zone = zone_members(model)
    rows = [
        _event_row(model, "data centre lost", "zone.lost", zone),
        _event_row(model, "data centre back", "zone.back", zone),
        _event_row(model, "regions joined again", "regions", site.members),
    ]
    columns = (
        "event",
        "members that change",
        "bytes sent per member and change",
        "bytes per member",
        "time within the byte budget",
        "time until all agreed, by members",
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

- The time within the byte budget is bytes divided by what is left of 13 KB/s; the
  detection comes before it (all agreed after {detected:.0f} s in the largest run, with
  few members lost). Until a member has heard of all, its tables
  hold some of the lost targets; a first packet that meets one is lost, and its
  caller's repeats are lost too until the table has changed. Announcements of the
  manifest do not wait for the byte budget.
- All instances of the data centre that come back pull the table:
  {text(model.table_bytes, "B")} each, together {text(pulled, "B")} from each other
  member, {text(pulled / BYTES_PER_SECOND_LIMIT, "s")} of its budget.
- More than half of a service's targets down within 10 s are not dropped (the guard), so
  regions that lose sight of each other keep the tables of the services that lie mostly
  on the other side.
- Regions apart for an hour: members that are down are remembered for
  {RETENTION_S / 3600:.0f} h and tried again, so that the views join by themselves. The
  side with the store adopts {changes:.0f} changes in that time. `manifest status` there
  shows the new generation and a store age of seconds. On the other side it shows the
  old generation, and a store age that grows to {_HOUR_S:,} s; its `apply` reports
  that the store was not reached. Afterwards each member of that side pulls once:
  {text(model.request_bytes + delta, "B")} with its request, and the higher generation
  wins.

(`zone.lost.*`, `zone.back.*`, `regions.*`, `member.record`, `steady.bytes`)
"""


def replacement(model: Model) -> str:
    """Return the costs of replacing all instances, and of a steady day."""
    site = model.site
    news = site.members * RESTART_NEWS
    each = model.spread("change.bytes")

    def row(label: str, changes: float, seconds: float, joins: float) -> tuple:
        rate = changes / seconds
        sent = rate * each + joins / seconds * model.table_bytes / site.members
        core = rate * (
            model.spread("change.time") + site.targets / site.members * model.rebuild_s
        )
        return (
            label,
            f"{changes:,.0f}",
            text(rate, "1/s"),
            text(sent + model.spread("steady.bytes"), "B/s"),
            text(core + model.spread("steady.time") + model.sealing_s, "core"),
        )

    day = site.restarts * RESTART_NEWS + site.failures * FAILURE_NEWS
    rows = [
        row(
            f"steady day: {site.failures:.0f} failures, {site.restarts:,.0f} restarts",
            day,
            DAY_S,
            site.restarts,
        ),
        row("all instances replaced in a day", news, DAY_S, site.members),
        row("all instances replaced in an hour", news, _ROLLOUT_S, site.members),
    ]
    columns = (
        "",
        "changed records",
        "news",
        "control bytes sent, with probing",
        "processor of an entry instance, without the manifest",
    )
    fastest = news * each / (BYTES_PER_SECOND_LIMIT - model.spread("steady.bytes"))
    return f"""
A restart with slow start spreads {RESTART_NEWS} records: leaving, down, the join, and
each later weight. A failure spreads {FAILURE_NEWS}.

{plain_table(columns, rows)}

By bytes, all instances can be replaced within {text(fastest / 3600, "h")} at the
earliest; faster, news would wait for the byte budget.
(`change.bytes`, `change.time`, `member.record`, `table.rebuild.time`, `steady.*`)
"""


def outage(model: Model) -> str:
    """Return what a store outage changes in the middle of each event."""
    calls = text(model.outage_calls, "1/s")
    rows = [
        (
            "a change of the manifest",
            "a change that was written spreads on from any member that adopted it; "
            "`apply` says that the store was not reached, or that the outcome is "
            "unknown",
        ),
        (
            "a data centre lost or back",
            "the same news, as no record of a member is in the store; new instances "
            f"pull the manifest ({text(model.document_bytes, 'B')} before "
            "compression) from members",
        ),
        (
            "regions apart",
            "both sides keep their generation and show a growing store age",
        ),
        (
            "all instances replaced",
            "the manifest lives on as long as one member does; the store is read "
            "again when it is back",
        ),
        ("a steady day", "nothing but the age of the store"),
    ]
    table = plain_table(("in the middle of", "what changes"), rows)
    return f"""
During an outage only the {model.readers} readers call the store, {calls} in all, and a
member sends nothing more than before.

{table}

(`watch.calls`; `tests/test_distribution.py` runs newcomers, a long outage and a side
without the store)
"""
