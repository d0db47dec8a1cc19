"""Decides which openings may be delivered to a target that may be cold."""

from collections.abc import Callable

from msgspec import Struct

from cranberryhold.flows.admission.terms import OpeningTerms
from cranberryhold.flows.cold_start.limiter import COLD_WINDOW_S, ColdStartLimiter
from cranberryhold.flows.cold_start.restart_evidence import RestartEvidence
from cranberryhold.flows.flow_table import FlowRecord
from cranberryhold.flows.heartbeat import Heartbeat
from cranberryhold.flows.segments import Segment
from cranberryhold.flows.settings import ColdStartAllowance
from cranberryhold.flows.target_state import BeatOutcome, TargetState
from cranberryhold.flows.telemetry import Telemetry

# A caller abandons an attempt 1.4 s after its first SYN, so that no copy is later; the
# rest covers delays.
COPY_LIFETIME_S = 2.0
# Entry daemons of an older version send no terms; the rate of a configuration is used
# for their openings as long as others send it. A removed rate no longer applies then.
RATE_RETENTION_S = 10.0


class _ColdPeriod(Struct):
    """The slow start of one incarnation of the target.

    :param since: monotonic time of the first heartbeat that reported it, in seconds.
    :param delivered: openings delivered since then.
    :param limited: openings not delivered for the limit since then.
    """

    since: float
    delivered: int = 0
    limited: int = 0


