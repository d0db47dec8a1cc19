"""Background tasks of a process: long-running ones that restart, and short ones."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager

from loguru import logger

from cranberryhold.clock import Clock

RESTART_DELAY_S = 1.0

BackgroundTask = Callable[[], Awaitable[None]]


@asynccontextmanager
async def running_tasks(
    clock: Clock, *functions: BackgroundTask
) -> AsyncIterator[None]:
    """Run each function as a task inside the context; cancel the tasks at its end.

    An exception in a function is logged and the function is called again after a
    second, so that one fault does not end the process.
    """
    tasks = [asyncio.create_task(_run_with_restart(clock, f)) for f in functions]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run_with_restart(clock: Clock, function: BackgroundTask) -> None:
    while True:
        try:
            await function()
            return
        except Exception:
            logger.exception("event=duty-failed duty={}", function.__qualname__)
            await clock.sleep(RESTART_DELAY_S)


class TaskSet:
    """Short-lived tasks that are cancelled together.

    :param limit: number of running tasks at which the set counts as full.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def full(self) -> bool:
        """Whether the limit is reached."""
        return len(self._tasks) >= self._limit

    def start(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait for them to end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
