"""Forwards packets while the rest of a daemon is still being loaded.

On a frontend's share of a core, loading asyncio and what builds on it takes several
tenths of a second, during which open flows would stand still after a restart.
"""

import select
from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Event, Thread
from typing import Protocol

from cranberryhold.flows.leased_store import BootstrapState
from cranberryhold.flows.udp import UdpSocket

# Longest until what the loading thread has read is put into effect.
POLL_S = 0.02
# The same under a load of packets.
ADOPTED_WITHIN_S = 0.5

SocketHandler = tuple[UdpSocket, Callable[[bytes, bytes], None]]
"""An open socket, and what takes its datagrams with their senders' packed IPv4."""


class Core(Protocol):
    """A daemon's state and reactions."""

    def apply_initial_state(self, reading: BootstrapState) -> None:
        """Take what the store holds at the start."""

    def send_status(self) -> int:
        """Tell the other members of this one; return how many."""


def forward_while_loading(
    core: Core,
    readers: list[SocketHandler],
    read_store: Callable[[], BootstrapState | None],
    load: Callable[[], None],
) -> BootstrapState | None:
    """Forward packets until ``load`` has returned in a thread of its own.

    :param core: state and reactions of the daemon; used by this thread only.
    :param readers: open sockets and what takes their datagrams.
    :param read_store: reads configuration and members, waiting for the answers.
    :param load: imports the rest of the program.
    :return: what was read from the store, or None.
    """
    read: SimpleQueue[BootstrapState | None] = SimpleQueue()

    adopted = Event()

    def work() -> None:
        read.put(read_store())
        # Loading would slow the other thread down just then.
        adopted.wait(ADOPTED_WITHIN_S)
        load()

    thread = Thread(target=work, daemon=True)
    thread.start()
    by_descriptor = {socket.fileno(): (socket, take) for socket, take in readers}
    reading: BootstrapState | None = None
    while thread.is_alive():
        for descriptor in select.select(list(by_descriptor), [], [], POLL_S)[0]:
            socket, take = by_descriptor[descriptor]
            socket.read(take)
        try:
            reading = read.get_nowait()
        except Empty:
            continue
        if reading is not None:
            core.apply_initial_state(reading)
            core.send_status()
        adopted.set()
    return reading
