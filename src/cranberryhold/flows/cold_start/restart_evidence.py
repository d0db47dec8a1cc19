"""Evidence that a target was replaced and its successor has not been heard yet."""

# A live target answers an opening before its caller sends the first copy of it, which
# is after 200 ms.
SILENCE_S = 0.2


class RestartEvidence:
    """Collects signs that the target has restarted since its last heartbeat.

    A restarted target is cold, but until its first heartbeat arrives, its sidecar would
    take it for its warm predecessor. Times are monotonic, in seconds. ``reason`` tells
    what speaks for a restart, and is None if nothing does.
    """

    def __init__(self) -> None:
        self.reason: str | None = None
        # Delivery of the first opening since the target's last packet.
        self._unanswered_since: float | None = None

    def record_delivered(self, now: float) -> None:
        """Record that an opening is delivered."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def record_packet(self) -> None:
        """Record a packet that the target sent or returned."""
        self._unanswered_since = None

    def record_lost_flow(self) -> None:
        """Record that the target does not hold a flow that it had accepted."""
        self.reason = "lost-flow"

    def record_other_cold_target(self) -> None:
        """Record an unaccepted heartbeat of another incarnation, which is cold."""
        self.reason = "other-incarnation"

    def record_heartbeat(self) -> None:
        """Record an accepted heartbeat, after which the target's state is known."""
        self.reason = None
        self._unanswered_since = None

    def check_silence(self, now: float) -> bool:
        """Return whether the target has been silent for so long that it is a sign."""
        since = self._unanswered_since
        if self.reason is not None or since is None or now - since < SILENCE_S:
            return False
        self.reason = "silent"
        return True
