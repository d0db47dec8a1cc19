"""HTTP/1.1 client and health monitor of the upstream beside a sidecar."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import StrEnum

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from reactivex import Observable
from reactivex.subject import BehaviorSubject

from cranberryhold.addresses import Address
from cranberryhold.client_middleware import send_once
from cranberryhold.exceptions import NotRunError, OutcomeUnknownError
from cranberryhold.requests.exchange import (
    Headers,
    Request,
    Response,
)

CONNECT_TIMEOUT_S = 1.0
HEALTH_POLL_INTERVAL_S = 1.0
HEALTH_TIMEOUT_S = 2.0
HEALTH_FAILURES_BEFORE_DOWN = 3
_CHUNK_BYTES = 64 * 1024
_HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "upgrade"}
)


class UpstreamState(StrEnum):
    """Health of the upstream, as derived from polls of its health endpoint."""

    OK = "ok"
    DRAINING = "draining"
    DOWN = "down"


class UpstreamClient:
    """Runs requests on one upstream; created by :func:`open_upstream`.

    :param address: address of the upstream.
    :param session: the HTTP client session.
    """

    def __init__(self, address: Address, session: ClientSession) -> None:
        self._base_url = f"http://{address}"
        self._peer = str(address)
        self._session = session

    @asynccontextmanager
    async def run(self, request: Request) -> AsyncIterator[Response]:
        """Run a request; leaving the context early closes the connection.

        :raises NotRunError: if the upstream refused the connection and therefore
            received no part of the request.
        :raises OutcomeUnknownError: if the connection was lost afterwards.
        """
        first = await anext(request.body, None)
        body = None if first is None else _rechunk(first, request.body)
        try:
            response = await self._session.request(
                request.method,
                self._base_url + request.path,
                headers=_forwarded_headers(request.headers, has_body=body is not None),
                data=body,
                allow_redirects=False,
            )
        except ClientConnectorError as error:
            raise NotRunError(
                f"the upstream refused the connection: {error.os_error}; "
                "is it running?",
                step="connect to upstream",
                peer=self._peer,
            ) from error
        except (ClientError, OSError) as error:
            raise self._connection_lost_error("send request", error) from error
        try:
            yield Response(
                response.status, _response_headers(response), self._body(response)
            )
        finally:
            response.close()

    async def health(self, path: str) -> UpstreamState:
        """Poll the health endpoint once; no response counts as down."""
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self._session.get(self._base_url + path) as response:
                    body = await response.read()
        except (ClientError, OSError, TimeoutError):
            return UpstreamState.DOWN
        if b"draining" in body:
            return UpstreamState.DRAINING
        return UpstreamState.OK if response.status < 500 else UpstreamState.DOWN

    async def _body(self, response: ClientResponse) -> AsyncIterator[bytes]:
        try:
            async for chunk in response.content.iter_any():
                yield chunk
        except (ClientError, OSError) as error:
            raise self._connection_lost_error("read response", error) from error

    def _connection_lost_error(
        self, step: str, error: Exception
    ) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            f"the connection to the upstream was lost: {error}",
            step=step,
            peer=self._peer,
        )


class UpstreamMonitor:
    """Polls the health endpoint and publishes changes of the state.

    A single failed poll is ignored, as the endpoint may be slow or wrong; only
    several in a row count as down. A draining upstream is reported at once.

    :param client: client of the upstream.
    :param path: path of the health endpoint; an empty one disables polling.
    """

    def __init__(self, client: UpstreamClient, path: str) -> None:
        self._client = client
        self._path = path
        self._failures = 0
        self._state: BehaviorSubject[UpstreamState] = BehaviorSubject(UpstreamState.OK)

    @property
    def changes(self) -> Observable[UpstreamState]:
        """Observable of states, starting with the current one."""
        return self._state

    @property
    def state(self) -> UpstreamState:
        """The current state."""
        return self._state.value

    async def run(self) -> None:
        """Poll until cancelled."""
        while self._path:
            self._observe(await self._client.health(self._path))
            await asyncio.sleep(HEALTH_POLL_INTERVAL_S)

    def _observe(self, observed: UpstreamState) -> None:
        self._failures = self._failures + 1 if observed is UpstreamState.DOWN else 0
        if 0 < self._failures < HEALTH_FAILURES_BEFORE_DOWN:
            return
        if observed is not self.state:
            self._state.on_next(observed)


@asynccontextmanager
async def open_upstream(address: Address) -> AsyncIterator[UpstreamClient]:
    """Open a client of an upstream; its connections close when the context ends.

    Each request uses a new connection. On a reused one, a lost connection could not
    be distinguished from a refused one, and aiohttp may retry requests.
    """
    connector = TCPConnector(limit=0, force_close=True)
    timeout = ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    async with ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        middlewares=(send_once,),
    ) as session:
        yield UpstreamClient(address, session)


async def _rechunk(first: bytes, rest: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    yield first
    async for chunk in rest:
        for start in range(0, len(chunk), _CHUNK_BYTES):
            yield chunk[start : start + _CHUNK_BYTES]


def _forwarded_headers(headers: Headers, has_body: bool) -> list[tuple[str, str]]:
    excluded = (
        _HOP_BY_HOP_HEADERS if has_body else _HOP_BY_HOP_HEADERS | {"content-length"}
    )
    return [(name, value) for name, value in headers if name not in excluded]


def _response_headers(response: ClientResponse) -> Headers:
    return tuple(
        (name.lower(), value)
        for name, value in response.headers.items()
        if name.lower() not in _HOP_BY_HOP_HEADERS
    )
