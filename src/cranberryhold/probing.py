"""Failure detection: probes, proxies, suspicion and local health."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from loguru import logger

from cranberryhold.addresses import PACKED_ADDRESS_BYTES, Address
from cranberryhold.background_tasks import TaskSet
from cranberryhold.members import Member, MemberState
from cranberryhold.messages import (
    Ack,
    Gossip,
    Nack,
    Ping,
    ProbeRequest,
    encoded_record,
)

if TYPE_CHECKING:
    from cranberryhold.membership import Membership

PROBE_INTERVAL_S = 1.0
DIRECT_TIMEOUT_S = 0.3
"""Seconds to wait for a direct answer; zones are 8 ms apart there and back, the
rest is for a process that is busy."""

PROXIES = 3

REPEATED_PINGS = 2
"""Direct probes sent while the proxies try. Without them, 0.75% of all probes fail
at 10% loss, which would use up the byte budget of 930 members."""

SUSPICION_S = 4.0
MAX_PENALTY = 8
"""Limit of the health penalty, as in Lifeguard."""

PAUSED_S = 1.0
"""A sleep that ends this much too late shows that this process was frozen."""

RELAYS = 64
"""Probes that are carried out for others at the same time."""


class _Probe:
    """A probe in progress."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.answered = asyncio.Event()
        self.nacks = 0


