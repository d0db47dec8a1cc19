"""Stand-in for clients: open flows, send requests, retransmit as the page says."""

import asyncio
import random
import socket
from collections.abc import Callable

from stand_ins.packets import ACK, FIN, RST, SYN, Packet, decode
from stand_ins.record import Record

SYN_COPIES_S = (0.2, 0.4, 0.8)
FIRST_RETRANSMISSION_S = 0.2
LONGEST_RETRANSMISSION_S = 1.6
DEADLINE_S = 2.5


class Flow:
    """One flow of a client.

    :param client: the client.
    :param sport: port of the client's end.
    :param host: address of the route.
    :param dport: port of the route.
    """

    def __init__(self, client: "Client", sport: int, host: str, dport: int) -> None:
        self.client = client
        self.key = (client.ip, sport, host, dport)
        self.is_open = False
        # Resets that the system sent after the handshake: time, sender, and name of the
        # living target at which the flow was open then.
        self.resets: list[tuple[float, str, str | None]] = []
        self.reset_by_target = False
        self.closed = False
        self.entry = ""
        self._seq = random.getrandbits(32)
        self._ack = 0
        self._changed = asyncio.Event()
        self._answered = 0
        self._sent = 0

    @property
    def ended(self) -> bool:
        """Whether a reset has ended the flow."""
        return bool(self.resets) or self.reset_by_target

    async def open(self) -> bool:
        """Open the flow; return whether a target accepted it."""
        for copy, wait_s in enumerate(SYN_COPIES_S):
            self._send(SYN, self._seq, copy)
            if await self._wait(wait_s, lambda: self.is_open or self.ended):
                break
        return self.is_open

    async def request(self, text: str) -> str:
        """Send a request; return ``answered``, ``reset`` or ``deadline``."""
        data = text.encode()
        self._sent += 1
        wanted = self._sent
        delay_s, left_s = FIRST_RETRANSMISSION_S, DEADLINE_S
        while left_s > 0 and not self.ended:
            self._send(ACK, self._seq, self._ack, data)
            wait_s = min(delay_s, left_s)
            if await self._wait(wait_s, lambda: self._answered >= wanted or self.ended):
                break
            left_s -= wait_s
            delay_s = min(LONGEST_RETRANSMISSION_S, 2 * delay_s)
        if self._answered >= wanted:
            self._seq += len(data)
            self._send(ACK, self._seq, self._ack)
            return "answered"
        return "reset" if self.ended else "deadline"

    def handle(self, packet: Packet, sender: str) -> None:
        """Handle a packet for this flow."""
        record = self.client.record
        if packet.flags & RST:
            if packet.sum == 0:
                if self.is_open:
                    holder = self.client.holder_of(self.key)
                    self.resets.append((record.now(), sender, holder))
                else:
                    self.reset_by_target = True
            elif packet.is_sound():
                self.reset_by_target = True
        elif not packet.is_sound():
            record.write(f"MIXED {self.name} got a packet nobody wrote so")
        elif packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self._seq += 1
                self._ack = packet.seq + 1
                self._send(ACK, self._seq, self._ack)
        elif packet.flags & FIN:
            if packet.seq == self._ack % 2**32 and not self.closed:
                self._ack += 1
                self._send(FIN | ACK, self._seq, self._ack)
                self.closed = True
        elif packet.data and packet.seq == self._ack % 2**32:
            self._ack += len(packet.data)
            self._answered += 1
        self._changed.set()

    @property
    def name(self) -> str:
        """Name of the flow in the record."""
        return f"flow {self.key[0]}:{self.key[1]}"

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        src, sport, dst, dport = self.key
        packet = Packet(dst, dport, src, sport, flags, seq % 2**32, ack % 2**32, data)
        self.client.send(packet, self)

    async def _wait(self, seconds: float, condition: Callable[[], bool]) -> bool:
        try:
            async with asyncio.timeout(seconds):
                while not condition():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True


class Client:
    """The clients behind one address.

    :param ip: address of the clients.
    :param port: port at which they get packets, that of ``packetAddr``.
    :param route: returns the daemon that the zone's routers forward a packet to.
    :param holder_of: returns the name of the living target that holds a flow, or None.
    :param record: the record of the case.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        route: Callable[[tuple[str, int, str, int]], str | None],
        holder_of: Callable[[tuple[str, int, str, int]], str | None],
        record: Record,
    ) -> None:
        self.ip = ip
        self.record = record
        self.holder_of = holder_of
        self._port = port
        self._route = route
        self._flows: dict[tuple[str, int, str, int], Flow] = {}
        self._next_port = 1025
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((ip, port))
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._read)

    def new_flow(self, host: str, dport: int, sport: int | None = None) -> Flow:
        """Return a new flow, from a new port unless one is given."""
        if sport is None:
            sport = self._next_port
            self._next_port += 1
        flow = Flow(self, sport, host, dport)
        self._flows[flow.key] = flow
        return flow

    def send(self, packet: Packet, flow: Flow) -> None:
        """Send a packet through the routers."""
        entry = self._route(flow.key)
        if entry is not None:
            flow.entry = entry
            self._socket.sendto(packet.encode(), (entry, self._port))

    def close(self) -> None:
        """Stop."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def _read(self) -> None:
        while True:
            try:
                datagram, sender = self._socket.recvfrom(2048)
            except (BlockingIOError, OSError):
                return
            packet = decode(datagram)
            flow = self._flows.get((packet.dst, packet.dport, packet.src, packet.sport))
            if flow is not None:
                flow.handle(packet, sender[0])
