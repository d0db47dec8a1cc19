"""Decides which targets of a service an entry instance avoids, without any I/O.

Each sidecar reports how much of what it observes speaks against its target. A target is
an outlier if that is much more than at the median of the service, so that a service
that is slow as a whole has none. A healthy target is first suspected, then ejected; it
returns on trial, and is ejected for twice as long if it fails that.

A suspected target comes after all others in the order of candidates. An ejected one is
no candidate, except for the trial flows. What a target says about its own health is not
considered.
"""

from __future__ import annotations

from math import ceil, inf

from cranberryhold.choices import Choice
from cranberryhold.flows.peer_records import SidecarPeer
from cranberryhold.flows.rendezvous import rendezvous_draws, rendezvous_hash
from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

# Distrust above the median of the service from which a target is suspected. The usual
# share of slow requests makes for a distrust of about 6.
SUSPICION_EXCESS = 25
EJECTION_EXCESS = 50
# A suspected target is trusted again below this excess. It is sent fewer flows, so that
# the evidence fades even if the fault persists. The entry instances trust it again one
# after the other within this time, and most of them see whether the first were right.
TRUST_EXCESS = 15
TRUST_SPREAD_S = 4.0
# A target is ejected also below the excess for it if it is suspected again within the
# first time, or if the suspicion is confirmed for longer than the second. It is sent so
# few flows then that their failures do not reach that excess.
SUSPICION_MEMORY_S = 30.0
LASTING_SUSPICION_S = 1.0
# If the median reaches this, twice the usual, the fault is not in single targets. With
# few requests, it reached no more than 10 to 20 in a service that was 8 times slower.
WIDESPREAD_DISTRUST = 12
# A target is suspected if it answers this much faster than the quantile 1/3 of the
# service. Its sidecar may never have seen it do its work, so that failures are usual.
IMPLAUSIBLE_SPEED = 8
# A suspected target must give reason for its ejection for this long, and each other one
# must have reported since: the reports of other zones are up to two seconds older.
SUSPICION_S = 1.0
# The evidence of the fault has faded by the end, see target_health.
FIRST_EJECTION_S = 5.0
# Without the spread below. A longer one would keep a target out that is well again.
MAX_EJECTION_S = 80.0
# One of this many targets of a service may be ejected, as the others bear its load.
EJECTION_DIVISOR = 3
# Entry instances try a target again at different times, up to this share of its
# ejection later, so that a failure at one of them is reported before most have tried.
TRIAL_SPREAD = 1.0
# Trial flows to a target if there are fewer entry instances, each of which sends one.
TRIAL_FLOWS = 3
# Time in which a trial flow is answered, or is overdue.
TRIAL_S = 1.0
# Without a flow to try it with for this long, a target returns untried.
MAX_TRIAL_S = 10.0
MAX_DISTRUST = 100


class Standing(Choice):
    """How an entry instance treats a target."""

    HEALTHY = "healthy"
    SUSPECTED = "suspected"
    EJECTED = "ejected"
    TRIAL = "trial"


BARRED = frozenset({Standing.EJECTED, Standing.TRIAL})
"""Standings in which a target is no candidate."""


class StandingChange(Struct, frozen=True):
    """A change of a target's standing, with the values that decided.

    :param ip: packed IPv4 address of the sidecar.
    :param previous: the standing before.
    :param standing: the new standing.
    :param reason: short name of the rule.
    :param distrust: the target's distrust.
    :param median: median distrust of the targets that are not ejected.
    :param targets: number of targets that were compared.
    :param status_age_s: age of the target's status in seconds.
    :param ejections: ejections of the target that count.
    :param ejection_s: seconds until the end of the ejection that begins, else 0.
    """

    ip: bytes
    previous: Standing
    standing: Standing
    reason: str
    distrust: int
    median: int
    targets: int
    status_age_s: float
    ejections: int
    ejection_s: float


class _Record(Struct):
    """Standing of a target. Times are monotonic, in seconds.

    :param process: process of its sidecar.
    :param standing: how it is treated.
    :param since: start of the standing.
    :param until: end of the last ejection.
    :param doubted_at: last time at which a suspicion was confirmed.
    :param severe_since: since when there has been reason for an ejection, None without.
    :param suspicions: suspicions that count.
    :param ejections: ejections that count for the duration of the next one.
    :param trial_flows: trial flows that may still be sent.
    :param tried_at: time of the last trial flow.
    :param compared_at: time of the last comparison.
    """

    process: int
    standing: Standing = Standing.HEALTHY
    since: float = -inf
    until: float = -inf
    doubted_at: float = -inf
    severe_since: float | None = None
    suspicions: int = 0
    ejections: int = 0
    trial_flows: int = 0
    tried_at: float = 0.0
    compared_at: float = 0.0


