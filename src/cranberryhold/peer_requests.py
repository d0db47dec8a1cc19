"""Passes requests between the targets of a service, over zmq with CURVE.

Each target listens on its own TCP port, so that bodies don't hold up control
calls. A connection is never reopened by zmq itself: what was queued on the old
one would arrive late, after its outcome was told as unknown.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress

import zmq
import zmq.asyncio
from loguru import logger
from msgspec import DecodeError
from zmq.utils.monitor import parse_monitor_message

from cranberryhold.addresses import Address
from cranberryhold.admission import Load
from cranberryhold.bodies import seconds_left
from cranberryhold.clock import Clock
from cranberryhold.curve import (
    admitting,
    bind_server,
    connect_client,
    curve_pair,
    curve_pairs,
)
from cranberryhold.exceptions import (
    CranberryholdError,
    OutcomeUnknownError,
    PeerError,
)
from cranberryhold.exchange import Request, Response
from cranberryhold.keys import KeyRing
from cranberryhold.members import Member
from cranberryhold.peer_pool import SlotReply
from cranberryhold.peer_request_messages import (
    Cancel,
    Channel,
    Failed,
    Message,
    Ping,
    RequestHead,
    ResponseHead,
    SlotRequest,
    SlotResponse,
    WithdrawOffer,
    decode,
    encode,
)
from cranberryhold.pipeline import RequestPipeline

_DOMAIN = "cranberryhold-passing"
_HANDSHAKE_S = 1.0
_HEARTBEAT_MS = 1000
_HEARTBEAT_TIMEOUT_MS = 3000
_SWEEP_S = 1.0
_STEP = "pass request"


def peer_request_address(control_address: Address) -> Address:
    """Return where a target takes passed requests: the TCP port after its control's."""
    return Address(control_address.ip, control_address.port + 1)


