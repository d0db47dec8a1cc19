"""Execution of requests with an idempotency key, at the target that the key names.

A run continues when its caller disconnects, because a retry needs its result.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from cranberryhold.clock import Clock
from cranberryhold.exceptions import (
    CranberryholdError,
    DeadlinePassedError,
    NotRunError,
    OutcomeUnknownError,
)
from cranberryhold.requests.bodies import RequestBody, seconds_left
from cranberryhold.requests.exchange import (
    Headers,
    Request,
    Response,
    bytes_body,
)
from cranberryhold.requests.idempotency import (
    MAX_STORED_RESPONSE_BYTES,
    IdempotencyKey,
    Record,
    RecordState,
    RecordTable,
    StoredResponse,
)

RAN_HEADER = "cranberryhold-ran"
"""Status of a first response that was too large to be stored for retries."""
_MAX_QUEUED_CHUNKS = 16
_END_OF_BODY = None

RunRequest = Callable[[Request], AbstractAsyncContextManager[Response]]


class _ResponseStream:
    """Streams the response of a run to its caller until the caller disconnects."""

    def __init__(self) -> None:
        self._head = asyncio.get_running_loop().create_future()
        self._chunks: asyncio.Queue[bytes | Exception | None] = asyncio.Queue(
            _MAX_QUEUED_CHUNKS
        )
        self._is_abandoned = False

    async def head(self) -> tuple[int, Headers]:
        return await asyncio.shield(self._head)

    async def body(self) -> AsyncIterator[bytes]:
        while (chunk := await self._chunks.get()) is not _END_OF_BODY:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    def start(self, status: int, headers: Headers) -> None:
        self._head.set_result((status, headers))

    async def put(self, chunk: bytes | Exception | None) -> None:
        if not self._is_abandoned:
            await self._chunks.put(chunk)

    async def fail(self, error: Exception) -> None:
        if self._head.done():
            await self.put(error)
        else:
            self._head.set_exception(error)
            # Marks the exception as retrieved, in case the caller has disconnected.
            self._head.exception()

    def interrupt(self, error: Exception) -> None:
        """End the stream with an error at once, in place of queued chunks."""
        if self._head.done():
            self._clear()
            if not self._is_abandoned:
                self._chunks.put_nowait(error)
        else:
            self._head.set_exception(error)
            self._head.exception()

    def abandon(self) -> None:
        self._is_abandoned = True
        self._clear()

    def _clear(self) -> None:
        while not self._chunks.empty():
            self._chunks.get_nowait()


class IdempotentExecutor:
    """Runs each keyed request at most once and answers retries from its record.

    :param table: the records of this target.
    """

    def __init__(self, table: RecordTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Number of runs in progress, including those without a caller."""
        return len(self._tasks)

    def has_started(self, key: IdempotencyKey) -> bool:
        """Return whether the request of a key has started.

        :raises OutcomeUnknownError: if the key has expired.
        """
        return self._table.find(key) is not None

    async def wait(self) -> None:
        """Wait until no run is in progress."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    @asynccontextmanager
    async def execute(
        self, key: IdempotencyKey, request: Request, body: RequestBody, run: RunRequest
    ) -> AsyncIterator[Response]:
        """Run the request, or answer from the record of its first run.

        :param body: body of the request, which computes its digest.
        :param run: runs the request on the upstream.
        :raises NotRunError: if the request has not run.
        :raises OutcomeUnknownError: if it may have run.
        """
        record = self._table.find(key)
        if record is not None:
            yield await self._answer_retry(key, record, request, body)
            return
        record = self._table.create(key, _request_line(request))
        stream = _ResponseStream()
        task = asyncio.create_task(self._run(record, request, body, run, stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            status, headers = await stream.head()
            yield Response(status, headers, stream.body())
        finally:
            stream.abandon()

    async def _run(
        self,
        record: Record,
        request: Request,
        body: RequestBody,
        run: RunRequest,
        stream: _ResponseStream,
    ) -> None:
        try:
            async with run(request) as response:
                stored_body = await _stream_and_copy(response, stream)
                record.digest = body.digest
                stored = StoredResponse(response.status, response.headers, stored_body)
                self._table.mark_answered(record, stored)
                await stream.put(_END_OF_BODY)
        except NotRunError as error:
            self._table.discard_not_run(record)
            await stream.fail(error)
        except CranberryholdError as error:
            self._table.mark_unknown(record)
            await stream.fail(error)
        except asyncio.CancelledError:
            self._table.mark_unknown(record)
            stream.interrupt(
                OutcomeUnknownError("the run was cancelled", step="run request")
            )
            raise
        except Exception as error:
            self._table.mark_unknown(record)
            unknown = OutcomeUnknownError(
                f"the run ended: {error!r}", step="run request"
            )
            await stream.fail(unknown)
        finally:
            if record.state is RecordState.RUNNING:
                self._table.mark_unknown(record)

    async def _answer_retry(
        self,
        key: IdempotencyKey,
        record: Record,
        request: Request,
        body: RequestBody,
    ) -> Response:
        await body.discard()
        while record.done is not None:
            timeout = seconds_left(request.deadline, self._clock)
            done, _ = await asyncio.wait({record.done}, timeout=timeout)
            if not done:
                raise DeadlinePassedError(
                    "the first run of this key has not ended", step="wait for run"
                )
            record = self._table.find(key) or record
        if record.state is RecordState.NOT_RUN:
            raise NotRunError("not run: nor was the first try", step="wait for run")
        if not record.matches(_request_line(request), body.digest or b""):
            return Response(
                422, (), bytes_body(b"another request has used this idempotency key\n")
            )
        if record.response is None:
            raise OutcomeUnknownError(
                "the first run of this key was lost", step="wait for run"
            )
        return _stored_response(record.response)


def _stored_response(stored: StoredResponse) -> Response:
    if stored.body is not None:
        return Response(stored.status, stored.headers, bytes_body(stored.body))
    text = f"the request has run; its answer {stored.status} was too large to keep\n"
    return Response(409, ((RAN_HEADER, str(stored.status)),), bytes_body(text.encode()))


async def _stream_and_copy(response: Response, stream: _ResponseStream) -> bytes | None:
    """Stream a response to the caller; return its body if it can be stored."""
    stream.start(response.status, response.headers)
    copy = bytearray()
    async for chunk in response.body:
        if len(copy) <= MAX_STORED_RESPONSE_BYTES:
            copy += chunk
        await stream.put(chunk)
    return bytes(copy) if len(copy) <= MAX_STORED_RESPONSE_BYTES else None


def _request_line(request: Request) -> str:
    return f"{request.method} {request.path}"
