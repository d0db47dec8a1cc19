"""Dump of a process's state: over zmq for operators, and to the log on SIGUSR1."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import contextmanager

from cranberryhold.addresses import Address
from cranberryhold.control import ControlClient
from cranberryhold.exceptions import PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.logs import log_event
from cranberryhold.messages import ControlMessage

State = Callable[[], Mapping[str, object]]


class DumpRequest(ControlMessage):
    """Asks a member for its state."""


class DumpReply(ControlMessage):
    """A member's state as JSON."""

    state: bytes


def dump_handler(state: State) -> Callable[[DumpRequest], Awaitable[DumpReply]]:
    """Return the handler of :class:`DumpRequest` for a control server.

    >>> control.register(DumpRequest, dump_handler(node.state))    # doctest: +SKIP
    """

    async def handle(request: DumpRequest) -> DumpReply:
        return DumpReply(state=_as_json(state).encode())

    return handle


async def request_dump(
    keys: KeyRing, address: Address, timeout_s: float
) -> dict[str, object]:
    """Ask the member with this control address for its state.

    :raises PeerError: if it does not answer.
    """
    async with ControlClient(keys) as client:
        reply = await client.call(address, DumpRequest(), timeout_s)
    if not isinstance(reply, DumpReply):
        raise PeerError(
            f"answered with {type(reply).__name__} instead of its state",
            step="dump",
            peer=str(address),
        )
    return json.loads(reply.state)


@contextmanager
def dump_on_signal(state: State) -> Iterator[None]:
    """Log the state at each SIGUSR1 inside the context."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, _log_state, state)
    try:
        yield
    finally:
        loop.remove_signal_handler(signal.SIGUSR1)


def _log_state(state: State) -> None:
    log_event("state-dump", state=_as_json(state))


def _as_json(state: State) -> str:
    return json.dumps(state(), default=str, separators=(",", ":"))
