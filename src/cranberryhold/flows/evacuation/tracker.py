"""Keeps the evacuations that a daemon knows, and reports what becomes of them."""

from __future__ import annotations

from math import inf

from cranberryhold.flows.evacuation.state import Evacuations, EvacuationState
from cranberryhold.flows.leased_store import StorePosition
from cranberryhold.flows.peer_messages import EvacuationNotice
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.structs import replace

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

# Bytes of the names in a notice, so that a status fits into one datagram of 1200 bytes.
MAX_NAME_BYTES = 800


class EvacuationTracker:
    """The evacuations that one daemon knows.

    Without a limit, the deployment uses no evacuations, and all of this does nothing.

    :param zone: data centre of the daemon.
    :param limit_s: seconds within which an evacuation must be in effect, or None.
    :param telemetry: log and counters.
    :param monotonic: clock in seconds.
    :param on_change: called after the data centres that get no new flows have changed.
    :param stale_after_s: age in seconds above which the state counts as stale, at least
        the limit.
    """

    def __init__(
        self,
        zone: str,
        limit_s: float | None,
        telemetry: Telemetry,
        *,
        monotonic: Callable[[], float],
        on_change: Callable[[], None],
        stale_after_s: float = 0.0,
    ) -> None:
        self._zone = zone
        self._enabled = limit_s is not None
        self._stale_after_s = max(limit_s or 0.0, stale_after_s)
        self._state = EvacuationState(limit_s or 0.0)
        self._telemetry = telemetry
        self._monotonic = monotonic
        self._on_change = on_change
        self._stale = False
        self._unknown: set[str] = set()

    @property
    def enabled(self) -> bool:
        """Whether the deployment uses evacuations."""
        return self._enabled

    @property
    def state(self) -> EvacuationState:
        """The newest known state."""
        return self._state

    def record_stored(
        self, zones: frozenset[str], position: StorePosition, as_of: float
    ) -> None:
        """Record all evacuations that the store holds.

        :param as_of: time at which it held them at the position.
        """
        if not self._enabled:
            return
        before, now = self._state.zones, self._monotonic()
        if self._state.adopt(Evacuations(position, zones), as_of, now=now):
            self._report_change(before, "store")

    def record_notice(self, notice: EvacuationNotice | None, source: str) -> None:
        """Record the state that another member reports.

        :param source: address of the member, for the log.
        """
        if not self._enabled or notice is None:
            return
        before, now = self._state.zones, self._monotonic()
        if self._state.adopt_notice(notice, now=now):
            self._report_change(before, source)

    def check(self) -> None:
        """End what has outlasted a restore for long enough, and report a stale state.

        To be called regularly.
        """
        if not self._enabled:
            return
        before, now = self._state.zones, self._monotonic()
        if self._state.expire(now):
            self._report_change(before, "restore-limit")
        age_s = self._state.age_s(now)
        # Before the first news, the daemon has no state that could be stale.
        is_stale = self._stale_after_s < age_s < inf
        if is_stale and not self._stale:
            self._telemetry.count("evacuations_stale")
            self._telemetry.event(
                "evacuation-stale",
                level="WARNING",
                zones=",".join(sorted(self._state.zones)),
                limit_s=self._stale_after_s,
                **self._origin(),
            )
        self._stale = is_stale

    def check_names(self, known: Collection[str]) -> None:
        """Report evacuations that name no data centre, each one once.

        :param known: data centres of all running members.
        """
        unknown = self._state.zones.difference(known)
        for zone in sorted(unknown - self._unknown):
            self._telemetry.event(
                "evacuation-unknown-zone",
                level="WARNING",
                zone=zone,
                known=",".join(sorted(known)),
                **self._origin(),
            )
        self._unknown = set(unknown)

    def notice(
        self, known_zones: Callable[[], Collection[str]]
    ) -> EvacuationNotice | None:
        """Return the state for other members, None if there is nothing to send.

        :param known_zones: returns the data centres of running members. If not all
            names fit, others are left out first; they have no effect.
        """
        if not self._enabled:
            return None
        notice = self._state.notice(self._monotonic())
        if notice is None or _fits((*notice.zones, *notice.former_zones)):
            return notice
        known = known_zones()
        return replace(
            notice,
            zones=_shorten(notice.zones, known),
            former_zones=_shorten(notice.former_zones, known),
        )

    def gauges(self) -> Mapping[str, float]:
        """Return the gauges for the metrics page."""
        if not self._enabled:
            return {}
        return {
            "evacuated": float(self._state.covers(self._zone)),
            "evacuated_zones": len(self._state.zones),
            "evacuation_age_seconds": self._state.age_s(self._monotonic()),
        }

    def snapshot(self) -> dict[str, object] | None:
        """Return the state as JSON values, None if the deployment uses no evacuations.

        The position and the age are null before the first news.
        """
        if not self._enabled:
            return None
        return {
            **self._origin(),
            "stale": self._stale,
            "evacuated": self._state.covers(self._zone),
            "zones": sorted(self._state.zones),
            "former_zones": sorted(self._state.former_zones),
        }

    def _report_change(self, before: frozenset[str], source: str) -> None:
        zones = self._state.zones
        self._telemetry.count("evacuation_changes")
        self._telemetry.event(
            "evacuation-changed",
            zones=",".join(sorted(zones)),
            begun=",".join(sorted(zones - before)),
            ended=",".join(sorted(before - zones)),
            former=",".join(sorted(self._state.former_zones)),
            source=source,
            **self._origin(),
        )
        self._on_change()

    def _origin(self) -> dict[str, object]:
        newest = self._state.newest
        if newest is None:
            return {"epoch": None, "revision": None, "age_s": None}
        return {
            "epoch": newest.version.epoch,
            "revision": newest.version.revision,
            "age_s": round(self._state.age_s(self._monotonic()), 3),
        }


def _fits(names: Collection[str], limit: int = MAX_NAME_BYTES) -> bool:
    return sum(len(name.encode()) for name in names) <= limit


def _shorten(names: tuple[str, ...], known: Collection[str]) -> tuple[str, ...]:
    """Return the names that fit half of the space, those of data centres first."""
    chosen: list[str] = []
    for name in sorted(names, key=lambda name: (name not in known, name)):
        if _fits((*chosen, name), MAX_NAME_BYTES // 2):
            chosen.append(name)
    return tuple(sorted(chosen))
