"""What callers and targets must never see, checked while the soak runs."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cranberryhold.flows.segments import Segment, format_flow_key
from emulator.flow_callers import Outcome
from emulator.flow_target import FlowTarget

# Bounds of the users' rules, in seconds.
DRAIN_TIMEOUT_S = 3.0
FLOW_DRIFT_S = 2.0
RECOVERY_S = 12.0
CONFIGURATION_APPLY_S = 3.0
ROLLBACK_SLACK_S = 0.25
STABLE_WINDOW_S = 4.0
DRIFTING_PACKETS = 3
# A packet that a target returns is passed on to its own within this time.
ON_ITS_WAY_S = 0.2


@dataclass
class _Drift:
    first_at: float
    packets: int = 0


@dataclass(frozen=True)
class Request:
    """A request of a caller that has ended.

    :ivar sent_at: time of the loop in seconds.
    """

    sent_at: float
    outcome: Outcome


@dataclass
class _EntryView:
    process: int
    lowest_version: int = 0
    since: float = 0.0


@dataclass(frozen=True)
class _Version:
    number: int
    service: str
    written_at: float


@dataclass
class Promises:
    """Collects what breaks a promise.

    :ivar broken: one line for each broken promise.
    :ivar targets: incarnations of targets that live.
    :ivar requests: requests that have ended.
    :ivar allowed: services by the port of each route that ever existed.
    """

    note: Callable[[str], None]
    broken: list[str] = field(default_factory=list)
    targets: list[FlowTarget] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    allowed: dict[int, set[str]] = field(default_factory=dict)
    _openings: dict[bytes, str] = field(default_factory=dict)
    _drifts: dict[bytes, _Drift] = field(default_factory=dict)
    _harmed: dict[str, float] = field(default_factory=dict)
    _faults: int = 0
    _calm_since: float = 0.0
    _versions: list[_Version] = field(default_factory=list)
    _views: dict[str, _EntryView] = field(default_factory=dict)

    def break_promise(self, text: str) -> None:
        """Take note of a broken promise."""
        self.broken.append(text)
        self.note(f"BROKEN {text}")

    def fault_begins(self) -> None:
        """Take note that a fault is in effect."""
        self._faults += 1

    def fault_ends(self) -> None:
        """Take note that a fault is over."""
        self._faults -= 1
        self._calm_since = _now()

    def harmed(self, *ips: str) -> None:
        """Take note of unplanned harm to these machines, or to all if none is named."""
        for ip in ips or ("all",):
            self._harmed[ip] = _now()

    def _in_touch(self, ip: str) -> bool:
        latest = max(self._harmed.get(ip, 0.0), self._harmed.get("all", 0.0))
        return _now() - latest > STABLE_WINDOW_S

    def calm_for_s(self) -> float:
        """Return for how many seconds there has been no fault."""
        return 0.0 if self._faults else _now() - self._calm_since

    # Seen by targets.

    def syn_accepted(self, target: FlowTarget, segment: Segment) -> None:
        """Check a SYN that a target has accepted."""
        key = segment.flow_key_from_caller()
        self._openings[key] = target.service
        if target.service not in self.allowed.get(segment.destination_port, set()):
            self.break_promise(
                f"ROUTE {format_flow_key(key)} opened at {target.name} "
                f"of {target.service}"
            )
        drained_at = target.drain_acknowledged_at
        if drained_at is not None and _now() - drained_at > DRAIN_TIMEOUT_S:
            self.break_promise(
                f"DRAIN {format_flow_key(key)} opened at {target.name} "
                f"{_now() - drained_at:.2f} s after its drain was acknowledged"
            )

    def packet_received(self, target: FlowTarget, key: bytes, *, is_own: bool) -> None:
        """Check whether the packets of a flow go to foreign targets only."""
        holder = next((t for t in self.targets if t.holds(key)), None)
        if is_own or holder is None or not self._in_touch(holder.ip):
            self._drifts.pop(key, None)
            return
        drift = self._drifts.setdefault(key, _Drift(_now()))
        drift.packets += 1
        lasted_s = _now() - drift.first_at
        if drift.packets >= DRIFTING_PACKETS and lasted_s >= FLOW_DRIFT_S:
            asyncio.get_running_loop().call_later(
                ON_ITS_WAY_S, self._check_drift, key, drift, target.name
            )

    def _check_drift(self, key: bytes, drift: _Drift, last: str) -> None:
        """Report a drift, unless the packet has reached its own target since."""
        if self._drifts.get(key) is drift:
            del self._drifts[key]
            self.break_promise(
                f"FLOW packets of {format_flow_key(key)} went to {last} and others, "
                f"not to its own target, from {_now() - drift.first_at:.2f} s ago on"
            )

    def invalid_packet_at_target(self, target: FlowTarget, packet: bytes) -> None:
        """Take note of a packet that no caller wrote."""
        self.break_promise(f"UNASKED {packet.hex()} reached {target.name}")

    # Seen by callers.

    def reset_received(self, key: bytes, *, by_target: bool) -> None:
        """Check a reset of a flow."""
        holders = [t.name for t in self.targets if t.holds(key)]
        if holders and not by_target:
            self.break_promise(
                f"FLOW {format_flow_key(key)} was reset while {holders} lived, "
                f"{self.calm_for_s():.2f} s after the last fault"
            )

    def invalid_packet_at_caller(self, key: bytes, packet: bytes) -> None:
        """Take note of a packet that no target wrote."""
        flow = format_flow_key(key) if key else "unknown flow"
        self.break_promise(f"MIXED {packet.hex()} reached the caller of {flow}")

    # Configuration.

    def version_written(self, number: int, service: str) -> None:
        """Take note of a version, and where it sends the flows of the probes."""
        self._versions.append(_Version(number, service, _now()))

    def opening_of(self, key: bytes) -> str | None:
        """Return the service that a flow was opened at last, if it was."""
        return self._openings.get(key)

    def entry_routes_to(
        self, entry: str, process: int, service: str, sent_at: float
    ) -> None:
        """Check that an entry instance's configuration is new, and never goes back.

        :param process: number of the entry instance's process.
        :param service: where it sent a probe.
        :param sent_at: when the probe was sent.
        """
        view = self._views.get(entry)
        if view is None or view.process != process:
            view = self._views[entry] = _EntryView(process)
        matching = [v for v in self._versions if v.service == service]
        newest = matching[-1].number
        if newest < view.lowest_version and sent_at - view.since > ROLLBACK_SLACK_S:
            self.break_promise(
                f"CONFIG {entry} went back from version {view.lowest_version} "
                f"to {newest} or older"
            )
        calm_s = STABLE_WINDOW_S + CONFIGURATION_APPLY_S
        due = [
            v.number
            for v in self._versions
            if sent_at - v.written_at > CONFIGURATION_APPLY_S
        ]
        if due and newest < due[-1] and self.calm_for_s() > calm_s:
            self.break_promise(
                f"CONFIG {entry} does not apply version {due[-1]} in "
                f"{CONFIGURATION_APPLY_S} s, {self.calm_for_s():.1f} s after the "
                "last fault"
            )
        proven = [v.number for v in matching if v.number >= view.lowest_version]
        if proven and proven[0] > view.lowest_version:
            view.lowest_version, view.since = proven[0], _now()

    # Service.

    def all_served(self, requests: Iterable[Request], when: str) -> bool:
        """Whether all of these requests were answered, and at least one."""
        completed = list(requests)
        failed = [r for r in completed if r.outcome is not Outcome.ANSWERED]
        self.note(f"{when}: {len(completed)} requests, {len(failed)} not answered")
        return bool(completed) and not failed

    def since(self, sent_at: float) -> list[Request]:
        """Return the requests that were sent at this time or later."""
        return [r for r in self.requests if r.sent_at >= sent_at]


def _now() -> float:
    return asyncio.get_running_loop().time()
