"""Records of members that were forgotten, or down before they were known."""

from cranberryhold.clock import Clock
from cranberryhold.membership.members import Member


class Tombstones:
    """Last records of members that are gone, so that older ones have no effect.

    :param clock: clock in seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, tuple[Member, float]] = {}

    def add(self, member: Member) -> None:
        """Remember the last record of a member."""
        self._records[member.node_id] = (member, self._clock.monotonic())

    def get(self, node_id: str) -> Member | None:
        """Return the last record of a member, or None."""
        entry = self._records.get(node_id)
        return entry[0] if entry is not None else None

    def discard(self, node_id: str) -> None:
        """Forget the last record of a member that is known again."""
        self._records.pop(node_id, None)

    def covers(self, member: Member) -> bool:
        """Whether a record is no newer than the last one of its member."""
        last = self.get(member.node_id)
        return last is not None and not member.supersedes(last)

    def remove_expired(self, expiry: float) -> None:
        """Remove the records that were added at a monotonic time or before."""
        for node_id, (_, since) in list(self._records.items()):
            if since <= expiry:
                del self._records[node_id]
