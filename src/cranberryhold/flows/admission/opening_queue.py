"""Openings that wait at a sidecar until its target can process their requests."""

from __future__ import annotations

from cranberryhold.flows.admission.target_requests import route_of
from cranberryhold.flows.admission.terms import OpeningTerms
from cranberryhold.flows.envelope import Envelope
from cranberryhold.flows.segments import Segment
from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# A caller abandons an attempt to open a flow this long after its first SYN.
ATTEMPT_S = 1.4
# Age of an attempt when a caller sends the first SYN and its copies.
COPY_AGES_S = (0.0, 0.2, 0.6)
# A copy that is later than this was not sent, as its caller has gone, or is elsewhere.
COPY_DELAY_S = 0.1
# Kept for the way of the SYN from the caller, along up to 13 members at 4 ms each, and
# of the SYN+ACK back to it.
ATTEMPT_MARGIN_S = 0.1
LAST_DELIVERY_AGE_S = ATTEMPT_S - ATTEMPT_MARGIN_S
# A target that answers 90 requests a second is delivered this many within an attempt.
# Selecting one of them takes 0.2 ms.
MAX_WAITING = 128


class WaitingOpening(Struct, eq=False):
    """A SYN that waits for its delivery. Times are monotonic, in seconds.

    :param key: key of the flow.
    :param terms: terms of its route.
    :param envelope: the newest copy of the SYN, as it was received.
    :param segment: the decoded SYN.
    :param began_at: start of the attempt, when the caller sent the first SYN.
    :param queued_at: arrival of the first copy at this sidecar.
    :param copy: highest number of the copies that have arrived.
    """

    key: bytes
    terms: OpeningTerms
    envelope: Envelope
    segment: Segment
    began_at: float
    queued_at: float
    copy: int = 0

    @property
    def route(self) -> bytes:
        """Packed address and port that the flow is opened to."""
        return route_of(self.key)

    def age_s(self, now: float) -> float:
        """Return the seconds since the caller sent the first SYN, at least."""
        return now - self.began_at

    def misses_copy(self, now: float) -> bool:
        """Whether a copy that the caller would have sent by now has not arrived."""
        following = self.copy + 1
        return (
            following < len(COPY_AGES_S)
            and self.age_s(now) > COPY_AGES_S[following] + COPY_DELAY_S
        )

    def is_over(self, now: float) -> bool:
        """Whether a SYN+ACK may no longer reach the caller within the attempt."""
        return now - self.began_at >= LAST_DELIVERY_AGE_S


def attempt_age_s(copy: int) -> float:
    """Return the age of an attempt when a caller sends a copy of its SYN.

    :param copy: number of copies sent before.
    """
    return COPY_AGES_S[min(copy, len(COPY_AGES_S) - 1)]


class OpeningQueue:
    """Bounded set of waiting openings, one for each flow, in the order of arrival."""

    def __init__(self, limit: int = MAX_WAITING) -> None:
        self._limit = limit
        self._openings: dict[bytes, WaitingOpening] = {}
        # Number of openings by priority and route.
        self._counts: dict[tuple[int, bytes], int] = {}

    def __len__(self) -> int:
        return len(self._openings)

    def __iter__(self) -> Iterator[WaitingOpening]:
        return iter(self._openings.values())

    @property
    def is_full(self) -> bool:
        """Whether an opening must be removed before another one is added."""
        return len(self._openings) >= self._limit

    def get(self, key: bytes) -> WaitingOpening | None:
        """Return the waiting opening of a flow, or None."""
        return self._openings.get(key)

    def put(self, opening: WaitingOpening) -> None:
        """Add an opening, or update the one of the same flow with a copy of its SYN.

        The opening must have its place: the queue is not full, or contains the flow.
        """
        former = self._openings.get(opening.key)
        if former is not None:
            former.envelope, former.segment = opening.envelope, opening.segment
            former.began_at = min(former.began_at, opening.began_at)
            former.copy = max(former.copy, opening.copy)
            return
        if self.is_full:
            raise ValueError(f"the queue is full with {self._limit} openings")
        self._openings[opening.key] = opening
        group = opening.terms.priority, opening.route
        self._counts[group] = self._counts.get(group, 0) + 1

    def remove(self, opening: WaitingOpening) -> None:
        """Remove a waiting opening."""
        del self._openings[opening.key]
        group = opening.terms.priority, opening.route
        self._counts[group] -= 1
        if not self._counts[group]:
            del self._counts[group]

    def work_s(self, priority: int, work_s: Callable[[bytes], float]) -> float:
        """Return the expected work of openings up to a priority.

        :param priority: openings of this and more urgent priorities count.
        :param work_s: returns the expected service time of a route.
        """
        return sum(
            count * work_s(route)
            for (waiting, route), count in self._counts.items()
            if waiting <= priority
        )
