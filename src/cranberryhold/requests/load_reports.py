"""Exchange of load reports among the targets of one service.

Targets do not report their load to entry instances: 6,500 targets that report to 930
of them once a second would cost each 390 KB/s. A service has about ten targets, so
reports among them cost some hundred bytes per second.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock
from cranberryhold.membership.members import Member, MemberState
from cranberryhold.membership.membership import Membership
from cranberryhold.membership.messages import Datagram, ServiceLoad
from cranberryhold.requests.admission import Load

REPORT_INTERVAL_S = 2.0
# Bounds the cost in a service with many targets; on average, each target also
# receives reports from as many peers.
PEERS_PER_ROUND = 16
REPORT_LIFETIME_S = 6.0


@dataclass(frozen=True, slots=True)
class _LoadReport:
    connections: int
    received_at: float


class LoadReporter:
    """Sends the load of this target to its peers and stores their reports.

    :param membership: the running membership, whose link carries the datagrams.
    :param load: returns the number of open connections and the load of the slots.
    :param record_load: called with the node id of a peer and the load of its slots.
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
        self._record_load = record_load
        self._clock = clock
        self._rng = rng
        self._reports: dict[str, _LoadReport] = {}
        membership.register_handler(ServiceLoad, self._receive)

    def connections(self) -> dict[str, int]:
        """Return the number of open connections of each peer with a recent report."""
        oldest = self._clock.monotonic() - REPORT_LIFETIME_S
        return {
            node_id: report.connections
            for node_id, report in self._reports.items()
            if report.received_at >= oldest
        }

    async def run(self) -> None:
        """Send reports about every two seconds, until cancelled."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL_S * self._rng.uniform(0.9, 1.1))
            self._send_reports()

    def _send_reports(self) -> None:
        local_member = self._membership.local_member
        connections, load = self._load()
        message = ServiceLoad(
            local_member.node_id, connections, load.running, load.waiting, load.slots
        )
        peers = self._peers()
        self._reports = {
            m.node_id: report for m in peers if (report := self._reports.get(m.node_id))
        }
        for peer in self._rng.sample(peers, min(PEERS_PER_ROUND, len(peers))):
            self._membership.try_send(message, peer.control_address)

    def _peers(self) -> list[Member]:
        local_member = self._membership.local_member
        return [
            m
            for m in self._membership.table.of_service(local_member.service)
            if m.node_id != local_member.node_id and m.state is not MemberState.DOWN
        ]

    def _receive(self, message: Datagram, sender: Address) -> None:
        peer = self._membership.table.get(message.sender)
        if peer is None or peer.service != self._membership.local_member.service:
            return
        self._reports[message.sender] = _LoadReport(
            message.connections, self._clock.monotonic()
        )
        load = Load(message.running, message.waiting, message.slots)
        self._record_load(message.sender, load)
