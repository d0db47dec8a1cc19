"""Writes docs/CAPACITY.md from the recorded slopes in docs/slopes.json.

``--check`` compares instead of writing; the exit code is 1 if the page differs.
"""

import argparse
import sys
from pathlib import Path

from tools.capacity_parts import events, flow_path, roles
from tools.capacity_parts.markdown import (
    Figure,
    fmt,
    plain_table,
    role_table,
    wrap_paragraphs,
)
from tools.capacity_parts.model import Model
from tools.capacity_parts.sizes import (
    BYTES_PER_SECOND_LIMIT,
    CHANGE_LIMIT_S,
    CORE_LIMIT,
    MEMORY_LIMIT,
    SITES,
)
from tools.slope_parts.fits import Slope
from tools.slopes import RECORDED, load

PAGE = RECORDED.parent / "CAPACITY.md"

_ROLES: tuple[tuple[str, list[Figure]], ...] = (
    ("Entry instance", roles.ENTRY),
    ("Sidecar", roles.SIDECAR),
    ("Additional load of a manifest reader", roles.READER),
    ("The platform's key-value service", roles.PLATFORM),
    ("The operator's commands", roles.OPERATORS),
)

_EVENTS = ("zone.lost", "zone.back", "regions")


def page(command: str, slopes: dict[str, Slope]) -> str:
    """Return the text of the page.

    :param command: command that recorded the slopes, with its seed.
    """
    models = [Model(slopes, site) for site in SITES]
    largest = models[-1]
    sections = [
        _introduction(command),
        "## What does not fit\n\n" + _findings(models),
        *(
            f"## {title}\n\nFrom `{command}`.\n\n{role_table(figures, models)}\n"
            for title, figures in _ROLES
        ),
        "## Load reports\n\n" + events.load_reports(largest),
        "## Watches and leases\n\n" + events.store_calls(models),
        "## Changes of the manifest\n\n" + events.manifest_changes(largest),
        "## Data centres and regions\n\n" + events.large_events(largest),
        "## Restarts and the steady day\n\n" + events.replacement(largest),
        "## Store outages\n\n" + events.outage(largest),
        "## On the users' platform\n\n" + flow_path.section(largest.site),
        "## Slopes\n\n" + _slope_table(slopes),
    ]
    return wrap_paragraphs("\n\n".join(sections))


def _introduction(command: str) -> str:
    return f"""# Capacity

This page is written by `python -m tools.capacity` from `docs/slopes.json`, which
`{command}` recorded on one machine, and from `docs/sweep.json` and
`docs/sweep-admission.json`. Each figure is a slope
times a size; the last table shows the points of each slope. Do not edit figures or
text here.

Costs that grow with the logarithm of the number of members were measured in clusters
of 32 to 256 members in one process and in virtual time, and are extrapolated to 7,430
members. Processor times are those of the measuring machine. No rates are given for
today's sites (13 members each): they are scaled down from the two-year size in
proportion to members, services and flows.

The two-year size that the page covers: 930 daemons on entry machines and 6,500
targets with a sidecar each (7,430 members), 650 service addresses, 9 million flows and
59,000 new flows a second, in 2 regions with 8 data centres.
"""


def _findings(models: list[Model]) -> str:
    """Return the list of exceeded limits, at the two-year size and in measured runs."""
    model = models[-1]
    found = []
    for title, figures in _ROLES:
        for figure in figures:
            if figure.exceeded(model):
                value = fmt(figure.value(model), figure.unit)
                limit = fmt(figure.limit, figure.unit)
                found.append(f"{title}: {figure.name} is {value}, above {limit}.")
    found += _slow_event_findings(model)
    found += _peak_findings(model)
    if not model.delta_fits:
        found.append(
            f"The delta of one service ({fmt(model.delta_bytes, 'B')}) does not fit "
            f"in the datagram, so each member pulls each change "
            f"({fmt(model.pulled_bytes, 'B')}). Mechanism: smaller deltas."
        )
    if events.propagation_s(model) > CHANGE_LIMIT_S:
        found.append(
            f"A change needs {fmt(events.propagation_s(model), 's')} to reach all, as "
            "each step validates the whole manifest. Mechanism: pass the announcement "
            "on before adopting, or validate changed services alone."
        )
    if model.request_bytes > BYTES_PER_SECOND_LIMIT:
        found.append(
            f"A manifest pull request is {fmt(model.request_bytes, 'B')}, more "
            "than the budget of one second. It is sent only after a missed change. "
            "Mechanism: name the generation alone, and let the answering member keep "
            "the digests of recent generations; the list remains for older ones. It "
            "requires one more field and a short history at each member."
        )
    found += _burst_findings(model)
    for each in models:
        found += _memory_findings(each)
    if not found:
        return "No figure exceeds its limit at the two-year size.\n"
    return "\n".join(f"- {item}" for item in found) + "\n"


