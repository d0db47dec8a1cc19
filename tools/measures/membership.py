"""Membership and manifest distribution at several sizes, in virtual time."""

import argparse
import asyncio
import gc
import time
from collections.abc import Sequence

from loguru import logger

from cranberryhold.members import MemberState
from tools.clusters import Cluster, Instance, accepted_manifest, running_cluster
from tools.tables import Table
from tools.virtual_time import run_virtual

SIZES = (10, 100, 930)
LOSSES = (0.0, 0.02, 0.10)
WARM_UP_S = 2.0
STEADY_S = 30.0
CHANGE_LIMIT_S = 30.0
DETECTION_LIMIT_S = 60.0
LARGE_MANIFEST = accepted_manifest(
    2, *(f"service-{i}" for i in range(40)), addresses=16
)
"""640 addresses: as many as are expected in two years, all changed at once."""


def tables(seed: int) -> list[Table]:
    """Return the tables of this experiment."""
    return _tables(seed, SIZES, LOSSES)


def main() -> None:
    """Measure other sizes, such as 7,430 members (10 GB, 10 minutes)."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("sizes", type=int, nargs="+", help="numbers of members")
    options = parser.parse_args()
    for table in _tables(options.seed, options.sizes, (options.loss,)):
        print(table, end="\n\n", flush=True)


def _tables(seed: int, sizes: Sequence[int], losses: Sequence[float]) -> list[Table]:
    logger.disable("cranberryhold")
    try:
        runs = [_run(size, loss, seed) for size in sizes for loss in losses]
    finally:
        logger.enable("cranberryhold")
    return [_spreading(runs), _detection(runs), _traffic(runs)]


class _Run:
    """One cluster, and what was measured of it."""

    def __init__(self, size: int, loss: float, seed: int) -> None:
        self.size = size
        self.loss = loss
        self._cluster = Cluster(seed, loss=loss)
        self.seconds: dict[str, float] = {}
        self.bytes: dict[str, float] = {}
        self.busiest_bytes = 0.0
        self.pulls = 0
        self.false_downs = 0
        self.refutations = 0
        self.cpu_s = 0.0

    async def main(self, seed: int) -> "_Run":
        async with running_cluster(seed, loss=self.loss) as cluster:
            self._cluster = cluster
            await cluster.start_all(self.size)
            gc.freeze()
            await cluster.clock.sleep(WARM_UP_S)
            await self._steady()
            await self._changes()
            await self._kill()
        return self

    async def _steady(self) -> None:
        cluster = self._cluster
        started, before = time.process_time(), cluster.sent_bytes
        each = [_sent(i) for i in cluster.instances]
        await cluster.clock.sleep(STEADY_S)
        self.cpu_s = time.process_time() - started
        self.bytes["steady"] = (cluster.sent_bytes - before) / self.size / STEADY_S
        grown = (_sent(i) - b for i, b in zip(cluster.instances, each, strict=True))
        self.busiest_bytes = max(grown) / STEADY_S
        self.refutations = sum(
            i.membership.counters.refutations for i in cluster.instances
        )
        self.false_downs = sum(
            m.state is MemberState.DOWN
            for i in cluster.instances
            for m in i.membership.table
        )

    async def _changes(self) -> None:
        source, leaver = self._cluster.instances[0], self._cluster.instances[-1]
        for name, manifest in (
            ("small", accepted_manifest(1)),
            ("large", LARGE_MANIFEST),
        ):
            source.manifest_state.adopt(manifest)
            await self._spread(name, _Generation(manifest.generation))
        self.pulls = sum(i.distributor.pulls for i in self._cluster.instances)
        leaver.membership.announce(weight=0, leaving=True)
        await self._spread("leaving", _State(leaver, MemberState.LEAVING))

    async def _spread(self, name: str, reached) -> None:
        """Wait until all are reached; count the bytes of the next 10 s as well."""
        cluster = self._cluster
        before, rest = cluster.sent_bytes, list(cluster.instances)

        def everywhere() -> bool:
            while rest and reached(rest[-1]):
                rest.pop()
            return not rest

        self.seconds[name] = await cluster.until(everywhere, CHANGE_LIMIT_S)
        await asyncio.sleep(10.0 - self.seconds[name] % 10.0)
        lasted = 10.0 * (1 + self.seconds[name] // 10.0)
        sent = (cluster.sent_bytes - before) / self.size
        self.bytes[name] = sent - lasted * self.bytes["steady"]

    async def _kill(self) -> None:
        cluster = self._cluster
        victim = cluster.instances.pop(self.size // 2)
        await victim.kill()
        reached = _State(victim, MemberState.DOWN)
        self.seconds["first"] = await cluster.until(
            lambda: any(map(reached, cluster.instances)), DETECTION_LIMIT_S
        )
        rest = await cluster.until(
            lambda: all(map(reached, cluster.instances)), DETECTION_LIMIT_S
        )
        self.seconds["killed"] = self.seconds["first"] + rest


class _Generation:
    def __init__(self, generation: int) -> None:
        self._generation = generation

    def __call__(self, instance: Instance) -> bool:
        return instance.manifest_state.generation == self._generation


class _State:
    def __init__(self, subject: Instance, state: MemberState) -> None:
        self._node_id = subject.node_id
        self._state = state

    def __call__(self, instance: Instance) -> bool:
        return instance.membership.table.get(self._node_id).state is self._state


def _sent(instance: Instance) -> int:
    return instance.link.sent_bytes + instance.link.call_bytes


def _run(size: int, loss: float, seed: int) -> _Run:
    # Collections would walk all member tables again and again.
    gc.disable()
    try:
        return run_virtual(_Run(size, loss, seed).main(seed))
    finally:
        gc.enable()
        gc.unfreeze()


def _spreading(runs: list[_Run]) -> Table:
    table = Table(
        "Seconds until all members have a change",
        ("members", "loss", "small manifest", "large manifest", "pulls", "leaving"),
    )
    for run in runs:
        took = run.seconds
        manifests = took["small"], took["large"], run.pulls
        table.add(run.size, run.loss, *manifests, took["leaving"])
    return table


def _detection(runs: list[_Run]) -> Table:
    table = Table(
        f"Detection of a killed member, and false verdicts in {STEADY_S:.0f} s",
        ("members", "loss", "first s", "all s", "refutations", "false down"),
    )
    for run in runs:
        found = run.seconds["first"], run.seconds["killed"]
        table.add(run.size, run.loss, *found, run.refutations, run.false_downs)
    return table


def _traffic(runs: list[_Run]) -> Table:
    table = Table(
        "Control bytes sent per member (limit 13,000 a second), and CPU",
        (
            "members",
            "loss",
            "steady B/s",
            "busiest B/s",
            "small change B",
            "large change B",
            "leaving B",
            f"CPU s of {STEADY_S:.0f} s",
        ),
    )
    for run in runs:
        per_change = (round(run.bytes[n]) for n in ("small", "large", "leaving"))
        rates = round(run.bytes["steady"]), round(run.busiest_bytes)
        table.add(run.size, run.loss, *rates, *per_change, run.cpu_s)
    return table


if __name__ == "__main__":
    main()
