"""State of a sidecar's target, derived from its heartbeats."""

from collections import deque
from enum import Enum
from math import inf

from cranberryhold.flows.envelope import service_tag
from cranberryhold.flows.heartbeat import (
    FIRST_HEARTBEAT_SEQUENCE,
    Heartbeat,
    TargetPhase,
)
from cranberryhold.flows.target_claims import TargetClaim

UNKNOWN_SERVICE = b"\0\0\0\0"
"""Tag of a sidecar that does not know yet whether it has a target."""

NO_TARGET = b"\xff\xff\xff\xff"
"""Tag of a sidecar without a target."""

# Even without faults, heartbeats arrive late by a fraction of their interval.
_TIMEOUT_INTERVALS = 1.9
# After an acknowledged heartbeat, the next one follows later than this share of the
# interval; unacknowledged ones are repeated sooner.
_UNHEARD_INTERVALS = 0.6
# Intervals between two heartbeats that are sent, at most.
_MAX_INTERVALS = 2.0
# Shortest time after which an unacknowledged heartbeat is repeated; targets have been
# seen to wait four times as long.
_MIN_REPETITION_S = 0.02

# Incarnations whose late heartbeats are recognized.
MAX_FORMER_INCARNATIONS = 16
# Share of the interval between two heartbeats of a target that has not ended, as it
# reported; those that a cut has delayed arrive together.
_REVIVAL_INTERVALS = 0.5


class EndOutcome(Enum):
    """Effect of a report that a target has ended."""

    OTHER_TARGET = "other-target"
    # The target was draining, as it does before it ends.
    ENDED = "ended"
    # A target that is ready does not end; a former incarnation may have sent it.
    DOUBTFUL = "doubtful"


class BeatOutcome(Enum):
    """Effect of a heartbeat on the state of the target."""

    REFRESHED = "refreshed"
    DRAINS = "drains"
    NEW_INCARNATION = "new-incarnation"
    OUTDATED = "outdated"


