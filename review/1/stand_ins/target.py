"""Stand-in for a target: holds flows, answers requests, sends heartbeats."""

import asyncio
import json
import random
import socket
import time
from dataclasses import dataclass, field

from stand_ins import http
from stand_ins.packets import ACK, FIN, RST, SYN, Packet, bounced, decode
from stand_ins.record import Record

SLOTS = 4
MAX_FLOWS = 2000
WORK_S = 0.02
BEAT_S = 0.77
BEAT_TIMEOUT_S = 1.0


@dataclass
class _Flow:
    initial: int
    is_open: bool = False
    closed: bool = False
    # Whether this end has sent its FIN.
    closing: bool = False
    used_at: float = 0.0
    # Next byte expected from the client, and the next one to send.
    expected: int = 0
    next: int = 0
    answers: dict[int, Packet] = field(default_factory=dict)


class Target:
    """One incarnation of a target beside a sidecar daemon.

    :param name: id of the target; a target may start again under the id it had.
    :param service: name of the service.
    :param machine: the machine that it runs on.
    :param record: the record of the case.
    """

    def __init__(self, name: str, service: str, machine, record: Record) -> None:
        self.name = name
        self.service = service
        self.machine = machine
        self.alive = False
        self.state = "ready"
        self.acknowledged: list[tuple[float, str, int | None]] = []
        self.born = time.time_ns() // 1_000_000
        self.runs = 0
        # Seconds after which it closes an idle flow, None for never.
        self.idle_close_s: float | None = None
        # Seconds from the start to the first heartbeat.
        self.first_beat_after_s = 0.0
        self._seq = 0
        self._record = record
        self._flows: dict[tuple[str, int, str, int], _Flow] = {}
        self._tasks: list[asyncio.Task] = []

    @property
    def app(self) -> str:
        """Address where it takes packets."""
        return f"{self.machine.ip}:{self.machine.ports.app}"

    def holds(self, key: tuple[str, int, str, int]) -> bool:
        """Whether a flow is open here."""
        flow = self._flows.get(key)
        return self.alive and flow is not None and flow.is_open and not flow.closed

    async def start(self) -> None:
        """Start to serve."""
        ip, port = self.machine.ip, self.machine.ports.app
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((ip, port))
        self._health = await http.serve(ip, port, self._answer_health)
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._read)
        self.alive = True
        self._record.write(
            f"target {self.name} ({self.service}) starts on {self.machine.name}, "
            f"born {self.born}"
        )
        self._tasks.append(asyncio.create_task(self._beat()))
        self._tasks.append(asyncio.create_task(self._close_idle()))

    async def stop(self) -> None:
        """End at once, as in a crash or after a shutdown."""
        if not self.alive:
            return
        self.alive = False
        for task in self._tasks:
            task.cancel()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
        self._health.close()
        await self._health.wait_closed()
        self._record.write(f"target {self.name} on {self.machine.name} has ended")

    def body(self, **changes: object) -> bytes:
        """Return the body of the next heartbeat."""
        self._seq += 1
        beat = {
            "service": self.service,
            "address": self.app,
            "zone": self.machine.zone,
            "version": "v1",
            "concurrency": SLOTS,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self._seq,
            "born": self.born,
        }
        return json.dumps({**beat, **changes}).encode()

    async def post(self, operation: str, body: bytes) -> int | None:
        """Call the daemon beside this target; return the status or None."""
        return await http.call(
            self.machine.ip,
            self.machine.ports.control,
            "POST",
            f"/instances/{self.name}/{operation}",
            body,
            BEAT_TIMEOUT_S,
        )

    async def _beat(self) -> None:
        await asyncio.sleep(self.first_beat_after_s)
        while True:
            state = self.state
            status = await self.post("heartbeat", self.body())
            self.acknowledged.append((self._record.now(), state, status))
            await asyncio.sleep(BEAT_S * random.uniform(0.9, 1.1))

    async def _close_idle(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for key, flow in list(self._flows.items()):
                if (
                    self.idle_close_s is not None
                    and flow.is_open
                    and not flow.closing
                    and now - flow.used_at > self.idle_close_s
                ):
                    flow.closing = True
                    fin = Packet(
                        *key, FIN | ACK, flow.next % 2**32, flow.expected % 2**32
                    )
                    self._send_raw(fin.encode())
                    flow.next += 1

    async def _answer_health(self, *_: object) -> http.Reply:
        return (200 if self.state == "ready" else 503), b"", {}

    def _read(self) -> None:
        while True:
            try:
                datagram = self._socket.recv(2048)
            except (BlockingIOError, OSError):
                return
            self._handle(datagram)

    def _handle(self, datagram: bytes) -> None:
        packet = decode(datagram)
        if not packet.is_sound():
            self._record.write(f"UNASKED {self.name} got a packet nobody wrote so")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow.closed:
                if len(self._flows) >= MAX_FLOWS:
                    self._send_raw(bounced(datagram))
                    return
                flow = _Flow(random.getrandbits(32), expected=packet.seq + 1)
                flow.next = flow.initial + 1
                self._flows[key] = flow
            self._send(packet, SYN | ACK, flow.initial, flow.expected)
        elif flow is None:
            self._send_raw(bounced(datagram))
        elif packet.flags & RST:
            del self._flows[key]
        elif flow.is_open or packet.ack == flow.next % 2**32:
            flow.is_open = True
            flow.used_at = time.monotonic()
            self._handle_open(packet, flow, key)

    def _handle_open(self, packet: Packet, flow: _Flow, key: tuple) -> None:
        if flow.closed:
            if packet.data:
                self._send(packet, RST, flow.next, flow.expected)
            elif packet.flags & FIN:
                self._send(packet, ACK, flow.next, packet.seq + 1)
            return
        if packet.data:
            known = flow.answers.get(packet.seq)
            if known is not None:
                self._send_raw(known.encode())
            elif packet.seq % 2**32 == flow.expected % 2**32:
                flow.expected += len(packet.data)
                self.runs += 1
                self._record.write(f"{self.name} runs {packet.data.decode()}")
                asyncio.get_running_loop().call_later(
                    WORK_S, self._respond, packet, flow
                )
        if packet.flags & FIN:
            flow.closed = True
            flags = ACK if flow.closing else FIN | ACK
            self._send(packet, flags, flow.next, packet.seq + len(packet.data) + 1)

    def _respond(self, packet: Packet, flow: _Flow) -> None:
        if not self.alive:
            return
        body = b"answer to " + packet.data
        answer = self._packet(packet, ACK, flow.next, flow.expected, body)
        flow.next += len(body)
        flow.answers[packet.seq] = answer
        self._send_raw(answer.encode())

    def _packet(
        self, to: Packet, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> Packet:
        return Packet(
            to.src, to.sport, to.dst, to.dport, flags, seq % 2**32, ack % 2**32, data
        )

    def _send(self, to: Packet, flags: int, seq: int, ack: int) -> None:
        self._send_raw(self._packet(to, flags, seq, ack).encode())

    def _send_raw(self, datagram: bytes) -> None:
        self._socket.sendto(datagram, (self.machine.ip, self.machine.ports.outbound))
