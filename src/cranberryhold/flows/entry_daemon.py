"""The daemon that takes the packets of callers from the fabric."""

import asyncio
import time
from collections.abc import Mapping
from contextlib import ExitStack

from cranberryhold.addresses import Address
from cranberryhold.flows.configuration import (
    PEER_PATH,
    ConfigurationFollower,
    ConfigurationSource,
)
from cranberryhold.flows.entry_path import EntryPath
from cranberryhold.flows.http_server import Request, Response
from cranberryhold.flows.leased_store import LeasedStore
from cranberryhold.flows.member_daemon import Member, StopSignal, serving_member_http
from cranberryhold.flows.peer_messages import (
    EntryStatus,
    FlowHeld,
    FlowNotHeld,
    PeerMessage,
    SidecarStatus,
)
from cranberryhold.flows.peers import ENTRY_STATUS_INTERVAL_S, status_interval_s
from cranberryhold.flows.route_table import RouteTable
from cranberryhold.flows.segments import SegmentCodec
from cranberryhold.flows.settings import MemberSettings
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.flows.udp import UdpSocket, open_udp

# The fabric stops sending after two missed probes, half a second apart; the rest
# covers packets on their way.
FORWARD_AFTER_UNREADY_S = 1.3
# Left of the time that the platform gives a process to stop.
STOP_MARGIN_S = 0.7
ROTATION_POLL_S = 0.1
# How long a new process waits to hear of targets before it reports itself ready.
LEARN_TARGETS_S = 1.0
DEFAULT_IDLE_S = 60.0
# A tick of the status task that is this late shows that the process was paused.
PAUSE_NOTICED_S = 0.5


