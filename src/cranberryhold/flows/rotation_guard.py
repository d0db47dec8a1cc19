"""Decides when an overloaded entry instance leaves the fabric's rotation for a while.

All ready entry instances of a zone receive equal shares, whatever their links and
processors can handle. Packets for an instance whose link is full wait for seconds in
front of it, and those of a slowed instance wait in its buffers; meanwhile its neighbors
have room. An instance that reports itself unready is sent nothing after two probes, so
its queue drains and its flows continue through the neighbors.

Each change of the rotation moves nearly all flows of the zone, so that instances leave
only under lasting overload, and longer each time.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random


# A link at this load over a second is full most of the time.
MAX_UTILIZATION = 0.75
# Packets that arrive in bursts vary the load of a full link down to this.
RELIEVED_UTILIZATION = 0.6
# Delay of timers on an instance whose processor can't keep up.
MAX_LATENESS_S = 0.1
# A burst of a few callers ends sooner.
LEAVE_AFTER_S = 0.4
# Neighbors that are overloaded at the same time must not leave at the same moment.
LEAVE_JITTER_S = 0.6
MIN_AWAY_S = 4.0
MAX_AWAY_S = 16.0
# An instance that is overloaded again this soon after its return stays away longer.
RELAPSE_S = 10.0
# The queue in front of the link has drained when this little arrives.
CALM_UTILIZATION = 0.3


class RotationGuard:
    """Tracks the overload of an entry instance.

    :param random: spreads the departures of neighbors.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._in_rotation = True
        self._overloaded_at: float | None = None
        self._leave_after_s = 0.0
        self._left_at = 0.0
        self._returned_at: float | None = None
        self._away_s = MIN_AWAY_S

    @property
    def in_rotation(self) -> bool:
        """Whether the instance should receive packets from the fabric."""
        return self._in_rotation

    def update(
        self,
        *,
        utilization: float,
        lateness_s: float,
        may_leave: Callable[[], bool],
        is_needed: Callable[[], bool],
        now: float,
    ) -> bool:
        """Update the state; return whether it changed.

        :param utilization: load of the instance's link.
        :param lateness_s: how late a timer fired, in seconds.
        :param may_leave: returns whether the zone keeps enough ready instances.
        :param is_needed: returns whether the zone has too few ready instances.
        :param now: monotonic time in seconds.
        """
        if not self._in_rotation:
            if is_needed():
                return self._return(now)
            return self._update_away(utilization, lateness_s, now)
        limit = MAX_UTILIZATION if self._overloaded_at is None else RELIEVED_UTILIZATION
        if utilization < limit and lateness_s < MAX_LATENESS_S:
            self._overloaded_at = None
            return False
        if self._overloaded_at is None:
            self._overloaded_at = now
            jitter_s = self._random.uniform(0.0, LEAVE_JITTER_S)
            self._leave_after_s = LEAVE_AFTER_S + jitter_s
        if now - self._overloaded_at < self._leave_after_s or not may_leave():
            return False
        self._leave(now)
        return True

    def _leave(self, now: float) -> None:
        relapsed = self._returned_at is not None and (
            now - self._returned_at < RELAPSE_S
        )
        self._away_s = min(MAX_AWAY_S, 2 * self._away_s) if relapsed else MIN_AWAY_S
        self._in_rotation = False
        self._left_at = now

    def _update_away(self, utilization: float, lateness_s: float, now: float) -> bool:
        calm = utilization < CALM_UTILIZATION and lateness_s < MAX_LATENESS_S
        if not calm or now - self._left_at < self._away_s:
            return False
        return self._return(now)

    def _return(self, now: float) -> bool:
        self._in_rotation = True
        self._overloaded_at = None
        self._returned_at = now
        return True
