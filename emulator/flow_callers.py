"""Stand-in of the users' callers: flows that open, ask and close."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import StrEnum
from random import Random
from socket import AF_INET, SOCK_DGRAM, inet_aton, socket
from typing import Protocol

from cranberryhold.flows.segments import Endpoint, Segment
from cranberryhold.platform.packets import ACK, FIN, RST, SYN, PacketCodec
from emulator.flow_packets import flow_packet, has_valid_checksum, is_generated_reset
from emulator.packet_router import PacketRouter

# Pauses after each SYN; the attempt ends after the last.
OPENING_PAUSES_S = (0.2, 0.4, 0.8)
FIRST_RETRANSMISSION_S = 0.2
LONGEST_RETRANSMISSION_S = 1.6
MAX_PACKET_BYTES = 2048
FIRST_PORT, LAST_PORT = 20_000, 60_000


class Outcome(StrEnum):
    """How an attempt of a caller ended."""

    ANSWERED = "answered"
    RESET = "reset"
    LATE = "late"


class CallerObserver(Protocol):
    """Hears what callers see."""

    def reset_received(self, key: bytes, *, by_target: bool) -> None:
        """Note that a flow was reset, by its target or by the system."""

    def invalid_packet_at_caller(self, key: bytes, packet: bytes) -> None:
        """Note a packet that no target wrote so."""


class CallerHost:
    """A machine of callers, which sends through its zone's routers.

    :param ip: its address.
    :param packet_port: where packets for callers arrive.
    :param router: the routers of its zone.
    :param observer: hears what its callers see.
    :param random: source of sequence numbers.
    """

    def __init__(
        self,
        ip: str,
        packet_port: int,
        router: PacketRouter,
        *,
        observer: CallerObserver,
        random: Random,
    ) -> None:
        self.router = router
        self.observer = observer
        self.random = random
        self._ip = inet_aton(ip)
        self._codec = PacketCodec()
        self._flows: dict[bytes, CallerFlow] = {}
        self._next_port = FIRST_PORT
        self._socket = socket(AF_INET, SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((ip, packet_port))

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Receive inside the context."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)
        try:
            yield
        finally:
            loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def flow(self, service: Endpoint) -> "CallerFlow":
        """Return a flow from a new port that is not opened yet."""
        self._next_port += 1
        if self._next_port > LAST_PORT:
            self._next_port = FIRST_PORT
        flow = CallerFlow(self, Endpoint(self._ip, self._next_port), service)
        self._flows[flow.key] = flow
        return flow

    def forget(self, key: bytes) -> None:
        """Receive nothing for a flow any more."""
        self._flows.pop(key, None)

    def _read(self) -> None:
        while True:
            try:
                packet = self._socket.recv(MAX_PACKET_BYTES)
            except BlockingIOError:
                return
            segment = self._codec.decode(packet)
            if segment is None:
                self.observer.invalid_packet_at_caller(b"", packet)
                continue
            key = segment.flow_key_from_target()
            from_system = segment.rst and is_generated_reset(packet)
            if not from_system and not has_valid_checksum(packet):
                self.observer.invalid_packet_at_caller(key, packet)
            elif key in self._flows:
                data = packet[-segment.length :] if segment.length else b""
                self._flows[key].take(segment, data, from_system=from_system)


class CallerFlow:
    """One flow; made by :meth:`CallerHost.flow`."""

    def __init__(self, host: CallerHost, own: Endpoint, service: Endpoint) -> None:
        self._host = host
        self._own = own
        self._service = service
        self._sequence = host.random.getrandbits(32)
        self._expected = 0
        self._received: asyncio.Queue[tuple[Segment, bytes]] = asyncio.Queue()
        packet = flow_packet(own, service, SYN)
        segment = PacketCodec().decode(packet)
        assert segment is not None
        self.key = segment.flow_key_from_caller()

    def take(self, segment: Segment, data: bytes, *, from_system: bool) -> None:
        """Take a packet of the flow's other end, or a reset."""
        if segment.rst:
            self._host.observer.reset_received(self.key, by_target=not from_system)
        self._received.put_nowait((segment, data))

    async def open(self) -> Outcome:
        """Send a SYN and its copies until it is accepted."""
        for copy, pause_s in enumerate(OPENING_PAUSES_S):
            self._send(self._packet(SYN, acknowledged=copy))
            try:
                async with asyncio.timeout(pause_s):
                    while True:
                        segment, _ = await self._received.get()
                        if segment.rst:
                            return Outcome.RESET
                        if segment.syn:
                            self._expected = segment.sequence + 1
                            self._sequence += 1
                            self._send(self._packet(ACK))
                            return Outcome.ANSWERED
            except TimeoutError:
                continue
        return Outcome.LATE

    async def send_request(self, deadline_s: float) -> Outcome:
        """Send a request until it is answered, the flow is reset or it is late."""
        request = b"request"
        pause_s = FIRST_RETRANSMISSION_S
        try:
            async with asyncio.timeout(deadline_s):
                while True:
                    self._send(self._packet(ACK, data=request))
                    outcome = await self._answer(pause_s)
                    if outcome is not None:
                        self._sequence += len(request)
                        return outcome
                    pause_s = min(LONGEST_RETRANSMISSION_S, 2 * pause_s)
        except TimeoutError:
            return Outcome.LATE

    async def probe(self, entry: str, limit_s: float) -> None:
        """Open by one entry instance with a single SYN, and give the flow up."""
        self._host.router.send(entry, self._packet(SYN))
        try:
            async with asyncio.timeout(limit_s):
                segment, _ = await self._received.get()
        except TimeoutError:
            self._host.forget(self.key)
            return
        self._sequence += 1
        self._expected = segment.sequence + 1
        self.reset()

    def close(self) -> None:
        """End the flow."""
        self._send(self._packet(FIN | ACK))
        self._host.forget(self.key)

    def reset(self) -> None:
        """Give the flow up."""
        self._send(self._packet(RST | ACK))
        self._host.forget(self.key)

    async def _answer(self, limit_s: float) -> Outcome | None:
        try:
            async with asyncio.timeout(limit_s):
                while True:
                    segment, data = await self._received.get()
                    if segment.rst:
                        return Outcome.RESET
                    if data == str(self._sequence % 2**32).encode():
                        return Outcome.ANSWERED
        except TimeoutError:
            return None

    def _packet(self, flags: int, *, acknowledged: int = 0, data: bytes = b"") -> bytes:
        return flow_packet(
            self._own,
            self._service,
            flags,
            sequence=self._sequence,
            acknowledged=acknowledged if flags == SYN else self._expected,
            data=data,
        )

    def _send(self, packet: bytes) -> None:
        self._host.router.forward(self.key, packet)
