"""What a target reports of itself."""

from enum import Enum

from msgspec import Struct

# Heartbeats of an incarnation are numbered from 1.
FIRST_HEARTBEAT_SEQUENCE = 1


class TargetPhase(Enum):
    """Phase of its life cycle that a target reports."""

    READY = "ready"
    DRAINING = "draining"


class Heartbeat(Struct, frozen=True):
    """State that a target reports of itself.

    :param target_id: id of the target; a restarted target may keep it.
    :param started_ms: Unix time of the target's start in milliseconds, 0 if unknown.
    :param sequence: increases with each heartbeat of one incarnation.
    :param service: name of the service.
    :param phase: ready or draining.
    :param slots: number of requests that it processes concurrently.
    :param cold_for_s: remaining seconds of its slow start.
    """

    target_id: str
    started_ms: int
    sequence: int
    service: str
    phase: TargetPhase
    slots: int
    cold_for_s: float

    @property
    def incarnation(self) -> tuple[int, str]:
        """Start and id of the target, which tell it from the one before."""
        return self.started_ms, self.target_id

    def precedes(self, other: "Heartbeat") -> bool:
        """Whether it was sent no later than another one, unless the clock was set."""
        if self.incarnation == other.incarnation:
            return self.sequence <= other.sequence
        return self.started_ms < other.started_ms
