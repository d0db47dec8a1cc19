"""Forwarding decisions of an entry instance for each packet."""

from collections.abc import Callable
from socket import inet_ntoa
from typing import Protocol

from cranberryhold.flows.admission.terms import OpeningTerms
from cranberryhold.flows.bulk_shedding import BulkShedding
from cranberryhold.flows.discovery import MEMBER_DISCOVERY_S
from cranberryhold.flows.envelope import (
    MAX_CANDIDATES,
    MAX_TERMS_CANDIDATES,
    Envelope,
    Purpose,
    max_candidates_for,
)
from cranberryhold.flows.evacuation.state import (
    ATTEMPT_RETENTION_S,
    EvacuationState,
    only_evacuated,
)
from cranberryhold.flows.flow_cache import FlowCache, FlowLocation
from cranberryhold.flows.link_load import LinkLoad
from cranberryhold.flows.peer_messages import (
    FlowHeld,
    FlowNotFound,
    FlowNotHeld,
    OpeningQueued,
)
from cranberryhold.flows.peers import Peers
from cranberryhold.flows.route_table import RouteTable
from cranberryhold.flows.segments import Segment, SegmentCodec
from cranberryhold.flows.selection.target_selection import TargetSelection
from cranberryhold.flows.target_state import UNKNOWN_SERVICE
from cranberryhold.flows.telemetry import Telemetry


class EntryOutput(Protocol):
    """Sends the packets of an entry instance."""

    def send_to_sidecar(self, ip: bytes, datagram: bytes) -> None:
        """Send an envelope to a sidecar."""

    def send_to_caller(self, ip: bytes, packet: bytes) -> None:
        """Send a packet to a caller."""


