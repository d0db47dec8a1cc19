"""Loopback sockets for tests."""

import asyncio
import os
import socket
from contextlib import ExitStack, suppress
from ipaddress import IPv4Address

from cranberryhold.addresses import Address
from tools.ports import candidate_ports

# A loopback address per test process, so that parallel runs never share a port.
LOOPBACK_IP = str(IPv4Address("127.64.0.0") + os.getpid())


class UdpSocket:
    """A non-blocking UDP socket for tests; use it as a context manager."""

    def __init__(self, ip: str = LOOPBACK_IP, port: int = 0) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((ip, port))
        self.address = Address(*self.socket.getsockname())

    def __enter__(self) -> "UdpSocket":
        return self

    def __exit__(self, *_) -> None:
        self.socket.close()

    def send(self, data: bytes, to: Address) -> None:
        self.socket.sendto(data, (to.ip, to.port))

    async def receive(self) -> tuple[bytes, Address]:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(10):
            data, source = await loop.sock_recvfrom(self.socket, 65535)
        return data, Address(*source)


def free_port() -> int:
    """Return a UDP port of LOOPBACK_IP that is currently free."""
    return free_ports(1)[0]


def free_ports(count: int) -> list[int]:
    """Return distinct UDP ports of LOOPBACK_IP that are currently free."""
    ports: list[int] = []
    with ExitStack() as stack:
        for port in candidate_ports():
            if len(ports) == count:
                break
            with suppress(OSError):
                stack.enter_context(UdpSocket(LOOPBACK_IP, port))
                ports.append(port)
    return ports
