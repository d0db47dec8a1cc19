"""Forwards requests between the targets of a service, over zmq with CURVE.

Each target listens on a TCP port of its own for this, so that bodies do not delay
control calls. zmq's automatic reconnect is off: messages queued on the lost
connection would arrive after their outcome has been reported as unknown.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import zmq
import zmq.asyncio
from loguru import logger
from msgspec import DecodeError

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock
from cranberryhold.exceptions import (
    CranberryholdError,
    OutcomeUnknownError,
    PeerError,
)
from cranberryhold.keys import KeyRing
from cranberryhold.membership.curve import (
    bind_server,
    connect_client,
    curve_authentication,
    derive_key_pair,
    derive_key_pairs,
)
from cranberryhold.membership.members import Member
from cranberryhold.requests.admission import Load
from cranberryhold.requests.bodies import seconds_left
from cranberryhold.requests.exchange import Request, Response
from cranberryhold.requests.peer_connection import PeerConnection
from cranberryhold.requests.peer_pool import SlotReply
from cranberryhold.requests.peer_request_messages import (
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
from cranberryhold.requests.pipeline import RequestPipeline

_CURVE_DOMAIN = "cranberryhold-passing"
_HANDSHAKE_TIMEOUT_S = 1.0
_HEARTBEAT_INTERVAL_MS = 1000
_HEARTBEAT_TIMEOUT_MS = 3000
_PING_INTERVAL_S = 1.0


def peer_request_address(control_address: Address) -> Address:
    """Return where a target takes forwarded requests.

    It is the TCP port after that of its control address.
    """
    return Address(control_address.ip, control_address.port + 1)


class PeerRequestServer:
    """Receives slot requests and forwarded requests and hands them to the pipeline.

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
        """Number of exchanges with peers in progress."""
        return len(self._tasks)

    @contextmanager
    def serving(self) -> Iterator["PeerRequestServer"]:
        """Serve peers inside the context.

        :raises PeerError: if the address can't be bound.
        """
        context = zmq.asyncio.Context()
        tasks: list[asyncio.Task[None]] = []
        try:
            with curve_authentication(
                context, _CURVE_DOMAIN, derive_key_pairs(self._keys)
            ):
                self._socket = self._bind(context)
                tasks = [
                    asyncio.create_task(self._serve(), name="passing-server"),
                    asyncio.create_task(self._ping_peers(), name="passing-sweep"),
                ]
                yield self
        finally:
            for task in [*tasks, *self._tasks.values()]:
                task.cancel()
            context.destroy(linger=200)

    def _bind(self, context: zmq.asyncio.Context) -> zmq.asyncio.Socket:
        socket = context.socket(zmq.ROUTER)
        # A ROUTER drops messages above its high-water mark, which would truncate a
        # body. The queues are bounded by credit instead.
        socket.set_hwm(0)
        socket.router_mandatory = True
        _enable_heartbeats(socket)
        key_pair = derive_key_pair(self._keys, self._keys.primary_key_id)
        self._address = bind_server(
            socket, key_pair, _CURVE_DOMAIN, self._address, step="bind passing server"
        )
        return socket

    async def _serve(self) -> None:
        while True:
            peer_id, *frames = await self._socket.recv_multipart()
            try:
                self._handle(peer_id, decode(frames[0]))
            except (DecodeError, IndexError):
                logger.warning("event=passing-malformed peer={}", peer_id.hex())

    def _handle(self, peer_id: bytes, message: Message) -> None:
        match message:
            case SlotRequest(exchange, request_class):
                reply = self._pipeline.offer_slot(request_class)
                load = reply.load
                response = SlotResponse(
                    exchange, reply.offer_id, load.running, load.waiting, load.slots
                )
                self._start_task(peer_id, exchange, self._send(peer_id, response))
            case WithdrawOffer(offer_id):
                self._pipeline.withdraw_offer(offer_id)
            case RequestHead():
                channel = Channel(message.exchange, lambda m: self._send(peer_id, m))
                self._channels[peer_id, message.exchange] = channel
                run = self._run(peer_id, message, channel)
                self._start_task(peer_id, message.exchange, run)
            case Cancel(exchange):
                self._cancel(peer_id, exchange)
            case Ping():
                pass
            case _:
                channel = self._channels.get((peer_id, message.exchange))
                if channel is not None:
                    channel.deliver(message)

    def _start_task(self, peer_id: bytes, exchange: int, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks[peer_id, exchange] = task
        task.add_done_callback(lambda t: self._finish(peer_id, exchange, t))

    def _finish(self, peer_id: bytes, exchange: int, task: asyncio.Task[None]) -> None:
        self._tasks.pop((peer_id, exchange), None)
        self._channels.pop((peer_id, exchange), None)
        if not task.cancelled() and (error := task.exception()):
            logger.warning("event=passing-failed error={!r}", error)

    def _cancel(self, peer_id: bytes, exchange: int) -> None:
        task = self._tasks.get((peer_id, exchange))
        if task is not None:
            task.cancel()

    async def _run(self, peer_id: bytes, head: RequestHead, channel: Channel) -> None:
        left = float("inf") if head.time_left_ms is None else head.time_left_ms / 1000
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
                response_head = ResponseHead(number, response.status, response.headers)
                await self._send(peer_id, response_head)
                await channel.send_body(response.body)
        except CranberryholdError as error:
            await self._send(peer_id, Failed(number, error.message))
        except Exception as error:
            logger.warning("event=passed-request-failed error={!r}", error)
            await self._send(peer_id, Failed(number, "the peer failed"))

    async def _send(self, peer_id: bytes, message: Message) -> None:
        try:
            await self._socket.send_multipart([peer_id, encode(message)])
        except zmq.ZMQError:
            self._cancel_all(peer_id)

    def _cancel_all(self, peer_id: bytes) -> None:
        """Cancel the exchanges of a peer whose connection has ended."""
        for key, task in list(self._tasks.items()):
            if key[0] == peer_id:
                task.cancel()

    async def _ping_peers(self) -> None:
        """Ping the peers with running exchanges, to detect lost connections."""
        while True:
            await asyncio.sleep(_PING_INTERVAL_S)
            for peer_id in {peer_id for peer_id, _ in self._tasks}:
                await self._send(peer_id, Ping())


class PeerRequestClient:
    """Sends requests to the peers of a target over zmq; a ``PeerClient``.

    >>> async with PeerRequestClient(keys, clock) as client:    # doctest: +SKIP
    ...     reply = await client.request_slot(peer, "short")
    """

    def __init__(self, keys: KeyRing, clock: Clock) -> None:
        self._key_pairs = derive_key_pairs(keys)
        self._clock = clock
        self._context = zmq.asyncio.Context()
        self._connections: dict[Address, asyncio.Task[PeerConnection]] = {}

    async def __aenter__(self) -> "PeerRequestClient":
        return self

    async def __aexit__(self, *exc: object) -> None:
        for connect_task in self._connections.values():
            connect_task.cancel()
            if (
                connect_task.done()
                and not connect_task.cancelled()
                and not connect_task.exception()
            ):
                connect_task.result().close()
        await asyncio.gather(*self._connections.values(), return_exceptions=True)
        self._context.destroy(linger=0)

    async def request_slot(self, peer: Member, request_class: str) -> SlotReply:
        """Request a slot from a peer.

        :raises PeerError: if it does not reply.
        """
        connection = await self._connect_to(peer)
        try:
            with connection.exchange() as channel:
                await connection.send(SlotRequest(channel.number, request_class))
                response = await channel.receive()
                channel.is_ended = True
        except OutcomeUnknownError as error:
            raise PeerError(error.message, step="ask", peer=peer.node_id) from error
        load = Load(response.running, response.waiting, response.slots)
        return SlotReply(response.offer_id, load)

    def withdraw(self, peer: Member, offer_id: int) -> None:
        """Tell a peer that its offer will not be used."""
        connect_task = self._connections.get(peer_request_address(peer.control_address))
        if connect_task and connect_task.done() and not _has_ended(connect_task):
            connect_task.result().send_in_background(WithdrawOffer(offer_id))

    @asynccontextmanager
    async def forward_request(
        self, peer: Member, request: Request, offer_id: int
    ) -> AsyncIterator[Response]:
        """Forward a request to a peer, which runs it.

        :raises PeerError: if nothing of the request was sent.
        :raises OutcomeUnknownError: if the connection was lost after that.
        """
        connection = await self._connect_to(peer)
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
                response = await channel.receive()
                yield Response(response.status, response.headers, channel.body())
            finally:
                sender.cancel()

    async def _connect_to(self, peer: Member) -> PeerConnection:
        address = peer_request_address(peer.control_address)
        connect_task = self._connections.get(address)
        if (
            connect_task is not None
            and connect_task.done()
            and _has_ended(connect_task)
        ):
            if not connect_task.cancelled() and not connect_task.exception():
                connect_task.result().close()
            connect_task = None
        if connect_task is None:
            connect_task = asyncio.create_task(self._connect(address))
            self._connections[address] = connect_task
        # Shielded: if this caller gives up first, the connection serves the next one.
        return await asyncio.shield(connect_task)

    async def _connect(self, address: Address) -> PeerConnection:
        for key_pair in self._key_pairs:
            socket = self._context.socket(zmq.DEALER)
            socket.set_hwm(0)
            socket.reconnect_ivl = -1
            _enable_heartbeats(socket)
            monitor = socket.get_monitor_socket()
            try:
                if await connect_client(
                    socket, monitor, key_pair, address, _HANDSHAKE_TIMEOUT_S
                ):
                    return PeerConnection(socket, monitor, str(address))
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


def _enable_heartbeats(socket: zmq.asyncio.Socket) -> None:
    socket.heartbeat_ivl = _HEARTBEAT_INTERVAL_MS
    socket.heartbeat_timeout = _HEARTBEAT_TIMEOUT_MS
    socket.heartbeat_ttl = _HEARTBEAT_TIMEOUT_MS


def _has_ended(connect_task: "asyncio.Task[PeerConnection]") -> bool:
    return (
        connect_task.cancelled()
        or connect_task.exception() is not None
        or connect_task.result().is_lost
    )
