"""State and event handlers of an entry instance, independent of any event loop."""

import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager
from socket import inet_ntoa

from msgspec import structs

from cranberryhold.addresses import Address
from cranberryhold.flows.adoption import ConfigurationAdopter, ConfigurationSource
from cranberryhold.flows.bulk_shedding import BulkShedding
from cranberryhold.flows.early_forwarding import SocketHandler
from cranberryhold.flows.entry_datapath import EntryDatapath
from cranberryhold.flows.evacuation.stored import StoredEvacuations
from cranberryhold.flows.evacuation.tracker import EvacuationTracker
from cranberryhold.flows.leased_store import BootstrapState, ItemList
from cranberryhold.flows.link_load import LinkLoad
from cranberryhold.flows.member import Member
from cranberryhold.flows.member_list import decode_members
from cranberryhold.flows.peer_messages import (
    EntryStatus,
    FlowHeld,
    FlowNotFound,
    FlowNotHeld,
    OpeningQueued,
    PeerMessage,
    SidecarStatus,
)
from cranberryhold.flows.rotation_guard import RotationGuard
from cranberryhold.flows.route_table import RouteTable
from cranberryhold.flows.segments import SegmentCodec
from cranberryhold.flows.settings import MemberSettings
from cranberryhold.flows.status_schedule import (
    ENTRY_MAX_ROUNDS,
    ENTRY_STATUS_INTERVAL_S,
    StatusSchedule,
)
from cranberryhold.flows.status_sender import StatusSender
from cranberryhold.flows.store_epoch import EpochTracker
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.flows.udp import UdpSocket, open_udp

# A new process without known targets reports itself ready only after this time.
TARGET_DISCOVERY_S = 1.0
DEFAULT_IDLE_TIMEOUT_S = 60.0


