"""Cluster membership: the own record of a process, and its view of the others.

Failure detection follows SWIM with the local health of Lifeguard; see
:mod:`cranberryhold.membership.probing` for the probes and
:mod:`cranberryhold.membership.gossip` for the dissemination of updates. The clock, the
random generator, the link and the RPC client are arguments, so that the same code runs
in a daemon and in virtual time.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

from loguru import logger
from msgspec import Raw

from cranberryhold.addresses import Address
from cranberryhold.background_tasks import running_tasks
from cranberryhold.clock import Clock
from cranberryhold.exceptions import PeerError
from cranberryhold.membership.context import Counters
from cranberryhold.membership.gossip import (
    BUCKETS,
    AntiEntropy,
    ByteBudget,
    UpdateQueue,
)
from cranberryhold.membership.joining import Joiner
from cranberryhold.membership.links import OVERHEAD_BYTES, Link, RpcClient
from cranberryhold.membership.members import (
    LivePeers,
    Member,
    MemberState,
    MemberTable,
    incarnation_after,
)
from cranberryhold.membership.messages import (
    MAX_RECORDS_BYTES,
    RECORDS_HEADER_BYTES,
    Datagram,
    Gossip,
    Heartbeat,
    Record,
    Records,
    RecordsRequest,
    decode_datagram,
    encode,
    encoded_record,
)
from cranberryhold.membership.probing import Prober
from cranberryhold.membership.tombstones import Tombstones

FANOUT = 4
"""Members to which an update is gossiped at once. Four reach 98% of a cluster; probes
carry it to the rest within about a second."""

GOSSIP_DELAY_S = 0.02
"""Longest delay before updates are sent, so that one datagram carries several."""

RETENTION_S = 2 * 3600.0
"""Seconds for which a member that is down is remembered and probed again: longer than
a loss of connectivity between regions, which lasts for up to an hour."""

Handler = Callable[[Datagram, Address], None]


class Membership:
    """Keeps a :class:`~cranberryhold.membership.members.MemberTable` up to date.

    >>> membership = Membership(member, link, clock=clock, rng=rng)    # doctest: +SKIP
    >>> async with membership.running():    # doctest: +SKIP
    ...     membership.announce(weight=10)

    :param local_member: first record of this process.
    :param contacts: control addresses to join through.
    :param rpc_client: used to pull the table when joining; without it, only
        anti-entropy fills the table, which is slower.
    :param table: members that are known from the start, for simulations.
    """

    def __init__(
        self,
        local_member: Member,
        link: Link,
        *,
        clock: Clock,
        rng: Random,
        contacts: Iterable[Address] = (),
        rpc_client: RpcClient | None = None,
        budget: ByteBudget | None = None,
        table: MemberTable | None = None,
    ) -> None:
        self.local_member = local_member
        self.clock = clock
        self.rng = rng
        self.budget = budget or ByteBudget(clock)
        self.table = MemberTable() if table is None else table
        self.table.merge(local_member)
        self.live_peers = LivePeers(self.table, local_member.node_id)
        self.updates = UpdateQueue()
        self.counters = Counters()
        self.heartbeat: Callable[[], Heartbeat] = Heartbeat
        self.on_heartbeat: Callable[[Address, Heartbeat], None] = _ignore_heartbeat
        self._link = link
        self._update_queued = asyncio.Event()
        self._down_since: dict[str, float] = {}
        self._tombstones = Tombstones(clock)
        self._prober = Prober(self)
        self._joiner = Joiner(
            self,
            [c for c in contacts if c != local_member.control_address],
            rpc_client,
            members_down=lambda: list(self._down_since),
            is_reachable=self._prober.is_reachable,
        )
        self._anti_entropy = AntiEntropy(self)
        self._handlers: dict[type[Datagram], Handler] = {
            Gossip: self._on_gossip,
            **self._joiner.handlers,
            **self._prober.handlers,
            **self._anti_entropy.handlers,
        }

    def register_handler(self, datagram_type: type[Datagram], handler: Handler) -> None:
        """Register the handler of another type of datagram."""
        self._handlers[datagram_type] = handler

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Membership"]:
        """Take part in the membership inside the context.

        A member that announced that it is leaving reports itself down at the end.
        """
        functions = (
            self._receive,
            self._joiner.bootstrap,
            self._gossip_updates,
            self._joiner.reconnect,
            self._forget_expired,
            self._prober.probe_forever,
            self._prober.expire_suspicions,
            self._anti_entropy.run,
        )
        try:
            async with running_tasks(self.clock, *functions):
                yield self
        finally:
            await self._prober.indirect_probes.cancel()
            self._announce_departure()

    def announce(
        self, *, weight: int | None = None, leaving: bool | None = None
    ) -> None:
        """Change the own record and announce it to the other members.

        :param weight: share of new flows, 0 to 100.
        :param leaving: whether this process is about to end.
        """
        state = self.local_member.state
        if leaving is not None:
            state = MemberState.LEAVING if leaving else MemberState.ALIVE
        weight = self.local_member.weight if weight is None else weight
        if (weight, state) != (self.local_member.weight, self.local_member.state):
            self._update_local_member(
                weight=weight, state=state, version=self.local_member.version + 1
            )

    def state(self) -> dict[str, object]:
        """Return counts for the state dump."""
        states = [m.state for m in self.table]
        return {
            "node_id": self.local_member.node_id,
            "incarnation": self.local_member.incarnation,
            "version": self.local_member.version,
            "members": {s.name.lower(): states.count(s) for s in MemberState},
            "rumors": len(self.updates),
            "health_penalty": self._prober.health_penalty,
            "malformed_datagrams": self.counters.malformed,
            "duplicate_node_ids": self.counters.duplicate_node_ids,
            "refutations": self.counters.refutations,
            "declared_down": self.counters.declared_down,
        }

    # Sending; also used by the other modules that share the link.

    def send(self, message: Datagram, to: Address) -> None:
        """Send a datagram at once and account for its bytes."""
        data = encode(message)
        self.budget.spend(len(data) + OVERHEAD_BYTES)
        self._link.send(data, to)

    def try_send(self, message: Datagram, to: Address) -> bool:
        """Send a datagram unless the byte budget is used up."""
        data = encode(message)
        size = len(data) + OVERHEAD_BYTES
        if self.budget.available() < size:
            return False
        self.budget.spend(size)
        self._link.send(data, to)
        return True

    def piggyback(self, *required: Member) -> list[Raw]:
        """Return records to send along with a probe or an answer.

        :param required: records that are always included.
        """
        records = [encoded_record(m) for m in required]
        if not self.updates:
            return records
        max_bytes = min(
            MAX_RECORDS_BYTES - sum(map(len, records)),
            int(self.budget.available()) - RECORDS_HEADER_BYTES,
        )
        return records + self.updates.take_for_piggyback(max_bytes, len(self.table))

    # Merging.

    def merge_records(
        self, records: Iterable[Record], *, spread: bool = True
    ) -> list[Member]:
        """Merge received records.

        :param spread: whether to gossip the records that are new.
        :return: stored records that are newer than the received ones.
        """
        newer = []
        for record in records:
            stored = self.table.get(record.node_id)
            if (
                stored is not None
                and stored.version == record.version
                and stored.state == record.state
                and stored.incarnation == record.incarnation
            ):
                continue
            try:
                member = record.to_member()
            except ValueError:
                self.counters.malformed += 1
                continue
            if not self.merge(member, spread=spread):
                newest = self.table.get(member.node_id) or self._tombstones.get(
                    member.node_id
                )
                if newest is not None and newest.supersedes(member):
                    newer.append(newest)
        return newer

    def merge(self, member: Member, *, spread: bool = True) -> bool:
        """Merge one record; return whether it was new."""
        if member.node_id == self.local_member.node_id:
            self._on_record_of_local_member(member)
            return False
        if self._is_gone(member) or not self.table.merge(member):
            return False
        self._tombstones.discard(member.node_id)
        self._joiner.joined.set()
        self._prober.on_record_merged(member)
        if member.state is MemberState.DOWN:
            self._down_since[member.node_id] = self.clock.monotonic()
        else:
            self._down_since.pop(member.node_id, None)
        if spread:
            self.updates.add(member)
            self._update_queued.set()
        return True

    def _is_gone(self, member: Member) -> bool:
        """Whether a record is ignored because its member is gone.

        A member that is reported down before it was known gets a tombstone too, so
        that an older record that arrives later has no effect.
        """
        if self._tombstones.covers(member):
            return True
        known = self.table.get(member.node_id) is not None
        if known or member.state is not MemberState.DOWN:
            return False
        self._tombstones.add(member)
        return True

    def _on_record_of_local_member(self, member: Member) -> None:
        if not member.supersedes(self.local_member):
            return
        if member.incarnation != self.local_member.incarnation:
            self._on_later_incarnation(member)
            return
        self.counters.refutations += 1
        self._prober.on_refutation()
        self._update_local_member(version=member.version + 1)

    def _on_later_incarnation(self, member: Member) -> None:
        """Handle a record of the own node id with a later start time.

        If its process has ended, the clock was set back in between, and this process
        takes an even later incarnation, as its records would be ignored otherwise. A
        process that had the same control address has ended.
        """
        local_member = self.local_member
        at_same_address = member.control_address == local_member.control_address
        if at_same_address or member.state is MemberState.DOWN:
            incarnation = incarnation_after(member.incarnation)
            logger.warning(
                "event=incarnation-raised node={} from={} to={} reason={!r}",
                local_member.node_id,
                local_member.incarnation,
                incarnation,
                "the clock is behind the start of an earlier process",
            )
            self._update_local_member(incarnation=incarnation)
            return
        self.counters.duplicate_node_ids += 1
        if self.counters.duplicate_node_ids == 1:
            logger.error(
                "event=duplicate-node-id node={} other={} remedy={!r}",
                member.node_id,
                member.control_address,
                "give each instance its own node id, and check its clock",
            )

    def _update_local_member(self, **changes: object) -> None:
        self.local_member = replace(self.local_member, **changes)
        self.table.merge(self.local_member)
        self.updates.add(self.local_member)
        self._update_queued.set()

    # Background tasks.

    async def _receive(self) -> None:
        while True:
            data, sender = await self._link.receive()
            try:
                message = decode_datagram(data)
            except PeerError:
                self.counters.malformed += 1
                continue
            handler = self._handlers.get(type(message))
            try:
                if handler is not None:
                    handler(message, sender)
            except Exception:
                # A fault in one handler must not stop the receive loop.
                self.counters.malformed += 1
                logger.exception("event=datagram-failed peer={}", sender)

    async def handle_records_request(self, request: RecordsRequest) -> Records:
        """Return the records of the requested buckets."""
        digest = self._anti_entropy.digest
        return Records(
            records=[
                encoded_record(member)
                for bucket in request.buckets
                if 0 <= bucket < BUCKETS
                for member in digest.members(bucket)
            ]
        )

    async def _gossip_updates(self) -> None:
        while True:
            await self._update_queued.wait()
            await self.clock.sleep(GOSSIP_DELAY_S * self.rng.random())
            self._update_queued.clear()
            while records := self.updates.take_unsent(MAX_RECORDS_BYTES):
                message = Gossip(records)
                for member in self.live_peers.pick(self.rng, FANOUT):
                    await self.budget.wait_for(len(records) * 100)
                    self.send(message, member.control_address)

    async def _forget_expired(self) -> None:
        while True:
            await self.clock.sleep(RETENTION_S / 100)
            expiry = self.clock.monotonic() - RETENTION_S
            for node_id, since in list(self._down_since.items()):
                if since <= expiry:
                    self._forget_member(node_id)
            self._tombstones.remove_expired(expiry)

    def _forget_member(self, node_id: str) -> None:
        member = self.table.get(node_id)
        del self._down_since[node_id]
        if member is not None:
            self._tombstones.add(member)
            self.table.forget(node_id)
            self._anti_entropy.digest.forget(node_id)

    def _announce_departure(self) -> None:
        if self.local_member.state is MemberState.LEAVING:
            message = Gossip(
                [encoded_record(self.local_member.with_state(MemberState.DOWN))]
            )
            for member in self.live_peers.pick(self.rng, FANOUT):
                self.send(message, member.control_address)

    # Handlers of datagrams.

    def _on_gossip(self, message: Gossip, sender: Address) -> None:
        self.merge_records(message.updates)


def _ignore_heartbeat(sender: Address, heartbeat: Heartbeat) -> None:
    """Do nothing; default of ``on_heartbeat``."""