class TargetState:
    """Last known state of a sidecar's target.

    :param heartbeat_interval_s: seconds between heartbeats.
    :param address_reuse_s: shortest time after which the address of a target that
        ended is assigned to another one. Without a heartbeat for longer, the program
        at the address may already be another target.
    :param service: service that the settings name, empty if none. A target of another
        one has to keep sending heartbeats until it is believed.
    """

    def __init__(
        self, heartbeat_interval_s: float, address_reuse_s: float, service: str = ""
    ) -> None:
        self._heartbeat_timeout_s = 0.0
        self.update_settings(heartbeat_interval_s, address_reuse_s, service)
        self._last_heartbeat: Heartbeat | None = None
        self._last_heartbeat_at = 0.0
        self._former: deque[tuple[int, str]] = deque(maxlen=MAX_FORMER_INCARNATIONS)
        self._claim = TargetClaim()
        self._cold_until = 0.0
        self._ended = False
        # A report of the target's end is doubted, and the first heartbeat after it.
        self._end_is_doubtful = False
        self._heard_since_end_at: float | None = None
        self._absent = False
        self._service_tag = UNKNOWN_SERVICE
        self._presumed_at: float | None = None

    @property
    def last_heartbeat(self) -> Heartbeat | None:
        """The newest heartbeat, or None before the first."""
        return self._last_heartbeat

    @property
    def ended(self) -> bool:
        """Whether the target has reported its end."""
        return self._ended

    @property
    def end_is_doubtful(self) -> bool:
        """Whether the end that was reported may be that of a former incarnation."""
        return self._end_is_doubtful

    @property
    def service(self) -> bytes:
        """Tag of the target's service, ``UNKNOWN_SERVICE`` or ``NO_TARGET``."""
        return NO_TARGET if self._ended or self._absent else self._service_tag

    @property
    def presumed(self) -> bool:
        """Whether the target is only presumed to be ready."""
        return self._presumed_at is not None

    @property
    def slots(self) -> int:
        """Number of requests that the target processes concurrently, at least 1."""
        return max(1, self._last_heartbeat.slots) if self._last_heartbeat else 1

    def update_settings(
        self, heartbeat_interval_s: float, address_reuse_s: float, service: str
    ) -> None:
        """Apply changed settings."""
        self._configured_service = service
        self._heartbeat_interval_s = heartbeat_interval_s
        self._heartbeat_timeout_s = min(
            heartbeat_interval_s * _TIMEOUT_INTERVALS, address_reuse_s
        )

    def seconds_since_heartbeat(self, now: float) -> float:
        """Return the seconds since the newest heartbeat, infinity before the first."""
        return (
            now - self._last_heartbeat_at if self._last_heartbeat is not None else inf
        )

    def accepts_flows(self, now: float) -> bool:
        """Whether new flows may be offered to the target."""
        if self._presumed_at is not None:
            return now - self._presumed_at <= self._heartbeat_timeout_s
        return (
            self._last_heartbeat is not None
            and not self._ended
            and not self._end_is_doubtful
            and not self._absent
            and self._last_heartbeat.phase is TargetPhase.READY
            and self.seconds_since_heartbeat(now) <= self._heartbeat_timeout_s
        )

    def is_overdue(self, now: float) -> bool:
        """Whether no heartbeat has arrived within the time-out."""
        return self.seconds_since_heartbeat(now) > self._heartbeat_timeout_s

    def was_unheard(self, heartbeat: Heartbeat, unix_time_s: float) -> bool:
        """Whether no heartbeat of this incarnation was acknowledged before this one.

        The target has then been offered no flow yet: a sidecar process offers flows
        only after a heartbeat, or shortly before one that it acknowledges. This is
        known for the first heartbeat, and for later ones of a target that is too young
        to have had one acknowledged: to the pause after that one, the repetitions that
        its sequence number tells of have to be added.

        :param unix_time_s: time of day of the instance, which the target shares.
        """
        if heartbeat.sequence <= FIRST_HEARTBEAT_SEQUENCE:
            return True
        age_s = unix_time_s - heartbeat.started_ms / 1000
        pause_s = _UNHEARD_INTERVALS * self._heartbeat_interval_s
        repetitions = heartbeat.sequence - FIRST_HEARTBEAT_SEQUENCE - 1
        return 0 <= age_s < pause_s + repetitions * _MIN_REPETITION_S

    def is_certainly_younger(
        self, heartbeat: Heartbeat, limit_s: float, unix_time_s: float
    ) -> bool:
        """Whether a target started less than ``limit_s`` ago.

        Both its start time and the number of its heartbeats have to tell so: the clock
        may have been set, and a late heartbeat has a low number.

        :param unix_time_s: time of day of the instance, which the target shares.
        """
        longest_s = _MAX_INTERVALS * heartbeat.sequence * self._heartbeat_interval_s
        age_s = unix_time_s - heartbeat.started_ms / 1000
        return 0 <= age_s < limit_s and longest_s < limit_s

    def is_younger_than(self, limit_s: float, unix_time_s: float) -> bool:
        """Whether no target runs that has started longer ago.

        :param unix_time_s: time of day of the instance, which the target shares.
        """
        if self.service == NO_TARGET:
            return True
        if self._last_heartbeat is None:
            return False
        return 0 <= unix_time_s - self._last_heartbeat.started_ms / 1000 < limit_s

    def is_cold(self, now: float) -> bool:
        """Whether the target may still be in its slow start.

        It counts as cold until its first heartbeat.
        """
        return self._last_heartbeat is None or now < self._cold_until

    def describes(self, heartbeat: Heartbeat) -> bool:
        """Whether the state is that of the target that sent a heartbeat."""
        newest = self._last_heartbeat
        return (
            newest is not None
            and heartbeat.incarnation == newest.incarnation
            and heartbeat.service == newest.service
        )

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> BeatOutcome:
        """Update the state with a heartbeat.

        Heartbeats of an earlier incarnation and heartbeats that arrive out of order
        are ignored. Start times order the incarnations, unless the clock was set back.
        So are heartbeats of another service while the target sends its own: an address
        goes to another service only after ``address_reuse_s``.

        :param now: seconds of a clock that also counts while the instance is
            suspended.
        """
        previous = self._last_heartbeat
        if (
            previous is not None
            and previous.service != heartbeat.service
            and not self._is_replaceable(now)
        ):
            return BeatOutcome.OUTDATED
        interval_s = self._heartbeat_interval_s
        if self._is_of_unexpected_service(heartbeat) and not self._claim.is_persistent(
            heartbeat, now, interval_s
        ):
            return BeatOutcome.OUTDATED
        if (
            previous is not None
            and (heartbeat.precedes(previous) or heartbeat.incarnation in self._former)
            and not self._is_successor(heartbeat, previous, now)
        ):
            return BeatOutcome.OUTDATED
        is_new = previous is None or heartbeat.incarnation != previous.incarnation
        if not is_new and self._ended:
            return BeatOutcome.OUTDATED
        if previous is None or previous.service != heartbeat.service:
            self._service_tag = service_tag(heartbeat.service)
        self._last_heartbeat = heartbeat
        self._claim.clear()
        self._presumed_at = None
        self._absent = False
        self._last_heartbeat_at = now
        self._cold_until = now + heartbeat.cold_for_s
        if not is_new:
            self._doubt_end(heartbeat, now)
        else:
            self._ended = self._end_is_doubtful = False
            self._heard_since_end_at = None
            if heartbeat.incarnation in self._former:
                self._former.remove(heartbeat.incarnation)
            if previous is not None:
                self._former.append(previous.incarnation)
            return BeatOutcome.NEW_INCARNATION
        drains = heartbeat.phase is TargetPhase.DRAINING
        if drains and previous is not None and previous.phase is TargetPhase.READY:
            return BeatOutcome.DRAINS
        return BeatOutcome.REFRESHED

    def _is_of_unexpected_service(self, heartbeat: Heartbeat) -> bool:
        """Whether neither the settings nor the present target name the service.

        Such a heartbeat is mostly a late one of a former target at the address.
        """
        newest = self._last_heartbeat
        known = self._configured_service, newest.service if newest is not None else ""
        return bool(self._configured_service) and heartbeat.service not in known

    def _is_replaceable(self, now: float) -> bool:
        """Whether the target may have ended."""
        has_reported_end = self._ended or self._end_is_doubtful
        return has_reported_end or self._absent or self.is_overdue(now)

    def _is_successor(
        self, heartbeat: Heartbeat, newest: Heartbeat, now: float
    ) -> bool:
        """Whether a target whose heartbeats precede the newest one runs in its place.

        It does if it keeps sending heartbeats while no newer ones arrive: its clock was
        set back before its start, or the newest one is of another writer. Each call
        keeps the heartbeat, for the comparison with the next one.
        """
        if not self._is_replaceable(now):
            return False
        incarnation = heartbeat.incarnation
        if incarnation != newest.incarnation and incarnation not in self._former:
            return self._claim.is_repeated(heartbeat, now)
        return self._claim.is_persistent(heartbeat, now, self._heartbeat_interval_s)

    def mark_absent(self) -> bool:
        """Record that no program listens at the target's address.

        :return: whether the state changed.
        """
        changed = not self._absent
        self._absent = True
        self._presumed_at = None
        return changed

    def presume_ready(self, service: str, now: float) -> bool:
        """Presume that the program at the address is a ready target of this service.

        This applies to a target that listens but has not sent a heartbeat yet, until
        its heartbeat arrives or is overdue.

        :param service: the service named in the sidecar's settings.
        :return: whether the state changed; False if the target is known already.
        """
        if (
            self._last_heartbeat is not None
            or self._absent
            or self._presumed_at is not None
        ):
            return False
        self._presumed_at = now
        self._service_tag = service_tag(service)
        return True

    def mark_ended(self, target_id: str) -> EndOutcome:
        """Record that a target reported its end.

        The report names no incarnation, and may be a late one of a target that has
        started again under its id.
        """
        newest = self._last_heartbeat
        if newest is None or newest.target_id != target_id:
            return EndOutcome.OTHER_TARGET
        if newest.phase is TargetPhase.DRAINING:
            self._ended = True
            return EndOutcome.ENDED
        self._end_is_doubtful = True
        self._heard_since_end_at = None
        return EndOutcome.DOUBTFUL

    def _doubt_end(self, heartbeat: Heartbeat, now: float) -> None:
        """Take a reported end back if the target goes on sending heartbeats."""
        if not self._end_is_doubtful or heartbeat.phase is not TargetPhase.READY:
            return
        if self._heard_since_end_at is None:
            self._heard_since_end_at = now
        spread_s = _REVIVAL_INTERVALS * self._heartbeat_interval_s
        if now - self._heard_since_end_at >= spread_s:
            self._end_is_doubtful = False
