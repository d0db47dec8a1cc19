"""Flows of the target beside a sidecar, learned from the packets that pass."""

from collections.abc import Iterator

from msgspec import Struct

from cranberryhold.flows.segments import Segment, sequence_distance

MAX_FLOWS = 16_384
# A caller's acknowledgement may cover one number past the target's last byte (FIN).
_FIN_NUMBERS = 1
# Longest that a request counts as running at a target that sends nothing.
MAX_RUNNING_S = 5.0
# A caller may send on a flow that its target has closed until it closes it, too.
CLOSED_KEPT_S = 15.0


class FlowRecord(Struct):
    """One flow at the target.

    :param first_sequence: sequence number of the target's SYN+ACK, or None if the
        sidecar started after the flow.
    :param sent_end: number after the last byte that the target has sent.
    :param opened: whether the caller has acknowledged the target's SYN+ACK.
    :param running: whether a request is taken to occupy a slot.
    :param running_since: seconds of the monotonic clock.
    :param last_used: seconds of the monotonic clock.
    :param closed_at: when an end was seen from the target, or None.
    :param reported_to: entry instance that was last told of the flow.
    """

    first_sequence: int | None
    sent_end: int
    last_used: float
    opened: bool = False
    running: bool = False
    running_since: float = 0.0
    closed_at: float | None = None
    reported_to: bytes = b""

    def acknowledged_by(self, segment: Segment) -> bool:
        """Whether a caller's packet acknowledges bytes of this target.

        A caller whose SYN reached two targets goes on with one of them; only that
        one's numbers fit.
        """
        if self.first_sequence is None or not segment.ack:
            return True
        window = sequence_distance(self.sent_end, self.first_sequence)
        distance = sequence_distance(segment.acknowledgment, self.first_sequence)
        return distance <= window + _FIN_NUMBERS


class FlowTable:
    """The flows at one incarnation of a target, bounded in number and age.

    :param max_age_s: seconds without a packet after which a flow is forgotten.
    """

    def __init__(self, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        self._flows: dict[bytes, FlowRecord] = {}
        self._running = 0
        self._closed = 0

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def unclosed(self) -> int:
        """Flows that the target has not closed."""
        return len(self._flows) - self._closed

    @property
    def running(self) -> int:
        """Requests that are taken to occupy a slot of the target."""
        return self._running

    def get(self, key: bytes) -> FlowRecord | None:
        """Return the record of a flow, or None."""
        return self._flows.get(key)

    def open_flows(self) -> Iterator[tuple[bytes, FlowRecord]]:
        """Yield the flows that callers have opened and nobody has closed."""
        for key, record in self._flows.items():
            if record.opened and record.closed_at is None:
                yield key, record

    def note_delivered(self, key: bytes, segment: Segment, now: float) -> None:
        """Take note of a caller's packet that is handed to the target."""
        record = self._flows.get(key)
        if record is None:
            return
        record.last_used = now
        if segment.rst:
            self.remove(key)
            return
        if not segment.syn:
            record.opened = True
        if segment.length:
            self._start(record, now)

    def note_sent(self, key: bytes, segment: Segment, now: float) -> FlowRecord:
        """Take note of a packet that the target sends, and return the flow."""
        end = (segment.sequence + segment.length) % (1 << 32)
        record = self._flows.get(key)
        if segment.syn and (record is None or not record.opened):
            if record is not None:
                self.remove(key)
            record = self._insert(key, FlowRecord(segment.sequence, end, now))
            # The first request follows the handshake at once.
            self._start(record, now)
        elif record is None:
            record = self._insert(key, FlowRecord(None, end, now, opened=True))
        record.last_used = now
        if sequence_distance(end, record.sent_end) < 1 << 31:
            record.sent_end = end
        if segment.length or segment.fin or segment.rst:
            self._stop(record)
        if (segment.fin or segment.rst) and record.closed_at is None:
            record.closed_at = now
            self._closed += 1
        return record

    def remove(self, key: bytes) -> None:
        """Forget a flow."""
        record = self._flows.pop(key, None)
        if record is not None:
            self._stop(record)
            if record.closed_at is not None:
                self._closed -= 1

    def clear(self) -> None:
        """Forget all flows."""
        self._flows.clear()
        self._running = 0
        self._closed = 0

    def sweep(self, now: float) -> int:
        """Forget flows that are closed or idle, and return how many."""
        gone = []
        for key, record in self._flows.items():
            if record.running and now - record.running_since > MAX_RUNNING_S:
                self._stop(record)
            closed = record.closed_at
            if (closed is not None and now - closed > CLOSED_KEPT_S) or (
                now - record.last_used > self._max_age_s
            ):
                gone.append(key)
        for key in gone:
            self.remove(key)
        return len(gone)

    def _insert(self, key: bytes, record: FlowRecord) -> FlowRecord:
        if len(self._flows) >= MAX_FLOWS:
            self.remove(next(iter(self._flows)))
        self._flows[key] = record
        return record

    def _start(self, record: FlowRecord, now: float) -> None:
        if not record.running:
            record.running = True
            record.running_since = now
            self._running += 1

    def _stop(self, record: FlowRecord) -> None:
        if record.running:
            record.running = False
            self._running -= 1
