"""State and event handlers of a sidecar, independent of any event loop."""

import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager
from socket import inet_aton, inet_ntoa

from msgspec import structs

from cranberryhold.flows.cold_start.gate import ColdStartGate
from cranberryhold.flows.early_forwarding import SocketHandler
from cranberryhold.flows.evacuation.tracker import EvacuationTracker
from cranberryhold.flows.member import Member
from cranberryhold.flows.peer_messages import EntryStatus, PeerMessage, SidecarStatus
from cranberryhold.flows.segments import SegmentCodec
from cranberryhold.flows.settings import FlowSidecarSettings
from cranberryhold.flows.sidecar_datapath import SidecarDatapath
from cranberryhold.flows.status_schedule import (
    ENTRY_MAX_ROUNDS,
    ENTRY_STATUS_INTERVAL_S,
    SIDECAR_MAX_ROUNDS,
    SIDECAR_STATUS_INTERVAL_S,
    StatusSchedule,
)
from cranberryhold.flows.status_sender import StatusSender
from cranberryhold.flows.target_state import TargetState
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.flows.udp import UdpSocket, open_udp

# After a loss of power, the slowest machines have started within this time.
JOINT_START_S = 10.0
# Longest time until an entry instance repeats its state, and one such time in which it
# was lost.
EVACUATION_STALE_S = 2 * ENTRY_MAX_ROUNDS * ENTRY_STATUS_INTERVAL_S


