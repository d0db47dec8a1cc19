"""Runs a small site as processes, injects failures and checks the outcome.

The exit code is 0 only if every check passed.
"""

import asyncio
import hashlib
import json
import random
import signal
import sys
import time
from contextlib import aclosing, asynccontextmanager, suppress
from dataclasses import dataclass, field

from cranberryhold.caller import Caller
from cranberryhold.exceptions import NotRunError, OutcomeUnknownError
from tools.demo_site import (
    CORE,
    ENTRY_IPS,
    FEED_INTERVAL_MS,
    INTAKE,
    Site,
    Target,
    running_site,
)
from tools.processes import ProcessError, until

IN_FORCE_TIMEOUT_S = 3.0
UPLOAD_BYTES = 1024 * 1024
_POST_INTERVAL_S = 0.05


@dataclass(slots=True)
class DemoReport:
    """Prints events and check results as they occur and counts the failed checks."""

    started_at: float = field(default_factory=time.monotonic)
    failures: int = 0

    def log(self, text: str) -> None:
        """Print a line with the seconds since the start."""
        print(f"{time.monotonic() - self.started_at:5.1f} s  {text}", flush=True)

    def check(self, passed: bool, text: str) -> None:
        """Print the result of a check and count a failure."""
        self.failures += not passed
        self.log(f"{'ok    ' if passed else 'FAILED'} {text}")


@dataclass(slots=True)
class FeedFollower:
    """Follows a price board feed and records the events that arrive."""

    sequence_numbers: list[int] = field(default_factory=list)
    instance: str = ""

    async def run(self, caller: Caller) -> None:
        """Follow until cancelled."""
        async with aclosing(caller.feed("/feed")) as lines:
            async for line in lines:
                event = json.loads(line)
                self.instance = event["instance"]
                self.sequence_numbers.append(event["sequence"])

    async def wait_for_events(self, count: int, timeout_s: float = 15.0) -> bool:
        """Wait for this many further events; return whether they arrived in time."""
        wanted = len(self.sequence_numbers) + count
        with suppress(TimeoutError):
            await until(lambda: len(self.sequence_numbers) >= wanted, timeout_s)
        return len(self.sequence_numbers) >= wanted

    @property
    def gaps_and_repeats(self) -> int:
        """Number of events whose sequence number does not follow the previous one."""
        pairs = zip(self.sequence_numbers, self.sequence_numbers[1:], strict=False)
        return sum(after != before + 1 for before, after in pairs)


@dataclass(slots=True)
class LinePoster:
    """Posts purchase lines one after another, each with its own idempotency key."""

    answered: list[str] = field(default_factory=list)
    retries: int = 0
    stopping: bool = False

    async def run(self, caller: Caller) -> None:
        """Post until :attr:`stopping` is set, and finish the line in progress."""
        number = 0
        while not self.stopping:
            number += 1
            await self._post(caller, f"line-{number}")
            await asyncio.sleep(_POST_INTERVAL_S)

    async def _post(self, caller: Caller, line: str) -> None:
        """Post one line, and retry until it is answered with status 200.

        A new key is safe only while no attempt has had an unknown outcome.
        """
        body = json.dumps({"id": line}).encode()
        key, may_have_run = None, False
        while True:
            try:
                if key is None:
                    key = await caller.new_idempotency_key()
                answer = await caller.request(
                    "POST", "/lines", body=body, idempotency_key=key, deadline_s=5
                )
            except NotRunError:
                key = key if may_have_run else None
            except OutcomeUnknownError:
                may_have_run = key is not None
            else:
                if answer.status == 200:
                    self.answered.append(line)
                    return
            self.retries += 1
            await asyncio.sleep(_POST_INTERVAL_S)


