"""Handles the openings that members offer to a sidecar."""

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from cranberryhold.flows.admission.service_times import ServiceTimes
from cranberryhold.flows.admission.sidecar_admission import SidecarAdmission
from cranberryhold.flows.admission.target_requests import TargetRequests
from cranberryhold.flows.admission.terms import OpeningTerms
from cranberryhold.flows.cold_start.gate import ColdStartGate
from cranberryhold.flows.envelope import (
    MAX_LOAD_PERCENT,
    NO_CANDIDATE,
    Envelope,
    Purpose,
)
from cranberryhold.flows.evacuation.state import ATTEMPT_RETENTION_S, EvacuationState
from cranberryhold.flows.flow_table import FlowRecord, FlowTable
from cranberryhold.flows.peer_messages import OpeningQueued, PeerMessage
from cranberryhold.flows.pending_deliveries import MAX_PENDING
from cranberryhold.flows.segments import Segment
from cranberryhold.flows.selection.circuit_breaker import CircuitBreaker
from cranberryhold.flows.selection.target_health import TargetHealth
from cranberryhold.flows.target_state import TargetState
from cranberryhold.flows.telemetry import Telemetry


class OpeningOutput(Protocol):
    """Sends openings, and answers to them."""

    def accepts_flows(self) -> bool:
        """Whether new flows may be offered to the target."""

    def deliver(self, envelope: Envelope, segment: Segment, key: bytes) -> None:
        """Deliver a packet to the target."""

    def forward(self, envelope: Envelope, position: int) -> None:
        """Forward an envelope to another candidate."""

    def reset_opening(self, segment: Segment) -> None:
        """Answer a SYN with a reset."""

    def send_to_peer(self, ip: bytes, message: PeerMessage) -> None:
        """Send a message to a member."""


class DeliveredOpening(Struct, frozen=True):
    """An opening that the target was delivered.

    :param origin: packed IPv4 address of the entry instance that offered it.
    :param sequence: sequence number of the SYN, which its copies have as well.
    """

    origin: bytes
    sequence: int


