"""Stand-in of a target beside a sidecar: holds flows and answers requests."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from socket import AF_INET, SOCK_DGRAM, inet_aton, socket
from typing import Protocol

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_client import http_client
from cranberryhold.flows.segments import Endpoint, Segment
from cranberryhold.platform.packets import ACK, FIN, RST, SYN, PacketCodec
from emulator.flow_packets import flow_packet, has_valid_checksum, returned_packet
from emulator.platform_files import MachinePorts

HEARTBEAT_INTERVAL_S = 0.5
# An acknowledgement that comes later is none.
ACKNOWLEDGED_WITHIN_S = 1.0
MAX_FLOWS = 2000
MAX_PACKET_BYTES = 2048
WORK_S = (0.002, 0.03)
CONCURRENCY = 3


class TargetObserver(Protocol):
    """Hears what targets see."""

    def syn_accepted(self, target: "FlowTarget", segment: Segment) -> None:
        """Note that a target has accepted a SYN."""

    def packet_received(
        self, target: "FlowTarget", key: bytes, *, is_own: bool
    ) -> None:
        """Note a packet of a flow that was opened, at its target or another."""

    def invalid_packet_at_target(self, target: "FlowTarget", packet: bytes) -> None:
        """Note a packet that no caller wrote so."""


@dataclass
class _Held:
    first: int
    is_open: bool = False
    is_closed: bool = False


class FlowTarget:
    """One incarnation of a target.

    :param name: its id.
    :param service: name of its service.
    :param ip: address of its machine.
    :param ports: ports of its machine.
    :param born_ms: Unix time of its start in milliseconds.
    :param observer: hears what it sees.
    :param random: source of sequence numbers and working times.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        ports: MachinePorts,
        *,
        born_ms: int,
        observer: TargetObserver,
        random: Random,
    ) -> None:
        self.name = name
        self.service = service
        self.ip = ip
        self.alive = False
        self.drain_acknowledged_at: float | None = None
        self._draining = False
        self._beats = 0
        self._born_ms = born_ms
        self._ports = ports
        self._observer = observer
        self._random = random
        self._codec = PacketCodec()
        self._socket = socket(AF_INET, SOCK_DGRAM)
        self._flows: dict[bytes, _Held] = {}

    @property
    def address(self) -> Address:
        """Where it receives packets."""
        return Address(self.ip, self._ports.target)

    def holds(self, key: bytes) -> bool:
        """Whether a flow is open here."""
        held = self._flows.get(key)
        return self.alive and held is not None and held.is_open and not held.is_closed

    def drain(self) -> None:
        """Report that it leaves from the next heartbeat on."""
        self._draining = True

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Serve inside the context; leaving it is a crash."""
        loop = asyncio.get_running_loop()
        self._socket.setblocking(False)
        self._socket.bind((self.ip, self._ports.target))
        server = await asyncio.start_server(_close, self.ip, self._ports.target)
        loop.add_reader(self._socket.fileno(), self._read)
        beats = asyncio.create_task(self._send_heartbeats())
        self.alive = True
        try:
            yield
        finally:
            self.alive = False
            beats.cancel()
            loop.remove_reader(self._socket.fileno())
            self._socket.close()
            server.close()
            await server.wait_closed()

    async def deregister(self) -> None:
        """Tell the sidecar that this target ends, and serve nothing any more."""
        self.alive = False
        await self._call("deregister", b"")

    def _read(self) -> None:
        while True:
            try:
                packet = self._socket.recv(MAX_PACKET_BYTES)
            except BlockingIOError:
                return
            self._take(packet)

    def _take(self, packet: bytes) -> None:
        if not self.alive:
            return
        segment = self._codec.decode(packet)
        if segment is None or not has_valid_checksum(packet):
            self._observer.invalid_packet_at_target(self, packet)
            return
        key = segment.flow_key_from_caller()
        held = self._flows.get(key)
        if segment.syn:
            self._open(segment, packet, key, held)
            return
        self._observer.packet_received(self, key, is_own=held is not None)
        if held is None:
            self._send(returned_packet(packet))
        elif segment.rst:
            del self._flows[key]
        else:
            self._proceed(segment, held)

    def _open(
        self, segment: Segment, packet: bytes, key: bytes, held: _Held | None
    ) -> None:
        if held is None and len(self._flows) >= MAX_FLOWS:
            self._send(returned_packet(packet))
            return
        if held is None:
            held = self._flows[key] = _Held(self._random.getrandbits(32))
        self._observer.syn_accepted(self, segment)
        self._answer(segment, SYN | ACK, held.first, segment.sequence + 1)

    def _proceed(self, segment: Segment, held: _Held) -> None:
        follows = held.first + 1
        if segment.acknowledgment != follows % 2**32:
            # The caller acknowledged another target's SYN+ACK.
            return
        held.is_open = True
        end = segment.sequence + segment.length
        if held.is_closed and segment.length:
            self._answer(segment, RST, follows, end)
        elif segment.fin:
            held.is_closed = True
            self._answer(segment, FIN | ACK, follows, end + 1)
        elif segment.length:
            asyncio.get_running_loop().call_later(
                self._random.uniform(*WORK_S), self._finish, segment, held
            )

    def _finish(self, segment: Segment, held: _Held) -> None:
        if self.alive:
            body = f"{segment.sequence}".encode()
            end = segment.sequence + segment.length
            self._answer(segment, ACK, held.first + 1, end, body)

    def _answer(
        self,
        segment: Segment,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes = b"",
    ) -> None:
        self._send(
            flow_packet(
                Endpoint(segment.destination, segment.destination_port),
                Endpoint(segment.source, segment.source_port),
                flags,
                sequence=sequence,
                acknowledged=acknowledged,
                data=data,
            )
        )

    def _send(self, packet: bytes) -> None:
        self._socket.sendto(packet, (self.ip, self._ports.outbound))

    async def _send_heartbeats(self) -> None:
        while True:
            draining = self._draining
            acknowledged = await self._beat(draining)
            if acknowledged and draining and self.drain_acknowledged_at is None:
                self.drain_acknowledged_at = asyncio.get_running_loop().time()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * self._random.uniform(0.9, 1.1))

    async def _beat(self, draining: bool) -> bool:
        self._beats += 1
        body = {
            "service": self.service,
            "address": str(self.address),
            "zone": "",
            "version": "v1",
            "state": "draining" if draining else "ready",
            "concurrency": CONCURRENCY,
            "coldRemainingMs": 0,
            "seq": self._beats,
            "born": self._born_ms,
        }
        return await self._call("heartbeat", json.dumps(body).encode())

    async def _call(self, verb: str, body: bytes) -> bool:
        address = Address(self.ip, self._ports.heartbeats)
        async with http_client(address, MAX_PACKET_BYTES) as client:
            try:
                status, _ = await client.call(
                    "POST",
                    f"/instances/{self.name}/{verb}",
                    body,
                    ACKNOWLEDGED_WITHIN_S,
                )
            except PeerError:
                # The sidecar is down or paused; the next call says the same.
                return False
        return status == 200


async def _close(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()


def service_endpoint(ip: str, port: int) -> Endpoint:
    """Return the address of a route as packets carry it."""
    return Endpoint(inet_aton(ip), port)
