"""Benchmark of the whole path: new flows a second, and requests a second.

Fabric, entry instances, sidecars, upstreams and the load run as separate processes
on loopback. Run it alone as ``python -m tools.bench_requests``.
"""

import argparse
import asyncio
import math
import os
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from cranberryhold.addresses import Address
from tools.bench_load import Measured
from tools.bench_parts import WARM_UP_S
from tools.demo_site import CORE, ENTRY_IPS, Site, running_site
from tools.processes import (
    ProcessManager,
    RunningProcess,
    free_addresses,
    process_manager,
)
from tools.tables import Table

LOAD_PROCESSES = (1, 4)
FLOWS_OUTSTANDING = 16
MEASURED_S = 2.0
OUTSTANDING_REQUESTS = (1, 16)
# As many slots as requests outstanding, so that the path is measured, not a queue.
UPSTREAM_SLOTS = max(OUTSTANDING_REQUESTS)
_ENTRIES, _TARGETS = ENTRY_IPS[:2], ("t1", "t2")
# The sidecars read the number of slots from the health endpoint.
_SETTLE_S = 3.0
_READY_LIMIT_S = 20.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least this share of the values is up to."""
    if not values:
        return math.nan
    return sorted(values)[max(0, math.ceil(share * len(values)) - 1)]


def merged(parts: Sequence[Measured]) -> Measured:
    """Return the figures of load processes that ran at the same time."""
    return Measured(
        max(part.seconds for part in parts),
        [duration for part in parts for duration in part.durations_ms],
        sum(part.failed for part in parts),
        parts[0].instance,
    )


def rate(measured: Measured) -> float:
    """Return completed operations a second."""
    if not measured.durations_ms:
        return 0.0
    return len(measured.durations_ms) / measured.seconds


def processor_seconds(stat: str) -> float:
    """Return user and system time from the text of ``/proc/<pid>/stat``.

    Source: proc(5). The process name may hold spaces and brackets.
    """
    values = stat.rpartition(")")[2].split()
    return (int(values[11]) + int(values[12])) / _TICKS_PER_S


@dataclass(frozen=True, slots=True)
class Usage:
    """Percentage of the time that a process ran, and that it waited for a processor.

    A process that waits is as much a bottleneck as one that runs: both are about 100
    together when the process has no spare time.
    """

    running: float
    waiting: float

    def __str__(self) -> str:
        return f"{self.running:.0f}+{self.waiting:.0f}"


def waiting_seconds(schedstat: str) -> float:
    """Return the time in the run queue from the text of ``/proc/<pid>/schedstat``.

    Source: Linux documentation, scheduler/sched-stats. It is that of the main thread.
    """
    return int(schedstat.split()[1]) / 1e9


def busiest(usages: Mapping[str, Usage]) -> str:
    """Return the name of the process with the least spare time."""
    return max(usages, key=lambda name: usages[name].running + usages[name].waiting)


class ProcessorTimes:
    """Processor time of processes that this program started, since the creation."""

    def __init__(self, watched: Mapping[str, RunningProcess]) -> None:
        self._watched = watched
        self._started = time.monotonic()
        self._before = self._read()

    def usages(self) -> dict[str, Usage]:
        """Return how each process has used the time."""
        elapsed_s = time.monotonic() - self._started
        return {
            name: Usage(
                *(
                    100 * (after - before) / elapsed_s
                    for before, after in zip(self._before[name], now, strict=True)
                )
            )
            for name, now in self._read().items()
        }

    def _read(self) -> dict[str, tuple[float, float]]:
        def text(process: RunningProcess, name: str) -> str:
            return Path(f"/proc/{process.pid}/{name}").read_text()

        return {
            name: (
                processor_seconds(text(process, "stat")),
                waiting_seconds(text(process, "schedstat")),
            )
            for name, process in self._watched.items()
        }


async def loaded(
    site: Site, count: int, part: str, **options: object
) -> tuple[Measured, dict[str, Usage]]:
    """Run load processes; return their figures and how each process used the time.

    The load processes wait for the end of their input before they exit, so their
    processor time can be read after the figures.
    """
    arguments = [f"--{name}={value}" for name, value in options.items()]
    loads = {
        f"load {number + 1}": await site.processes.start(
            "load", "tools.bench_load", part, *arguments
        )
        for number in range(count)
    }
    await asyncio.gather(
        *(p.wait_for_output("event=measuring") for p in loads.values())
    )
    times = ProcessorTimes(_site_processes(site) | loads)
    await asyncio.gather(*(p.wait_for_output("event=measured") for p in loads.values()))
    usages = times.usages()
    for process in loads.values():
        process.write_line("")
        await process.wait_ended()
    return merged([Measured.read(p.lines) for p in loads.values()]), usages


def _site_processes(site: Site) -> dict[str, RunningProcess]:
    sidecars = {f"sidecar {name}": t.sidecar for name, t in site.targets.items()}
    upstreams = {f"upstream {name}": t.upstream for name, t in site.targets.items()}
    return {"fabric": site.fabric, **site.entries, **sidecars, **upstreams}


async def new_flows(site: Site, seconds: float) -> Table:
    """Return connections opened and closed a second, by load processes."""
    names = list(_site_processes(site))[: 1 + len(_ENTRIES) + len(_TARGETS)]
    table = Table(
        f"New flows a second, {len(_ENTRIES)} entry instances, {len(_TARGETS)} "
        f"sidecars, {FLOWS_OUTSTANDING} flows outstanding per load process; "
        "% of the time: running + waiting for a processor",
        (
            *("load processes", "flows/s", "flows/s per sidecar", "failed"),
            *("open p50 ms", "open p99 ms", "load 1", *names),
            "busiest",
        ),
    )
    for count in LOAD_PROCESSES:
        measured, usages = await loaded(
            site,
            count,
            "flows",
            url=f"https://{site.services[CORE]}",
            outstanding=FLOWS_OUTSTANDING,
            seconds=seconds,
        )
        table.add(
            count,
            round(rate(measured)),
            round(rate(measured) / len(_TARGETS)),
            measured.failed,
            percentile(measured.durations_ms, 0.5),
            percentile(measured.durations_ms, 0.99),
            usages["load 1"],
            *(usages[name] for name in names),
            busiest(usages),
        )
    return table


async def requests(site: Site, seconds: float) -> Table:
    """Return requests a second through the path and directly to the upstream."""
    table = Table(
        "Requests on open connections, one load process; direct: HTTP/1.1 to the "
        "same upstream",
        (
            *("way", "outstanding", "requests/s", "failed", "p50 ms", "p99 ms"),
            *("busiest", "running + waiting %"),
        ),
    )
    for outstanding in OUTSTANDING_REQUESTS:
        common = {"outstanding": outstanding, "seconds": seconds}
        path, usages = await loaded(
            site, 1, "requests", url=f"https://{site.services[CORE]}", **common
        )
        upstream = site.targets[path.instance].address
        direct, direct_usages = await loaded(
            site, 1, "direct", url=f"http://{upstream}", **common
        )
        whole, plain = _row(path, usages), _row(direct, direct_usages)
        table.add("path", outstanding, *whole)
        table.add("direct", outstanding, *plain)
        added = (whole[n] - plain[n] for n in (2, 3))
        table.add("added by path", outstanding, "", "", *added, "", "")
    return table


def _row(measured: Measured, usages: dict[str, Usage]) -> tuple[object, ...]:
    return (
        round(rate(measured)),
        measured.failed,
        percentile(measured.durations_ms, 0.5),
        percentile(measured.durations_ms, 0.99),
        busiest(usages),
        usages[busiest(usages)],
    )


async def first_packets(seconds: float) -> Table:
    """Return first packets a second that one entry instance forwards."""
    table = Table(
        "First packets a second (distinct Initial packets of 1,200 bytes), one "
        "sender; % of the time: running + waiting for a processor",
        ("forwarder", "packets/s", "sender", "forwarder", "sink"),
    )
    for forwarder in ("none", "plain", "entry"):
        async with process_manager() as started:
            table.add(forwarder, *await _first_packets(started, forwarder, seconds))
    return table


async def _first_packets(
    started: ProcessManager, forwarder: str, seconds: float
) -> tuple[object, ...]:
    async def start(part: str, **options: object) -> RunningProcess:
        arguments = [f"--{name}={value}" for name, value in options.items()]
        return await started.start(part, "tools.bench_parts", part, *arguments)

    listen, last = free_addresses(2)
    sink_address = Address("127.0.1.1", last.port)
    watched = {"sink": await start("sink", port=last.port, seconds=seconds)}
    if forwarder != "none":
        extra = {"port": last.port} if forwarder == "entry" else {"to": sink_address}
        watched["forwarder"] = await start(forwarder, listen=listen, **extra)
    to = sink_address if forwarder == "none" else listen
    watched["sender"] = await start("source", direction="first", to=to)
    # The sink prints its figure when it ends, and its time has to be read before.
    await asyncio.sleep(2 * WARM_UP_S)
    times = ProcessorTimes(watched)
    await asyncio.sleep(seconds / 2)
    usages = times.usages()
    await watched["sink"].wait_ended()
    packets = float(watched["sink"].lines[-1])
    return (
        round(packets),
        usages["sender"],
        usages.get("forwarder", ""),
        usages["sink"],
    )


async def _ready(site: Site) -> None:
    """Put the manifest into force and let the upstreams answer at once."""
    await site.apply(CORE)
    async with asyncio.timeout(_READY_LIMIT_S):
        while (await site.status(1)).exit_code != 0:
            pass
    for target in site.targets.values():
        await site.configure_upstream(target, service_time_ms=0.0, slots=UPSTREAM_SLOTS)
    await asyncio.sleep(_SETTLE_S)


async def print_tables(seconds: float = MEASURED_S) -> None:
    """Print all tables; each measurement takes this long after its warm-up."""
    print(await first_packets(seconds), end="\n\n", flush=True)
    async with running_site(_ENTRIES, _TARGETS, ()) as site:
        await _ready(site)
        print(await new_flows(site, seconds), end="\n\n", flush=True)
        print(await requests(site, seconds), end="\n\n", flush=True)


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=MEASURED_S)
    asyncio.run(print_tables(parser.parse_args().seconds))


if __name__ == "__main__":
    main()