def boot_time() -> float:
    """Return seconds of a clock that also counts while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SidecarCore:
    """State and event handlers of the sidecar of one target.

    :param settings: settings of the daemon.
    :param codec: format of the packets.
    :param telemetry: log and counters.
    """

    def __init__(
        self, settings: FlowSidecarSettings, codec: SegmentCodec, telemetry: Telemetry
    ) -> None:
        self._settings = settings
        self._telemetry = telemetry
        self._member = Member(
            settings.member, telemetry, on_discovered=self._send_status_to
        )
        self._statuses = StatusSender(
            self._member,
            StatusSchedule(SIDECAR_STATUS_INTERVAL_S, SIDECAR_MAX_ROUNDS),
            self._status,
        )
        self._target = TargetState(
            settings.heartbeat_interval_s, settings.address_reuse_s, settings.service
        )
        self._cold_start = ColdStartGate(
            settings.cold_start,
            self._target,
            telemetry,
            monotonic=time.monotonic,
            boot_time=boot_time,
            unix_time=time.time,
        )
        self._evacuations = EvacuationTracker(
            settings.member.zone,
            settings.member.evacuation_limit_s,
            telemetry,
            monotonic=time.monotonic,
            on_change=self._handle_evacuation,
            stale_after_s=EVACUATION_STALE_S,
        )
        self._datapath = SidecarDatapath(
            self._target,
            codec,
            self,
            telemetry,
            max_flow_s=settings.member.max_flow_s,
            monotonic=time.monotonic,
            boot_time=boot_time,
            unix_time=time.time,
            random=self._member.random,
            cold_start=self._cold_start,
            evacuations=self._evacuations.state,
            zone=settings.member.zone,
        )
        self._target_ip = inet_aton(settings.target_address.ip)
        self._packet_socket: UdpSocket | None = None
        self._outbound_socket: UdpSocket | None = None
        self._sent_accepts = False
        self._sent_room: int | None = None
        self._call_later: Callable[[float, Callable[[], None]], object] | None = None
        self._queue_timer_runs = False
        self._started_at = time.monotonic()

    @property
    def settings(self) -> FlowSidecarSettings:
        """Settings of the daemon."""
        return self._settings

    @property
    def member(self) -> Member:
        """Membership of this process."""
        return self._member

    @property
    def datapath(self) -> SidecarDatapath:
        """Forwards the packets."""
        return self._datapath

    @property
    def evacuations(self) -> EvacuationTracker:
        """The known evacuations."""
        return self._evacuations

    @property
    def telemetry(self) -> Telemetry:
        """Log and counters."""
        return self._telemetry

    @contextmanager
    def open_sockets(self) -> Iterator[list[SocketHandler]]:
        """Open the sockets; yield them with the callbacks for their datagrams."""
        member = self._settings.member
        with ExitStack() as stack:
            self._packet_socket = stack.enter_context(
                open_udp(member.packet_address, self._telemetry)
            )
            self._outbound_socket = stack.enter_context(
                open_udp(self._settings.outbound_address, self._telemetry)
            )
            peer_socket = stack.enter_context(
                open_udp(member.peer_address, self._telemetry)
            )
            self._member.attach(peer_socket, self._handle_message)
            self._member.add_seeds(member.seeds)
            yield [
                (self._packet_socket, self._handle_member_datagram),
                (self._outbound_socket, self._handle_target_packet),
                (peer_socket, self._member.receive),
            ]

    def use_timers(
        self, call_later: Callable[[float, Callable[[], None]], object]
    ) -> None:
        """Serve the queue of openings by timers while something waits.

        :param call_later: calls a function after a number of seconds.
        """
        self._call_later = call_later

    def apply_settings(self, settings: FlowSidecarSettings) -> None:
        """Apply changed settings, except the addresses of open sockets."""
        self._target.update_settings(
            settings.heartbeat_interval_s, settings.address_reuse_s, settings.service
        )
        self._datapath.update_max_flow(settings.member.max_flow_s)
        self._settings = structs.replace(
            self._settings,
            service=settings.service,
            heartbeat_interval_s=settings.heartbeat_interval_s,
            address_reuse_s=settings.address_reuse_s,
        )
        self._member.add_seeds(settings.member.seeds)

    def announce(self) -> None:
        """Send the target's status to all entry instances at once."""
        self._statuses.send_to_entries()

    def send_status(self) -> float:
        """Send the target's status to the entry instances whose turn it is.

        :return: seconds until the next call is due.
        """
        self._evacuations.check()
        return self._statuses.send_round()

    def acceptance_changed(self) -> bool:
        """Whether acceptance of new flows changed since the last status was sent.

        It also changes when a limit for a cold target begins or ends.
        """
        is_limited = self._cold_start.room() is not None
        return self._datapath.accepts_flows() != self._sent_accepts or is_limited != (
            self._sent_room is not None
        )

    def known_version(self) -> int:
        """Return the newest configuration version of an entry instance, 0 if none."""
        entries = self._member.peers.entries.values()
        return max((entry.status.version for entry in entries), default=0)

    def gauges(self) -> Mapping[str, float]:
        """Return sizes and ages for the metrics."""
        room = self._cold_start.room()
        return {
            **({"cold_room": room} if room is not None else {}),
            "flows": len(self._datapath.flows),
            "log_lines_dropped": self._telemetry.lines_dropped,
            "running": self._datapath.flows.running,
            "openings_waiting": self._datapath.openings.waiting,
            "service_time_seconds": self._datapath.openings.service_time_s or 0.0,
            "target_distrust": self._datapath.openings.distrust(),
            "entries": len(self._member.peers.entries),
            "heartbeat_age_seconds": self._target.seconds_since_heartbeat(boot_time()),
            **self._evacuations.gauges(),
        }

    def send_to_target(self, packet: bytes) -> None:
        """Deliver a packet to the target."""
        if self._outbound_socket is not None:
            port = self._settings.target_address.port
            self._outbound_socket.send(packet, self._target_ip, port)

    def send_to_caller(self, ip: bytes, packet: bytes) -> None:
        """Send a packet to a caller."""
        self._send_packet(packet, ip)

    def send_to_sidecar(self, ip: bytes, datagram: bytes) -> None:
        """Forward an envelope to another sidecar."""
        self._send_packet(datagram, ip)

    def send_to_peer(self, ip: bytes, message: PeerMessage) -> None:
        """Send a message to a member."""
        self._member.send(ip, message)

    def _send_packet(self, packet: bytes, ip: bytes) -> None:
        if self._packet_socket is not None:
            port = self._settings.member.packet_address.port
            self._packet_socket.send(packet, ip, port)

    def _handle_member_datagram(self, datagram: bytes, _sender: bytes) -> None:
        started = time.perf_counter()
        self._datapath.handle_member_datagram(datagram)
        if self._datapath.openings.waiting and not self._queue_timer_runs:
            self._serve_queue()
        self._telemetry.observe("packet_handling", time.perf_counter() - started)

    def _handle_target_packet(self, packet: bytes, _sender: bytes) -> None:
        started = time.perf_counter()
        self._datapath.handle_target_packet(packet)
        self._telemetry.observe("packet_handling", time.perf_counter() - started)

    def _handle_message(self, ip: bytes, message: PeerMessage) -> None:
        if isinstance(message, EntryStatus):
            self._evacuations.record_notice(message.evacuation, inet_ntoa(ip))
            if self._member.peers.update_entry(ip, message):
                self._member.handle_new_peer(ip, message.zone)
                self._statuses.send_to([ip])
        elif not isinstance(message, SidecarStatus):
            self._telemetry.count("messages_unexpected")

    def _handle_evacuation(self) -> None:
        self._datapath.openings.serve_queue()
        if self.acceptance_changed():
            self.announce()

    def _status(self, interval_s: float) -> SidecarStatus:
        """Return the status of the target.

        :param interval_s: seconds until the next status for the same receiver.
        """
        openings = self._datapath.openings
        self._sent_accepts = self._datapath.accepts_flows()
        self._sent_room = self._cold_start.room()
        return SidecarStatus(
            self._member.process,
            self._settings.member.zone,
            self._target.service,
            self._sent_accepts,
            self._target.slots,
            self._datapath.flows.running,
            self._datapath.flows.unclosed,
            self._target.is_cold(boot_time()),
            round(interval_s * 1000),
            self._target.presumed,
            self._has_started_anew(),
            reads_terms=True,
            waiting=openings.waiting,
            service_time_ms=round((openings.service_time_s or 0.0) * 1000),
            cold_room=self._sent_room,
            distrust=openings.distrust(),
        )

    def _serve_queue(self) -> None:
        self._queue_timer_runs = False
        delay_s = self._datapath.openings.serve_queue()
        if delay_s is not None and self._call_later is not None:
            self._queue_timer_runs = True
            self._call_later(delay_s, self._serve_queue)

    def _has_started_anew(self) -> bool:
        """Whether this process and its target, if any, have both started recently."""
        uptime_s = time.monotonic() - self._started_at
        return uptime_s < JOINT_START_S and self._target.is_younger_than(
            JOINT_START_S, time.time()
        )

    def _send_status_to(self, ips: list[bytes]) -> None:
        self._statuses.send_to(ips)
