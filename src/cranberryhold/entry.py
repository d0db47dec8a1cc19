"""Entry instance: receives callers' packets and forwards each to its target."""

import asyncio
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from loguru import logger

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock, SystemClock
from cranberryhold.datapath.packets import FORWARD_HEADER_BYTES, Direction, ForwardCodec
from cranberryhold.datapath.routing import MAXIMUM_PACKET_BYTES, DropReason, Router
from cranberryhold.datapath.targets import ServiceTargets, TargetTables
from cranberryhold.exceptions import ManifestError
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.models import AcceptedManifest
from cranberryhold.membership.members import MemberTable
from cranberryhold.settings import EntrySettings

# Packets read per readiness event: enough to amortize the cost of the event loop,
# few enough that control tasks are delayed by less than one or two milliseconds.
_BATCH_PACKETS = 64
_RECEIVE_BYTES = MAXIMUM_PACKET_BYTES + FORWARD_HEADER_BYTES + 1
_SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
_REOPEN_INTERVAL_S = 1.0

SocketAddress = tuple[str, int]


@dataclass(slots=True)
class _ServicePort:
    """A socket on which packets for one service arrive."""

    listen: Address
    service: ServiceTargets
    addresses: tuple[Address, ...]
    """The service's addresses in the manifest; the first is written into headers."""
    packed_address: bytes
    sock: socket.socket | None = None
    error: str = ""
    """Why the socket could not be opened, or empty."""


