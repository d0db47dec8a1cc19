"""Last known states of other members."""

from cranberryhold.flows.peer_messages import EntryStatus, SidecarStatus
from cranberryhold.flows.status_schedule import silence_timeout_s
from cranberryhold.flows.target_state import UNKNOWN_SERVICE
from cranberryhold.structs import Struct

# A target in another zone is preferred only if its load is lower by this factor.
REMOTE_COST_FACTOR = 1.3


class SidecarPeer(Struct):
    """Last known state of a sidecar and its target.

    :param ip: packed IPv4 address.
    :param status: its last status.
    :param last_seen: monotonic time of that status, in seconds.
    :param offered: number of flows offered to it since then.
    :param restarting: whether its process has ended and a successor is expected.
    :param confirmed: the last status that rests on a heartbeat of the target, possibly
        of an earlier process of the sidecar.
    :param started_anew: whether this process reported that it has started together with
        its target.
    """

    ip: bytes
    status: SidecarStatus
    last_seen: float
    offered: int = 0
    restarting: bool = False
    confirmed: SidecarStatus | None = None
    started_anew: bool = False

    def accepts_flows_of(self, service: bytes) -> bool:
        """Whether its target takes new flows of a service.

        A restarted sidecar presumes that a target which listens is ready. That does
        not count if the target was draining before.
        """
        status = self.status
        if status.service != service or not status.accepts:
            return False
        return not status.presumed or self.confirmed is None or self.confirmed.accepts

    def silence_timeout_s(self) -> float:
        """Return the seconds without a status after which it counts as silent."""
        return silence_timeout_s(self.status.interval_ms / 1000)

    def is_likely_holder(self, services: list[bytes]) -> bool:
        """Whether its target is of one of these services, or of an unknown one."""
        return self.status.service in (*services, UNKNOWN_SERVICE)

    def has_free_slot(self) -> bool:
        """Whether its target could process one more request, as far as is known."""
        status = self.status
        return (
            not status.waiting
            and not self.is_cold_room_used_up()
            and status.running + self.offered < status.slots
        )

    def is_cold_room_used_up(self) -> bool:
        """Whether its target is cold and has been offered all that it may get."""
        room = self.status.cold_room
        return room is not None and self.offered >= room

    def cost(self, zone: str) -> tuple[bool, bool, bool, float]:
        """Return the cost of placing a new flow here; the lowest is best.

        Targets whose openings are limited because they are cold come after warm ones
        with a free slot, and last of all once their room is used up.
        """
        status = self.status
        slots = max(1, status.slots // 2 if status.cold else status.slots)
        busy = status.running + self.offered >= slots
        load = (status.flows + self.offered + 1) / slots
        factor = 1.0 if status.zone == zone else REMOTE_COST_FACTOR
        is_limited = status.cold_room is not None
        return self.is_cold_room_used_up(), busy, is_limited, load * factor


class EntryPeer(Struct):
    """Last known state of an entry instance.

    :param ip: packed IPv4 address.
    :param status: its last status.
    :param last_seen: monotonic time of that status, in seconds.
    """

    ip: bytes
    status: EntryStatus
    last_seen: float


class Departure(Struct, frozen=True):
    """End of a process that has announced it.

    :param process: random number of the process.
    :param zone: its data centre.
    :param at: monotonic time of the announcement, in seconds.
    """

    process: int
    zone: str
    at: float


class Rotation(Struct, frozen=True):
    """Other entry instances of the local zone, by readiness for the fabric.

    :param ready: number of instances that take packets.
    :param absent: number of instances that start, restart or are silent.
    """

    ready: int
    absent: int

    def tolerates_withdrawal(self) -> bool:
        """Whether the zone can spare this instance in addition to the absent ones.

        If some but fewer than half of a zone's instances are ready, the fabric sends
        packets to all of them, including those that do not run.
        """
        return self.ready == 0 or self.keeps_half()

    def keeps_half(self) -> bool:
        """Whether half of the zone's instances are ready without this one."""
        total = self.ready + self.absent + 1
        return self.ready > 0 and 2 * self.ready >= total
