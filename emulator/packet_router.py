"""Stand-in for the users' routers: spreads callers' packets over entry instances."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from socket import AF_INET, SOCK_DGRAM, socket
from zlib import crc32

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_client import HttpClient

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.45
UNHEALTHY_THRESHOLD = 2
MAX_HEALTH_BYTES = 4096


@dataclass
class LinkFaults:
    """Faults of the link to the entry instances.

    :ivar loss: fraction of packets that are lost.
    :ivar duplication: fraction of packets that arrive twice.
    :ivar delay_s: maximum extra delay, drawn per packet, so packets are reordered.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.0


class PacketRouter:
    """The routers of one zone.

    :param entries: addresses of the zone's entry instances.
    :param packet_port: port on which entry instances receive packets.
    :param ready_port: port of their readiness endpoint.
    :param random: source of randomness for the faults.
    """

    def __init__(
        self, entries: list[str], packet_port: int, ready_port: int, random: Random
    ) -> None:
        self.faults = LinkFaults()
        self._entries = entries
        self._packet_port = packet_port
        self._ready_port = ready_port
        self._random = random
        self._failed_probes = dict.fromkeys(entries, UNHEALTHY_THRESHOLD)
        self._socket = socket(AF_INET, SOCK_DGRAM)
        self._socket.setblocking(False)

    @property
    def rotation(self) -> list[str]:
        """Entry instances that receive packets; all if fewer than half are healthy."""
        ready = [
            ip for ip in self._entries if self._failed_probes[ip] < UNHEALTHY_THRESHOLD
        ]
        return ready if 2 * len(ready) >= len(self._entries) else self._entries

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Probe the entry instances until the context ends."""
        probes = [asyncio.create_task(self._probe(ip)) for ip in self._entries]
        try:
            yield
        finally:
            for probe in probes:
                probe.cancel()
            self._socket.close()

    def forward(self, flow: bytes, packet: bytes) -> None:
        """Send a caller's packet to the entry instance that its flow hashes to."""
        rotation = self.rotation
        chosen = rotation[crc32(flow) % len(rotation)]
        if self._random.random() < self.faults.loss:
            return
        self.send(chosen, packet)
        if self._random.random() < self.faults.duplication:
            self.send(chosen, packet)

    def send(self, entry: str, packet: bytes) -> None:
        """Send a packet to an entry instance with the delay of the link."""
        delay_s = self._random.uniform(0.0, self.faults.delay_s)
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._send_now, entry, packet)
        else:
            self._send_now(entry, packet)

    def _send_now(self, entry: str, packet: bytes) -> None:
        if self._socket.fileno() >= 0:
            self._socket.sendto(packet, (entry, self._packet_port))

    async def _probe(self, ip: str) -> None:
        http = HttpClient(Address(ip, self._ready_port), MAX_HEALTH_BYTES)
        while True:
            started_at = asyncio.get_running_loop().time()
            try:
                probe = await http.call("GET", "/readyz", b"", PROBE_TIMEOUT_S)
                status = probe.status
            except PeerError:
                # A failed probe, like any status other than 200.
                status = 0
            self._failed_probes[ip] = (
                0 if status == 200 else self._failed_probes[ip] + 1
            )
            elapsed_s = asyncio.get_running_loop().time() - started_at
            await asyncio.sleep(max(0.0, PROBE_INTERVAL_S - elapsed_s))
