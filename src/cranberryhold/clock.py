"""Clock abstraction that lets tests run time-dependent code in virtual time."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time; all values are seconds."""

    def monotonic(self) -> float:
        """Return a time that never decreases; its origin is arbitrary."""

    def wall(self) -> float:
        """Return the time since the Unix epoch."""

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """The clock of the running event loop.

    Monotonic time is that of the event loop, so this clock follows a loop that runs
    in virtual time. Wall time is the loop's time plus the offset measured when the
    clock was created.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def monotonic(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return seconds since the Unix epoch, advancing with the loop's time."""
        return self.monotonic() + self._offset

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds of the loop's time."""
        await asyncio.sleep(seconds)
