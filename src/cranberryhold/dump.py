"""Dump of a process's state: as a control call, and to the log on SIGUSR1."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import contextmanager

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.logs import log_event
from cranberryhold.membership.control import ControlClient
from cranberryhold.membership.messages import ControlMessage

StateGetter = Callable[[], Mapping[str, object]]


class DumpRequest(ControlMessage):
    """Request for the state of a member."""


class DumpReply(ControlMessage):
    """State of a member as JSON."""

    state: bytes


def dump_handler(state: StateGetter) -> Callable[[DumpRequest], Awaitable[DumpReply]]:
    """Return the handler of :class:`DumpRequest` for a control server.

    >>> control.register(DumpRequest, dump_handler(node.state))    # doctest: +SKIP
    """

    async def handle(request: DumpRequest) -> DumpReply:
        return DumpReply(state=_state_json(state).encode())

    return handle


async def request_dump(
    keys: KeyRing, address: Address, timeout_s: float
) -> dict[str, object]:
    """Request the state of the member at a control address.

    :raises PeerError: if the member does not answer.
    """
    async with ControlClient(keys) as client:
        reply = await client.call(address, DumpRequest(), timeout_s)
    if not isinstance(reply, DumpReply):
        raise PeerError(
            f"unexpected reply of type {type(reply).__name__} to a state dump request",
            step="dump",
            peer=str(address),
        )
    return json.loads(reply.state)


@contextmanager
def dump_on_signal(state: StateGetter) -> Iterator[None]:
    """Log the state on each SIGUSR1 inside the context."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, _log_state, state)
    try:
        yield
    finally:
        loop.remove_signal_handler(signal.SIGUSR1)


def _log_state(state: StateGetter) -> None:
    log_event("state-dump", state=_state_json(state))


def _state_json(state: StateGetter) -> str:
    return json.dumps(state(), default=str, separators=(",", ":"))
