"""Evidence on which a process counts the members that it knows as all of them.

A list of members proves nothing by itself: a registration ends with its lease, the
store may drop it, and a member that can't reach the store has none. What counts is who
would know of a missing member, and whether that one has been heard.
"""

from __future__ import annotations

from math import inf

from cranberryhold.flows.peer_messages import PeerList
from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

# A member whose registration was lost notices it at the next renewal of its lease; it
# has registered again, and found the other registered members, by then.
MEMBER_DISCOVERY_S = 5.0


class _PartialList(Struct):
    """The parts of one list that a member has sent so far."""

    list_id: int
    parts: set[int]


class Discovery:
    """Decides whether every running member is among those that are known.

    One of these is enough:

    - All running members could find this process for ``MEMBER_DISCOVERY_S``. Each has
      sent a message by then.
    - An entry instance of which the same holds has sent all members that it knows.
    - The store has returned a list that contains every member that was heard, and all
      sidecars that were heard have started anew together with their targets. After
      such a loss of power, a member that is missing from the list has lost its flows
      as well. See :meth:`lists`.

    :param now: monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        # Time from which on the other members have been able to find this process.
        self._findable_since = now
        self._confirmed = False
        self._partial_lists: dict[bytes, _PartialList] = {}
        # Members in the complete lists that the store returned, None before the first.
        self._registered: set[bytes] | None = None

    def has_settled(self, now: float) -> bool:
        """Whether all running members could find this process for long enough."""
        return now - self._findable_since > MEMBER_DISCOVERY_S

    def knows_all(self, now: float) -> bool:
        """Whether all running members have been heard or named by one that has."""
        return self._confirmed or self.has_settled(now)

    def lists(self, ips: Iterable[bytes]) -> bool:
        """Whether the store returned a complete list that contains these members."""
        return self._registered is not None and self._registered.issuperset(ips)

    def record_registered(self, ips: Iterable[bytes]) -> None:
        """Record a complete list of the members that are registered in the store."""
        self._registered = {*(self._registered or ()), *ips}

    def record_peer_list(self, ip: bytes, message: PeerList) -> bool:
        """Record a part of the members that another member knows.

        :return: whether this part confirms that all members are known now.
        """
        if not message.complete or self._confirmed:
            return False
        partial = self._partial_lists.get(ip)
        if partial is None or partial.list_id != message.list_id:
            partial = self._partial_lists[ip] = _PartialList(message.list_id, set())
        partial.parts.add(message.part)
        self._confirmed = len(partial.parts) >= message.parts
        return self._confirmed

    def restart(self, now: float) -> None:
        """Record that members may have lost sight of this process until now."""
        self._forget_evidence()
        self._findable_since = now

    def suspend(self) -> None:
        """Record that members that start can't find this process until it resumes."""
        if self._findable_since != inf:
            self._forget_evidence()
            self._findable_since = inf

    def resume(self, now: float) -> None:
        """Record that members can find this process, and end a suspension."""
        if self._findable_since == inf:
            self._findable_since = now

    def _forget_evidence(self) -> None:
        self._confirmed = False
        self._partial_lists.clear()
        self._registered = None
