"""The daemon beside a target."""

import asyncio
import time
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from socket import inet_aton
from typing import Protocol

from cranberryhold.exceptions import CranberryholdError
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.http_server import Request, Response, serving_http
from cranberryhold.flows.leased_store import LeasedStore
from cranberryhold.flows.member import Member
from cranberryhold.flows.member_daemon import (
    StopSignal,
    announcer_of,
    boot_time,
    serving_member_http,
    sweep_regularly,
)
from cranberryhold.flows.peer_messages import (
    EntryStatus,
    PeerMessage,
    SidecarStatus,
)
from cranberryhold.flows.peers import SIDECAR_STATUS_INTERVAL_S, status_interval_s
from cranberryhold.flows.segments import SegmentCodec
from cranberryhold.flows.settings import FIXED_SIDECAR_SETTINGS, FlowSidecarSettings
from cranberryhold.flows.settings_watch import SettingsWatch
from cranberryhold.flows.sidecar_path import SidecarPath
from cranberryhold.flows.target_presence import target_listens
from cranberryhold.flows.target_state import BeatOutcome, Heartbeat, TargetState
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.flows.udp import UdpSocket, open_udp

# Requests in progress are finished before the process ends, if they take no longer.
DRAIN_LIMIT_S = 3.0
# Between checks of a target whose heartbeats are overdue.
PRESENCE_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.05
# New flows are on their way until the entry instances have heard of the stop.
DRAIN_LEAST_S = 0.1


class HeartbeatReader(Protocol):
    """Reads what the target says of itself over HTTP."""

    def read(self, request: Request) -> Heartbeat | str | None:
        """Return a heartbeat, the id of a target that is gone, or None.

        :raises CranberryholdError: if the request is one of these and malformed.
        """


