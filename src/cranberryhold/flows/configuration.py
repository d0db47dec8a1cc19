"""Keeps an entry instance at the newest version of the operator's configuration."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from cranberryhold.addresses import Address
from cranberryhold.exceptions import CranberryholdError, PeerError, StoreError
from cranberryhold.flows.http_client import http_client
from cranberryhold.flows.leased_store import (
    LeasedStore,
    StoredItem,
    StoreHistoryLostError,
)
from cranberryhold.flows.route_table import Configuration, RouteTable, changed_routes
from cranberryhold.flows.telemetry import Telemetry

# A watch that has gone silent is noticed soon enough to have a change in force
# within the operator's bound of some seconds.
WATCH_WAIT_S = 5.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.5
PEER_TIMEOUT_S = 2.0
MAX_DOCUMENT_BYTES = 1 << 20
PEER_PATH = "/configuration"


class Backoff:
    """Pauses between attempts that double, with jitter.

    :param random: source of the jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._next_s = FIRST_PAUSE_S

    def reset(self) -> None:
        """Begin anew after a success."""
        self._next_s = FIRST_PAUSE_S

    async def pause(self) -> None:
        """Wait before the next attempt."""
        seconds = self._next_s * self._random.uniform(0.5, 1.5)
        self._next_s = min(LONGEST_PAUSE_S, self._next_s * 2)
        await asyncio.sleep(seconds)


class ConfigurationSource(Protocol):
    """Which key holds the configuration, and how to read it."""

    @property
    def key(self) -> str:
        """Key of the newest configuration in the store."""

    def decode(self, document: bytes) -> Configuration:
        """Return the configuration.

        :raises CranberryholdError: if the document is malformed.
        """


class ConfigurationFollower:
    """Adopts newer versions from the store, and from peers that know them first.

    :param source: where the configuration is and how to read it.
    :param store: the store.
    :param routes: where versions are put into effect.
    :param telemetry: log and counters.
    :param random: source of jitter.
    :param monotonic: clock in seconds.
    :param on_change: called after a version was adopted.
    """

    def __init__(
        self,
        source: ConfigurationSource,
        store: LeasedStore,
        routes: RouteTable,
        telemetry: Telemetry,
        *,
        random: Random,
        monotonic: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._source = source
        self._store = store
        self._routes = routes
        self._telemetry = telemetry
        self._random = random
        self._monotonic = monotonic
        self._on_change = on_change
        self._fetching = False

    async def run(self) -> None:
        """Follow the store, until cancelled."""
        backoff = Backoff(self._random)
        revision: int | None = None
        while True:
            try:
                revision = await self._step(revision)
            except StoreHistoryLostError:
                self._telemetry.flow_event(
                    "configuration-watch-lost", revision=revision
                )
                revision = None
                await backoff.pause()
            except StoreError as error:
                self._telemetry.flow_event("configuration-unread", error=error)
                await backoff.pause()
            else:
                backoff.reset()

    async def _step(self, revision: int | None) -> int:
        if revision is None:
            reading = await self._store.get(self._source.key)
        else:
            reading = await self._store.wait_for_change(
                self._source.key, revision, WATCH_WAIT_S
            )
        if reading.item is not None:
            self._adopt_item(reading.item)
        return reading.store_revision

    def _adopt_item(self, item: StoredItem) -> None:
        self.adopt(item.value, source="store", revision=item.revision)

    def adopt(self, document: bytes, **origin: object) -> None:
        """Put a document into effect if it is a newer version."""
        before = self._routes.configuration
        try:
            configuration = self._source.decode(document)
        except CranberryholdError as error:
            self._telemetry.count("configurations_malformed")
            self._telemetry.event(
                "configuration-malformed", level="ERROR", error=error, **origin
            )
            return
        if not self._routes.adopt(configuration, self._monotonic()):
            return
        added, removed = changed_routes(
            before.routes if before else (), configuration.routes
        )
        self._telemetry.count("configurations_adopted")
        self._telemetry.event(
            "configuration-adopted",
            version=configuration.version,
            previous=before.version if before else None,
            routes=len(configuration.routes),
            added=len(added),
            removed=",".join(removed[:10]),
            **origin,
        )
        self._on_change()

    async def fetch_from(self, peer: Address, version: int) -> None:
        """Ask a peer for its configuration if it names a newer version."""
        if version <= self._routes.version or self._fetching:
            return
        self._fetching = True
        try:
            async with http_client(peer, MAX_DOCUMENT_BYTES) as client:
                status, body = await client.call("GET", PEER_PATH, b"", PEER_TIMEOUT_S)
            if status == 200:
                self.adopt(body, source=str(peer))
        except PeerError as error:
            self._telemetry.flow_event(
                "configuration-not-fetched", peer=str(peer), error=error
            )
        finally:
            self._fetching = False
