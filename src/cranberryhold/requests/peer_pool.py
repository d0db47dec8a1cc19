"""Sharing of slots among the targets of one service.

A target whose slots are all taken picks two peers at random and requests a slot
from the less loaded one, judged by the last load that each peer reported directly.
No process keeps a table of the whole service's load.
"""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from random import Random
from typing import Protocol

from cranberryhold.clock import Clock
from cranberryhold.datapath.connection_ids import TargetRef
from cranberryhold.exceptions import PeerError
from cranberryhold.membership.members import Member, MemberState
from cranberryhold.requests.admission import Load
from cranberryhold.requests.exchange import Request, Response

SLOT_REQUEST_TIMEOUT_S = 0.1
# Assumed for a peer without a recent report.
_DEFAULT_UTILIZATION = 0.5
_REPORT_LIFETIME_S = 1.0
# A peer that reported no free slot is not asked again before this has passed.
_MIN_BACKOFF_S = 0.02
# Uploads may wait for minutes; requests at a constant rate would cost more than the
# few slots that they find.
_MAX_BACKOFF_S = 0.64


@dataclass(frozen=True, slots=True)
class SlotReply:
    """A peer's reply to a request for a slot; offer id 0 means that it has none."""

    offer_id: int
    load: Load


class PeerClient(Protocol):
    """Sends slot requests and forwarded requests to the other targets of a service."""

    async def request_slot(self, peer: Member, request_class: str) -> SlotReply:
        """Request a slot from a peer.

        :raises PeerError: if it does not reply.
        """

    def withdraw(self, peer: Member, offer_id: int) -> None:
        """Tell a peer that its offer will not be used."""

    def forward_request(
        self, peer: Member, request: Request, offer_id: int
    ) -> AbstractAsyncContextManager[Response]:
        """Forward a request to a peer, which runs it.

        :raises PeerError: if nothing of the request was sent.
        :raises OutcomeUnknownError: if the connection was lost after that.
        """


@dataclass(frozen=True, slots=True)
class Offer:
    """A slot that a peer reserves for 200 ms."""

    peer: Member
    offer_id: int


@dataclass(slots=True)
class _LoadReport:
    load: Load
    received_at: float


class PeerPool:
    """The peers of one target, to which it may forward requests.

    :param peers: returns the sidecars of the service, including this target.
    :param node_id: node id of this target.
    :param zone: zone of this target; peers in it are preferred.
    :param client: sends requests to the peers.
    """

    def __init__(
        self,
        peers: Callable[[], Sequence[Member]],
        node_id: str,
        zone: str,
        client: PeerClient,
        clock: Clock,
        random: Random,
    ) -> None:
        self._peers = peers
        self._node_id = node_id
        self._zone = zone
        self._client = client
        self._clock = clock
        self._random = random
        self._reports: dict[str, _LoadReport] = {}
        self._slots_requested = 0
        self._slots_offered = 0
        self._requests_forwarded = 0

    def state(self) -> dict[str, object]:
        """Return what a state dump shows."""
        return {
            "asked": self._slots_requested,
            "offered": self._slots_offered,
            "passed": self._requests_forwarded,
            "busy": {n: round(r.load.utilization, 2) for n, r in self._reports.items()},
        }

    def record_load(self, node_id: str, load: Load) -> None:
        """Store the load that a peer reported."""
        self._reports[node_id] = _LoadReport(load, self._clock.monotonic())

    def find_target(self, target: TargetRef) -> Member | None:
        """Return the peer that a target reference names, or None if it is gone."""
        return next(
            (
                m
                for m in self._peers()
                if m.forward_address == target.address
                and m.incarnation == target.incarnation
                and m.state is not MemberState.DOWN
                and m.node_id != self._node_id
            ),
            None,
        )

    async def find_slot(self, request_class: str) -> Offer | None:
        """Request a slot from a peer in the own zone, then from any peer, once each."""
        same_zone = [m for m in self._candidates() if m.zone == self._zone]
        offer = await self._request_from_one_of(same_zone, request_class)
        return offer or await self._request_from_one_of(
            self._candidates(), request_class
        )

    async def wait_for_slot(self, request_class: str) -> Offer:
        """Request slots, with backoff, until a peer offers one."""
        backoff = _MIN_BACKOFF_S
        while (offer := await self.find_slot(request_class)) is None:
            await self._clock.sleep(backoff * self._random.uniform(0.5, 1.0))
            backoff = min(2 * backoff, _MAX_BACKOFF_S)
        return offer

    def withdraw(self, offer: Offer) -> None:
        """Give back an offer that is not needed."""
        self._client.withdraw(offer.peer, offer.offer_id)

    def least_loaded(self) -> Member | None:
        """Return the less loaded of two random peers, or None if there are none."""
        return self._choose(self._accepting_peers())

    def forward_request(
        self, peer: Member, request: Request, offer_id: int = 0
    ) -> AbstractAsyncContextManager[Response]:
        """Forward a request to a peer; see :class:`PeerClient`."""
        self._requests_forwarded += 1
        return self._client.forward_request(peer, request, offer_id)

    def _accepting_peers(self) -> list[Member]:
        return [
            m
            for m in self._peers()
            if m.node_id != self._node_id
            and m.state is MemberState.ALIVE
            and m.weight > 0
        ]

    def _candidates(self) -> list[Member]:
        now = self._clock.monotonic()
        return [m for m in self._accepting_peers() if not self._was_full(m, now)]

    def _was_full(self, peer: Member, now: float) -> bool:
        report = self._reports.get(peer.node_id)
        return (
            report is not None
            and report.load.utilization >= 1
            and now - report.received_at < _MIN_BACKOFF_S
        )

    def _choose(self, peers: list[Member]) -> Member | None:
        pair = self._random.sample(peers, min(2, len(peers)))
        return min(pair, key=self._utilization, default=None)

    def _utilization(self, peer: Member) -> float:
        report = self._reports.get(peer.node_id)
        if (
            report is None
            or self._clock.monotonic() - report.received_at > _REPORT_LIFETIME_S
        ):
            return _DEFAULT_UTILIZATION
        return report.load.utilization

    async def _request_from_one_of(
        self, peers: list[Member], request_class: str
    ) -> Offer | None:
        peer = self._choose(peers)
        if peer is None:
            return None
        self._slots_requested += 1
        try:
            async with asyncio.timeout(SLOT_REQUEST_TIMEOUT_S):
                reply = await self._client.request_slot(peer, request_class)
        except (PeerError, TimeoutError):
            self.record_load(peer.node_id, Load(1, 0, 1))
            return None
        self.record_load(peer.node_id, reply.load)
        if not reply.offer_id:
            return None
        self._slots_offered += 1
        return Offer(peer, reply.offer_id)
