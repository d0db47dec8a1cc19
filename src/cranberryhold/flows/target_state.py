"""What a sidecar believes of the target beside it, from the target's heartbeats."""

from enum import Enum
from math import inf

from msgspec import Struct

from cranberryhold.flows.envelope import service_tag

NO_SERVICE = b"\0\0\0\0"
"""Tag of a sidecar that does not know yet whether there is a target."""

NO_TARGET = b"\xff\xff\xff\xff"
"""Tag of a sidecar without a target."""

# Heartbeats are late by a fraction of their interval on a calm day.
_MISSED_INTERVALS = 1.9


class TargetPhase(Enum):
    """Where a target is in its life, by its own account."""

    READY = "ready"
    DRAINING = "draining"


class BeatOutcome(Enum):
    """What a heartbeat changed."""

    REFRESHED = "refreshed"
    DRAINS = "drains"
    NEW_INCARNATION = "new-incarnation"
    OUTDATED = "outdated"


class Heartbeat(Struct, frozen=True):
    """What a target says of itself.

    :param target_id: id of the target; a restarted target may keep it.
    :param started_ms: Unix time of the target's start in milliseconds, 0 if unknown.
    :param sequence: grows with each heartbeat of one incarnation.
    :param service: name of the service.
    :param phase: ready or draining.
    :param slots: requests that it works on at a time.
    :param cold_for_s: seconds for which it still is slow after its start.
    """

    target_id: str
    started_ms: int
    sequence: int
    service: str
    phase: TargetPhase
    slots: int
    cold_for_s: float


class TargetState:
    """The target beside a sidecar.

    :param heartbeat_interval_s: seconds between heartbeats.
    :param address_reuse_s: the shortest time after which the address of a target
        that ended serves another one; a target that was not heard for longer may
        already be another.
    """

    def __init__(self, heartbeat_interval_s: float, address_reuse_s: float) -> None:
        self._fresh_s = 0.0
        self.set_times(heartbeat_interval_s, address_reuse_s)
        self._last: Heartbeat | None = None
        self._heard_at = 0.0
        self._cold_until = 0.0
        self._ended = False
        self._absent = False
        self._tag = NO_SERVICE
        self._presumed_at: float | None = None

    @property
    def last(self) -> Heartbeat | None:
        """The newest heartbeat, or None before the first."""
        return self._last

    @property
    def ended(self) -> bool:
        """Whether the target has said that it is gone."""
        return self._ended

    @property
    def service(self) -> bytes:
        """Tag of the target's service, ``NO_SERVICE`` or ``NO_TARGET``."""
        return NO_TARGET if self._ended or self._absent else self._tag

    @property
    def slots(self) -> int:
        """Requests that the target works on at a time, at least 1."""
        return max(1, self._last.slots) if self._last else 1

    def set_times(self, heartbeat_interval_s: float, address_reuse_s: float) -> None:
        """Take changed settings."""
        self._fresh_s = min(heartbeat_interval_s * _MISSED_INTERVALS, address_reuse_s)

    def age_s(self, now: float) -> float:
        """Return seconds since the newest heartbeat, infinity before the first."""
        return now - self._heard_at if self._last is not None else inf

    def accepts_flows(self, now: float) -> bool:
        """Whether new flows may be offered to the target."""
        if self._presumed_at is not None:
            return now - self._presumed_at <= self._fresh_s
        return (
            self._last is not None
            and not self._ended
            and not self._absent
            and self._last.phase is TargetPhase.READY
            and self.age_s(now) <= self._fresh_s
        )

    def is_overdue(self, now: float) -> bool:
        """Whether there is no target that was heard within the usual time."""
        return self.age_s(now) > self._fresh_s

    def is_cold(self, now: float) -> bool:
        """Whether the target still is slow after its start."""
        return now < self._cold_until

    def note(self, beat: Heartbeat, now: float) -> BeatOutcome:
        """Take a heartbeat.

        Heartbeats of an earlier incarnation, and those that arrive after a later
        one, change nothing.

        :param now: seconds of a clock that also counts while the instance is
            suspended.
        """
        before = self._last
        if before is not None and _precedes(beat, before):
            return BeatOutcome.OUTDATED
        fresh = before is None or _incarnation(beat) != _incarnation(before)
        if not fresh and self._ended:
            return BeatOutcome.OUTDATED
        if before is None or before.service != beat.service:
            self._tag = service_tag(beat.service)
        self._last = beat
        self._presumed_at = None
        self._absent = False
        self._heard_at = now
        self._cold_until = now + beat.cold_for_s
        if fresh:
            self._ended = False
            return BeatOutcome.NEW_INCARNATION
        drains = beat.phase is TargetPhase.DRAINING
        if drains and before is not None and before.phase is TargetPhase.READY:
            return BeatOutcome.DRAINS
        return BeatOutcome.REFRESHED

    def note_absent(self) -> bool:
        """Take note that no program listens at the target's address.

        :return: whether that is new.
        """
        new = not self._absent
        self._absent = True
        self._presumed_at = None
        return new

    def presume(self, service: str, now: float) -> bool:
        """Take it that a target listens that has not sent a heartbeat yet.

        It counts as one of the service that the sidecar's settings name, until its
        heartbeat comes or is overdue.

        :return: whether that is new; never if something is known of the target.
        """
        if self._last is not None or self._absent or self._presumed_at is not None:
            return False
        self._presumed_at = now
        self._tag = service_tag(service)
        return True

    def note_end(self, target_id: str) -> bool:
        """Take a target's word that it is gone; False if it is not this one."""
        if self._last is None or self._last.target_id != target_id:
            return False
        self._ended = True
        return True


def _incarnation(beat: Heartbeat) -> tuple[int, str]:
    return beat.started_ms, beat.target_id


def _precedes(beat: Heartbeat, newest: Heartbeat) -> bool:
    if _incarnation(beat) == _incarnation(newest):
        return beat.sequence <= newest.sequence
    return beat.started_ms < newest.started_ms
