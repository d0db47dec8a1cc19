"""UDP sockets that are read in batches."""

from __future__ import annotations

import _socket as socket

from cranberryhold.addresses import Address
from cranberryhold.flows.telemetry import Telemetry

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TypeAlias

SocketHandler: TypeAlias = "tuple[UdpSocket, Callable[[bytes, bytes], None]]"
"""An open socket, and the callback for its datagrams and their packed IPv4 senders."""

MAX_DATAGRAM_BYTES = 2048
# Bounds the time for which other tasks of the process have to wait.
MAX_BATCH = 64
# Bounds the work of one call that empties a socket.
MAX_BATCHES = 16
# Buffers the packets of a few hundred milliseconds while the process is not running.
RECEIVE_BUFFER_BYTES = 1 << 20


class UdpSocket:
    """A bound socket that drops and counts datagrams it can't send immediately.

    :param sock: bound, non-blocking socket.
    :param telemetry: counts dropped datagrams.
    """

    def __init__(self, sock: socket.socket, telemetry: Telemetry) -> None:
        self._sock = sock
        self._telemetry = telemetry

    def send(self, datagram: bytes, ip: bytes, port: int) -> None:
        """Send a datagram to a packed IPv4 address and a port."""
        try:
            self._sock.sendto(datagram, (socket.inet_ntoa(ip), port))
        except OSError as error:
            self._telemetry.count("datagrams_unsent")
            self._telemetry.flow_event(
                "send-failed", peer=f"{socket.inet_ntoa(ip)}:{port}", error=error
            )

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    def __enter__(self) -> UdpSocket:
        return self

    def __exit__(self, *_exception: object) -> None:
        self.close()

    def fileno(self) -> int:
        """Return the file descriptor, for an event loop or a selector."""
        return self._sock.fileno()

    def read_all(self, handler: Callable[[bytes, bytes], None]) -> None:
        """Call ``handler`` with all pending datagrams, see :meth:`read`."""
        for _ in range(MAX_BATCHES):
            if self.read(handler) < MAX_BATCH:
                return

    def read(self, handler: Callable[[bytes, bytes], None]) -> int:
        """Call ``handler`` with each pending datagram and its sender's packed address.

        Returns after one batch, so that other tasks can run.

        :return: number of datagrams.
        """
        receive = self._sock.recvfrom
        for number in range(MAX_BATCH):
            try:
                datagram, sender = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return number
            except OSError as error:
                self._telemetry.count("receive_errors")
                self._telemetry.flow_event("receive-failed", error=error)
                return number
            try:
                handler(datagram, socket.inet_aton(sender[0]))
            except Exception as error:
                # A packet that causes an error must not affect other packets.
                self._telemetry.count("packet_faults")
                self._telemetry.flow_event(
                    "packet-fault", error=f"{type(error).__name__}: {error}"
                )
        return MAX_BATCH


class SocketGroup:
    """Sockets that are closed together at the end of a context.

    The value of the context is :attr:`handlers`.

    :param telemetry: counts dropped datagrams.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self.handlers: list[SocketHandler] = []
        self._telemetry = telemetry
        self._sockets: list[UdpSocket] = []

    def open(self, address: Address) -> UdpSocket:
        """Open a socket; if that fails, close all sockets."""
        try:
            opened = open_udp(address, self._telemetry)
        except OSError:
            self.close()
            raise
        self._sockets.append(opened)
        return opened

    def close(self) -> None:
        """Close all sockets."""
        for opened in self._sockets:
            opened.close()

    def __enter__(self) -> list[SocketHandler]:
        return self.handlers

    def __exit__(self, *_exception: object) -> None:
        self.close()


def open_udp(address: Address, telemetry: Telemetry) -> UdpSocket:
    """Return a bound socket, which is closed after its context."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((address.ip, address.port))
    except OSError:
        sock.close()
        raise
    return UdpSocket(sock, telemetry)
