"""Sends the status of the local member to the others: at once or in rounds."""

from __future__ import annotations

from cranberryhold.flows.member import Member
from cranberryhold.flows.peer_messages import PeerMessage
from cranberryhold.flows.status_schedule import StatusSchedule

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class StatusSender:
    """Sends statuses that each state when the receiver is sent the next one.

    :param member: the local member.
    :param schedule: receivers and intervals of the regular statuses.
    :param build_status: returns the present status, given the seconds until the next
        one for the same receiver.
    """

    def __init__(
        self,
        member: Member,
        schedule: StatusSchedule,
        build_status: Callable[[float], PeerMessage],
    ) -> None:
        self._member = member
        self._schedule = schedule
        self._build_status = build_status

    def send_to(self, ips: Iterable[bytes]) -> None:
        """Send the status at once to members whose zone may be unknown."""
        self._member.send_all(
            ips, self._build_status(self._schedule.longest_interval_s)
        )

    def send_to_entries(self) -> None:
        """Send the status at once to all entry instances."""
        peers = self._member.peers
        self._member.send_all(
            peers.local_entry_ips(), self._build_status(self._schedule.interval_s)
        )
        self.send_to(peers.remote_entry_ips())

    def send_round(self, others: Iterable[bytes] = ()) -> float:
        """Send the status to the entry instances whose turn it is.

        :param others: members that take turns with the remote entry instances.
        :return: seconds until the next round is due.
        """
        peers = self._member.peers
        turn = self._schedule.next_round(
            peers.local_entry_ips(), [*peers.remote_entry_ips(), *others]
        )
        for ips, interval_s in (
            (turn.local, turn.interval_s),
            (turn.remote, turn.remote_interval_s),
        ):
            self._member.send_regular_status(ips, self._build_status(interval_s))
        return turn.interval_s
