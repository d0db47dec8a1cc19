"""Connection tracking of a sidecar: the flows of its target.

The table is learned from the packets that pass through the sidecar.
"""

from collections.abc import Iterator
from typing import Protocol

from msgspec import Struct

from cranberryhold.flows.segments import (
    SEQUENCE_MODULUS,
    Segment,
    sequence_distance,
)

MAX_FLOWS = 16_384
# A FIN takes one sequence number, so a caller may acknowledge one past the last byte.
_FIN_LENGTH = 1
# A request stops counting as running after this time if its target sends nothing.
MAX_RUNNING_S = 5.0
# After its target has closed a flow, the caller may still send until it closes it too.
CLOSED_RETENTION_S = 15.0


class RequestObserver(Protocol):
    """Learns how far the requests of the flows are. Times are monotonic."""

    def record_accepted(self, key: bytes, now: float) -> None:
        """Record that the target has accepted a flow; its request follows."""

    def record_received(self, key: bytes, now: float) -> None:
        """Record that new bytes of a request were delivered to the target."""

    def record_answered(self, key: bytes, length: int | None, now: float) -> None:
        """Record that the target sent bytes of an answer.

        :param length: bytes of data in the packet, None if it is the end of the flow
            that arrived first.
        """

    def record_failed(self, key: bytes, now: float) -> None:
        """Record that the target ended a flow, or sends nothing on it any more."""

    def record_abandoned(self, key: bytes, now: float) -> None:
        """Record that the caller has reset a flow."""

    def remove(self, key: bytes) -> None:
        """Record that a request has ended without an answer, if one was running."""

    def clear(self) -> None:
        """Record that all requests have ended."""


class FlowRecord(Struct):
    """One flow of the target. Times are monotonic, in seconds.

    :param initial_sequence: sequence number of the target's SYN+ACK, or None if the
        sidecar started after the flow.
    :param next_sequence: sequence number after the last byte that the target sent.
    :param last_used: time of the last packet.
    :param established: whether the caller has acknowledged the target's SYN+ACK.
    :param running: whether a request is assumed to occupy a slot.
    :param running_since: start of that request.
    :param closed_at: time of the target's first FIN or RST, or None.
    :param reported_to: entry instance to which the flow was last reported.
    :param received_end: sequence number after the last byte that the caller sent, or
        None before the first.
    :param caller_sequence: sequence number of the caller's SYN, or None if the sidecar
        started after the flow. A caller may use its port again for another flow.
    :param doubted: whether the target may have been replaced since its last packet on
        the flow.
    """

    initial_sequence: int | None
    next_sequence: int
    last_used: float
    established: bool = False
    running: bool = False
    running_since: float = 0.0
    closed_at: float | None = None
    reported_to: bytes = b""
    received_end: int | None = None
    caller_sequence: int | None = None
    doubted: bool = False

    def is_recent(self, now: float, age_s: float) -> bool:
        """Whether its target has not closed it, and it had a packet within a time."""
        return self.closed_at is None and now - self.last_used < age_s

    def receives(self, segment: Segment) -> bool:
        """Whether a caller's packet has bytes that it did not send before."""
        end = (segment.sequence + segment.length) % SEQUENCE_MODULUS
        former = self.received_end
        if former is not None and not (
            0 < sequence_distance(end, former) < SEQUENCE_MODULUS // 2
        ):
            return False
        self.received_end = end
        return True

    def is_opened_by(self, segment: Segment) -> bool:
        """Whether a SYN, or a copy of one, has opened this flow and no later one."""
        if self.caller_sequence is None:
            return self.closed_at is None
        return self.caller_sequence == segment.sequence

    def is_open_flow_of(self, segment: Segment) -> bool:
        """Whether a caller's packet certainly is of this flow, which is not closed."""
        return (
            self.closed_at is None
            and self.initial_sequence is not None
            and segment.ack
            and self.accepts_acknowledgment(segment)
        )

    def accepts_acknowledgment(self, segment: Segment) -> bool:
        """Whether a caller's packet acknowledges bytes that this target sent.

        If copies of a caller's SYN reached two targets, the caller continues with one
        of them, and its acknowledgment numbers match that target only.
        """
        if self.initial_sequence is None or not segment.ack:
            return True
        window = sequence_distance(self.next_sequence, self.initial_sequence)
        distance = sequence_distance(segment.acknowledgment, self.initial_sequence)
        return distance <= window + _FIN_LENGTH


