"""Ports for tests and tools, outside the range from which the kernel assigns ports.

A socket of any process that is bound to all addresses occupies its port at each of
them. If a test closed a port of the kernel's range and bound it again, such a socket
could have been given it in between.
"""

from collections.abc import Iterator
from random import Random

_PORTS = range(12_000, 32_000)


def candidate_ports() -> Iterator[int]:
    """Yield ports in random order, endlessly; they may be in use."""
    random = Random()
    while True:
        yield random.choice(_PORTS)
