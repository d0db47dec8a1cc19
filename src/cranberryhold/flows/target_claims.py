"""Targets that have to keep sending heartbeats until they are believed."""

from msgspec import Struct

from cranberryhold.flows.heartbeat import Heartbeat

# Heartbeats in order after which a target that was not heard before replaces a silent
# one. One may be a late one of an incarnation that a former process knew.
UNKNOWN_TARGET_HEARTBEATS = 2
# The same for a target that was replaced already, whose numbers went back, or whose
# service is not expected; its late heartbeats may arrive together.
KNOWN_TARGET_HEARTBEATS = 3
KNOWN_TARGET_INTERVALS = 1.0


class _Claim(Struct):
    """Heartbeats in order of one sender.

    :param last: the last of them.
    :param count: their number.
    :param since: time of the first one in seconds.
    """

    last: Heartbeat
    count: int
    since: float


class TargetClaim:
    """The newest heartbeats in order that have not been believed.

    A heartbeat is added each time that it is asked about, but only once.
    """

    def __init__(self) -> None:
        self._claim: _Claim | None = None

    def clear(self) -> None:
        """Forget the heartbeats, as another one was believed."""
        self._claim = None

    def is_repeated(self, heartbeat: Heartbeat, now: float) -> bool:
        """Whether its sender has sent one before."""
        return self._extend(heartbeat, now).count >= UNKNOWN_TARGET_HEARTBEATS

    def is_persistent(
        self, heartbeat: Heartbeat, now: float, interval_s: float
    ) -> bool:
        """Whether its sender has kept sending heartbeats for a while.

        :param interval_s: seconds between heartbeats.
        """
        claim = self._extend(heartbeat, now)
        spread_s = KNOWN_TARGET_INTERVALS * interval_s
        return claim.count >= KNOWN_TARGET_HEARTBEATS and now - claim.since >= spread_s

    def _extend(self, heartbeat: Heartbeat, now: float) -> _Claim:
        claim = self._claim
        if claim is not None and claim.last == heartbeat:
            return claim
        if (
            claim is not None
            and claim.last.incarnation == heartbeat.incarnation
            and claim.last.sequence < heartbeat.sequence
        ):
            self._claim = _Claim(heartbeat, claim.count + 1, claim.since)
        else:
            self._claim = _Claim(heartbeat, 1, now)
        return self._claim
