"""End-to-end benchmark: new flows per second and requests per second.

Fabric, entry instances, sidecars, upstreams and load generators run as separate
processes on loopback. ``python -m tools.bench_requests`` runs this benchmark alone.
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
from tools.bench_load import LoadResult
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
# As many slots as outstanding requests, so that no queueing is measured.
UPSTREAM_SLOTS = max(OUTSTANDING_REQUESTS)
_ENTRIES, _TARGETS = ENTRY_IPS[:2], ("t1", "t2")
# Time for the sidecars to read the number of slots from the health endpoint.
_HEALTH_POLL_WAIT_S = 3.0
_READY_LIMIT_S = 20.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return a percentile by the nearest-rank method, or NaN without values."""
    if not values:
        return math.nan
    return sorted(values)[max(0, math.ceil(fraction * len(values)) - 1)]


def combine_results(results: Sequence[LoadResult]) -> LoadResult:
    """Return the combined result of load processes that ran concurrently."""
    return LoadResult(
        max(part.seconds for part in results),
        [duration for part in results for duration in part.durations_ms],
        sum(part.failed for part in results),
        results[0].instance,
    )


def operations_per_s(result: LoadResult) -> float:
    """Return completed operations per second."""
    if not result.durations_ms:
        return 0.0
    return len(result.durations_ms) / result.seconds


def parse_processor_time_s(stat: str) -> float:
    """Return user and system time from the text of ``/proc/<pid>/stat``.

    Source: proc(5). The process name may contain spaces and parentheses.
    """
    values = stat.rpartition(")")[2].split()
    return (int(values[11]) + int(values[12])) / _TICKS_PER_S


@dataclass(frozen=True, slots=True)
class ProcessorUsage:
    """Percentages of time that a process was running and waiting for a processor.

    A process that waits is as much a bottleneck as one that runs: the sum is about
    100 when the process has no spare time.
    """

    running: float
    waiting: float

    def __str__(self) -> str:
        return f"{self.running:.0f}+{self.waiting:.0f}"


def parse_run_queue_time_s(schedstat: str) -> float:
    """Return the time in the run queue from the text of ``/proc/<pid>/schedstat``.

    Source: Linux documentation, scheduler/sched-stats. Covers the main thread only.
    """
    return int(schedstat.split()[1]) / 1e9


def busiest(usages: Mapping[str, ProcessorUsage]) -> str:
    """Return the name of the process with the least spare time."""
    return max(usages, key=lambda name: usages[name].running + usages[name].waiting)


class ProcessorTimes:
    """Processor time of processes of this benchmark since the object was created."""

    def __init__(self, watched: Mapping[str, RunningProcess]) -> None:
        self._watched = watched
        self._started = time.monotonic()
        self._before = self._read()

    def usages(self) -> dict[str, ProcessorUsage]:
        """Return the processor usage of each process."""
        elapsed_s = time.monotonic() - self._started
        return {
            name: ProcessorUsage(
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
                parse_processor_time_s(text(process, "stat")),
                parse_run_queue_time_s(text(process, "schedstat")),
            )
            for name, process in self._watched.items()
        }


async def run_load_processes(
    site: Site, load_count: int, part: str, **options: object
) -> tuple[LoadResult, dict[str, ProcessorUsage]]:
    """Run load processes; return their result and the processor usage by process.

    The load processes wait for a line of input before they exit, so their processor
    time can be read after their results.
    """
    arguments = [f"--{name}={value}" for name, value in options.items()]
    load_processes = {
        f"load {number + 1}": await site.processes.start(
            "load", "tools.bench_load", part, *arguments
        )
        for number in range(load_count)
    }
    await asyncio.gather(
        *(p.wait_for_output("event=measuring") for p in load_processes.values())
    )
    times = ProcessorTimes(_site_processes(site) | load_processes)
    await asyncio.gather(
        *(p.wait_for_output("event=measured") for p in load_processes.values())
    )
    usages = times.usages()
    for process in load_processes.values():
        process.write_line("")
        await process.wait_ended()
    return combine_results(
        [LoadResult.parse(p.lines) for p in load_processes.values()]
    ), usages


