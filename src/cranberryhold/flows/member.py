"""The local member: its peers, and the messages exchanged with them."""

from __future__ import annotations

import time
from _socket import inet_aton, inet_ntoa

from cranberryhold.addresses import Address
from cranberryhold.flows.member_list import ListedMembers
from cranberryhold.flows.peer_messages import (
    Leaving,
    PeerList,
    PeerMessage,
    decode_message,
    encode_message,
)
from cranberryhold.flows.peers import Peers
from cranberryhold.flows.settings import MemberSettings
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.flows.udp import UdpSocket
from cranberryhold.pacing import Random

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_PROCESS_BITS = 32


class Member:
    """The local process as a member: its peers, and the messages to and from them.

    :param settings: settings of the daemon.
    :param telemetry: log and counters.
    :param on_discovered: called with members that were not known before.
    """

    def __init__(
        self,
        settings: MemberSettings,
        telemetry: Telemetry,
        *,
        on_discovered: Callable[[list[bytes]], None],
    ) -> None:
        self._settings = settings
        self._on_discovered = on_discovered
        self._telemetry = telemetry
        self._random = Random()
        self._process = self._random.getrandbits(_PROCESS_BITS)
        self._ip = inet_aton(settings.peer_address.ip)
        self._peers = Peers(self._ip, settings.zone, time.monotonic)
        self._socket: UdpSocket | None = None
        self._handler: Callable[[bytes, PeerMessage], None] | None = None

    @property
    def ip(self) -> bytes:
        """Packed IPv4 address of this instance."""
        return self._ip

    @property
    def process(self) -> int:
        """Random number that identifies this process."""
        return self._process

    @property
    def random(self) -> Random:
        """Source of jitter."""
        return self._random

    @property
    def peers(self) -> Peers:
        """The other members."""
        return self._peers

    def attach(
        self, socket: UdpSocket, handler: Callable[[bytes, PeerMessage], None]
    ) -> None:
        """Set the socket for sending and the handler of role-specific messages.

        :param handler: called with the sender's packed IPv4 address and each message
            that this class does not handle itself.
        """
        self._socket = socket
        self._handler = handler

    def receive(self, datagram: bytes, ip: bytes) -> None:
        """Handle a datagram from another member."""
        message = decode_message(datagram)
        if message is None:
            self._telemetry.count("messages_malformed")
        elif isinstance(message, PeerList):
            self._add_discovered(message.entries, message.sidecars, "peer")
            if self._peers.record_peer_list(ip, message):
                self._telemetry.event(
                    "members-confirmed",
                    peer=inet_ntoa(ip),
                    sidecars=len(self._peers.sidecar_ips()),
                )
        elif isinstance(message, Leaving):
            if self._peers.record_departure(ip, message):
                self._telemetry.event(
                    "peer-left", peer=inet_ntoa(ip), flows=message.flows
                )
        elif self._handler is not None:
            self._handler(ip, message)

    def send(self, ip: bytes, message: PeerMessage) -> None:
        """Send a message to a member."""
        self.send_all((ip,), message)

    def send_all(self, ips: Iterable[bytes], message: PeerMessage) -> None:
        """Send a message to several members."""
        port = self._settings.peer_address.port
        self._send_to([(ip, port) for ip in ips if ip != self._ip], message)

    def send_regular_status(self, ips: Iterable[bytes], message: PeerMessage) -> None:
        """Send a status that its receivers may handle with some delay."""
        port = self._settings.peer_address.port
        ports = [(ip, self._peers.status_port_of(ip, port)) for ip in ips]
        self._send_to(ports, message)

    def handle_new_peer(self, ip: bytes, zone: str) -> None:
        """Log a newly discovered process, and send it the known members.

        :param zone: data centre of the process.
        """
        self._telemetry.event(
            "peer-joined",
            peer=inet_ntoa(ip),
            entries=len(self._peers.entries),
            sidecars=len(self._peers.sidecars),
        )
        self.send_known_members(ip, zone)

    def send_known_members(self, ip: bytes, zone: str) -> None:
        """Send the known members to a process if this member is a contact of it."""
        if self._peers.is_contact_of(ip, zone):
            for part in self._peers.peer_lists():
                self.send(ip, part)

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Treat the seeds from the settings as members that may exist."""
        self._peers.add_listed([inet_aton(seed.ip) for seed in seeds], ())

    def leave(self, flows: int) -> None:
        """Notify the other members that this process is stopping.

        :param flows: number of open flows at the target of this sidecar.
        """
        ips = [*self._peers.entry_ips(), *self._peers.sidecar_ips()]
        self.send_all(ips, Leaving(self._process, flows))

    def sweep(self) -> None:
        """Remove members that have sent nothing for a long time."""
        for ip in self._peers.remove_expired():
            self._telemetry.event("peer-forgotten", peer=inet_ntoa(ip))

    def apply_member_list(self, members: ListedMembers) -> None:
        """Update the peers from the members registered in the store."""
        self._add_discovered(members.entries, members.sidecars, "store")
        if members.complete:
            self._peers.record_registered((*members.entries, *members.sidecars))

    def record_registration(self, is_registered: bool) -> None:
        """Record whether the store contains the entry of this process."""
        self._peers.record_registration(is_registered=is_registered)

    def _add_discovered(
        self, entries: Iterable[bytes], sidecars: Iterable[bytes], source: str
    ) -> None:
        new = self._peers.add_listed(entries, sidecars)
        if new:
            self._telemetry.event(
                "peers-listed", source=source, new=",".join(map(inet_ntoa, new[:16]))
            )
            self._on_discovered(new)

    def _send_to(
        self, receivers: Iterable[tuple[bytes, int]], message: PeerMessage
    ) -> None:
        if self._socket is None:
            return
        datagram = encode_message(message)
        for ip, port in receivers:
            self._socket.send(datagram, ip, port)