class ColdStartGate:
    """Limits the openings that are delivered to a cold target.

    :param allowance: what a cold target may get, None if it is not limited.
    :param target: state of the target.
    :param telemetry: log and counters.
    :param monotonic: clock for deliveries, in seconds.
    :param boot_time: clock for heartbeats, in seconds.
    :param unix_time: time of day in seconds, which the target shares.
    """

    def __init__(
        self,
        allowance: ColdStartAllowance | None,
        target: TargetState,
        telemetry: Telemetry,
        *,
        monotonic: Callable[[], float],
        boot_time: Callable[[], float],
        unix_time: Callable[[], float],
    ) -> None:
        self._allowance = allowance
        self._target = target
        self._telemetry = telemetry
        self._monotonic = monotonic
        self._boot_time = boot_time
        self._unix_time = unix_time
        self._started_unix_s = unix_time()
        self._limiter = ColdStartLimiter(monotonic())
        self._evidence = RestartEvidence()
        # Openings that this incarnation of the target was delivered, by flow: sequence
        # number of the SYN, which its copies have as well, and monotonic time.
        self._deliveries: dict[bytes, tuple[int, float]] = {}
        self._rate: float | None = None
        self._rate_seen_at = 0.0
        # Openings that the target may get in a second while it is cold.
        self._cold_limit: int | None = None
        self._cold_period: _ColdPeriod | None = None

    def permits(
        self,
        key: bytes,
        segment: Segment,
        record: FlowRecord | None,
        terms: OpeningTerms | None,
    ) -> bool:
        """Whether an opening may be delivered now.

        Copies of an opening that the target has been delivered are always permitted.

        :param record: the flow, if the target has accepted it.
        :param terms: terms that the opening carries, if any.
        """
        if self._allowance is None:
            return True
        try:
            now = self._monotonic()
            self._record_rate(terms, now)
            limit = self._limit_in_force(now)
            return (
                limit is None
                or self._limiter.allows(now, limit)
                or self._is_copy(key, segment, record)
            )
        except Exception as error:
            self._record_fault(error)
            return False

    def delay_s(
        self, key: bytes, segment: Segment, terms: OpeningTerms, waiting: int
    ) -> float:
        """Return the seconds until an opening may be delivered, 0 for now.

        :param waiting: number of openings that are delivered before it.
        """
        if self._allowance is None:
            return 0.0
        try:
            now = self._monotonic()
            self._record_rate(terms, now)
            limit = self._limit_in_force(now)
            if limit is None or self._is_copy(key, segment, None):
                return 0.0
            return self._limiter.wait_s(now, limit, waiting)
        except Exception as error:
            self._record_fault(error)
            return COLD_WINDOW_S

    def room(self) -> int | None:
        """Return how many openings a cold target may still be delivered now.

        None if the target is warm or not limited.
        """
        if self._allowance is None:
            return None
        try:
            now = self._monotonic()
            limit = self._limit_in_force(now)
            return self._limiter.room(now, limit) if limit is not None else None
        except Exception as error:
            self._record_fault(error)
            return 0

    def log_fields(self) -> dict[str, object]:
        """Return the limit in force and what it rests on, for logs; empty without."""
        if self._allowance is None or self.room() is None:
            return {}
        now = self._monotonic()
        return {
            "cold_limit": self._cold_limit,
            "delivered": self._limiter.count(now),
            "predecessor_known": self._limiter.is_known(now),
            "rate_age_s": round(now - self._rate_seen_at, 3),
            "restart_suspected": self._evidence.reason,
        }

    def record_limited(self) -> None:
        """Count an opening that was not delivered at once because of the limit."""
        self._telemetry.count("cold_limited")
        if self._cold_period is not None:
            self._cold_period.limited += 1

    def record_delivered(
        self, key: bytes, segment: Segment, record: FlowRecord | None
    ) -> None:
        """Record that an opening, or a copy of one, is delivered."""
        if self._allowance is None or self._is_copy(key, segment, record):
            return
        now = self._monotonic()
        self._limiter.record(now)
        self._evidence.record_delivered(now)
        if self._cold_period is not None:
            self._cold_period.delivered += 1
        self._remove_expired(now)
        # Entries are removed in the order in which they were added.
        self._deliveries.pop(key, None)
        self._deliveries[key] = (segment.sequence, now)

    def record_packet(self) -> None:
        """Record a packet that the target sent or returned."""
        self._evidence.record_packet()

    def record_returned(self, key: bytes) -> None:
        """Record that the target returned an opening; a copy of it counts as new."""
        self._deliveries.pop(key, None)

    def record_lost_flow(self, record: FlowRecord | None) -> None:
        """Record that the target returned a packet of a flow.

        If it had accepted the flow, another target runs in its place.
        """
        if (
            self._allowance is not None
            and record is not None
            and record.initial_sequence is not None
            and record.closed_at is None
            and self._evidence.reason is None
        ):
            self._evidence.record_lost_flow()
            self._log_suspicion()

    def record_heartbeat(self, heartbeat: Heartbeat, outcome: BeatOutcome) -> None:
        """Record a heartbeat after the target's state was updated with it."""
        if self._allowance is None:
            return
        is_cold = heartbeat.cold_for_s > 0
        if outcome is BeatOutcome.OUTDATED:
            if is_cold and not self._target.describes(heartbeat):
                self._evidence.record_other_cold_target()
                self._log_suspicion()
            return
        self._evidence.record_heartbeat()
        is_new = outcome is BeatOutcome.NEW_INCARNATION
        if is_new and self._is_younger_than_predecessors(heartbeat):
            self._limiter.assume_no_predecessor()
        if self._cold_period is not None and (is_new or not is_cold):
            self._log_end(self._cold_period)
            self._cold_period = None
        if is_cold and self._cold_period is None:
            self._log_start(heartbeat)

    def record_target_ended(self) -> None:
        """Record that the target has ended; copies count as new at its successor."""
        self._deliveries.clear()

    def _limit_in_force(self, now: float) -> int | None:
        """Return the limit that applies to the target now, None if none does."""
        if self._evidence.check_silence(now):
            self._log_suspicion()
        limit = self._limit(now)
        if limit is None or self._evidence.reason is not None:
            return limit
        return limit if self._target.is_cold(self._boot_time()) else None

    def _limit(self, now: float) -> int | None:
        is_valid = now - self._rate_seen_at <= RATE_RETENTION_S
        return self._cold_limit if is_valid else None

    def _record_rate(self, terms: OpeningTerms | None, now: float) -> None:
        if terms is not None:
            if terms.cold_rate != self._rate:
                self._change_rate(terms.cold_rate)
            self._rate_seen_at = now

    def _change_rate(self, rate: float | None) -> None:
        previous, self._rate = self._rate, rate
        has_limit = self._allowance is not None and rate is not None
        self._cold_limit = self._allowance.limit(rate) if has_limit else None
        self._telemetry.flow_event(
            "cold-rate-changed",
            rate=rate,
            previous=previous,
            cold_limit=self._cold_limit,
        )

    def _is_copy(self, key: bytes, segment: Segment, record: FlowRecord | None) -> bool:
        """Whether the target has been delivered the same opening before.

        A caller may use the port of a flow that has ended again. A target that may have
        been replaced has been delivered nothing for certain.
        """
        if self._evidence.reason is not None:
            return False
        if record is not None:
            if record.closed_at is not None:
                return False
            if segment.acknowledgment > 0 or not record.established:
                return True
        delivery = self._deliveries.get(key)
        return delivery is not None and delivery[0] == segment.sequence

    def _is_younger_than_predecessors(self, heartbeat: Heartbeat) -> bool:
        """Whether a target started after any earlier process had ended.

        It did if it started after this process, or if nobody acknowledged a heartbeat
        of it before. The latter is not taken from late heartbeats of an older target.
        A start in the future shows that the clock was set back.
        """
        now_s = self._unix_time()
        age_s = now_s - heartbeat.started_ms / 1000
        if age_s < 0:
            return False
        uptime_s = now_s - self._started_unix_s
        return age_s <= uptime_s or (
            age_s < COLD_WINDOW_S and self._target.was_unheard(heartbeat, now_s)
        )

    def _remove_expired(self, now: float) -> None:
        while self._deliveries:
            oldest = next(iter(self._deliveries))
            if now - self._deliveries[oldest][1] <= COPY_LIFETIME_S:
                return
            del self._deliveries[oldest]

    def _record_fault(self, error: Exception) -> None:
        """Record a fault of a decision; the opening is passed on or waits then."""
        self._telemetry.count("cold_start_faults")
        self._telemetry.flow_event("cold-start-fault", level="ERROR", error=repr(error))

    def _log_suspicion(self) -> None:
        self._telemetry.flow_event(
            "target-restart-suspected",
            reason=self._evidence.reason,
            heartbeat_age_s=round(
                self._target.seconds_since_heartbeat(self._boot_time()), 3
            ),
        )

    def _log_start(self, heartbeat: Heartbeat) -> None:
        now = self._monotonic()
        self._cold_period = _ColdPeriod(now)
        self._telemetry.event(
            "cold-start-began",
            target=heartbeat.target_id,
            cold_for_s=round(heartbeat.cold_for_s, 3),
            cold_limit=self._limit(now),
            delivered=self._limiter.count(now),
            predecessor_known=self._limiter.is_known(now),
        )

    def _log_end(self, period: _ColdPeriod) -> None:
        self._telemetry.event(
            "cold-start-ended",
            lasted_s=round(self._monotonic() - period.since, 3),
            delivered=period.delivered,
            limited=period.limited,
        )
