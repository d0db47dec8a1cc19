"""Case 1: a route moves to another service, then entry daemons are restarted."""

import asyncio
from pathlib import Path

from stand_ins.case import run_case
from stand_ins.site import (
    CONFIG_APPLY_S,
    STABLE_WINDOW_S,
    Site,
    configuration,
)

PORT = 8443
FLOWS = 60


async def case(site: Site, trouble: bool) -> list[str]:
    """Return the wrong resets of open flows."""
    rolled = site.add("frontend-a-1", "entry", "a")
    site.add("frontend-a-2", "entry", "a")
    for name, service in (("1", "old"), ("2", "old"), ("3", "new")):
        site.add(f"side-a-{name}", "sidecar", "a", service)
    clients = [site.add_client("a") for _ in range(6)]
    await site.start(configuration(1, site.host, {PORT: {"old": 90, "new": 10}}))
    flows = await site.open_flows(clients, PORT, FLOWS)

    await site.store.put("op/config", configuration(4, site.host, {PORT: {"new": 1}}))
    site.record.write("version 4 is acknowledged: new flows go to the service new")
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    await site.ask(flows, "after the change")
    fresh = await site.open_flows(clients, PORT, 6)
    site.record.write(
        f"new flows are open at {sorted({site.holder(f).service for f in fresh})}"
    )

    if trouble:
        await site.restart(rolled)
    await site.until_in_rotation(rolled)
    # All machines are in touch again when the flows go on after their pause.
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)
    since = site.record.now()
    site.record.write("all machines and the store are in touch")
    await site.ask(flows, "after the pause")
    return site.wrong_resets(flows, since)


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
