"""UDP sockets that are read in batches."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from cranberryhold.addresses import Address
from cranberryhold.flows.telemetry import Telemetry

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


@contextmanager
def open_udp(address: Address, telemetry: Telemetry) -> Iterator[UdpSocket]:
    """Yield a bound socket, and close it afterwards."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((address.ip, address.port))
        yield UdpSocket(sock, telemetry)
    finally:
        sock.close()
