"""Links, which send and receive control datagrams over UDP or within a process."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError, SealError
from cranberryhold.keys import KeyRing
from cranberryhold.membership.messages import (
    MAX_DATAGRAM_BYTES,
    SEAL_BYTES,
    ControlMessage,
    decode_call,
    encode_call,
)

IP_UDP_HEADER_BYTES = 28
OVERHEAD_BYTES = SEAL_BYTES + IP_UDP_HEADER_BYTES

_LABEL = b"gossip"
_QUEUE_LIMIT = 4096
"""Limit of datagrams that wait for the receiving task, reached after about a second
under flood."""


class Link(Protocol):
    """Sends and receives datagrams; datagrams may be lost."""

    @property
    def address(self) -> Address:
        """Address at which this link receives."""

    def send(self, data: bytes, to: Address) -> None:
        """Send one datagram; network errors are treated as loss."""

    async def receive(self) -> tuple[bytes, Address]:
        """Wait for a datagram; return it with its sender."""


class RpcClient(Protocol):
    """Client for request/response calls to other members."""

    async def call(
        self, address: Address, message: ControlMessage, timeout_s: float
    ) -> ControlMessage:
        """Send a message; return the answer.

        :raises PeerError: if the peer can't be reached, fails, or is late.
        """


class UdpLink(asyncio.DatagramProtocol):
    """A UDP socket whose datagrams are sealed with the deployment's key ring.

    Datagrams that are malformed or sealed with another key are counted in
    ``rejected`` and dropped.

    >>> link = await UdpLink.open(address, keys)    # doctest: +SKIP
    """

    def __init__(self, keys: KeyRing) -> None:
        self._keys = keys
        self._queue: asyncio.Queue[tuple[bytes, Address]] = asyncio.Queue(_QUEUE_LIMIT)
        self._transport: asyncio.DatagramTransport | None = None
        self._address = Address("0.0.0.0", 0)
        self.rejected = 0
        self.overflowed = 0

    @classmethod
    async def open(cls, address: Address, keys: KeyRing) -> "UdpLink":
        """Bind a socket; port 0 lets the operating system choose.

        :raises PeerError: if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        try:
            _, link = await loop.create_datagram_endpoint(
                lambda: cls(keys), local_addr=(address.ip, address.port)
            )
        except OSError as error:
            raise PeerError(
                f"cannot bind UDP: {error.strerror}; is the port in use?",
                step="bind control address",
                peer=str(address),
            ) from error
        return link

    @property
    def address(self) -> Address:
        """Address at which this link receives."""
        return self._address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and the bound address."""
        self._transport = transport
        self._address = Address(*transport.get_extra_info("sockname")[:2])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Unseal a datagram and queue it."""
        try:
            payload = self._keys.unseal(_LABEL, data)
        except SealError:
            self.rejected += 1
            return
        try:
            self._queue.put_nowait((payload, Address(*addr[:2])))
        except asyncio.QueueFull:
            self.overflowed += 1

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; failure detection finds unreachable peers."""

    def send(self, data: bytes, to: Address) -> None:
        """Seal and send one datagram."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(self._keys.seal(_LABEL, data), (to.ip, to.port))

    async def receive(self) -> tuple[bytes, Address]:
        """Wait for a datagram; return its payload and its sender."""
        return await self._queue.get()

    async def close(self) -> None:
        """Close the socket; the port is free afterwards."""
        if self._transport is not None:
            self._transport.close()
            # The transport closes its socket in the next iteration of the event loop.
            await asyncio.sleep(0)


Impairment = Callable[[Address, Address], float | None]
"""Delay in seconds from one address to another, or None if the datagram is lost."""


