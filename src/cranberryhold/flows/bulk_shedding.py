"""Decides when an entry instance with a full link refuses new bulk flows.

Entry instances of a zone receive equal shares of its flows, whatever their links carry.
When many uploads start at once, packets wait at a slow link for longer than the
retransmission timeout of 200 ms; callers then send each packet several times, so that
the link stays full long after the burst. A caller whose SYN is reset at once tries
again from another port, and most likely reaches another entry instance.

Only the first SYN of a flow is refused, as a copy may belong to a flow that a target
has accepted. Part of the SYNs is let through at any load, since a caller gives up after
a few attempts.

With admission control, the routes have priorities. As many flows are refused as without
them, but those of the least urgent routes first.
"""

from __future__ import annotations

from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from random import Random

# Packets begin to wait noticeably from this utilization on.
SHEDDING_START = 0.5
# The probability of a refusal reaches its maximum here.
SHEDDING_FULL = 0.85
# With three of five links full, about 3% of the callers are refused at three attempts.
MAX_REFUSED_SHARE = 0.5
# A route that is hardly used, such as one that was just added, is never refused: to its
# caller, a reset would look like a missing route.
MIN_ROUTE_FLOWS = 16
USAGE_PERIOD_S = 10.0


def refused_share(utilization: float) -> float:
    """Return the share of the new bulk flows to refuse at a utilization of the link."""
    excess = (utilization - SHEDDING_START) / (SHEDDING_FULL - SHEDDING_START)
    return MAX_REFUSED_SHARE * min(1.0, max(0.0, excess))


class _RouteUsage(Struct):
    period_start: float
    flows: int = 0
    previous_flows: int = 0
    priority: int = 0

    def record(self, now: float) -> None:
        elapsed = now - self.period_start
        if elapsed >= USAGE_PERIOD_S:
            recent = elapsed < 2 * USAGE_PERIOD_S
            self.previous_flows = self.flows if recent else 0
            self.flows = 0
            self.period_start = now
        self.flows += 1

    def recent_flows(self, now: float) -> int:
        if now - self.period_start >= 2 * USAGE_PERIOD_S:
            return 0
        return max(self.flows, self.previous_flows)

    def is_established(self) -> bool:
        return max(self.flows, self.previous_flows) >= MIN_ROUTE_FLOWS


class BulkShedding:
    """Refuses new flows of bulk routes while the link is full.

    :param random: selects the flows to refuse.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        # One entry for each bulk route that the operator ever configured.
        self._usage: dict[tuple[bytes, int], _RouteUsage] = {}

    def refuses(
        self,
        route: tuple[bytes, int],
        utilization: float,
        now: float,
        priority: int | None = None,
    ) -> bool:
        """Whether to refuse a new flow of a bulk route.

        :param route: address and port of the route.
        :param utilization: load of the instance's link.
        :param now: monotonic time in seconds.
        :param priority: priority of the route, None if priorities do not count.
        """
        usage = self._usage.get(route)
        if usage is None:
            usage = self._usage[route] = _RouteUsage(now)
        usage.record(now)
        share = refused_share(utilization)
        if priority is not None:
            usage.priority = priority
            if share > 0.0:
                share = self._share_of_priority(share, priority, now)
        return share > 0.0 and usage.is_established() and self._random.random() < share

    def _share_of_priority(self, share: float, priority: int, now: float) -> float:
        """Return the share of the flows of a priority to refuse.

        :param share: share of all bulk flows to refuse.
        """
        flows = less_urgent = equal = 0
        for usage in self._usage.values():
            recent = usage.recent_flows(now)
            flows += recent
            less_urgent += recent * (usage.priority > priority)
            equal += recent * (usage.priority == priority)
        left = share * flows - MAX_REFUSED_SHARE * less_urgent
        return min(MAX_REFUSED_SHARE, max(0.0, left / max(1, equal)))