class EntryDatapath:
    """Forwards each packet of a caller to the sidecar of a target.

    :param local_ip: packed IPv4 address of this instance.
    :param routes: routes in effect.
    :param peers: known members.
    :param codec: format of the packets.
    :param output: sends the packets.
    :param telemetry: log and counters.
    :param monotonic: clock in seconds.
    :param link: load of the instance's link.
    :param shedding: selects the new flows to refuse while the link is full.
    :param evacuations: the known evacuations.
    """

    def __init__(
        self,
        local_ip: bytes,
        routes: RouteTable,
        peers: Peers,
        codec: SegmentCodec,
        output: EntryOutput,
        telemetry: Telemetry,
        *,
        monotonic: Callable[[], float],
        link: LinkLoad,
        shedding: BulkShedding,
        evacuations: EvacuationState | None = None,
    ) -> None:
        self._evacuations = evacuations or EvacuationState(0.0)
        self._local_ip = local_ip
        self._routes = routes
        self._peers = peers
        self._codec = codec
        self._output = output
        self._telemetry = telemetry
        self._monotonic = monotonic
        self._link = link
        self._shedding = shedding
        self._flows = FlowCache()
        self._started_at = monotonic()
        self._selection = TargetSelection(local_ip, peers, routes, telemetry, monotonic)

    @property
    def selection(self) -> TargetSelection:
        """Selects the targets of new flows."""
        return self._selection

    @property
    def flows(self) -> FlowCache:
        """Locations of the flows."""
        return self._flows

    def handle_caller_packet(self, packet: bytes) -> None:
        """Handle a packet that the fabric delivered."""
        self._link.record_received(len(packet), self._monotonic())
        segment = self._codec.decode(packet)
        if segment is None or segment.returned:
            self._telemetry.count("packets_malformed")
            return
        if segment.syn and not segment.ack:
            self._handle_syn(segment, packet)
        else:
            self._forward(segment, packet)

    def record_held(self, ip: bytes, message: FlowHeld) -> None:
        """Record that a sidecar reported that its target holds a flow."""
        location = self._flows.get_or_create(
            message.flow, UNKNOWN_SERVICE, self._monotonic()
        )
        location.absent_until = 0.0
        location.holders.pop(ip, None)
        location.holders[ip] = message.initial_sequence

    def record_not_held(self, ip: bytes, message: FlowNotHeld) -> None:
        """Record that a sidecar reported that its target does not hold a flow."""
        self._flows.remove_holder(message.flow, ip)

    def record_not_found(self, message: FlowNotFound) -> None:
        """Record that a search found no target that holds a flow."""
        self._flows.record_absent(message.flow, UNKNOWN_SERVICE, self._monotonic())

    def record_queued(self, ip: bytes, message: OpeningQueued) -> None:
        """Record that a sidecar reported that an opening waits there."""
        location = self._flows.get(message.flow)
        if location is not None:
            location.waiting_at = ip

    def sweep(self, max_idle_s: float) -> None:
        """Remove idle flows."""
        expired = self._flows.sweep(self._monotonic(), max_idle_s)
        if expired:
            self._telemetry.count("flows_forgotten", expired)

    def _handle_syn(self, segment: Segment, packet: bytes) -> None:
        key = segment.flow_key_from_caller()
        service = self._routes.service_for_new_flow(
            segment.destination, segment.destination_port, key
        )
        now = self._monotonic()
        if service is None:
            self._refuse(key, "no-route")
            # The route may have been added a moment ago, and its configuration may be
            # on its way. The first copy follows after 200 ms.
            if segment.acknowledgment > 0 and self._routes.is_current(now):
                self._reset(segment)
            return
        if self._is_shed(key, segment, now):
            self._refuse(key, "link-full")
            self._reset(segment)
            return
        location = self._flows.get_or_create(key, service, now)
        location.service, location.last_used = service, now
        location.absent_until = 0.0
        location.record_opening(segment)
        candidates = self._candidates_for_syn(key, service, location, segment)
        if not candidates:
            self._refuse_without_target(key, service, segment, location)
            return
        first = candidates[0]
        location.tried.append(first)
        peer = self._peers.sidecars.get(first)
        if peer is not None:
            peer.offered += 1
        self._telemetry.count("flows_offered")
        self._telemetry.flow_event(
            "flow-offered",
            key,
            copy=segment.acknowledgment,
            candidates=len(candidates),
            first=inet_ntoa(first),
            running=peer.status.running if peer else None,
            status_age_s=round(now - peer.last_seen, 3) if peer else None,
            version=self._routes.version,
            confirmed_s=self._confirmation_age_s(now),
            **self._selection.log_fields(service, peer),
        )
        terms = self._readable_terms(segment, service, candidates)
        self._send(Purpose.OPEN, service, tuple(candidates), packet, terms=terms)

    def _refuse_without_target(
        self, key: bytes, service: bytes, segment: Segment, location: FlowLocation
    ) -> None:
        """Refuse a new flow, with a reset if it is certain that it has no target.

        That is so if all its targets are known as evacuated, or if there have been none
        for some seconds.
        """
        now = self._monotonic()
        knows_members = now - self._started_at > MEMBER_DISCOVERY_S
        if not knows_members or not only_evacuated(
            self._peers.sidecars.values(), service, self._evacuations.zones, now
        ):
            lacking_s = self._selection.lacking_s(service)
            if lacking_s is None:
                self._refuse(key, "no-target")
            else:
                self._refuse(key, "no-target", lacking_s=round(lacking_s, 3))
                self._reset(segment)
            return
        self._refuse(key, "evacuated", **self._evacuations.log_fields(now))
        # A target may have accepted an earlier copy before the evacuation.
        is_first = segment.acknowledgment == 0 and not location.tried
        if is_first or now - self._evacuations.changed_at > ATTEMPT_RETENTION_S:
            self._reset(segment)

    def _reset(self, segment: Segment) -> None:
        self._telemetry.count("openings_reset")
        reset = self._codec.build_reset(segment)
        self._output.send_to_caller(segment.source, reset)

    def _is_shed(self, key: bytes, segment: Segment, now: float) -> bool:
        """Whether to refuse a new flow because the link is full.

        Copies are not refused: a target may have accepted the first SYN, and the reset
        would end a flow that is open.
        """
        address = (segment.destination, segment.destination_port)
        if segment.acknowledgment or not self._routes.is_bulk(*address):
            return False
        route = self._routes.route(*address)
        priority = route.priority if route and self._routes.admission else None
        return self._flows.get(key) is None and self._shedding.refuses(
            address, self._link.utilization(now), now, priority
        )

    def _candidates_for_syn(
        self, key: bytes, service: bytes, location: FlowLocation, segment: Segment
    ) -> list[bytes]:
        """Return the sidecars to offer a flow to, in order.

        A retransmitted SYN goes to the sidecar that accepted the flow. If it waits at
        one, a copy goes there, and from there to those with a free slot. Otherwise, the
        sidecars that were not tried for earlier copies come first. A duplicate of the
        first SYN is offered to all of them: it may be rejected with a reset, and passes
        a sidecar that has accepted the flow before that.
        """
        evacuated = self._evacuations.zones
        is_copy = segment.acknowledgment > 0
        route = self._routes.route(segment.destination, segment.destination_port)
        # A request that fails on trial must be one that its caller may repeat.
        for_trial = route is not None and route.repeatable and not is_copy
        peers = self._selection.candidates(key, service, evacuated, for_trial=for_trial)
        untried = [peer.ip for peer in peers if peer.ip not in location.tried]
        tried = [peer.ip for peer in peers if peer.ip in location.tried]
        held = [ip for ip in location.holders if self._peers.is_reachable(ip)]
        if is_copy and not held and location.waiting_at in untried + tried:
            free = [peer.ip for peer in peers if peer.has_free_slot()]
            others = [ip for ip in free if ip != location.waiting_at]
            return [location.waiting_at, *others]
        if any(self._peers.sidecars[ip].status.zone in evacuated for ip in held):
            # Their sidecars refuse a SYN that is no copy, as callers use ports again.
            return held + [ip for ip in untried + tried if ip not in held]
        return held or untried + tried

    def _readable_terms(
        self, segment: Segment, service: bytes, candidates: list[bytes]
    ) -> OpeningTerms | None:
        """Return the terms of an opening if all candidates read them."""
        terms = self._routes.terms_for_new_flow(
            segment.destination, segment.destination_port, service
        )
        if terms is None or len(candidates) > MAX_TERMS_CANDIDATES:
            return None
        peers = map(self._peers.sidecars.get, candidates)
        if all(peer is not None and peer.status.reads_terms for peer in peers):
            return terms
        return None

    def _forward(self, segment: Segment, packet: bytes) -> None:
        key = segment.flow_key_from_caller()
        now = self._monotonic()
        location = self._flows.get(key)
        if location is not None:
            location.last_used = now
            holder = location.holder_for(segment)
            if holder is not None and not self._peers.has_left(holder):
                self._telemetry.count("packets_direct")
                self._send(Purpose.DIRECT, UNKNOWN_SERVICE, (holder,), packet)
                return
            if now < location.absent_until and not segment.length:
                # The caller has been sent a reset; copies of its FIN and
                # acknowledgments need no further search.
                self._discard(key, "held-by-no-target")
                return
        services = self._routes.services_of_open_flow(
            segment.destination, segment.destination_port, now
        )
        # Before the first configuration, any address may be a route.
        is_configured = self._routes.version > 0
        if is_configured and not services:
            self._discard(key, "no-route")
            return
        candidates = self._peers.candidates_for_search(key, services, MAX_CANDIDATES)
        if not candidates:
            self._discard(key, "no-target")
            return
        self._telemetry.count("packets_searched")
        complete = is_configured and self._peers.search_is_complete(len(candidates))
        self._telemetry.flow_event(
            "flow-searched", key, candidates=len(candidates), complete=complete
        )
        self._search(packet, tuple(candidates), complete=complete)

    def _search(
        self, packet: bytes, candidates: tuple[bytes, ...], *, complete: bool
    ) -> None:
        """Send a packet on a search, and its header if not all candidates fit."""
        count = max_candidates_for(len(packet))
        fits = len(candidates) <= count
        self._send(
            Purpose.SEARCH,
            UNKNOWN_SERVICE,
            candidates[:count],
            packet,
            complete=complete and fits,
        )
        if not fits:
            self._send(
                Purpose.INQUIRY,
                UNKNOWN_SERVICE,
                candidates,
                self._codec.header(packet),
                complete=complete,
            )

    def _send(
        self,
        purpose: Purpose,
        service: bytes,
        candidates: tuple[bytes, ...],
        packet: bytes,
        *,
        complete: bool = False,
        terms: OpeningTerms | None = None,
    ) -> None:
        envelope = Envelope(
            purpose,
            0,
            self._local_ip,
            service,
            candidates,
            packet,
            complete=complete,
            terms=terms,
        )
        datagram = envelope.encode()
        self._link.record_sent(len(datagram), self._monotonic())
        self._output.send_to_sidecar(envelope.receiver, datagram)

    def _discard(self, key: bytes, reason: str) -> None:
        self._telemetry.count("packets_discarded")
        self._telemetry.flow_event(
            "packet-discarded", key, reason=reason, version=self._routes.version
        )

    def _refuse(self, key: bytes, reason: str, **data: object) -> None:
        self._telemetry.count("openings_refused")
        self._telemetry.flow_event(
            "flow-refused",
            key,
            reason=reason,
            version=self._routes.version,
            confirmed_s=self._confirmation_age_s(self._monotonic()),
            **data,
        )

    def _confirmation_age_s(self, now: float) -> float:
        return round(self._routes.confirmation_age_s(now), 3)
