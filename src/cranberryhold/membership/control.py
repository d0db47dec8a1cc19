"""Remote calls between members, over ZeroMQ ROUTER and DEALER sockets with CURVE.

A server accepts only clients that hold the key pair it listens with; see
:mod:`cranberryhold.membership.curve`.
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
from cranberryhold.exceptions import CranberryholdError, PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.membership.curve import (
    CurveKeyPair,
    bind_server,
    connect_client,
    curve_authentication,
    derive_key_pair,
    derive_key_pairs,
)
from cranberryhold.membership.messages import (
    ControlMessage,
    Failure,
    decode_call,
    encode_call,
)

Handler = Callable[[ControlMessage], Awaitable[ControlMessage]]

IDLE_TIMEOUT_S = 30.0
"""Seconds after which an idle connection is closed.

Gossip picks peers at random, so most connections are not needed again soon.
"""

MAX_MESSAGE_BYTES = 4 << 20
HIGH_WATER_MARK = 1000
MAX_CONCURRENT_CALLS = 512
"""Calls that a server handles concurrently; more wait in the socket's queue."""

_DOMAIN = "cranberryhold"
_HANDSHAKE_TIMEOUT_S = 2.0


class ControlServer:
    """Handles calls that arrive at a TCP address.

    The handler of a call is looked up by the message type; handlers may be registered
    while the server runs. An exception in a handler is raised at the caller as a
    :class:`~cranberryhold.exceptions.PeerError`.

    :param address: address to listen on; port 0 lets the operating system choose.
    :param handlers: coroutine function by message type.
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
        self._call_limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._tasks = TaskSet(MAX_CONCURRENT_CALLS + 1)
        self.answered = 0
        self.failed = 0
        self.sent_bytes = 0

    @property
    def address(self) -> Address:
        """Address that the server listens on."""
        return self._address

    def register(self, message_type: type[Struct], handler: Handler) -> None:
        """Add or replace the handler of a message type."""
        self._handlers[message_type] = handler

    @asynccontextmanager
    async def serving(self) -> AsyncIterator["ControlServer"]:
        """Serve calls inside the context.

        :raises PeerError: if the address can't be bound.
        """
        context = zmq.asyncio.Context()
        key_pair = derive_key_pair(self._keys, self._keys.primary_key_id)
        socket = context.socket(zmq.ROUTER)
        _set_limits(socket)
        try:
            with curve_authentication(context, _DOMAIN, [key_pair]):
                try:
                    self._address = bind_server(
                        socket,
                        key_pair,
                        _DOMAIN,
                        self._address,
                        step="bind control server",
                    )
                    self._tasks.start(self._serve(socket))
                    yield self
                finally:
                    await self._tasks.cancel()
                    socket.close(linger=200)
        finally:
            context.destroy(linger=200)

    async def _serve(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            await self._call_limit.acquire()
            frames = await socket.recv_multipart()
            task = self._tasks.start(self._handle_call(socket, frames))
            task.add_done_callback(lambda _: self._call_limit.release())

    async def _handle_call(
        self, socket: zmq.asyncio.Socket, frames: list[bytes]
    ) -> None:
        if len(frames) != 4:
            self.failed += 1
            return
        caller, call_id, name, data = frames
        try:
            answer = await self._dispatch(decode_call(name, data))
            self.answered += 1
        except CranberryholdError as error:
            self.failed += 1
            answer = Failure(message=str(error))
        except Exception:
            self.failed += 1
            logger.exception("event=handler-failed message={}", name.decode())
            answer = Failure(message="internal error")
        frames = [caller, call_id, *encode_call(answer)]
        self.sent_bytes += sum(map(len, frames))
        with suppress(zmq.ZMQError):
            await socket.send_multipart(frames)

    async def _dispatch(self, message: ControlMessage) -> ControlMessage:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise PeerError(
                f"no handler for {type(message).__name__} at this member",
                step="handle call",
                peer=str(self._address),
            )
        return await handler(message)


class _Connection:
    """A DEALER socket and the task that reads its answers."""

    def __init__(self, socket: zmq.asyncio.Socket, now: float) -> None:
        self.socket = socket
        self.last_used = now
        self.pending: dict[bytes, asyncio.Future[list[bytes]]] = {}
        self._last_call_id = 0
        self._read_task = asyncio.create_task(
            self._read_answers(), name="control-reader"
        )

    async def _read_answers(self) -> None:
        while True:
            frames = await self.socket.recv_multipart()
            future = self.pending.pop(frames[0], None)
            if future is not None and not future.done() and len(frames) == 3:
                future.set_result(frames)

    async def call(self, message: ControlMessage) -> ControlMessage:
        self._last_call_id += 1
        call_id = self._last_call_id.to_bytes(8, "big")
        future = asyncio.get_running_loop().create_future()
        self.pending[call_id] = future
        try:
            await self.socket.send_multipart([call_id, *encode_call(message)])
            _, name, data = await future
        finally:
            self.pending.pop(call_id, None)
        return decode_call(name, data)

    def close(self) -> None:
        self._read_task.cancel()
        self.socket.close(linger=0)


class ControlClient:
    """Calls other members, over one connection per peer that is closed when idle.

    >>> async with ControlClient(keys) as client:    # doctest: +SKIP
    ...     answer = await client.call(address, message, timeout_s=1.0)
    """

    def __init__(
        self, keys: KeyRing, *, idle_timeout_s: float = IDLE_TIMEOUT_S
    ) -> None:
        self._key_pairs = derive_key_pairs(keys)
        self._idle_timeout_s = idle_timeout_s
        self._context = zmq.asyncio.Context()
        self._connections: dict[Address, _Connection] = {}
        self._connect_locks: dict[Address, asyncio.Lock] = {}
        self._idle_task: asyncio.Task[None] | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def __aenter__(self) -> "ControlClient":
        self._idle_task = asyncio.create_task(self._close_idle(), name="control-idle")
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._idle_task.cancel()
        for address in list(self._connections):
            self._close(address)
        self._context.destroy(linger=0)

    async def call(
        self, address: Address, message: ControlMessage, timeout_s: float
    ) -> ControlMessage:
        """Send a message to the member at ``address`` and return its answer.

        :param timeout_s: seconds for connecting and the answer together.
        :raises PeerError: with the step that failed: ``connect``, ``await answer``
            or ``remote handler``.
        """
        step = "connect"
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._get_connection(address)
                step = "await answer"
                answer = await connection.call(message)
        except TimeoutError:
            if step == "await answer":
                self._close_if_unused(address, connection)
            raise PeerError(
                f"no answer within {timeout_s:g} s", step=step, peer=str(address)
            ) from None
        except zmq.ZMQError as error:
            self._close(address)
            raise PeerError(error.strerror, step=step, peer=str(address)) from error
        if isinstance(answer, Failure):
            raise PeerError(answer.message, step="remote handler", peer=str(address))
        return answer

    async def _get_connection(self, address: Address) -> _Connection:
        async with self._connect_locks.setdefault(address, asyncio.Lock()):
            connection = self._connections.get(address)
            if connection is None:
                socket = await self._connect(address)
                connection = _Connection(socket, self._loop_time())
                self._connections[address] = connection
        connection.last_used = self._loop_time()
        return connection

    async def _connect(self, address: Address) -> zmq.asyncio.Socket:
        for key_pair in self._key_pairs:
            socket = self._context.socket(zmq.DEALER)
            _set_limits(socket)
            try:
                if await self._handshake(socket, key_pair, address):
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
        self, socket: zmq.asyncio.Socket, key_pair: CurveKeyPair, address: Address
    ) -> bool:
        monitor = socket.get_monitor_socket()
        try:
            return await connect_client(
                socket, monitor, key_pair, address, _HANDSHAKE_TIMEOUT_S
            )
        finally:
            socket.disable_monitor()

    def _close(self, address: Address) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()

    def _close_if_unused(self, address: Address, connection: _Connection) -> None:
        """Close a connection without an answer, so that the next call reconnects."""
        if not connection.pending and self._connections.get(address) is connection:
            self._close(address)

    async def _close_idle(self) -> None:
        while True:
            await asyncio.sleep(self._idle_timeout_s / 2)
            oldest = self._loop_time() - self._idle_timeout_s
            for address, connection in list(self._connections.items()):
                if connection.last_used <= oldest and not connection.pending:
                    self._close(address)
                    self._connect_locks.pop(address, None)

    @staticmethod
    def _loop_time() -> float:
        return asyncio.get_running_loop().time()


def _set_limits(socket: zmq.asyncio.Socket) -> None:
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.set_hwm(HIGH_WATER_MARK)
    socket.setsockopt(zmq.LINGER, 200)
