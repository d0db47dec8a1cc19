"""Calculations of the request benchmark, whose errors its output would not show."""

import asyncio
import math
import os

import pytest

from tools.bench_load import LoadResult, run_load
from tools.bench_parts import WARM_UP_S
from tools.bench_requests import (
    ProcessorUsage,
    busiest,
    combine_results,
    operations_per_s,
    parse_processor_time_s,
    parse_run_queue_time_s,
    percentile,
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
def test_percentile_uses_the_nearest_rank_method(values, share, expected):
    assert percentile(values, share) == expected


def test_percentile_and_rate_without_operations():
    assert math.isnan(percentile([], 0.5))
    assert operations_per_s(LoadResult(0.0, [], 3)) == 0.0


def test_combined_rate_uses_the_longest_measurement():
    results = [
        LoadResult(2.0, [1.0, 2.0], 1, "t1"),
        LoadResult(1.5, [3.0, 4.0], 2, "t1"),
    ]
    assert combine_results(results) == LoadResult(2.0, [1.0, 2.0, 3.0, 4.0], 3, "t1")
    assert operations_per_s(combine_results(results)) == 2.0


def test_processor_time_with_parentheses_in_the_process_name():
    ticks = os.sysconf("SC_CLK_TCK")
    stat = f"7 (a) b (c) S 1 7 7 0 -1 0 9 9 9 9 {3 * ticks} {2 * ticks} 9 9 20 0 1"
    assert parse_processor_time_s(stat) == 5.0


def test_busiest_process_has_the_highest_sum_of_running_and_waiting():
    usages = {
        "fabric": ProcessorUsage(20, 5),
        "sidecar": ProcessorUsage(40, 55),
        "e1": ProcessorUsage(90, 0),
    }
    assert busiest(usages) == "sidecar"
    assert str(usages["sidecar"]) == "40+55"


def test_run_queue_time_is_the_second_field_of_schedstat():
    assert parse_run_queue_time_s("204187 3150000000 2\n") == 3.15


@pytest.mark.parametrize("count", [0, 1, 500, 501, 1700])
def test_result_round_trips_through_lines_below_the_stream_limit(count):
    result = LoadResult(3.0, [1000 / 3 + n for n in range(count)], 2, "t1")
    lines = ["event=measuring", *result.lines()]
    assert max(map(len, lines)) < 2**16
    assert LoadResult.parse(lines) == result


async def test_operations_that_complete_during_the_warm_up_are_not_recorded():
    started = 0

    async def operation() -> float:
        nonlocal started
        started += 1
        await asyncio.sleep(WARM_UP_S * 0.4)
        if started % 2 == 0:
            raise OSError
        return 0.25

    result = await run_load(
        operation, outstanding=1, seconds=WARM_UP_S, max_operations=4
    )
    # The operations complete at 0.4, 0.8, 1.2 and 1.6 times the warm-up.
    assert result.durations_ms == [250.0]
    assert result.failed == 1
    assert result.seconds == pytest.approx(0.6 * WARM_UP_S, abs=0.3 * WARM_UP_S)
