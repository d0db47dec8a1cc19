"""A network fabric: sprays every single packet over the entry instances.

Each client has an upstream socket of its own, so that an entry instance sees one
address per client. Replies from any entry instance go back to the client from the
service address. Control datagrams can be sprayed in the same way.

Lines on standard input change the entry instances while it runs:
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
# Clients of all sprays together, below the usual limit of 1,024 open files of a
# process; a client beyond it takes the place of the one not heard for longest.
_MAXIMUM_CLIENTS = 900
_BATCH_PACKETS = 32

Peer = tuple[str, int]


@dataclass(slots=True)
class Impairment:
    """Loss and delay of each packet, in each direction.

    :param loss: probability that a packet is lost.
    :param delay_ms: shortest delay.
    :param jitter_ms: largest addition to the delay; it reorders packets.
    :param source: source of all random decisions.
    """

    loss: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def schedule(self, deliver: Callable[[], None]) -> None:
        """Call ``deliver`` after the delay, or never."""
        if self.loss and self.rng.random() < self.loss:
            return
        delay_ms = self.delay_ms + self.jitter_ms * self.rng.random()
        if delay_ms > 0:
            asyncio.get_running_loop().call_later(delay_ms / 1000, deliver)
        else:
            deliver()


class PacketSprayer:
    """Sprays the datagrams that arrive at one address over destinations.

    :param listen: address at which clients send.
    :param destinations: where each datagram may go, chosen at random.
    :param impairment: loss and delay.
    :param maximum_clients: clients that may have a socket at the same time.
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
        self.sent: Counter[Peer] = Counter()
        self._listen = listen
        self._impairment = impairment
        self._upstream: OrderedDict[Peer, socket.socket] = OrderedDict()
        self._front: socket.socket | None = None

    @asynccontextmanager
    async def running(self):
        """Carry datagrams inside the context."""
        self._front = _socket((self._listen.ip, self._listen.port))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._front, self._take_from_client)
        try:
            yield self
        finally:
            while self._upstream:
                self._drop_oldest()
            loop.remove_reader(self._front)
            self._front.close()

    def _take_from_client(self) -> None:
        for data, client in _received(self._front):
            upstream = self._upstream_of(client)
            self._impairment.schedule(partial(self._send_on, upstream, data))

    def _send_on(self, upstream: socket.socket, data: bytes) -> None:
        if not self.destinations:
            return
        destination = self._impairment.rng.choice(self.destinations)
        self.sent[destination] += 1
        with suppress(OSError):
            upstream.sendto(data, destination)

    def _take_reply(self, upstream: socket.socket, client: Peer) -> None:
        for data, _ in _received(upstream):
            self._impairment.schedule(partial(self._send_back, data, client))

    def _send_back(self, data: bytes, client: Peer) -> None:
        with suppress(OSError):
            self._front.sendto(data, client)

    def _upstream_of(self, client: Peer) -> socket.socket:
        upstream = self._upstream.get(client)
        if upstream is None:
            if len(self._upstream) >= self._maximum_clients:
                self._drop_oldest()
            upstream = _socket((self._listen.ip, 0))
            loop = asyncio.get_running_loop()
            loop.add_reader(upstream, self._take_reply, upstream, client)
            self._upstream[client] = upstream
        self._upstream.move_to_end(client)
        return upstream

    def _drop_oldest(self) -> None:
        _, upstream = self._upstream.popitem(last=False)
        asyncio.get_running_loop().remove_reader(upstream)
        upstream.close()


class Fabric:
    """All sprays of one fabric; entry instances listen on the service's port.

    :param services: service addresses that clients use.
    :param entries: IP numbers of the entry instances.
    :param controls: control addresses and what stands behind each.
    """

    def __init__(
        self,
        services: list[Address],
        entries: list[str],
        impairment: Impairment,
        controls: dict[Address, list[Address]] | None = None,
    ) -> None:
        controls = controls or {}
        share = _MAXIMUM_CLIENTS // max(len(services) + len(controls), 1)
        self._services = {
            address: PacketSprayer(
                address, [(ip, address.port) for ip in entries], impairment, share
            )
            for address in services
        }
        self._controls = [
            PacketSprayer(address, [(d.ip, d.port) for d in behind], impairment, share)
            for address, behind in controls.items()
        ]

    @property
    def sent(self) -> Counter[Peer]:
        """Packets sent to each entry instance's service addresses."""
        return sum((s.sent for s in self._services.values()), Counter())

    @asynccontextmanager
    async def running(self):
        """Carry packets inside the context."""
        async with AsyncExitStack() as stack:
            for spray in (*self._services.values(), *self._controls):
                await stack.enter_async_context(spray.running())
            yield self

    def add(self, ip: str) -> None:
        """Let packets go to one more entry instance."""
        for address, spray in self._services.items():
            if (ip, address.port) not in spray.destinations:
                spray.destinations.append((ip, address.port))

    def remove(self, ip: str) -> None:
        """Let no more packets go to an entry instance."""
        for address, spray in self._services.items():
            with suppress(ValueError):
                spray.destinations.remove((ip, address.port))

    def execute_command(self, line: str) -> None:
        """Carry out a line such as ``add 127.0.0.13``; others are reported."""
        match line.split():
            case ["add", ip]:
                self.add(ip)
            case ["remove", ip]:
                self.remove(ip)
            case []:
                pass
            case _:
                print(f"event=unknown-command line={line.strip()!r}", file=sys.stderr)


def _received(sock: socket.socket) -> Iterator[tuple[bytes, Peer]]:
    """Return what has arrived, up to a batch.

    Errors report an earlier datagram that a dead process did not take; they end
    the batch and what follows is read at the next event.
    """
    with suppress(OSError):
        for _ in range(_BATCH_PACKETS):
            yield sock.recvfrom(_RECEIVE_BYTES)


def _socket(address: Peer) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES)
    sock.bind(address)
    return sock


def _control(text: str) -> tuple[Address, list[Address]]:
    front, _, behind = text.partition("=")
    return Address.parse(front), [Address.parse(item) for item in behind.split(",")]


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--service", type=Address.parse, action="append", default=[], required=True
    )
    parser.add_argument("--entry", action="append", default=[], metavar="IP")
    parser.add_argument(
        "--control",
        type=_control,
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
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    impairment = Impairment(
        options.loss, options.delay_ms, options.jitter_ms, random.Random(options.seed)
    )
    fabric = Fabric(options.service, options.entry, impairment, dict(options.control))
    with suppress(OSError):
        loop.add_reader(sys.stdin, _read_command, fabric)
    async with fabric.running():
        print("event=ready", flush=True)
        await stopped.wait()
    for (ip, port), count in sorted(fabric.sent.items()):
        print(f"event=sent entry={ip}:{port} packets={count}", flush=True)


def _read_command(fabric: Fabric) -> None:
    line = sys.stdin.readline()
    if line:
        fabric.execute_command(line)
    else:
        asyncio.get_running_loop().remove_reader(sys.stdin)


def main() -> None:
    """Run until a signal arrives."""
    asyncio.run(_run(_options()))


if __name__ == "__main__":
    main()