def _slow_event_findings(model: Model) -> list[str]:
    zone = events.zone_members(model)
    named = (
        ("a lost data centre", "zone.lost", zone),
        ("a restored data centre", "zone.back", zone),
        ("reconnected regions", "regions", model.site.members),
    )
    slow = []
    for label, name, updates in named:
        seconds = events.event_seconds(model, name, updates)
        if seconds > CHANGE_LIMIT_S:
            slow.append(f"{label}: {updates:,.0f} members, {fmt(seconds, 's')}")
    if not slow:
        return []
    return [
        "Membership updates of large events do not spread in seconds within the byte "
        "budget: "
        f"{'; '.join(slow)}. The budget is kept, and the views converge that much "
        "later. Mechanism that would avoid it: one record for a whole data centre, "
        "confirmed by several observers. It requires a new record type and a rule for "
        "refuting it."
    ]


def _peak_findings(model: Model) -> list[str]:
    over = []
    for name in _EVENTS:
        size, peak = max(model.slopes[f"{name}.peak"].points, key=lambda p: p[1])
        if peak > BYTES_PER_SECOND_LIMIT:
            over.append(f"{fmt(peak, 'B')} in `{name}` with {2**size:.0f} members")
    if not over:
        return []
    return [
        "In the measured events one member sent more than "
        f"{fmt(BYTES_PER_SECOND_LIMIT, 'B')} within one second: {'; '.join(over)}. "
        "The token bucket admits a burst of half a second, probes and their replies "
        "overdraw it, and responses to pulls of the member table are not delayed. "
        "Mechanism that would avoid it: a smaller burst, and a delay before a pull is "
        "answered."
    ]


def _burst_findings(model: Model) -> list[str]:
    core = events.burst_core(model)
    if core <= CORE_LIMIT:
        return []
    return [
        f"A burst of {events.BURST_CHANGES} changes of the manifest within "
        f"{events.BURST_S:.0f} s takes {fmt(core, 'core')} at each member for that "
        f"long, above {fmt(CORE_LIMIT, 'core')}, which allows "
        f"{events.changes_per_minute(model):.0f} changes a minute. Mechanism that "
        "would avoid it: validate and digest only the changed services. It requires a "
        "check of names and addresses across services that does not read all "
        "of them again."
    ]


def _memory_findings(model: Model) -> list[str]:
    flows = model.connections_memory + model.records_memory
    total = model.sidecar_memory + flows
    if total <= MEMORY_LIMIT:
        return []
    return [
        f"{model.site.name}: a sidecar with {model.site.flows_per_target:,.0f} open "
        f"connections and all its idempotency records uses {fmt(total, 'B')}. The "
        f"limit of {fmt(MEMORY_LIMIT, 'B')} applies to control alone, which uses "
        f"{fmt(model.sidecar_memory, 'B')}; an instance needs memory for both."
    ]


def _slope_table(slopes: dict[str, Slope]) -> str:
    rows = []
    for slope in slopes.values():
        points = ", ".join(f"{x:.4g}: {y:.4g}" for x, y in slope.points)
        note = " (a curve)" if slope.is_curved else ""
        rows.append(
            (
                f"`{slope.name}`",
                slope.unit,
                slope.per,
                points,
                f"{slope.slope:.4g}",
                f"{slope.intercept:.4g}",
                f"{slope.residual:.3g}{note}",
            )
        )
    columns = ("slope", "unit", "per", "points", "per unit", "at 0", "largest residual")
    return plain_table(columns, rows) + "\n"


def main() -> None:
    """Write the page, or compare it with the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare, don't write")
    parser.add_argument("--slopes", type=Path, default=RECORDED)
    options = parser.parse_args()
    written = page(*load(options.slopes))
    if options.check:
        sys.exit(0 if PAGE.read_text() == written else 1)
    PAGE.write_text(written)


if __name__ == "__main__":
    main()