class EntryInstance:
    """Forwards callers' packets to targets, and targets' replies to callers.

    It keeps no state per flow. Packets to targets are sent from the forward address,
    where the replies arrive.

    :param keys: key ring of the deployment.
    :param members: the known members.
    :param settings: settings of the instance.
    """

    def __init__(
        self,
        *,
        keys: KeyRing,
        members: MemberTable,
        settings: EntrySettings,
        clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._tables = TargetTables(members, self._clock)
        self._router = Router(keys, self._tables)
        self._to_target = ForwardCodec(keys, Direction.TO_TARGET)
        self._to_caller = ForwardCodec(keys, Direction.TO_CALLER)
        self._accepted: AcceptedManifest | None = None
        self._ports: dict[Address, _ServicePort] = {}
        self._reply_ports: dict[bytes, _ServicePort] = {}
        self._forward_socket: socket.socket | None = None
        self._counts: Counter[str] = Counter()
        self._drops: Counter[DropReason] = Counter()

    @property
    def generation(self) -> int:
        """Generation of the manifest in force, 0 before the first."""
        return self._accepted.generation if self._accepted else 0

    @property
    def drops(self) -> dict[DropReason, int]:
        """Number of packets dropped, by reason."""
        return dict(self._drops)

    def state(self) -> dict[str, object]:
        """Return the state for a dump; it can be serialized as JSON."""
        return {
            "generation": self.generation,
            "forward_address": str(self._settings.forward_address),
            "forwarded": self._counts["forwarded"],
            "returned": self._counts["returned"],
            "dropped": {drop.value: self._drops[drop] for drop in DropReason},
            "addresses": [
                {
                    "service": port.service.name,
                    "addresses": [str(a) for a in port.addresses],
                    "listen": str(port.listen),
                    "open": port.sock is not None,
                    "error": port.error,
                }
                for port in self._ports.values()
            ],
            "tables": {s.name: _table_state(s) for s in self._tables},
        }

    def apply_manifest(self, accepted: AcceptedManifest) -> None:
        """Apply a manifest: open and close service addresses.

        A manifest whose generation is not higher than the one in force is ignored.

        :raises ManifestError: if ``listen_ip`` makes two services share an
            address; the manifest is not applied then.
        """
        if accepted.generation <= self.generation:
            return
        services = accepted.manifest.services
        ports = self._ports_by_address(accepted)
        self._accepted = accepted
        self._tables.set_services(s.name for s in services)
        for listen in self._ports.keys() - ports.keys():
            self._close(self._ports[listen])
        for listen, (name, addresses) in ports.items():
            previous = self._ports.get(listen)
            ports[listen] = _ServicePort(
                listen,
                self._service_targets(name, addresses[0]),
                addresses,
                addresses[0].pack(),
                previous.sock if previous is not None else None,
            )
        self._ports = ports
        self._reply_ports = {a.pack(): p for p in ports.values() for a in p.addresses}
        if self._forward_socket is not None:
            self._open_ports()
        logger.info(
            "event=manifest-in-force generation={} services={} addresses={}",
            accepted.generation,
            len(services),
            len(self._reply_ports),
        )

    @asynccontextmanager
    async def serving(self) -> AsyncIterator["EntryInstance"]:
        """Forward packets inside the context; close the sockets on exit."""
        self._forward_socket = _bound_socket(self._settings.forward_address)
        self._add_reader(self._forward_socket, self._receive_replies)
        reopening = asyncio.create_task(self._reopen_ports())
        try:
            self._open_ports()
            async with self._tables.tracking_members():
                yield self
        finally:
            reopening.cancel()
            for port in self._ports.values():
                self._close(port)
            asyncio.get_running_loop().remove_reader(self._forward_socket)
            self._forward_socket.close()
            self._forward_socket = None

    def _ports_by_address(
        self, accepted: AcceptedManifest
    ) -> dict[Address, tuple[str, tuple[Address, ...]]]:
        ports: dict[Address, tuple[str, tuple[Address, ...]]] = {}
        for service in accepted.manifest.services:
            for address in service.endpoints:
                listen = Address(self._settings.listen_ip or address.ip, address.port)
                name, addresses = ports.get(listen, (service.name, ()))
                if name != service.name:
                    raise ManifestError(
                        f"services {name} and {service.name} both use port "
                        f"{address.port}: with a listen address each service needs "
                        "its own port",
                        key=f"services.{service.name}.addresses",
                        step="open addresses",
                    )
                ports[listen] = (name, (*addresses, address))
        for released in accepted.released:
            address = Address.parse(released.address)
            listen = Address(self._settings.listen_ip or address.ip, address.port)
            ports.setdefault(listen, (released.service, (address,)))
        return ports

    def _service_targets(self, name: str, address: Address) -> ServiceTargets:
        """Return the targets of a service; a released address accepts no new flows."""
        released = {r.address for r in self._accepted.released}
        if str(address) in released:
            return ServiceTargets.without_new_flows(name)
        return self._tables[name]

    def _open_ports(self) -> None:
        for port in self._ports.values():
            if port.sock is not None:
                continue
            try:
                port.sock = _bound_socket(port.listen)
            except OSError as error:
                self._record_open_error(port, str(error))
                continue
            port.error = ""
            self._add_reader(port.sock, self._receive_packets, port.listen)

    def _record_open_error(self, port: _ServicePort, error: str) -> None:
        if port.error == error:
            return
        port.error = error
        logger.error(
            "event=address-not-opened service={} listen={} error={!r}",
            port.service.name,
            port.listen,
            error,
        )

    async def _reopen_ports(self) -> None:
        while True:
            await self._clock.sleep(_REOPEN_INTERVAL_S)
            self._open_ports()

    def _add_reader(
        self, sock: socket.socket, callback: Callable, *args: object
    ) -> None:
        asyncio.get_running_loop().add_reader(sock, callback, sock, *args)

    def _close(self, port: _ServicePort) -> None:
        if port.sock is not None:
            asyncio.get_running_loop().remove_reader(port.sock)
            port.sock.close()
            port.sock = None

    def _receive_packets(self, sock: socket.socket, listen: Address) -> None:
        port = self._ports[listen]
        service, address = port.service, port.packed_address
        route, packed_header = self._router.route, self._to_target.packed_header
        send, forwarded = self._forward_socket.sendto, 0
        for _ in range(_BATCH_PACKETS):
            try:
                packet, caller = sock.recvfrom(_RECEIVE_BYTES)
            except OSError:
                break
            target = route(service, packet)
            if target.__class__ is DropReason:
                self._drops[target] += 1
                continue
            header = packed_header(_pack(caller), address)
            try:
                send(header + packet, _unpack(target))
            except OSError:
                self._drops[DropReason.SEND_FAILED] += 1
            else:
                forwarded += 1
        self._counts["forwarded"] += forwarded

    def _receive_replies(self, sock: socket.socket) -> None:
        decode, ports = self._to_caller.decode_packed, self._reply_ports
        for _ in range(_BATCH_PACKETS):
            try:
                datagram = sock.recv(_RECEIVE_BYTES)
            except OSError:
                return
            if len(datagram) == _RECEIVE_BYTES:
                self._drops[DropReason.OVERSIZED] += 1
                continue
            addresses = decode(datagram)
            if addresses is None:
                self._drops[DropReason.FORGED_HEADER] += 1
                continue
            caller, service_address = addresses
            port = ports.get(service_address)
            if port is None or port.sock is None:
                self._drops[DropReason.UNKNOWN_ADDRESS] += 1
                continue
            packet = datagram[FORWARD_HEADER_BYTES:]
            try:
                port.sock.sendto(packet, _unpack(caller))
            except OSError:
                self._drops[DropReason.SEND_FAILED] += 1
            else:
                self._counts["returned"] += 1


def _bound_socket(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER_BYTES)
        sock.bind((address.ip, address.port))
    except OSError:
        sock.close()
        raise
    return sock


def _pack(peer: SocketAddress) -> bytes:
    return socket.inet_aton(peer[0]) + peer[1].to_bytes(2, "big")


def _unpack(packed: bytes) -> SocketAddress:
    return socket.inet_ntoa(packed[:4]), int.from_bytes(packed[4:], "big")


def _table_state(service: ServiceTargets) -> dict[str, object]:
    table = service.table
    weights = table.weights if table is not None else ()
    return {
        "targets": {str(Address.unpack(target)): weight for target, weight in weights},
        "held": sorted(service.guard.held),
    }
