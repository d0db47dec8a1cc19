"""Long-running tasks of a process: one per duty, restarted after a fault."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from loguru import logger

from cranberryhold.clock import Clock

RESTART_S = 1.0

Duty = Callable[[], Awaitable[None]]


@asynccontextmanager
async def performing(clock: Clock, *duties: Duty) -> AsyncIterator[None]:
    """Run each duty as a task inside the context; cancel them at its end.

    A duty that raises is logged and starts again after a second, so that one fault
    does not end the process.
    """
    tasks = [asyncio.create_task(_perform(clock, duty)) for duty in duties]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _perform(clock: Clock, duty: Duty) -> None:
    while True:
        try:
            await duty()
            return
        except Exception:
            logger.exception("event=duty-failed duty={}", duty.__qualname__)
            await clock.sleep(RESTART_S)
