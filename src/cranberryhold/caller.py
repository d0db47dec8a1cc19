"""The caller library: requests and feeds over HTTP/3, safely repeated.

>>> async def post(line: str, stored_key: str) -> int:
...     async with Caller.connect("https://127.0.0.1:4433") as caller:
...         answer = await caller.request(
...             "POST", "/lines", body=line.encode(), idempotency_key=stored_key
...         )
...         return answer.status
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass
from urllib.parse import urlsplit

from aioquic.quic.configuration import QuicConfiguration

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock, SystemClock
from cranberryhold.exceptions import (
    AddressError,
    CranberryholdError,
    KeyRequiredError,
    NotRunError,
    OutcomeUnknownError,
)
from cranberryhold.exchange import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENCY_KEY_PATH,
    OUTCOME_HEADER,
    Headers,
    Outcome,
    Request,
    Response,
    bytes_body,
    first_header,
)
from cranberryhold.feeds import Feed, resume_by_sequence
from cranberryhold.h3_client import (
    ClientConnection,
    client_configuration,
    open_connection,
)
from cranberryhold.manifest import RetryPolicy
from cranberryhold.retries import RetryBudget, backoff, may_retry

DEFAULT_DEADLINE_S = 10.0

Body = bytes | Callable[[], AsyncIterator[bytes]]
"""A body, or a function that returns its chunks anew for each attempt."""


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A whole answer to a request."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header (lower-case name), or None."""
        return first_header(self.headers, name)


