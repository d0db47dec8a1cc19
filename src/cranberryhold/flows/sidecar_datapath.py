"""Decisions of a sidecar on the packets of flows."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from cranberryhold.flows.envelope import (
    MAX_LOAD,
    NO_CANDIDATE,
    Envelope,
    Purpose,
    decode_envelope,
)
from cranberryhold.flows.flow_table import FlowTable
from cranberryhold.flows.peer_messages import FlowHeld, FlowNotHeld, PeerMessage
from cranberryhold.flows.pending_deliveries import MAX_PENDING, PendingDeliveries
from cranberryhold.flows.segments import Segment, SegmentCodec
from cranberryhold.flows.target_state import (
    NO_TARGET,
    BeatOutcome,
    Heartbeat,
    TargetState,
)
from cranberryhold.flows.telemetry import Telemetry

# Resets are owed only to the flows of the last incarnation, so one table is kept.
MAX_ENDED_FLOWS = 4096
# Longer than callers wait between retransmissions; a caller may use the port again.
ENDED_KEPT_S = 5.0
# A target's heartbeats are numbered from 1; the first ones prove that no flow was
# opened before the sidecar started.
FIRST_HEARTBEATS = 1


class SidecarOutput(Protocol):
    """Where a sidecar's packets go."""

    def to_target(self, packet: bytes) -> None:
        """Hand a packet to the target beside the sidecar."""

    def to_caller(self, ip: bytes, packet: bytes) -> None:
        """Send a packet to a caller."""

    def to_sidecar(self, ip: bytes, datagram: bytes) -> None:
        """Pass an envelope on to another sidecar."""

    def to_peer(self, ip: bytes, message: PeerMessage) -> None:
        """Send a message to a member."""


