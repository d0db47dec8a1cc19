"""The manifest in force: reading it from the store and distributing it to all members.

A process adopts only a higher generation, and validates it again. Readers hold a
watch on the store; the others learn of a new generation by gossip and get the changed
services from the datagram or from the member that announced it.
"""

import asyncio
from contextlib import suppress
from hashlib import blake2b
from math import ceil
from random import Random

from loguru import logger
from pydantic import ValidationError
from reactivex import Observable
from reactivex.subject import ReplaySubject

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock
from cranberryhold.deltas import (
    apply_delta,
    build_delta,
    decode_delta,
    encode_delta,
    manifest_digest,
    service_digests,
)
from cranberryhold.exceptions import ManifestError, PeerError, StoreError
from cranberryhold.keys import KeyRing
from cranberryhold.links import Link, RpcClient, UdpLink
from cranberryhold.manifest import MANIFEST_KEY, AcceptedManifest
from cranberryhold.members import Member, MemberChange, MemberTable, Role
from cranberryhold.membership import Membership
from cranberryhold.messages import (
    Announcement,
    Heartbeat,
    ManifestDelta,
    ManifestRequest,
    Status,
    StatusRequest,
    decode_datagram,
    encode,
)
from cranberryhold.pacing import Backoff
from cranberryhold.store import Store

READERS_PER_ZONE = 2
"""Two, so that one may fail without effect; with 8 zones the store has 16 open
watches."""

WATCH_TIMEOUT_S = 55.0
WATCH_GRACE_S = 10.0
"""Time beyond the timeout after which an unanswered watch counts as failed."""

MIN_WATCH_INTERVAL_S = 0.2
"""Shortest time between two watches, for a store that answers at once."""

MIN_IDLE_WATCH_INTERVAL_S = 1.0
"""The same after an answer without a change, such as that for a missing key."""

BACKOFF_S = (0.5, 5.0)

MAX_INLINE_DELTA_BYTES = 900
ANNOUNCE_FANOUT = 4
PULL_TIMEOUT_S = 3.0
PULL_ATTEMPTS = 5
PULL_RETRY_DELAY_S = 0.2
MAX_SOURCES = 4


