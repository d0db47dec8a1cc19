"""Distribution of new generations of the manifest between members."""

import asyncio
from contextlib import suppress
from math import ceil

from loguru import logger

from cranberryhold.addresses import Address
from cranberryhold.distribution.state import ManifestState
from cranberryhold.exceptions import ManifestError, PeerError
from cranberryhold.manifest.deltas import (
    apply_delta,
    build_delta,
    decode_delta,
    encode_delta,
    manifest_digest,
    service_digests,
)
from cranberryhold.manifest.models import AcceptedManifest
from cranberryhold.membership.links import RpcClient
from cranberryhold.membership.membership import Membership
from cranberryhold.membership.messages import (
    Announcement,
    Heartbeat,
    ManifestDelta,
    ManifestRequest,
    Status,
    StatusRequest,
    encode,
)

MAX_INLINE_DELTA_BYTES = 900
ANNOUNCE_FANOUT = 4
PULL_TIMEOUT_S = 3.0
PULL_ATTEMPTS = 5
PULL_RETRY_DELAY_S = 0.2
MAX_SOURCES = 4


class ManifestDistributor:
    """Announces new generations to other members and pulls them from others.

    A member forwards an announcement only after it has adopted the generation, with
    itself as the source; this distributes the pulls over all members. Heartbeats
    carry the generation too, so that a member that missed every announcement pulls
    after its next probe.
    """

    def __init__(
        self, state: ManifestState, membership: Membership, rpc_client: RpcClient
    ) -> None:
        self._state = state
        self._membership = membership
        self._rpc_client = rpc_client
        self._newest_generation = 0
        self._sources: list[Address] = []
        self._source_added = asyncio.Event()
        self._last_announcement: Announcement | None = None
        self._previous_manifest: AcceptedManifest | None = None
        self.pulls = 0
        self.failed_pulls = 0
        membership.register_handler(Announcement, self._on_announcement)
        membership.register_handler(StatusRequest, self._on_status_request)
        membership.heartbeat = self._heartbeat
        membership.on_heartbeat = self._on_heartbeat
        state.accepted.subscribe(self._announce)

    async def run(self) -> None:
        """Pull each announced generation that is not in force yet."""
        while True:
            await self._source_added.wait()
            self._source_added.clear()
            failures = 0
            while (
                self._state.generation < self._newest_generation
                and failures < PULL_ATTEMPTS
            ):
                if not await self._pull():
                    failures += 1
                    await self._wait_before_retry(failures)

    async def handle_manifest_request(self, request: ManifestRequest) -> ManifestDelta:
        """Return the manifest in force as a delta from the sender's services."""
        current = self._state.current
        if current is None:
            return ManifestDelta(generation=0)
        delta = build_delta(current, request.digests, self._state.service_digests)
        self._membership.budget.spend(len(encode(delta)))
        return delta

    async def _pull(self) -> bool:
        source = self._next_source()
        if source is None:
            return False
        request = ManifestRequest(
            generation=self._state.generation, digests=self._state.service_digests
        )
        self.pulls += 1
        try:
            delta = await self._rpc_client.call(source, request, PULL_TIMEOUT_S)
            if isinstance(delta, ManifestDelta) and (
                delta.generation > self._state.generation
            ):
                return self._state.adopt(apply_delta(self._state.current, delta))
        except (PeerError, ManifestError) as error:
            logger.warning("event=manifest-pull-failed peer={} {}", source, error)
        self.failed_pulls += 1
        return False

    def _next_source(self) -> Address | None:
        if self._sources:
            return self._sources.pop()
        membership = self._membership
        others = membership.live_peers.pick(membership.rng, 1)
        return others[0].control_address if others else None

    async def _wait_before_retry(self, failures: int) -> None:
        """Wait longer after each failure, but end once there is another source."""
        delay = PULL_RETRY_DELAY_S * 2**failures * self._membership.rng.random()
        with suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await self._source_added.wait()
        self._source_added.clear()

    def _add_source(self, generation: int, source: Address) -> None:
        if generation <= self._state.generation:
            return
        if generation > self._newest_generation:
            self._newest_generation = generation
            self._sources.clear()
        if len(self._sources) < MAX_SOURCES:
            self._sources.append(source)
        self._source_added.set()

    def _on_announcement(self, message: Announcement, sender: Address) -> None:
        if message.generation <= self._state.generation:
            return
        self._last_announcement = message
        if message.delta:
            try:
                delta = decode_delta(message.delta)
                accepted = apply_delta(self._state.current, delta)
                if manifest_digest(accepted) == message.digest:
                    self._state.adopt(accepted)
                    return
            except (PeerError, ManifestError) as error:
                logger.warning("event=delta-refused peer={} {}", sender, error)
        self._add_source(message.generation, sender)

    def _announce(self, accepted: AcceptedManifest) -> None:
        message = self._last_announcement
        if message is None or message.digest != self._state.digest:
            message = self._build_announcement(accepted)
        self._last_announcement, self._previous_manifest = message, accepted
        membership = self._membership
        for member in membership.live_peers.pick(membership.rng, ANNOUNCE_FANOUT):
            membership.send(message, member.control_address)

    def _build_announcement(self, accepted: AcceptedManifest) -> Announcement:
        base = (
            service_digests(self._previous_manifest) if self._previous_manifest else {}
        )
        delta = encode_delta(build_delta(accepted, base, self._state.service_digests))
        if len(delta) > MAX_INLINE_DELTA_BYTES:
            delta = b""
        return Announcement(accepted.generation, self._state.digest, delta)

    def _heartbeat(self) -> Heartbeat:
        # Rounded up: members pass the age on, and rounding down would reduce it at
        # each of them.
        age = self._state.store_age_s
        return Heartbeat(self._state.generation, -1 if age is None else ceil(age))

    def _on_heartbeat(self, sender: Address, heartbeat: Heartbeat) -> None:
        if heartbeat.store_age_s >= 0:
            self._state.record_store_contact(heartbeat.store_age_s)
        self._add_source(heartbeat.generation, sender)

    def _on_status_request(self, message: StatusRequest, sender: Address) -> None:
        local_member = self._membership.local_member
        status = Status(message.request_id, local_member.node_id, self._heartbeat())
        self._membership.send(status, sender)
