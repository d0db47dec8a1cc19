"""Decides which members are sent a status when, without any I/O.

Every sidecar sends its status to every entry instance. At full rate, the cost of a
receiver grows with the number of sidecars, and most of them are in other zones, whose
targets it rarely chooses. Members of the local zone are therefore sent a status in each
round, the others take turns. Each status states when the next one follows, so that a
receiver knows when its sender is silent.
"""

from __future__ import annotations

from math import ceil

from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

# Upper bound of the bytes per second that a member sends as statuses.
STATUS_BUDGET_BYTES_S = 5_000
# Size of a status with its IP and UDP headers.
STATUS_BYTES = 90
# Remote members in each round, unless their turns would then be too far apart.
REMOTE_PER_ROUND = 8
SIDECAR_STATUS_INTERVAL_S = 0.25
ENTRY_STATUS_INTERVAL_S = 1.0
# Rounds between two statuses to the same remote member, at most.
SIDECAR_MAX_ROUNDS = 8
ENTRY_MAX_ROUNDS = 10
# A sender is silent after two missed statuses; the rest covers delays of both ends.
MISSED_STATUSES = 2
STATUS_DELAY_S = 0.5


def silence_timeout_s(interval_s: float) -> float:
    """Return the seconds without a status after which a sender counts as silent."""
    return MISSED_STATUSES * interval_s + STATUS_DELAY_S


class StatusRound(Struct, frozen=True):
    """The receivers of one round of statuses.

    :param local: members that are sent a status in every round.
    :param remote: members whose turn it is.
    :param interval_s: seconds until the next round.
    :param remote_interval_s: seconds until the next turn of the remote members.
    """

    local: Sequence[bytes]
    remote: Sequence[bytes]
    interval_s: float
    remote_interval_s: float


class StatusSchedule:
    """Rounds of statuses within the byte budget of a member.

    >>> schedule = StatusSchedule(min_interval_s=0.25, max_rounds=2)
    >>> remote = [bytes([number]) for number in range(20)]
    >>> [len(schedule.next_round([b"local"], remote).remote) for _ in range(2)]
    [10, 10]

    :param min_interval_s: shortest time between two rounds in seconds.
    :param max_rounds: most rounds between two statuses to the same remote member.
    """

    def __init__(self, min_interval_s: float, max_rounds: int) -> None:
        self._min_interval_s = min_interval_s
        self._max_rounds = max_rounds
        self._round = 0
        self._interval_s = min_interval_s
        self._longest_interval_s = max_rounds * min_interval_s

    @property
    def interval_s(self) -> float:
        """Seconds between two statuses to the same member of the local zone."""
        return self._interval_s

    @property
    def longest_interval_s(self) -> float:
        """Seconds within which each member is sent a status.

        Before the first round, this covers any number of members up to the budget.
        """
        return self._longest_interval_s

    def next_round(
        self, local: Sequence[bytes], remote: Sequence[bytes]
    ) -> StatusRound:
        """Return the receivers of the next round.

        :param local: members of the local zone, and members whose zone is unknown.
        :param remote: members of the other zones.
        """
        rounds = min(self._max_rounds, max(1, ceil(len(remote) / REMOTE_PER_ROUND)))
        turn = list(remote[self._round % rounds :: rounds])
        self._round += 1
        bytes_per_round = (len(local) + len(remote) / rounds) * STATUS_BYTES
        interval_s = max(self._min_interval_s, bytes_per_round / STATUS_BUDGET_BYTES_S)
        self._interval_s = interval_s
        self._longest_interval_s = rounds * interval_s
        return StatusRound(local, turn, interval_s, rounds * interval_s)
