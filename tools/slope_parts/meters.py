"""How memory and processor time are measured."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass


@dataclass(slots=True)
class Measurement:
    """What was measured by the end of a context."""

    value: float = 0.0


@contextmanager
def measure_memory() -> Iterator[Measurement]:
    """Measure the bytes that are allocated in the context and kept."""
    reading = Measurement()
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
def measure_processor_time() -> Iterator[Measurement]:
    """Measure processor seconds of this process."""
    reading = Measurement()
    started = time.process_time()
    yield reading
    reading.value = time.process_time() - started


def min_processor_seconds(work: Callable[[], object], rounds: int = 5) -> float:
    """Return the least processor seconds of several runs, the least disturbed one."""
    seconds = []
    for _ in range(rounds):
        with measure_processor_time() as spent:
            work()
        seconds.append(spent.value)
    return min(seconds)
