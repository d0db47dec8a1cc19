"""Membership and manifest distribution at several sizes, in virtual time."""

import argparse
import asyncio
import gc
import time
from collections.abc import Sequence

from loguru import logger

from cranberryhold.membership.members import MemberState
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
"""640 addresses, the number expected in two years, all changed at once."""


def tables(seed: int) -> list[Table]:
    """Return the tables of this experiment."""
    return _result_tables(seed, SIZES, LOSSES)


def main() -> None:
    """Measure other sizes, such as 7,430 members (10 GB, 10 minutes)."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("sizes", type=int, nargs="+", help="numbers of members")
    options = parser.parse_args()
    for table in _result_tables(options.seed, options.sizes, (options.loss,)):
        print(table, end="\n\n", flush=True)


def _result_tables(
    seed: int, sizes: Sequence[int], losses: Sequence[float]
) -> list[Table]:
    logger.disable("cranberryhold")
    try:
        runs = [_run_cluster(size, loss, seed) for size in sizes for loss in losses]
    finally:
        logger.enable("cranberryhold")
    return [_propagation_table(runs), _detection_table(runs), _traffic_table(runs)]


class _ClusterRun:
    """One run of a cluster and its measurements."""

    def __init__(self, size: int, loss: float, seed: int) -> None:
        self.size = size
        self.loss = loss
        self._cluster = Cluster(seed, loss=loss)
        self.seconds: dict[str, float] = {}
        self.bytes_per_member: dict[str, float] = {}
        self.max_bytes_per_s = 0.0
        self.pulls = 0
        self.false_down_verdicts = 0
        self.refutations = 0
        self.cpu_s = 0.0

    async def execute(self, seed: int) -> "_ClusterRun":
        async with running_cluster(seed, loss=self.loss) as cluster:
            self._cluster = cluster
            await cluster.start_all(self.size)
            gc.freeze()
            await cluster.clock.sleep(WARM_UP_S)
            await self._measure_steady_state()
            await self._measure_changes()
            await self._measure_detection()
        return self

    async def _measure_steady_state(self) -> None:
        cluster = self._cluster
        started, before = time.process_time(), cluster.sent_bytes
        initial_bytes = [_sent_bytes(i) for i in cluster.instances]
        await cluster.clock.sleep(STEADY_S)
        self.cpu_s = time.process_time() - started
        self.bytes_per_member["steady"] = (
            (cluster.sent_bytes - before) / self.size / STEADY_S
        )
        increases = (
            _sent_bytes(i) - initial
            for i, initial in zip(cluster.instances, initial_bytes, strict=True)
        )
        self.max_bytes_per_s = max(increases) / STEADY_S
        self.refutations = sum(
            i.membership.counters.refutations for i in cluster.instances
        )
        self.false_down_verdicts = sum(
            m.state is MemberState.DOWN
            for i in cluster.instances
            for m in i.membership.table
        )

    async def _measure_changes(self) -> None:
        source, leaver = self._cluster.instances[0], self._cluster.instances[-1]
        for name, manifest in (
            ("small", accepted_manifest(1)),
            ("large", LARGE_MANIFEST),
        ):
            source.manifest_state.adopt(manifest)
            await self._measure_propagation(name, _HasGeneration(manifest.generation))
        self.pulls = sum(i.distributor.pulls for i in self._cluster.instances)
        leaver.membership.announce(weight=0, leaving=True)
        await self._measure_propagation(
            "leaving", _HasState(leaver, MemberState.LEAVING)
        )

    async def _measure_propagation(self, name: str, has_change) -> None:
        """Wait until all members have a change, up to the next multiple of 10 s.

        The bytes of steady traffic in this time are subtracted.
        """
        cluster = self._cluster
        before, pending = cluster.sent_bytes, list(cluster.instances)

        def all_have_change() -> bool:
            while pending and has_change(pending[-1]):
                pending.pop()
            return not pending

        self.seconds[name] = await cluster.until(all_have_change, CHANGE_LIMIT_S)
        await asyncio.sleep(10.0 - self.seconds[name] % 10.0)
        duration_s = 10.0 * (1 + self.seconds[name] // 10.0)
        sent = (cluster.sent_bytes - before) / self.size
        self.bytes_per_member[name] = (
            sent - duration_s * self.bytes_per_member["steady"]
        )

    async def _measure_detection(self) -> None:
        cluster = self._cluster
        victim = cluster.instances.pop(self.size // 2)
        await victim.kill()
        has_change = _HasState(victim, MemberState.DOWN)
        self.seconds["first"] = await cluster.until(
            lambda: any(map(has_change, cluster.instances)), DETECTION_LIMIT_S
        )
        until_all_s = await cluster.until(
            lambda: all(map(has_change, cluster.instances)), DETECTION_LIMIT_S
        )
        self.seconds["killed"] = self.seconds["first"] + until_all_s


class _HasGeneration:
    def __init__(self, generation: int) -> None:
        self._generation = generation

    def __call__(self, instance: Instance) -> bool:
        return instance.manifest_state.generation == self._generation


class _HasState:
    def __init__(self, subject: Instance, state: MemberState) -> None:
        self._node_id = subject.node_id
        self._state = state

    def __call__(self, instance: Instance) -> bool:
        return instance.membership.table.get(self._node_id).state is self._state


def _sent_bytes(instance: Instance) -> int:
    return instance.link.sent_bytes + instance.link.call_bytes


def _run_cluster(size: int, loss: float, seed: int) -> _ClusterRun:
    # Garbage collection would traverse all member tables repeatedly.
    gc.disable()
    try:
        return run_virtual(_ClusterRun(size, loss, seed).execute(seed))
    finally:
        gc.enable()
        gc.unfreeze()


def _propagation_table(runs: list[_ClusterRun]) -> Table:
    table = Table(
        "Seconds until all members have a change",
        ("members", "loss", "small manifest", "large manifest", "pulls", "leaving"),
    )
    for run in runs:
        durations = run.seconds
        manifests = durations["small"], durations["large"], run.pulls
        table.add(run.size, run.loss, *manifests, durations["leaving"])
    return table


def _detection_table(runs: list[_ClusterRun]) -> Table:
    table = Table(
        f"Detection of a killed member, and false verdicts in {STEADY_S:.0f} s",
        ("members", "loss", "first s", "all s", "refutations", "false down"),
    )
    for run in runs:
        detection_times = run.seconds["first"], run.seconds["killed"]
        table.add(
            run.size,
            run.loss,
            *detection_times,
            run.refutations,
            run.false_down_verdicts,
        )
    return table


def _traffic_table(runs: list[_ClusterRun]) -> Table:
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
        bytes_per_change = (
            round(run.bytes_per_member[n]) for n in ("small", "large", "leaving")
        )
        rates = round(run.bytes_per_member["steady"]), round(run.max_bytes_per_s)
        table.add(run.size, run.loss, *rates, *bytes_per_change, run.cpu_s)
    return table


if __name__ == "__main__":
    main()