class PeerRequestServer:
    """Takes asks and requests from peers and hands them to the pipeline.

    :param address: where to listen; port 0 lets the operating system choose.
    """

    def __init__(
        self, keys: KeyRing, address: Address, pipeline: RequestPipeline, clock: Clock
    ) -> None:
        self._keys = keys
        self._address = address
        self._pipeline = pipeline
        self._clock = clock
        self._socket: zmq.asyncio.Socket | None = None
        self._channels: dict[tuple[bytes, int], Channel] = {}
        self._tasks: dict[tuple[bytes, int], asyncio.Task[None]] = {}

    @property
    def address(self) -> Address:
        """Address at which the server listens."""
        return self._address

    @property
    def running(self) -> int:
        """Passed requests in progress."""
        return len(self._tasks)

    @contextmanager
    def serving(self) -> Iterator["PeerRequestServer"]:
        """Serve peers inside the context.

        :raises PeerError: if the address can't be bound.
        """
        context = zmq.asyncio.Context()
        tasks: list[asyncio.Task[None]] = []
        try:
            with admitting(context, _DOMAIN, curve_pairs(self._keys)):
                self._socket = self._bind(context)
                tasks = [
                    asyncio.create_task(self._serve(), name="passing-server"),
                    asyncio.create_task(self._sweep(), name="passing-sweep"),
                ]
                yield self
        finally:
            for task in [*tasks, *self._tasks.values()]:
                task.cancel()
            context.destroy(linger=200)

    def _bind(self, context: zmq.asyncio.Context) -> zmq.asyncio.Socket:
        socket = context.socket(zmq.ROUTER)
        # A ROUTER drops what exceeds its mark, which would cut a body; credit is
        # what bounds its queues.
        socket.set_hwm(0)
        socket.router_mandatory = True
        _set_heartbeat(socket)
        pair = curve_pair(self._keys, self._keys.issuing_id)
        self._address = bind_server(
            socket, pair, _DOMAIN, self._address, step="bind passing server"
        )
        return socket

    async def _serve(self) -> None:
        while True:
            caller, *frames = await self._socket.recv_multipart()
            try:
                self._take(caller, decode(frames[0]))
            except (DecodeError, IndexError):
                logger.warning("event=passing-malformed peer={}", caller.hex())

    def _take(self, caller: bytes, message: Message) -> None:
        match message:
            case SlotRequest(exchange, request_class):
                answer = self._pipeline.offer_slot(request_class)
                load = answer.load
                offered = SlotResponse(
                    exchange, answer.offer_id, load.running, load.waiting, load.slots
                )
                self._begin(caller, exchange, self._send(caller, offered))
            case WithdrawOffer(offer_id):
                self._pipeline.withdraw_offer(offer_id)
            case RequestHead():
                channel = Channel(message.exchange, lambda m: self._send(caller, m))
                self._channels[caller, message.exchange] = channel
                run = self._run(caller, message, channel)
                self._begin(caller, message.exchange, run)
            case Cancel(exchange):
                self._cancel(caller, exchange)
            case Ping():
                pass
            case _:
                channel = self._channels.get((caller, message.exchange))
                if channel is not None:
                    channel.deliver(message)

    def _begin(self, caller: bytes, exchange: int, work) -> None:
        task = asyncio.create_task(work)
        self._tasks[caller, exchange] = task
        task.add_done_callback(lambda t: self._end(caller, exchange, t))

    def _end(self, caller: bytes, exchange: int, task: asyncio.Task[None]) -> None:
        self._tasks.pop((caller, exchange), None)
        self._channels.pop((caller, exchange), None)
        if not task.cancelled() and (error := task.exception()):
            logger.warning("event=passing-failed error={!r}", error)

    def _cancel(self, caller: bytes, exchange: int) -> None:
        task = self._tasks.get((caller, exchange))
        if task is not None:
            task.cancel()

    async def _run(self, caller: bytes, head: RequestHead, channel: Channel) -> None:
        left = float("inf") if head.left_ms is None else head.left_ms / 1000
        request = Request(
            head.method,
            head.path,
            head.headers,
            channel.body(),
            self._clock.monotonic() + left,
            passed_on=True,
            offer_id=head.offer_id,
        )
        number = head.exchange
        try:
            async with self._pipeline(request) as response:
                answer = ResponseHead(number, response.status, response.headers)
                await self._send(caller, answer)
                await channel.send_body(response.body)
        except CranberryholdError as error:
            await self._send(caller, Failed(number, error.message))
        except Exception as error:
            logger.warning("event=passed-request-failed error={!r}", error)
            await self._send(caller, Failed(number, "the peer failed"))

    async def _send(self, caller: bytes, message: Message) -> None:
        try:
            await self._socket.send_multipart([caller, encode(message)])
        except zmq.ZMQError:
            self._forget(caller)

    def _forget(self, caller: bytes) -> None:
        """End the exchanges of a peer whose connection has ended."""
        for key, task in list(self._tasks.items()):
            if key[0] == caller:
                task.cancel()

    async def _sweep(self) -> None:
        """Find connections that have ended while nothing was sent on them."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            for caller in {caller for caller, _ in self._tasks}:
                await self._send(caller, Ping())


class _Connection:
    """A connection to one peer, with the exchanges on it."""

    def __init__(self, socket: zmq.asyncio.Socket, monitor, peer: str) -> None:
        self.is_lost = False
        self._peer = peer
        self._socket = socket
        self._monitor = monitor
        self._channels: dict[int, Channel] = {}
        self._last = 0
        self._sends: set[asyncio.Task[None]] = set()
        self._readers = [
            asyncio.create_task(self._read(), name="passing-reader"),
            asyncio.create_task(self._watch(), name="passing-watch"),
        ]

    @contextmanager
    def exchange(self) -> Iterator[Channel]:
        """Hold an exchange; one that has not ended is cancelled at the peer."""
        self._last += 1
        channel = Channel(self._last, self.send)
        self._channels[channel.number] = channel
        try:
            yield channel
        finally:
            del self._channels[channel.number]
            if not channel.is_ended:
                self.send_later(Cancel(channel.number))

    async def send(self, message: Message) -> None:
        """Send a message after those sent before.

        :raises OutcomeUnknownError: if the connection has ended.
        """
        if self.is_lost:
            raise self._lost()
        try:
            await self._socket.send(encode(message))
        except zmq.ZMQError:
            self._lose()
            raise self._lost() from None

    def send_later(self, message: Message) -> None:
        """Send a message whose loss does no harm."""

        async def send() -> None:
            with suppress(OutcomeUnknownError):
                await self.send(message)

        task = asyncio.create_task(send())
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)

    def close(self) -> None:
        """End all exchanges and the connection."""
        self._lose()
        for task in (*self._readers, *self._sends):
            task.cancel()
        self._socket.disable_monitor()
        self._monitor.close(linger=0)
        self._socket.close(linger=0)

    async def _read(self) -> None:
        while True:
            message = decode(await self._socket.recv())
            channel = self._channels.get(getattr(message, "exchange", 0))
            if channel is not None:
                channel.deliver(message)

    async def _watch(self) -> None:
        while not self.is_lost:
            frames = await self._monitor.recv_multipart()
            if parse_monitor_message(frames)["event"] == zmq.EVENT_DISCONNECTED:
                # Answers may still wait in the socket's queue: read them first.
                await asyncio.sleep(0.01)
                self._lose()

    def _lose(self) -> None:
        self.is_lost = True
        for channel in self._channels.values():
            channel.deliver(self._lost())

    def _lost(self) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            "the connection to the peer ended", step=_STEP, peer=self._peer
        )


class PeerRequestClient:
    """Reaches the peers of a target; a ``PeerClient``.

    >>> async with PeerRequestClient(keys, clock) as link:    # doctest: +SKIP
    ...     answer = await link.ask(peer, "short")
    """

    def __init__(self, keys: KeyRing, clock: Clock) -> None:
        self._pairs = curve_pairs(keys)
        self._clock = clock
        self._context = zmq.asyncio.Context()
        self._opening: dict[Address, asyncio.Task[_Connection]] = {}

    async def __aenter__(self) -> "PeerRequestClient":
        return self

    async def __aexit__(self, *exc: object) -> None:
        for opening in self._opening.values():
            opening.cancel()
            if opening.done() and not opening.cancelled() and not opening.exception():
                opening.result().close()
        await asyncio.gather(*self._opening.values(), return_exceptions=True)
        self._context.destroy(linger=0)

    async def request_slot(self, peer: Member, request_class: str) -> SlotReply:
        """Ask a peer for a slot.

        :raises PeerError: if it does not answer.
        """
        connection = await self._connection(peer)
        try:
            with connection.exchange() as channel:
                await connection.send(SlotRequest(channel.number, request_class))
                offered = await channel.receive()
                channel.is_ended = True
        except OutcomeUnknownError as error:
            raise PeerError(error.message, step="ask", peer=peer.node_id) from error
        load = Load(offered.running, offered.waiting, offered.slots)
        return SlotReply(offered.offer_id, load)

    def withdraw(self, peer: Member, offer_id: int) -> None:
        """Tell a peer that its offer will not be used."""
        opening = self._opening.get(peer_request_address(peer.control_address))
        if opening and opening.done() and not opening.exception():
            opening.result().send_later(WithdrawOffer(offer_id))

    @asynccontextmanager
    async def forward_request(
        self, peer: Member, request: Request, offer_id: int
    ) -> AsyncIterator[Response]:
        """Have a peer run a request.

        :raises PeerError: if nothing of the request was sent.
        :raises OutcomeUnknownError: if the peer was lost after that.
        """
        connection = await self._connection(peer)
        with connection.exchange() as channel:
            left = seconds_left(request.deadline, self._clock)
            head = RequestHead(
                channel.number,
                offer_id,
                request.method,
                request.path,
                request.headers,
                None if left is None else left * 1000,
            )
            await connection.send(head)
            sender = asyncio.create_task(_send_body(channel, request.body))
            try:
                answer = await channel.receive()
                yield Response(answer.status, answer.headers, channel.body())
            finally:
                sender.cancel()

    async def _connection(self, peer: Member) -> _Connection:
        address = peer_request_address(peer.control_address)
        opening = self._opening.get(address)
        if opening is not None and opening.done() and _is_over(opening):
            if not opening.cancelled() and not opening.exception():
                opening.result().close()
            opening = None
        if opening is None:
            opening = asyncio.create_task(self._open(address))
            self._opening[address] = opening
        # An ask may give up before the connection is there; the next one finds it.
        return await asyncio.shield(opening)

    async def _open(self, address: Address) -> _Connection:
        for pair in self._pairs:
            socket = self._context.socket(zmq.DEALER)
            socket.set_hwm(0)
            socket.reconnect_ivl = -1
            _set_heartbeat(socket)
            monitor = socket.get_monitor_socket()
            try:
                if await connect_client(socket, monitor, pair, address, _HANDSHAKE_S):
                    return _Connection(socket, monitor, str(address))
            except BaseException:
                _close(socket, monitor)
                raise
            _close(socket, monitor)
        raise PeerError(
            "not reached or keys refused: is the peer up, with the same key ring?",
            step="connect",
            peer=str(address),
        )


async def _send_body(channel: Channel, chunks: AsyncIterator[bytes]) -> None:
    try:
        await channel.send_body(chunks)
    except Exception as error:
        channel.deliver(error)


def _close(socket: zmq.asyncio.Socket, monitor) -> None:
    socket.disable_monitor()
    monitor.close(linger=0)
    socket.close(linger=0)


def _set_heartbeat(socket: zmq.asyncio.Socket) -> None:
    socket.heartbeat_ivl = _HEARTBEAT_MS
    socket.heartbeat_timeout = _HEARTBEAT_TIMEOUT_MS
    socket.heartbeat_ttl = _HEARTBEAT_TIMEOUT_MS


def _is_over(opening: "asyncio.Task[_Connection]") -> bool:
    return (
        opening.cancelled()
        or opening.exception() is not None
        or opening.result().is_lost
    )