class SidecarDaemon:
    """The sidecar of one target.

    :param settings: settings of the daemon.
    :param codec: format of the packets.
    :param store: the store.
    :param heartbeats: reads the target's calls.
    :param telemetry: log and counters.
    :param read_settings: reads the settings anew.
    :param on_settings: called with changed settings.
    """

    def __init__(
        self,
        settings: FlowSidecarSettings,
        codec: SegmentCodec,
        store: LeasedStore,
        heartbeats: HeartbeatReader,
        telemetry: Telemetry,
        *,
        read_settings: Callable[[], FlowSidecarSettings],
        on_settings: Callable[[FlowSidecarSettings], None],
    ) -> None:
        self._on_settings = on_settings
        self._settings_watch = SettingsWatch(
            settings,
            read_settings,
            self._apply_settings,
            fixed=FIXED_SIDECAR_SETTINGS,
            telemetry=telemetry,
        )
        self._settings = settings
        self._telemetry = telemetry
        self._heartbeats = heartbeats
        self._member = Member(settings.member, telemetry, on_listed=self._greet)
        self._announcer = announcer_of(
            "sidecar",
            self._member,
            settings.member,
            store,
            telemetry,
            Dependency("store", telemetry, time.monotonic),
        )
        self._target_dependency = Dependency("target", telemetry, time.monotonic)
        self._target = TargetState(
            settings.heartbeat_interval_s, settings.address_reuse_s
        )
        self._path = SidecarPath(
            self._target,
            codec,
            self,
            telemetry,
            max_flow_s=settings.member.max_flow_s,
            monotonic=time.monotonic,
            boot_time=boot_time,
            random=self._member.random,
        )
        self._target_ip = inet_aton(settings.target_address.ip)
        self._packets: UdpSocket | None = None
        self._outbound: UdpSocket | None = None
        self._stop = StopSignal(telemetry)
        self._accepted = False

    async def run(self) -> None:
        """Serve until the process is asked to stop."""
        member = self._settings.member
        self._stop.install()
        with ExitStack() as stack:
            self._packets = stack.enter_context(
                open_udp(member.packet_address, self._telemetry)
            )
            self._outbound = stack.enter_context(
                open_udp(self._settings.outbound_address, self._telemetry)
            )
            messages = stack.enter_context(
                open_udp(member.peer_address, self._telemetry)
            )
            self._member.attach(messages, self._take_message)
            loop = asyncio.get_running_loop()
            for socket, take in (
                (self._packets, self._take_from_member),
                (self._outbound, self._take_from_target),
                (messages, self._member.receive),
            ):
                loop.add_reader(socket.fileno(), socket.read, take)
                stack.callback(loop.remove_reader, socket.fileno())
            self._member.note_seeds(member.seeds)
            async with (
                serving_http(
                    self._settings.heartbeat_address,
                    self._take_heartbeat,
                    self._telemetry,
                ),
                serving_member_http(
                    member,
                    self._telemetry,
                    is_ready=lambda: not self._stop.received,
                    gauges=self._gauges,
                    peer_pages=self._peer_page,
                ),
                asyncio.TaskGroup() as tasks,
            ):
                running = [
                    tasks.create_task(work)
                    for work in (
                        self._announcer.run(),
                        self._tell_status(),
                        self._check_presence(),
                        self._settings_watch.run(),
                        sweep_regularly(self._member.sweep, self._path.sweep),
                    )
                ]
                await self._stop.wait()
                await self._drain()
                held = self._path.held_flows()
                self._member.leave(held)
                for task in running:
                    task.cancel()
                if not held:
                    await self._announcer.withdraw()

    def to_target(self, packet: bytes) -> None:
        """Hand a packet to the target."""
        if self._outbound is not None:
            port = self._settings.target_address.port
            self._outbound.send(packet, self._target_ip, port)

    def to_caller(self, ip: bytes, packet: bytes) -> None:
        """Send a packet to a caller."""
        self._send_packet(packet, ip)

    def to_sidecar(self, ip: bytes, datagram: bytes) -> None:
        """Pass an envelope on to another sidecar."""
        self._send_packet(datagram, ip)

    def to_peer(self, ip: bytes, message: PeerMessage) -> None:
        """Send a message to a member."""
        self._member.send(ip, message)

    def _apply_settings(self, settings: FlowSidecarSettings) -> None:
        self._target.set_times(settings.heartbeat_interval_s, settings.address_reuse_s)
        self._member.note_seeds(settings.member.seeds)
        self._on_settings(settings)

    def _send_packet(self, packet: bytes, ip: bytes) -> None:
        if self._packets is not None:
            port = self._settings.member.packet_address.port
            self._packets.send(packet, ip, port)

    def _take_from_member(self, datagram: bytes, _sender: bytes) -> None:
        started = time.perf_counter()
        self._path.take_from_member(datagram)
        self._telemetry.observe("packet_handling", time.perf_counter() - started)

    def _take_from_target(self, packet: bytes, _sender: bytes) -> None:
        started = time.perf_counter()
        self._path.take_from_target(packet)
        self._telemetry.observe("packet_handling", time.perf_counter() - started)

    def _take_message(self, ip: bytes, message: PeerMessage) -> None:
        if isinstance(message, EntryStatus):
            if self._member.peers.note_entry(ip, message):
                self._member.welcome(ip)
                self._member.send(ip, self._status())
        elif not isinstance(message, SidecarStatus):
            self._telemetry.count("messages_unexpected")

    async def _take_heartbeat(self, request: Request) -> Response:
        try:
            read = self._heartbeats.read(request)
        except CranberryholdError as error:
            self._telemetry.count("heartbeats_malformed")
            self._telemetry.flow_event("heartbeat-malformed", error=error)
            return Response(400)
        self._target_dependency.answered()
        if read is None:
            return Response(404)
        if isinstance(read, str):
            self._path.note_target_end(read)
            self._tell_all()
        elif self._path.note_heartbeat(read) is not BeatOutcome.REFRESHED or (
            self._path.accepts_flows() != self._accepted
        ):
            self._tell_all()
        return Response(200, b"{}")

    def _status(self) -> SidecarStatus:
        self._accepted = self._path.accepts_flows()
        return SidecarStatus(
            self._member.process,
            self._settings.member.zone,
            self._target.service,
            self._accepted,
            self._target.slots,
            self._path.flows.running,
            len(self._path.flows),
            self._target.is_cold(boot_time()),
        )

    def _greet(self, ips: list[bytes]) -> None:
        self._member.send_all(ips, self._status())

    def _tell_all(self) -> None:
        self._member.send_all(self._member.peers.entry_ips(), self._status())

    async def _tell_status(self) -> None:
        while True:
            self._tell_all()
            receivers = len(self._member.peers.entry_ips())
            await asyncio.sleep(status_interval_s(SIDECAR_STATUS_INTERVAL_S, receivers))

    async def _check_presence(self) -> None:
        """Find out about a target that ended without a word."""
        while True:
            if self._path.target_is_overdue():
                self._target_dependency.failed("no heartbeat in time")
                listens = await target_listens(self._settings.target_address)
                self._telemetry.count("presence_checks")
                if listens is False and self._path.note_target_absent():
                    self._tell_all()
            await asyncio.sleep(PRESENCE_INTERVAL_S)

    async def _drain(self) -> None:
        self._path.leave()
        self._tell_all()
        await asyncio.sleep(DRAIN_LEAST_S)
        polls = int(DRAIN_LIMIT_S / DRAIN_POLL_S)
        for _ in range(polls):
            if not self._path.flows.running:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        self._telemetry.event(
            "drained", running=self._path.flows.running, flows=len(self._path.flows)
        )

    async def _peer_page(self, _request: Request) -> Response:
        return Response(404)

    def _gauges(self) -> Mapping[str, float]:
        return {
            "flows": len(self._path.flows),
            "running": self._path.flows.running,
            "entries": len(self._member.peers.entries),
            "heartbeat_age_seconds": self._target.age_s(boot_time()),
        }
