"""Membership of one process: its own record, and what it believes of the others.

Failure detection follows SWIM with the local health of Lifeguard; see
:mod:`cranberryhold.probing` for the probes and :mod:`cranberryhold.gossip` for the
spreading of news. Time, randomness, the link and the calls are arguments, so that
the same code runs in a daemon and in virtual time.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from random import Random

from loguru import logger
from msgspec import Raw

from cranberryhold.addresses import Address
from cranberryhold.background_tasks import running_tasks
from cranberryhold.clock import Clock
from cranberryhold.exceptions import PeerError
from cranberryhold.gossip import BUCKETS, AntiEntropy, ByteBudget, UpdateQueue
from cranberryhold.links import OVERHEAD_BYTES, Link, RpcClient
from cranberryhold.members import LivePeers, Member, MemberState, MemberTable
from cranberryhold.messages import (
    MAX_PAYLOAD_BYTES,
    Datagram,
    Gossip,
    Heartbeat,
    Join,
    Record,
    Records,
    RecordsRequest,
    Welcome,
    decode_datagram,
    encode,
    encoded_record,
    record_of,
)
from cranberryhold.probing import Prober

FANOUT = 4
"""Members to which news is sent at once. Four reach 98% of a cluster; probes carry
the news to the rest within about a second."""

SPREAD_DELAY_S = 0.02
"""Longest wait before news is sent, so that one datagram carries several items."""

HEADER_ROOM_BYTES = 200
"""Room in a probe or answer for everything but piggybacked records."""

RECONNECT_S = 5.0
"""Mean time between attempts to reach members that are believed down."""

RECONNECT_AGAIN_S = 0.5
"""The same after a success, which shows that a partition has healed."""

CONTACT_ROUNDS = 6
"""Every sixth attempt goes to a contact that is no known member."""

RETENTION_S = 2 * 3600.0
"""Seconds for which a member that is down is remembered and tried again: longer than
the loss of connectivity between regions, which lasts for an hour."""

JOIN_RETRY_S = (0.5, 5.0)
PULL_TIMEOUT_S = 3.0
PULL_TRIES = 3
PULL_BUCKETS = 16

Handler = Callable[[Datagram, Address], None]


@dataclass(slots=True)
class Counters:
    """What went wrong on the control path since the start."""

    malformed: int = 0
    duplicate_node_ids: int = 0
    refutations: int = 0
    declared_down: int = 0


class Membership:
    """Keeps a :class:`~cranberryhold.members.MemberTable` up to date.

    >>> membership = Membership(member, link, clock=clock, rng=rng)    # doctest: +SKIP
    >>> async with membership.running():    # doctest: +SKIP
    ...     membership.announce(weight=10)

    :param local_member: first record of this process.
    :param contacts: control addresses that may lead to members.
    :param calls: used to pull the table when joining; without it, anti-entropy
        fills the table more slowly.
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
        calls: RpcClient | None = None,
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
        self.rumors = UpdateQueue()
        self.counters = Counters()
        self.heartbeat: Callable[[], Heartbeat] = Heartbeat
        self.on_heartbeat: Callable[[Address, Heartbeat], None] = _ignore
        self._link = link
        self._calls = calls
        self._contacts = [c for c in contacts if c != local_member.control_address]
        self._fresh = asyncio.Event()
        self._joined = asyncio.Event()
        self._down_since: dict[str, float] = {}
        self._tombstones: dict[str, tuple[Member, float]] = {}
        self._prober = Prober(self)
        self._anti_entropy = AntiEntropy(self)
        self._handlers: dict[type[Datagram], Handler] = {
            Join: self._on_join,
            Welcome: self._on_welcome,
            Gossip: self._on_gossip,
            **self._prober.handlers,
            **self._anti_entropy.handlers,
        }

    def register_handler(self, kind: type[Datagram], handler: Handler) -> None:
        """Register the handler of another type of datagram."""
        self._handlers[kind] = handler

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Membership"]:
        """Take part in the membership inside the context.

        A member that announced that it is leaving reports itself down at the end.
        """
        duties = (
            self._receive,
            self._bootstrap,
            self._spread,
            self._reconnect,
            self._forget,
            self._prober.probe_forever,
            self._prober.expire_suspicions,
            self._anti_entropy.run,
        )
        try:
            async with running_tasks(self.clock, *duties):
                yield self
        finally:
            await self._prober.relays.cancel()
            self._say_goodbye()

    async def wait_joined(self) -> None:
        """Wait until another member is known."""
        await self._joined.wait()

    def announce(
        self, *, weight: int | None = None, leaving: bool | None = None
    ) -> None:
        """Change the own record and tell the others.

        :param weight: share of new flows, 0 to 100.
        :param leaving: whether this process is about to end.
        """
        state = self.local_member.state
        if leaving is not None:
            state = MemberState.LEAVING if leaving else MemberState.ALIVE
        weight = self.local_member.weight if weight is None else weight
        if (weight, state) != (self.local_member.weight, self.local_member.state):
            self._replace_me(
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
            "rumors": len(self.rumors),
            "health_penalty": self._prober.health_penalty,
            "malformed_datagrams": self.counters.malformed,
            "duplicate_node_ids": self.counters.duplicate_node_ids,
            "refutations": self.counters.refutations,
            "declared_down": self.counters.declared_down,
        }

    # Sending, for the parts of this package that share the link.

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

    def piggyback(self, *first: Member) -> list[Raw]:
        """Return records to send along with a probe or an answer."""
        records = [encoded_record(m) for m in first]
        if not self.rumors:
            return records
        room = min(
            MAX_PAYLOAD_BYTES - HEADER_ROOM_BYTES - sum(map(len, records)),
            int(self.budget.available()) - HEADER_ROOM_BYTES,
        )
        return records + self.rumors.take(room, len(self.table))

    # Merging.

    def take(self, records: Iterable[Record], *, spread: bool = True) -> list[Member]:
        """Merge records that arrived.

        :param spread: whether to pass on what is new.
        :return: own records that are newer than those that arrived.
        """
        newer = []
        for record in records:
            held = self.table.get(record.node_id)
            if (
                held is not None
                and held.version == record.version
                and held.state == record.state
                and held.incarnation == record.incarnation
            ):
                continue
            try:
                member = record.to_member()
            except ValueError:
                self.counters.malformed += 1
                continue
            if not self.merge(member, spread=spread):
                held = self.table.get(member.node_id)
                if held is not None and held.supersedes(member):
                    newer.append(held)
        return newer

    def merge(self, member: Member, *, spread: bool = True) -> bool:
        """Merge one record; return whether it was news."""
        if member.node_id == self.local_member.node_id:
            self._hear_of_myself(member)
            return False
        if self._is_forgotten(member) or not self.table.merge(member):
            return False
        self._tombstones.pop(member.node_id, None)
        self._joined.set()
        self._prober.note(member)
        if member.state is MemberState.DOWN:
            self._down_since[member.node_id] = self.clock.monotonic()
        else:
            self._down_since.pop(member.node_id, None)
        if spread:
            self.rumors.add(member)
            self._fresh.set()
        return True

    def _is_forgotten(self, member: Member) -> bool:
        """Whether a record must not bring back a member that was forgotten.

        A member that is reported down before it was ever known is remembered in the
        same way, so that an older record that arrives later has no effect.
        """
        grave = self._tombstones.get(member.node_id)
        if grave is not None and not member.supersedes(grave[0]):
            return True
        known = self.table.get(member.node_id) is not None
        if known or member.state is not MemberState.DOWN:
            return False
        self._tombstones[member.node_id] = (member, self.clock.monotonic())
        return True

    def _hear_of_myself(self, member: Member) -> None:
        if not member.supersedes(self.local_member):
            return
        if member.incarnation != self.local_member.incarnation:
            self.counters.duplicate_node_ids += 1
            if self.counters.duplicate_node_ids == 1:
                logger.error(
                    "event=duplicate-node-id node={} other={} remedy={!r}",
                    member.node_id,
                    member.control_address,
                    "give each instance its own node id, and check its clock",
                )
            return
        self.counters.refutations += 1
        self._prober.note_refutation()
        self._replace_me(version=member.version + 1)

    def _replace_me(self, **changes: object) -> None:
        self.local_member = replace(self.local_member, **changes)
        self.table.merge(self.local_member)
        self.rumors.add(self.local_member)
        self._fresh.set()

    # Duties, one task each.

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
                # One datagram must not keep the others from being received.
                self.counters.malformed += 1
                logger.exception("event=datagram-failed peer={}", sender)

    async def _bootstrap(self) -> None:
        pause, longest = JOIN_RETRY_S
        while self._contacts and not self._joined.is_set():
            for contact in self._contacts:
                self.send(Join(record_of(self.local_member)), contact)
            try:
                async with asyncio.timeout(pause * (0.5 + self.rng.random())):
                    await self._joined.wait()
            except TimeoutError:
                pause = min(2 * pause, longest)
        if self._calls is not None and self._joined.is_set():
            await self._pull_table(self._calls)

    async def _pull_table(self, calls: RpcClient) -> None:
        """Pull all records, each part from another member to share the load."""
        buckets = self.rng.sample(range(BUCKETS), BUCKETS)
        for start in range(0, BUCKETS, PULL_BUCKETS):
            request = RecordsRequest(buckets=buckets[start : start + PULL_BUCKETS])
            for member in self.live_peers.pick(self.rng, PULL_TRIES):
                try:
                    answer = await calls.call(
                        member.control_address, request, PULL_TIMEOUT_S
                    )
                except PeerError:
                    continue
                if isinstance(answer, Records):
                    self.take(answer.records, spread=False)
                    break

    async def handle_records_request(self, request: RecordsRequest) -> Records:
        """Answer a pull of the table."""
        digest = self._anti_entropy.digest
        return Records(
            records=[
                encoded_record(member)
                for bucket in request.buckets
                if 0 <= bucket < BUCKETS
                for member in digest.members(bucket)
            ]
        )

    async def _spread(self) -> None:
        room = MAX_PAYLOAD_BYTES - HEADER_ROOM_BYTES
        while True:
            await self._fresh.wait()
            await self.clock.sleep(SPREAD_DELAY_S * self.rng.random())
            self._fresh.clear()
            while records := self.rumors.take_fresh(room):
                message = Gossip(records)
                for member in self.live_peers.pick(self.rng, FANOUT):
                    await self.budget.wait_for(len(records) * 100)
                    self.send(message, member.control_address)

    async def _reconnect(self) -> None:
        """Try members that are down and contacts, so that partitions heal."""
        rounds, reached = 0, False
        while True:
            mean = RECONNECT_AGAIN_S if reached else RECONNECT_S
            await self.clock.sleep(mean * (0.5 + self.rng.random()))
            rounds, reached = rounds + 1, False
            if rounds % CONTACT_ROUNDS == 0 and self._contacts:
                contact = self.rng.choice(self._contacts)
                self.send(Join(record_of(self.local_member)), contact)
            if self._down_since:
                member = self.table.get(self.rng.choice(list(self._down_since)))
                if member is not None:
                    reached = await self._prober.reaches(member)

    async def _forget(self) -> None:
        while True:
            await self.clock.sleep(RETENTION_S / 100)
            limit = self.clock.monotonic() - RETENTION_S
            for node_id, since in list(self._down_since.items()):
                if since <= limit:
                    self._forget_member(node_id)
            for node_id, (_, since) in list(self._tombstones.items()):
                if since <= limit:
                    del self._tombstones[node_id]

    def _forget_member(self, node_id: str) -> None:
        member = self.table.get(node_id)
        del self._down_since[node_id]
        if member is not None:
            self._tombstones[node_id] = (member, self.clock.monotonic())
            self.table.forget(node_id)
            self._anti_entropy.digest.forget(node_id)

    def _say_goodbye(self) -> None:
        if self.local_member.state is MemberState.LEAVING:
            farewell = Gossip(
                [encoded_record(self.local_member.with_state(MemberState.DOWN))]
            )
            for member in self.live_peers.pick(self.rng, FANOUT):
                self.send(farewell, member.control_address)

    # Handlers of datagrams.

    def _on_join(self, message: Join, sender: Address) -> None:
        if message.record.node_id == self.local_member.node_id:
            return
        newer = self.take([message.record])
        room = MAX_PAYLOAD_BYTES - HEADER_ROOM_BYTES
        records = [encoded_record(self.local_member)] + [
            encoded_record(m) for m in newer
        ]
        for member in self.live_peers.pick(self.rng, 12):
            records.append(encoded_record(member))
        while sum(map(len, records)) > room:
            records.pop()
        self.send(Welcome(records), sender)

    def _on_welcome(self, message: Welcome, sender: Address) -> None:
        self.take(message.rumors, spread=self._joined.is_set())

    def _on_gossip(self, message: Gossip, sender: Address) -> None:
        self.take(message.rumors)


def _ignore(sender: Address, heartbeat: Heartbeat) -> None:
    """Default of ``on_heartbeat``."""
