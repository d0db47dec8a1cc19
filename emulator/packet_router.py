"""Stand-in of the users' routers: sprays callers' packets over entry instances."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from socket import AF_INET, SOCK_DGRAM, socket
from zlib import crc32

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_client import http_client

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.45
MISSES_UNTIL_OUT = 2
MAX_HEALTH_BYTES = 4096


@dataclass
class LinkFaults:
    """What happens to packets on their way to the entry instances.

    :ivar loss: share of the packets that are lost.
    :ivar duplicates: share that arrive twice.
    :ivar delay_s: longest extra delay; packets overtake each other.
    """

    loss: float = 0.0
    duplicates: float = 0.0
    delay_s: float = 0.0


class PacketRouter:
    """The routers of one zone.

    :param entries: addresses of the zone's entry instances.
    :param packet_port: where entry instances take packets.
    :param ready_port: where they tell whether they are ready.
    :param random: source of the faults.
    """

    def __init__(
        self, entries: list[str], packet_port: int, ready_port: int, random: Random
    ) -> None:
        self.faults = LinkFaults()
        self._entries = entries
        self._packet_port = packet_port
        self._ready_port = ready_port
        self._random = random
        self._misses = dict.fromkeys(entries, MISSES_UNTIL_OUT)
        self._socket = socket(AF_INET, SOCK_DGRAM)
        self._socket.setblocking(False)

    @property
    def rotation(self) -> list[str]:
        """Entry instances that packets are sent to."""
        ready = [ip for ip in self._entries if self._misses[ip] < MISSES_UNTIL_OUT]
        return ready if 2 * len(ready) >= len(self._entries) else self._entries

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Probe the entry instances inside the context."""
        probes = [asyncio.create_task(self._probe(ip)) for ip in self._entries]
        try:
            yield
        finally:
            for probe in probes:
                probe.cancel()
            self._socket.close()

    def forward(self, flow: bytes, packet: bytes) -> None:
        """Send a caller's packet to the entry instance of its flow."""
        rotation = self.rotation
        chosen = rotation[crc32(flow) % len(rotation)]
        if self._random.random() < self.faults.loss:
            return
        self.send(chosen, packet)
        if self._random.random() < self.faults.duplicates:
            self.send(chosen, packet)

    def send(self, entry: str, packet: bytes) -> None:
        """Send a packet to one entry instance, with the delay of the link."""
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
        async with http_client(Address(ip, self._ready_port), MAX_HEALTH_BYTES) as http:
            while True:
                started = asyncio.get_running_loop().time()
                try:
                    status, _ = await http.call("GET", "/readyz", b"", PROBE_TIMEOUT_S)
                except PeerError:
                    # Counted as a miss, as any answer but 200 is.
                    status = 0
                self._misses[ip] = 0 if status == 200 else self._misses[ip] + 1
                spent = asyncio.get_running_loop().time() - started
                await asyncio.sleep(max(0.0, PROBE_INTERVAL_S - spent))