class SidecarOpenings:
    """Delivers openings to the target, queues them, or passes them on.

    :param target: state of the target.
    :param output: sends the openings.
    :param telemetry: log and counters.
    :param cold_start: limits the openings that a cold target gets.
    :param max_flow_s: seconds after which an idle flow may be removed.
    :param zone: data centre of the instance.
    :param evacuations: the known evacuations.
    :param monotonic: clock for flows, in seconds.
    :param boot_time: clock for heartbeats, in seconds.
    """

    def __init__(
        self,
        target: TargetState,
        output: OpeningOutput,
        telemetry: Telemetry,
        cold_start: ColdStartGate,
        *,
        max_flow_s: float,
        zone: str,
        evacuations: EvacuationState,
        monotonic: Callable[[], float],
        boot_time: Callable[[], float],
    ) -> None:
        self._target = target
        self._output = output
        self._telemetry = telemetry
        self._cold_start = cold_start
        self._zone = zone
        self._evacuations = evacuations
        self._monotonic = monotonic
        self._boot_time = boot_time
        self._times = ServiceTimes()
        self._health = TargetHealth()
        self._breaker = CircuitBreaker(telemetry)
        self._requests = TargetRequests(
            self._times, self._slots, self._health, self._breaker
        )
        self._flows = FlowTable(max_flow_s)
        self._admission = SidecarAdmission(
            self._flows,
            self._requests,
            self._slots,
            cold_start,
            self,
            telemetry,
            monotonic,
        )
        # Openings that the target has not accepted yet, by flow.
        self._delivered: dict[bytes, DeliveredOpening] = {}

    @property
    def flows(self) -> FlowTable:
        """Flows of the target."""
        return self._flows

    @property
    def waiting(self) -> int:
        """Number of openings that wait for the target."""
        return self._admission.waiting

    @property
    def service_time_s(self) -> float | None:
        """Mean time until the target answers a request, None if unknown."""
        return self._times.mean_s()

    def distrust(self) -> int:
        """Return how much speaks against the target's health, from 0 to 100."""
        return self._requests.distrust(self._monotonic())

    def handle(self, envelope: Envelope, segment: Segment) -> None:
        """Handle an opening that a member offers."""
        key = segment.flow_key_from_caller()
        record = self._flows.opened_by(key, segment)
        reason = self._refusal_reason(envelope, record)
        if reason is not None:
            self.pass_on(envelope, key, reason)
            return
        terms = envelope.terms
        if record is None and terms is not None and terms.queued:
            if self._is_refused_by_breaker(envelope, terms):
                self.pass_on(envelope, key, "failing-target")
                return
            if self._admission.offer(envelope, terms, segment, key):
                return
        if not self._cold_start.permits(key, segment, record, envelope.terms):
            self._cold_start.record_limited()
            self.pass_on(envelope, key, "cold-limit")
            return
        load = self._load_percent()
        if record is None and envelope.purpose is Purpose.OPEN and load >= 100:
            if load < envelope.least_load:
                envelope.least_loaded, envelope.least_load = envelope.position, load
            self.pass_on(envelope, key, "no-free-slot")
            return
        self.deliver_opening(envelope, segment, key)

    def handle_returned(self, envelope: Envelope, key: bytes) -> None:
        """Handle an opening that the target returned."""
        if self._flows.running < self._target.slots:
            self._health.record_failure(self._monotonic())
        self._cold_start.record_returned(key)
        self._requests.remove(key)
        self.pass_on(envelope, key, "returned-by-target")

    def record_lost_flow(self, record: FlowRecord | None) -> None:
        """Record that the target does not know a flow, which it may have accepted."""
        if record is not None:
            self._health.record_failure(self._monotonic())

    def pop_delivered(self, key: bytes) -> DeliveredOpening | None:
        """Remove and return the opening of a flow that the target has accepted."""
        return self._delivered.pop(key, None)

    def serve_queue(self) -> float | None:
        """Deliver waiting openings that the target takes.

        :return: seconds until the next call, None if nothing waits.
        """
        return self._admission.serve()

    def record_target_ended(self) -> None:
        """Forget the flows of a target that has ended, and what was observed of it."""
        self._flows.clear()
        self.record_target_replaced()

    def record_target_replaced(self) -> None:
        """Forget what was observed of a target that another one seems to replace.

        The flows are kept: some may be the successor's, or the target may run on.
        """
        self._flows.doubt_all()
        self._times.clear()
        self._breaker.reset()
        self._health.clear()
        self._cold_start.record_target_ended()

    def accepts_flows(self) -> bool:
        """Whether openings may wait for the target."""
        return self._output.accepts_flows() and not self._breaker.is_open

    def deliver_opening(self, envelope: Envelope, segment: Segment, key: bytes) -> None:
        """Deliver an opening to the target."""
        if len(self._delivered) >= MAX_PENDING:
            del self._delivered[next(iter(self._delivered))]
        self._delivered[key] = DeliveredOpening(envelope.origin, segment.sequence)
        self._output.deliver(envelope, segment, key)

    def forward(self, envelope: Envelope, position: int) -> None:
        """Forward an opening to another candidate."""
        self._output.forward(envelope, position)

    def reset_opening(self, segment: Segment) -> None:
        """Tell the caller that its attempt has failed."""
        self._telemetry.count("openings_reset")
        self._output.reset_opening(segment)

    def report_queued(self, key: bytes, origin: bytes) -> None:
        """Tell an entry instance that an opening waits here."""
        self._output.send_to_peer(origin, OpeningQueued(key))

    def pass_on(self, envelope: Envelope, key: bytes, reason: str) -> None:
        """Forward an opening to the next candidate, or refuse it after the last."""
        next_position = None
        if envelope.purpose is Purpose.OPEN:
            if envelope.position + 1 < len(envelope.candidates):
                next_position = envelope.position + 1
            elif envelope.least_loaded != NO_CANDIDATE:
                envelope.purpose = Purpose.OPEN_AT_LEAST_LOADED
                next_position = envelope.least_loaded
        elif envelope.terms is not None and envelope.terms.queued:
            # It was accepted here a moment ago, or this sidecar reported to do so.
            self._admission.hand_over(envelope, key, reason)
            return
        last_heartbeat = self._target.last_heartbeat
        self._telemetry.flow_event(
            "flow-refused" if next_position is None else "flow-passed-on",
            key,
            reason=reason,
            position=envelope.position,
            candidates=len(envelope.candidates),
            running=self._flows.running,
            slots=self._target.slots,
            phase=last_heartbeat.phase.value if last_heartbeat else None,
            **self._evacuations.log_fields(self._monotonic()),
            **self._cold_start.log_fields(),
            heartbeat_age_s=round(
                self._target.seconds_since_heartbeat(self._boot_time()), 3
            ),
        )
        if next_position is None:
            self._telemetry.count("openings_refused")
        else:
            self._output.forward(envelope, next_position)

    def _is_refused_by_breaker(self, envelope: Envelope, terms: OpeningTerms) -> bool:
        """Whether the target fails its requests, and another one may take an opening.

        The last of the candidates delivers it if none of the others would.
        """
        is_last_resort = (
            envelope.position + 1 == len(envelope.candidates)
            and envelope.least_loaded == NO_CANDIDATE
        )
        return not is_last_resort and not self._breaker.permits(
            self._monotonic(), repeatable=terms.repeatable
        )

    def _refusal_reason(
        self, envelope: Envelope, record: FlowRecord | None
    ) -> str | None:
        """Return why the target gets no new flow, None if it may get one."""
        if envelope.service != self._target.service:
            return "other-service"
        if self._evacuations.covers(self._zone):
            # Another target would accept the flow of a copy a second time.
            now = self._monotonic()
            is_copy = record is not None and record.is_recent(now, ATTEMPT_RETENTION_S)
            return None if is_copy else "evacuated"
        return None if self._output.accepts_flows() else "not-accepting"

    def _slots(self) -> int:
        return self._target.slots

    def _load_percent(self) -> int:
        slots = self._target.slots
        if self._target.is_cold(self._boot_time()):
            # A cold target handles about half of its usual load.
            slots = max(1, slots // 2)
        return min(MAX_LOAD_PERCENT - 1, 100 * self._flows.running // slots)