def _site_processes(site: Site) -> dict[str, RunningProcess]:
    sidecars = {f"sidecar {name}": t.sidecar for name, t in site.targets.items()}
    upstreams = {f"upstream {name}": t.upstream for name, t in site.targets.items()}
    return {"fabric": site.fabric, **site.entries, **sidecars, **upstreams}


async def measure_new_flows(site: Site, seconds: float) -> Table:
    """Return a table of new flows per second by number of load processes."""
    process_names = list(_site_processes(site))[: 1 + len(_ENTRIES) + len(_TARGETS)]
    table = Table(
        f"New flows a second, {len(_ENTRIES)} entry instances, {len(_TARGETS)} "
        f"sidecars, {FLOWS_OUTSTANDING} flows outstanding per load process; "
        "% of the time: running + waiting for a processor",
        (
            *("load processes", "flows/s", "flows/s per sidecar", "failed"),
            *("open p50 ms", "open p99 ms", "load 1", *process_names),
            "busiest",
        ),
    )
    for load_count in LOAD_PROCESSES:
        result, usages = await run_load_processes(
            site,
            load_count,
            "flows",
            url=f"https://{site.services[CORE]}",
            outstanding=FLOWS_OUTSTANDING,
            seconds=seconds,
        )
        table.add(
            load_count,
            round(operations_per_s(result)),
            round(operations_per_s(result) / len(_TARGETS)),
            result.failed,
            percentile(result.durations_ms, 0.5),
            percentile(result.durations_ms, 0.99),
            usages["load 1"],
            *(usages[name] for name in process_names),
            busiest(usages),
        )
    return table


async def measure_requests(site: Site, seconds: float) -> Table:
    """Return a table of requests per second, end to end and to the upstream."""
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
        path, usages = await run_load_processes(
            site, 1, "requests", url=f"https://{site.services[CORE]}", **common
        )
        upstream = site.targets[path.instance].address
        direct, direct_usages = await run_load_processes(
            site, 1, "direct", url=f"http://{upstream}", **common
        )
        path_row, direct_row = (
            _result_row(path, usages),
            _result_row(direct, direct_usages),
        )
        table.add("path", outstanding, *path_row)
        table.add("direct", outstanding, *direct_row)
        added = (path_row[n] - direct_row[n] for n in (2, 3))
        table.add("added by path", outstanding, "", "", *added, "", "")
    return table


def _result_row(
    result: LoadResult, usages: dict[str, ProcessorUsage]
) -> tuple[object, ...]:
    return (
        round(operations_per_s(result)),
        result.failed,
        percentile(result.durations_ms, 0.5),
        percentile(result.durations_ms, 0.99),
        busiest(usages),
        usages[busiest(usages)],
    )


async def measure_first_packets(seconds: float) -> Table:
    """Return a table of first packets per second through one forwarder."""
    table = Table(
        "First packets a second (distinct Initial packets of 1,200 bytes), one "
        "sender; % of the time: running + waiting for a processor",
        ("forwarder", "packets/s", "sender", "forwarder", "sink"),
    )
    for forwarder in ("none", "plain", "entry"):
        async with process_manager() as started:
            table.add(
                forwarder, *await _measure_first_packets(started, forwarder, seconds)
            )
    return table


async def _measure_first_packets(
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
    # The sink exits once it has printed its result; its usage is read before that.
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


async def _prepare_site(site: Site) -> None:
    """Apply the manifest and set the service time of the upstreams to zero."""
    await site.apply(CORE)
    async with asyncio.timeout(_READY_LIMIT_S):
        while (await site.status(1)).exit_code != 0:
            pass
    for target in site.targets.values():
        await site.configure_upstream(target, service_time_ms=0.0, slots=UPSTREAM_SLOTS)
    await asyncio.sleep(_HEALTH_POLL_WAIT_S)


async def print_tables(seconds: float = MEASURED_S) -> None:
    """Print all tables.

    :param seconds: length of each measurement after its warm-up.
    """
    print(await measure_first_packets(seconds), end="\n\n", flush=True)
    async with running_site(_ENTRIES, _TARGETS, ()) as site:
        await _prepare_site(site)
        print(await measure_new_flows(site, seconds), end="\n\n", flush=True)
        print(await measure_requests(site, seconds), end="\n\n", flush=True)


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=MEASURED_S)
    asyncio.run(print_tables(parser.parse_args().seconds))


if __name__ == "__main__":
    main()
