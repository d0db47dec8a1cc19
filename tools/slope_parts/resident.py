"""Resident memory of a process, by the number of members that it knows."""

import subprocess
import sys
from collections.abc import Iterator

from tools.slope_parts.fits import Slope

_COUNTS = (500, 2000, 7430)
_TIMEOUT_S = 60.0
_PROGRAM = """
import os, sys
import cranberryhold.daemon
from tools.slope_parts.state import known_members
known = known_members(int(sys.argv[1]), int(sys.argv[2]))
pages = int(open("/proc/self/statm").read().split()[1])
print(pages * os.sysconf("SC_PAGE_SIZE"))
"""


def slopes(seed: int) -> Iterator[Slope]:
    """Yield the size of a process that has loaded the daemons' modules, by members."""
    points = tuple((n, _resident_bytes(seed, n)) for n in _COUNTS)
    yield Slope("process.memory", "bytes", "member", points)


def _resident_bytes(seed: int, members: int) -> float:
    completed = subprocess.run(
        [sys.executable, "-c", _PROGRAM, str(seed), str(members)],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=True,
    )
    return float(completed.stdout)
