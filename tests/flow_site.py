"""Flow daemons on loopback with stand-ins for the store, targets and callers."""

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from ipaddress import IPv4Address
from socket import inet_aton

from cranberryhold.addresses import Address
from cranberryhold.flows.early_forwarding import SocketHandler
from cranberryhold.flows.entry_core import EntryCore
from cranberryhold.flows.entry_daemon import EntryDaemon
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.segments import Segment
from cranberryhold.flows.settings import FlowSidecarSettings, MemberSettings
from cranberryhold.flows.sidecar_core import SidecarCore
from cranberryhold.flows.sidecar_daemon import SidecarDaemon
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.platform.heartbeats import PlatformHeartbeatReader
from cranberryhold.platform.operator_configuration import OperatorConfiguration
from cranberryhold.platform.packets import PacketCodec
from cranberryhold.platform.store import PlatformStore
from emulator.metadata_store import MetadataStore, metadata_store
from emulator.platform_files import CONFIGURATION_KEY, configuration_document
from tests.flow_simulation import ACK, SYN, LogLines, packet
from tests.sockets import UdpSocket, free_ports

CONFIGURATION = configuration_document(1, "198.18.0.1", {443: "core"})
FIRST_PORT = 40000
MAX_FLOWS = 1000
RETRANSMISSION_S = 0.2
# Test processes that run concurrently use different address ranges, because ports are
# the same on all machines of a site.
_BASE_IP = int(IPv4Address("127.80.0.0")) + (os.getpid() % 4000) * 16


def machine_ip(number: int) -> str:
    """Return the loopback address of one of the site's machines."""
    return str(IPv4Address(_BASE_IP + number))


