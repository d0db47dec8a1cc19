"""Processing of a request at a sidecar: class, deadline, key, slot and execution."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

from cranberryhold.clock import Clock
from cranberryhold.datapath.connection_ids import TargetRef
from cranberryhold.exceptions import (
    BodyTooLargeError,
    DeadlinePassedError,
    NotRunError,
    OutcomeUnknownError,
    PeerError,
)
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.models import ClassKind, RequestClass, Service
from cranberryhold.requests.admission import Admission, Lease, Load
from cranberryhold.requests.bodies import RequestBody, seconds_left, until_deadline
from cranberryhold.requests.exchange import (
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
from cranberryhold.requests.idempotency import IdempotencyKey, KeyIssuer, RecordTable
from cranberryhold.requests.idempotent_execution import IdempotentExecutor
from cranberryhold.requests.peer_pool import Offer, PeerPool, SlotReply

# A peer enforces the deadline itself; this allows its response time to arrive.
_PEER_DEADLINE_MARGIN_S = 0.25


class RequestPipeline:
    """Runs requests on the local upstream or forwards them to a peer.

    It is a ``Handler``. Each refusal states its outcome; "not run" is reported only
    if no part of the request has reached an upstream.

    :param service_source: returns the service of the manifest in force, or None.
    :param target: this target, as connection ids and idempotency keys name it.
    :param keys: key ring of the deployment.
    :param clock: source of time.
    :param run_local: runs a request on the upstream; raises ``NotRunError`` or
        ``OutcomeUnknownError`` if it gets no response.
    :param pool: the peers, or None if there are none.
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
        # Keys of former incarnations stay valid here, as their records are here.
        self._own_targets = {target}
        self._clock = clock
        self._run_local = run_local
        self._pool = pool
        self._key_issuer = KeyIssuer(keys, target, clock)
        self._records = RecordTable(clock)
        self._executor = IdempotentExecutor(self._records, clock)
        self._admission = Admission(self._slots, clock)
        self._running: Counter[str] = Counter()
        self._active = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._drain_grace_end: float | None = None

    @property
    def running(self) -> dict[str, int]:
        """Number of requests running on the local upstream, by class."""
        return {name: count for name, count in self._running.items() if count}

    @property
    def load(self) -> Load:
        """Current load of the slots of this target."""
        return self._admission.load

    @property
    def is_draining(self) -> bool:
        """Whether a drain has begun and was not called off."""
        return self._drain_grace_end is not None

    def state(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            "running": self.running,
            "present": self._active,
            "keyed_runs": self._executor.running,
            "draining": self.is_draining,
            "admission": self._admission.state(),
            "idempotency": self._records.state(),
            "pool": None if self._pool is None else self._pool.state(),
        }

    def change_incarnation(self, incarnation: int) -> None:
        """Issue idempotency keys for another incarnation of this target."""
        target = replace(self._key_issuer.target, incarnation=incarnation)
        self._own_targets.add(target)
        self._key_issuer.target = target

    def begin_drain(self, grace_s: float) -> None:
        """Stop accepting requests: forward new ones for a while, then refuse them.

        :param grace_s: seconds during which new requests are forwarded.
        """
        if self._drain_grace_end is None:
            self._drain_grace_end = self._clock.monotonic() + grace_s

    def end_drain(self) -> None:
        """Call off a drain and accept new requests again."""
        self._drain_grace_end = None

    async def wait_idle(self) -> None:
        """Wait until no request is queued or running here."""
        while self._active or self._executor.running:
            await self._idle.wait()
            await self._executor.wait()

    def offer_slot(self, class_name: str) -> SlotReply:
        """Offer a slot to a peer if one is free, and report the load."""
        service = self._service_source()
        classes = service.classes if service is not None else ()
        request_class = next((c for c in classes if c.name == class_name), None)
        if request_class is None or self.is_draining:
            return SlotReply(0, self.load)
        offer_id = self._admission.offer(request_class)
        return SlotReply(offer_id, self.load)

    def withdraw_offer(self, offer_id: int) -> None:
        """Free the slot of an offer that the peer does not use."""
        self._admission.withdraw(offer_id)

    @asynccontextmanager
    async def __call__(self, request: Request) -> AsyncIterator[Response]:
        """Handle a request; see :class:`RequestPipeline`."""
        self._enter()
        try:
            async with AsyncExitStack() as stack:
                try:
                    response = await self._handle(request, stack)
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
        self._active += 1
        self._idle.clear()

    def _leave(self) -> None:
        self._active -= 1
        if not self._active:
            self._idle.set()

    def _slots(self) -> int:
        service = self._service_source()
        return service.slots_per_target if service is not None else 0

    async def _handle(self, request: Request, stack: AsyncExitStack) -> Response:
        service = self._service_source()
        if service is None:
            raise NotRunError("not run: the manifest does not have this service")
        if request.path.partition("?")[0] == IDEMPOTENCY_KEY_PATH:
            return await self._issue_key(request, stack)
        request_class = service.find_class(request.method, request.path)
        if request_class is None:
            return error_response(404, Outcome.NOT_RUN, "no request class matches")
        try:
            request = self._with_deadline(request, request_class)
        except ValueError:
            text = f"{DEADLINE_HEADER} must be a number of milliseconds"
            return error_response(400, Outcome.NOT_RUN, text)
        if request_class.at_most_once:
            return await self._handle_keyed(request, request_class, stack)
        if self.is_draining:
            return await self._forward_while_draining(request, stack)
        if _declared_length(request) > request_class.max_body_bytes:
            return _refuse_too_large(request_class)
        return await self._handle_plain(request, request_class, stack)

    async def _issue_key(self, request: Request, stack: AsyncExitStack) -> Response:
        if self.is_draining:
            return await self._forward_while_draining(request, stack)
        key = self._key_issuer.issue()
        headers = ((IDEMPOTENCY_KEY_HEADER, key), ("cache-control", "no-store"))
        return Response(200, headers, bytes_body(key.encode()))

    def _with_deadline(self, request: Request, request_class: RequestClass) -> Request:
        now = self._clock.monotonic()
        deadline = min(request.deadline, now + request_class.deadline_s)
        requested_ms = request.header(DEADLINE_HEADER)
        if requested_ms is not None:
            deadline = min(deadline, now + max(0.0, float(requested_ms)) / 1000)
        return replace(request, deadline=deadline)

    async def _handle_plain(
        self, request: Request, request_class: RequestClass, stack: AsyncExitStack
    ) -> Response:
        body = RequestBody(request.body, request_class.max_body_bytes, "")
        request = replace(request, body=aiter(body))
        if request_class.kind is ClassKind.FEED:
            return await stack.enter_async_context(
                self._run(request, request_class, body)
            )
        if not await self._read_ahead(request, body):
            return _refuse_too_large(request_class)
        slot = await self._acquire_slot(request, request_class)
        if isinstance(slot, Offer):
            return await self._forward(slot.peer, request, slot.offer_id, stack)
        return await stack.enter_async_context(
            self._run(request, request_class, body, slot)
        )

    async def _handle_keyed(
        self, request: Request, request_class: RequestClass, stack: AsyncExitStack
    ) -> Response:
        key = self._key_issuer.parse(request.header(IDEMPOTENCY_KEY_HEADER))
        if key is None:
            return await self._refuse_without_key(request, stack)
        if key.target not in self._own_targets:
            return await self._forward_to_key_target(key, request, stack)
        if self._is_grace_over and not self._executor.has_started(key):
            raise NotRunError("not run: this target is leaving", step="drain")
        if _declared_length(request) > request_class.max_body_bytes:
            return _refuse_too_large(request_class)
        request_line = f"{request.method} {request.path}"
        body = RequestBody(request.body, request_class.max_body_bytes, request_line)
        if not await self._read_ahead(request, body):
            return _refuse_too_large(request_class)

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
            self._executor.execute(key, request, body, run)
        )

    @property
    def _is_grace_over(self) -> bool:
        end = self._drain_grace_end
        return end is not None and self._clock.monotonic() >= end

    async def _refuse_without_key(
        self, request: Request, stack: AsyncExitStack
    ) -> Response:
        if self.is_draining:
            return await self._forward_while_draining(request, stack)
        return error_response(
            428,
            Outcome.NOT_RUN,
            f"needs a valid {IDEMPOTENCY_KEY_HEADER}: "
            "store and send the one given here",
            (IDEMPOTENCY_KEY_HEADER, self._key_issuer.issue()),
        )

    async def _forward_to_key_target(
        self, key: IdempotencyKey, request: Request, stack: AsyncExitStack
    ) -> Response:
        """Forward a request to the only target that may run it.

        This target cannot know whether an earlier attempt has run there, so a
        failure to reach that target is reported as unknown, never as "not run".
        """
        pool = self._pool
        peer = pool.find_target(key.target) if pool and not request.passed_on else None
        if peer is None:
            raise OutcomeUnknownError("the target of the idempotency key is gone")
        try:
            return await self._forward(peer, request, 0, stack)
        except NotRunError as error:
            raise OutcomeUnknownError(error.message, step=error.step) from error

    async def _forward_while_draining(
        self, request: Request, stack: AsyncExitStack
    ) -> Response:
        peer = self._pool.least_loaded() if self._pool else None
        if request.passed_on or self._is_grace_over or peer is None:
            raise NotRunError("not run: this target is leaving", step="drain")
        return await self._forward(peer, request, 0, stack)

    async def _forward(
        self, peer, request: Request, offer_id: int, stack: AsyncExitStack
    ) -> Response:
        time_left = seconds_left(
            request.deadline + _PEER_DEADLINE_MARGIN_S, self._clock
        )
        request = replace(request, passed_on=True)
        try:
            async with asyncio.timeout(time_left):
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
        """Buffer the start of the body; return False if it is too large."""
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

    async def _acquire_slot(
        self, request: Request, request_class: RequestClass
    ) -> Lease | Offer:
        """Return a local slot or an offer of a peer, whichever is available first."""
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
        slot: Lease | Offer | None = None
        try:
            await asyncio.wait({local, remote}, return_when=asyncio.FIRST_COMPLETED)
            slot = local.result() if local.done() else remote.result()
            return slot
        finally:
            # Nothing is awaited here, so that a cancellation cannot leak a slot.
            for task in (local, remote):
                task.cancel()
                task.add_done_callback(lambda t: self._release_unused(t, slot))

    def _release_unused(self, task: asyncio.Task, used: Lease | Offer | None) -> None:
        """Release the slot or withdraw the offer of a task if it is not used."""
        if task.cancelled() or task.exception() or task.result() is used:
            return
        unused = task.result()
        if isinstance(unused, Lease):
            unused.release()
        else:
            self._pool.withdraw(unused)

    @asynccontextmanager
    async def _run(
        self,
        request: Request,
        request_class: RequestClass,
        body: RequestBody,
        lease: Lease | None = None,
    ) -> AsyncIterator[Response]:
        """Run a request on the local upstream, then release its slot."""
        name = request_class.name
        self._running[name] += 1
        try:
            async with AsyncExitStack() as stack:
                response = await self._start_run(request, body, stack)
                chunks = response.body
                if request_class.kind is not ClassKind.FEED:
                    chunks = until_deadline(chunks, request.deadline, self._clock)
                headers = tuple(h for h in response.headers if h[0] != OUTCOME_HEADER)
                yield Response(response.status, headers, chunks)
        finally:
            self._running[name] -= 1
            if lease is not None:
                lease.release()

    async def _start_run(
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
    length = request.header("content-length") or ""
    return int(length) if length.isascii() and length.isdigit() else 0


def _refuse_too_large(request_class: RequestClass) -> Response:
    limit = request_class.max_body_bytes
    return error_response(413, Outcome.NOT_RUN, f"the body exceeds {limit} bytes")