class Caller:
    """Sends requests to one service; made by :meth:`connect`.

    New requests share one connection. When the service sends GOAWAY, requests in
    progress finish on the old connection and new ones use the next. A lost
    connection is opened again by the next request.
    """

    def __init__(
        self,
        peer: Address,
        configuration: QuicConfiguration,
        retry: RetryPolicy,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._peer = peer
        self._configuration = configuration
        self._authority = f"{configuration.server_name}:{peer.port}"
        self._retry = retry
        self._budget = RetryBudget(retry)
        self._clock = clock
        self._rng = rng
        self._newest: asyncio.Future[ClientConnection] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._opened = 0

    @property
    def connections_opened(self) -> int:
        """Number of connections that were established so far."""
        return self._opened

    @classmethod
    @asynccontextmanager
    async def connect(
        cls,
        url: str,
        *,
        ca_file: str | None = None,
        insecure: bool = False,
        server_name: str | None = None,
        retry: RetryPolicy | None = None,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> AsyncIterator["Caller"]:
        """Yield a caller of the service at ``https://host:port``.

        Connections are opened when they are needed and closed at the end.

        :param ca_file: PEM file with the authorities to trust; None for the
            system's.
        :param insecure: accept any certificate.
        :param server_name: name that the certificate has to bear; None for the
            URL's host.
        :param retry: limits of repeated attempts.
        :raises AddressError: if the URL has another form.
        """
        host, port = parse_url(url)
        caller = cls(
            await _resolve(host, port),
            client_configuration(server_name or host, ca_file, insecure),
            retry or RetryPolicy(),
            clock or SystemClock(),
            rng or random.Random(),
        )
        try:
            yield caller
        finally:
            await caller._close()

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Headers = (),
        body: Body = b"",
        deadline_s: float = DEFAULT_DEADLINE_S,
        idempotency_key: str | None = None,
    ) -> BufferedResponse:
        """Send a request and return its whole answer.

        A request that did not run is sent again within the retry budget; so is one
        with an unknown outcome if it is GET or HEAD or has an idempotency key.
        Cancelling the call cancels the request.

        :param deadline_s: seconds for all attempts together; sent along.
        :param idempotency_key: a key from :meth:`new_idempotency_key`.
        :raises NotRunError: if the request certainly did not run.
        :raises OutcomeUnknownError: if any attempt may have run and its answer is
            lost.
        """
        if idempotency_key is not None:
            headers = (*headers, (IDEMPOTENCY_KEY_HEADER, idempotency_key))
        deadline = self._clock.monotonic() + deadline_s
        self._budget.record_request()
        unknown: OutcomeUnknownError | None = None
        attempt = 1
        while True:
            try:
                request = self._request(method, path, headers, body, deadline)
                return await self._attempt(request)
            except OutcomeUnknownError as error:
                unknown = failure = error
            except NotRunError as error:
                failure = error
            pause_s = self._pause_s(attempt)
            if (
                isinstance(failure, KeyRequiredError)
                or attempt >= self._retry.attempts
                or self._clock.monotonic() + pause_s >= deadline
                or not may_retry(_outcome(failure), method, idempotency_key is not None)
                or not self._budget.take()
            ):
                # A refused repetition says nothing of an earlier attempt.
                raise unknown or failure
            await self._clock.sleep(pause_s)
            attempt += 1

    async def new_idempotency_key(self) -> str:
        """Return a new key; store it with the item before the first attempt."""
        answer = await self.request("GET", IDEMPOTENCY_KEY_PATH)
        key = answer.header(IDEMPOTENCY_KEY_HEADER) or answer.body.decode().strip()
        if answer.status != 200 or not key:
            raise CranberryholdError(
                f"the service issued no key (status {answer.status})",
                step="get idempotency key",
                peer=str(self._peer),
            )
        return key

    async def feed(
        self,
        path: str,
        *,
        resume: Callable[[str, bytes], str] = resume_by_sequence,
        headers: Headers = (),
        give_up_s: float = 60.0,
    ) -> AsyncIterator[bytes]:
        """Yield the lines of a feed, across GOAWAY and lost connections.

        Close the iterator (``contextlib.aclosing``) to cancel the feed early.

        :param resume: given the path and the last line received, returns the path
            that continues after that line. The default adds ``from=`` with the
            line's JSON ``sequence`` plus one.
        :param give_up_s: seconds without a line or a connection until it raises.
        :raises FeedRefusedError: if the service answers with an error status.
        """
        feed = Feed(self.stream, self._clock, self._rng, give_up_s)
        async with aclosing(feed.lines(path, resume, headers)) as lines:
            async for line in lines:
                yield line

    @asynccontextmanager
    async def stream(
        self, request: Request
    ) -> AsyncIterator[tuple[ClientConnection, Response]]:
        """Send a request once, without a deadline, and yield its response.

        :raises NotRunError: if the request certainly did not run.
        :raises OutcomeUnknownError: if the answer was lost.
        """
        connection = await self._connection()
        async with connection.exchange(request, self._authority) as response:
            yield connection, response

    def _request(
        self, method: str, path: str, headers: Headers, body: Body, deadline: float
    ) -> Request:
        left_ms = max(1, int((deadline - self._clock.monotonic()) * 1000))
        return Request(
            method,
            path,
            (*headers, (DEADLINE_HEADER, str(left_ms))),
            bytes_body(body) if isinstance(body, bytes) else body(),
            deadline,
        )

    async def _attempt(self, request: Request) -> BufferedResponse:
        sent = False
        try:
            async with asyncio.timeout(request.deadline - self._clock.monotonic()):
                connection = await self._connection()
                sent = True
                async with connection.exchange(request, self._authority) as response:
                    body = b"".join([chunk async for chunk in response.body])
        except TimeoutError as error:
            kind, step = (
                (OutcomeUnknownError, "request") if sent else (NotRunError, "connect")
            )
            raise kind(
                "the deadline passed", step=step, peer=str(self._peer)
            ) from error
        return self._checked(BufferedResponse(response.status, response.headers, body))

    def _checked(self, answer: BufferedResponse) -> BufferedResponse:
        """Return an answer of the service; raise what the system itself answered."""
        outcome = answer.header(OUTCOME_HEADER)
        if outcome is None:
            return answer
        reason = answer.body.decode(errors="replace").strip()
        message = f"{reason} (status {answer.status})"
        where = {"step": "request", "peer": str(self._peer)}
        if outcome != Outcome.NOT_RUN:
            raise OutcomeUnknownError(message, **where)
        key = answer.header(IDEMPOTENCY_KEY_HEADER)
        if answer.status == 428 and key:
            raise KeyRequiredError(message, key=key, **where)
        raise NotRunError(message, **where)

    def _pause_s(self, attempt: int) -> float:
        return backoff(attempt, self._retry, self._rng)

    async def _connection(self) -> ClientConnection:
        """Return the connection for new requests; opened if there is none."""
        newest = self._newest
        if newest is None or (newest.done() and not _usable(newest)):
            newest = asyncio.get_running_loop().create_future()
            self._newest = newest
            task = asyncio.create_task(self._hold(newest))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(newest)

    async def _hold(self, ready: asyncio.Future[ClientConnection]) -> None:
        """Open a connection and keep it until it has no more requests."""
        try:
            async with open_connection(self._peer, self._configuration) as connection:
                self._opened += 1
                ready.set_result(connection)
                await connection.finished()
        except (CranberryholdError, OSError) as error:
            _fail(ready, error, self._peer)
        finally:
            _fail(ready, "the caller was closed", self._peer)

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def parse_url(url: str) -> tuple[str, int]:
    """Return the host and port of ``https://host:port``.

    :raises AddressError: if the URL has another form.
    """
    try:
        parts = urlsplit(url)
        host, port = parts.hostname, parts.port or 443
    except ValueError:
        parts, host, port = urlsplit(""), None, 0
    if parts.scheme != "https" or not host:
        raise AddressError(
            f"{url!r} is not a service: write https://host:port/path", step="read URL"
        )
    return host, port


async def _resolve(host: str, port: int) -> Address:
    loop = asyncio.get_running_loop()
    try:
        found = await loop.getaddrinfo(host, port, family=2)
    except OSError as error:
        raise AddressError(f"{host!r} is unknown: {error}", step="resolve") from error
    return Address(*found[0][4])


def _usable(ready: asyncio.Future[ClientConnection]) -> bool:
    if ready.cancelled() or ready.exception() is not None:
        return False
    return ready.result().accepts_requests


def _fail(ready: asyncio.Future[ClientConnection], why: object, peer: Address) -> None:
    """Tell those who wait for a connection that there will be none."""
    if not ready.done():
        known = isinstance(why, CranberryholdError)
        ready.set_exception(
            why if known else NotRunError(str(why), step="connect", peer=str(peer))
        )
        # All who waited may have been cancelled; asyncio would log the error.
        ready.exception()


def _outcome(error: CranberryholdError) -> Outcome:
    return Outcome.NOT_RUN if isinstance(error, NotRunError) else Outcome.UNKNOWN