class Target:
    """Answers each request with the same bytes."""

    def __init__(self, ip: str, outbound_port: int) -> None:
        self._udp = UdpSocket(ip)
        self._outbound = Address(ip, outbound_port)
        self._codec = PacketCodec()
        self.requests = 0

    @property
    def address(self) -> Address:
        """Address where the target receives packets."""
        return self._udp.address

    async def run(self) -> None:
        """Serve until cancelled, and accept TCP connections at the same port."""
        listener = await asyncio.start_server(_close, *self._udp.socket.getsockname())
        async with listener:
            await self._answer()

    async def _answer(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            data = await loop.sock_recv(self._udp.socket, 2048)
            segment = self._codec.decode(data)
            if segment.syn:
                flags, sequence, answer = SYN | ACK, 1000, b""
            elif segment.length:
                self.requests += 1
                flags, sequence, answer = ACK, 1001, b"answer"
            else:
                continue
            reply = packet(
                segment.source,
                segment.source_port,
                flags,
                sequence=sequence,
                acknowledgment=segment.sequence + 1,
                data=answer,
                from_target=True,
            )
            self._udp.send(reply, self._outbound)

    def close(self) -> None:
        """Close its socket."""
        self._udp.socket.close()


class Site:
    """A store, entry instances, and sidecars with a target each."""

    def __init__(
        self, stack: AsyncExitStack, store: MetadataStore, store_address: Address
    ):
        self._stack = stack
        self._store_address = store_address
        self.store = store
        (
            self.packet_port,
            self.peer_port,
            self.ready_port,
            self.metrics_port,
            self.outbound_port,
            self.heartbeat_port,
        ) = free_ports(6)
        self.lines = LogLines()
        self.targets: list[Target] = []
        self.entries: list[EntryCore] = []
        self.sidecars: list[SidecarCore] = []
        self._daemons: dict[int, asyncio.Task[None]] = {}
        self._sidecar_settings: dict[int, FlowSidecarSettings] = {}
        self._targets_running: dict[int, asyncio.Task[None]] = {}
        self.caller_ip = machine_ip(15)
        self._caller = UdpSocket(self.caller_ip, self.packet_port)
        stack.callback(self._caller.socket.close)
        self.sequence = 500
        # Seconds for an evacuation to be in effect, None if there are none.
        self.evacuation_limit_s: float | None = None

    def member(
        self, ip: str, zone: str = "a", *, has_store: bool = True
    ) -> MemberSettings:
        """Return the settings of a machine, which may be cut off from the store.

        Such a machine finds the others through the first one.
        """
        seeds = () if has_store else (Address(machine_ip(1), self.peer_port),)
        nowhere = Address(machine_ip(13), self._store_address.port)
        return MemberSettings(
            name=ip,
            zone=zone,
            packet_address=Address(ip, self.packet_port),
            peer_address=Address(ip, self.peer_port),
            ready_address=Address(ip, self.ready_port),
            metrics_address=Address(ip, self.metrics_port),
            store=self._store_address if has_store else nowhere,
            seeds=seeds,
            stop_limit_s=2.5,
            max_flow_s=60.0,
            evacuation_limit_s=self.evacuation_limit_s,
        )

    async def start_entry(
        self, number: int, zone: str = "a", *, has_store: bool = True
    ) -> EntryCore:
        """Start an entry instance."""
        telemetry = Telemetry(f"entry-{number}", self.lines, _monotonic())
        settings = self.member(machine_ip(number), zone, has_store=has_store)
        core = EntryCore(settings, PacketCodec(), OperatorConfiguration(), telemetry)
        store = self._connect_store(settings, telemetry, core.epochs.record)
        daemon = EntryDaemon(
            core, store, read_settings=lambda: settings, on_settings=lambda _: None
        )
        sockets = self._stack.enter_context(ExitStack())
        socket_handlers = sockets.enter_context(core.open_sockets())
        self._daemons[number] = self._run(
            _serve_entry(daemon, socket_handlers, sockets)
        )
        self.entries.append(core)
        return core

    async def stop(self, number: int) -> None:
        """Stop the daemon of an entry instance, which tells the other members."""
        core = next(
            c
            for c in self.entries
            if c.settings.packet_address.ip == machine_ip(number)
        )
        core.member.leave(flows=0)
        self.entries.remove(core)
        await self.kill(number)

    async def stop_sidecar(self, number: int) -> None:
        """Stop the sidecar that was started last of all daemons, by a signal.

        The daemons of a test share its process, and the last one handles signals.
        """
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.wait([self._daemons[number]])

    async def crash_target(self, number: int) -> None:
        """End the target of a sidecar without notice."""
        self._targets_running[number].cancel()
        await asyncio.wait([self._targets_running[number]])

    async def kill(self, number: int) -> None:
        """End the daemon of an entry instance without notice to the others."""
        self._daemons[number].cancel()
        await asyncio.wait([self._daemons[number]])

    async def start_sidecar(self, number: int, zone: str = "a") -> SidecarCore:
        """Start a sidecar and its target, and send the target's first heartbeat."""
        ip = machine_ip(number)
        target = Target(ip, self.outbound_port)
        self._stack.callback(target.close)
        self._targets_running[number] = self._run(target.run())
        self.targets.append(target)
        self._sidecar_settings[number] = FlowSidecarSettings(
            member=self.member(ip, zone),
            outbound_address=Address(ip, self.outbound_port),
            heartbeat_address=Address(ip, self.heartbeat_port),
            target_address=target.address,
            service="core",
            heartbeat_interval_s=30.0,
            address_reuse_s=30.0,
        )
        core = self._run_sidecar(number, target)
        await self.send_heartbeat(number, target, sequence=1)
        return core

    async def restart_sidecar(self, core: SidecarCore, number: int) -> SidecarCore:
        """Kill a sidecar without notice and start it again; its target runs on."""
        position = self.sidecars.index(core)
        await self.kill(number)
        successor = self._run_sidecar(number, self.targets[position])
        self.sidecars[position] = self.sidecars.pop()
        await self.send_heartbeat(number, self.targets[position], sequence=2)
        return successor

    def _run_sidecar(self, number: int, target: Target) -> SidecarCore:
        telemetry = Telemetry(f"sidecar-{number}", self.lines, _monotonic())
        settings = self._sidecar_settings[number]
        core = SidecarCore(settings, PacketCodec(), telemetry)
        store = self._connect_store(settings.member, telemetry)
        daemon = SidecarDaemon(
            core,
            store,
            PlatformHeartbeatReader(str(target.address)),
            read_settings=lambda: settings,
            on_settings=lambda _: None,
        )
        sockets = self._stack.enter_context(ExitStack())
        socket_handlers = sockets.enter_context(core.open_sockets())
        self._daemons[number] = self._run(
            _serve_sidecar(daemon, socket_handlers, sockets)
        )
        self.sidecars.append(core)
        return core

    async def send_heartbeat(
        self, number: int, target: Target, *, sequence: int, state: str = "ready"
    ) -> int:
        """Send a heartbeat, and return the status of the response."""
        body = {
            "service": "core",
            "address": str(target.address),
            "zone": "a",
            "version": "v1",
            "state": state,
            "concurrency": 3,
            "coldRemainingMs": 0,
            "seq": sequence,
            "born": 1,
        }
        status, _ = await self.call(
            number,
            self.heartbeat_port,
            "POST",
            f"/instances/i-{number}/heartbeat",
            json.dumps(body).encode(),
        )
        return status

    async def call(
        self, number: int, port: int, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Send an HTTP request to a machine, and retry until it is answered."""
        client = HttpClient(Address(machine_ip(number), port), 1 << 20)
        async with asyncio.timeout(10):
            while True:
                try:
                    response = await client.call(method, path, body, 2.0)
                    return response.status, response.body
                except Exception:
                    await asyncio.sleep(0.01)

    def send(self, number: int, flags: int, port: int, data: bytes = b"") -> None:
        """Send a caller's packet to an entry instance."""
        acknowledgment = 0 if flags == SYN else 1001
        sent = packet(
            inet_aton(self.caller_ip),
            port,
            flags,
            sequence=self.sequence,
            acknowledgment=acknowledgment,
            data=data,
        )
        self._caller.send(sent, Address(machine_ip(number), self.packet_port))

    async def receive(self):
        """Return the next packet that the caller receives, decoded."""
        data, _ = await self._caller.receive()
        return PacketCodec().decode(data)

    async def open_flow_at(self, holder: SidecarCore, entry: int) -> int:
        """Open flows until the target of a sidecar has one; return its port."""
        port = FIRST_PORT
        while not len(holder.datapath.flows):
            port += 1
            if port > FIRST_PORT + MAX_FLOWS:
                # The log lines tell why the sidecar was offered no flow.
                raise AssertionError("\n".join(self.lines.written[:MAX_FLOWS]))
            self.send(entry, SYN, port)
            assert (await self.receive()).syn
        return port

    async def send_until_answered(
        self, entry: int, port: int, limit_s: float
    ) -> Segment:
        """Repeat a packet of an open flow like a caller; return the first answer."""

        async def send() -> None:
            while True:
                self.send(entry, ACK, port, b"request")
                await asyncio.sleep(RETRANSMISSION_S)

        sending = asyncio.create_task(send())
        try:
            async with asyncio.timeout(limit_s):
                return await self.receive()
        finally:
            sending.cancel()

    def _connect_store(
        self,
        settings: MemberSettings,
        telemetry: Telemetry,
        on_epoch: Callable[[int], None] = lambda _: None,
    ) -> PlatformStore:
        client = HttpClient(settings.store, 1 << 20)
        return PlatformStore(client, telemetry.count, on_epoch)

    def _run(self, coroutine) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)

        async def stop() -> None:
            task.cancel()
            await asyncio.wait([task])

        self._stack.push_async_callback(stop)
        return task


async def _close(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()


async def _serve_entry(
    daemon: EntryDaemon, socket_handlers: list[SocketHandler], sockets: ExitStack
) -> None:
    with sockets:
        await daemon.run(socket_handlers, None)


async def _serve_sidecar(
    daemon: SidecarDaemon, socket_handlers: list[SocketHandler], sockets: ExitStack
) -> None:
    with sockets:
        await daemon.run(socket_handlers)


def _monotonic() -> Callable[[], float]:
    return asyncio.get_running_loop().time


@asynccontextmanager
async def running_site() -> AsyncIterator[Site]:
    """Yield a site that has a configuration but no daemons yet."""
    address = Address(machine_ip(14), free_ports(1)[0])
    telemetry = Telemetry("store", LogLines(), lambda: 0.0)
    async with metadata_store(address, telemetry) as store, AsyncExitStack() as stack:
        await store.put(CONFIGURATION_KEY, CONFIGURATION)
        yield Site(stack, store, address)
