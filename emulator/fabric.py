"""Emulator of a network fabric that sprays packets over the entry instances.

An entry instance is chosen at random for every packet. Each client has an upstream
socket of its own, so that an entry instance sees one address per client. Replies from
any entry instance go back to the client from the service address. Control datagrams
can be sprayed in the same way.

Lines on standard input change the set of entry instances at run time:
``add 127.0.0.13`` and ``remove 127.0.0.12``.
"""

import argparse
import asyncio
import random
import signal
import socket
import sys
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial

from cranberryhold.addresses import Address

_RECEIVE_BYTES = 65535
_SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
# Clients of all sprayers together, below the usual limit of 1,024 open files per
# process. A further client replaces the one that has been inactive for longest.
_MAXIMUM_CLIENTS = 900
_BATCH_PACKETS = 32

Peer = tuple[str, int]


@dataclass(slots=True)
class Impairment:
    """Random loss and delay of packets, applied in both directions.

    :param loss: probability that a packet is lost.
    :param delay_ms: minimum delay.
    :param jitter_ms: maximum random addition to the delay; it reorders packets.
    :param rng: random number generator for all decisions.
    """

    loss: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def schedule(self, deliver: Callable[[], None]) -> None:
        """Call ``deliver`` after the delay, or never if the packet is lost."""
        if self.loss and self.rng.random() < self.loss:
            return
        delay_ms = self.delay_ms + self.jitter_ms * self.rng.random()
        if delay_ms > 0:
            asyncio.get_running_loop().call_later(delay_ms / 1000, deliver)
        else:
            deliver()


class PacketSprayer:
    """Forwards each datagram that arrives at an address to a random destination.

    :param listen: address to which clients send.
    :param destinations: addresses from which the destination is chosen.
    :param impairment: loss and delay.
    :param maximum_clients: number of clients that may have a socket at a time.
    """

    def __init__(
        self,
        listen: Address,
        destinations: list[Peer],
        impairment: Impairment,
        maximum_clients: int = _MAXIMUM_CLIENTS,
    ) -> None:
        self._maximum_clients = maximum_clients
        self.destinations = destinations
        self.packets_sent: Counter[Peer] = Counter()
        self._listen = listen
        self._impairment = impairment
        self._upstream_sockets: OrderedDict[Peer, socket.socket] = OrderedDict()
        self._client_socket: socket.socket | None = None

    @asynccontextmanager
    async def running(self):
        """Forward datagrams inside the context."""
        self._client_socket = _open_socket((self._listen.ip, self._listen.port))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._client_socket, self._receive_from_clients)
        try:
            yield self
        finally:
            while self._upstream_sockets:
                self._evict_least_recent()
            loop.remove_reader(self._client_socket)
            self._client_socket.close()

    def _receive_from_clients(self) -> None:
        for data, client in _receive_batch(self._client_socket):
            upstream = self._upstream_socket(client)
            self._impairment.schedule(partial(self._forward, upstream, data))

    def _forward(self, upstream: socket.socket, data: bytes) -> None:
        if not self.destinations:
            return
        destination = self._impairment.rng.choice(self.destinations)
        self.packets_sent[destination] += 1
        with suppress(OSError):
            upstream.sendto(data, destination)

    def _receive_replies(self, upstream: socket.socket, client: Peer) -> None:
        for data, _ in _receive_batch(upstream):
            self._impairment.schedule(partial(self._return_reply, data, client))

    def _return_reply(self, data: bytes, client: Peer) -> None:
        with suppress(OSError):
            self._client_socket.sendto(data, client)

    def _upstream_socket(self, client: Peer) -> socket.socket:
        upstream = self._upstream_sockets.get(client)
        if upstream is None:
            if len(self._upstream_sockets) >= self._maximum_clients:
                self._evict_least_recent()
            upstream = _open_socket((self._listen.ip, 0))
            loop = asyncio.get_running_loop()
            loop.add_reader(upstream, self._receive_replies, upstream, client)
            self._upstream_sockets[client] = upstream
        self._upstream_sockets.move_to_end(client)
        return upstream

    def _evict_least_recent(self) -> None:
        _, upstream = self._upstream_sockets.popitem(last=False)
        asyncio.get_running_loop().remove_reader(upstream)
        upstream.close()


