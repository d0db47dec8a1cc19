"""Dump of a process's state: as a control call, and to the log on SIGUSR1.

Flow daemons serve their state over HTTP instead.
"""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import contextmanager

from cranberryhold.addresses import Address
from cranberryhold.exceptions import DECODE_ERRORS, PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.logs import log_event
from cranberryhold.membership.control import ControlClient
from cranberryhold.membership.messages import ControlMessage

STATE_PATH = "/state"
MAX_STATE_BYTES = 1 << 20

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


async def request_flow_state(address: Address, timeout_s: float) -> dict[str, object]:
    """Request the state of the flow daemon at a peer address.

    :raises PeerError: if the daemon does not answer with its state.
    """
    from cranberryhold.flows.http_client import HttpClient

    response = await HttpClient(address, MAX_STATE_BYTES).call(
        "GET", STATE_PATH, b"", timeout_s
    )
    try:
        state = json.loads(response.body) if response.status == 200 else None
    except DECODE_ERRORS:
        state = None
    if not isinstance(state, dict):
        raise PeerError(
            f"no state in the response with status {response.status}; give the peer "
            "address of a flow daemon of this version",
            step="dump",
            peer=str(address),
        )
    return state


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
