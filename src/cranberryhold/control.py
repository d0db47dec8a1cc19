"""Calls between members over zmq ROUTER and DEALER sockets with CURVE.

A server admits holders of the key pair that it listens with; see
:mod:`cranberryhold.curve`.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import zmq
import zmq.asyncio
from loguru import logger
from msgspec import Struct

from cranberryhold.addresses import Address
from cranberryhold.background_tasks import TaskSet
from cranberryhold.curve import (
    CurveKeyPair,
    bind_server,
    connect_client,
    curve_authentication,
    derive_key_pair,
    derive_key_pairs,
)
from cranberryhold.exceptions import CranberryholdError, PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.messages import ControlMessage, Failure, decode_call, encode_call

Handler = Callable[[ControlMessage], Awaitable[ControlMessage]]

IDLE_TIMEOUT_S = 30.0
"""Seconds after which an unused connection is closed; gossip picks peers at random,
so most connections are not needed again soon."""

MAX_MESSAGE_BYTES = 4 << 20
HIGH_WATER_MARK = 1000
CALLS_IN_PROGRESS = 512
"""Calls that a server works on at once; more wait in the socket's queue."""

_DOMAIN = "cranberryhold"
_HANDSHAKE_S = 2.0


class ControlServer:
    """Answers calls at a TCP address.

    Handlers are looked up by the type of the message; more may be registered while
    the server runs. A handler's exception reaches the caller as a
    :class:`~cranberryhold.exceptions.PeerError`.

    :param address: where to listen; port 0 lets the operating system choose.
    :param handlers: coroutine function by type of the message.
    """

    def __init__(
        self,
        keys: KeyRing,
        address: Address,
        handlers: dict[type[Struct], Handler] | None = None,
    ) -> None:
        self._keys = keys
        self._address = address
        self._handlers: dict[type[Struct], Handler] = dict(handlers or {})
        self._slots = asyncio.Semaphore(CALLS_IN_PROGRESS)
        self._answers = TaskSet(CALLS_IN_PROGRESS + 1)
        self.answered = 0
        self.failed = 0
        self.sent_bytes = 0

    @property
    def address(self) -> Address:
        """Address at which the server listens."""
        return self._address

    def register(self, kind: type[Struct], handler: Handler) -> None:
        """Add the handler of a type of message, or replace it."""
        self._handlers[kind] = handler

    @asynccontextmanager
    async def serving(self) -> AsyncIterator["ControlServer"]:
        """Serve calls inside the context.

        :raises PeerError: if the address can't be bound.
        """
        context = zmq.asyncio.Context()
        pair = derive_key_pair(self._keys, self._keys.primary_key_id)
        socket = context.socket(zmq.ROUTER)
        _limit(socket)
        try:
            with curve_authentication(context, _DOMAIN, [pair]):
                try:
                    self._address = bind_server(
                        socket, pair, _DOMAIN, self._address, step="bind control server"
                    )
                    self._answers.start(self._serve(socket))
                    yield self
                finally:
                    await self._answers.cancel()
                    socket.close(linger=200)
        finally:
            context.destroy(linger=200)

    async def _serve(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            await self._slots.acquire()
            frames = await socket.recv_multipart()
            task = self._answers.start(self._answer(socket, frames))
            task.add_done_callback(lambda _: self._slots.release())

    async def _answer(self, socket: zmq.asyncio.Socket, frames: list[bytes]) -> None:
        if len(frames) != 4:
            self.failed += 1
            return
        caller, number, name, data = frames
        try:
            answer = await self._handle(decode_call(name, data))
            self.answered += 1
        except CranberryholdError as error:
            self.failed += 1
            answer = Failure(message=str(error))
        except Exception:
            self.failed += 1
            logger.exception("event=handler-failed message={}", name.decode())
            answer = Failure(message="internal error")
        frames = [caller, number, *encode_call(answer)]
        self.sent_bytes += sum(map(len, frames))
        with suppress(zmq.ZMQError):
            await socket.send_multipart(frames)

    async def _handle(self, message: ControlMessage) -> ControlMessage:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise PeerError(
                f"no handler for {type(message).__name__} at this member",
                step="handle call",
                peer=str(self._address),
            )
        return await handler(message)


class _Connection:
    """One DEALER socket with the task that reads its answers."""

    def __init__(self, socket: zmq.asyncio.Socket, now: float) -> None:
        self.socket = socket
        self.used_at = now
        self.waiting: dict[bytes, asyncio.Future[list[bytes]]] = {}
        self._serial = 0
        self._reader = asyncio.create_task(self._read(), name="control-reader")

    async def _read(self) -> None:
        while True:
            frames = await self.socket.recv_multipart()
            future = self.waiting.pop(frames[0], None)
            if future is not None and not future.done() and len(frames) == 3:
                future.set_result(frames)

    async def call(self, message: ControlMessage) -> ControlMessage:
        self._serial += 1
        number = self._serial.to_bytes(8, "big")
        future = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        try:
            await self.socket.send_multipart([number, *encode_call(message)])
            _, name, data = await future
        finally:
            self.waiting.pop(number, None)
        return decode_call(name, data)

    def close(self) -> None:
        self._reader.cancel()
        self.socket.close(linger=0)


class ControlClient:
    """Calls other members; keeps one connection per peer while it is in use.

    >>> async with ControlClient(keys) as client:    # doctest: +SKIP
    ...     answer = await client.call(address, message, timeout_s=1.0)
    """

    def __init__(
        self, keys: KeyRing, *, idle_timeout_s: float = IDLE_TIMEOUT_S
    ) -> None:
        self._pairs = derive_key_pairs(keys)
        self._idle_s = idle_timeout_s
        self._context = zmq.asyncio.Context()
        self._connections: dict[Address, _Connection] = {}
        self._opening: dict[Address, asyncio.Lock] = {}
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def __aenter__(self) -> "ControlClient":
        self._sweeper = asyncio.create_task(self._sweep(), name="control-idle")
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._sweeper.cancel()
        for address in list(self._connections):
            self._drop(address)
        self._context.destroy(linger=0)

    async def call(
        self, address: Address, message: ControlMessage, timeout_s: float
    ) -> ControlMessage:
        """Send a message to the member at ``address`` and return its answer.

        :param timeout_s: seconds for the connection and the answer together.
        :raises PeerError: with the step that failed: ``connect``, ``await answer``
            or ``remote handler``.
        """
        step = "connect"
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connection(address)
                step = "await answer"
                answer = await connection.call(message)
        except TimeoutError:
            if step == "await answer":
                self._drop_if_unused(address, connection)
            raise PeerError(
                f"no answer within {timeout_s:g} s", step=step, peer=str(address)
            ) from None
        except zmq.ZMQError as error:
            self._drop(address)
            raise PeerError(error.strerror, step=step, peer=str(address)) from error
        if isinstance(answer, Failure):
            raise PeerError(answer.message, step="remote handler", peer=str(address))
        return answer

    async def _connection(self, address: Address) -> _Connection:
        async with self._opening.setdefault(address, asyncio.Lock()):
            connection = self._connections.get(address)
            if connection is None:
                socket = await self._connect(address)
                connection = _Connection(socket, self._now())
                self._connections[address] = connection
        connection.used_at = self._now()
        return connection

    async def _connect(self, address: Address) -> zmq.asyncio.Socket:
        for pair in self._pairs:
            socket = self._context.socket(zmq.DEALER)
            _limit(socket)
            try:
                if await self._handshake(socket, pair, address):
                    return socket
            except BaseException:
                socket.close(linger=0)
                raise
            socket.close(linger=0)
        raise PeerError(
            "not reached or keys refused: is the member up, with the same key ring?",
            step="connect",
            peer=str(address),
        )

    async def _handshake(
        self, socket: zmq.asyncio.Socket, pair: CurveKeyPair, address: Address
    ) -> bool:
        monitor = socket.get_monitor_socket()
        try:
            return await connect_client(socket, monitor, pair, address, _HANDSHAKE_S)
        finally:
            socket.disable_monitor()

    def _drop(self, address: Address) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()

    def _drop_if_unused(self, address: Address, connection: _Connection) -> None:
        """Close a connection that did not answer, so that the next call reconnects."""
        if not connection.waiting and self._connections.get(address) is connection:
            self._drop(address)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(self._idle_s / 2)
            limit = self._now() - self._idle_s
            for address, connection in list(self._connections.items()):
                if connection.used_at <= limit and not connection.waiting:
                    self._drop(address)
                    self._opening.pop(address, None)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _limit(socket: zmq.asyncio.Socket) -> None:
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.set_hwm(HIGH_WATER_MARK)
    socket.setsockopt(zmq.LINGER, 200)