class EntryDaemon:
    """An entry instance.

    :param settings: settings of the daemon.
    :param codec: format of the packets.
    :param store: the store.
    :param source: where the configuration is.
    :param telemetry: log and counters.
    """

    def __init__(
        self,
        settings: MemberSettings,
        codec: SegmentCodec,
        store: LeasedStore,
        source: ConfigurationSource,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._telemetry = telemetry
        self._member = Member(
            "entry", settings, store, telemetry, on_listed=self._greet
        )
        self._routes = RouteTable(settings.max_flow_s)
        self._path = EntryPath(
            self._member.ip,
            self._routes,
            self._member.peers,
            codec,
            self,
            telemetry,
            monotonic=time.monotonic,
        )
        self._follower = ConfigurationFollower(
            source,
            store,
            self._routes,
            telemetry,
            random=self._member.random,
            monotonic=time.monotonic,
            on_change=self._note_version,
        )
        self._packets: UdpSocket | None = None
        self._stop = StopSignal(telemetry)
        self._configured_at: float | None = None
        self._leaves_rotation = False
        self._told_ready = False
        self._fetches: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until the process is asked to stop."""
        self._stop.install()
        with ExitStack() as stack:
            packets = stack.enter_context(
                open_udp(self._settings.packet_address, self._telemetry)
            )
            messages = stack.enter_context(
                open_udp(self._settings.peer_address, self._telemetry)
            )
            self._packets = packets
            self._member.attach(messages, self._take_message)
            packets.read_with(self._take_packet)
            self._member.note_seeds()
            async with (
                serving_member_http(
                    self._settings,
                    self._telemetry,
                    is_ready=self._is_ready,
                    gauges=self._gauges,
                    peer_pages=self._peer_page,
                ),
                asyncio.TaskGroup() as tasks,
            ):
                running = [
                    tasks.create_task(work)
                    for work in (
                        self._follower.run(),
                        self._member.announcer.run(),
                        self._tell_status(),
                        self._member.sweep_regularly(self._sweep),
                    )
                ]
                await self._stop.wait()
                await self._leave_rotation()
                self._member.leave(flows=0)
                for task in running:
                    task.cancel()

    def to_sidecar(self, ip: bytes, datagram: bytes) -> None:
        """Send an envelope to a sidecar."""
        if self._packets is not None:
            self._packets.send(datagram, ip, self._settings.packet_address.port)

    def _take_packet(self, packet: bytes, _sender: bytes) -> None:
        started = time.perf_counter()
        self._path.take_from_caller(packet)
        self._telemetry.observe("packet_handling", time.perf_counter() - started)

    def _take_message(self, ip: bytes, message: PeerMessage) -> None:
        match message:
            case FlowHeld():
                self._path.note_held(ip, message)
            case FlowNotHeld():
                self._path.note_not_held(ip, message)
            case SidecarStatus():
                if self._member.peers.note_sidecar(ip, message):
                    self._member.welcome(ip)
                    self._member.send(ip, self._status())
                if self._is_ready() != self._told_ready:
                    self._tell_entries()
            case EntryStatus():
                if self._member.peers.note_entry(ip, message):
                    self._member.welcome(ip)
                    self._member.send(ip, self._status())
                if message.version > self._routes.version:
                    self._fetch(ip, message.version)

    def _fetch(self, ip: bytes, version: int) -> None:
        peer = Address.unpack(ip + self._settings.peer_address.port.to_bytes(2, "big"))
        task = asyncio.create_task(self._follower.fetch_from(peer, version))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def _status(self) -> EntryStatus:
        return EntryStatus(
            self._member.process,
            self._settings.zone,
            self._routes.version,
            self._is_ready(),
        )

    def _greet(self, ips: list[bytes]) -> None:
        self._member.send_all(ips, self._status())

    def _note_version(self) -> None:
        if self._configured_at is None:
            self._configured_at = time.monotonic()
        self._tell_entries()

    async def _tell_status(self) -> None:
        peers = self._member.peers
        while True:
            ips = [*peers.entry_ips(), *peers.sidecar_ips()]
            self._member.send_all(ips, self._status())
            pause_s = status_interval_s(ENTRY_STATUS_INTERVAL_S, len(ips))
            due = time.monotonic() + pause_s
            await asyncio.sleep(pause_s)
            late_s = time.monotonic() - due
            if late_s > PAUSE_NOTICED_S:
                self._telemetry.event("process-was-paused", seconds=round(late_s, 3))
                peers.note_pause(late_s)

    async def _leave_rotation(self) -> None:
        """Report unready once the zone can do without, and forward until then."""
        waits_s = self._settings.stop_limit_s - FORWARD_AFTER_UNREADY_S - STOP_MARGIN_S
        polls = max(0, int(waits_s / ROTATION_POLL_S))
        for _ in range(polls):
            if self._member.peers.rotation().bears_one_less():
                break
            await asyncio.sleep(ROTATION_POLL_S)
        rotation = self._member.peers.rotation()
        self._telemetry.event(
            "rotation-left",
            ready=rotation.ready,
            absent=rotation.absent,
            borne=rotation.bears_one_less(),
        )
        self._leaves_rotation = True
        self._tell_entries()
        await asyncio.sleep(FORWARD_AFTER_UNREADY_S)

    def _tell_entries(self) -> None:
        status = self._status()
        self._told_ready = status.ready
        self._member.send_all(self._member.peers.entry_ips(), status)

    def _is_ready(self) -> bool:
        if self._leaves_rotation or self._configured_at is None:
            return False
        waited = time.monotonic() - self._configured_at
        return bool(self._member.peers.sidecars) or waited > LEARN_TARGETS_S

    def _sweep(self) -> None:
        configuration = self._routes.configuration
        idle_s = configuration.idle_timeout_s if configuration else DEFAULT_IDLE_S
        self._path.sweep(min(idle_s, self._settings.max_flow_s))

    async def _peer_page(self, request: Request) -> Response:
        configuration = self._routes.configuration
        if request.path != PEER_PATH or configuration is None:
            return Response(404)
        return Response(200, configuration.document)

    def _gauges(self) -> Mapping[str, float]:
        return {
            "flows": len(self._path.flows),
            "entries": len(self._member.peers.entries),
            "sidecars": len(self._member.peers.sidecars),
            "configuration_version": self._routes.version,
        }
