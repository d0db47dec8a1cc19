"""Keeps an entry instance at the newest version of the operator's configuration."""

import asyncio
from random import Random

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError, StoreError
from cranberryhold.flows.adoption import ConfigurationAdopter
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.http_client import http_client
from cranberryhold.flows.leased_store import (
    STORE_BACKOFF_S,
    LeasedStore,
    StoredItem,
    StoreHistoryLostError,
)
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.pacing import Backoff

# A watch that has gone silent is noticed soon enough to have a change in force
# within the operator's bound of some seconds.
WATCH_WAIT_S = 5.0
PEER_TIMEOUT_S = 2.0
MAX_DOCUMENT_BYTES = 1 << 20
PEER_PATH = "/configuration"


class ConfigurationFollower:
    """Takes newer versions from the store, and from peers that know them first.

    :param adopter: puts documents into effect.
    :param store: the store.
    :param telemetry: log and counters.
    :param dependency: log of the store's failures.
    :param random: source of jitter.
    """

    def __init__(
        self,
        adopter: ConfigurationAdopter,
        store: LeasedStore,
        telemetry: Telemetry,
        *,
        dependency: Dependency,
        random: Random,
    ) -> None:
        self._dependency = dependency
        self._adopter = adopter
        self._store = store
        self._telemetry = telemetry
        self._random = random
        self._fetching = False

    async def run(self, store_revision: int | None = None) -> None:
        """Follow the store, until cancelled.

        :param store_revision: revision of the store at which the configuration was
            read before, or None.
        """
        backoff = Backoff(*STORE_BACKOFF_S, self._random)
        revision = store_revision
        while True:
            try:
                revision = await self._step(revision)
            except StoreHistoryLostError:
                self._telemetry.flow_event(
                    "configuration-watch-lost", revision=revision
                )
                revision = None
                await asyncio.sleep(backoff.next_delay_s())
            except StoreError as error:
                self._dependency.failed(error)
                await asyncio.sleep(backoff.next_delay_s())
            else:
                self._dependency.answered()
                backoff.reset()

    async def _step(self, revision: int | None) -> int:
        if revision is None:
            reading = await self._store.get(self._adopter.key)
        else:
            reading = await self._store.wait_for_change(
                self._adopter.key, revision, WATCH_WAIT_S
            )
        if reading.item is not None:
            self._adopt_item(reading.item)
        return reading.store_revision

    def _adopt_item(self, item: StoredItem) -> None:
        self._adopter.adopt(item.value, source="store", revision=item.revision)

    async def fetch_from(self, peer: Address, version: int) -> None:
        """Ask a peer for its configuration if it names a newer version."""
        if version <= self._adopter.version or self._fetching:
            return
        self._fetching = True
        try:
            async with http_client(peer, MAX_DOCUMENT_BYTES) as client:
                status, body = await client.call("GET", PEER_PATH, b"", PEER_TIMEOUT_S)
            if status == 200:
                self._adopter.adopt(body, source=str(peer))
        except PeerError as error:
            self._telemetry.flow_event(
                "configuration-not-fetched", peer=str(peer), error=error
            )
        finally:
            self._fetching = False
