"""Processes of the data path benchmark: forwarders, packet source and packet sink.

Each runs as ``python -m tools.bench_parts <part> ...``.
"""

import argparse
import asyncio
import socket
import time
from itertools import cycle

from loguru import logger

from cranberryhold.addresses import Address
from cranberryhold.datapath.connection_ids import ConnectionIdCodec, TargetRef
from cranberryhold.datapath.packets import (
    MINIMUM_INITIAL_BYTES,
    Direction,
    ForwardCodec,
)
from cranberryhold.entry import EntryInstance
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.models import (
    AcceptedManifest,
    Manifest,
    Service,
    service_id,
)
from cranberryhold.membership.members import Member, MemberTable, Role
from cranberryhold.settings import EntrySettings, NodeSettings

SERVICE = "core"
TARGET_IPS = tuple(f"127.0.1.{number}" for number in range(1, 11))
PACKET_BYTES = 200
CALLERS = 200
FLOWS_PER_CALLER = 10
WARM_UP_S = 1.0
KEYS = KeyRing({1: bytes(range(32))})
_BATCH_PACKETS = 64


def flow_packet(target: Address, serial: int) -> bytes:
    """Return a short-header packet of an established flow."""
    ref = TargetRef(target, service_id(SERVICE), 1)
    connection_id = ConnectionIdCodec(KEYS).encode(ref, serial)
    return (b"\x40" + connection_id).ljust(PACKET_BYTES, b"\1")


def member_table(targets: list[Address], service: str = SERVICE) -> MemberTable:
    """Return a member table with these targets of one service."""
    members = MemberTable()
    for number, address in enumerate(targets):
        name = f"{service}-{number}"
        members.merge(Member(name, Role.SIDECAR, "z", "r", address, address, service))
    return members


async def run_entry(listen: Address, forward: Address, target_port: int) -> None:
    """Run an entry instance."""
    logger.disable("cranberryhold")
    targets = [Address(ip, target_port) for ip in TARGET_IPS]
    node = NodeSettings("bench", "z", "r", listen, (), KEYS)
    settings = EntrySettings(node, forward)
    entry = EntryInstance(keys=KEYS, members=member_table(targets), settings=settings)
    service = Service(name=SERVICE, addresses=(str(listen),))
    entry.apply_manifest(
        AcceptedManifest(
            generation=1, submission_id="bench", manifest=Manifest(services=(service,))
        )
    )
    async with entry.serving():
        await asyncio.Event().wait()


class _Forwarder(asyncio.DatagramProtocol):
    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._transport.sendto(data, self._target)


async def run_plain(listen: Address, target: Address) -> None:
    """Run a forwarder made of an asyncio datagram endpoint."""
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: _Forwarder((target.ip, target.port)), (listen.ip, listen.port)
    )
    await asyncio.Event().wait()


async def run_batched(listen: Address, target: Address) -> None:
    """Run a forwarder that reads packets in batches, as entry instances do."""
    sock, destination = bind_udp_socket(listen), (target.ip, target.port)
    sock.setblocking(False)

    def forward() -> None:
        for _ in range(_BATCH_PACKETS):
            try:
                data, _ = sock.recvfrom(65535)
                sock.sendto(data, destination)
            except OSError:
                return

    asyncio.get_running_loop().add_reader(sock, forward)
    await asyncio.Event().wait()


def run_source(direction: str, to: Address, target_port: int, reply_port: int) -> None:
    """Send packets to a forwarder as fast as possible.

    :param direction: ``request`` sends packets of flows from many sockets;
        ``reply`` sends replies that the entry instance forwards to callers.
    :param reply_port: port of the sink that stands in for the callers.
    """
    address = (to.ip, to.port)
    if direction == "request":
        callers = [bind_udp_socket(Address("127.0.0.1", 0)) for _ in range(CALLERS)]
        packets = [
            flow_packet(Address(TARGET_IPS[n % len(TARGET_IPS)], target_port), n)
            for n in range(CALLERS * FLOWS_PER_CALLER)
        ]
        sends = [
            (callers[n % CALLERS].sendto, packet) for n, packet in enumerate(packets)
        ]
    else:
        # The service address is the one that the entry instance listens on.
        service = Address(to.ip, to.port - 1)
        codec = ForwardCodec(KEYS, Direction.TO_CALLER)
        send = bind_udp_socket(Address("127.0.0.1", 0)).sendto
        payload = bytes(PACKET_BYTES)
        sends = [
            (send, codec.header(Address(ip, reply_port), service) + payload)
            for ip in TARGET_IPS
        ]
    for send, packet in cycle(sends):
        send(packet, address)


def first_packet(number: int) -> bytes:
    """Return a 1,200-byte Initial packet with this number as connection id."""
    connection_id = number.to_bytes(8, "big")
    header = b"\xc0\x00\x00\x00\x01\x08" + connection_id
    return header.ljust(MINIMUM_INITIAL_BYTES, b"\0")


def run_first_packet_source(to: Address) -> None:
    """Send distinct first packets as fast as possible, from many sockets."""
    address = (to.ip, to.port)
    sends = [bind_udp_socket(Address("127.0.0.1", 0)).sendto for _ in range(CALLERS)]
    for number, send in enumerate(cycle(sends)):
        send(first_packet(number), address)


def run_sink(port: int, seconds: float) -> None:
    """Count packets for ``seconds`` after the warm-up; print packets per second."""
    receive = bind_udp_socket(Address("0.0.0.0", port)).recv_into
    buffer = bytearray(2048)
    receive(buffer)
    begin = time.monotonic() + WARM_UP_S
    while time.monotonic() < begin:
        receive(buffer)
    begin, count, now = time.monotonic(), 0, 0.0
    while now < begin + seconds:
        for _ in range(100):
            receive(buffer)
        count += 100
        now = time.monotonic()
    print(count / (now - begin), flush=True)


def bind_udp_socket(address: Address) -> socket.socket:
    """Return a bound UDP socket with a large receive buffer."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)
    sock.bind((address.ip, address.port))
    return sock


def main() -> None:
    """Run one part until it is terminated; the sink exits by itself."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=("entry", "plain", "batched", "source", "sink"))
    parser.add_argument("--listen", type=Address.parse)
    parser.add_argument("--to", type=Address.parse)
    parser.add_argument("--port", type=int, default=0, help="port of the sink")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument(
        "--direction", choices=("request", "reply", "first"), default="request"
    )
    options = parser.parse_args()
    match options.part:
        case "entry":
            forward = Address(options.listen.ip, options.listen.port + 1)
            asyncio.run(run_entry(options.listen, forward, options.port))
        case "plain":
            asyncio.run(run_plain(options.listen, options.to))
        case "batched":
            asyncio.run(run_batched(options.listen, options.to))
        case "source" if options.direction == "first":
            run_first_packet_source(options.to)
        case "source":
            run_source(options.direction, options.to, options.port, options.port)
        case "sink":
            run_sink(options.port, options.seconds)


if __name__ == "__main__":
    main()
