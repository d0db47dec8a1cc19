"""Targets of one service tell each other directly how busy they are.

Load is not spread to entry instances: 6,500 targets that reported to 930 of them
once a second would cost each 390 KB/s. A service has about ten targets, so what
they tell each other costs some hundred bytes a second.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from cranberryhold.addresses import Address
from cranberryhold.admission import Load
from cranberryhold.clock import Clock
from cranberryhold.members import Member, MemberState
from cranberryhold.membership import Membership
from cranberryhold.messages import Datagram, ServiceLoad

REPORT_INTERVAL_S = 2.0
# Bounds the cost in a service of many targets; each still hears from as many.
PEERS_PER_ROUND = 16
REPORT_LIFETIME_S = 6.0


@dataclass(frozen=True, slots=True)
class _Heard:
    connections: int
    at: float


class LoadReporter:
    """Sends the own load to the peers, and keeps what they send.

    :param membership: the running membership, whose link carries the datagrams.
    :param load: returns the own open connections and the load of the slots.
    :param note_load: takes what a peer said of its slots.
    :param clock: source of time.
    :param rng: chooses peers where there are many.
    """

    def __init__(
        self,
        membership: Membership,
        load: Callable[[], tuple[int, Load]],
        record_load: Callable[[str, Load], None],
        *,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._membership = membership
        self._load = load
        self._note_load = record_load
        self._clock = clock
        self._rng = rng
        self._heard: dict[str, _Heard] = {}
        membership.register_handler(ServiceLoad, self._take)

    def connections(self) -> dict[str, int]:
        """Return the open connections of the peers that were heard lately."""
        oldest = self._clock.monotonic() - REPORT_LIFETIME_S
        return {n: h.connections for n, h in self._heard.items() if h.at >= oldest}

    async def run(self) -> None:
        """Tell the peers every two seconds, until cancelled."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL_S * self._rng.uniform(0.9, 1.1))
            self._tell()

    def _tell(self) -> None:
        me = self._membership.local_member
        connections, load = self._load()
        message = ServiceLoad(
            me.node_id, connections, load.running, load.waiting, load.slots
        )
        peers = self._peers()
        self._heard = {m.node_id: h for m in peers if (h := self._heard.get(m.node_id))}
        for peer in self._rng.sample(peers, min(PEERS_PER_ROUND, len(peers))):
            self._membership.try_send(message, peer.control_address)

    def _peers(self) -> list[Member]:
        me = self._membership.local_member
        return [
            m
            for m in self._membership.table.of_service(me.service)
            if m.node_id != me.node_id and m.state is not MemberState.DOWN
        ]

    def _take(self, message: Datagram, sender: Address) -> None:
        peer = self._membership.table.get(message.sender)
        if peer is None or peer.service != self._membership.local_member.service:
            return
        self._heard[message.sender] = _Heard(
            message.connections, self._clock.monotonic()
        )
        load = Load(message.running, message.waiting, message.slots)
        self._note_load(message.sender, load)