class EntryCore:
    """State and event handlers of an entry instance.

    :param settings: settings of the daemon.
    :param codec: format of the packets.
    :param source: location and format of the configuration.
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
        self._member = Member(settings, telemetry, on_discovered=self._send_status_to)
        self._statuses = StatusSender(
            self._member,
            StatusSchedule(ENTRY_STATUS_INTERVAL_S, ENTRY_MAX_ROUNDS),
            self._status,
        )
        self._routes = RouteTable(settings.max_flow_s, settings.configuration_limit_s)
        self._link = LinkLoad(settings.link_bytes_s)
        self._evacuations = EvacuationTracker(
            settings.zone,
            settings.evacuation_limit_s,
            telemetry,
            monotonic=time.monotonic,
            on_change=self.announce,
        )
        self._stored_evacuations = StoredEvacuations(source, self._evacuations)
        self._datapath = EntryDatapath(
            self._member.ip,
            self._routes,
            self._member.peers,
            codec,
            self,
            telemetry,
            monotonic=time.monotonic,
            link=self._link,
            shedding=BulkShedding(self._member.random),
            evacuations=self._evacuations.state,
        )
        self._adopter = ConfigurationAdopter(
            source,
            self._routes,
            telemetry,
            monotonic=time.monotonic,
            on_change=self._handle_adopted,
        )
        self._epochs = EpochTracker(telemetry, self._handle_new_epoch)
        self._packet_socket: UdpSocket | None = None
        self._status_socket: UdpSocket | None = None
        self._configured_at: float | None = None
        self._stopping = False
        self._left_rotation = False
        self._sent_ready = False
        self._guard = RotationGuard(self._member.random)
        self._on_newer_version: Callable[[Address, int], None] | None = None
        # Reports of members from before there was a callback.
        self._early_reports: dict[Address, int] = {}

    @property
    def settings(self) -> MemberSettings:
        """Settings of the daemon."""
        return self._settings

    @property
    def member(self) -> Member:
        """Membership of this process."""
        return self._member

    @property
    def adopter(self) -> ConfigurationAdopter:
        """Puts configurations into effect."""
        return self._adopter

    @property
    def epochs(self) -> EpochTracker:
        """Recognizes that the store was restored."""
        return self._epochs

    @property
    def evacuations(self) -> EvacuationTracker:
        """The known evacuations."""
        return self._evacuations

    @property
    def stored_evacuations(self) -> StoredEvacuations:
        """Follows the evacuations in the store."""
        return self._stored_evacuations

    @property
    def telemetry(self) -> Telemetry:
        """Log and counters."""
        return self._telemetry

    @contextmanager
    def open_sockets(self) -> Iterator[list[SocketHandler]]:
        """Open the sockets; yield them with the callbacks for their datagrams."""
        with ExitStack() as stack:
            packet_socket = stack.enter_context(
                open_udp(self._settings.packet_address, self._telemetry)
            )
            peer_socket = stack.enter_context(
                open_udp(self._settings.peer_address, self._telemetry)
            )
            self._packet_socket = packet_socket
            status_address = self._settings.status_address
            if status_address is not None:
                self._status_socket = stack.enter_context(
                    open_udp(status_address, self._telemetry)
                )
            self._member.attach(peer_socket, self._handle_message)
            self._member.add_seeds(self._settings.seeds)
            yield [
                (packet_socket, self._handle_packet),
                (peer_socket, self._member.receive),
            ]

    def apply_initial_state(self, state: BootstrapState) -> None:
        """Apply the first state that was read from the store."""
        members = decode_members(
            ItemList(state.members, state.position.epoch),
            self._telemetry,
            exact=state.has_all_members,
        )
        if members.complete:
            self._epochs.trust(state.position.epoch)
        else:
            self._epochs.record(state.position.epoch)
        self._member.apply_member_list(members)
        if self._evacuations.enabled:
            self._stored_evacuations.apply_read(
                state.other_keys, state.position, state.read_at
            )
        self._adopter.apply_read(state.configuration, state.read_at, call="start")

    def apply_settings(self, settings: MemberSettings) -> None:
        """Apply changed settings, except the addresses of open sockets."""
        self._settings = structs.replace(
            self._settings,
            store=settings.store,
            seeds=settings.seeds,
            stop_limit_s=settings.stop_limit_s,
            max_flow_s=settings.max_flow_s,
        )
        self._routes.update_flow_lifetime(settings.max_flow_s)
        self._member.add_seeds(settings.seeds)

    def on_newer_version(self, fetch: Callable[[Address, int], None]) -> None:
        """Register a callback for peers that report a newer configuration.

        It is called at once for those that have reported one since the start.
        """
        self._on_newer_version = fetch
        while self._early_reports:
            fetch(*self._early_reports.popitem())

    def log_serving(self) -> None:
        """Log that this instance follows changes from now on."""
        confirmed_s = self._routes.confirmation_age_s(time.monotonic())
        self._telemetry.event(
            "serving", version=self._routes.version, confirmed_s=round(confirmed_s, 3)
        )

    def document(self) -> bytes | None:
        """Return the configuration in effect as the operator wrote it."""
        configuration = self._routes.configuration
        return configuration.document if configuration else None

    def read_statuses(self) -> None:
        """Handle the regular statuses that have arrived since the last call."""
        if self._status_socket is not None:
            self._status_socket.read_all(self._member.receive)

    def announce(self) -> None:
        """Send the status of this instance to all members at once."""
        self._send_status_to_entries()
        self._statuses.send_to(self._member.peers.sidecar_ips())

    def send_status(self) -> float:
        """Send the status to the members whose turn it is.

        :return: seconds until the next call is due.
        """
        self._evacuations.check()
        return self._statuses.send_round(self._member.peers.sidecar_ips())

    def begin_stop(self) -> None:
        """Tell the neighbors that this instance will leave the rotation."""
        self._stopping = True
        self._send_status_to_entries()

    def leave_rotation(self) -> None:
        """Report this instance as not ready from now on."""
        rotation = self._member.peers.rotation()
        self._telemetry.event(
            "rotation-left",
            ready=rotation.ready,
            absent=rotation.absent,
            borne=rotation.tolerates_withdrawal(),
        )
        self._left_rotation = True
        self._send_status_to_entries()

    def check_overload(self, lateness_s: float) -> None:
        """Leave the rotation under lasting overload, and return after it.

        :param lateness_s: how late a timer of the event loop fired, in seconds.
        """
        now = time.monotonic()
        utilization = self._link.lasting_utilization(now)
        changed = self._guard.update(
            utilization=utilization,
            lateness_s=lateness_s,
            may_leave=self._may_leave_rotation,
            is_needed=lambda: not self._member.peers.rotation().keeps_half(),
            now=now,
        )
        if changed:
            self._telemetry.event(
                "rotation-overload",
                in_rotation=self._guard.in_rotation,
                utilization=round(utilization, 3),
                late_s=round(lateness_s, 3),
            )
            self._send_status_to_entries()

    def is_ready(self) -> bool:
        """Whether the fabric should send packets here."""
        if self._left_rotation or self._configured_at is None:
            return False
        if not self._guard.in_rotation:
            return False
        waited = time.monotonic() - self._configured_at
        return bool(self._member.peers.sidecars) or waited > TARGET_DISCOVERY_S

    def sweep(self) -> None:
        """Remove idle flows, and report evacuations that name no data centre."""
        if self._evacuations.state.zones and not self._member.peers.needs_members():
            self._evacuations.check_names(self._known_zones())
        configuration = self._routes.configuration
        timeout_s = (
            configuration.idle_timeout_s if configuration else DEFAULT_IDLE_TIMEOUT_S
        )
        self._datapath.sweep(min(timeout_s, self._settings.max_flow_s))

    def gauges(self) -> Mapping[str, float]:
        """Return sizes and versions for the metrics."""
        now = time.monotonic()
        return {
            "flows": len(self._datapath.flows),
            "log_lines_dropped": self._telemetry.lines_dropped,
            "entries": len(self._member.peers.entries),
            "sidecars": len(self._member.peers.sidecars),
            "configuration_version": self._routes.version,
            "configuration_newest_known_version": self._routes.newest_known_version,
            "configuration_confirmation_age_seconds": self._routes.confirmation_age_s(
                now
            ),
            "link_utilization": self._link.utilization(now),
            **self._evacuations.gauges(),
            **self._datapath.selection.gauges(),
        }

    def send_to_sidecar(self, ip: bytes, datagram: bytes) -> None:
        """Send an envelope to a sidecar."""
        if self._packet_socket is not None:
            self._packet_socket.send(datagram, ip, self._settings.packet_address.port)

    def send_to_caller(self, ip: bytes, packet: bytes) -> None:
        """Send a packet to a caller."""
        if self._packet_socket is not None:
            self._packet_socket.send(packet, ip, self._settings.packet_address.port)

    def _handle_packet(self, packet: bytes, _sender: bytes) -> None:
        started = time.perf_counter()
        self._datapath.handle_caller_packet(packet)
        self._telemetry.observe("packet_handling", time.perf_counter() - started)

    def _handle_message(self, ip: bytes, message: PeerMessage) -> None:
        match message:
            case FlowHeld():
                self._datapath.record_held(ip, message)
            case FlowNotHeld():
                self._datapath.record_not_held(ip, message)
            case FlowNotFound():
                self._datapath.record_not_found(message)
            case OpeningQueued():
                self._datapath.record_queued(ip, message)
            case SidecarStatus():
                self._datapath.selection.record_status(ip, message)
                if self._member.peers.update_sidecar(ip, message):
                    self._member.handle_new_peer(ip, message.zone)
                    self._statuses.send_to([ip])
                if self.is_ready() != self._sent_ready:
                    self._send_status_to_entries()
            case EntryStatus():
                if self._member.peers.update_entry(ip, message):
                    self._member.handle_new_peer(ip, message.zone)
                    self._statuses.send_to([ip])
                elif message.needs_members:
                    # It may have missed the first list, or members found since.
                    self._member.send_known_members(ip, message.zone)
                self._evacuations.record_notice(message.evacuation, inet_ntoa(ip))
                self._routes.record_known_version(message.version, time.monotonic())
                if message.version > self._routes.version:
                    self._notify_newer_version(ip, message.version)

    def _handle_new_epoch(self) -> None:
        """Handle a store that was restored from an older copy of its data."""
        self._routes.record_restore(time.monotonic())
        self._member.peers.record_restore()

    def _may_leave_rotation(self) -> bool:
        return self.is_ready() and self._member.peers.rotation().keeps_half()

    def _notify_newer_version(self, ip: bytes, version: int) -> None:
        port = self._settings.peer_address.port
        peer = Address.unpack(ip + port.to_bytes(2, "big"))
        if self._on_newer_version is not None:
            self._on_newer_version(peer, version)
        else:
            self._early_reports[peer] = version

    def _status(self, interval_s: float) -> EntryStatus:
        """Return the status of this instance.

        :param interval_s: seconds until the next status for the same receiver.
        """
        status_address = self._settings.status_address
        return EntryStatus(
            self._member.process,
            self._settings.zone,
            self._routes.version,
            self.is_ready(),
            round(interval_s * 1000),
            status_address.port if status_address is not None else 0,
            self._stopping,
            self._member.peers.needs_members(),
            self._evacuations.notice(self._known_zones),
        )

    def _known_zones(self) -> set[str]:
        peers = self._member.peers
        members = (*peers.entries.values(), *peers.sidecars.values())
        return {self._settings.zone, *(member.status.zone for member in members)}

    def _send_status_to(self, ips: list[bytes]) -> None:
        self._statuses.send_to(ips)

    def _handle_adopted(self) -> None:
        if self._configured_at is None:
            self._configured_at = time.monotonic()
        self._send_status_to_entries()

    def _send_status_to_entries(self) -> None:
        self._sent_ready = self.is_ready()
        self._statuses.send_to_entries()
