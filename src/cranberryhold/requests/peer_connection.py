"""A connection over zmq on which a target passes requests to a peer."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import zmq
import zmq.asyncio
from loguru import logger
from msgspec import DecodeError
from zmq.utils.monitor import parse_monitor_message

from cranberryhold.exceptions import OutcomeUnknownError
from cranberryhold.requests.peer_request_messages import (
    Cancel,
    Channel,
    Message,
    decode,
    encode,
)

PASS_STEP = "pass request"


class PeerConnection:
    """A connection to one peer, which carries many exchanges.

    :param socket: connected socket; the connection closes it.
    :param monitor: socket of its events.
    :param peer: address of the peer, for errors.
    :ivar is_lost: whether it has ended.
    """

    def __init__(self, socket: zmq.asyncio.Socket, monitor, peer: str) -> None:
        self.is_lost = False
        self._peer = peer
        self._socket = socket
        self._monitor = monitor
        self._channels: dict[int, Channel] = {}
        self._last_number = 0
        self._send_tasks: set[asyncio.Task[None]] = set()
        self._readers = [
            asyncio.create_task(self._read(), name="passing-reader"),
            asyncio.create_task(self._watch_monitor(), name="passing-watch"),
        ]

    @contextmanager
    def exchange(self) -> Iterator[Channel]:
        """Open an exchange; on exit, cancel it at the peer if it has not ended."""
        self._last_number += 1
        channel = Channel(self._last_number, self.send)
        self._channels[channel.number] = channel
        try:
            yield channel
        finally:
            del self._channels[channel.number]
            if not channel.is_ended:
                self.send_in_background(Cancel(channel.number))

    async def send(self, message: Message) -> None:
        """Send a message; messages are delivered in order.

        :raises OutcomeUnknownError: if the connection has ended.
        """
        if self.is_lost:
            raise self._lost_error()
        try:
            await self._socket.send(encode(message))
        except zmq.ZMQError:
            self._mark_lost()
            raise self._lost_error() from None

    def send_in_background(self, message: Message) -> None:
        """Send a message in the background; it may be lost."""

        async def send() -> None:
            with suppress(OutcomeUnknownError):
                await self.send(message)

        task = asyncio.create_task(send())
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    def close(self) -> None:
        """End all exchanges and the connection."""
        self._mark_lost()
        for task in (*self._readers, *self._send_tasks):
            task.cancel()
        self._socket.disable_monitor()
        self._monitor.close(linger=0)
        self._socket.close(linger=0)

    async def _read(self) -> None:
        while True:
            try:
                message = decode(await self._socket.recv())
            except DecodeError as error:
                # The message may have been part of any exchange, so none of them can
                # be completed.
                logger.warning(
                    "event=passing-malformed peer={} error={!r}", self._peer, error
                )
                self._mark_lost()
                return
            channel = self._channels.get(getattr(message, "exchange", 0))
            if channel is not None:
                channel.deliver(message)

    async def _watch_monitor(self) -> None:
        while not self.is_lost:
            frames = await self._monitor.recv_multipart()
            if parse_monitor_message(frames)["event"] == zmq.EVENT_DISCONNECTED:
                # Responses may still be in the socket's queue: read them first.
                await asyncio.sleep(0.01)
                self._mark_lost()

    def _mark_lost(self) -> None:
        self.is_lost = True
        for channel in self._channels.values():
            channel.deliver(self._lost_error())

    def _lost_error(self) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            "the connection to the peer ended", step=PASS_STEP, peer=self._peer
        )
