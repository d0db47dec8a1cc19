"""The caller library: requests and feeds over HTTP/3, with safe retries.

>>> async def post(line: str, stored_key: str) -> int:
...     async with Caller.connect("https://127.0.0.1:4433") as caller:
...         response = await caller.request(
...             "POST", "/lines", body=line.encode(), idempotency_key=stored_key
...         )
...         return response.status
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass
from urllib.parse import urlsplit

from aioquic.quic.configuration import QuicConfiguration

from cranberryhold.addresses import Address
from cranberryhold.client.connection import (
    ClientConnection,
    client_configuration,
    open_connection,
)
from cranberryhold.client.feeds import Feed, resume_by_sequence
from cranberryhold.client.retries import RetryBudget, backoff, may_retry
from cranberryhold.clock import Clock, SystemClock
from cranberryhold.exceptions import (
    AddressError,
    CranberryholdError,
    KeyRequiredError,
    NotRunError,
    OutcomeUnknownError,
)
from cranberryhold.manifest.models import RetryPolicy
from cranberryhold.requests.exchange import (
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

DEFAULT_DEADLINE_S = 10.0

Body = bytes | Callable[[], AsyncIterator[bytes]]
"""Bytes, or a function that returns a new iterator over the chunks per attempt."""


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A response whose body has been read completely."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header (lower-case name), or None."""
        return first_header(self.headers, name)


