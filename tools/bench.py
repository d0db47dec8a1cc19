"""Benchmark of the data path: packets per second and routing cost per packet.

The entry instance and two forwarders that only copy packets run concurrently as
separate processes, each with its own source and sink, so that the load of the machine
affects all three alike.
"""

import argparse
import asyncio
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import ExitStack

from cranberryhold.addresses import Address
from cranberryhold.datapath.placement import MaglevTable
from cranberryhold.datapath.routing import Router
from cranberryhold.datapath.targets import TargetTables
from cranberryhold.membership.members import Member, MemberTable, Role
from tools.bench_parts import KEYS, SERVICE, first_packet, flow_packet
from tools.bench_requests import print_tables
from tools.tables import Table

MIN_RATIO = 0.7
_PORT = 21000
_START_LIMIT_S = 30.0
_FORWARDERS = ("entry", "plain", "batched")


def _start_part(stack: ExitStack, part: str, **options: object) -> subprocess.Popen:
    arguments = [f"--{name}={value}" for name, value in options.items()]
    process = subprocess.Popen(
        [sys.executable, "-m", "tools.bench_parts", part, *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.callback(process.wait)
    stack.callback(process.terminate)
    return process


def measure_packet_rates(direction: str, seconds: float) -> dict[str, float]:
    """Return packets per second through each forwarder, all run concurrently."""
    sinks = {}
    with ExitStack() as stack:
        for number, part in enumerate(_FORWARDERS):
            port = _PORT + 10 * number
            listen, sink = Address("127.0.0.1", port), Address("127.0.1.1", port + 5)
            sinks[part] = _start_part(stack, "sink", port=sink.port, seconds=seconds)
            extra = {"port": sink.port} if part == "entry" else {"to": sink}
            _start_part(stack, part, listen=listen, **extra)
            # The entry instance receives replies at its forward address: the next port.
            replies_to_entry = part == "entry" and direction == "reply"
            to = Address(listen.ip, port + 1) if replies_to_entry else listen
            _start_part(stack, "source", direction=direction, to=to, port=sink.port)
        return {
            part: float(sink.communicate(timeout=seconds + _START_LIMIT_S)[0])
            for part, sink in sinks.items()
        }


def throughput(rounds: int, seconds: float) -> Table:
    """Return a table of packets per second through each forwarder."""
    table = Table(
        f"Packets a second, 200-byte packets, medians of {rounds} runs side by side",
        (
            "packets",
            "entry",
            "plain asyncio",
            "batched",
            "entry/plain",
            "entry/batched",
        ),
    )
    for direction in ("request", "reply"):
        runs = [measure_packet_rates(direction, seconds) for _ in range(rounds)]

        def median(value: Callable[[dict[str, float]], float], runs=runs) -> float:
            return statistics.median(value(run) for run in runs)

        table.add(
            direction,
            *(round(median(lambda run, p=part: run[p])) for part in _FORWARDERS),
            median(lambda run: run["entry"] / run["plain"]),
            median(lambda run: run["entry"] / run["batched"]),
        )
    return table


def routing_cost() -> Table:
    """Return a table of the time per routing decision by targets and flows."""
    table = Table(
        "Routing cost per packet, microseconds (fastest of 5 runs)",
        (
            "targets",
            "services",
            "flows",
            "short header",
            "first packet",
            "table rebuild ms",
        ),
    )
    for size in (
        (10, 1, 1_000),
        (1_000, 1, 1_000),
        (6_500, 1, 1_000),
        (1_000, 650, 1_000),
        (6_500, 650, 1_000),
        (6_500, 650, 50_000),
    ):
        table.add(*size, *_measure_routing(*size))
    return table


def _measure_routing(
    targets: int, services: int, count: int
) -> tuple[float, float, float]:
    names = [SERVICE, *(f"s{number}" for number in range(1, services))]
    addresses = [
        Address(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 443) for n in range(targets)
    ]
    members = MemberTable()
    for number, address in enumerate(addresses):
        name = names[number % services]
        members.merge(
            Member(f"t{number}", Role.SIDECAR, "z", "r", address, address, name)
        )
    tables = TargetTables(members, _RealClock())
    tables.set_services(names)
    tables.refresh()
    router, service = Router(KEYS, tables), tables[SERVICE]
    service_targets = addresses[::services]
    flow_packets = [
        flow_packet(service_targets[n % len(service_targets)], n) for n in range(count)
    ]
    first_packets = [first_packet(n) for n in range(count)]

    def route_all(packets: list[bytes]) -> None:
        for packet in packets:
            router.route(service, packet)

    return (
        _min_duration_s(lambda: route_all(flow_packets)) / count * 1e6,
        _min_duration_s(lambda: route_all(first_packets)) / count * 1e6,
        _min_duration_s(lambda: MaglevTable(service.table.weights)) * 1e3,
    )


class _RealClock:
    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


def _min_duration_s(operation: Callable[[], object]) -> float:
    durations = []
    for _ in range(5):
        started = time.perf_counter()
        operation()
        durations.append(time.perf_counter() - started)
    return min(durations)


def main() -> None:
    """Print the tables; the exit code is 1 if the ratio is below the minimum."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    print(routing_cost(), end="\n\n", flush=True)
    table = throughput(options.rounds, options.seconds)
    print(table, end="\n\n")
    ratios = [row[4] for row in table.rows]
    met = min(ratios) >= MIN_RATIO
    print(f"entry/plain at least {MIN_RATIO}: {'yes' if met else 'no'}", end="\n\n")
    asyncio.run(print_tables())
    sys.exit(0 if met else 1)


if __name__ == "__main__":
    main()
