"""The state of a sidecar and its reactions, apart from any event loop."""

import time
from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from socket import inet_aton

from cranberryhold.flows.early_forwarding import SocketHandler
from cranberryhold.flows.member import Member
from cranberryhold.flows.peer_messages import EntryStatus, PeerMessage, SidecarStatus
from cranberryhold.flows.segments import SegmentCodec
from cranberryhold.flows.settings import FlowSidecarSettings
from cranberryhold.flows.sidecar_datapath import SidecarDatapath
from cranberryhold.flows.target_state import TargetState
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.flows.udp import UdpSocket, open_udp


def boot_time() -> float:
    """Return seconds of a clock that also counts while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SidecarCore:
    """The state of the sidecar of one target, and its reactions.

    :param settings: settings of the daemon.
    :param codec: format of the packets.
    :param telemetry: log and counters.
    """

    def __init__(
        self, settings: FlowSidecarSettings, codec: SegmentCodec, telemetry: Telemetry
    ) -> None:
        self._settings = settings
        self._telemetry = telemetry
        self._member = Member(settings.member, telemetry, on_discovered=self._greet)
        self._target = TargetState(
            settings.heartbeat_interval_s, settings.address_reuse_s
        )
        self._path = SidecarDatapath(
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
        self._accepted = False

    @property
    def settings(self) -> FlowSidecarSettings:
        """Settings of the daemon."""
        return self._settings

    @property
    def member(self) -> Member:
        """The own process among the members."""
        return self._member

    @property
    def datapath(self) -> SidecarDatapath:
        """Decisions on packets."""
        return self._path

    @property
    def telemetry(self) -> Telemetry:
        """Log and counters."""
        return self._telemetry

    @contextmanager
    def open_sockets(self) -> Iterator[list[SocketHandler]]:
        """Yield the sockets and what takes their datagrams."""
        member = self._settings.member
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
            self._member.add_seeds(member.seeds)
            yield [
                (self._packets, self._take_from_member),
                (self._outbound, self._take_from_target),
                (messages, self._member.receive),
            ]

    def apply_settings(self, settings: FlowSidecarSettings) -> None:
        """Take changed settings; addresses of open sockets stay as they are."""
        self._target.set_times(settings.heartbeat_interval_s, settings.address_reuse_s)
        self._member.add_seeds(settings.member.seeds)

    def send_status(self) -> int:
        """Tell all entry instances of the target; return how many."""
        ips = self._member.peers.entry_ips()
        self._member.send_all(ips, self._status())
        return len(ips)

    def acceptance_changed(self) -> bool:
        """Whether the entry instances were last told something else."""
        return self._path.accepts_flows() != self._accepted

    def gauges(self) -> Mapping[str, float]:
        """Return sizes and ages for the metrics."""
        return {
            "flows": len(self._path.flows),
            "log_lines_dropped": self._telemetry.lines_dropped,
            "running": self._path.flows.running,
            "entries": len(self._member.peers.entries),
            "heartbeat_age_seconds": self._target.age_s(boot_time()),
        }

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
            if self._member.peers.update_entry(ip, message):
                self._member.handle_new_peer(ip)
                self._member.send(ip, self._status())
        elif not isinstance(message, SidecarStatus):
            self._telemetry.count("messages_unexpected")

    def _status(self) -> SidecarStatus:
        self._accepted = self._path.accepts_flows()
        return SidecarStatus(
            self._member.process,
            self._settings.member.zone,
            self._target.service,
            self._accepted,
            self._target.slots,
            self._path.flows.running,
            self._path.flows.unclosed,
            self._target.is_cold(boot_time()),
        )

    def _greet(self, ips: list[bytes]) -> None:
        self._member.send_all(ips, self._status())
