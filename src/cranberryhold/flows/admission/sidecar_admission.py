"""Admission control of a sidecar: queues openings and delivers them in order."""

from __future__ import annotations

from cranberryhold.flows.admission.decision import (
    COLD_LIMIT,
    Action,
    AdmissionPolicy,
    Decision,
    TargetLoad,
)
from cranberryhold.flows.admission.opening_queue import (
    OpeningQueue,
    WaitingOpening,
    attempt_age_s,
)
from cranberryhold.flows.admission.target_requests import TargetRequests
from cranberryhold.flows.admission.terms import OpeningTerms
from cranberryhold.flows.cold_start.gate import ColdStartGate
from cranberryhold.flows.envelope import (
    MAX_LOAD_PERCENT,
    NO_CANDIDATE,
    Envelope,
    Purpose,
)
from cranberryhold.flows.flow_table import FlowTable
from cranberryhold.flows.segments import Segment
from cranberryhold.flows.telemetry import Telemetry

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol
else:
    Protocol = object

# Unit of ``Envelope.least_load`` for openings that may wait: expected time until the
# answer, in seconds.
ANSWER_UNIT_S = 0.01
# Longest time until openings whose attempt has ended are removed, and until a place is
# used that a caller has left in silence.
SERVICE_INTERVAL_S = 0.02
# Upper bounds of the buckets for waiting times, up to the end of an attempt.
WAIT_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.1, 1.4)
# Less urgent priorities are counted together, which bounds the number of counters.
MAX_COUNTED_PRIORITY = 9


class OpeningActions(Protocol):
    """Carries out decisions on openings."""

    def accepts_flows(self) -> bool:
        """Whether openings may wait for the target."""

    def deliver_opening(self, envelope: Envelope, segment: Segment, key: bytes) -> None:
        """Deliver an opening to the target."""

    def forward(self, envelope: Envelope, position: int) -> None:
        """Forward an opening to another candidate."""

    def reset_opening(self, segment: Segment) -> None:
        """Tell the caller that its attempt has failed."""

    def report_queued(self, key: bytes, origin: bytes) -> None:
        """Tell an entry instance that an opening waits here."""


