"""Stand-in for a target with a sidecar: holds flows and answers requests."""

import asyncio
import json
import struct
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from socket import AF_INET, SOCK_DGRAM, SOL_SOCKET, inet_aton, socket
from typing import Protocol

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.segments import Endpoint, Segment
from cranberryhold.platform.packets import ACK, FIN, RST, SYN, PacketCodec
from emulator.flow_packets import flow_packet, has_valid_checksum, returned_packet
from emulator.platform_files import MachinePorts

HEARTBEAT_INTERVAL_S = 0.5
# A later response does not count as an acknowledgement.
HEARTBEAT_TIMEOUT_S = 1.0
MAX_FLOWS = 2000
MAX_PACKET_BYTES = 2048
PROCESSING_TIME_S = (0.002, 0.03)
CONCURRENCY = 3
# A cold target takes this many times as long for a request.
COLD_SLOWDOWN = 3.0
# Linux option, the same on x86-64 and arm64: each packet comes with the time at which
# the kernel received it, as the process may read it much later.
_SO_TIMESTAMPNS = 35
_TIMESTAMP = struct.Struct("@ll")
_ANCILLARY_BYTES = 64


class TargetObserver(Protocol):
    """Observer of the packets that targets receive."""

    def opening_received(self, target: "FlowTarget", at: float) -> None:
        """Handle a SYN that is new to a target, which received it at a Unix time."""

    def syn_accepted(self, target: "FlowTarget", segment: Segment) -> None:
        """Handle a SYN that a target has accepted."""

    def packet_received(
        self, target: "FlowTarget", key: bytes, *, is_own: bool
    ) -> None:
        """Handle a packet that is not a SYN, at its own target or at another one."""

    def invalid_packet_at_target(self, target: "FlowTarget", packet: bytes) -> None:
        """Handle a packet that is not as a caller sent it."""


@dataclass
class _FlowState:
    initial_sequence: int
    is_open: bool = False
    is_closed: bool = False