class ManifestState:
    """The generation in force at this process; it never decreases.

    >>> state = ManifestState(clock)    # doctest: +SKIP
    >>> state.accepted.subscribe(print)    # doctest: +SKIP
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: AcceptedManifest | None = None
        self._digest = b""
        self._service_digests: dict[str, bytes] = {}
        self._accepted: ReplaySubject[AcceptedManifest] = ReplaySubject(1)
        self._store_contact_at: float | None = None
        self.store_is_behind = False
        self.alarms = 0
        self.refused = 0

    @property
    def current(self) -> AcceptedManifest | None:
        """The manifest in force, or None."""
        return self._current

    @property
    def accepted(self) -> Observable[AcceptedManifest]:
        """Stream of adopted manifests; starts with the one in force."""
        return self._accepted

    @property
    def generation(self) -> int:
        """Generation in force, 0 for none."""
        return self._current.generation if self._current else 0

    @property
    def digest(self) -> bytes:
        """Digest of the manifest in force, empty for none."""
        return self._digest

    @property
    def service_digests(self) -> dict[str, bytes]:
        """Digest of each service in force."""
        return self._service_digests

    @property
    def store_age_s(self) -> float | None:
        """Seconds since the store was last known to answer, or None."""
        if self._store_contact_at is None:
            return None
        return self._clock.monotonic() - self._store_contact_at

    def adopt(self, accepted: AcceptedManifest) -> bool:
        """Put a manifest in force if its generation is higher than the present one.

        :raises ManifestError: if it is not valid.
        """
        if accepted.generation <= self.generation:
            return False
        try:
            accepted = AcceptedManifest.model_validate(accepted.model_dump())
        except ValidationError as error:
            self.refused += 1
            raise ManifestError(
                f"generation {accepted.generation} is not valid: {error}",
                step="adopt manifest",
            ) from error
        self._current = accepted
        self._digest = manifest_digest(accepted)
        self._service_digests = service_digests(accepted)
        logger.info(
            "event=manifest-adopted generation={} submission={}",
            accepted.generation,
            accepted.submission_id,
        )
        self._accepted.on_next(accepted)
        return True

    def adopt_from_store(self, accepted: AcceptedManifest) -> bool:
        """Adopt the manifest of the store; raise an alarm if the store has gone back.

        The store has gone back if its generation is lower than the one in force, or
        equal with another content. The manifest in force then stays.
        """
        behind = accepted.generation < self.generation or (
            accepted.generation == self.generation
            and manifest_digest(accepted) != self._digest
        )
        self.store_is_behind = behind
        if not behind:
            return self.adopt(accepted)
        self.alarms += 1
        logger.error(
            "event=store-went-back store_generation={} generation={} remedy={!r}",
            accepted.generation,
            self.generation,
            "restore the store's value, or apply until its generation is higher",
        )
        return False

    def record_store_contact(self, age_s: float = 0.0) -> None:
        """Record that the store answered this many seconds ago."""
        at = self._clock.monotonic() - age_s
        if self._store_contact_at is None or at > self._store_contact_at:
            self._store_contact_at = at

    def state(self) -> dict[str, object]:
        """Return the state for the dump."""
        age = self.store_age_s
        return {
            "generation": self.generation,
            "digest": self._digest.hex(),
            "services": sorted(self._service_digests),
            "store_age_s": None if age is None else round(age, 1),
            "store_is_behind": self.store_is_behind,
            "store_alarms": self.alarms,
            "refused": self.refused,
        }


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


class ManifestReader:
    """Watches the store while this entry instance is one of its zone's readers.

    Readers are the live entry instances of a zone that rank first by rendezvous
    hashing. Different views of the membership may elect more of them; the additional
    watches do no harm.
    """

    def __init__(
        self,
        state: ManifestState,
        store: Store,
        local_member: Member,
        table: MemberTable,
        *,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._state = state
        self._store = store
        self._local_member = local_member
        self._table = table
        self._clock = clock
        self._rng = rng
        self._zone_changed = asyncio.Event()
        self._revision = 0
        self.watches = 0
        self.failures = 0
        table.changes.subscribe(self._on_change)

    @property
    def elected(self) -> bool:
        """Whether this process is one of its zone's readers."""
        if self._local_member.role is not Role.ENTRY:
            return False
        candidates = [
            m.node_id
            for m in self._table.entry_instances()
            if m.zone == self._local_member.zone
        ]
        return (
            self._local_member.node_id
            in sorted(candidates, key=_rendezvous_score)[:READERS_PER_ZONE]
        )

    async def run(self) -> None:
        """Watch the store while elected."""
        backoff = Backoff(*BACKOFF_S, self._rng)
        while True:
            if not self.elected:
                self._zone_changed.clear()
                await self._zone_changed.wait()
                continue
            started = self._clock.monotonic()
            try:
                delay = await self._watch()
                backoff.reset()
            except (StoreError, TimeoutError) as error:
                self.failures += 1
                delay = backoff.next_delay_s()
                logger.warning(
                    "event=store-watch-failed retry_in_s={:.1f} error={!r}",
                    delay,
                    str(error),
                )
                started = self._clock.monotonic()
            elapsed = self._clock.monotonic() - started
            await self._clock.sleep(max(0.0, delay - elapsed))

    async def _watch(self) -> float:
        """Run one watch; return the shortest time from its start to the next one."""
        self.watches += 1
        async with asyncio.timeout(WATCH_TIMEOUT_S + WATCH_GRACE_S):
            found = await self._store.watch(
                MANIFEST_KEY, self._revision, WATCH_TIMEOUT_S
            )
        self._state.record_store_contact()
        if found is None or found.revision == self._revision:
            return MIN_IDLE_WATCH_INTERVAL_S
        self._revision = found.revision
        self._adopt(found.value)
        return MIN_WATCH_INTERVAL_S

    def _adopt(self, value: bytes) -> None:
        try:
            accepted = AcceptedManifest.model_validate_json(value)
            self._state.adopt_from_store(accepted)
        except (ValidationError, ManifestError) as error:
            self._state.refused += 1
            logger.error("event=manifest-refused source=store error={!r}", str(error))

    def _on_change(self, change: MemberChange) -> None:
        member = change.after
        if member.role is Role.ENTRY and member.zone == self._local_member.zone:
            self._zone_changed.set()


async def query_status(
    link_or_keys: Link | KeyRing, addresses: list[Address], timeout_s: float
) -> dict[Address, Status | None]:
    """Ask members directly which generation they have in force.

    :param link_or_keys: a link to use, or the key ring for a temporary UDP link.
    :return: the answer by address, None for members that did not answer in time.
    """
    if not isinstance(link_or_keys, KeyRing):
        return await _query(link_or_keys, addresses, timeout_s)
    link = await UdpLink.open(Address("0.0.0.0", 0), link_or_keys)
    try:
        return await _query(link, addresses, timeout_s)
    finally:
        await link.close()


async def _query(
    link: Link, addresses: list[Address], timeout_s: float
) -> dict[Address, Status | None]:
    answers: dict[Address, Status | None] = dict.fromkeys(addresses)
    for tries_left in (2, 1):
        missing = [a for a in addresses if answers[a] is None]
        for address in missing:
            link.send(encode(StatusRequest(addresses.index(address))), address)
        try:
            async with asyncio.timeout(timeout_s / 2):
                while any(answer is None for answer in answers.values()):
                    data, _ = await link.receive()
                    message = decode_datagram(data)
                    if isinstance(message, Status) and (
                        message.request_id < len(addresses)
                    ):
                        answers[addresses[message.request_id]] = message
        except (TimeoutError, PeerError):
            if tries_left == 1:
                break
    return answers


def _rendezvous_score(node_id: str) -> bytes:
    return blake2b(node_id.encode(), digest_size=8).digest()
