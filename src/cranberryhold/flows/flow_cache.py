"""Cache of flow locations in an entry instance."""

from msgspec import Struct

from cranberryhold.flows.segments import Segment, sequence_distance

MAX_FLOWS = 65_536
# Upper bound of the bytes that a target sends on one flow.
MAX_FLOW_BYTES = 1 << 28
# Callers retransmit for about this long after the reset of their flow was lost.
ABSENCE_RETENTION_S = 5.0


class FlowLocation(Struct):
    """The sidecars that may hold a flow.

    :param service: tag of the service that the flow was opened for.
    :param last_used: monotonic time of the last packet, in seconds.
    :param holders: packed IPv4 address of each sidecar that reported the flow, with
        its target's initial sequence number, or None if the sidecar does not know it.
    :param tried: sidecars to which a SYN of the flow was sent.
    :param waiting_at: sidecar that reported that the opening waits there, if any.
    :param opening_sequence: sequence number of the SYN that opened the flow, which its
        copies share, or None if this instance has not seen it.
    :param absent_until: monotonic time in seconds until which the flow is known to be
        held by no target.
    """

    service: bytes
    last_used: float
    holders: dict[bytes, int | None] = {}
    tried: list[bytes] = []
    waiting_at: bytes | None = None
    opening_sequence: int | None = None
    absent_until: float = 0.0

    def record_opening(self, segment: Segment) -> None:
        """Forget a former flow of the same ports if a SYN opens another one."""
        if segment.sequence != self.opening_sequence:
            self.holders.clear()
            self.tried.clear()
            self.waiting_at = None
            self.opening_sequence = segment.sequence

    def holder_for(self, segment: Segment) -> bytes | None:
        """Return the sidecar whose target a caller's packet acknowledges.

        If several sidecars reported the flow, this is the one whose target's initial
        sequence number most closely precedes the acknowledgment number.
        """
        if not segment.ack:
            return next(reversed(self.holders), None)
        holder = min(
            self.holders,
            key=lambda ip: self._distance(segment.acknowledgment, ip),
            default=None,
        )
        if (
            holder is None
            or self._distance(segment.acknowledgment, holder) > MAX_FLOW_BYTES
        ):
            return None
        return holder

    def _distance(self, acknowledgment: int, holder: bytes) -> int:
        initial_sequence = self.holders[holder]
        if initial_sequence is None:
            return MAX_FLOW_BYTES
        return sequence_distance(acknowledgment, initial_sequence)


class FlowCache:
    """Bounded cache of the locations of flows that pass through this entry instance.

    A missing location costs a search and a wrong one costs a retransmission; neither
    breaks a flow. At its limit, the flow that was unused for longest is removed.
    """

    def __init__(self) -> None:
        # In the order of their last use.
        self._flows: dict[bytes, FlowLocation] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> FlowLocation | None:
        """Return the location of a flow, or None."""
        location = self._flows.pop(key, None)
        if location is not None:
            self._flows[key] = location
        return location

    def get_or_create(self, key: bytes, service: bytes, now: float) -> FlowLocation:
        """Return the location of a flow, creating it if it is missing."""
        location = self.get(key)
        if location is None:
            if len(self._flows) >= MAX_FLOWS:
                del self._flows[next(iter(self._flows))]
            location = self._flows[key] = FlowLocation(service, now)
        return location

    def record_absent(self, key: bytes, service: bytes, now: float) -> None:
        """Record that no target holds a flow."""
        location = self.get_or_create(key, service, now)
        location.holders.clear()
        location.absent_until = now + ABSENCE_RETENTION_S

    def remove_holder(self, key: bytes, holder: bytes) -> None:
        """Remove a sidecar that turned out not to hold a flow."""
        location = self._flows.get(key)
        if location is not None:
            location.holders.pop(holder, None)

    def sweep(self, now: float, max_idle_s: float) -> int:
        """Remove flows idle for more than ``max_idle_s``, and return how many."""
        expired = [k for k, f in self._flows.items() if now - f.last_used > max_idle_s]
        for key in expired:
            del self._flows[key]
        return len(expired)
