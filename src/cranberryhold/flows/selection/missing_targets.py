"""Knows for how long a service has had no accepting target, without any I/O.

An opening without a target is reset only if that is certain, so that its caller does
not use up an attempt because of what this process has not heard yet. Everything else
counts as unsure: a process that has just started or was paused, a sidecar that is
silent, listed only, restarting or without a heartbeat of its target.
"""

from cranberryhold.flows.envelope import MAX_CANDIDATES
from cranberryhold.flows.peer_messages import SidecarStatus
from cranberryhold.flows.peers import Peers
from cranberryhold.flows.target_state import UNKNOWN_SERVICE

# Callers of a service whose targets restart one after the other wait for this long.
NO_TARGET_S = 3.0
# Without a status for longer, this process was paused or cut off. Sidecars of other
# zones send one every two seconds.
MAX_STATUS_GAP_S = 2.5


class MissingTargets:
    """The times at which the services last had an accepting target.

    :param peers: known members.
    :param now: monotonic time in seconds.
    """

    def __init__(self, peers: Peers, now: float) -> None:
        self._peers = peers
        self._observed_since = now
        self._heard_at = now
        self._accepting_at: dict[bytes, float] = {}

    def record_status(self, ip: bytes, status: SidecarStatus, now: float) -> None:
        """Record a status of a sidecar before it replaces the last one."""
        if now - self._heard_at > MAX_STATUS_GAP_S:
            self._observed_since = now
        self._heard_at = now
        if status.accepts:
            self._accepting_at[status.service] = now
        previous = self._peers.sidecars.get(ip)
        if previous is not None and previous.status.accepts:
            self._accepting_at[previous.status.service] = now

    def lacking_s(self, service: bytes, now: float) -> float | None:
        """Return the seconds for which a service has certainly had no target.

        None if that is not certain, or not for long enough.
        """
        lacking_s = now - self._accepting_at.get(service, self._observed_since)
        observed_s = now - self._observed_since
        if min(lacking_s, observed_s) <= NO_TARGET_S or not self._is_certain(now):
            return None
        return min(lacking_s, observed_s)

    def _is_certain(self, now: float) -> bool:
        if now - self._heard_at > MAX_STATUS_GAP_S or any(
            peer.restarting or peer.status.service == UNKNOWN_SERVICE
            for peer in self._peers.sidecars.values()
        ):
            return False
        known = self._peers.candidates_for_search(b"", [], MAX_CANDIDATES)
        return self._peers.search_is_complete(len(known))