class Demo:
    """The steps of the demo."""

    def __init__(self, site: Site, report: DemoReport) -> None:
        self._site = site
        self._report = report
        self._feed = FeedFollower()
        self._poster = LinePoster()

    async def run(self) -> None:
        """Run all steps."""
        self._report.log(f"{len(self._site.processes.running)} processes are running")
        await self._apply_manifest(1, CORE)
        async with self._caller(CORE) as caller, self._traffic(caller):
            await self._upload(caller, CORE)
            await self._kill_entry(caller)
            await self._drain_target()
            # Until the killed instance is declared down, a status query waits for it,
            # which would count as the time until the manifest is in force.
            await self._site.wait_in_force(1)
            await self._apply_manifest(2, CORE, INTAKE)
            async with self._caller(INTAKE) as intake:
                await self._upload(intake, INTAKE)
        await self._check_lines()
        await self._stop()

    async def _apply_manifest(self, generation: int, *services: str) -> None:
        started = time.monotonic()
        applied = await self._site.apply(*services)
        accepted = f"generation={generation}" in " ".join(applied.lines)
        if not accepted:
            raise ProcessError("apply: " + "\n".join(applied.lines))
        accepted_at = time.monotonic()
        status = await self._site.wait_in_force(generation)
        elapsed_s = time.monotonic() - accepted_at
        self._report.check(
            status.exit_code == 0
            and (generation == 1 or elapsed_s < IN_FORCE_TIMEOUT_S),
            f"manifest generation {generation} ({', '.join(services)}) is in force at "
            f"{len(self._site.control_addresses)} members; accepted after "
            f"{accepted_at - started:.1f} s, in force {elapsed_s:.1f} s later",
        )
        for line in status.lines if status.exit_code else ():
            self._report.log(f"       {line}")

    @asynccontextmanager
    async def _traffic(self, caller: Caller):
        """Follow the feed and post lines until the context ends."""
        feed = asyncio.create_task(self._feed.run(caller))
        posting = asyncio.create_task(self._poster.run(caller))
        try:
            opened = await self._feed.wait_for_events(5, timeout_s=20)
            self._report.check(opened, f"a feed is open at {self._feed.instance}")
            yield
            self._poster.stopping = True
            await asyncio.wait_for(posting, 20)
            self._report.check(
                self._feed.gaps_and_repeats == 0,
                f"the feed brought {len(self._feed.sequence_numbers)} events without a "
                "gap or a repeat",
            )
        finally:
            for task in (feed, posting):
                task.cancel()
            await asyncio.gather(feed, posting, return_exceptions=True)

    async def _upload(self, caller: Caller, service: str) -> None:
        data = random.Random(1).randbytes(UPLOAD_BYTES)
        started = time.monotonic()
        answer = await caller.request("POST", "/upload", body=data, deadline_s=30)
        intact = json.loads(answer.body)["sha256"] == hashlib.sha256(data).hexdigest()
        self._report.check(
            intact,
            f"an upload of {UPLOAD_BYTES // 1024} KiB to {service} arrived whole in "
            f"{time.monotonic() - started:.1f} s",
        )

    async def _kill_entry(self, caller: Caller) -> None:
        opened, instance = caller.connections_opened, self._feed.instance
        victim = self._site.entries["e1"]
        victim.signal(signal.SIGKILL)
        await victim.wait_ended()
        del self._site.control_addresses["e1"]
        self._report.log("entry instance e1 was killed; the fabric still routes to it")
        continues = await self._feed.wait_for_events(2000 // FEED_INTERVAL_MS)
        self._site.fabric.write_line(f"remove {ENTRY_IPS[0]}")
        continues &= await self._feed.wait_for_events(1000 // FEED_INTERVAL_MS)
        same = caller.connections_opened == opened and self._feed.instance == instance
        self._report.check(
            continues and same, "the same open flow goes on through the others"
        )

    async def _drain_target(self) -> None:
        drained = self._site.targets[self._feed.instance]
        await self._site.configure_upstream(drained, draining=True)
        self._report.log(f"upstream {drained.name} reports that it is draining")
        with suppress(TimeoutError):
            await until(lambda: self._feed.instance != drained.name, 15)
        moved = (
            self._feed.instance != drained.name and await self._feed.wait_for_events(10)
        )
        self._report.check(moved, f"the feed moved to {self._feed.instance}")
        await self._stop_target(drained)

    async def _stop_target(self, target: Target) -> None:
        target.sidecar.signal(signal.SIGTERM)
        code = await target.sidecar.wait_ended()
        del self._site.control_addresses[target.name]
        self._report.check(
            code == 0, f"the sidecar of {target.name} left without cutting a request"
        )

    async def _check_lines(self) -> None:
        executions = await self._site.execution_counts()
        lost = [line for line in self._poster.answered if line not in executions]
        duplicated = [line for line, count in executions.items() if count > 1]
        self._report.check(
            bool(self._poster.answered) and not lost and not duplicated,
            f"{len(self._poster.answered)} lines were answered "
            f"({self._poster.retries} attempts repeated): {len(lost)} lost, "
            f"{len(duplicated)} ran twice",
        )

    async def _stop(self) -> None:
        daemons = [*self._site.entries.values()]
        daemons += [t.sidecar for t in self._site.targets.values()]
        stopping = [p for p in daemons if p.exit_code is None]
        for process in stopping:
            process.signal(signal.SIGTERM)
        codes = [await process.wait_ended() for process in stopping]
        self._report.check(
            not any(codes), f"{len(codes)} daemons stopped gracefully: {codes}"
        )

    def _caller(self, service: str):
        return Caller.connect(
            f"https://{self._site.services[service]}",
            ca_file=str(self._site.certificate_files.certificate),
        )


async def run() -> int:
    """Run the demo and return its exit code."""
    report = DemoReport()
    async with running_site() as site:
        try:
            await Demo(site, report).run()
        except Exception as error:
            report.check(False, f"{type(error).__name__}: {error}")
        if report.failures:
            _print_logs(site)
    verdict = "every check held" if not report.failures else "CHECKS FAILED"
    report.log(f"{verdict}; all processes were stopped")
    return 1 if report.failures else 0


def _print_logs(site: Site) -> None:
    daemons = {f"entry {n}": p for n, p in site.entries.items()}
    daemons |= {t.sidecar.name: t.sidecar for t in site.targets.values()}
    for name, process in daemons.items():
        print(f"--- last lines of {name} (exit code {process.exit_code})")
        print("\n".join(process.lines[-15:]))


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
