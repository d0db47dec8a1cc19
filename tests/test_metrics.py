"""Metrics: aggregated between batches, with bounded datagrams and memory."""

import asyncio
import socket

import looptime
import pytest

from cranberryhold.addresses import Address
from cranberryhold.clock import SystemClock
from cranberryhold.metrics import (
    FLUSH_INTERVAL_S,
    MAX_DATAGRAM_BYTES,
    MAX_TIMINGS_PER_INTERVAL,
    NoMetrics,
    StatsdMetrics,
    flatten_numbers,
    sending_metrics,
)


@pytest.fixture
def statsd() -> socket.socket:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5.0)
        yield receiver


def address_of(receiver: socket.socket) -> Address:
    return Address(*receiver.getsockname())


def test_values_are_aggregated_between_batches(statsd: socket.socket) -> None:
    metrics = StatsdMetrics(address_of(statsd), "app")
    for _ in range(1000):
        metrics.count("packets")
        metrics.gauge("flows", 7)
    metrics.timing("request", 0.25)
    metrics.close()
    lines = statsd.recv(65536).decode().splitlines()
    assert lines == [
        "app.packets:1000|c",
        "app.flows:7|g",
        "app.request:250.000000|ms",
    ]


def test_datagram_size_and_number_of_timings_are_bounded(
    statsd: socket.socket,
) -> None:
    metrics = StatsdMetrics(address_of(statsd), "app")
    for _ in range(MAX_TIMINGS_PER_INTERVAL + 5):
        metrics.timing("request", 0.001)
    metrics.close()
    lines: list[str] = []
    while len(lines) < MAX_TIMINGS_PER_INTERVAL + 1:
        datagram = statsd.recv(65536)
        assert len(datagram) <= MAX_DATAGRAM_BYTES
        lines += datagram.decode().splitlines()
    assert "app.metrics.timings_left_out:5|c" in lines


def test_numbers_of_a_state_are_sent_each_interval(statsd: socket.socket) -> None:
    async def scenario() -> None:
        state = {"flows": 3, "dropped": {"no target": 1}, "node": "x", "list": [1]}
        address = address_of(statsd)
        async with sending_metrics(address, "entry.1", SystemClock(), lambda: state):
            await asyncio.sleep(FLUSH_INTERVAL_S + 1)
            lines = statsd.recv(65536).decode().splitlines()
        assert lines == [
            "cranberryhold.entry_1.flows:3.0|g",
            "cranberryhold.entry_1.dropped.no_target:1.0|g",
        ]

    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(scenario())


async def test_without_statsd_nothing_is_sent() -> None:
    async with sending_metrics(None, "entry-1", SystemClock()) as metrics:
        assert isinstance(metrics, NoMetrics)
        metrics.count("packets")


def test_booleans_of_a_state_are_numbers_and_lists_are_skipped() -> None:
    assert list(flatten_numbers({"a": {"b": True, "c": [1]}, "d": 2})) == [
        ("a.b", 1.0),
        ("d", 2.0),
    ]
