"""What an entry instance knows of where flows are."""

from msgspec import Struct

from cranberryhold.flows.segments import Segment, sequence_distance

MAX_FLOWS = 65_536
# More bytes than a target sends on one flow.
MAX_SENT = 1 << 28


class FlowLocation(Struct):
    """Where a flow is.

    :param holders: packed IPv4 number of each sidecar that reported the flow, and
        the first sequence number of its target, None where the sidecar missed it.
    :param tried: sidecars to which a SYN of the flow was sent.
    :param service: tag of the service that the flow was opened for.
    :param last_used: seconds of the monotonic clock.
    """

    service: bytes
    last_used: float
    holders: dict[bytes, int | None] = {}
    tried: list[bytes] = []

    def holder_for(self, segment: Segment) -> bytes | None:
        """Return the sidecar whose target the caller's packet acknowledges.

        With several, it is the one whose first sequence number is closest before
        the acknowledged number.
        """
        if not segment.ack:
            return next(reversed(self.holders), None)
        holder = min(
            self.holders,
            key=lambda ip: self._distance(segment.acknowledgment, ip),
            default=None,
        )
        if holder is None or self._distance(segment.acknowledgment, holder) > MAX_SENT:
            return None
        return holder

    def _distance(self, acknowledgment: int, holder: bytes) -> int:
        first = self.holders[holder]
        if first is None:
            return MAX_SENT
        return sequence_distance(acknowledgment, first)


class FlowCache:
    """Locations of the flows whose packets come through here, bounded.

    A location that is missing costs a search, and one that is wrong costs a
    retransmission; neither breaks a flow.
    """

    def __init__(self) -> None:
        self._flows: dict[bytes, FlowLocation] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> FlowLocation | None:
        """Return the location of a flow, or None."""
        return self._flows.get(key)

    def locate(self, key: bytes, service: bytes, now: float) -> FlowLocation:
        """Return the location of a flow, a new one if there is none."""
        location = self._flows.get(key)
        if location is None:
            if len(self._flows) >= MAX_FLOWS:
                del self._flows[next(iter(self._flows))]
            location = self._flows[key] = FlowLocation(service, now)
        return location

    def forget(self, key: bytes, holder: bytes) -> None:
        """Take note that a sidecar does not hold a flow after all."""
        location = self._flows.get(key)
        if location is not None:
            location.holders.pop(holder, None)

    def sweep(self, now: float, max_idle_s: float) -> int:
        """Forget flows without a packet for ``max_idle_s``; return how many."""
        gone = [k for k, f in self._flows.items() if now - f.last_used > max_idle_s]
        for key in gone:
            del self._flows[key]
        return len(gone)