class FlowTable:
    """The flows of one incarnation of a target, bounded in number and age.

    :param max_age_s: seconds without a packet after which a flow is removed.
    """

    def __init__(self, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        self._requests: RequestObserver | None = None
        self._flows: dict[bytes, FlowRecord] = {}
        self._running = 0
        self._closed = 0

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def max_age_s(self) -> float:
        """Seconds without a packet after which a flow is removed."""
        return self._max_age_s

    @property
    def unclosed(self) -> int:
        """Number of flows that the target has not closed."""
        return len(self._flows) - self._closed

    @property
    def running(self) -> int:
        """Number of requests that are assumed to occupy a slot of the target."""
        return self._running

    def update_max_age(self, max_age_s: float) -> None:
        """Apply a changed setting."""
        self._max_age_s = max_age_s

    def report_requests(self, requests: RequestObserver, now: float) -> None:
        """Report the requests of the flows from now on, and those that run."""
        if self._requests is not None:
            return
        self._requests = requests
        for key, record in self._flows.items():
            if record.running and record.established:
                requests.record_received(key, now)
            elif record.running:
                requests.record_accepted(key, now)

    def get(self, key: bytes) -> FlowRecord | None:
        """Return the record of a flow, or None."""
        return self._flows.get(key)

    def accepted(self, key: bytes) -> FlowRecord | None:
        """Return the record of a flow that the present target has accepted, or None."""
        record = self._flows.get(key)
        return None if record is None or record.doubted else record

    def opened_by(self, key: bytes, segment: Segment) -> FlowRecord | None:
        """Return the record of the flow that a SYN has opened, None for a new one."""
        record = self.accepted(key)
        return record if record is not None and record.is_opened_by(segment) else None

    def established_flows(self) -> Iterator[tuple[bytes, FlowRecord]]:
        """Yield the flows that are established and that the target has not closed."""
        for key, record in self._flows.items():
            if record.established and record.closed_at is None:
                yield key, record

    def record_delivered(self, key: bytes, segment: Segment, now: float) -> None:
        """Update a flow with a caller's packet that is delivered to the target."""
        record = self._flows.get(key)
        if record is None:
            return
        record.last_used = now
        if segment.rst:
            if self._requests is not None:
                self._requests.record_abandoned(key, now)
            self.remove(key)
            return
        if not segment.syn:
            record.established = True
        if segment.length:
            self._start_request(record, now)
            if self._requests is not None and record.receives(segment):
                self._requests.record_received(key, now)

    def record_sent(self, key: bytes, segment: Segment, now: float) -> FlowRecord:
        """Update or add a flow with a packet that the target sent, and return it."""
        end = (segment.sequence + segment.length) % (1 << 32)
        record = self._flows.get(key)
        is_repeated = record is not None and record.initial_sequence == segment.sequence
        if segment.syn and not (is_repeated and record.established):
            caller_sequence = record.caller_sequence if is_repeated else None
            if record is not None:
                self.remove(key)
            record = self._insert(key, FlowRecord(segment.sequence, end, now))
            record.caller_sequence = caller_sequence
            # Callers send the first request directly after the handshake.
            self._start_request(record, now)
            if self._requests is not None:
                self._requests.record_accepted(key, now)
        elif record is None:
            record = self._insert(key, FlowRecord(None, end, now, established=True))
        record.last_used = now
        record.doubted = False
        if sequence_distance(end, record.next_sequence) < 1 << 31:
            record.next_sequence = end
        if segment.length or segment.fin or segment.rst:
            self._report_answer(key, record, segment, now)
            self._end_request(key, record)
        if (segment.fin or segment.rst) and record.closed_at is None:
            record.closed_at = now
            self._closed += 1
        return record

    def remove(self, key: bytes) -> None:
        """Remove a flow."""
        record = self._flows.pop(key, None)
        if record is not None:
            self._end_request(key, record)
            if record.closed_at is not None:
                self._closed -= 1

    def doubt_all(self) -> None:
        """Keep all flows, but none of their requests, until the target sends on them.

        Another target may run in place of the one that accepted them.
        """
        for record in self._flows.values():
            record.running = False
            record.doubted = True
        self._running = 0
        if self._requests is not None:
            self._requests.clear()

    def clear(self) -> None:
        """Remove all flows."""
        self._flows.clear()
        if self._requests is not None:
            self._requests.clear()
        self._running = 0
        self._closed = 0

    def sweep(self, now: float) -> int:
        """Remove flows that are closed or idle, and return how many."""
        expired = []
        for key, record in self._flows.items():
            if record.running and now - record.running_since > MAX_RUNNING_S:
                if self._requests is not None:
                    self._requests.record_failed(key, now)
                self._end_request(key, record)
            closed = record.closed_at
            if (closed is not None and now - closed > CLOSED_RETENTION_S) or (
                now - record.last_used > self._max_age_s
            ):
                expired.append(key)
        for key in expired:
            self.remove(key)
        return len(expired)

    def _insert(self, key: bytes, record: FlowRecord) -> FlowRecord:
        if len(self._flows) >= MAX_FLOWS:
            self.remove(next(iter(self._flows)))
        self._flows[key] = record
        return record

    def _start_request(self, record: FlowRecord, now: float) -> None:
        if not record.running:
            record.running = True
            record.running_since = now
            self._running += 1

    def _end_request(self, key: bytes, record: FlowRecord) -> None:
        if record.running:
            record.running = False
            self._running -= 1
            if self._requests is not None:
                self._requests.remove(key)

    def _report_answer(
        self, key: bytes, record: FlowRecord, segment: Segment, now: float
    ) -> None:
        if self._requests is None:
            return
        if segment.rst:
            self._requests.record_failed(key, now)
        elif record.running:
            # A FIN often overtakes the answer that was sent before it.
            self._requests.record_answered(key, segment.length or None, now)