class MemoryNetwork:
    """Links and calls between members that run in one process.

    Tests, measurements and simulations use it in place of UDP and zmq. The
    impairment decides the delay and the loss of each datagram. A blocking rule drops
    all matching traffic.

    >>> network = MemoryNetwork(lambda source, target: 0.004)
    """

    def __init__(self, impairment: Impairment) -> None:
        self.impairment = impairment
        self._links: dict[Address, MemoryLink] = {}
        self._rules: list[Callable[[Address, Address], bool]] = []

    def link(self, address: Address) -> "MemoryLink":
        """Open a link; it replaces an earlier one with the same address."""
        link = MemoryLink(self, address)
        self._links[address] = link
        return link

    def close(self, address: Address) -> None:
        """Close a link; datagrams sent to it are lost."""
        self._links.pop(address, None)

    def block(self, matches: Callable[[Address, Address], bool]) -> Callable[[], None]:
        """Drop traffic whose source and target match.

        :return: a function that removes the rule.
        """
        self._rules.append(matches)
        return lambda: self._rules.remove(matches)

    def delay(self, source: Address, target: Address) -> float | None:
        """Return the delay of the next datagram, or None if it is lost."""
        if target not in self._links or source not in self._links:
            return None
        if self._rules and any(matches(source, target) for matches in self._rules):
            return None
        return self.impairment(source, target)

    def deliver(self, data: bytes, source: Address, target: Address) -> None:
        """Queue a datagram at the link of its target, if it is still open."""
        link = self._links.get(target)
        if link is not None:
            link.queue.put_nowait((data, source))

    def peer(self, address: Address) -> "MemoryLink | None":
        """Return the open link of an address, or None."""
        return self._links.get(address)


class MemoryLink:
    """Link and RPC client of one member in a :class:`MemoryNetwork`.

    ``handlers`` answer calls by message type, like those of ``ControlServer``.
    """

    def __init__(self, network: MemoryNetwork, address: Address) -> None:
        self._network = network
        self._address = address
        self.queue: asyncio.Queue[tuple[bytes, Address]] = asyncio.Queue()
        self.handlers: dict[type[ControlMessage], Callable] = {}
        self.datagrams = 0
        self.sent_bytes = 0
        self.call_bytes = 0

    @property
    def address(self) -> Address:
        """Address at which this link receives."""
        return self._address

    def send(self, data: bytes, to: Address) -> None:
        """Count a datagram and deliver it after its delay, unless it is lost."""
        size = len(data) + SEAL_BYTES
        if size > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {size} bytes exceeds the size limit")
        self.datagrams += 1
        self.sent_bytes += size + IP_UDP_HEADER_BYTES
        delay = self._network.delay(self._address, to)
        if delay is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._network.deliver, data, self._address, to)

    async def receive(self) -> tuple[bytes, Address]:
        """Wait for a datagram; return it with its sender."""
        return await self.queue.get()

    async def call(
        self, address: Address, message: ControlMessage, timeout_s: float
    ) -> ControlMessage:
        """Call the handler of the link at ``address``.

        Each loss delays the message by a retransmission timeout of 200 ms, as on TCP.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        message = await self._transfer(self._address, address, message, deadline)
        peer = self._network.peer(address)
        if peer is None or type(message) not in peer.handlers:
            raise PeerError(
                "no open link with a handler for the call",
                step="call",
                peer=str(address),
            )
        answer = await peer.handlers[type(message)](message)
        return await peer._transfer(address, self._address, answer, deadline)

    async def _transfer(
        self, source: Address, target: Address, message: ControlMessage, deadline: float
    ) -> ControlMessage:
        name, data = encode_call(message)
        self.call_bytes += len(name) + len(data)
        loop = asyncio.get_running_loop()
        while (delay := self._network.delay(source, target)) is None:
            if loop.time() + 0.2 > deadline:
                await asyncio.sleep(max(0.0, deadline - loop.time()))
                raise PeerError(
                    "no answer before the timeout", step="call", peer=str(target)
                )
            await asyncio.sleep(0.2)
        await asyncio.sleep(delay)
        return decode_call(name, data)
