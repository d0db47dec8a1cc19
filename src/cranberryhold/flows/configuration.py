"""Keeps the operator's configuration on an entry instance up to date."""

import asyncio
from random import Random

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError, StoreError
from cranberryhold.flows.adoption import ConfigurationAdopter
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.leased_store import (
    STORE_BACKOFF_S,
    LeasedStore,
    StoredItem,
    StoreHistoryLostError,
)
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.pacing import Backoff

# Short enough that a stalled watch is detected in time to apply a change within the
# operator's bound of a few seconds.
WATCH_WAIT_S = 5.0
PEER_TIMEOUT_S = 2.0
MAX_DOCUMENT_BYTES = 1 << 20
CONFIGURATION_PATH = "/configuration"


class ConfigurationFollower:
    """Fetches newer versions from the store, and from peers that have them earlier.

    :param adopter: applies documents.
    :param store: the store.
    :param telemetry: log and counters.
    :param dependency: records whether changes can be followed. It is not shared with
        other callers of the store, whose calls may succeed while a watch is lost.
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
        """Follow changes in the store until cancelled.

        :param store_revision: store revision at which the configuration was last
            read, or None if it has not been read yet.
        """
        backoff = Backoff(*STORE_BACKOFF_S, self._random)
        revision = store_revision
        while True:
            try:
                revision = await self._read_or_wait(revision)
            except StoreHistoryLostError:
                self._telemetry.flow_event(
                    "configuration-watch-lost", revision=revision
                )
                revision = None
                await asyncio.sleep(backoff.next_delay_s())
            except StoreError as error:
                self._dependency.record_failure(error)
                await asyncio.sleep(backoff.next_delay_s())
            else:
                self._dependency.record_success()
                backoff.reset()

    async def _read_or_wait(self, revision: int | None) -> int:
        if revision is None:
            result = await self._store.get(self._adopter.key)
        else:
            result = await self._store.wait_for_change(
                self._adopter.key, revision, WATCH_WAIT_S
            )
        if result.item is not None:
            self._adopt_item(result.item)
        self._adopter.confirm()
        return result.store_revision

    def _adopt_item(self, item: StoredItem) -> None:
        self._adopter.adopt(item.value, source="store", revision=item.revision)

    async def fetch_from(self, peer: Address, version: int) -> None:
        """Fetch a peer's configuration if its version is newer than the own one."""
        if version <= self._adopter.version or self._fetching:
            return
        self._fetching = True
        try:
            status, body = await HttpClient(peer, MAX_DOCUMENT_BYTES).call(
                "GET", CONFIGURATION_PATH, b"", PEER_TIMEOUT_S
            )
            if status == 200:
                self._adopter.adopt(body, source=str(peer))
        except PeerError as error:
            self._telemetry.flow_event(
                "configuration-not-fetched", peer=str(peer), error=error
            )
        finally:
            self._fetching = False
