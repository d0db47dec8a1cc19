"""Fetches newer configurations from the members that report them."""

import asyncio

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.flows.adoption import ConfigurationAdopter
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.telemetry import Telemetry

CONFIGURATION_PATH = "/configuration"
MAX_DOCUMENT_BYTES = 1 << 20
FETCH_TIMEOUT_S = 2.0
# The next member is asked as well after this time; a member on a link of 10 Mbit/s
# sends some hundred kilobytes within it.
HEDGE_DELAY_S = 0.3
# Members that are asked at the same time.
MAX_FETCHES = 3


class PeerConfigurations:
    """Fetches the newest configuration that members report.

    A member may end right after its report, or answer slowly. The next one is then
    asked as well, as the next report of a member may be many seconds away.

    :param adopter: applies documents.
    :param telemetry: log and counters.
    """

    def __init__(self, adopter: ConfigurationAdopter, telemetry: Telemetry) -> None:
        self._adopter = adopter
        self._telemetry = telemetry
        # Versions of the members that have not been asked since their report, in the
        # order of the reports.
        self._reported: dict[Address, int] = {}
        self._newest_version = 0
        self._task: asyncio.Task[None] | None = None

    def report(self, peer: Address, version: int) -> None:
        """Fetch a member's configuration if it is newer than the one in effect.

        :param version: version that the member has in effect.
        """
        if version <= self._adopter.version:
            return
        self._newest_version = max(self._newest_version, version)
        self._reported.pop(peer, None)
        self._reported[peer] = version
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._fetch_newest())

    async def _fetch_newest(self) -> None:
        """Ask members until the newest reported version is in effect."""
        fetches: set[asyncio.Task[None]] = set()
        try:
            while self._adopter.version < self._newest_version:
                if len(fetches) < MAX_FETCHES:
                    peer = self._take_peer()
                    if peer is not None:
                        fetches.add(asyncio.create_task(self._fetch(peer)))
                if not fetches:
                    return
                _, fetches = await asyncio.wait(
                    fetches,
                    timeout=HEDGE_DELAY_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            for fetch in fetches:
                fetch.cancel()

    def _take_peer(self) -> Address | None:
        """Return the member with the newest version, None if none is left.

        Of several, it is the one that was heard last.
        """
        in_effect = self._adopter.version
        self._reported = {p: v for p, v in self._reported.items() if v > in_effect}
        peer = max(
            reversed(self._reported), key=self._reported.__getitem__, default=None
        )
        if peer is not None:
            del self._reported[peer]
        return peer

    async def _fetch(self, peer: Address) -> None:
        client = HttpClient(peer, MAX_DOCUMENT_BYTES)
        try:
            response = await client.call(
                "GET", CONFIGURATION_PATH, b"", FETCH_TIMEOUT_S
            )
        except PeerError as error:
            self._telemetry.flow_event(
                "configuration-not-fetched", peer=str(peer), error=error
            )
            return
        if response.status == 200:
            self._adopter.adopt(response.body, source=str(peer))
        else:
            self._telemetry.flow_event(
                "configuration-not-fetched", peer=str(peer), status=response.status
            )
