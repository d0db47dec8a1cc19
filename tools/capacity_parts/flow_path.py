"""Section on the flow daemons: measurements of the sweep, and costs by formula."""

import json
from pathlib import Path

from cranberryhold.flows.announcement import (
    LEASE_TTL_S,
    MEMBERS_READ_INTERVAL_S,
    RENEWALS_PER_TTL,
)
from cranberryhold.flows.envelope import MAX_CANDIDATES
from cranberryhold.flows.peers import (
    ENTRY_STATUS_INTERVAL_S,
    MAX_MISSED_STATUSES,
    PEER_EXPIRY_S,
    SIDECAR_STATUS_INTERVAL_S,
    STATUS_BYTES,
    status_interval_s,
)
from tools.capacity_parts.markdown import fmt, plain_table
from tools.capacity_parts.sizes import BYTES_PER_SECOND_LIMIT, Site
from tools.slopes import RECORDED

SWEEP = RECORDED.parent / "sweep.json"


def section(site: Site, recorded: Path = SWEEP) -> str:
    """Return the section for a site.

    :param recorded: file with the results of the sweep.
    """
    sweep = json.loads(recorded.read_text())
    sizes = ", ".join(str(n) for n in sweep["machines"])
    rows = [
        (name, *(f"{value:g}" for value in values), f"{extended:g}")
        for name, values, extended in sweep["rows"]
    ]
    columns = (
        "busiest daemon",
        *(f"{n} machines" for n in sweep["machines"]),
        f"{sweep['target']}, extended",
    )
    served = ", ".join(f"{share:.3f}" for share in sweep["served"])
    worth = ", ".join(f"{share:.3f}" for share in sweep["worth"])
    return f"""Measured by `{sweep["command"]}` on snapshot `{sweep["snapshot"]}` at
{sizes} machines; the last column is the bench's own extension. Served: {served}. Worth:
{worth}. No rule was broken.

{plain_table(columns, rows)}

{_control_table(site)}

{_findings(site)}
"""


def _control_table(site: Site) -> str:
    entries, sidecars = site.entries, site.targets
    entry_interval_s = status_interval_s(SIDECAR_STATUS_INTERVAL_S, entries)
    member_interval_s = status_interval_s(ENTRY_STATUS_INTERVAL_S, entries + sidecars)
    statuses_per_s = sidecars / entry_interval_s + entries / member_interval_s
    members = entries + sidecars
    rows = [
        (
            "interval of a sidecar's statuses to an entry daemon",
            fmt(entry_interval_s, "s"),
        ),
        (
            "a silent sidecar is skipped after",
            fmt(_silence_limit_s(site), "s"),
        ),
        (
            "interval of an entry daemon's statuses to a member",
            fmt(member_interval_s, "s"),
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


def _silence_limit_s(site: Site) -> float:
    interval_s = status_interval_s(SIDECAR_STATUS_INTERVAL_S, site.entries)
    return MAX_MISSED_STATUSES * interval_s


def _findings(site: Site) -> str:
    entry_interval_s = status_interval_s(SIDECAR_STATUS_INTERVAL_S, site.entries)
    received = site.targets / entry_interval_s * STATUS_BYTES
    return f"""What does not fit on this path at the two-year size:

- Every sidecar sends statuses to every entry daemon. An entry daemon receives
  {fmt(received, "B/s")} of statuses, above {fmt(BYTES_PER_SECOND_LIMIT, "B/s")}, and
  notices a silent sidecar only after {fmt(_silence_limit_s(site), "s")}; the
  interval between statuses from an entry daemon to a member exceeds the time
  after which a member expires ({fmt(PEER_EXPIRY_S, "s")}). Mechanism that would avoid
  it: statuses only to the entry daemons of the same zone, and a digest for each service
  between zones.
- A search lists at most {MAX_CANDIDATES} sidecars. A flow whose entry daemon has
  changed is found only if its service has no more targets than that, and no reset is
  sent for flows of a larger service. Mechanism: a sidecar notifies all entry daemons
  of the caller's zone of each flow that stays open, so that no search is needed.
- Each member reads the whole list of members. Mechanism: a watch of the list, whose
  cost is one call for each change."""
