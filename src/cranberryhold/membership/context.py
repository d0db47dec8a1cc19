"""What probing and anti-entropy use of the membership that they are part of."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from msgspec import Raw

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock
from cranberryhold.membership.members import LivePeers, Member, MemberTable
from cranberryhold.membership.messages import Datagram, Heartbeat, Record


@dataclass(slots=True)
class Counters:
    """Counts of faults on the control path since the start."""

    malformed: int = 0
    duplicate_node_ids: int = 0
    refutations: int = 0
    declared_down: int = 0


class MembershipContext(Protocol):
    """The own record of a process, its view of the others, and its link.

    :ivar local_member: present record of this process.
    :ivar live_peers: members that are not down, without this process.
    :ivar heartbeat: returns the heartbeat to send along with probes and answers.
    :ivar on_heartbeat: called with the sender of each heartbeat.
    """

    local_member: Member
    clock: Clock
    rng: Random
    table: MemberTable
    live_peers: LivePeers
    counters: Counters
    heartbeat: Callable[[], Heartbeat]
    on_heartbeat: Callable[[Address, Heartbeat], None]

    def send(self, message: Datagram, to: Address) -> None:
        """Send a datagram at once and account for its bytes."""

    def try_send(self, message: Datagram, to: Address) -> bool:
        """Send a datagram unless the byte budget is used up."""

    def piggyback(self, *required: Member) -> list[Raw]:
        """Return records to send along with a probe or an answer.

        :param required: records that are always included.
        """

    def merge(self, member: Member, *, spread: bool = True) -> bool:
        """Merge one record; return whether it was new."""

    def merge_records(
        self, records: Iterable[Record], *, spread: bool = True
    ) -> list[Member]:
        """Merge received records.

        :param spread: whether to gossip the records that are new.
        :return: stored records that are newer than the received ones.
        """
