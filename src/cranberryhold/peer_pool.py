"""The pool of all slots of one service: offers among its targets.

A target whose slots are all taken asks the less busy of two peers, judged by
what it last heard from them directly. No table of the whole service's load is
kept anywhere.
"""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from random import Random
from typing import Protocol

from cranberryhold.admission import Load
from cranberryhold.clock import Clock
from cranberryhold.connection_ids import TargetRef
from cranberryhold.exceptions import PeerError
from cranberryhold.exchange import Request, Response
from cranberryhold.members import Member, MemberState

SLOT_REQUEST_TIMEOUT_S = 0.1
_UNHEARD_BUSY = 0.5
_HEARD_LIFE_S = 1.0
# A peer that has just declined is not asked again before this has passed.
_DECLINED_PAUSE_S = 0.02
# Uploads may wait for minutes: asking at a steady pace would cost more than it finds.
_MAX_PAUSE_S = 0.64


@dataclass(frozen=True, slots=True)
class SlotReply:
    """A peer's answer to an ask; offer 0 declines."""

    offer_id: int
    load: Load


class PeerClient(Protocol):
    """Carries asks and requests to the other targets of a service."""

    async def request_slot(self, peer: Member, request_class: str) -> SlotReply:
        """Ask a peer for a slot.

        :raises PeerError: if it does not answer.
        """

    def withdraw(self, peer: Member, offer_id: int) -> None:
        """Tell a peer that its offer will not be used."""

    def forward_request(
        self, peer: Member, request: Request, offer_id: int
    ) -> AbstractAsyncContextManager[Response]:
        """Have a peer run a request.

        :raises PeerError: if nothing of the request was sent.
        :raises OutcomeUnknownError: if the peer was lost after that.
        """


@dataclass(frozen=True, slots=True)
class Offer:
    """A slot that a peer keeps free for 200 ms."""

    peer: Member
    offer_id: int


@dataclass(slots=True)
class _Heard:
    load: Load
    at: float


class PeerPool:
    """The peers of one target.

    :param peers: returns the sidecars of the service, this target among them.
    :param node_id: this target.
    :param zone: zone of this target, whose peers are asked first.
    :param link: reaches the peers.
    """

    def __init__(
        self,
        peers: Callable[[], Sequence[Member]],
        node_id: str,
        zone: str,
        link: PeerClient,
        clock: Clock,
        random: Random,
    ) -> None:
        self._peers = peers
        self._node_id = node_id
        self._zone = zone
        self._link = link
        self._clock = clock
        self._random = random
        self._heard: dict[str, _Heard] = {}
        self._asked = 0
        self._offered = 0
        self._passed = 0

    def state(self) -> dict[str, object]:
        """Return what a state dump shows."""
        return {
            "asked": self._asked,
            "offered": self._offered,
            "passed": self._passed,
            "busy": {n: round(h.load.utilization, 2) for n, h in self._heard.items()},
        }

    def record_load(self, node_id: str, load: Load) -> None:
        """Remember what a peer said of itself."""
        self._heard[node_id] = _Heard(load, self._clock.monotonic())

    def find_target(self, target: TargetRef) -> Member | None:
        """Return the peer that a key names, or None if it is gone."""
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
        """Ask two rounds of peers, the own zone's first; return an offer or None."""
        near = [m for m in self._candidates() if m.zone == self._zone]
        offer = await self._ask_one(near, request_class)
        return offer or await self._ask_one(self._candidates(), request_class)

    async def wait_for_slot(self, request_class: str) -> Offer:
        """Ask until a peer offers a slot."""
        pause = _DECLINED_PAUSE_S
        while (offer := await self.find_slot(request_class)) is None:
            await self._clock.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(2 * pause, _MAX_PAUSE_S)
        return offer

    def withdraw(self, offer: Offer) -> None:
        """Give back an offer that is not needed."""
        self._link.withdraw(offer.peer, offer.offer_id)

    def least_loaded(self) -> Member | None:
        """Return the less busy of two random peers, or None if there are none."""
        return self._choose(self._usable())

    def forward_request(
        self, peer: Member, request: Request, offer_id: int = 0
    ) -> AbstractAsyncContextManager[Response]:
        """Have a peer run a request; see :class:`PeerClient`."""
        self._passed += 1
        return self._link.forward_request(peer, request, offer_id)

    def _usable(self) -> list[Member]:
        return [
            m
            for m in self._peers()
            if m.node_id != self._node_id
            and m.state is MemberState.ALIVE
            and m.weight > 0
        ]

    def _candidates(self) -> list[Member]:
        now = self._clock.monotonic()
        return [m for m in self._usable() if not self._has_declined(m, now)]

    def _has_declined(self, peer: Member, now: float) -> bool:
        heard = self._heard.get(peer.node_id)
        return (
            heard is not None
            and heard.load.utilization >= 1
            and now - heard.at < _DECLINED_PAUSE_S
        )

    def _choose(self, peers: list[Member]) -> Member | None:
        pair = self._random.sample(peers, min(2, len(peers)))
        return min(pair, key=self._busy, default=None)

    def _busy(self, peer: Member) -> float:
        heard = self._heard.get(peer.node_id)
        if heard is None or self._clock.monotonic() - heard.at > _HEARD_LIFE_S:
            return _UNHEARD_BUSY
        return heard.load.utilization

    async def _ask_one(self, peers: list[Member], request_class: str) -> Offer | None:
        peer = self._choose(peers)
        if peer is None:
            return None
        self._asked += 1
        try:
            async with asyncio.timeout(SLOT_REQUEST_TIMEOUT_S):
                answer = await self._link.request_slot(peer, request_class)
        except (PeerError, TimeoutError):
            self.record_load(peer.node_id, Load(1, 0, 1))
            return None
        self.record_load(peer.node_id, answer.load)
        if not answer.offer_id:
            return None
        self._offered += 1
        return Offer(peer, answer.offer_id)
