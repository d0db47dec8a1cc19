"""What happens to a request at a sidecar: class, deadline, key, slot, run."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

from cranberryhold.admission import Admission, Lease, Load
from cranberryhold.bodies import RequestBody, seconds_left, until_deadline
from cranberryhold.clock import Clock
from cranberryhold.connection_ids import TargetRef
from cranberryhold.exceptions import (
    BodyTooLargeError,
    DeadlinePassedError,
    NotRunError,
    OutcomeUnknownError,
    PeerError,
)
from cranberryhold.exchange import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENCY_KEY_PATH,
    OUTCOME_HEADER,
    Handler,
    Outcome,
    Request,
    Response,
    bytes_body,
    error_response,
)
from cranberryhold.idempotency import IdempotencyKey, KeyIssuer, RecordTable
from cranberryhold.idempotent_execution import IdempotentExecutor
from cranberryhold.keys import KeyRing
from cranberryhold.manifest import ClassKind, RequestClass, Service
from cranberryhold.peer_pool import Offer, PeerPool, SlotReply

# A peer enforces the deadline itself; this covers its answer's way back.
_PEER_SLACK_S = 0.25


class RequestPipeline:
    """Runs requests on the local upstream or passes them to a peer.

    It is a ``Handler``. Each refusal states its outcome, and "not run" is said
    only when nothing of the request has reached an upstream.

    :param service_source: returns the service of the manifest in force, or None.
    :param target: this target, as connection ids and idempotency keys name it.
    :param run_local: runs a request on the upstream; raises ``NotRunError`` or
        ``OutcomeUnknownError`` if it gets no answer.
    :param pool: the peers, or None without any.
    """

    def __init__(
        self,
        service_source: Callable[[], Service | None],
        target: TargetRef,
        keys: KeyRing,
        clock: Clock,
        run_local: Handler,
        pool: PeerPool | None = None,
    ) -> None:
        self._service_source = service_source
        self._target = target
        self._clock = clock
        self._run_local = run_local
        self._pool = pool
        self._issuer = KeyIssuer(keys, target, clock)
        self._records = RecordTable(clock)
        self._runs = IdempotentExecutor(self._records, clock)
        self._admission = Admission(self._slots, clock)
        self._running: Counter[str] = Counter()
        self._present = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._drain_grace_end: float | None = None

    @property
    def running(self) -> dict[str, int]:
        """Requests that run on the local upstream, by class."""
        return {name: count for name, count in self._running.items() if count}

    @property
    def load(self) -> Load:
        """How busy the slots of this target are."""
        return self._admission.load

    @property
    def is_draining(self) -> bool:
        """Whether :meth:`begin_drain` was called."""
        return self._drain_grace_end is not None

    def state(self) -> dict[str, object]:
        """Return what a state dump shows."""
        return {
            "running": self.running,
            "present": self._present,
            "keyed_runs": self._runs.running,
            "draining": self.is_draining,
            "admission": self._admission.state(),
            "idempotency": self._records.state(),
            "pool": None if self._pool is None else self._pool.state(),
        }

    def begin_drain(self, grace_s: float) -> None:
        """Take no new requests: pass them on for a while, then refuse them.

        :param grace_s: seconds in which they are passed on.
        """
        if self._drain_grace_end is None:
            self._drain_grace_end = self._clock.monotonic() + grace_s

    def end_drain(self) -> None:
        """Take new requests again, after a drain that was called off."""
        self._drain_grace_end = None

    async def wait_idle(self) -> None:
        """Wait until no request is queued or running here."""
        while self._present or self._runs.running:
            await self._idle.wait()
            await self._runs.wait()

    def offer_slot(self, class_name: str) -> SlotReply:
        """Offer a slot to a peer if one is free."""
        service = self._service_source()
        classes = service.classes if service is not None else ()
        request_class = next((c for c in classes if c.name == class_name), None)
        if request_class is None or self.is_draining:
            return SlotReply(0, self.load)
        offer_id = self._admission.offer(request_class)
        return SlotReply(offer_id, self.load)

    def withdraw_offer(self, offer_id: int) -> None:
        """Free the slot of an offer that the peer does not need."""
        self._admission.withdraw(offer_id)

    @asynccontextmanager
    async def __call__(self, request: Request) -> AsyncIterator[Response]:
        """Answer a request; see :class:`RequestPipeline`."""
        self._enter()
        try:
            async with AsyncExitStack() as stack:
                try:
                    response = await self._answer(request, stack)
                except NotRunError as error:
                    response = error_response(503, Outcome.NOT_RUN, error.message)
                except BodyTooLargeError as error:
                    response = error_response(413, Outcome.UNKNOWN, error.message)
                except DeadlinePassedError as error:
                    response = error_response(504, Outcome.UNKNOWN, error.message)
                except OutcomeUnknownError as error:
                    response = error_response(502, Outcome.UNKNOWN, error.message)
                yield response
        finally:
            self._leave()

    def _enter(self) -> None:
        self._present += 1
        self._idle.clear()

    def _leave(self) -> None:
        self._present -= 1
        if not self._present:
            self._idle.set()

    def _slots(self) -> int:
        service = self._service_source()
        return service.slots_per_target if service is not None else 0

    async def _answer(self, request: Request, stack: AsyncExitStack) -> Response:
        service = self._service_source()
        if service is None:
            raise NotRunError("not run: the manifest does not have this service")
        if request.path.partition("?")[0] == IDEMPOTENCY_KEY_PATH:
            return await self._answer_key(request, stack)
        request_class = service.class_of(request.method, request.path)
        if request_class is None:
            return error_response(404, Outcome.NOT_RUN, "no request class matches")
        try:
            request = self._with_deadline(request, request_class)
        except ValueError:
            text = f"{DEADLINE_HEADER} must be a number of milliseconds"
            return error_response(400, Outcome.NOT_RUN, text)
        if request_class.at_most_once:
            return await self._answer_keyed(request, request_class, stack)
        if self.is_draining:
            return await self._pass_while_draining(request, stack)
        if _declared_length(request) > request_class.max_body_bytes:
            return _too_large(request_class)
        return await self._answer_plain(request, request_class, stack)

    async def _answer_key(self, request: Request, stack: AsyncExitStack) -> Response:
        if self.is_draining:
            return await self._pass_while_draining(request, stack)
        key = self._issuer.issue()
        headers = ((IDEMPOTENCY_KEY_HEADER, key), ("cache-control", "no-store"))
        return Response(200, headers, bytes_body(key.encode()))

    def _with_deadline(self, request: Request, request_class: RequestClass) -> Request:
        now = self._clock.monotonic()
        deadline = min(request.deadline, now + request_class.deadline_s)
        asked = request.header(DEADLINE_HEADER)
        if asked is not None:
            deadline = min(deadline, now + max(0.0, float(asked)) / 1000)
        return replace(request, deadline=deadline)

    async def _answer_plain(
        self, request: Request, request_class: RequestClass, stack: AsyncExitStack
    ) -> Response:
        body = RequestBody(request.body, request_class.max_body_bytes, "")
        request = replace(request, body=aiter(body))
        if request_class.kind is ClassKind.FEED:
            return await stack.enter_async_context(
                self._run(request, request_class, body)
            )
        if not await self._read_ahead(request, body):
            return _too_large(request_class)
        place = await self._find_place(request, request_class)
        if isinstance(place, Offer):
            return await self._pass(place.peer, request, place.offer_id, stack)
        return await stack.enter_async_context(
            self._run(request, request_class, body, place)
        )

    async def _answer_keyed(
        self, request: Request, request_class: RequestClass, stack: AsyncExitStack
    ) -> Response:
        key = self._issuer.parse(request.header(IDEMPOTENCY_KEY_HEADER))
        if key is None:
            return await self._refuse_unkeyed(request, stack)
        if key.target != self._target:
            return await self._pass_to_target(key, request, stack)
        if self._is_drained and not self._runs.has_started(key):
            raise NotRunError("not run: this target is leaving", step="drain")
        if _declared_length(request) > request_class.max_body_bytes:
            return _too_large(request_class)
        head = f"{request.method} {request.path}"
        body = RequestBody(request.body, request_class.max_body_bytes, head)
        if not await self._read_ahead(request, body):
            return _too_large(request_class)

        @asynccontextmanager
        async def run(request: Request) -> AsyncIterator[Response]:
            lease = None
            if request_class.kind is not ClassKind.FEED:
                self._admission.record_arrival(request_class)
                lease = await self._admission.acquire(
                    request_class, request.deadline, request.offer_id
                )
            async with self._run(request, request_class, body, lease) as response:
                yield response

        request = replace(request, body=aiter(body))
        return await stack.enter_async_context(
            self._runs.answer(key, request, body, run)
        )

    @property
    def _is_drained(self) -> bool:
        end = self._drain_grace_end
        return end is not None and self._clock.monotonic() >= end

    async def _refuse_unkeyed(
        self, request: Request, stack: AsyncExitStack
    ) -> Response:
        if self.is_draining:
            return await self._pass_while_draining(request, stack)
        return error_response(
            428,
            Outcome.NOT_RUN,
            f"needs a valid {IDEMPOTENCY_KEY_HEADER}: "
            "store and send the one given here",
            (IDEMPOTENCY_KEY_HEADER, self._issuer.issue()),
        )

    async def _pass_to_target(
        self, key: IdempotencyKey, request: Request, stack: AsyncExitStack
    ) -> Response:
        """Pass a request to the one target that may run it.

        This target can't know whether an earlier try has run, so "not run" is
        said only by the target itself.
        """
        pool = self._pool
        peer = pool.find_target(key.target) if pool and not request.passed_on else None
        if peer is None:
            raise OutcomeUnknownError("the target of the idempotency key is gone")
        try:
            return await self._pass(peer, request, 0, stack)
        except NotRunError as error:
            raise OutcomeUnknownError(error.message, step=error.step) from error

    async def _pass_while_draining(
        self, request: Request, stack: AsyncExitStack
    ) -> Response:
        peer = self._pool.least_loaded() if self._pool else None
        if request.passed_on or self._is_drained or peer is None:
            raise NotRunError("not run: this target is leaving", step="drain")
        return await self._pass(peer, request, 0, stack)

    async def _pass(
        self, peer, request: Request, offer_id: int, stack: AsyncExitStack
    ) -> Response:
        left = seconds_left(request.deadline + _PEER_SLACK_S, self._clock)
        request = replace(request, passed_on=True)
        try:
            async with asyncio.timeout(left):
                return await stack.enter_async_context(
                    self._pool.forward_request(peer, request, offer_id)
                )
        except TimeoutError:
            raise DeadlinePassedError(
                "the deadline passed at a peer", step="pass request", peer=peer.node_id
            ) from None
        except PeerError as error:
            raise NotRunError(f"not run: {error.message}", step=error.step) from error

    async def _read_ahead(self, request: Request, body: RequestBody) -> bool:
        """Read the first part of the body; return whether it is within its limit."""
        try:
            async with asyncio.timeout(seconds_left(request.deadline, self._clock)):
                await body.read_ahead()
        except TimeoutError:
            raise NotRunError(
                "not run: the deadline passed while the body arrived", step="read body"
            ) from None
        except BodyTooLargeError:
            return False
        return True

    async def _find_place(
        self, request: Request, request_class: RequestClass
    ) -> Lease | Offer:
        """Return a local slot or a peer's offer, whichever comes first."""
        pool, deadline = self._pool, request.deadline
        if not request.passed_on:
            self._admission.record_arrival(request_class)
        if pool is None or request.passed_on:
            return await self._admission.acquire(
                request_class, deadline, request.offer_id
            )
        lease = self._admission.try_acquire(request_class)
        if lease is not None:
            return lease
        local = asyncio.create_task(self._admission.acquire(request_class, deadline))
        remote = asyncio.create_task(pool.wait_for_slot(request_class.name))
        place: Lease | Offer | None = None
        try:
            await asyncio.wait({local, remote}, return_when=asyncio.FIRST_COMPLETED)
            place = local.result() if local.done() else remote.result()
            return place
        finally:
            # Without a further wait here, a cancellation can't lose a place.
            for search in (local, remote):
                search.cancel()
                search.add_done_callback(lambda s: self._give_back(s, place))

    def _give_back(self, search: asyncio.Task, used: Lease | Offer | None) -> None:
        """Give back what a search has found if it is not used."""
        if search.cancelled() or search.exception() or search.result() is used:
            return
        found = search.result()
        if isinstance(found, Lease):
            found.release()
        else:
            self._pool.withdraw(found)

    @asynccontextmanager
    async def _run(
        self,
        request: Request,
        request_class: RequestClass,
        body: RequestBody,
        lease: Lease | None = None,
    ) -> AsyncIterator[Response]:
        """Run a request on the local upstream; releases the slot."""
        name = request_class.name
        self._running[name] += 1
        try:
            async with AsyncExitStack() as stack:
                response = await self._start(request, body, stack)
                chunks = response.body
                if request_class.kind is not ClassKind.FEED:
                    chunks = until_deadline(chunks, request.deadline, self._clock)
                headers = tuple(h for h in response.headers if h[0] != OUTCOME_HEADER)
                yield Response(response.status, headers, chunks)
        finally:
            self._running[name] -= 1
            if lease is not None:
                lease.release()

    async def _start(
        self, request: Request, body: RequestBody, stack: AsyncExitStack
    ) -> Response:
        try:
            async with asyncio.timeout(seconds_left(request.deadline, self._clock)):
                return await stack.enter_async_context(self._run_local(request))
        except TimeoutError:
            raise DeadlinePassedError(
                "the deadline passed while the request ran", step="run request"
            ) from None
        except Exception as error:
            if body.is_too_large:
                raise BodyTooLargeError(
                    "the body exceeds its limit", step="run request"
                ) from error
            raise


def _declared_length(request: Request) -> int:
    text = request.header("content-length") or ""
    return int(text) if text.isascii() and text.isdigit() else 0


def _too_large(request_class: RequestClass) -> Response:
    limit = request_class.max_body_bytes
    return error_response(413, Outcome.NOT_RUN, f"the body exceeds {limit} bytes")
