"""Measures how much of its network link an instance uses, without any I/O."""

from math import exp

# Averages over several bursts of a caller's window, and reacts before its flows are
# retransmitted for the second time.
AVERAGING_S = 0.3
# Shows whether the link is full for longer than a burst.
LASTING_AVERAGING_S = 1.0
# IPv4 and UDP headers of a datagram.
HEADER_BYTES = 28


class ByteRate:
    """An exponentially weighted average of a byte rate.

    :param averaging_s: time constant in seconds.
    """

    def __init__(self, averaging_s: float) -> None:
        self._averaging_s = averaging_s
        self._bytes = 0.0
        self._updated_at = 0.0

    def add(self, size: int, now: float) -> None:
        """Count bytes that were sent or received."""
        self._decay(now)
        self._bytes += size

    def per_second(self, now: float) -> float:
        """Return the average in bytes per second."""
        self._decay(now)
        return self._bytes / self._averaging_s

    def _decay(self, now: float) -> None:
        if now > self._updated_at:
            self._bytes *= exp((self._updated_at - now) / self._averaging_s)
            self._updated_at = now


class LinkLoad:
    """The load of a full-duplex link.

    :param capacity_bytes_s: bytes per second in each direction, None if unknown.
    """

    def __init__(self, capacity_bytes_s: float | None) -> None:
        self._capacity_bytes_s = capacity_bytes_s
        self._received = ByteRate(AVERAGING_S)
        self._sent = ByteRate(AVERAGING_S)
        self._lasting_received = ByteRate(LASTING_AVERAGING_S)

    def record_received(self, datagram_bytes: int, now: float) -> None:
        """Count a received datagram."""
        self._received.add(datagram_bytes + HEADER_BYTES, now)
        self._lasting_received.add(datagram_bytes + HEADER_BYTES, now)

    def record_sent(self, datagram_bytes: int, now: float) -> None:
        """Count a sent datagram."""
        self._sent.add(datagram_bytes + HEADER_BYTES, now)

    def utilization(self, now: float) -> float:
        """Return the load of the busier direction; 0 if the capacity is unknown.

        Datagrams that wait for the link are counted when they are sent, so the result
        may exceed 1.
        """
        rate = max(self._received.per_second(now), self._sent.per_second(now))
        return self._share_of_capacity(rate)

    def lasting_utilization(self, now: float) -> float:
        """Return the load by received datagrams, averaged over a longer time."""
        return self._share_of_capacity(self._lasting_received.per_second(now))

    def _share_of_capacity(self, bytes_s: float) -> float:
        return bytes_s / self._capacity_bytes_s if self._capacity_bytes_s else 0.0