class Caller:
    """Sends requests to one service; created by :meth:`connect`.

    Requests share one connection. When the service sends GOAWAY, requests in
    progress finish on that connection and new ones open another. After a lost
    connection, the next request opens a new one.
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
        self._connection_future: asyncio.Future[ClientConnection] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections_opened = 0

    @property
    def connections_opened(self) -> int:
        """Number of connections established so far."""
        return self._connections_opened

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

        Connections are opened on demand and closed when the context ends.

        :param ca_file: PEM file with the trusted certificate authorities; None for
            those of the system.
        :param insecure: accept any certificate.
        :param server_name: host name that the certificate must match; None for the
            URL's host.
        :param retry: limits on retries.
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
        """Send a request and return the response with its complete body.

        A request that did not run is retried within the retry budget; so is one
        with an unknown outcome if it is GET or HEAD or has an idempotency key.
        Cancelling the call cancels the request.

        :param deadline_s: seconds for all attempts together; also sent to the
            service.
        :param idempotency_key: a key from :meth:`new_idempotency_key`.
        :raises NotRunError: if the request certainly did not run.
        :raises OutcomeUnknownError: if any attempt may have run and its response
            was lost.
        """
        if idempotency_key is not None:
            headers = (*headers, (IDEMPOTENCY_KEY_HEADER, idempotency_key))
        deadline = self._clock.monotonic() + deadline_s
        self._budget.record_request()
        unknown_outcome: OutcomeUnknownError | None = None
        attempt = 1
        while True:
            try:
                request = self._build_request(method, path, headers, body, deadline)
                return await self._attempt(request)
            except OutcomeUnknownError as error:
                unknown_outcome = failure = error
            except NotRunError as error:
                failure = error
            delay_s = self._backoff_s(attempt)
            if (
                isinstance(failure, KeyRequiredError)
                or attempt >= self._retry.attempts
                or self._clock.monotonic() + delay_s >= deadline
                or not may_retry(
                    _outcome_of(failure), method, idempotency_key is not None
                )
                or not self._budget.take()
            ):
                # A refused retry doesn't tell whether an earlier attempt ran.
                raise unknown_outcome or failure
            await self._clock.sleep(delay_s)
            attempt += 1

    async def new_idempotency_key(self) -> str:
        """Request a new key from the service.

        Store it with the item before the first attempt, so that a later retry of
        the same item can use it.
        """
        response = await self.request("GET", IDEMPOTENCY_KEY_PATH)
        key = response.header(IDEMPOTENCY_KEY_HEADER) or response.body.decode().strip()
        if response.status != 200 or not key:
            raise CranberryholdError(
                f"the service returned no idempotency key (status {response.status})",
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
        """Yield the lines of a feed, reconnecting after GOAWAY or a lost connection.

        Close the iterator (``contextlib.aclosing``) to cancel the feed early.

        :param resume: takes the path and the last line received and returns the
            path that continues after that line. The default adds ``from=`` with the
            line's JSON ``sequence`` plus one.
        :param give_up_s: seconds of failed reconnection attempts after which the
            last error is raised.
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
        :raises OutcomeUnknownError: if the response was lost.
        """
        connection = await self._connection()
        async with connection.exchange(request, self._authority) as response:
            yield connection, response

    def _build_request(
        self, method: str, path: str, headers: Headers, body: Body, deadline: float
    ) -> Request:
        remaining_ms = max(1, int((deadline - self._clock.monotonic()) * 1000))
        return Request(
            method,
            path,
            (*headers, (DEADLINE_HEADER, str(remaining_ms))),
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
            error_type, step = (
                (OutcomeUnknownError, "request") if sent else (NotRunError, "connect")
            )
            raise error_type(
                "the deadline passed", step=step, peer=str(self._peer)
            ) from error
        return self._raise_for_outcome(
            BufferedResponse(response.status, response.headers, body)
        )

    def _raise_for_outcome(self, response: BufferedResponse) -> BufferedResponse:
        """Return a service's response; raise if the load balancer generated it."""
        outcome = response.header(OUTCOME_HEADER)
        if outcome is None:
            return response
        reason = response.body.decode(errors="replace").strip()
        message = f"{reason} (status {response.status})"
        context = {"step": "request", "peer": str(self._peer)}
        if outcome != Outcome.NOT_RUN:
            raise OutcomeUnknownError(message, **context)
        key = response.header(IDEMPOTENCY_KEY_HEADER)
        if response.status == 428 and key:
            raise KeyRequiredError(message, key=key, **context)
        raise NotRunError(message, **context)

    def _backoff_s(self, attempt: int) -> float:
        return backoff(attempt, self._retry, self._rng)

    async def _connection(self) -> ClientConnection:
        """Return the connection for new requests, opening one if necessary."""
        future = self._connection_future
        if future is None or (future.done() and not _is_usable(future)):
            future = asyncio.get_running_loop().create_future()
            self._connection_future = future
            task = asyncio.create_task(self._run_connection(future))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(future)

    async def _run_connection(self, future: asyncio.Future[ClientConnection]) -> None:
        """Open a connection and close it once it is no longer used.

        :param future: receives the connection, or the reason why there is none.
        """
        try:
            async with open_connection(self._peer, self._configuration) as connection:
                self._connections_opened += 1
                future.set_result(connection)
                await connection.wait_finished()
        except (CranberryholdError, OSError) as error:
            _set_failure(future, error, self._peer)
        finally:
            _set_failure(future, "the caller was closed", self._peer)

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
            f"{url!r} is not the URL of a service: write https://host:port/path",
            step="parse URL",
        )
    return host, port


async def _resolve(host: str, port: int) -> Address:
    loop = asyncio.get_running_loop()
    try:
        addresses = await loop.getaddrinfo(host, port, family=2)
    except OSError as error:
        raise AddressError(
            f"host {host!r} can't be resolved: {error}", step="resolve"
        ) from error
    return Address(*addresses[0][4])


def _is_usable(future: asyncio.Future[ClientConnection]) -> bool:
    if future.cancelled() or future.exception() is not None:
        return False
    return future.result().accepts_requests


def _set_failure(
    future: asyncio.Future[ClientConnection], cause: object, peer: Address
) -> None:
    """Make the tasks that wait for a connection raise, unless it was established."""
    if not future.done():
        is_own_error = isinstance(cause, CranberryholdError)
        future.set_exception(
            cause
            if is_own_error
            else NotRunError(str(cause), step="connect", peer=str(peer))
        )
        # If all waiting tasks were cancelled, nobody retrieves the exception, and
        # asyncio would log it.
        future.exception()


def _outcome_of(error: CranberryholdError) -> Outcome:
    return Outcome.NOT_RUN if isinstance(error, NotRunError) else Outcome.UNKNOWN
