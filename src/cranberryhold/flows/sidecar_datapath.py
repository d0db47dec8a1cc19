"""Forwarding decisions of a sidecar for each packet."""

from collections.abc import Callable
from itertools import islice
from random import Random
from typing import Protocol

from cranberryhold.flows.cold_start.gate import ColdStartGate
from cranberryhold.flows.envelope import Envelope, Purpose, decode_envelope
from cranberryhold.flows.evacuation.state import EvacuationState
from cranberryhold.flows.flow_table import FlowRecord, FlowTable
from cranberryhold.flows.heartbeat import Heartbeat
from cranberryhold.flows.peer_messages import (
    FlowHeld,
    FlowNotFound,
    FlowNotHeld,
    PeerMessage,
)
from cranberryhold.flows.pending_deliveries import PendingDeliveries
from cranberryhold.flows.segments import Segment, SegmentCodec
from cranberryhold.flows.sidecar_openings import SidecarOpenings
from cranberryhold.flows.target_state import (
    NO_TARGET,
    BeatOutcome,
    EndOutcome,
    TargetState,
)
from cranberryhold.flows.telemetry import Telemetry

# Only flows of the last target that has ended are reset, so one table is enough.
MAX_ENDED_FLOWS = 4096
# Longer than the interval between retransmissions, so that each caller gets its reset;
# limited because callers may reuse their ports.
ENDED_RETENTION_S = 5.0


class SidecarOutput(Protocol):
    """Sends the packets and messages of a sidecar."""

    def send_to_target(self, packet: bytes) -> None:
        """Deliver a packet to the target."""

    def send_to_caller(self, ip: bytes, packet: bytes) -> None:
        """Send a packet to a caller."""

    def send_to_sidecar(self, ip: bytes, datagram: bytes) -> None:
        """Forward an envelope to another sidecar."""

    def send_to_peer(self, ip: bytes, message: PeerMessage) -> None:
        """Send a message to a member."""


