"""Invariants that callers and targets must see hold, checked during a soak."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cranberryhold.flows.segments import Segment, format_flow_key
from emulator.flow_callers import Outcome
from emulator.flow_target import FlowTarget
from emulator.platform_files import ColdStarts

# Limits of the users' requirements, in seconds.
DRAIN_TIMEOUT_S = 3.0
MAX_MISROUTING_S = 2.0
RECOVERY_TIMEOUT_S = 12.0
CONFIGURATION_APPLY_TIMEOUT_S = 3.0
EVACUATION_LIMIT_S = 5.0
# Addition to the limit of an evacuation while the store has a fault. After that, the
# limit itself applies, also while there are other faults.
MAX_STRETCH_S = 15.0
ROLLBACK_SLACK_S = 0.25
# Invariants with a time limit are checked only this long after a disturbance; a limit
# that began during the disturbance is not extended.
STABLE_WINDOW_S = 4.0
MIN_MISROUTED_PACKETS = 3
# A packet that a target returns is forwarded to the right target within this time.
FORWARDING_TIMEOUT_S = 0.2
# Bursts exceed this several times over.
COLD_STARTS = ColdStarts(per_s=2.0, over=1.5, slack=2.0)


@dataclass
class _Misrouting:
    first_at: float
    packets: int = 0


@dataclass(frozen=True)
class Request:
    """A completed request of a caller.

    :ivar sent_at: event loop time in seconds.
    """

    sent_at: float
    outcome: Outcome


@dataclass
class _ObservedConfiguration:
    """The configuration that one process of an entry instance applies.

    :ivar min_version: lowest version that explains the probes so far.
    :ivar since: when that version was inferred.
    """

    process: int
    min_version: int = 0
    since: float = 0.0


@dataclass(frozen=True)
class _Version:
    number: int
    service: str
    written_at: float


@dataclass
class InvariantChecker:
    """Collects violations of the invariants.

    :ivar log: takes one line for each violation or result.
    :ivar violations: one line for each violation.
    :ivar targets: running incarnations of targets.
    :ivar requests: completed requests.
    :ivar allowed_services: services that a route ever led to, by its port.
    :ivar zones: zones of the machines, by address.
    :ivar last_opened: time of the last SYN that a target accepted, by zone.
    :ivar most_cold_openings: most openings that a cold target received in a second.
    """

    log: Callable[[str], None]
    violations: list[str] = field(default_factory=list)
    targets: list[FlowTarget] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    allowed_services: dict[int, set[str]] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    last_opened: dict[str, float] = field(default_factory=dict)
    _evacuated_at: dict[str, float] = field(default_factory=dict)
    most_cold_openings: int = 0
    _store_faults: int = 0
    _store_faults_ended_at: float = 0.0
    _flow_services: dict[bytes, str] = field(default_factory=dict)
    _misroutings: dict[bytes, _Misrouting] = field(default_factory=dict)
    _disturbed_at: dict[str, float] = field(default_factory=dict)
    _active_faults: int = 0
    _fault_free_since: float = 0.0
    _versions: list[_Version] = field(default_factory=list)
    _observed: dict[str, _ObservedConfiguration] = field(default_factory=dict)
    _cold_openings: dict[FlowTarget, deque[float]] = field(default_factory=dict)

    def record_violation(self, text: str) -> None:
        """Record and log a violation; the text begins with the invariant's name."""
        self.violations.append(text)
        self.log(f"VIOLATION {text}")

    def record_fault_start(self) -> None:
        """Count a fault as active."""
        self._active_faults += 1

    def record_fault_end(self) -> None:
        """Count a fault as over."""
        self._active_faults -= 1
        self._fault_free_since = _now()

    def record_disturbance(self, *ips: str) -> None:
        """Record an unplanned disturbance of these machines, or of all without any."""
        for ip in ips or ("all",):
            self._disturbed_at[ip] = _now()

    def is_undisturbed(self, ip: str) -> bool:
        """Whether a machine had no unplanned disturbance in the stable window."""
        latest = max(
            self._disturbed_at.get(ip, 0.0), self._disturbed_at.get("all", 0.0)
        )
        return _now() - latest > STABLE_WINDOW_S

    def fault_free_s(self) -> float:
        """Return the seconds since the last fault ended, 0 while one is active."""
        return 0.0 if self._active_faults else _now() - self._fault_free_since

    # Reported by targets.

    def opening_received(self, target: FlowTarget, at: float) -> None:
        """Check the openings that a cold target receives in any one second."""
        if not target.cold_for_s(at):
            return
        recent = self._cold_openings.setdefault(target, deque())
        recent.append(at)
        while recent[0] <= at - 1.0:
            recent.popleft()
        self.most_cold_openings = max(self.most_cold_openings, len(recent))
        if len(recent) > COLD_STARTS.limit:
            self.record_violation(
                f"COLD {target.name} received {len(recent)} openings within a second, "
                f"{target.cold_for_s(at):.2f} s before the end of its slow start"
            )

    def syn_accepted(self, target: FlowTarget, segment: Segment) -> None:
        """Check a SYN that a target has accepted."""
        key = segment.flow_key_from_caller()
        self._flow_services[key] = target.service
        if target.service not in self.allowed_services.get(
            segment.destination_port, set()
        ):
            self.record_violation(
                f"ROUTE {format_flow_key(key)} was opened at {target.name} "
                f"of {target.service}"
            )
        drained_at = target.drain_acknowledged_at
        if drained_at is not None and _now() - drained_at > DRAIN_TIMEOUT_S:
            self.record_violation(
                f"DRAIN {format_flow_key(key)} was opened at {target.name} "
                f"{_now() - drained_at:.2f} s after its drain was acknowledged"
            )
        self._check_evacuation(target, key)

    def _check_evacuation(self, target: FlowTarget, key: bytes) -> None:
        zone = self.zones.get(target.ip, "")
        self.last_opened[zone] = _now()
        evacuated_at = self._evacuated_at.get(zone)
        if evacuated_at is None:
            return
        late_s = _now() - evacuated_at
        store_answers_s = _now() - self._store_faults_ended_at
        if late_s > EVACUATION_LIMIT_S + MAX_STRETCH_S or (
            not self._store_faults and min(late_s, store_answers_s) > EVACUATION_LIMIT_S
        ):
            self.record_violation(
                f"EVACUATION {format_flow_key(key)} was opened at {target.name} in "
                f"{zone} {late_s:.2f} s after its evacuation, {self._store_faults} "
                f"faults of the store, the last one ended {store_answers_s:.2f} s ago"
            )

    def packet_received(self, target: FlowTarget, key: bytes, *, is_own: bool) -> None:
        """Check whether the packets of a flow reach only other targets than its own."""
        holder = next((t for t in self.targets if t.holds(key)), None)
        if is_own or holder is None or not self.is_undisturbed(holder.ip):
            self._misroutings.pop(key, None)
            return
        misrouting = self._misroutings.setdefault(key, _Misrouting(_now()))
        misrouting.packets += 1
        lasted_s = _now() - misrouting.first_at
        if misrouting.packets >= MIN_MISROUTED_PACKETS and lasted_s >= MAX_MISROUTING_S:
            asyncio.get_running_loop().call_later(
                FORWARDING_TIMEOUT_S,
                self._check_misrouting,
                key,
                misrouting,
                target.name,
            )

    def _check_misrouting(self, key: bytes, misrouting: _Misrouting, last: str) -> None:
        """Report misrouting, unless a packet has since reached the flow's target."""
        if self._misroutings.get(key) is misrouting:
            del self._misroutings[key]
            self.record_violation(
                f"FLOW packets of {format_flow_key(key)} have reached {last} and "
                "other targets, but not its own, for "
                f"{_now() - misrouting.first_at:.2f} s"
            )

    def invalid_packet_at_target(self, target: FlowTarget, packet: bytes) -> None:
        """Record a packet that no caller sent."""
        self.record_violation(f"UNASKED {packet.hex()} reached {target.name}")

    # Reported by callers.

    def reset_received(self, key: bytes, *, by_target: bool) -> None:
        """Check a reset of a flow."""
        holders = [t.name for t in self.targets if t.holds(key)]
        if holders and not by_target:
            self.record_violation(
                f"FLOW {format_flow_key(key)} was reset while held by {holders}, "
                f"{self.fault_free_s():.2f} s after the last fault"
            )

    def invalid_packet_at_caller(self, key: bytes, packet: bytes) -> None:
        """Record a packet that no target sent."""
        flow = format_flow_key(key) if key else "unknown flow"
        self.record_violation(f"MIXED {packet.hex()} reached the caller of {flow}")

    # Evacuations.

    def record_store_fault_start(self) -> None:
        """Count a fault of the store as active."""
        self._store_faults += 1

    def record_store_fault_end(self) -> None:
        """Count a fault of the store as over."""
        self._store_faults -= 1
        self._store_faults_ended_at = _now()

    def record_evacuation(self, zone: str) -> None:
        """Record that the evacuation of a zone was written."""
        self._evacuated_at[zone] = _now()

    def record_evacuation_end(self, zone: str) -> None:
        """Record that the evacuation of a zone is being ended."""
        del self._evacuated_at[zone]

    def check_zones_in_use(self, since: float) -> None:
        """Check that the targets of every zone have been given new flows."""
        for zone in sorted(set(self.zones.values())):
            if self.last_opened.get(zone, 0.0) < since:
                self.record_violation(f"EVACUATION {zone} gets no new flows afterwards")

    # Configuration.

    def record_version(self, number: int, service: str) -> None:
        """Record a version that was written and the service it routes probes to."""
        self._versions.append(_Version(number, service, _now()))

    def service_of_flow(self, key: bytes) -> str | None:
        """Return the service whose target last accepted the flow, if any did."""
        return self._flow_services.get(key)

    def check_probe(
        self, entry: str, process: int, service: str, sent_at: float
    ) -> None:
        """Check that an entry instance's configuration is recent and never reverts.

        :param process: number of the entry instance's process.
        :param service: service that it routed the probe to.
        :param sent_at: when the probe was sent.
        """
        observed = self._observed.get(entry)
        if observed is None or observed.process != process:
            observed = self._observed[entry] = _ObservedConfiguration(process)
        matching = [v for v in self._versions if v.service == service]
        newest = matching[-1].number
        if (
            newest < observed.min_version
            and sent_at - observed.since > ROLLBACK_SLACK_S
        ):
            self.record_violation(
                f"CONFIG {entry} went back from version {observed.min_version} "
                f"to {newest} or older"
            )
        due = [
            v.number
            for v in self._versions
            if sent_at - v.written_at > CONFIGURATION_APPLY_TIMEOUT_S
        ]
        if due and newest < due[-1] and self.fault_free_s() > STABLE_WINDOW_S:
            self.record_violation(
                f"CONFIG {entry} has not applied version {due[-1]} within "
                f"{CONFIGURATION_APPLY_TIMEOUT_S} s, {self.fault_free_s():.1f} s after "
                "the last fault"
            )
        possible = [v.number for v in matching if v.number >= observed.min_version]
        if possible and possible[0] > observed.min_version:
            observed.min_version, observed.since = possible[0], _now()

    # Requests.

    def all_answered(self, requests: Iterable[Request], phase: str) -> bool:
        """Return whether there were requests and all of them were answered."""
        completed = list(requests)
        failed = [r for r in completed if r.outcome is not Outcome.ANSWERED]
        self.log(f"{phase}: {len(completed)} requests, {len(failed)} not answered")
        return bool(completed) and not failed

    def requests_since(self, sent_at: float) -> list[Request]:
        """Return the requests that were sent at this time or later."""
        return [r for r in self.requests if r.sent_at >= sent_at]


def _now() -> float:
    return asyncio.get_running_loop().time()
