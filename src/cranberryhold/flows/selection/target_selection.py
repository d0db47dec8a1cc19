"""Selects the sidecars that an entry instance offers new flows to."""

from __future__ import annotations

from _socket import inet_ntoa

from cranberryhold.flows.peer_messages import SidecarStatus
from cranberryhold.flows.peer_records import SidecarPeer
from cranberryhold.flows.peers import Peers
from cranberryhold.flows.route_table import RouteTable
from cranberryhold.flows.selection.candidates import (
    ServiceOutlook,
    assess_service,
    order_by_expected_answer,
)
from cranberryhold.flows.selection.missing_targets import MissingTargets
from cranberryhold.flows.selection.outlier_detection import (
    BARRED,
    OutlierDetection,
    Standing,
    StandingChange,
)
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.structs import Struct, field

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# Reports arrive in batches, and this bounds the cost of comparing all targets.
ASSESSMENT_INTERVAL_S = 0.1

# Event and counter of a change to each standing.
_RESTORED = ("target-restored", "target_restorations")
_EVENTS = {
    Standing.SUSPECTED: ("target-suspected", "target_suspicions"),
    Standing.EJECTED: ("target-ejected", "target_ejections"),
    Standing.TRIAL: ("target-on-trial", "target_trials"),
    Standing.HEALTHY: _RESTORED,
}


class _Service(Struct):
    """What is known of the targets of a service at one time."""

    outliers: OutlierDetection
    assessed_at: float
    outlook: ServiceOutlook
    suspected: set[bytes] = field(default_factory=set)
    barred: set[bytes] = field(default_factory=set)


class TargetSelection:
    """Selects by load, and by expected time until the answer with admission control.

    :param local_ip: packed IPv4 address of this entry instance.
    :param peers: known members.
    :param routes: routes in effect.
    :param telemetry: log and counters.
    :param monotonic: clock in seconds.
    """

    def __init__(
        self,
        local_ip: bytes,
        peers: Peers,
        routes: RouteTable,
        telemetry: Telemetry,
        monotonic: Callable[[], float],
    ) -> None:
        self._local_ip = local_ip
        self._peers = peers
        self._routes = routes
        self._telemetry = telemetry
        self._monotonic = monotonic
        self._services: dict[bytes, _Service] = {}
        self._missing = MissingTargets(peers, monotonic())

    def record_status(self, ip: bytes, status: SidecarStatus) -> None:
        """Record a status of a sidecar before it replaces the last one."""
        self._missing.record_status(ip, status, self._monotonic())

    def lacking_s(self, service: bytes) -> float | None:
        """Return the seconds for which a service has certainly had no target.

        None if that is not certain, not for long enough, or without admission control.
        """
        if not self._routes.admission:
            return None
        return self._missing.lacking_s(service, self._monotonic())

    def candidates(
        self,
        key: bytes,
        service: bytes,
        evacuated: frozenset[str] = frozenset(),
        *,
        for_trial: bool = False,
    ) -> list[SidecarPeer]:
        """Return the sidecars to offer a new flow of a service to, in order.

        :param evacuated: data centres whose targets get no new flows.
        :param for_trial: whether the flow may be sent to an ejected target on trial.
        """
        if self._routes.admission:
            try:
                accepting = self._peers.accepting(service, evacuated)
                return self._by_expected_answer(key, service, accepting, for_trial)
            except Exception as error:
                # A fault in the comparison must not stop new flows.
                self._telemetry.count("selection_faults")
                self._telemetry.flow_event("selection-fault", key, error=repr(error))
        return self._peers.candidates_for_new_flow(key, service, evacuated)

    def log_fields(self, service: bytes, peer: SidecarPeer | None) -> dict[str, object]:
        """Return what the choice of a sidecar rested on, for the log."""
        known = self._services.get(service)
        if peer is None or known is None or not self._routes.admission:
            return {}
        outlook = known.outlook
        return {
            "expected_s": round(outlook.expected_answer_s(peer, self._peers.zone), 3),
            "waiting": peer.status.waiting,
            "local_load": round(outlook.local_load, 2),
            "remote_load": round(outlook.remote_load, 2),
        }

    def gauges(self) -> Mapping[str, float]:
        """Return the numbers of avoided targets for the metrics."""
        return {
            "targets_suspected": sum(len(s.suspected) for s in self._services.values()),
            "targets_ejected": sum(len(s.barred) for s in self._services.values()),
        }

    def _by_expected_answer(
        self,
        key: bytes,
        service: bytes,
        accepting: list[SidecarPeer],
        for_trial: bool,
    ) -> list[SidecarPeer]:
        now = self._monotonic()
        known = self._services.get(service)
        if known is None or now - known.assessed_at >= ASSESSMENT_INTERVAL_S:
            known = self._assess(service, known, accepting, now)
        usable = accepting
        if known.barred:
            usable = [peer for peer in accepting if peer.ip not in known.barred]
        ordered = order_by_expected_answer(
            key, self._peers.zone, usable, known.outlook, known.suspected
        )
        if for_trial and known.barred:
            ip = known.outliers.take_trial(accepting, now)
            ordered = [peer for peer in accepting if peer.ip == ip] + ordered
        return ordered

    def _assess(
        self,
        service: bytes,
        known: _Service | None,
        accepting: list[SidecarPeer],
        now: float,
    ) -> _Service:
        outlook = assess_service(accepting, self._peers.zone)
        if known is None:
            known = _Service(OutlierDetection(self._local_ip), now, outlook)
            self._services[service] = known
        known.assessed_at, known.outlook = now, outlook
        entries = len(self._peers.entries) + 1
        for change in known.outliers.update(accepting, entries, now):
            self._log_change(service, change)
        known.suspected = known.outliers.with_standing(Standing.SUSPECTED)
        known.barred = known.outliers.with_standing(*BARRED)
        return known

    def _log_change(self, service: bytes, change: StandingChange) -> None:
        was_barred = change.previous in BARRED
        is_return = was_barred and change.standing is Standing.SUSPECTED
        event, counter = _RESTORED if is_return else _EVENTS[change.standing]
        self._telemetry.count(counter)
        self._telemetry.flow_event(
            event,
            target=inet_ntoa(change.ip),
            service=self._routes.service_name(service),
            standing=change.standing.value,
            reason=change.reason,
            distrust=change.distrust,
            median=change.median,
            targets=change.targets,
            status_age_s=round(change.status_age_s, 3),
            ejections=change.ejections,
            ejection_s=round(change.ejection_s, 3),
        )