class SidecarDatapath:
    """Forwards packets between a target, its callers and the other sidecars.

    :param target: state of the target.
    :param codec: format of the packets.
    :param output: sends packets and messages.
    :param telemetry: log and counters.
    :param max_flow_s: seconds after which an idle flow may be removed.
    :param monotonic: clock for flows, in seconds.
    :param boot_time: clock for heartbeats, in seconds, which also counts while the
        instance is suspended.
    :param unix_time: time of day in seconds.
    :param random: source of the first token.
    :param cold_start: limits the openings that a cold target gets.
    :param evacuations: the known evacuations.
    :param zone: data centre of the target.
    """

    def __init__(
        self,
        target: TargetState,
        codec: SegmentCodec,
        output: SidecarOutput,
        telemetry: Telemetry,
        *,
        max_flow_s: float,
        monotonic: Callable[[], float],
        boot_time: Callable[[], float],
        unix_time: Callable[[], float],
        random: Random,
        cold_start: ColdStartGate,
        evacuations: EvacuationState | None = None,
        zone: str = "",
    ) -> None:
        self._target = target
        self._evacuations = evacuations or EvacuationState(0.0)
        self._zone = zone
        self._codec = codec
        self._output = output
        self._telemetry = telemetry
        self._monotonic = monotonic
        self._boot_time = boot_time
        self._unix_time = unix_time
        self._cold_start = cold_start
        self._openings = SidecarOpenings(
            target,
            self,
            telemetry,
            self._cold_start,
            max_flow_s=max_flow_s,
            zone=zone,
            evacuations=self._evacuations,
            monotonic=monotonic,
            boot_time=boot_time,
        )
        self._flows = self._openings.flows
        self._pending = PendingDeliveries(random.getrandbits(32))
        self._ended_flows: dict[bytes, FlowRecord] = {}
        self._ended_reason = ""
        self._ended_flows_expire_at = 0.0
        # Until then, the target may hold flows that are missing from the table.
        self._started_at = monotonic()
        self._max_flow_s = max_flow_s
        self._incomplete_until = self._started_at + max_flow_s
        self._stopping = False

    @property
    def flows(self) -> FlowTable:
        """Flows of the target."""
        return self._flows

    @property
    def last_heartbeat(self) -> Heartbeat | None:
        """The target's newest heartbeat, or None before the first."""
        return self._target.last_heartbeat

    @property
    def openings(self) -> SidecarOpenings:
        """Openings that are offered to the target."""
        return self._openings

    def update_max_flow(self, max_flow_s: float) -> None:
        """Apply a changed setting.

        If it has become longer, flows that were removed as idle may still be open.
        """
        now = self._monotonic()
        added_s = max_flow_s - self._max_flow_s
        if added_s > 0 and now - self._started_at >= self._max_flow_s:
            self._incomplete_until = max(self._incomplete_until, now + added_s)
        self._max_flow_s = max_flow_s
        self._flows.update_max_age(max_flow_s)

    def stop_accepting(self) -> None:
        """Accept no new flows from now on."""
        self._stopping = True
        self._openings.serve_queue()

    def accepts_flows(self) -> bool:
        """Whether new flows may be offered to the target."""
        return (
            not self._stopping
            and not self._evacuations.covers(self._zone)
            and self._target.accepts_flows(self._boot_time())
        )

    def count_held_flows(self) -> int:
        """Return the open flows that the target may hold, 0 only if none runs.

        A running target may have accepted a flow whose packets have not passed through
        this sidecar yet.
        """
        if self._target.service == NO_TARGET:
            return 0
        return max(1, sum(1 for _ in self._flows.established_flows()))

    def record_heartbeat(self, heartbeat: Heartbeat) -> BeatOutcome:
        """Update the state of the target with a heartbeat."""
        is_first = self._target.last_heartbeat is None
        outcome = self._target.record_heartbeat(heartbeat, self._boot_time())
        self._cold_start.record_heartbeat(heartbeat, outcome)
        if outcome is BeatOutcome.NEW_INCARNATION and not is_first:
            self._openings.record_target_replaced()
        if self._monotonic() < self._incomplete_until and self._has_seen_all_flows(
            heartbeat, outcome, is_first=is_first
        ):
            self._incomplete_until = self._monotonic()
        if outcome is not BeatOutcome.REFRESHED:
            self._telemetry.event(
                "target-heartbeat",
                outcome=outcome.value,
                target=heartbeat.target_id,
                service=heartbeat.service,
                phase=heartbeat.phase.value,
                started_ms=heartbeat.started_ms,
                sequence=heartbeat.sequence,
                slots=heartbeat.slots,
                cold_for_s=round(heartbeat.cold_for_s, 3),
            )
        self._openings.serve_queue()
        return outcome

    def _has_seen_all_flows(
        self, heartbeat: Heartbeat, outcome: BeatOutcome, *, is_first: bool
    ) -> bool:
        """Whether the target has been offered no flow before this process started.

        A single heartbeat in place of a target that was heard before proves nothing: it
        may be of another writer.
        """
        if is_first:
            is_believed = outcome is BeatOutcome.NEW_INCARNATION
            return is_believed and self._target.was_unheard(
                heartbeat, self._unix_time()
            )
        uptime_s = self._monotonic() - self._started_at
        return outcome is BeatOutcome.REFRESHED and self._target.is_certainly_younger(
            heartbeat, uptime_s, self._unix_time()
        )

    def serves_sender(self, heartbeat: Heartbeat) -> bool:
        """Whether packets are delivered to the target that sent a heartbeat."""
        return self._target.describes(heartbeat)

    def mark_target_ended(self, target_id: str) -> EndOutcome:
        """Record that a target reported its end."""
        outcome = self._target.mark_ended(target_id)
        if outcome is EndOutcome.ENDED:
            self._end_flows("target-ended")
        elif outcome is EndOutcome.DOUBTFUL:
            self._openings.serve_queue()
        self._telemetry.event("target-ended", target=target_id, outcome=outcome.value)
        return outcome

    def end_is_doubtful(self) -> bool:
        """Whether the end that was reported may be that of a former incarnation."""
        return self._target.end_is_doubtful

    def target_is_overdue(self) -> bool:
        """Whether no heartbeat has arrived within the time-out."""
        return self._target.is_overdue(self._boot_time())

    def mark_target_absent(self) -> bool:
        """Record that no target runs; return whether the state changed."""
        if not self._target.mark_absent():
            return False
        self._end_flows("target-absent")
        self._incomplete_until = self._monotonic()
        self._telemetry.event(
            "target-absent",
            heartbeat_age_s=round(
                self._target.seconds_since_heartbeat(self._boot_time()), 3
            ),
            flows=len(self._ended_flows),
        )
        return True

    def presume_target(self, service: str) -> bool:
        """Record that a target listens; return whether the state changed.

        :param service: the service named in the settings.
        """
        if not self._target.presume_ready(service, self._boot_time()):
            return False
        self._telemetry.event("target-presumed", service=service)
        return True

    def handle_member_datagram(self, datagram: bytes) -> None:
        """Handle a datagram of an entry instance or another sidecar."""
        envelope = decode_envelope(datagram)
        segment = envelope and self._decode(envelope)
        if envelope is None or segment is None or segment.returned:
            self._telemetry.count("packets_malformed")
            return
        if segment.syn:
            self._openings.handle(envelope, segment)
        else:
            self._handle_segment(envelope, segment)
        if self._openings.waiting:
            self._openings.serve_queue()

    def _decode(self, envelope: Envelope) -> Segment | None:
        if envelope.purpose is Purpose.INQUIRY:
            return self._codec.decode_header(envelope.packet)
        return self._codec.decode(envelope.packet)

    def handle_target_packet(self, packet: bytes) -> None:
        """Handle a packet that the target sent or returned."""
        segment = self._codec.decode(packet)
        if segment is None:
            self._telemetry.count("packets_malformed")
            return
        self._cold_start.record_packet()
        if segment.returned:
            self._handle_returned(segment)
            return
        key = segment.flow_key_from_target()
        former = self._flows.get(key)
        record = self._flows.record_sent(key, segment, self._monotonic())
        is_repeated = (
            former is not None and former.initial_sequence == record.initial_sequence
        )
        if segment.syn and not is_repeated:
            self._telemetry.count("flows_accepted")
            self._telemetry.flow_event(
                "flow-accepted",
                key,
                running=self._flows.running,
                slots=self._target.slots,
                flows=len(self._flows),
                heartbeat_age_s=round(
                    self._target.seconds_since_heartbeat(self._boot_time()), 3
                ),
            )
        elif segment.rst:
            self._telemetry.count("flows_reset_by_target")
            self._telemetry.flow_event("flow-reset-by-target", key)
        if segment.syn:
            origin = record.reported_to
            opening = self._openings.pop_delivered(key)
            if opening is not None:
                origin, record.caller_sequence = opening.origin, opening.sequence
            self._report_held(key, origin)
        self._telemetry.count("packets_to_callers")
        self._output.send_to_caller(segment.destination, packet)
        if self._openings.waiting:
            self._openings.serve_queue()

    def sweep(self) -> None:
        """Remove closed and idle flows."""
        expired = self._flows.sweep(self._monotonic())
        if expired:
            self._telemetry.count("flows_forgotten", expired)
        if self._monotonic() > self._ended_flows_expire_at:
            self._ended_flows.clear()

    def _handle_segment(self, envelope: Envelope, segment: Segment) -> None:
        key = segment.flow_key_from_caller()
        record = self._flows.get(key)
        if record is not None and record.accepts_acknowledgment(segment):
            if envelope.purpose is not Purpose.DIRECT:
                self._report_held(key, envelope.origin)
            if envelope.purpose is not Purpose.INQUIRY:
                self.deliver(envelope, segment, key)
            return
        if record is None and self._has_ended(key, segment):
            self._send_reset(key, segment, self._ended_reason)
            return
        inconclusive = record is None and self._monotonic() < self._incomplete_until
        if envelope.purpose is Purpose.SEARCH_INCONCLUSIVE or (
            inconclusive and envelope.purpose is Purpose.DIRECT
        ):
            self.deliver(envelope, segment, key)
        elif envelope.purpose is Purpose.DIRECT:
            self._output.send_to_peer(envelope.origin, FlowNotHeld(key))
            self._discard(key, "not-held")
        else:
            if inconclusive:
                envelope.inconclusive |= 1 << envelope.position
            self._continue_search(envelope, segment, key)

    def _continue_search(
        self, envelope: Envelope, segment: Segment, key: bytes
    ) -> None:
        """Forward a packet to the next sidecar that may hold its flow.

        If no candidate holds the flow and none could be missing, the flow ended with
        its target; a reset lets the caller reconnect at once.
        """
        next_position = envelope.next_search_position()
        if next_position is not None:
            self.forward(envelope, next_position)
            return
        is_inquiry = envelope.purpose is Purpose.INQUIRY
        if not envelope.complete or (is_inquiry and envelope.inconclusive):
            self._discard(key, "holder-unknown")
            return
        self._output.send_to_peer(envelope.origin, FlowNotFound(key))
        if segment.length or segment.fin:
            self._send_reset(key, segment, "held-by-no-target")
        else:
            self._discard(key, "held-by-no-target")

    def forward(self, envelope: Envelope, position: int) -> None:
        """Forward an envelope to another candidate."""
        envelope.position = position
        self._telemetry.count("packets_passed_on")
        self._output.send_to_sidecar(envelope.receiver, envelope.encode())

    def deliver(self, envelope: Envelope, segment: Segment, key: bytes) -> None:
        """Deliver a packet to the target."""
        if segment.syn:
            opened = self._flows.opened_by(key, segment)
            self._cold_start.record_delivered(key, segment, opened)
        self._flows.record_delivered(key, segment, self._monotonic())
        token = self._pending.add(envelope)
        self._telemetry.count("packets_to_target")
        self._output.send_to_target(self._codec.with_token(envelope.packet, token))

    def _handle_returned(self, segment: Segment) -> None:
        key = segment.flow_key_from_caller()
        envelope = self._pending.pop(segment.token)
        self._telemetry.count("packets_returned")
        if envelope is None:
            self._discard(key, "returned-unknown")
            return
        if segment.syn:
            self._openings.handle_returned(envelope, key)
            return
        record = self._flows.get(key)
        if record is not None and not record.accepts_acknowledgment(segment):
            # Meanwhile, the target has accepted another flow of the same ports.
            self._discard(key, "returned-late")
            return
        accepted = self._flows.accepted(key)
        self._cold_start.record_lost_flow(accepted)
        self._openings.record_lost_flow(accepted)
        self._flows.remove(key)
        if envelope.purpose is Purpose.SEARCH_INCONCLUSIVE:
            self._continue_search(envelope, segment, key)
            return
        self._output.send_to_peer(envelope.origin, FlowNotHeld(key))
        if record is not None and record.is_open_flow_of(segment):
            self._send_reset(key, segment, "not-held-any-more")
        else:
            self._discard(key, "returned")

    def _report_held(self, key: bytes, origin: bytes) -> None:
        record = self._flows.get(key)
        if record is not None and origin:
            record.reported_to = origin
            self._output.send_to_peer(origin, FlowHeld(key, record.initial_sequence))

    def reset_opening(self, segment: Segment) -> None:
        """Answer a SYN with a reset."""
        self._output.send_to_caller(segment.source, self._codec.build_reset(segment))

    def send_to_peer(self, ip: bytes, message: PeerMessage) -> None:
        """Send a message to a member."""
        self._output.send_to_peer(ip, message)

    def _send_reset(self, key: bytes, segment: Segment, reason: str) -> None:
        """Reset the flow at the caller, as the target that held it has ended."""
        self._telemetry.count("flows_reset")
        self._telemetry.flow_event("flow-reset", key, reason=reason)
        if not segment.rst:
            self._output.send_to_caller(
                segment.source, self._codec.build_reset(segment)
            )

    def _has_ended(self, key: bytes, segment: Segment) -> bool:
        """Whether a packet is of a flow that has ended with its target."""
        record = self._ended_flows.get(key)
        return record is not None and record.is_open_flow_of(segment)

    def _end_flows(self, reason: str) -> None:
        ended = self._flows.established_flows()
        self._ended_flows = dict(islice(ended, MAX_ENDED_FLOWS))
        self._ended_reason = reason
        self._ended_flows_expire_at = self._monotonic() + ENDED_RETENTION_S
        self._openings.record_target_ended()
        self._openings.serve_queue()

    def _discard(self, key: bytes, reason: str) -> None:
        self._telemetry.count("packets_discarded")
        self._telemetry.flow_event("packet-discarded", key, reason=reason)
