"""Stand-in for the users' callers: flows that open, send requests and close."""

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

# Time-out of each SYN; the attempt fails after the last one.
SYN_TIMEOUTS_S = (0.2, 0.4, 0.8)
INITIAL_RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
MAX_PACKET_BYTES = 2048
FIRST_PORT, LAST_PORT = 20_000, 60_000


class Outcome(StrEnum):
    """Result of a caller's attempt to open a flow or to send a request."""

    ANSWERED = "answered"
    RESET = "reset"
    LATE = "late"


class CallerObserver(Protocol):
    """Observer of the packets that callers receive."""

    def reset_received(self, key: bytes, *, by_target: bool) -> None:
        """Handle the reset of a flow, by its target or by the load balancer."""

    def invalid_packet_at_caller(self, key: bytes, packet: bytes) -> None:
        """Handle a packet that is not as a target sent it."""


class CallerHost:
    """A host with callers, which sends packets through the routers of its zone.

    :param ip: address of the host.
    :param packet_port: port where packets for callers are received.
    :param router: the routers of the zone.
    :param observer: observer of the packets that the callers receive.
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
        """Receive packets inside the context."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)
        try:
            yield
        finally:
            loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def flow(self, service: Endpoint) -> "CallerFlow":
        """Return a flow from a new port, not opened yet."""
        self._next_port += 1
        if self._next_port > LAST_PORT:
            self._next_port = FIRST_PORT
        flow = CallerFlow(self, Endpoint(self._ip, self._next_port), service)
        self._flows[flow.key] = flow
        return flow

    def forget(self, key: bytes) -> None:
        """Discard packets for a flow from now on."""
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
            is_generated = segment.rst and is_generated_reset(packet)
            if not is_generated and not has_valid_checksum(packet):
                self.observer.invalid_packet_at_caller(key, packet)
            elif key in self._flows:
                data = packet[-segment.length :] if segment.length else b""
                self._flows[key].handle(segment, data, is_generated=is_generated)


class CallerFlow:
    """One flow; created by :meth:`CallerHost.flow`."""

    def __init__(self, host: CallerHost, own: Endpoint, service: Endpoint) -> None:
        self._host = host
        self._own = own
        self._service = service
        self._sequence = host.random.getrandbits(32)
        self._acknowledgment = 0
        self._received: asyncio.Queue[tuple[Segment, bytes]] = asyncio.Queue()
        packet = flow_packet(own, service, SYN)
        segment = PacketCodec().decode(packet)
        assert segment is not None
        self.key = segment.flow_key_from_caller()

    def handle(self, segment: Segment, data: bytes, *, is_generated: bool) -> None:
        """Handle a packet from the other end of the flow, or a reset."""
        if segment.rst:
            self._host.observer.reset_received(self.key, by_target=not is_generated)
        self._received.put_nowait((segment, data))

    async def open(self) -> Outcome:
        """Send a SYN and its copies until one is accepted."""
        for copy, timeout_s in enumerate(SYN_TIMEOUTS_S):
            self._send(self._packet(SYN, acknowledgment=copy))
            try:
                async with asyncio.timeout(timeout_s):
                    while True:
                        segment, _ = await self._received.get()
                        if segment.rst:
                            return Outcome.RESET
                        if segment.syn:
                            self._acknowledgment = segment.sequence + 1
                            self._sequence += 1
                            self._send(self._packet(ACK))
                            return Outcome.ANSWERED
            except TimeoutError:
                continue
        return Outcome.LATE

    async def send_request(self, deadline_s: float) -> Outcome:
        """Send a request and retransmit it until it is answered, reset or too late."""
        request = b"request"
        timeout_s = INITIAL_RETRANSMISSION_S
        try:
            async with asyncio.timeout(deadline_s):
                while True:
                    self._send(self._packet(ACK, data=request))
                    outcome = await self._receive_answer(timeout_s)
                    if outcome is not None:
                        self._sequence += len(request)
                        return outcome
                    timeout_s = min(MAX_RETRANSMISSION_S, 2 * timeout_s)
        except TimeoutError:
            return Outcome.LATE

    async def probe(self, entry: str, timeout_s: float) -> None:
        """Open the flow through one entry instance with a single SYN, then reset it."""
        self._host.router.send(entry, self._packet(SYN))
        try:
            async with asyncio.timeout(timeout_s):
                segment, _ = await self._received.get()
        except TimeoutError:
            self._host.forget(self.key)
            return
        self._sequence += 1
        self._acknowledgment = segment.sequence + 1
        self.reset()

    def close(self) -> None:
        """End the flow."""
        self._send(self._packet(FIN | ACK))
        self._host.forget(self.key)

    def reset(self) -> None:
        """Reset the flow."""
        self._send(self._packet(RST | ACK))
        self._host.forget(self.key)

    async def _receive_answer(self, timeout_s: float) -> Outcome | None:
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    segment, data = await self._received.get()
                    if segment.rst:
                        return Outcome.RESET
                    if data == str(self._sequence % 2**32).encode():
                        return Outcome.ANSWERED
        except TimeoutError:
            return None

    def _packet(
        self, flags: int, *, acknowledgment: int = 0, data: bytes = b""
    ) -> bytes:
        return flow_packet(
            self._own,
            self._service,
            flags,
            sequence=self._sequence,
            acknowledgment=acknowledgment if flags == SYN else self._acknowledgment,
            data=data,
        )

    def _send(self, packet: bytes) -> None:
        self._host.router.forward(self.key, packet)
