"""Which data centres are evacuated, without any I/O.

The state has the position of the store that it was read at as its version, so that
members that hear it in any order agree on the newest one.
"""

from __future__ import annotations

from math import inf

from cranberryhold.flows.leased_store import StorePosition
from cranberryhold.flows.peer_messages import EvacuationNotice
from cranberryhold.flows.peer_records import SidecarPeer
from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

# A caller gives up an attempt to open a flow after 1.4 s; the rest covers the network.
ATTEMPT_RETENTION_S = 1.5
MS_PER_S = 1000


class Evacuations(Struct, frozen=True):
    """The evacuated data centres as of a position of the store.

    :param version: position of the store.
    :param zones: names of the evacuated data centres.
    """

    version: StorePosition
    zones: frozenset[str]


class EvacuationState:
    """The newest known evacuations. Times are monotonic, in seconds.

    A store that was restored from an older copy has lost the evacuations since then
    until the operator writes them again. Those in effect before therefore stay in
    effect for a limited time.

    >>> state = EvacuationState(limit_s=5.0)
    >>> state.adopt(Evacuations(StorePosition(1, 10), frozenset({"a"})), 0.0, now=0.0)
    True
    >>> state.adopt(Evacuations(StorePosition(2, 4), frozenset()), 1.0, now=1.0)
    False
    >>> state.covers("a"), state.expire(now=6.0), state.covers("a")
    (True, True, False)

    :param limit_s: seconds for which evacuations outlast a restore of the store; at
        most the time within which the operator's writes must be in effect.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._newest: Evacuations | None = None
        self._confirmed_at = -inf
        # Time at which the store's present epoch became known.
        self._epoch_since = -inf
        self._former: frozenset[str] = frozenset()
        self._former_until = -inf
        self._zones: frozenset[str] = frozenset()
        self._changed_at = -inf

    @property
    def newest(self) -> Evacuations | None:
        """What the store held at the newest known position, None if unknown."""
        return self._newest

    @property
    def zones(self) -> frozenset[str]:
        """All data centres that get no new flows."""
        return self._zones

    @property
    def former_zones(self) -> frozenset[str]:
        """Data centres whose evacuation has outlasted a restore of the store."""
        return self._former

    @property
    def changed_at(self) -> float:
        """Time of the last change of the data centres that get no new flows."""
        return self._changed_at

    def covers(self, zone: str) -> bool:
        """Whether a data centre gets no new flows."""
        return zone in self._zones

    def age_s(self, now: float) -> float:
        """Return the seconds since the store confirmed the state, infinity if never."""
        return now - self._confirmed_at

    def log_fields(self, now: float) -> dict[str, float]:
        """Return the age for a log line, nothing if there is no state."""
        if self._newest is None:
            return {}
        return {"evacuation_age_s": round(self.age_s(now), 3)}

    def adopt(self, evacuations: Evacuations, as_of: float, *, now: float) -> bool:
        """Adopt what the store held, unless it is older than what is known.

        :param as_of: time at which the store held it.
        :return: whether the data centres that get no new flows have changed.
        """
        newest = self._newest
        version = evacuations.version
        if newest is not None and _order(version) < _order(newest.version):
            return False
        if newest is None or version.epoch > newest.version.epoch:
            self._enter_epoch(now)
        self._newest = evacuations
        self._confirmed_at = max(self._confirmed_at, as_of)
        return self._update(now)

    def adopt_notice(self, notice: EvacuationNotice, *, now: float) -> bool:
        """Adopt the state that another member knows, unless it is older.

        A notice of the same version only confirms it.

        :return: whether the data centres that get no new flows have changed.
        """
        as_of = min(now, now - notice.age_ms / MS_PER_S)
        version = StorePosition(notice.epoch, notice.revision)
        newest = self._newest
        if newest is not None and version == newest.version:
            self._confirmed_at = max(self._confirmed_at, as_of)
            changed = False
        else:
            found = Evacuations(version, frozenset(notice.zones))
            changed = self.adopt(found, as_of, now=now)
        return self._adopt_former(notice, now) or changed

    def expire(self, now: float) -> bool:
        """End what has outlasted a restore for long enough.

        :return: whether the data centres that get no new flows have changed.
        """
        if now < self._former_until or not self._former:
            return False
        self._former = frozenset()
        return self._update(now)

    def notice(self, now: float) -> EvacuationNotice | None:
        """Return the state for other members, None if nothing is known yet."""
        if self._newest is None:
            return None
        former_s = max(0.0, self._former_until - now) if self._former else 0.0
        return EvacuationNotice(
            self._newest.version.epoch,
            self._newest.version.revision,
            tuple(sorted(self._newest.zones)),
            int(max(0.0, self.age_s(now)) * MS_PER_S),
            tuple(sorted(self._former)) if former_s else (),
            int(former_s * MS_PER_S),
        )

    def _enter_epoch(self, now: float) -> None:
        """Keep the present evacuations for a while, as the store may have lost them."""
        self._epoch_since = now
        self._former = self._zones
        self._former_until = now + self._limit_s

    def _adopt_former(self, notice: EvacuationNotice, now: float) -> bool:
        """Adopt what outlasts a restore at another member.

        It never lasts longer than if this member had known it at the restore, however
        often members repeat it to each other.
        """
        newest = self._newest
        until = min(
            now + notice.former_ms / MS_PER_S, self._epoch_since + self._limit_s
        )
        is_present = newest is not None and notice.epoch == newest.version.epoch
        if not (notice.former_zones and is_present and until > now):
            return False
        if not self._former:
            self._former_until = until
        self._former |= frozenset(notice.former_zones)
        return self._update(now)

    def _update(self, now: float) -> bool:
        zones = self._former
        if self._newest is not None:
            zones |= self._newest.zones
        changed = zones != self._zones
        if changed:
            self._zones, self._changed_at = zones, now
        return changed


def _order(version: StorePosition) -> tuple[int, int]:
    return version.epoch, version.revision


def only_evacuated(
    peers: Iterable[SidecarPeer], service: bytes, zones: frozenset[str], now: float
) -> bool:
    """Whether a service has targets, and all of them are in evacuated data centres.

    The status of a target there does not tell whether it is ready. Targets elsewhere
    count even if they accept no flows now.

    :param peers: all known sidecars.
    :param service: tag of the service.
    :param zones: names of the evacuated data centres.
    :param now: monotonic time in seconds.
    """
    found = False
    for peer in peers:
        if peer.status.service != service:
            continue
        if peer.status.zone not in zones:
            return False
        found = found or now - peer.last_seen <= peer.silence_timeout_s()
    return found
