"""Section on the flow daemons: measurements of the sweep, and costs by formula."""

import json
from pathlib import Path

from cranberryhold.flows.announcement import (
    LEASE_TTL_S,
    MEMBERS_READ_INTERVAL_S,
    RENEWALS_PER_TTL,
)
from cranberryhold.flows.envelope import MAX_CANDIDATES
from cranberryhold.flows.status_schedule import (
    ENTRY_MAX_ROUNDS,
    ENTRY_STATUS_INTERVAL_S,
    SIDECAR_MAX_ROUNDS,
    SIDECAR_STATUS_INTERVAL_S,
    STATUS_BYTES,
    StatusRound,
    StatusSchedule,
    silence_timeout_s,
)
from tools.capacity_parts.markdown import fmt, plain_table
from tools.capacity_parts.sizes import BYTES_PER_SECOND_LIMIT, Site
from tools.slopes import RECORDED

SWEEP = RECORDED.parent / "sweep.json"
SWEEP_WITH_ADMISSION = RECORDED.parent / "sweep-admission.json"


def section(
    site: Site, recorded: Path = SWEEP, with_admission: Path = SWEEP_WITH_ADMISSION
) -> str:
    """Return the section for a site.

    :param recorded: file with the results of the sweep.
    :param with_admission: the same of a site with admission control.
    """
    return f"""{_measured(recorded)}

With admission control, where an opening is compared with all targets of its service:

{_measured(with_admission)}

{_control_table(site)}

{_findings(site)}
"""


def _measured(recorded: Path) -> str:
    """Return the results of a sweep, which the bench extends if it has a target."""
    sweep = json.loads(recorded.read_text())
    sizes = ", ".join(str(n) for n in sweep["machines"])
    is_extended = sweep["target"] is not None
    rows = [
        (name, *(f"{value:g}" for value in (*values, *([end] * is_extended))))
        for name, values, end in sweep["rows"]
    ]
    columns = (
        "busiest daemon",
        *(f"{n} machines" for n in sweep["machines"]),
        *([f"{sweep['target']}, extended"] * is_extended),
    )
    served = ", ".join(f"{share:.3f}" for share in sweep["served"])
    worth = ", ".join(f"{share:.3f}" for share in sweep["worth"])
    extension = "; the last column is the bench's own extension" * is_extended
    return f"""Measured by `{sweep["command"]}` on snapshot `{sweep["snapshot"]}` at
{sizes} machines{extension}. Served: {served}. Worth: {worth}. No rule was broken.

{plain_table(columns, rows)}"""


def _control_table(site: Site) -> str:
    entries, sidecars = site.entries, site.targets
    members = entries + sidecars
    from_sidecar, from_entry = _rounds(site)
    statuses_per_s = _received_per_s(site)
    rows = [
        (
            "interval of a sidecar's statuses to an entry daemon of its zone",
            fmt(from_sidecar.interval_s, "s"),
        ),
        (
            "the same to another zone",
            fmt(from_sidecar.remote_interval_s, "s"),
        ),
        (
            "a silent sidecar of the zone is skipped after",
            fmt(silence_timeout_s(from_sidecar.interval_s), "s"),
        ),
        (
            "interval of an entry daemon's statuses to a sidecar",
            fmt(from_entry.remote_interval_s, "s"),
        ),
        ("statuses that an entry daemon receives", fmt(statuses_per_s, "1/s")),
        ("bytes of these statuses", fmt(statuses_per_s * STATUS_BYTES, "B/s")),
        (
            "lease renewals at the store",
            fmt(members * RENEWALS_PER_TTL / LEASE_TTL_S, "1/s"),
        ),
        (
            "member lists read from the store",
            fmt(members / MEMBERS_READ_INTERVAL_S, "1/s"),
        ),
    ]
    return (
        f"By formula, at {entries:,} daemons on entry machines and {sidecars:,} "
        f"targets:\n\n{plain_table(('control traffic', 'at this size'), rows)}"
    )


def _rounds(site: Site) -> tuple[StatusRound, StatusRound]:
    """Return the first round of a sidecar's statuses, and that of an entry daemon."""
    local = [b""] * (site.entries // site.zones)
    remote = [b""] * (site.entries - len(local))
    sidecar = StatusSchedule(SIDECAR_STATUS_INTERVAL_S, SIDECAR_MAX_ROUNDS)
    entry = StatusSchedule(ENTRY_STATUS_INTERVAL_S, ENTRY_MAX_ROUNDS)
    others = [*remote, *([b""] * site.targets)]
    return sidecar.next_round(local, remote), entry.next_round(local, others)


def _received_per_s(site: Site) -> float:
    """Return the statuses that an entry daemon receives in a second."""
    from_sidecar, from_entry = _rounds(site)
    received = 0.0
    for members, turn in ((site.targets, from_sidecar), (site.entries, from_entry)):
        local = members / site.zones
        received += local / turn.interval_s
        received += (members - local) / turn.remote_interval_s
    return received


def _findings(site: Site) -> str:
    from_sidecar, _ = _rounds(site)
    received = _received_per_s(site) * STATUS_BYTES
    silence_s = silence_timeout_s(from_sidecar.remote_interval_s)
    return f"""What does not fit on this path at the two-year size:

- Every sidecar sends statuses to every entry daemon, those of other zones in turn.
  An entry daemon receives {fmt(received, "B/s")} of statuses, above
  {fmt(BYTES_PER_SECOND_LIMIT, "B/s")}, and notices a silent sidecar of another zone
  only after {fmt(silence_s, "s")}. Mechanism that would avoid it: a digest for each
  service between zones.
- A search lists at most {MAX_CANDIDATES} sidecars. A flow whose entry daemon has
  changed is found only if its service has no more targets than that, and no reset is
  sent for flows of a larger service. Mechanism: a sidecar notifies all entry daemons
  of the caller's zone of each flow that stays open, so that no search is needed.
- Each member reads the whole list of members. Mechanism: a watch of the list, whose
  cost is one call for each change."""