class Prober:
    """Probes members and decides which are suspect or down.

    ``health_penalty`` is 0 while this process works well. It rises when probes fail
    although no proxy reports so, and when others suspect this process; time limits
    grow with it, so that a slow observer does not accuse the others.
    """

    def __init__(self, membership: "Membership") -> None:
        self._membership = membership
        self._number = 0
        self._probes: dict[int, _Probe] = {}
        self._suspicions: dict[str, tuple[float, Member]] = {}
        self._suspected = asyncio.Event()
        self.relays = TaskSet(RELAYS)
        self.health_penalty = 0
        self.handlers = {
            Ping: self._on_ping,
            Ack: self._on_ack,
            Nack: self._on_nack,
            ProbeRequest: self._on_probe_request,
        }

    @property
    def _scale(self) -> int:
        return 1 + self.health_penalty

    async def probe_forever(self) -> None:
        """Probe one member in each period, all of them in random order."""
        membership = self._membership
        await membership.clock.sleep(PROBE_INTERVAL_S * membership.rng.random())
        while True:
            for member in membership.live_peers.shuffled(membership.rng):
                current = membership.table.get(member.node_id)
                if current is None or current.state is MemberState.DOWN:
                    continue
                started = membership.clock.monotonic()
                await self._examine(current)
                spent = membership.clock.monotonic() - started
                await membership.clock.sleep(max(0.0, PROBE_INTERVAL_S - spent))
            if not len(membership.live_peers):
                await membership.clock.sleep(PROBE_INTERVAL_S)

    async def reaches(self, member: Member) -> bool:
        """Return whether a member answers a direct probe."""
        async with self._probe(member.node_id, member.control_address) as probe:
            return await _answered(probe, DIRECT_TIMEOUT_S * self._scale)

    def note(self, member: Member) -> None:
        """Follow up on a record that was merged."""
        if member.state is MemberState.SUSPECT:
            self._start_suspicion(member)
        else:
            self._suspicions.pop(member.node_id, None)

    def note_refutation(self) -> None:
        """Take note that others suspected this process."""
        self._adjust_health(1)

    async def _examine(self, member: Member) -> None:
        clock = self._membership.clock
        started, limit = clock.monotonic(), PROBE_INTERVAL_S * self._scale
        async with self._probe(member.node_id, member.control_address) as probe:
            if await _answered(probe, DIRECT_TIMEOUT_S * self._scale):
                self._adjust_health(-1)
                return
            proxies = self._ask_proxies(probe.number, member)
            for tries_left in range(REPEATED_PINGS, 0, -1):
                self._ping(probe.number, member.node_id, member.control_address)
                remaining = started + limit - clock.monotonic()
                if await _answered(probe, remaining / tries_left):
                    return
        if clock.monotonic() - started > limit + PAUSED_S:
            return
        if proxies and not probe.nacks:
            self._adjust_health(1)
        if member.state is MemberState.LEAVING:
            await self._confirm_departure(member)
        else:
            self._suspect(member)

    async def _confirm_departure(self, member: Member) -> None:
        """Probe a leaving member again before it is declared down.

        The record of a leaving member outranks a suspicion, so that others could
        not refute one.
        """
        membership = self._membership
        for _ in range(int(SUSPICION_S / PROBE_INTERVAL_S) * self._scale):
            await membership.clock.sleep(PROBE_INTERVAL_S - DIRECT_TIMEOUT_S)
            if await self.reaches(member):
                return
        if membership.table.get(member.node_id) is member:
            self._declare_down(member)

    def _ask_proxies(self, number: int, member: Member) -> int:
        membership = self._membership
        proxies = membership.live_peers.pick(membership.rng, PROXIES, member.node_id)
        request = ProbeRequest(number, member.node_id, member.control_address.pack())
        for proxy in proxies:
            membership.send(request, proxy.control_address)
        return len(proxies)

    @asynccontextmanager
    async def _probe(self, target: str, address: Address) -> AsyncIterator[_Probe]:
        self._number = (self._number + 1) % (1 << 32)
        probe = _Probe(self._number)
        self._probes[probe.number] = probe
        self._ping(probe.number, target, address)
        try:
            yield probe
        finally:
            del self._probes[probe.number]

    def _ping(self, number: int, target: str, address: Address) -> None:
        membership = self._membership
        held = membership.table.get(target)
        told = [held] if held is not None and held.state in _REFUTABLE else []
        message = Ping(
            number,
            membership.local_member.node_id,
            target,
            membership.heartbeat(),
            membership.piggyback(*told),
        )
        membership.send(message, address)

    def _adjust_health(self, change: int) -> None:
        self.health_penalty = min(MAX_PENALTY, max(0, self.health_penalty + change))

    def _suspect(self, member: Member) -> None:
        """Suspect a member, unless newer news of it has arrived meanwhile."""
        membership = self._membership
        if membership.table.get(member.node_id) is member and member.state is (
            MemberState.ALIVE
        ):
            suspect = member.with_state(MemberState.SUSPECT)
            membership.merge(suspect)
            membership.send(Gossip([encoded_record(suspect)]), member.control_address)

    def _start_suspicion(self, member: Member) -> None:
        deadline = self._membership.clock.monotonic() + SUSPICION_S * self._scale
        self._suspicions[member.node_id] = (deadline, member)
        self._suspected.set()

    async def expire_suspicions(self) -> None:
        """Declare members down whose suspicion was not refuted in time."""
        clock = self._membership.clock
        while True:
            await self._suspected.wait()
            if not self._suspicions:
                self._suspected.clear()
                continue
            before = clock.monotonic()
            first = min(deadline for deadline, _ in self._suspicions.values())
            wake = min(max(first, before), before + PROBE_INTERVAL_S)
            await clock.sleep(wake - before)
            if clock.monotonic() > wake + PAUSED_S:
                self._restart_suspicions()
            self._end_suspicions()

    def _restart_suspicions(self) -> None:
        """Allow for refutations that arrived while this process was frozen."""
        deadline = self._membership.clock.monotonic() + SUSPICION_S
        for node_id, (_, member) in self._suspicions.items():
            self._suspicions[node_id] = (deadline, member)

    def _end_suspicions(self) -> None:
        now = self._membership.clock.monotonic()
        for node_id, (deadline, member) in list(self._suspicions.items()):
            if deadline <= now:
                del self._suspicions[node_id]
                self._declare_down(member)

    def _declare_down(self, member: Member) -> None:
        membership = self._membership
        membership.counters.declared_down += 1
        logger.info("event=member-down node={} reason=no-answer", member.node_id)
        membership.merge(member.with_state(MemberState.DOWN))

    def _on_ping(self, message: Ping, sender: Address) -> None:
        membership = self._membership
        local_member = membership.local_member
        if message.target != local_member.node_id:
            return
        membership.take(message.rumors)
        membership.on_heartbeat(sender, message.heartbeat)
        answer = Ack(
            message.number,
            local_member.node_id,
            membership.heartbeat(),
            membership.piggyback(),
        )
        membership.send(answer, sender)

    def _on_ack(self, message: Ack, sender: Address) -> None:
        self._membership.take(message.rumors)
        self._membership.on_heartbeat(sender, message.heartbeat)
        probe = self._probes.get(message.number)
        if probe is not None:
            probe.answered.set()

    def _on_nack(self, message: Nack, sender: Address) -> None:
        probe = self._probes.get(message.number)
        if probe is not None:
            probe.nacks += 1

    def _on_probe_request(self, message: ProbeRequest, sender: Address) -> None:
        if not self.relays.full and len(message.target_address) == PACKED_ADDRESS_BYTES:
            self.relays.start(self._relay(message, sender))

    async def _relay(self, message: ProbeRequest, sender: Address) -> None:
        membership = self._membership
        address = Address.unpack(message.target_address)
        async with self._probe(message.target, address) as probe:
            answered = await _answered(probe, DIRECT_TIMEOUT_S)
        if answered:
            answer = Ack(message.number, message.target, membership.heartbeat())
            membership.send(answer, sender)
        else:
            membership.send(Nack(message.number), sender)


_REFUTABLE = (MemberState.SUSPECT, MemberState.DOWN)


async def _answered(probe: _Probe, timeout_s: float) -> bool:
    if probe.answered.is_set():
        return True
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            await probe.answered.wait()
    except TimeoutError:
        return False
    return True
