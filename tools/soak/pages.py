"""Watches the metrics pages of the daemons during a soak."""

import asyncio
import re
from collections.abc import Mapping

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.platform.settings import METRICS_PORT
from tools.processes import RunningProcess
from tools.soak.invariants import InvariantChecker
from tools.soak.site import Machine

PAGE_INTERVAL_S = 1.0
# A daemon that is not disturbed answers within this time on a busy machine, too.
PAGE_TIMEOUT_S = 3.0
MAX_PAGE_BYTES = 1 << 20
_COUNTER = re.compile(r"^(cranberryhold_\w+_total) (\S+)$", re.MULTILINE)


def counters_of(page: str) -> dict[str, float]:
    """Return the counters of a metrics page by name."""
    return {name: float(value) for name, value in _COUNTER.findall(page)}


def fallen_counters(
    before: Mapping[str, float], after: Mapping[str, float]
) -> list[str]:
    """Return the names of counters that are lower than before, or missing."""
    return [name for name, value in before.items() if after.get(name, 0.0) < value]


async def watch_page(machine: Machine, checker: InvariantChecker) -> None:
    """Check that a daemon serves its page and its counters never fall."""
    process: RunningProcess | None = None
    counters: dict[str, float] = {}
    while True:
        await asyncio.sleep(PAGE_INTERVAL_S)
        if machine.process is None or not _serves(machine.process):
            continue
        if machine.process is not process:
            process, counters = machine.process, {}
        page = await _read_page(machine.ip)
        still_runs = machine.process is process and not machine.stopping
        if page is None:
            if still_runs and checker.is_undisturbed(machine.ip):
                checker.record_violation(f"PAGE {machine.name} does not serve metrics")
            continue
        read = counters_of(page)
        fallen = fallen_counters(counters, read)
        if fallen and still_runs:
            checker.record_violation(
                f"PAGE {machine.name}: counters fell: {', '.join(fallen)}"
            )
        counters = read


def _serves(process: RunningProcess) -> bool:
    return any("event=serving" in line for line in process.lines)


async def _read_page(ip: str) -> str | None:
    try:
        client = HttpClient(Address(ip, METRICS_PORT), MAX_PAGE_BYTES)
        page = await client.call("GET", "/metrics", b"", PAGE_TIMEOUT_S)
    except PeerError:
        return None
    return page.body.decode() if page.status == 200 else None
