"""Decides which openings are delivered, wait, are passed on or are rejected."""

from __future__ import annotations

from math import inf

from cranberryhold.choices import Choice
from cranberryhold.flows.admission.opening_queue import (
    ATTEMPT_S,
    COPY_AGES_S,
    LAST_DELIVERY_AGE_S,
    OpeningQueue,
    WaitingOpening,
)
from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

# Reason of a decision on an opening that a cold target may not be delivered now.
COLD_LIMIT = "cold-limit"
# From the delivery of a SYN to the arrival of the answer at the caller: two round trips
# of up to 10 ms and the way of the first SYN, which the age of an opening leaves out.
EXCHANGE_S = 0.025
# One more request than the target has slots is delivered, as a slot would otherwise be
# idle from an answer to the end of the next handshake. If its slot is not expected to
# be free so soon, it waits here instead, where more urgent ones overtake it. The time
# covers a handshake of 20 ms and the interval at which the queue is served.
SPARE_REQUESTS = 1
SPARE_LEAD_S = 0.05
# Of this many deliveries, one goes to the openings that are older than the limit. With
# every other one, few requests are answered in time under lasting overload, and hardly
# more are answered at all.
MAX_PASSED_OVER_S = 0.8
PASSED_OVER_INTERVAL = 4
# An opening this close to the end of its attempt precedes others that are late, too.
# It is the shortest interval between the copies of a SYN.
ENDING_S = 0.2
# A few requests take this multiple of the mean. They use a large share of the capacity
# in vain if they are delivered too late for their deadline.
LONG_WORK = 8.0
# Share of the expected time that counts in an optimistic estimate. Half of the requests
# take less than their mean, and others that wait may be dropped.
OPTIMISTIC_SHARE = 0.5
# Callers are reset before they send the first copy of a SYN.
MAX_RESET_AGE_S = COPY_AGES_S[1]
# Expected service times in the same class of this width count as equal.
WORK_CLASS_S = 0.01


class Action(Choice):
    """What happens to an opening that has arrived."""

    DELIVER = "deliver"
    WAIT = "wait"
    PASS_ON = "pass-on"
    REJECT = "reject"


class Decision(Struct, frozen=True):
    """Decision on an opening, with the estimates that it rests on.

    :param action: what happens to the opening.
    :param reason: reason for logs.
    :param wait_s: expected wait for a slot at this target.
    :param work_s: expected service time.
    :param displaced: waiting opening that is removed to make place.
    """

    action: Action
    reason: str
    wait_s: float
    work_s: float
    displaced: WaitingOpening | None = None

    @property
    def answer_s(self) -> float:
        """Expected time until the answer, by which candidates are compared."""
        return self.wait_s + self.work_s


class TargetLoad(Struct, frozen=True):
    """Load of a target at a moment.

    :param slots: number of requests that it processes at once.
    :param in_progress: requests that it has or is about to receive.
    :param remaining_s: sum of their expected remaining times.
    :param next_free_s: expected time until one of them ends, 0 without any.
    :param delay_s: seconds for which a limit on a cold target forbids a delivery.
    """

    slots: int
    in_progress: int
    remaining_s: float
    next_free_s: float
    delay_s: float = 0.0

    @property
    def has_free_slot(self) -> bool:
        """Whether the target could process one more request now."""
        return not self.delay_s and self.in_progress < self.slots

    @property
    def takes_next(self) -> bool:
        """Whether a waiting opening may be delivered now."""
        if self.has_free_slot:
            return True
        has_place = self.in_progress < self.slots + SPARE_REQUESTS
        return has_place and not self.delay_s and self.next_free_s <= SPARE_LEAD_S


