"""Arithmetic of the request benchmark: a wrong figure would pass unnoticed."""

import asyncio
import math
import os

import pytest

from tools.bench_load import Measured, drive
from tools.bench_parts import WARM_UP_S
from tools.bench_requests import (
    Usage,
    busiest,
    merged,
    percentile,
    processor_seconds,
    rate,
    waiting_seconds,
)


@pytest.mark.parametrize(
    ("values", "share", "expected"),
    [
        (range(1, 101), 0.5, 50),
        (range(1, 101), 0.99, 99),
        (range(100, 0, -1), 0.99, 99),
        (range(1, 12), 0.99, 11),
        ((7,), 0.5, 7),
        ((7, 3), 0.5, 3),
    ],
)
def test_percentiles_are_of_the_nearest_rank(values, share, expected):
    assert percentile(values, share) == expected


def test_no_operation_gives_no_percentile_and_no_rate():
    assert math.isnan(percentile([], 0.5))
    assert rate(Measured(0.0, [], 3)) == 0.0


def test_load_processes_add_up_over_the_longest_time():
    parts = [Measured(2.0, [1.0, 2.0], 1, "t1"), Measured(1.5, [3.0, 4.0], 2, "t1")]
    assert merged(parts) == Measured(2.0, [1.0, 2.0, 3.0, 4.0], 3, "t1")
    assert rate(merged(parts)) == 2.0


def test_processor_time_is_read_behind_a_name_with_brackets():
    ticks = os.sysconf("SC_CLK_TCK")
    stat = f"7 (a) b (c) S 1 7 7 0 -1 0 9 9 9 9 {3 * ticks} {2 * ticks} 9 9 20 0 1"
    assert processor_seconds(stat) == 5.0


def test_the_busiest_process_is_named():
    usages = {"fabric": Usage(20, 5), "sidecar": Usage(40, 55), "e1": Usage(90, 0)}
    assert busiest(usages) == "sidecar"
    assert str(usages["sidecar"]) == "40+55"


def test_the_time_in_the_run_queue_is_the_second_number():
    assert waiting_seconds("204187 3150000000 2\n") == 3.15


@pytest.mark.parametrize("count", [0, 1, 500, 501, 1700])
def test_figures_survive_printing_in_lines_that_a_stream_accepts(count):
    measured = Measured(3.0, [1000 / 3 + n for n in range(count)], 2, "t1")
    lines = ["event=measuring", *measured.lines()]
    assert max(map(len, lines)) < 2**16
    assert Measured.read(lines) == measured


async def test_only_operations_that_complete_after_the_warm_up_count():
    started = 0

    async def operation() -> float:
        nonlocal started
        started += 1
        await asyncio.sleep(WARM_UP_S * 0.4)
        if started % 2 == 0:
            raise OSError
        return 0.25

    measured = await drive(operation, outstanding=1, seconds=WARM_UP_S, most=4)
    # They end at 0.4, 0.8, 1.2 and 1.6 warm-ups.
    assert measured.durations_ms == [250.0]
    assert measured.failed == 1
    assert measured.seconds == pytest.approx(0.6 * WARM_UP_S, abs=0.3 * WARM_UP_S)
