"""The upstream beside a sidecar: HTTP/1.1 over loopback TCP, and its health."""

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
from cranberryhold.exchange import (
    Headers,
    Request,
    Response,
)

CONNECT_TIMEOUT_S = 1.0
HEALTH_PERIOD_S = 1.0
HEALTH_TIMEOUT_S = 2.0
HEALTH_FAILURES_BEFORE_DOWN = 3
_CHUNK_BYTES = 64 * 1024
_HOP_HEADERS = frozenset({"connection", "keep-alive", "transfer-encoding", "upgrade"})


class UpstreamState(StrEnum):
    """What the health endpoint says, after several polls agree."""

    OK = "ok"
    DRAINING = "draining"
    DOWN = "down"


class UpstreamClient:
    """Runs requests on one upstream.

    Use it within :func:`open_upstream`.

    :param address: address of the upstream.
    :param session: the client session to use.
    """

    def __init__(self, address: Address, session: ClientSession) -> None:
        self._base = f"http://{address}"
        self._peer = str(address)
        self._session = session

    @asynccontextmanager
    async def run(self, request: Request) -> AsyncIterator[Response]:
        """Run a request; leaving the context early closes the connection.

        :raises NotRunError: if the upstream refused the connection, so that it
            never saw a byte of the request.
        :raises OutcomeUnknownError: if the connection was lost afterwards.
        """
        first = await anext(request.body, None)
        body = None if first is None else _chain(first, request.body)
        try:
            response = await self._session.request(
                request.method,
                self._base + request.path,
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
            raise self._lost("send request", error) from error
        try:
            yield Response(
                response.status, _response_headers(response), self._body(response)
            )
        finally:
            response.close()

    async def health(self, path: str) -> UpstreamState:
        """Ask the health endpoint once; no answer counts as down."""
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self._session.get(self._base + path) as response:
                    text = await response.read()
        except (ClientError, OSError, TimeoutError):
            return UpstreamState.DOWN
        if b"draining" in text:
            return UpstreamState.DRAINING
        return UpstreamState.OK if response.status < 500 else UpstreamState.DOWN

    async def _body(self, response: ClientResponse) -> AsyncIterator[bytes]:
        try:
            async for chunk in response.content.iter_any():
                yield chunk
        except (ClientError, OSError) as error:
            raise self._lost("read response", error) from error

    def _lost(self, step: str, error: Exception) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            f"the connection to the upstream was lost: {error}",
            step=step,
            peer=self._peer,
        )


class UpstreamMonitor:
    """Polls the health endpoint and reports changes.

    One failed poll means nothing, since the endpoint may lag or mislead; only
    several in a row count as down. A word of draining counts at once.

    :param client: client of the upstream.
    :param path: path of the health endpoint; empty turns polling off.
    """

    def __init__(self, client: UpstreamClient, path: str) -> None:
        self._client = client
        self._path = path
        self._failures = 0
        self._state: BehaviorSubject[UpstreamState] = BehaviorSubject(UpstreamState.OK)

    @property
    def changes(self) -> Observable[UpstreamState]:
        """Stream of states, starting with the present one."""
        return self._state

    @property
    def state(self) -> UpstreamState:
        """The state in force."""
        return self._state.value

    async def run(self) -> None:
        """Poll until cancelled."""
        while self._path:
            self._observe(await self._client.health(self._path))
            await asyncio.sleep(HEALTH_PERIOD_S)

    def _observe(self, seen: UpstreamState) -> None:
        self._failures = self._failures + 1 if seen is UpstreamState.DOWN else 0
        if 0 < self._failures < HEALTH_FAILURES_BEFORE_DOWN:
            return
        if seen is not self.state:
            self._state.on_next(seen)


@asynccontextmanager
async def open_upstream(address: Address) -> AsyncIterator[UpstreamClient]:
    """Open a client for an upstream, and close its connections at the end.

    Each request gets a connection of its own: on a reused one, a lost connection
    could not be told from a refused one, and the library may repeat requests.
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


async def _chain(first: bytes, rest: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    yield first
    async for chunk in rest:
        for start in range(0, len(chunk), _CHUNK_BYTES):
            yield chunk[start : start + _CHUNK_BYTES]


def _forwarded_headers(headers: Headers, has_body: bool) -> list[tuple[str, str]]:
    drop = _HOP_HEADERS if has_body else _HOP_HEADERS | {"content-length"}
    return [(name, value) for name, value in headers if name not in drop]


def _response_headers(response: ClientResponse) -> Headers:
    return tuple(
        (name.lower(), value)
        for name, value in response.headers.items()
        if name.lower() not in _HOP_HEADERS
    )
