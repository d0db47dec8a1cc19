"""Faults of a run: kind, victim and duration of each are drawn from a seed."""

import asyncio
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from tools.demo_site import Site
from tools.processes import RunningProcess

MEAN_INTERVAL_S = 1.0
SHORTEST_PAUSE_S = 0.1
DEFAULT_LONGEST_PAUSE_S = 3.0
RESTART_DELAY_S = (0.0, 1.0)
# Entry instances forward for 5 s after a stop signal, until the fabric has withdrawn
# their routes.
WITHDRAWAL_DELAY_S = (0.0, 3.0)
# The drain limit of the manifest, and the time to exit after it.
STOP_TIMEOUT_S = 65.0
# An upstream instance that gets no request can't lose an answer.
LOSS_TIMEOUT_S = 5.0
POLL_S = 0.05
LAST_LINES = 20


@dataclass(frozen=True, slots=True)
class Interval:
    """Time in which a fault lasted, in monotonic seconds."""

    start: float
    end: float


@dataclass(slots=True)
class FaultInjector:
    """Injects the faults of a seed into a running site.

    :ivar longest_pause_s: upper bound of the pause of a process in seconds.
    :ivar disturbed: intervals of the faults that are not planned work.
    :ivar violations: planned stops that did not end as they should.
    """

    site: Site
    log: Callable[[str], None]
    longest_pause_s: float = DEFAULT_LONGEST_PAUSE_S
    disturbed: list[Interval] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)

    async def run(self, seed: int, duration_s: float) -> None:
        """Start faults for some time, which overlap, and wait until all are over.

        Runs with an odd seed have planned work only, so that no line may be lost.
        """
        random = Random(seed)
        faults = PLANNED_WORK if seed % 2 else FAULTS
        ends_at = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < ends_at:
                inject = random.choice(faults)
                tasks.create_task(inject(self, Random(random.getrandbits(32))))
                await asyncio.sleep(random.expovariate(1 / MEAN_INTERVAL_S))

    async def pause(self, random: Random) -> None:
        """Pause a daemon or an upstream instance, like a machine that stands still."""
        name = self._reserve(random, [*self.site.entries, *self.site.targets])
        if name is None:
            return
        process = self._daemon(name)
        if name in self.site.targets and random.random() < 0.5:
            process = self.site.targets[name].upstream
        started_at = time.monotonic()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(random.uniform(SHORTEST_PAUSE_S, self.longest_pause_s))
        process.signal(signal.SIGCONT)
        self._record(started_at, f"paused {process.name}")
        self.busy.discard(name)

    async def stop(self, random: Random) -> None:
        """Stop a daemon as a rollout does, and start it again.

        The upstream instance of a stopped target drains too, since an open feed ends
        only with its upstream.
        """
        name = self._reserve(random, [*self.site.entries, *self.site.targets])
        if name is None:
            return
        await self._set_draining(name, draining=True)
        process = self._daemon(name)
        process.signal(signal.SIGTERM)
        if name in self.site.entries:
            await asyncio.sleep(random.uniform(*WITHDRAWAL_DELAY_S))
            self.site.withdraw_entry(name)
        code = await process.wait_ended(STOP_TIMEOUT_S)
        self.log(f"stopped {name}")
        if code != 0:
            last = "\n    ".join(process.lines[-LAST_LINES:])
            self.violations.append(f"STOP: {name} ended with code {code}\n    {last}")
        await self._set_draining(name, draining=False)
        await self._restart(name, random)

    async def kill(self, random: Random) -> None:
        """Kill a daemon and start it again."""
        name = self._reserve(random, [*self.site.entries, *self.site.targets])
        if name is None:
            return
        started_at = time.monotonic()
        process = self._daemon(name)
        process.signal(signal.SIGKILL)
        await process.wait_ended()
        await self._restart(name, random)
        self._record(started_at, f"killed {name}")

    async def lose_answer(self, random: Random) -> None:
        """Let an upstream instance break off its next answer."""
        name = self._reserve(random, list(self.site.targets))
        if name is None:
            return
        target = self.site.targets[name]
        started_at = time.monotonic()
        await self.site.configure_upstream(target, crash_answers=1)
        while time.monotonic() < started_at + LOSS_TIMEOUT_S:
            if not (await self.site.upstream_behaviour(target))["crash_answers"]:
                break
            await asyncio.sleep(POLL_S)
        await self.site.configure_upstream(target, crash_answers=0)
        self._record(started_at, f"lost an answer of {name}")
        self.busy.discard(name)

    def _reserve(self, random: Random, names: list[str]) -> str | None:
        """Choose a member without a fault; leave one of each role without any."""
        busy_entries = self.busy & self.site.entries.keys()
        busy_targets = self.busy & self.site.targets.keys()
        free = [
            name
            for name in names
            if name not in self.busy
            and (name in self.site.targets or len(busy_entries) < 2)
            and (name in self.site.entries or len(busy_targets) < 2)
        ]
        if not free:
            return None
        name = random.choice(free)
        self.busy.add(name)
        return name

    def _daemon(self, name: str) -> RunningProcess:
        if name in self.site.entries:
            return self.site.entries[name]
        return self.site.targets[name].sidecar

    async def _set_draining(self, name: str, *, draining: bool) -> None:
        if name in self.site.targets:
            target = self.site.targets[name]
            await self.site.configure_upstream(target, draining=draining)

    async def _restart(self, name: str, random: Random) -> None:
        await asyncio.sleep(random.uniform(*RESTART_DELAY_S))
        if name in self.site.entries:
            await self.site.restart_entry(name)
            self.site.admit_entry(name)
        else:
            await self.site.restart_sidecar(name)
        self.busy.discard(name)

    def _record(self, started_at: float, text: str) -> None:
        self.disturbed.append(Interval(started_at, time.monotonic()))
        self.log(text)


PLANNED_WORK = (FaultInjector.stop,)
FAULTS = (
    FaultInjector.pause,
    FaultInjector.stop,
    FaultInjector.kill,
    FaultInjector.lose_answer,
)
