"""Failure detection: direct and indirect probes, suspicion and local health."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from loguru import logger

from cranberryhold.addresses import PACKED_ADDRESS_BYTES, Address
from cranberryhold.background_tasks import TaskSet
from cranberryhold.membership.context import MembershipContext
from cranberryhold.membership.members import Member, MemberState
from cranberryhold.membership.messages import (
    Ack,
    Gossip,
    Nack,
    Ping,
    ProbeRequest,
    encoded_record,
)

PROBE_INTERVAL_S = 1.0
DIRECT_TIMEOUT_S = 0.3
"""Timeout of a direct probe. The round trip between zones takes 8 ms; the rest allows
for a busy process."""

PROXY_COUNT = 3

REPEATED_PINGS = 2
"""Direct probes sent while the proxies probe. Without them, 0.75% of all probes fail
at 10% loss, which would use up the byte budget of 930 members."""

SUSPICION_TIMEOUT_S = 4.0
MAX_HEALTH_PENALTY = 8
"""Limit of the health penalty, as in Lifeguard."""

PAUSE_THRESHOLD_S = 1.0
"""A sleep that ends this much too late shows that this process was suspended."""

MAX_INDIRECT_PROBES = 64
"""Probes that are carried out for other members at the same time."""


class _Probe:
    """A probe in progress."""

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self.answered = asyncio.Event()
        self.nacks = 0


class Prober:
    """Probes members and decides which are suspect or down.

    ``health_penalty`` is 0 while this process is healthy. It rises when a probe fails
    without a negative answer from any proxy, and when others suspect this process.
    Timeouts grow with it, so that a slow observer does not suspect healthy members.
    """

    def __init__(self, membership: MembershipContext) -> None:
        self._membership = membership
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._suspicions: dict[str, tuple[float, Member]] = {}
        self._suspicion_started = asyncio.Event()
        self.indirect_probes = TaskSet(MAX_INDIRECT_PROBES)
        self.health_penalty = 0
        self.handlers = {
            Ping: self._on_ping,
            Ack: self._on_ack,
            Nack: self._on_nack,
            ProbeRequest: self._on_probe_request,
        }

    @property
    def _timeout_factor(self) -> int:
        return 1 + self.health_penalty

    async def probe_forever(self) -> None:
        """Probe one member per interval, all of them in random order."""
        membership = self._membership
        await membership.clock.sleep(PROBE_INTERVAL_S * membership.rng.random())
        while True:
            for member in membership.live_peers.shuffled(membership.rng):
                current = membership.table.get(member.node_id)
                if current is None or current.state is MemberState.DOWN:
                    continue
                started = membership.clock.monotonic()
                await self._probe_and_evaluate(current)
                elapsed = membership.clock.monotonic() - started
                await membership.clock.sleep(max(0.0, PROBE_INTERVAL_S - elapsed))
            if not len(membership.live_peers):
                await membership.clock.sleep(PROBE_INTERVAL_S)

    async def is_reachable(self, member: Member) -> bool:
        """Return whether a member answers a direct probe."""
        async with self._probe(member.node_id, member.control_address) as probe:
            return await _wait_for_answer(
                probe, DIRECT_TIMEOUT_S * self._timeout_factor
            )

    def on_record_merged(self, member: Member) -> None:
        """Start or end the suspicion of a member after its record was merged."""
        if member.state is MemberState.SUSPECT:
            self._start_suspicion(member)
        else:
            self._suspicions.pop(member.node_id, None)

    def on_refutation(self) -> None:
        """Raise the health penalty, as others suspected this process."""
        self._adjust_health(1)

    async def _probe_and_evaluate(self, member: Member) -> None:
        clock = self._membership.clock
        started, limit = clock.monotonic(), PROBE_INTERVAL_S * self._timeout_factor
        async with self._probe(member.node_id, member.control_address) as probe:
            if await _wait_for_answer(probe, DIRECT_TIMEOUT_S * self._timeout_factor):
                self._adjust_health(-1)
                return
            proxy_count = self._request_indirect_probes(probe.sequence, member)
            for tries_left in range(REPEATED_PINGS, 0, -1):
                self._ping(probe.sequence, member.node_id, member.control_address)
                remaining = started + limit - clock.monotonic()
                if await _wait_for_answer(probe, remaining / tries_left):
                    return
        if clock.monotonic() - started > limit + PAUSE_THRESHOLD_S:
            return
        if proxy_count and not probe.nacks:
            self._adjust_health(1)
        if member.state is MemberState.LEAVING:
            await self._confirm_departure(member)
        else:
            self._suspect(member)

    async def _confirm_departure(self, member: Member) -> None:
        """Probe a leaving member again before it is declared down.

        A suspicion can't replace the record of a leaving member, so the member would
        have no chance to refute it.
        """
        membership = self._membership
        for _ in range(
            int(SUSPICION_TIMEOUT_S / PROBE_INTERVAL_S) * self._timeout_factor
        ):
            await membership.clock.sleep(PROBE_INTERVAL_S - DIRECT_TIMEOUT_S)
            if await self.is_reachable(member):
                return
        if membership.table.get(member.node_id) is member:
            self._declare_down(member)

    def _request_indirect_probes(self, sequence: int, member: Member) -> int:
        membership = self._membership
        proxies = membership.live_peers.pick(
            membership.rng, PROXY_COUNT, member.node_id
        )
        request = ProbeRequest(sequence, member.node_id, member.control_address.pack())
        for proxy in proxies:
            membership.send(request, proxy.control_address)
        return len(proxies)

    @asynccontextmanager
    async def _probe(self, target: str, address: Address) -> AsyncIterator[_Probe]:
        self._sequence = (self._sequence + 1) % (1 << 32)
        probe = _Probe(self._sequence)
        self._probes[probe.sequence] = probe
        self._ping(probe.sequence, target, address)
        try:
            yield probe
        finally:
            del self._probes[probe.sequence]

    def _ping(self, sequence: int, target: str, address: Address) -> None:
        membership = self._membership
        known = membership.table.get(target)
        refutable = [known] if known is not None and known.state in _REFUTABLE else []
        message = Ping(
            sequence,
            membership.local_member.node_id,
            target,
            membership.heartbeat(),
            membership.piggyback(*refutable),
        )
        membership.send(message, address)

    def _adjust_health(self, change: int) -> None:
        self.health_penalty = min(
            MAX_HEALTH_PENALTY, max(0, self.health_penalty + change)
        )

    def _suspect(self, member: Member) -> None:
        """Suspect a member, unless a newer record of it has arrived meanwhile."""
        membership = self._membership
        if membership.table.get(member.node_id) is member and member.state is (
            MemberState.ALIVE
        ):
            suspect = member.with_state(MemberState.SUSPECT)
            membership.merge(suspect)
            membership.send(Gossip([encoded_record(suspect)]), member.control_address)

    def _start_suspicion(self, member: Member) -> None:
        deadline = (
            self._membership.clock.monotonic()
            + SUSPICION_TIMEOUT_S * self._timeout_factor
        )
        self._suspicions[member.node_id] = (deadline, member)
        self._suspicion_started.set()

    async def expire_suspicions(self) -> None:
        """Declare members down whose suspicion was not refuted in time."""
        clock = self._membership.clock
        while True:
            await self._suspicion_started.wait()
            if not self._suspicions:
                self._suspicion_started.clear()
                continue
            before = clock.monotonic()
            first = min(deadline for deadline, _ in self._suspicions.values())
            wake_at = min(max(first, before), before + PROBE_INTERVAL_S)
            await clock.sleep(wake_at - before)
            if clock.monotonic() > wake_at + PAUSE_THRESHOLD_S:
                self._restart_suspicions()
            self._end_expired_suspicions()

    def _restart_suspicions(self) -> None:
        """Leave time to read refutations that arrived during a suspension."""
        deadline = self._membership.clock.monotonic() + SUSPICION_TIMEOUT_S
        for node_id, (_, member) in self._suspicions.items():
            self._suspicions[node_id] = (deadline, member)

    def _end_expired_suspicions(self) -> None:
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
        membership.merge_records(message.updates)
        membership.on_heartbeat(sender, message.heartbeat)
        answer = Ack(
            message.sequence,
            local_member.node_id,
            membership.heartbeat(),
            membership.piggyback(),
        )
        membership.send(answer, sender)

    def _on_ack(self, message: Ack, sender: Address) -> None:
        self._membership.merge_records(message.updates)
        self._membership.on_heartbeat(sender, message.heartbeat)
        probe = self._probes.get(message.sequence)
        if probe is not None:
            probe.answered.set()

    def _on_nack(self, message: Nack, sender: Address) -> None:
        probe = self._probes.get(message.sequence)
        if probe is not None:
            probe.nacks += 1

    def _on_probe_request(self, message: ProbeRequest, sender: Address) -> None:
        if (
            not self.indirect_probes.full
            and len(message.target_address) == PACKED_ADDRESS_BYTES
        ):
            self.indirect_probes.start(self._probe_for(message, sender))

    async def _probe_for(self, message: ProbeRequest, sender: Address) -> None:
        membership = self._membership
        address = Address.unpack(message.target_address)
        async with self._probe(message.target, address) as probe:
            answered = await _wait_for_answer(probe, DIRECT_TIMEOUT_S)
        if answered:
            answer = Ack(message.sequence, message.target, membership.heartbeat())
            membership.send(answer, sender)
        else:
            membership.send(Nack(message.sequence), sender)


_REFUTABLE = (MemberState.SUSPECT, MemberState.DOWN)


async def _wait_for_answer(probe: _Probe, timeout_s: float) -> bool:
    if probe.answered.is_set():
        return True
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            await probe.answered.wait()
    except TimeoutError:
        return False
    return True