class Fabric:
    """The sprayers of one fabric; entry instances listen on the service's port.

    :param services: service addresses that clients use.
    :param entries: IP addresses of the entry instances.
    :param controls: backend addresses of each control address.
    """

    def __init__(
        self,
        services: list[Address],
        entries: list[str],
        impairment: Impairment,
        controls: dict[Address, list[Address]] | None = None,
    ) -> None:
        controls = controls or {}
        client_limit = _MAXIMUM_CLIENTS // max(len(services) + len(controls), 1)
        self._service_sprayers = {
            address: PacketSprayer(
                address,
                [(ip, address.port) for ip in entries],
                impairment,
                client_limit,
            )
            for address in services
        }
        self._control_sprayers = [
            PacketSprayer(
                address, [(d.ip, d.port) for d in backends], impairment, client_limit
            )
            for address, backends in controls.items()
        ]

    @property
    def packets_sent(self) -> Counter[Peer]:
        """Number of packets sent to each service address of an entry instance."""
        return sum((s.packets_sent for s in self._service_sprayers.values()), Counter())

    @asynccontextmanager
    async def running(self):
        """Forward packets inside the context."""
        async with AsyncExitStack() as stack:
            for sprayer in (*self._service_sprayers.values(), *self._control_sprayers):
                await stack.enter_async_context(sprayer.running())
            yield self

    def add_entry(self, ip: str) -> None:
        """Start sending packets to an entry instance."""
        for address, sprayer in self._service_sprayers.items():
            if (ip, address.port) not in sprayer.destinations:
                sprayer.destinations.append((ip, address.port))

    def remove_entry(self, ip: str) -> None:
        """Stop sending packets to an entry instance."""
        for address, sprayer in self._service_sprayers.items():
            with suppress(ValueError):
                sprayer.destinations.remove((ip, address.port))

    def execute_command(self, line: str) -> None:
        """Execute a line such as ``add 127.0.0.13``; report an unknown command."""
        match line.split():
            case ["add", ip]:
                self.add_entry(ip)
            case ["remove", ip]:
                self.remove_entry(ip)
            case []:
                pass
            case _:
                print(f"event=unknown-command line={line.strip()!r}", file=sys.stderr)


def _receive_batch(udp_socket: socket.socket) -> Iterator[tuple[bytes, Peer]]:
    """Yield the datagrams that have arrived, up to one batch.

    A socket error reports that an earlier datagram reached a closed port. It ends the
    batch; the remaining datagrams are read at the next event.
    """
    with suppress(OSError):
        for _ in range(_BATCH_PACKETS):
            yield udp_socket.recvfrom(_RECEIVE_BYTES)


def _open_socket(address: Peer) -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES)
    udp_socket.bind(address)
    return udp_socket


def _parse_control(text: str) -> tuple[Address, list[Address]]:
    listen, _, backends = text.partition("=")
    return Address.parse(listen), [Address.parse(item) for item in backends.split(",")]


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--service", type=Address.parse, action="append", default=[], required=True
    )
    parser.add_argument("--entry", action="append", default=[], metavar="IP")
    parser.add_argument(
        "--control",
        type=_parse_control,
        action="append",
        default=[],
        metavar="ADDRESS=ADDRESS,...",
    )
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--delay-ms", type=float, default=0.0)
    parser.add_argument("--jitter-ms", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


async def _run(options: argparse.Namespace) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_requested.set)
    impairment = Impairment(
        options.loss, options.delay_ms, options.jitter_ms, random.Random(options.seed)
    )
    fabric = Fabric(options.service, options.entry, impairment, dict(options.control))
    with suppress(OSError):
        loop.add_reader(sys.stdin, _read_command, fabric)
    async with fabric.running():
        print("event=ready", flush=True)
        await stop_requested.wait()
    for (ip, port), count in sorted(fabric.packets_sent.items()):
        print(f"event=sent entry={ip}:{port} packets={count}", flush=True)


def _read_command(fabric: Fabric) -> None:
    line = sys.stdin.readline()
    if line:
        fabric.execute_command(line)
    else:
        asyncio.get_running_loop().remove_reader(sys.stdin)


def main() -> None:
    """Run until SIGINT or SIGTERM."""
    asyncio.run(_run(_parse_options()))


if __name__ == "__main__":
    main()
