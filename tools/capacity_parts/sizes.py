"""Sites for which the page is computed, and the required limits."""

from dataclasses import dataclass
from math import log2

DAY_S = 86_400

BYTES_PER_SECOND_LIMIT = 13_000
MEMORY_LIMIT = 256_000_000
CORE_LIMIT = 0.012
CHANGE_LIMIT_S = 3.0
STORE_READS_LIMIT = 2_000
STORE_WRITES_LIMIT = 300
"""Lowest reading of the "several hundred" writes a second that the platform takes."""

_TWO_YEAR_MEMBERS = 7_430
_TWO_YEAR_SERVICES = 650


@dataclass(frozen=True, slots=True)
class Site:
    """One deployment.

    :param slots: requests that an upstream runs at once.
    :param flows: open flows.
    :param new_flows: new flows a second.
    :param changes: changes of the manifest a day.
    :param restarts: instances restarted or replaced a day.
    :param failures: instances that fail a day.
    """

    name: str
    entries: int
    targets: int
    slots: int
    services: int
    zones: int
    flows: int
    new_flows: float
    changes: float
    restarts: float
    failures: float

    @property
    def members(self) -> int:
        """Number of entry instances and sidecars."""
        return self.entries + self.targets

    @property
    def log_members(self) -> float:
        """Logarithm of the members, which the costs of gossip are fitted against."""
        return log2(self.members)

    @property
    def flows_per_target(self) -> float:
        """Open connections at each sidecar."""
        return self.flows / self.targets


def _current_site(name: str, slots: int) -> Site:
    """Return a site of today: 3 + 7 + 3 instances and 2,000 flows per target.

    No rates are given for today, so they are scaled down from the two-year size in
    proportion to members, services and flows.
    """
    entries, targets, services, flows = 3, 10, 2, 20_000
    share = (entries + targets) / _TWO_YEAR_MEMBERS
    return Site(
        name,
        entries=entries,
        targets=targets,
        slots=slots,
        services=services,
        zones=3,
        flows=flows,
        new_flows=59_000 * flows / 9_000_000,
        changes=1_200 * services / _TWO_YEAR_SERVICES,
        restarts=2_400 * share,
        failures=18 * share,
    )


HIMAL = _current_site("Himal today", 4)
GEBEYA = _current_site("Gebeya today", 3)
TWO_YEAR = Site(
    "two-year size",
    entries=930,
    targets=6_500,
    slots=4,
    services=_TWO_YEAR_SERVICES,
    zones=8,
    flows=9_000_000,
    new_flows=59_000,
    changes=1_200,
    restarts=2_400,
    failures=18,
)
SITES = (HIMAL, GEBEYA, TWO_YEAR)