class SidecarAdmission:
    """Queues the openings of one target by their terms.

    :param flows: flows of the target.
    :param requests: requests in progress at the target.
    :param slots: returns the number of requests that the target processes at once.
    :param cold_start: limits the openings that a cold target gets.
    :param actions: carries out the decisions.
    :param telemetry: log and counters.
    :param monotonic: clock in seconds.
    """

    def __init__(
        self,
        flows: FlowTable,
        requests: TargetRequests,
        slots: Callable[[], int],
        cold_start: ColdStartGate,
        actions: OpeningActions,
        telemetry: Telemetry,
        monotonic: Callable[[], float],
    ) -> None:
        self._flows = flows
        self._requests = requests
        self._slots = slots
        self._cold_start = cold_start
        self._actions = actions
        self._telemetry = telemetry
        self._monotonic = monotonic
        self._queue = OpeningQueue()
        self._policy = AdmissionPolicy(self._queue, requests.work_s, slots)
        self._next_check_at = 0.0

    @property
    def waiting(self) -> int:
        """Number of openings that wait."""
        return len(self._queue)

    def offer(
        self, envelope: Envelope, terms: OpeningTerms, segment: Segment, key: bytes
    ) -> bool:
        """Handle an opening that may wait, or a copy of one.

        :return: False if no decision could be made, so that the opening is to be
            handled without admission control.
        """
        now = self._monotonic()
        requests = self._requests
        try:
            self._flows.report_requests(requests, now)
            # The target has been delivered the SYN of which this is a duplicate.
            is_offered = requests.is_offered(key)
            is_free = not self._queue and requests.count(now) < self._slots()
            is_delivered = (is_offered or is_free) and not self._cold_start.delay_s(
                key, segment, terms, 0
            )
            if not is_delivered:
                copy = segment.acknowledgment
                began_at = now - attempt_age_s(copy)
                opening = WaitingOpening(
                    key, terms, envelope, segment, began_at, now, copy
                )
                decision = self._decide(opening, now)
        except Exception as error:
            self._remove(key)
            self._record_fault(key, error)
            return False
        if is_delivered:
            if not is_offered:
                self._count("delivered", terms)
                requests.record_offered(key, now)
            self._actions.deliver_opening(envelope, segment, key)
            return True
        if decision.reason == COLD_LIMIT:
            self._cold_start.record_limited()
        match decision.action:
            case Action.DELIVER:
                self._deliver(opening, now)
            case Action.PASS_ON:
                self._pass_on(opening, decision)
            case Action.WAIT:
                self._wait(opening, decision, now)
            case Action.REJECT:
                self._reject(opening, decision.reason, now, decision)
        return True

    def serve(self) -> float | None:
        """Deliver the openings that the target takes, and remove those in vain.

        :return: seconds until the next call, None if nothing waits.
        """
        if not self._queue:
            return None
        if not self._actions.accepts_flows():
            self._hand_over_all()
            return None
        now = self._monotonic()
        if now >= self._next_check_at:
            self._next_check_at = now + SERVICE_INTERVAL_S
            self._remove_ended(now)
        while self._queue and self._load(now).takes_next:
            opening = self._next_opening(now)
            if opening is None or self._cold_delay_s(opening):
                break
            self._deliver(opening, now)
        return SERVICE_INTERVAL_S if self._queue else None

    def hand_over(self, envelope: Envelope, key: bytes, reason: str) -> None:
        """Offer an opening to its other candidates, as this target can't take it."""
        own = envelope.receiver
        others = tuple(ip for ip in envelope.candidates if ip != own)
        event = "flow-passed-on" if others else "flow-refused"
        self._telemetry.flow_event(event, key, reason=reason, candidates=len(others))
        if not others:
            self._telemetry.count("openings_refused")
            return
        envelope.purpose = Purpose.OPEN
        envelope.candidates = others
        envelope.least_loaded, envelope.least_load = NO_CANDIDATE, MAX_LOAD_PERCENT
        self._actions.forward(envelope, 0)

    def _decide(self, opening: WaitingOpening, now: float) -> Decision:
        envelope = opening.envelope
        is_offered = envelope.purpose is Purpose.OPEN
        best_reported_s = None
        if is_offered and envelope.least_loaded not in (
            NO_CANDIDATE,
            envelope.position,
        ):
            best_reported_s = envelope.least_load * ANSWER_UNIT_S
        return self._policy.decide(
            opening,
            self._load(now, self._cold_delay_s(opening, len(self._queue))),
            now,
            more_candidates=is_offered
            and envelope.position + 1 < len(envelope.candidates),
            best_reported_s=best_reported_s,
        )

    def _cold_delay_s(self, opening: WaitingOpening, waiting: int = 0) -> float:
        return self._cold_start.delay_s(
            opening.key, opening.segment, opening.terms, waiting
        )

    def _load(self, now: float, delay_s: float = 0.0) -> TargetLoad:
        requests = self._requests
        return TargetLoad(
            self._slots(),
            requests.count(now),
            requests.remaining_s(now),
            requests.next_free_s(now),
            delay_s,
        )

    def _next_opening(self, now: float) -> WaitingOpening | None:
        try:
            return self._policy.next_opening(now)
        except Exception as error:
            oldest = next(iter(self._queue))
            self._record_fault(oldest.key, error)
            return oldest

    def _deliver(self, opening: WaitingOpening, now: float) -> None:
        if self._remove(opening.key) is not None:
            waited_s = now - opening.queued_at
            self._telemetry.observe("opening_wait", waited_s, WAIT_BUCKETS_S)
        self._count("delivered", opening.terms)
        self._requests.record_offered(opening.key, now)
        self._actions.deliver_opening(opening.envelope, opening.segment, opening.key)

    def _pass_on(self, opening: WaitingOpening, decision: Decision) -> None:
        """Forward an opening to the next candidate, or to the one of the least wait.

        A copy that passes on takes the opening with it, so that it waits at one target
        only.
        """
        self._remove(opening.key)
        envelope = opening.envelope
        position = envelope.position + 1
        if position < len(envelope.candidates):
            units = min(MAX_LOAD_PERCENT - 1, int(decision.answer_s / ANSWER_UNIT_S))
            if units < envelope.least_load:
                envelope.least_loaded, envelope.least_load = envelope.position, units
        else:
            envelope.purpose = Purpose.OPEN_AT_LEAST_LOADED
            position = envelope.least_loaded
        self._count("passed_on", opening.terms)
        self._log("flow-passed-on", opening, decision.reason, decision)
        self._actions.forward(envelope, position)

    def _wait(self, opening: WaitingOpening, decision: Decision, now: float) -> None:
        if decision.displaced is not None:
            self._reject(decision.displaced, "displaced", now)
        if self._queue.get(opening.key) is None:
            self._count("queued", opening.terms)
            self._log("flow-queued", opening, decision.reason, decision)
        self._queue.put(opening)
        self._actions.report_queued(opening.key, opening.envelope.origin)
        self.serve()

    def _reject(
        self,
        opening: WaitingOpening,
        reason: str,
        now: float,
        decision: Decision | None = None,
    ) -> None:
        self._remove(opening.key)
        resets = self._policy.gains_by_reset(opening, now)
        self._count("rejected", opening.terms)
        self._log("flow-refused", opening, reason, decision, reset=resets)
        if resets:
            self._actions.reset_opening(opening.segment)

    def _remove_ended(self, now: float) -> None:
        """Remove openings that can no longer be answered, without a reset.

        Their callers give the attempt up a moment later. After a reset, the next
        attempt would look young until long after its deadline.
        """
        for opening in list(self._queue):
            if opening.is_over(now):
                reason = "attempt-ended"
            elif not self._is_viable(opening, now):
                reason = "deadline"
            else:
                continue
            self._queue.remove(opening)
            self._count("expired", opening.terms)
            self._log("flow-refused", opening, reason, reset=False)

    def _is_viable(self, opening: WaitingOpening, now: float) -> bool:
        try:
            return self._policy.is_viable(opening, now)
        except Exception as error:
            self._record_fault(opening.key, error)
            return True

    def _hand_over_all(self) -> None:
        for opening in list(self._queue):
            self._queue.remove(opening)
            self._count("passed_on", opening.terms)
            self.hand_over(opening.envelope, opening.key, "not-accepting")

    def _remove(self, key: bytes) -> WaitingOpening | None:
        waiting = self._queue.get(key)
        if waiting is not None:
            self._queue.remove(waiting)
        return waiting

    def _count(self, outcome: str, terms: OpeningTerms) -> None:
        priority = min(MAX_COUNTED_PRIORITY, terms.priority)
        self._telemetry.count(f"openings_{outcome}_priority_{priority}")

    def _log(
        self,
        event: str,
        opening: WaitingOpening,
        reason: str,
        decision: Decision | None = None,
        **fields: object,
    ) -> None:
        now = self._monotonic()
        work_age_s = self._requests.knowledge_age_s(now)
        if decision is not None:
            fields["wait_s"] = round(decision.wait_s, 3)
        self._telemetry.flow_event(
            event,
            opening.key,
            reason=reason,
            priority=opening.terms.priority,
            work_s=round(self._requests.work_s(opening.route), 3),
            work_age_s=None if work_age_s is None else round(work_age_s, 3),
            age_s=round(opening.age_s(now), 3),
            waiting=len(self._queue),
            in_progress=self._requests.count(now),
            slots=self._slots(),
            **self._cold_start.log_fields(),
            **fields,
        )

    def _record_fault(self, key: bytes, error: Exception) -> None:
        self._telemetry.count("admission_faults")
        self._telemetry.flow_event("admission-fault", key, level="ERROR", error=error)