class AdmissionPolicy:
    """Decides by priority, objective, expected work and age.

    :param queue: openings that wait; the policy does not change it.
    :param work_s: returns the expected service time of a route in seconds.
    :param slots: returns the number of requests that the target processes at once.
    """

    def __init__(
        self,
        queue: OpeningQueue,
        work_s: Callable[[bytes], float],
        slots: Callable[[], int],
    ) -> None:
        self._queue = queue
        self._work_s = work_s
        self._slots = slots
        # Deliveries in a row for which older openings were passed over.
        self._passing = 0

    def decide(
        self,
        opening: WaitingOpening,
        load: TargetLoad,
        now: float,
        *,
        more_candidates: bool,
        best_reported_s: float | None,
    ) -> Decision:
        """Decide on an opening that has just arrived.

        :param opening: the opening; a copy of it may be waiting already.
        :param load: load of the target.
        :param now: monotonic time in seconds.
        :param more_candidates: whether other candidates follow.
        :param best_reported_s: least expected time until an answer that another
            candidate reported, None if the opening can't be passed on to it.
        """
        work_s = self._work_s(opening.route)
        wait_s = self._wait_s(opening, load)

        def decision(
            action: Action, reason: str, displaced: WaitingOpening | None = None
        ) -> Decision:
            return Decision(action, reason, wait_s, work_s, displaced)

        if load.has_free_slot:
            return decision(Action.DELIVER, "free-slot")
        busy = COLD_LIMIT if load.delay_s else "no-free-slot"
        if more_candidates:
            return decision(Action.PASS_ON, busy)
        if self._queue.get(opening.key) is not None:
            return decision(Action.WAIT, "waiting")
        if best_reported_s is not None and best_reported_s < wait_s + work_s:
            return decision(Action.PASS_ON, "sooner-elsewhere")
        if load.takes_next and not self._queue:
            return decision(Action.DELIVER, "next-slot")
        if not self._may_meet_deadline(opening, load, now):
            return decision(Action.REJECT, "deadline")
        if not self._queue.is_full:
            return decision(Action.WAIT, busy)
        least = max((*self._queue, opening), key=lambda o: self._expendability(o, now))
        if least is opening:
            return decision(Action.REJECT, "queue-full")
        return decision(Action.WAIT, busy, least)

    def next_opening(self, now: float) -> WaitingOpening | None:
        """Return the waiting opening to deliver next, None if none can be answered.

        At least one of ``PASSED_OVER_INTERVAL`` deliveries goes to an opening that has
        waited for too long.
        """
        viable = [opening for opening in self._queue if self.is_viable(opening, now)]
        if not viable:
            return None
        passed_over = [o for o in viable if self.is_passed_over(o, now)]
        if passed_over and self._passing >= PASSED_OVER_INTERVAL - 1:
            viable = passed_over
        chosen = min(viable, key=lambda opening: self._rank(opening, now))
        is_passing = bool(passed_over) and not self.is_passed_over(chosen, now)
        self._passing = self._passing + 1 if is_passing else 0
        return chosen

    def is_passed_over(self, opening: WaitingOpening, now: float) -> bool:
        """Whether an opening has waited for too long, and its caller still does."""
        return opening.age_s(now) > MAX_PASSED_OVER_S and not opening.misses_copy(now)

    def is_viable(self, opening: WaitingOpening, now: float) -> bool:
        """Whether an opening that is delivered now may be answered in time."""
        if opening.is_over(now):
            return False
        return opening.age_s(now) + self._answer_s(opening) <= opening.terms.deadline_s

    def gains_by_reset(self, opening: WaitingOpening, now: float) -> bool:
        """Whether the caller of a rejected opening is to be reset.

        A caller that gets no answer makes another attempt by itself. If that one could
        be answered before the deadline, a reset would only use up one of the attempts.
        After a reset, the next attempt looks as young as a first one although its
        deadline is nearer, so that it would still wait when its caller has gone.
        """
        if ATTEMPT_S + self._answer_s(opening) <= opening.terms.deadline_s:
            return False
        return opening.copy == 0 and opening.age_s(now) < MAX_RESET_AGE_S

    def _wait_s(self, opening: WaitingOpening, load: TargetLoad) -> float:
        """Return the expected wait for a slot; a waiting copy doesn't count."""
        if load.has_free_slot:
            return 0.0
        ahead_s = self._queue.work_s(opening.terms.priority, self._work_s)
        if self._queue.get(opening.key) is not None:
            ahead_s -= self._work_s(opening.route)
        return load.delay_s + (load.remaining_s + max(0.0, ahead_s)) / load.slots

    def _may_meet_deadline(
        self, opening: WaitingOpening, load: TargetLoad, now: float
    ) -> bool:
        """Whether an optimistic estimate lets an opening be answered in time.

        Only openings that are more urgent are sure to be delivered before it, and only
        until their own attempts end.
        """
        ahead_s = self._queue.work_s(opening.terms.priority - 1, self._work_s)
        wait_s = load.delay_s + load.remaining_s / load.slots
        wait_s += min(ahead_s / load.slots, LAST_DELIVERY_AGE_S)
        work_s = self._work_s(opening.route)
        optimistic_s = OPTIMISTIC_SHARE * (wait_s + work_s)
        deadline_s = opening.terms.deadline_s
        return opening.age_s(now) + EXCHANGE_S + optimistic_s <= deadline_s

    def _meets_objective(self, opening: WaitingOpening, now: float) -> bool:
        return opening.age_s(now) + self._answer_s(opening) <= opening.terms.objective_s

    def _answer_s(self, opening: WaitingOpening) -> float:
        """Return the expected time from the delivery of an opening to the answer.

        When the opening is delivered, other requests may still occupy the slots. The
        next one of them ends after its share of a service time.
        """
        work_s = self._work_s(opening.route)
        return EXCHANGE_S + work_s + min(work_s / self._slots(), SPARE_LEAD_S)

    def _long_s(self, opening: WaitingOpening) -> float:
        """Return the time from a delivery to the answer if the request is long."""
        work_s = (LONG_WORK - 1.0) * self._work_s(opening.route)
        return self._answer_s(opening) + work_s

    def _work_class(self, opening: WaitingOpening) -> int:
        """Return the class of the expected work; each is twice as wide as the last."""
        return int(self._work_s(opening.route) / WORK_CLASS_S).bit_length()

    def _rank(self, opening: WaitingOpening, now: float) -> tuple[float, ...]:
        """Return the rank for a delivery; the lowest is first."""
        late = not self._meets_objective(opening, now)
        left_s = LAST_DELIVERY_AGE_S - opening.age_s(now)
        safe_s = opening.terms.deadline_s - opening.age_s(now) - self._long_s(opening)
        if safe_s > 0:
            left_s = min(left_s, safe_s)
        return (
            opening.misses_copy(now),
            opening.terms.priority,
            late,
            late and safe_s <= 0,
            late and left_s > ENDING_S,
            self._work_class(opening),
            opening.began_at,
        )

    def _expendability(self, opening: WaitingOpening, now: float) -> tuple[float, ...]:
        """Return the rank for a removal; the highest costs its caller least."""
        is_gone = opening.misses_copy(now) or not self.is_viable(opening, now)
        return (
            inf if is_gone else opening.terms.priority,
            not self._meets_objective(opening, now),
            self._work_class(opening),
            opening.began_at,
        )
