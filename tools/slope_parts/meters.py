"""Measurement of memory and processor time."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass


@dataclass(slots=True)
class Measurement:
    """Result of a measurement; set when its context ends."""

    value: float = 0.0


@contextmanager
def measure_memory() -> Iterator[Measurement]:
    """Measure the bytes allocated in the context that are still in use at its end."""
    measurement = Measurement()
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        yield measurement
        gc.collect()
        measurement.value = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


@contextmanager
def measure_processor_time() -> Iterator[Measurement]:
    """Measure the processor time of this process in seconds."""
    measurement = Measurement()
    started = time.process_time()
    yield measurement
    measurement.value = time.process_time() - started


def min_processor_seconds(work: Callable[[], object], rounds: int = 5) -> float:
    """Return the minimum of several runs, the one least disturbed by other load."""
    seconds = []
    for _ in range(rounds):
        with measure_processor_time() as measurement:
            work()
        seconds.append(measurement.value)
    return min(seconds)