class _Comparison:
    """The targets of a service at one time."""

    def __init__(self, peers: Sequence[SidecarPeer], barred: set[bytes], now: float):
        self.now = now
        self.peers = sorted(peers, key=_distrust, reverse=True)
        self.max_ejected = len(peers) // EJECTION_DIVISOR
        self.oldest_report = min((peer.last_seen for peer in peers), default=now)
        others = [_distrust(peer) for peer in self.peers if peer.ip not in barred]
        self.median = others[len(others) // 2] if others else 0
        self.is_widespread = self.median >= WIDESPREAD_DISTRUST
        times = [
            p.status.service_time_ms for p in peers if p.status.service_time_ms > 0
        ]
        times.sort()
        self._least_time_ms = (
            times[len(times) // EJECTION_DIVISOR] / IMPLAUSIBLE_SPEED if times else 0.0
        )

    def excess(self, peer: SidecarPeer) -> int:
        """Return how much more a target is distrusted than the median."""
        if self.is_widespread:
            return 0
        excess = _distrust(peer) - self.median
        if 0 < peer.status.service_time_ms < self._least_time_ms:
            return max(excess, SUSPICION_EXCESS)
        return excess


class OutlierDetection:
    """The standings of the targets of one service.

    :param local_ip: packed IPv4 address of this entry instance.
    """

    def __init__(self, local_ip: bytes) -> None:
        self._local_hash = rendezvous_hash(local_ip)
        # Targets that are not healthy, or were ejected recently.
        self._records: dict[bytes, _Record] = {}
        self._changes: list[StandingChange] = []

    def standing(self, ip: bytes) -> Standing:
        """Return the standing of a target."""
        record = self._records.get(ip)
        return record.standing if record is not None else Standing.HEALTHY

    def with_standing(self, *standings: Standing) -> set[bytes]:
        """Return the addresses of the targets with one of these standings."""
        return {ip for ip, r in self._records.items() if r.standing in standings}

    def take_trial(self, accepting: Sequence[SidecarPeer], now: float) -> bytes | None:
        """Return a target that the next flow is to be sent to on trial, or None."""
        for peer in accepting:
            record = self._records.get(peer.ip)
            if record is not None and record.trial_flows > 0:
                record.trial_flows -= 1
                record.tried_at = now
                return peer.ip
        return None

    def update(
        self, accepting: Sequence[SidecarPeer], entries: int, now: float
    ) -> list[StandingChange]:
        """Compare the targets of the service, and return what changed.

        :param accepting: the sidecars that accept flows of the service.
        :param entries: number of entry instances.
        """
        self._changes = []
        comparison = _Comparison(accepting, self.with_standing(*BARRED), now)
        for peer in comparison.peers:
            record = self._current_record(peer)
            if record is None and comparison.excess(peer) < SUSPICION_EXCESS:
                continue
            if record is None:
                record = self._records[peer.ip] = _Record(peer.status.process)
            record.compared_at = now
            self._update_target(peer, record, comparison, entries)
        self._restore_surplus(comparison)
        for ip, record in list(self._records.items()):
            if _is_forgotten(record, now):
                del self._records[ip]
        return self._changes

    def _current_record(self, peer: SidecarPeer) -> _Record | None:
        """Return the record of a target, None if another one has its address now."""
        record = self._records.get(peer.ip)
        if record is None or record.process == peer.status.process:
            return record
        if peer.status.started_anew:
            del self._records[peer.ip]
            return None
        record.process = peer.status.process
        return record

    def _update_target(
        self, peer: SidecarPeer, record: _Record, comparison: _Comparison, entries: int
    ) -> None:
        excess, now = comparison.excess(peer), comparison.now
        if record.standing is Standing.HEALTHY:
            if excess >= SUSPICION_EXCESS:
                record.suspicions += 1
                record.doubted_at = now
                record.severe_since = None
                self._set(peer, record, Standing.SUSPECTED, "outlier", comparison)
        elif record.standing is Standing.SUSPECTED:
            self._update_suspected(peer, record, comparison)
        elif record.standing is Standing.EJECTED:
            if now >= record.until and excess >= SUSPICION_EXCESS:
                # The evidence is new: another entry instance has tried the target.
                self._eject(peer, record, "relapse", comparison)
            elif now >= record.until:
                record.trial_flows = ceil(TRIAL_FLOWS / max(1, entries))
                self._set(peer, record, Standing.TRIAL, "ejection-ended", comparison)
        elif excess >= EJECTION_EXCESS and peer.last_seen > record.since:
            self._eject(peer, record, "relapse", comparison)
        elif (
            record.trial_flows == 0 and peer.last_seen >= record.tried_at + TRIAL_S
        ) or now - record.since > MAX_TRIAL_S:
            if excess < SUSPICION_EXCESS:
                self._set(peer, record, Standing.HEALTHY, "trial-passed", comparison)
            else:
                self._eject(peer, record, "relapse", comparison)

    def _update_suspected(
        self, peer: SidecarPeer, record: _Record, comparison: _Comparison
    ) -> None:
        excess, now = comparison.excess(peer), comparison.now
        lasts = record.suspicions > 1 or now - record.since >= LASTING_SUSPICION_S
        reason = "outlier" if excess >= EJECTION_EXCESS else "lasting-suspicion"
        if excess < (SUSPICION_EXCESS if lasts else EJECTION_EXCESS):
            record.severe_since = None
        elif record.severe_since is None:
            record.severe_since = now
        if excess < TRUST_EXCESS:
            spread_s = TRUST_SPREAD_S * self._draw(peer.ip, record.suspicions)
            if comparison.is_widespread or now - record.doubted_at >= spread_s:
                self._set(peer, record, Standing.HEALTHY, "recovered", comparison)
            return
        record.doubted_at = now
        if (
            record.severe_since is not None
            and comparison.oldest_report >= record.severe_since + SUSPICION_S
            and self._count_barred(comparison) < comparison.max_ejected
        ):
            self._eject(peer, record, reason, comparison)

    def _eject(
        self, peer: SidecarPeer, record: _Record, reason: str, comparison: _Comparison
    ) -> None:
        ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
        ejection_s *= 1 + TRIAL_SPREAD * self._draw(peer.ip, record.ejections)
        record.until = comparison.now + ejection_s
        record.ejections += 1
        record.trial_flows = 0
        self._set(peer, record, Standing.EJECTED, reason, comparison)

    def _draw(self, ip: bytes, occasion: int) -> float:
        """Return a number from 0 to 1 that differs between the entry instances."""
        key = rendezvous_hash(ip + occasion.to_bytes(4, "big"))
        return rendezvous_draws(key, [self._local_hash])[0]

    def _count_barred(self, comparison: _Comparison) -> int:
        return sum(self.standing(peer.ip) in BARRED for peer in comparison.peers)

    def _restore_surplus(self, comparison: _Comparison) -> None:
        """Let targets back that the service can't spare, the least distrusted first."""
        barred = [p for p in comparison.peers if self.standing(p.ip) in BARRED]
        widespread = comparison.is_widespread
        allowed = 0 if widespread else comparison.max_ejected
        reason = "widespread" if widespread else "needed"
        for peer in barred[allowed:]:
            record = self._records[peer.ip]
            record.trial_flows = 0
            record.severe_since = None
            self._set(peer, record, Standing.SUSPECTED, reason, comparison)

    def _set(
        self,
        peer: SidecarPeer,
        record: _Record,
        standing: Standing,
        reason: str,
        comparison: _Comparison,
    ) -> None:
        previous = record.standing
        record.standing, record.since = standing, comparison.now
        self._changes.append(
            StandingChange(
                peer.ip,
                previous,
                standing,
                reason,
                _distrust(peer),
                comparison.median,
                len(comparison.peers),
                comparison.now - peer.last_seen,
                record.ejections,
                max(0.0, record.until - comparison.now),
            )
        )


def _distrust(peer: SidecarPeer) -> int:
    return min(MAX_DISTRUST, max(0, peer.status.distrust))


def _is_forgotten(record: _Record, now: float) -> bool:
    """Whether nothing about a target counts any longer."""
    if now - record.compared_at > MAX_EJECTION_S:
        return True
    if record.standing is not Standing.HEALTHY:
        return False
    memory_s = MAX_EJECTION_S if record.ejections else SUSPICION_MEMORY_S
    return now - record.since > memory_s
