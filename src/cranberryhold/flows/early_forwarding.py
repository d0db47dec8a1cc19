"""Handles packets while the rest of a daemon is still being imported.

On an entry machine's share of a core, importing asyncio and the modules that use it
takes several tenths of a second; open flows would stall for that time after a restart.
"""

from __future__ import annotations

import time

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from typing import Protocol

    from cranberryhold.flows.leased_store import BootstrapState
    from cranberryhold.flows.poller import Poller
    from cranberryhold.flows.udp import SocketHandler
else:
    Protocol = object

# Longest time between two checks for statuses and for the end of the first reading.
POLL_INTERVAL_S = 0.02
# Until the first flows can be placed, modules are not imported for this time, as
# that would delay them. It is several times as long as the store and the sidecars of
# the zone take to answer.
MAX_LOAD_DELAY_S = 0.05
# Callers' packets stay in their socket until they can be forwarded, as a caller repeats
# a packet that is discarded only after 0.2 s. They would be late after that.
MAX_HOLD_S = 0.15
_END = object()


class DaemonCore(Protocol):
    """The part of a daemon that works without an event loop."""

    def apply_initial_state(self, state: BootstrapState) -> None:
        """Apply the first state that was read from the store."""

    def announce(self) -> None:
        """Send the status of this member to all others."""

    def can_place_flows(self) -> bool:
        """Whether packets can be forwarded, including those that open a flow."""

    def read_statuses(self) -> None:
        """Handle the regular statuses that have arrived."""


class EarlySidecar(Protocol):
    """The part of a sidecar that works without an event loop."""

    def send_status(self) -> float:
        """Send the target's status to the entry instances whose turn it is.

        :return: seconds until the next call is due.
        """

    def serve_waiting(self) -> None:
        """Serve the queue of openings if some wait."""


class StoreReading(Protocol):
    """A read of the configuration and the members that is under way."""

    @property
    def state(self) -> BootstrapState | None:
        """What was read, None before the end or if it failed."""

    def is_finished(self) -> bool:
        """Whether the read has ended; ends it at its deadline."""


def import_modules(names: Iterable[str]) -> Iterator[None]:
    """Import modules one by one, and yield after each of them."""
    for name in names:
        __import__(name)
        yield


def forward_while_loading(
    core: DaemonCore,
    handlers: list[SocketHandler],
    poller: Poller,
    reading: StoreReading,
    loading: Iterator[None],
) -> BootstrapState | None:
    """Forward packets until modules are imported and the store has been read.

    All packets that have arrived are handled before each import. If a thread imported
    the modules, each system call of the forwarding thread would have to wait until the
    interpreter switches threads.

    :param core: the daemon.
    :param handlers: open sockets and the callbacks for their datagrams; that of
        callers' packets is the last one.
    :param poller: waits for the store, and for the sockets.
    :param reading: the first read of the store.
    :param loading: imports a module before it yields.
    :return: the state that was read from the store, or None.
    """
    for socket, handler in handlers[:-1]:
        poller.add_reader(socket.fileno(), socket.read, handler)
    held = handlers[-1:]
    started_at = time.monotonic()
    is_loaded = is_applied = False
    while not (is_loaded and is_applied):
        if not is_applied and reading.is_finished():
            is_applied = True
            if reading.state is not None:
                core.apply_initial_state(reading.state)
                core.announce()
        core.read_statuses()
        can_place = core.can_place_flows()
        waited_s = time.monotonic() - started_at
        if held and (can_place or waited_s > MAX_HOLD_S):
            socket, handler = held.pop()
            poller.add_reader(socket.fileno(), socket.read, handler)
        # Without the store, a configuration comes from a peer, which needs asyncio.
        is_alone = is_applied and reading.state is None
        may_load = not is_loaded and (
            can_place or is_alone or waited_s > MAX_LOAD_DELAY_S
        )
        poller.poll(0 if may_load else POLL_INTERVAL_S)
        if may_load:
            is_loaded = next(loading, _END) is _END
    return reading.state


def serve_target_while_loading(
    core: EarlySidecar,
    handlers: list[SocketHandler],
    poller: Poller,
    loading: Iterator[None],
) -> None:
    """Deliver packets and answer heartbeats until modules are imported.

    :param core: the sidecar.
    :param handlers: open sockets and the callbacks for their datagrams.
    :param poller: waits for the target's requests, and for the sockets.
    :param loading: imports a module before it yields.
    """
    for socket, handler in handlers:
        poller.add_reader(socket.fileno(), socket.read, handler)
    status_due_at = time.monotonic()
    is_loaded = False
    while not is_loaded:
        if time.monotonic() >= status_due_at:
            status_due_at = time.monotonic() + core.send_status()
        poller.poll(0)
        core.serve_waiting()
        is_loaded = next(loading, _END) is _END
