"""Sliding window over the openings that were delivered to a target."""

from _collections import deque

COLD_WINDOW_S = 1.1
"""Length of the window in seconds.

The limit applies to the arrivals of any one second. The tenth more covers deliveries
that arrive late: a sidecar that has used up its share of processor time may be stopped
for most of a scheduling period of 0.1 s between its decision and the arrival.
"""


class ColdStartLimiter:
    """Counts the openings delivered within the window.

    Times are monotonic, in seconds. The count is kept while the target is warm as well,
    so that it is right at the moment when a cold target takes its place. Its size is
    bounded by the packets that a sidecar handles in a second.

    :param started_at: start of the process. What a predecessor delivered before is
        unknown, so that the window counts as used up until it has passed.
    """

    def __init__(self, started_at: float) -> None:
        self._delivered_at: deque[float] = deque()
        self._unknown_until = started_at + COLD_WINDOW_S

    def is_known(self, now: float) -> bool:
        """Whether all deliveries within the window are known."""
        return now >= self._unknown_until

    def assume_no_predecessor(self) -> None:
        """Record that no other process has delivered anything to this target."""
        self._unknown_until = 0.0

    def record(self, now: float) -> None:
        """Record that an opening is delivered."""
        self._remove_expired(now)
        self._delivered_at.append(now)

    def count(self, now: float) -> int:
        """Return the openings that this process delivered within the window."""
        self._remove_expired(now)
        return len(self._delivered_at)

    def room(self, now: float, limit: int) -> int:
        """Return how many openings may be delivered now.

        :param limit: most openings that may arrive in any one second.
        """
        if now < self._unknown_until:
            return 0
        self._remove_expired(now)
        return max(0, limit - len(self._delivered_at))

    def allows(self, now: float, limit: int) -> bool:
        """Whether another opening may be delivered now."""
        return self.room(now, limit) > 0

    def wait_s(self, now: float, limit: int, waiting: int) -> float:
        """Return the seconds until another opening may be delivered.

        :param limit: most openings that may arrive in any one second.
        :param waiting: number of openings that are delivered before it.
        """
        if limit <= 0:
            return COLD_WINDOW_S * (waiting + 1)
        self._remove_expired(now)
        windows, before = divmod(waiting, limit)
        free_at = self._unknown_until
        index = len(self._delivered_at) + before - limit
        if index >= 0:
            free_at = max(free_at, self._delivered_at[index] + COLD_WINDOW_S)
        return max(0.0, free_at - now) + windows * COLD_WINDOW_S

    def _remove_expired(self, now: float) -> None:
        delivered_at, expired_at = self._delivered_at, now - COLD_WINDOW_S
        while delivered_at and delivered_at[0] <= expired_at:
            delivered_at.popleft()
