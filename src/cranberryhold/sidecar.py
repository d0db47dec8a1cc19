"""The sidecar: terminates callers' connections beside one upstream instance."""

import asyncio
import hashlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager, suppress

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock
from cranberryhold.datapath.connection_ids import ConnectionIdCodec, TargetRef
from cranberryhold.datapath.packets import (
    Direction,
    ForwardCodec,
    is_first_packet,
    read_connection_id,
)
from cranberryhold.datapath.placement import should_pass_on
from cranberryhold.datapath.quic import SidecarQuicServer
from cranberryhold.datapath.return_paths import ReturnPaths
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.models import Service
from cranberryhold.membership.members import Member, MemberTable
from cranberryhold.requests.exchange import Handler
from cranberryhold.requests.h3_server import H3ServerConnection

IDLE_TIMEOUT_S = 60.0
# Idle connections stay open this long after GOAWAY, so that a request of a caller
# that ignored it is rejected as "not run" instead of being lost with the connection.
GOAWAY_LINGER_S = 10.0
# With fewer connections an uneven distribution is expected by chance and costs
# nothing.
MIN_CONNECTIONS_TO_BALANCE = 32


class Sidecar(asyncio.DatagramProtocol):
    """Receives forwarded packets and serves the requests that they carry.

    :param target: address, service and incarnation of this target.
    :param zone: zone of this target.
    :param node_id: node id of this target.
    :param service: name of the service.
    :param keys: key ring of the deployment.
    :param members: the known members.
    :param clock: source of time.
    :param configuration: TLS certificate and transport settings.
    :param handler: handles requests.
    :param peer_connections: returns the number of open connections of each peer by
        node id, as last reported.
    """

    def __init__(
        self,
        *,
        target: TargetRef,
        zone: str,
        node_id: str,
        service: str,
        keys: KeyRing,
        members: MemberTable,
        clock: Clock,
        configuration: QuicConfiguration,
        handler: Handler,
        peer_connections: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        self._peer_connections = peer_connections
        self._node_id = node_id
        self._service_name = service
        self._members = members
        self._handler = handler
        self._return_paths = ReturnPaths(members, zone, clock, random.Random(node_id))
        self._to_target = ForwardCodec(keys, Direction.TO_TARGET)
        self._to_caller = ForwardCodec(keys, Direction.TO_CALLER)
        self._service_addresses: frozenset[Address] = frozenset()
        self._connection_limit = 0
        self._draining = False
        self._close_when_idle = False
        self._all_closed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._counts: Counter[str] = Counter()
        self._server = SidecarQuicServer(
            target=target,
            codec=ConnectionIdCodec(keys),
            configuration=configuration,
            send=self._send,
            create_protocol=self._create_h3_connection,
            on_closed=self._on_closed,
        )

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server)

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return sum(c.running for c in self._h3_connections)

    @property
    def counts(self) -> Counter[str]:
        """Number of packets received, redirected to peers and dropped, by reason."""
        return self._counts

    def apply_service(
        self, service: Service | None, released: Iterable[Address] = ()
    ) -> None:
        """Apply the declaration of the own service.

        :param service: None if the manifest does not have it; no new connection is
            accepted then.
        :param released: addresses removed from the service, whose open flows continue.
        """
        endpoints = service.endpoints if service else ()
        self._service_addresses = frozenset(endpoints).union(released)
        self._connection_limit = service.connections_per_target if service else 0

    @asynccontextmanager
    async def serving(self, address: Address) -> AsyncIterator["Sidecar"]:
        """Receive forwarded packets on an address until the context ends."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.ip, address.port)
        )
        try:
            yield self
        finally:
            self._server.close()
            # Timers of the connections could still send packets.
            self._transport = None
            transport.close()

    async def drain(self, grace_s: float, limit_s: float) -> int:
        """Finish the requests in progress and close the connections.

        New connections are redirected to peers at once. New requests on open
        connections are accepted for ``grace_s`` more seconds, then rejected as not
        run.

        :return: the number of requests still in progress after ``limit_s`` seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        self._draining = True
        for connection in self._h3_connections:
            connection.announce_shutdown()
        await asyncio.sleep(min(grace_s, limit_s))
        for connection in self._h3_connections:
            connection.refuse_new_requests()
        await self._wait_closed(min(deadline, loop.time() + GOAWAY_LINGER_S))
        self._close_when_idle = True
        self._close_idle()
        await self._wait_closed(deadline)
        return self.running

    def resume(self) -> None:
        """Accept new connections again after a drain that was called off."""
        self._draining = self._close_when_idle = False

    def state(self) -> dict[str, object]:
        """Return a summary for the state dump."""
        return {
            "service": self._service_name,
            "connections": self.connections,
            "running_requests": self.running,
            "draining": self._draining,
            "return_paths": len(self._return_paths),
            "packets": dict(self._counts),
        }

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram from an entry instance or from a peer."""
        forwarded = self._to_target.decode(data)
        if forwarded is None:
            self._counts["dropped_forged"] += 1
            return
        if forwarded.service_address not in self._service_addresses:
            self._counts["dropped_other_service"] += 1
            return
        source = Address(addr[0], addr[1])
        caller = (forwarded.caller.ip, forwarded.caller.port)
        if self._redirect(data, forwarded.packet, source):
            return
        new = self._return_paths.record_packet(
            caller, source, forwarded.service_address.pack()
        )
        if self._server.receive(forwarded.packet, caller):
            self._counts["received"] += 1
        else:
            self._counts["dropped_unknown"] += 1
            if new:
                self._return_paths.remove(caller)

    @property
    def _h3_connections(self) -> list[H3ServerConnection]:
        return list(self._server.connections)  # type: ignore[arg-type]

    def _create_h3_connection(self, quic: QuicConnection) -> H3ServerConnection:
        return H3ServerConnection(quic, self._handler, on_idle=self._on_idle)

    def _on_idle(self, connection: H3ServerConnection) -> None:
        if self._close_when_idle:
            connection.close_if_idle()

    def _on_closed(self) -> None:
        if not self._server:
            self._all_closed.set()

    def _close_idle(self) -> None:
        for connection in self._h3_connections:
            connection.close_if_idle()

    async def _wait_closed(self, deadline: float) -> None:
        """Wait until no connection is open or the loop's clock reaches the deadline."""
        self._all_closed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                if self.connections:
                    await self._all_closed.wait()

    def _send(self, packet: bytes, caller: tuple[str, int]) -> None:
        entry = self._return_paths.choose(caller)
        service_address = self._return_paths.service_address(caller)
        if entry is None or service_address is None or self._transport is None:
            self._counts["unsent_no_entry"] += 1
            return
        header = self._to_caller.packed_header(Address(*caller).pack(), service_address)
        self._transport.sendto(header + packet, (entry.ip, entry.port))

    def _redirect(self, datagram: bytes, packet: bytes, source: Address) -> bool:
        """Redirect or refuse a first packet that this target does not accept."""
        if not is_first_packet(packet):
            return False
        connection_id = read_connection_id(packet)
        if self._server.has_connection_id(connection_id):
            return False
        # A packet from a peer was already redirected once; it is not redirected again.
        was_redirected = self._is_peer(source)
        is_full = self._draining or self.connections >= self._connection_limit
        if not is_full and not self._is_overloaded(was_redirected):
            return False
        peer = (
            None if was_redirected else self._choose_peer(connection_id or b"", is_full)
        )
        if peer is None:
            self._counts["refused_connections"] += is_full
            return is_full
        self._counts["passed_on_connections"] += 1
        self._transport.sendto(
            datagram, (peer.forward_address.ip, peer.forward_address.port)
        )
        return True

    def _is_overloaded(self, was_redirected: bool) -> bool:
        if self.connections < MIN_CONNECTIONS_TO_BALANCE:
            return False
        peers = list(self._peer_connections().values())
        return should_pass_on(self.connections, peers, was_redirected)

    def _peers(self) -> list[Member]:
        return [
            m
            for m in self._members.of_service(self._service_name)
            if m.node_id != self._node_id
        ]

    def _is_peer(self, source: Address) -> bool:
        return any(m.forward_address == source for m in self._peers())

    def _choose_peer(self, connection_id: bytes, any_load: bool) -> Member | None:
        """Choose a peer by rendezvous hash, so that retransmissions go to the same one.

        :param any_load: whether peers with at least as many connections as this
            target may be chosen.
        """
        counts = self._peer_connections()
        return max(
            (
                m
                for m in self._peers()
                if m.accepts_new_flows
                and (any_load or counts.get(m.node_id, 0) < self.connections)
            ),
            key=lambda m: hashlib.sha256(connection_id + m.node_id.encode()).digest(),
            default=None,
        )


def quic_configuration(certificate_path: str, key_path: str) -> QuicConfiguration:
    """Return the transport settings of a sidecar.

    0-RTT stays off, because a replayed first flight could run a request twice.

    :param certificate_path: PEM file with the certificate chain.
    :param key_path: PEM file with the private key.
    """
    configuration = QuicConfiguration(
        is_client=False, alpn_protocols=H3_ALPN, idle_timeout=IDLE_TIMEOUT_S
    )
    configuration.load_cert_chain(certificate_path, key_path)
    return configuration
