"""Tasks of a process: one per duty, restarted after a fault, and short-lived ones."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager

from loguru import logger

from cranberryhold.clock import Clock

RESTART_DELAY_S = 1.0

BackgroundTask = Callable[[], Awaitable[None]]


@asynccontextmanager
async def running_tasks(clock: Clock, *duties: BackgroundTask) -> AsyncIterator[None]:
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


async def _perform(clock: Clock, duty: BackgroundTask) -> None:
    while True:
        try:
            await duty()
            return
        except Exception:
            logger.exception("event=duty-failed duty={}", duty.__qualname__)
            await clock.sleep(RESTART_DELAY_S)


class TaskSet:
    """Short-lived tasks that end with their owner.

    :param limit: tasks that may run at the same time.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def full(self) -> bool:
        """Whether the limit is reached."""
        return len(self._tasks) >= self._limit

    def start(self, errand: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task."""
        task = asyncio.create_task(errand)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