class SidecarDatapath:
    """Forwards between one target, its callers and the other sidecars.

    :param target: what is known of the target.
    :param codec: format of the packets.
    :param output: where packets go.
    :param telemetry: log and counters.
    :param max_flow_s: seconds after which a flow may be forgotten.
    :param monotonic: clock for flows, in seconds.
    :param boot_time: clock that also counts suspended time, in seconds.
    :param random: source of the first token.
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
        random: Random,
    ) -> None:
        self._target = target
        self._codec = codec
        self._output = output
        self._telemetry = telemetry
        self._monotonic = monotonic
        self._boot_time = boot_time
        self._flows = FlowTable(max_flow_s)
        self._offers = PendingDeliveries(random.getrandbits(32))
        self._ended_flows: dict[bytes, str] = {}
        self._ended_until = 0.0
        # Entry instance of each flow that was offered and not yet accepted.
        self._origins: dict[bytes, bytes] = {}
        # Until then, the target may hold flows that this process has not seen.
        self._unsure_until = monotonic() + max_flow_s
        self._leaving = False

    @property
    def flows(self) -> FlowTable:
        """Flows of the target."""
        return self._flows

    def stop_accepting(self) -> None:
        """Refuse new flows from now on."""
        self._leaving = True

    def accepts_flows(self) -> bool:
        """Whether new flows may be offered to the target."""
        return not self._leaving and self._target.accepts_flows(self._boot_time())

    def count_held_flows(self) -> int:
        """Return how many open flows the target may still hold, at least."""
        if self._target.service == NO_TARGET:
            return 0
        if self._monotonic() < self._unsure_until:
            return max(1, len(self._flows))
        return sum(1 for _ in self._flows.open_flows())

    def record_heartbeat(self, beat: Heartbeat) -> BeatOutcome:
        """Take a heartbeat of the target."""
        first = self._target.last is None
        outcome = self._target.note(beat, self._boot_time())
        if outcome is BeatOutcome.NEW_INCARNATION:
            if not first:
                self._end_flows("target-replaced")
            if not first or beat.sequence <= FIRST_HEARTBEATS:
                self._unsure_until = self._monotonic()
        if outcome is not BeatOutcome.REFRESHED:
            self._telemetry.event(
                "target-heartbeat",
                outcome=outcome.value,
                target=beat.target_id,
                service=beat.service,
                phase=beat.phase.value,
                started_ms=beat.started_ms,
                sequence=beat.sequence,
                slots=beat.slots,
                cold_for_s=round(beat.cold_for_s, 3),
            )
        return outcome

    def mark_target_ended(self, target_id: str) -> bool:
        """Take the target's word that it is gone."""
        ended = self._target.note_end(target_id)
        if ended:
            self._end_flows("target-ended")
        self._telemetry.event("target-ended", target=target_id, current=ended)
        return ended

    def target_is_overdue(self) -> bool:
        """Whether the target has not been heard within the usual time."""
        return self._target.is_overdue(self._boot_time())

    def mark_target_absent(self) -> bool:
        """Take note that no target runs; return whether that is new."""
        if not self._target.note_absent():
            return False
        self._end_flows("target-absent")
        self._unsure_until = self._monotonic()
        self._telemetry.event(
            "target-absent",
            heartbeat_age_s=round(self._target.age_s(self._boot_time()), 3),
            flows=len(self._ended_flows),
        )
        return True

    def presume_target(self, service: str) -> bool:
        """Take note that a target listens; return whether that changes anything.

        :param service: the service that the settings name.
        """
        if not self._target.presume(service, self._boot_time()):
            return False
        self._telemetry.event("target-presumed", service=service)
        return True

    def take_from_member(self, datagram: bytes) -> None:
        """Handle a datagram of an entry instance or another sidecar."""
        envelope = decode_envelope(datagram)
        segment = envelope and self._codec.decode(envelope.packet)
        if envelope is None or segment is None or segment.returned:
            self._telemetry.count("packets_malformed")
            return
        if segment.syn:
            self._take_opening(envelope, segment)
        else:
            self._take_segment(envelope, segment)

    def take_from_target(self, packet: bytes) -> None:
        """Handle a packet that the target sent or returned."""
        segment = self._codec.decode(packet)
        if segment is None:
            self._telemetry.count("packets_malformed")
            return
        if segment.returned:
            self._take_returned(segment)
            return
        key = segment.flow_key_from_target()
        known = self._flows.get(key) is not None
        record = self._flows.note_sent(key, segment, self._monotonic())
        if segment.syn and not known:
            self._telemetry.count("flows_accepted")
            self._telemetry.flow_event(
                "flow-accepted",
                key,
                running=self._flows.running,
                slots=self._target.slots,
                flows=len(self._flows),
                heartbeat_age_s=round(self._target.age_s(self._boot_time()), 3),
            )
        elif segment.rst:
            self._telemetry.count("flows_reset_by_target")
            self._telemetry.flow_event("flow-reset-by-target", key)
        if segment.syn:
            self._report(key, self._origins.pop(key, record.reported_to))
        self._telemetry.count("packets_to_callers")
        self._output.to_caller(segment.destination, packet)

    def sweep(self) -> None:
        """Forget closed and idle flows."""
        gone = self._flows.sweep(self._monotonic())
        if gone:
            self._telemetry.count("flows_forgotten", gone)
        if self._monotonic() > self._ended_until:
            self._ended_flows.clear()

    def _take_opening(self, envelope: Envelope, segment: Segment) -> None:
        key = segment.flow_key_from_caller()
        wanted = envelope.service == self._target.service
        if not wanted or not self.accepts_flows():
            reason = "not-accepting" if wanted else "other-service"
            self._pass_opening_on(envelope, key, reason)
            return
        record = self._flows.get(key)
        load = self._load_percent()
        if record is None and envelope.purpose is Purpose.OPEN and load >= 100:
            if load < envelope.best_load:
                envelope.best, envelope.best_load = envelope.position, load
            self._pass_opening_on(envelope, key, "no-free-slot")
            return
        self._note_origin(key, envelope.origin)
        self._deliver(envelope, segment, key)

    def _note_origin(self, key: bytes, origin: bytes) -> None:
        if len(self._origins) >= MAX_PENDING:
            del self._origins[next(iter(self._origins))]
        self._origins[key] = origin

    def _load_percent(self) -> int:
        slots = self._target.slots
        if self._target.is_cold(self._boot_time()):
            # A cold target takes about as much work as one with half of the slots.
            slots = max(1, slots // 2)
        return min(MAX_LOAD - 1, 100 * self._flows.running // slots)

    def _pass_opening_on(self, envelope: Envelope, key: bytes, reason: str) -> None:
        onward = None
        if envelope.purpose is Purpose.OPEN:
            if envelope.position + 1 < len(envelope.candidates):
                onward = envelope.position + 1
            elif envelope.best != NO_CANDIDATE:
                envelope.purpose = Purpose.OPEN_AT_BEST
                onward = envelope.best
        last = self._target.last
        self._telemetry.flow_event(
            "flow-refused" if onward is None else "flow-passed-on",
            key,
            reason=reason,
            position=envelope.position,
            candidates=len(envelope.candidates),
            running=self._flows.running,
            slots=self._target.slots,
            phase=last.phase.value if last else None,
            heartbeat_age_s=round(self._target.age_s(self._boot_time()), 3),
        )
        if onward is None:
            self._telemetry.count("openings_refused")
        else:
            self._pass_on(envelope, onward)

    def _take_segment(self, envelope: Envelope, segment: Segment) -> None:
        key = segment.flow_key_from_caller()
        record = self._flows.get(key)
        if record is not None and record.acknowledged_by(segment):
            if envelope.purpose is not Purpose.DIRECT:
                self._report(key, envelope.origin)
            self._deliver(envelope, segment, key)
            return
        if record is None and key in self._ended_flows:
            self._reset(key, segment, self._ended_flows.pop(key))
            return
        unsure = record is None and self._monotonic() < self._unsure_until
        if envelope.purpose is Purpose.SEEK_AT_UNSURE or (
            unsure and envelope.purpose is Purpose.DIRECT
        ):
            self._deliver(envelope, segment, key)
        elif envelope.purpose is Purpose.DIRECT:
            self._output.to_peer(envelope.origin, FlowNotHeld(key))
            self._discard(key, "not-held")
        else:
            if unsure:
                envelope.unsure |= 1 << envelope.position
            self._seek_on(envelope, segment, key)

    def _seek_on(self, envelope: Envelope, segment: Segment, key: bytes) -> None:
        """Pass a packet on to the next sidecar that may hold its flow.

        If all have denied it, the flow ended with its target, and a reset lets the
        caller go on at once.
        """
        if envelope.purpose is Purpose.SEEK:
            if envelope.position + 1 < len(envelope.candidates):
                self._pass_on(envelope, envelope.position + 1)
                return
            start = 0
        else:
            start = envelope.position + 1
        envelope.purpose = Purpose.SEEK_AT_UNSURE
        for position in range(start, len(envelope.candidates)):
            if envelope.unsure >> position & 1:
                self._pass_on(envelope, position)
                return
        if envelope.complete and segment.length:
            self._reset(key, segment, "held-by-no-target")
        else:
            self._discard(key, "holder-unknown")

    def _pass_on(self, envelope: Envelope, position: int) -> None:
        envelope.position = position
        self._telemetry.count("packets_passed_on")
        self._output.to_sidecar(envelope.receiver, envelope.encode())

    def _deliver(self, envelope: Envelope, segment: Segment, key: bytes) -> None:
        self._flows.note_delivered(key, segment, self._monotonic())
        token = self._offers.add(envelope)
        self._telemetry.count("packets_to_target")
        self._output.to_target(self._codec.with_token(envelope.packet, token))

    def _take_returned(self, segment: Segment) -> None:
        key = segment.flow_key_from_caller()
        envelope = self._offers.take(segment.token)
        self._telemetry.count("packets_returned")
        if envelope is None:
            self._discard(key, "returned-unknown")
            return
        if segment.syn:
            self._pass_opening_on(envelope, key, "returned-by-target")
            return
        self._flows.remove(key)
        if envelope.purpose is Purpose.SEEK_AT_UNSURE:
            self._seek_on(envelope, segment, key)
            return
        self._output.to_peer(envelope.origin, FlowNotHeld(key))
        self._discard(key, "returned")

    def _report(self, key: bytes, origin: bytes) -> None:
        record = self._flows.get(key)
        if record is not None and origin:
            record.reported_to = origin
            self._output.to_peer(origin, FlowHeld(key, record.first_sequence))

    def _reset(self, key: bytes, segment: Segment, reason: str) -> None:
        """Tell a caller that its flow ended with the target that held it."""
        self._telemetry.count("flows_reset")
        self._telemetry.flow_event("flow-reset", key, reason=reason)
        if not segment.rst:
            self._output.to_caller(segment.source, self._codec.build_reset(segment))

    def _end_flows(self, reason: str) -> None:
        ended = {key: reason for key, _ in self._flows.open_flows()}
        self._ended_flows = dict(list(ended.items())[:MAX_ENDED_FLOWS])
        self._ended_until = self._monotonic() + ENDED_KEPT_S
        self._flows.clear()

    def _discard(self, key: bytes, reason: str) -> None:
        self._telemetry.count("packets_discarded")
        self._telemetry.flow_event("packet-discarded", key, reason=reason)
