"""Decisions of an entry instance on the packets of flows."""

from collections.abc import Callable
from socket import inet_ntoa
from typing import Protocol

from cranberryhold.flows.envelope import Envelope, Purpose, candidates_that_fit
from cranberryhold.flows.flow_cache import FlowCache, FlowLocation
from cranberryhold.flows.peer_messages import FlowHeld, FlowNotHeld
from cranberryhold.flows.peers import Peers
from cranberryhold.flows.route_table import RouteTable
from cranberryhold.flows.segments import Segment, SegmentCodec
from cranberryhold.flows.target_state import NO_SERVICE
from cranberryhold.flows.telemetry import Telemetry


class EntryOutput(Protocol):
    """Where an entry instance's packets go."""

    def to_sidecar(self, ip: bytes, datagram: bytes) -> None:
        """Send an envelope to a sidecar."""


class EntryDatapath:
    """Sends each packet of a caller to the sidecar of a target.

    :param own_ip: packed IPv4 number of this instance.
    :param routes: routes in effect.
    :param peers: members that are known.
    :param codec: format of the packets.
    :param output: where packets go.
    :param telemetry: log and counters.
    :param monotonic: clock in seconds.
    """

    def __init__(
        self,
        own_ip: bytes,
        routes: RouteTable,
        peers: Peers,
        codec: SegmentCodec,
        output: EntryOutput,
        telemetry: Telemetry,
        *,
        monotonic: Callable[[], float],
    ) -> None:
        self._own_ip = own_ip
        self._routes = routes
        self._peers = peers
        self._codec = codec
        self._output = output
        self._telemetry = telemetry
        self._monotonic = monotonic
        self._flows = FlowCache()

    @property
    def flows(self) -> FlowCache:
        """Where the flows are."""
        return self._flows

    def take_from_caller(self, packet: bytes) -> None:
        """Handle a packet that the fabric delivered."""
        segment = self._codec.decode(packet)
        if segment is None or segment.returned:
            self._telemetry.count("packets_malformed")
            return
        if segment.syn and not segment.ack:
            self._open(segment, packet)
        else:
            self._forward(segment, packet)

    def note_held(self, ip: bytes, message: FlowHeld) -> None:
        """Take a sidecar's word that it holds a flow."""
        location = self._flows.locate(message.flow, NO_SERVICE, self._monotonic())
        location.holders.pop(ip, None)
        location.holders[ip] = message.first_sequence

    def note_not_held(self, ip: bytes, message: FlowNotHeld) -> None:
        """Take a sidecar's word that it does not hold a flow."""
        self._flows.forget(message.flow, ip)

    def sweep(self, max_idle_s: float) -> None:
        """Forget flows that have been idle."""
        gone = self._flows.sweep(self._monotonic(), max_idle_s)
        if gone:
            self._telemetry.count("flows_forgotten", gone)

    def _open(self, segment: Segment, packet: bytes) -> None:
        key = segment.flow_key_from_caller()
        service = self._routes.service_for_new_flow(
            segment.destination, segment.destination_port, key
        )
        if service is None:
            self._refuse(key, "no-route")
            return
        now = self._monotonic()
        location = self._flows.locate(key, service, now)
        location.service, location.last_used = service, now
        candidates = self._opening_order(key, service, location)
        if not candidates:
            self._refuse(key, "no-target")
            return
        first = candidates[0]
        location.tried.append(first)
        peer = self._peers.sidecars.get(first)
        if peer is not None:
            peer.placed += 1
        self._telemetry.count("flows_offered")
        self._telemetry.flow_event(
            "flow-offered",
            key,
            copy=segment.acknowledgment,
            candidates=len(candidates),
            first=inet_ntoa(first),
            running=peer.status.running if peer else None,
            status_age_s=round(now - peer.heard_at, 3) if peer else None,
            version=self._routes.version,
        )
        self._send(Purpose.OPEN, service, tuple(candidates), packet)

    def _opening_order(
        self, key: bytes, service: bytes, location: FlowLocation
    ) -> list[bytes]:
        """Return the sidecars to offer a flow to.

        A copy of a SYN goes to the sidecar that accepted the flow, if one did, else
        to those first that did not get the earlier copies.
        """
        peers = self._peers.candidates_for_opening(key, service)
        untried = [peer.ip for peer in peers if peer.ip not in location.tried]
        tried = [peer.ip for peer in peers if peer.ip in location.tried]
        held = [ip for ip in location.holders if self._peers.is_heard(ip)]
        return held or untried + tried

    def _forward(self, segment: Segment, packet: bytes) -> None:
        key = segment.flow_key_from_caller()
        now = self._monotonic()
        location = self._flows.get(key)
        if location is not None:
            location.last_used = now
            holder = location.holder_for(segment)
            if holder is not None:
                self._telemetry.count("packets_direct")
                self._send(Purpose.DIRECT, NO_SERVICE, (holder,), packet)
                return
        # Before the first configuration, any sidecar may hold the flow.
        services = None
        if self._routes.version:
            services = self._routes.services_of_open_flow(
                segment.destination, segment.destination_port, now
            )
        candidates = []
        if services != []:
            candidates = self._peers.candidates_for_search(
                key, services, candidates_that_fit(len(packet))
            )
        if not candidates:
            self._telemetry.count("packets_discarded")
            self._telemetry.flow_event(
                "packet-discarded",
                key,
                reason="no-route" if services == [] else "no-target",
                version=self._routes.version,
            )
            return
        self._telemetry.count("packets_searched")
        self._telemetry.flow_event("flow-searched", key, candidates=len(candidates))
        self._send(
            Purpose.SEEK,
            NO_SERVICE,
            tuple(candidates),
            packet,
            complete=self._peers.search_is_complete(services, len(candidates)),
        )

    def _send(
        self,
        purpose: Purpose,
        service: bytes,
        candidates: tuple[bytes, ...],
        packet: bytes,
        *,
        complete: bool = False,
    ) -> None:
        envelope = Envelope(
            purpose,
            0,
            self._own_ip,
            service,
            candidates,
            packet,
            complete=complete,
        )
        self._output.to_sidecar(envelope.receiver, envelope.encode())

    def _refuse(self, key: bytes, reason: str) -> None:
        self._telemetry.count("openings_refused")
        self._telemetry.flow_event(
            "flow-refused",
            key,
            reason=reason,
            version=self._routes.version,
        )
