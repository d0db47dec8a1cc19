"""Joining of a member through contacts, and after a partition."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.membership.context import MembershipContext
from cranberryhold.membership.gossip import BUCKETS
from cranberryhold.membership.links import RpcClient
from cranberryhold.membership.members import Member
from cranberryhold.membership.messages import (
    MAX_RECORDS_BYTES,
    Join,
    Records,
    RecordsRequest,
    Welcome,
    encoded_record,
    record_of,
)

WELCOME_MEMBERS = 12
"""Members that an instance which joins is told of, as far as they fit a datagram."""

RECONNECT_INTERVAL_S = 5.0
"""Mean time between attempts to reach members that are down."""

FAST_RECONNECT_INTERVAL_S = 0.5
"""The same after a success, which shows that a partition has healed."""

ROUNDS_PER_CONTACT = 6
"""Every sixth reconnect round also sends a join to one of the contacts."""

JOIN_RETRY_S = (0.5, 5.0)
PULL_TIMEOUT_S = 3.0
PULL_ATTEMPTS = 3
BUCKETS_PER_PULL = 16


class Joiner:
    """Sends and answers joins, and probes members that are down.

    :param membership: the membership that this is a part of.
    :param contacts: control addresses to join through.
    :param rpc_client: used to pull the table when joining, or None.
    :param members_down: returns the node ids of the members that are down.
    :param is_reachable: probes a member.
    :ivar joined: set once another member is known.
    """

    def __init__(
        self,
        membership: MembershipContext,
        contacts: Sequence[Address],
        rpc_client: RpcClient | None,
        *,
        members_down: Callable[[], Sequence[str]],
        is_reachable: Callable[[Member], Awaitable[bool]],
    ) -> None:
        self.joined = asyncio.Event()
        self.handlers = {Join: self._on_join, Welcome: self._on_welcome}
        self._membership = membership
        self._contacts = contacts
        self._rpc_client = rpc_client
        self._members_down = members_down
        self._is_reachable = is_reachable

    async def bootstrap(self) -> None:
        """Join through the contacts until another member is known; pull its table."""
        delay_s, max_delay_s = JOIN_RETRY_S
        while self._contacts and not self.joined.is_set():
            for contact in self._contacts:
                self._send_join(contact)
            try:
                async with asyncio.timeout(
                    delay_s * (0.5 + self._membership.rng.random())
                ):
                    await self.joined.wait()
            except TimeoutError:
                delay_s = min(2 * delay_s, max_delay_s)
        if self._rpc_client is not None and self.joined.is_set():
            await self._pull_table(self._rpc_client)

    async def reconnect(self) -> None:
        """Probe members that are down and contacts, so that partitions heal."""
        membership = self._membership
        rounds, reached = 0, False
        while True:
            interval_s = FAST_RECONNECT_INTERVAL_S if reached else RECONNECT_INTERVAL_S
            await membership.clock.sleep(interval_s * (0.5 + membership.rng.random()))
            rounds, reached = rounds + 1, False
            if rounds % ROUNDS_PER_CONTACT == 0 and self._contacts:
                self._send_join(membership.rng.choice(self._contacts))
            if down := self._members_down():
                member = membership.table.get(membership.rng.choice(down))
                if member is not None:
                    reached = await self._is_reachable(member)

    async def _pull_table(self, rpc_client: RpcClient) -> None:
        """Pull all records, each part from another member to distribute the load."""
        membership = self._membership
        buckets = membership.rng.sample(range(BUCKETS), BUCKETS)
        for start in range(0, BUCKETS, BUCKETS_PER_PULL):
            request = RecordsRequest(buckets=buckets[start : start + BUCKETS_PER_PULL])
            for member in membership.live_peers.pick(membership.rng, PULL_ATTEMPTS):
                try:
                    answer = await rpc_client.call(
                        member.control_address, request, PULL_TIMEOUT_S
                    )
                except PeerError:
                    continue
                if isinstance(answer, Records):
                    membership.merge_records(answer.records, spread=False)
                    break

    def _send_join(self, contact: Address) -> None:
        self._membership.send(Join(record_of(self._membership.local_member)), contact)

    def _on_join(self, message: Join, sender: Address) -> None:
        membership = self._membership
        if message.record.node_id == membership.local_member.node_id:
            return
        newer = membership.merge_records([message.record])
        others = membership.live_peers.pick(membership.rng, WELCOME_MEMBERS)
        records = [
            encoded_record(member)
            for member in (membership.local_member, *newer, *others)
        ]
        while sum(map(len, records)) > MAX_RECORDS_BYTES:
            records.pop()
        membership.send(Welcome(records), sender)

    def _on_welcome(self, message: Welcome, sender: Address) -> None:
        self._membership.merge_records(message.updates, spread=self.joined.is_set())
