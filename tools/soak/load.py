"""Load of a soak: long and short flows, and configuration probes."""

import asyncio
from collections.abc import Sequence
from random import Random

from cranberryhold.flows.segments import Endpoint
from emulator.flow_callers import CallerHost, Outcome
from tools.soak.invariants import InvariantChecker, Request
from tools.soak.site import PROBE_ENDPOINT, SERVICE_ENDPOINTS, Machine, Site

LONG_FLOWS = 12
# Long flows on the route that moves between the services.
MOVED_FLOWS = 4
LONG_FLOW_DURATION_S = (3.0, 20.0)
LONG_FLOW_PAUSE_S = (0.05, 0.5)
SHORT_FLOWS_PER_S = 15
REQUEST_DEADLINE_S = 3.0
PROBE_INTERVAL_S = 0.3
# A probe that no target has accepted by then was lost or refused.
PROBE_TIMEOUT_S = 0.25
SERVED_ENDPOINTS = list(SERVICE_ENDPOINTS.values())


async def generate_long_flows(
    host: CallerHost,
    checker: InvariantChecker,
    random: Random,
    endpoints: Sequence[Endpoint],
) -> None:
    """Open one flow after another with many requests each, until cancelled.

    :param endpoints: addresses of routes to draw from.
    """
    while True:
        flow = host.flow(random.choice(endpoints))
        outcome = await flow.open()
        if outcome is not Outcome.ANSWERED:
            host.forget(flow.key)
            continue
        ends_at = _now() + random.uniform(*LONG_FLOW_DURATION_S)
        while outcome is Outcome.ANSWERED and _now() < ends_at:
            sent_at = _now()
            outcome = await flow.send_request(REQUEST_DEADLINE_S)
            checker.requests.append(Request(sent_at, outcome))
            await asyncio.sleep(random.uniform(*LONG_FLOW_PAUSE_S))
        if outcome is Outcome.ANSWERED:
            flow.close()
        else:
            flow.reset()


async def generate_short_flows(
    host: CallerHost, checker: InvariantChecker, random: Random, per_s: float
) -> None:
    """Open flows for one request each, until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        while True:
            tasks.create_task(run_short_flow(host, checker, random))
            await asyncio.sleep(random.expovariate(per_s))


async def run_short_flow(
    host: CallerHost, checker: InvariantChecker, random: Random
) -> None:
    """Open a flow for one request."""
    flow = host.flow(random.choice(SERVED_ENDPOINTS))
    sent_at = _now()
    outcome = await flow.open()
    if outcome is Outcome.ANSWERED:
        outcome = await flow.send_request(REQUEST_DEADLINE_S)
        flow.close()
    else:
        host.forget(flow.key)
    checker.requests.append(Request(sent_at, outcome))


async def probe_configuration(
    site: Site, host: CallerHost, entry: Machine, checker: InvariantChecker
) -> None:
    """Check which version an entry instance applies, until cancelled."""
    while True:
        await asyncio.sleep(PROBE_INTERVAL_S)
        process = len(entry.processes)
        flow = host.flow(PROBE_ENDPOINT)
        sent_at = _now()
        await flow.probe(entry.ip, PROBE_TIMEOUT_S)
        service = checker.service_of_flow(flow.key)
        if service is not None:
            checker.check_probe(entry.name, process, service, sent_at)


def _now() -> float:
    return asyncio.get_running_loop().time()
