"""The state of an entry instance and its reactions, apart from any event loop."""

import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager

from msgspec import structs

from cranberryhold.addresses import Address
from cranberryhold.flows.adoption import ConfigurationAdopter, ConfigurationSource
from cranberryhold.flows.early_forwarding import SocketHandler
from cranberryhold.flows.entry_datapath import EntryDatapath
from cranberryhold.flows.leased_store import BootstrapState
from cranberryhold.flows.member import Member
from cranberryhold.flows.member_list import decode_members
from cranberryhold.flows.peer_messages import (
    EntryStatus,
    FlowHeld,
    FlowNotHeld,
    PeerMessage,
    SidecarStatus,
)
from cranberryhold.flows.route_table import RouteTable
from cranberryhold.flows.segments import SegmentCodec
from cranberryhold.flows.settings import MemberSettings
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.flows.udp import UdpSocket, open_udp

# How long a new process waits to hear of targets before it reports itself ready.
LEARN_TARGETS_S = 1.0
DEFAULT_IDLE_S = 60.0


class EntryCore:
    """The state of an entry instance, and its reactions.

    :param settings: settings of the daemon.
    :param codec: format of the packets.
    :param source: where the configuration is and how to read it.
    :param telemetry: log and counters.
    """

    def __init__(
        self,
        settings: MemberSettings,
        codec: SegmentCodec,
        source: ConfigurationSource,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._telemetry = telemetry
        self._member = Member(settings, telemetry, on_discovered=self._greet)
        self._routes = RouteTable(settings.max_flow_s)
        self._path = EntryDatapath(
            self._member.ip,
            self._routes,
            self._member.peers,
            codec,
            self,
            telemetry,
            monotonic=time.monotonic,
        )
        self._adopter = ConfigurationAdopter(
            source,
            self._routes,
            telemetry,
            monotonic=time.monotonic,
            on_change=self._note_version,
        )
        self._packets: UdpSocket | None = None
        self._configured_at: float | None = None
        self._leaves_rotation = False
        self._told_ready = False
        self._on_newer: Callable[[Address, int], None] | None = None

    @property
    def settings(self) -> MemberSettings:
        """Settings of the daemon."""
        return self._settings

    @property
    def member(self) -> Member:
        """The own process among the members."""
        return self._member

    @property
    def adopter(self) -> ConfigurationAdopter:
        """Puts configurations into effect."""
        return self._adopter

    @property
    def telemetry(self) -> Telemetry:
        """Log and counters."""
        return self._telemetry

    @contextmanager
    def open_sockets(self) -> Iterator[list[SocketHandler]]:
        """Yield the sockets and what takes their datagrams."""
        with ExitStack() as stack:
            packets = stack.enter_context(
                open_udp(self._settings.packet_address, self._telemetry)
            )
            messages = stack.enter_context(
                open_udp(self._settings.peer_address, self._telemetry)
            )
            self._packets = packets
            self._member.attach(messages, self._take_message)
            self._member.add_seeds(self._settings.seeds)
            yield [(packets, self._take_packet), (messages, self._member.receive)]

    def apply_initial_state(self, reading: BootstrapState) -> None:
        """Take what the store holds at the start."""
        self._member.apply_member_list(decode_members(reading.members, self._telemetry))
        if reading.configuration is not None:
            item = reading.configuration
            self._adopter.adopt(item.value, source="store", revision=item.revision)

    def apply_settings(self, settings: MemberSettings) -> None:
        """Take changed settings; addresses of open sockets stay as they are."""
        self._settings = structs.replace(
            self._settings,
            store=settings.store,
            seeds=settings.seeds,
            stop_limit_s=settings.stop_limit_s,
            max_flow_s=settings.max_flow_s,
        )
        self._member.add_seeds(settings.seeds)

    def on_newer_version(self, fetch: Callable[[Address, int], None]) -> None:
        """Set what is called with a peer that has a newer configuration."""
        self._on_newer = fetch

    def document(self) -> bytes | None:
        """Return the configuration in effect as the operator wrote it."""
        configuration = self._routes.configuration
        return configuration.document if configuration else None

    def send_status(self) -> int:
        """Tell all members of this one; return how many."""
        peers = self._member.peers
        ips = [*peers.entry_ips(), *peers.sidecar_ips()]
        self._member.send_all(ips, self._status())
        return len(ips)

    def leave_rotation(self) -> None:
        """Report unready from now on."""
        rotation = self._member.peers.rotation()
        self._telemetry.event(
            "rotation-left",
            ready=rotation.ready,
            absent=rotation.absent,
            borne=rotation.tolerates_withdrawal(),
        )
        self._leaves_rotation = True
        self._tell_entries()

    def is_ready(self) -> bool:
        """Whether the fabric should send packets here."""
        if self._leaves_rotation or self._configured_at is None:
            return False
        waited = time.monotonic() - self._configured_at
        return bool(self._member.peers.sidecars) or waited > LEARN_TARGETS_S

    def sweep(self) -> None:
        """Forget idle flows."""
        configuration = self._routes.configuration
        idle_s = configuration.idle_timeout_s if configuration else DEFAULT_IDLE_S
        self._path.sweep(min(idle_s, self._settings.max_flow_s))

    def gauges(self) -> Mapping[str, float]:
        """Return sizes and versions for the metrics."""
        return {
            "flows": len(self._path.flows),
            "log_lines_dropped": self._telemetry.lines_dropped,
            "entries": len(self._member.peers.entries),
            "sidecars": len(self._member.peers.sidecars),
            "configuration_version": self._routes.version,
        }

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
                if self._member.peers.update_sidecar(ip, message):
                    self._member.handle_new_peer(ip)
                    self._member.send(ip, self._status())
                if self.is_ready() != self._told_ready:
                    self._tell_entries()
            case EntryStatus():
                if self._member.peers.update_entry(ip, message):
                    self._member.handle_new_peer(ip)
                    self._member.send(ip, self._status())
                if message.version > self._routes.version:
                    self._note_newer(ip, message.version)

    def _note_newer(self, ip: bytes, version: int) -> None:
        if self._on_newer is not None:
            port = self._settings.peer_address.port
            self._on_newer(Address.unpack(ip + port.to_bytes(2, "big")), version)

    def _status(self) -> EntryStatus:
        return EntryStatus(
            self._member.process,
            self._settings.zone,
            self._routes.version,
            self.is_ready(),
        )

    def _greet(self, ips: list[bytes]) -> None:
        self._member.send_all(ips, self._status())

    def _note_version(self) -> None:
        if self._configured_at is None:
            self._configured_at = time.monotonic()
        self._tell_entries()

    def _tell_entries(self) -> None:
        status = self._status()
        self._told_ready = status.ready
        self._member.send_all(self._member.peers.entry_ips(), status)
