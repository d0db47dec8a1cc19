"""Case 2: the store turns a sidecar's machine away, then an entry daemon restarts."""

import asyncio
from pathlib import Path

from stand_ins.case import run_case
from stand_ins.site import (
    STABLE_WINDOW_S,
    Machine,
    Site,
    configuration,
    until,
)

PORT = 8443
FLOWS = 150
ROUNDS = 3
# Largest dose on khata-lb: platform_down "nodes silent", for_s = 9.0.
LONGEST_SILENCE_S = 9.0
EARLIEST_END_S = 6.4


async def silence(site: Site, machine: Machine) -> float:
    """Let the store turn a machine away; return when that has ended.

    It begins with the renewal of the machine's lease, and ends while a call of the
    machine is on its way, which gets no response.
    """
    calls: list[float] = []

    def on_call(name: str, _method: str, path: str) -> None:
        if name != machine.name:
            return
        if not calls and path.startswith("/kv-keep/"):
            site.store.silent_for.add(name)
            site.record.write(f"the store turns {name} away, without a response")
        if site.store.silent_for:
            calls.append(site.record.now())

    site.store.on_call = on_call
    await until(lambda: calls, 6.0, f"{machine.name} renews its lease")
    started_at = calls[0]
    await until(
        lambda: (
            calls[-1] - started_at > EARLIEST_END_S
            or site.record.now() - started_at > LONGEST_SILENCE_S - 0.05
        ),
        LONGEST_SILENCE_S,
        "the end of the outage",
    )
    site.store.silent_for.clear()
    ended_at = site.record.now()
    site.record.write(
        f"the store serves {machine.name} again, after {ended_at - started_at:.2f} s"
    )
    return ended_at


async def case(site: Site, trouble: bool) -> list[str]:
    """Return the wrong resets of open flows."""
    site.add("frontend-a-1", "entry", "a")
    site.add("frontend-a-2", "entry", "a")
    rolled = site.add("frontend-b-1", "entry", "b")
    side = site.add("side-b-1", "sidecar", "b", "core")
    site.add("side-b-2", "sidecar", "b", "core")
    site.add("side-a-1", "sidecar", "a", "core")
    site.add("side-a-2", "sidecar", "a", "core")
    clients = [site.add_client("b") for _ in range(6)]
    await site.start(configuration(1, site.host, {PORT: {"core": 1}}))
    found: list[str] = []
    for number in range(ROUNDS):
        flows = await site.open_flows(clients, PORT, FLOWS)
        if trouble:
            ended_at = await silence(site, side)
        else:
            await asyncio.sleep(LONGEST_SILENCE_S)
            ended_at = site.record.now()
        await site.ask(flows, f"{number} before the restart")
        await asyncio.sleep(0.5)
        await site.restart(rolled)
        since = ended_at + STABLE_WINDOW_S + 0.05
        await asyncio.sleep(max(0.0, since - site.record.now()))
        site.record.write("the store and the machines of the targets are in touch")
        # The clients' pauses end one after the other.
        for flow in flows:
            asyncio.create_task(flow.request(f"{number} on {flow.name}"))
            await asyncio.sleep(1.5 / FLOWS)
        await asyncio.sleep(3.0)
        found += site.wrong_resets(flows, since)
        if found:
            break
    return found


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
