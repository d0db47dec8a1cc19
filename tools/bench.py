"""Benchmark of the data path: packets a second and routing cost per packet.

The entry instance and two forwarders that only copy packets run at the same time
as separate processes, each with its own source and sink, so that they meet the
same conditions of the machine.
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
from cranberryhold.members import Member, MemberTable, Role
from cranberryhold.placement import MaglevTable
from cranberryhold.routing import Router
from cranberryhold.targets import TargetTables
from tools.bench_parts import KEYS, SERVICE, first_packet, flow_packet
from tools.bench_requests import print_tables
from tools.tables import Table

TARGET_RATIO = 0.7
_PORT = 21000
_START_LIMIT_S = 30.0
_FORWARDERS = ("entry", "plain", "batched")


def _start(stack: ExitStack, part: str, **options: object) -> subprocess.Popen:
    arguments = [f"--{name}={value}" for name, value in options.items()]
    process = subprocess.Popen(
        [sys.executable, "-m", "tools.bench_parts", part, *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.callback(process.wait)
    stack.callback(process.terminate)
    return process


def rates(direction: str, seconds: float) -> dict[str, float]:
    """Return packets a second through each forwarder, all run at the same time."""
    sinks = {}
    with ExitStack() as stack:
        for number, part in enumerate(_FORWARDERS):
            port = _PORT + 10 * number
            listen, sink = Address("127.0.0.1", port), Address("127.0.1.1", port + 5)
            sinks[part] = _start(stack, "sink", port=sink.port, seconds=seconds)
            extra = {"port": sink.port} if part == "entry" else {"to": sink}
            _start(stack, part, listen=listen, **extra)
            # Replies go to the forward address, which has the next port.
            replies_to_entry = part == "entry" and direction == "reply"
            to = Address(listen.ip, port + 1) if replies_to_entry else listen
            _start(stack, "source", direction=direction, to=to, port=sink.port)
        return {
            part: float(sink.communicate(timeout=seconds + _START_LIMIT_S)[0])
            for part, sink in sinks.items()
        }


def throughput(rounds: int, seconds: float) -> Table:
    """Return packets a second through the entry instance and the forwarders."""
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
        runs = [rates(direction, seconds) for _ in range(rounds)]

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
    """Return the time per routing decision by targets, services and flows."""
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
        table.add(*size, *_costs(*size))
    return table


def _costs(targets: int, services: int, count: int) -> tuple[float, float, float]:
    names = [SERVICE, *(f"s{number}" for number in range(1, services))]
    addresses = [
        Address(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 443) for n in range(targets)
    ]
    members = MemberTable()
    for number, where in enumerate(addresses):
        name = names[number % services]
        members.merge(Member(f"t{number}", Role.SIDECAR, "z", "r", where, where, name))
    tables = TargetTables(members, _PlainClock())
    tables.set_services(names)
    tables.refresh()
    router, service = Router(KEYS, tables), tables[SERVICE]
    own = addresses[::services]
    flows = [flow_packet(own[n % len(own)], n) for n in range(count)]
    firsts = [first_packet(n) for n in range(count)]

    def route_all(packets: list[bytes]) -> None:
        for packet in packets:
            router.route(service, packet)

    return (
        _fastest(lambda: route_all(flows)) / count * 1e6,
        _fastest(lambda: route_all(firsts)) / count * 1e6,
        _fastest(lambda: MaglevTable(service.table.weights)) * 1e3,
    )


class _PlainClock:
    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


def _fastest(work: Callable[[], object]) -> float:
    durations = []
    for _ in range(5):
        started = time.perf_counter()
        work()
        durations.append(time.perf_counter() - started)
    return min(durations)


def main() -> None:
    """Print the tables; the exit code is 1 if the ratio is below the target."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    print(routing_cost(), end="\n\n", flush=True)
    table = throughput(options.rounds, options.seconds)
    print(table, end="\n\n")
    ratios = [row[4] for row in table.rows]
    met = min(ratios) >= TARGET_RATIO
    print(f"entry/plain at least {TARGET_RATIO}: {'yes' if met else 'no'}", end="\n\n")
    asyncio.run(print_tables())
    sys.exit(0 if met else 1)


if __name__ == "__main__":
    main()