class FlowTarget:
    """One incarnation of a target.

    :param name: id of the target.
    :param service: name of the service.
    :param ip: address of the machine.
    :param ports: ports of the machine.
    :param started_ms: Unix time of the start in milliseconds.
    :param observer: observer of the packets that the target receives.
    :param random: source of sequence numbers and processing times.
    :param cold_s: seconds after its start for which it is slow.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        ports: MachinePorts,
        *,
        started_ms: int,
        observer: TargetObserver,
        random: Random,
        cold_s: float = 0.0,
    ) -> None:
        self.name = name
        self.service = service
        self.ip = ip
        self.alive = False
        self.drain_acknowledged_at: float | None = None
        self._draining = False
        self._heartbeat_sequence = 0
        self._started_ms = started_ms
        self._cold_s = cold_s
        self._ports = ports
        self._observer = observer
        self._random = random
        self._codec = PacketCodec()
        self._socket = socket(AF_INET, SOCK_DGRAM)
        self._socket.setsockopt(SOL_SOCKET, _SO_TIMESTAMPNS, 1)
        self._flows: dict[bytes, _FlowState] = {}

    @property
    def address(self) -> Address:
        """Address where the target receives packets."""
        return Address(self.ip, self._ports.target)

    def holds(self, key: bytes) -> bool:
        """Whether a flow is open at this target."""
        flow = self._flows.get(key)
        return self.alive and flow is not None and flow.is_open and not flow.is_closed

    def cold_for_s(self, at: float) -> float:
        """Return the remaining seconds of its slow start at a Unix time."""
        return max(0.0, self._started_ms / 1000 + self._cold_s - at)

    def drain(self) -> None:
        """Report the target as draining from the next heartbeat on."""
        self._draining = True

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Serve inside the context; leaving it emulates a crash."""
        loop = asyncio.get_running_loop()
        self._socket.setblocking(False)
        self._socket.bind((self.ip, self._ports.target))
        server = await asyncio.start_server(_close, self.ip, self._ports.target)
        loop.add_reader(self._socket.fileno(), self._read)
        heartbeats = asyncio.create_task(self._send_heartbeats())
        self.alive = True
        try:
            yield
        finally:
            self.alive = False
            heartbeats.cancel()
            loop.remove_reader(self._socket.fileno())
            self._socket.close()
            server.close()
            await server.wait_closed()

    async def deregister(self) -> None:
        """Stop serving, and tell the sidecar that this target ends."""
        self.alive = False
        await self._post("deregister", b"")

    def _read(self) -> None:
        while True:
            try:
                packet, ancillary, _, _ = self._socket.recvmsg(
                    MAX_PACKET_BYTES, _ANCILLARY_BYTES
                )
            except BlockingIOError:
                return
            seconds, nanoseconds = _TIMESTAMP.unpack(ancillary[0][2])
            self._handle(packet, seconds + nanoseconds / 1e9)

    def _handle(self, packet: bytes, received_at: float) -> None:
        if not self.alive:
            return
        segment = self._codec.decode(packet)
        if segment is None or not has_valid_checksum(packet):
            self._observer.invalid_packet_at_target(self, packet)
            return
        key = segment.flow_key_from_caller()
        flow = self._flows.get(key)
        if segment.syn:
            if flow is None:
                self._observer.opening_received(self, received_at)
            self._open(segment, packet, key, flow)
            return
        self._observer.packet_received(self, key, is_own=flow is not None)
        if flow is None:
            self._send(returned_packet(packet))
        elif segment.rst:
            del self._flows[key]
        else:
            self._handle_established(segment, flow)

    def _open(
        self, segment: Segment, packet: bytes, key: bytes, flow: _FlowState | None
    ) -> None:
        if flow is None and len(self._flows) >= MAX_FLOWS:
            self._send(returned_packet(packet))
            return
        if flow is None:
            flow = self._flows[key] = _FlowState(self._random.getrandbits(32))
        self._observer.syn_accepted(self, segment)
        self._answer(segment, SYN | ACK, flow.initial_sequence, segment.sequence + 1)

    def _handle_established(self, segment: Segment, flow: _FlowState) -> None:
        next_sequence = flow.initial_sequence + 1
        if segment.acknowledgment != next_sequence % 2**32:
            # The caller has acknowledged another target's SYN+ACK.
            return
        flow.is_open = True
        end = segment.sequence + segment.length
        if flow.is_closed and segment.length:
            self._answer(segment, RST, next_sequence, end)
        elif segment.fin:
            flow.is_closed = True
            self._answer(segment, FIN | ACK, next_sequence, end + 1)
        elif segment.length:
            slowdown = COLD_SLOWDOWN if self.cold_for_s(time.time()) else 1.0
            asyncio.get_running_loop().call_later(
                self._random.uniform(*PROCESSING_TIME_S) * slowdown,
                self._send_response,
                segment,
                flow,
            )

    def _send_response(self, segment: Segment, flow: _FlowState) -> None:
        if self.alive:
            body = f"{segment.sequence}".encode()
            end = segment.sequence + segment.length
            self._answer(segment, ACK, flow.initial_sequence + 1, end, body)

    def _answer(
        self,
        segment: Segment,
        flags: int,
        sequence: int,
        acknowledgment: int,
        data: bytes = b"",
    ) -> None:
        self._send(
            flow_packet(
                Endpoint(segment.destination, segment.destination_port),
                Endpoint(segment.source, segment.source_port),
                flags,
                sequence=sequence,
                acknowledgment=acknowledgment,
                data=data,
            )
        )

    def _send(self, packet: bytes) -> None:
        self._socket.sendto(packet, (self.ip, self._ports.outbound))

    async def _send_heartbeats(self) -> None:
        while True:
            draining = self._draining
            acknowledged = await self._send_heartbeat(draining)
            if acknowledged and draining and self.drain_acknowledged_at is None:
                self.drain_acknowledged_at = asyncio.get_running_loop().time()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * self._random.uniform(0.9, 1.1))

    async def _send_heartbeat(self, draining: bool) -> bool:
        self._heartbeat_sequence += 1
        body = {
            "service": self.service,
            "address": str(self.address),
            "zone": "",
            "version": "v1",
            "state": "draining" if draining else "ready",
            "concurrency": CONCURRENCY,
            "coldRemainingMs": self.cold_for_s(time.time()) * 1000,
            "seq": self._heartbeat_sequence,
            "born": self._started_ms,
        }
        return await self._post("heartbeat", json.dumps(body).encode())

    async def _post(self, operation: str, body: bytes) -> bool:
        address = Address(self.ip, self._ports.heartbeats)
        try:
            response = await HttpClient(address, MAX_PACKET_BYTES).call(
                "POST",
                f"/instances/{self.name}/{operation}",
                body,
                HEARTBEAT_TIMEOUT_S,
            )
        except PeerError:
            # The sidecar is down or paused; the next heartbeat repeats the report.
            return False
        return response.status == 200


async def _close(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()


def service_endpoint(ip: str, port: int) -> Endpoint:
    """Return the address of a route in the form used in packets."""
    return Endpoint(inet_aton(ip), port)
