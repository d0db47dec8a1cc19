"""How memory and processor time are measured."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass


@dataclass(slots=True)
class Reading:
    """What was measured by the end of a context."""

    value: float = 0.0


@contextmanager
def memory() -> Iterator[Reading]:
    """Measure the bytes that are allocated in the context and kept."""
    reading = Reading()
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        yield reading
        gc.collect()
        reading.value = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


@contextmanager
def processor() -> Iterator[Reading]:
    """Measure processor seconds of this process."""
    reading = Reading()
    started = time.process_time()
    yield reading
    reading.value = time.process_time() - started


def fastest(work: Callable[[], object], rounds: int = 5) -> float:
    """Return the least processor seconds of several runs, the least disturbed one."""
    seconds = []
    for _ in range(rounds):
        with processor() as spent:
            work()
        seconds.append(spent.value)
    return min(seconds)
