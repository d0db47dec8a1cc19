"""Runs a small site as real processes, breaks parts of it and checks the outcome.

The exit code is 0 only if every check held.
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

IN_FORCE_LIMIT_S = 3.0
UPLOAD_BYTES = 1024 * 1024
_LINE_PAUSE_S = 0.05


@dataclass(slots=True)
class Account:
    """What happened, printed as it happens, and whether every check held."""

    started: float = field(default_factory=time.monotonic)
    failures: int = 0

    def tell(self, text: str) -> None:
        """Print a line with the time since the start."""
        print(f"{time.monotonic() - self.started:5.1f} s  {text}", flush=True)

    def check(self, held: bool, text: str) -> None:
        """Print a check and its outcome."""
        self.failures += not held
        self.tell(f"{'ok    ' if held else 'FAILED'} {text}")


@dataclass(slots=True)
class FeedWatch:
    """Follows the price board and keeps what arrives."""

    numbers: list[int] = field(default_factory=list)
    instance: str = ""

    async def run(self, caller: Caller) -> None:
        """Follow until cancelled."""
        async with aclosing(caller.feed("/feed")) as lines:
            async for line in lines:
                event = json.loads(line)
                self.instance = event["instance"]
                self.numbers.append(event["sequence"])

    async def more(self, events: int, limit_s: float = 15.0) -> bool:
        """Wait for further events; return whether they came."""
        wanted = len(self.numbers) + events
        with suppress(TimeoutError):
            await until(lambda: len(self.numbers) >= wanted, limit_s)
        return len(self.numbers) >= wanted

    @property
    def gaps_and_repeats(self) -> int:
        """Number of events that do not follow the one before them."""
        pairs = zip(self.numbers, self.numbers[1:], strict=False)
        return sum(after != before + 1 for before, after in pairs)


@dataclass(slots=True)
class LinePoster:
    """Posts purchase lines one after the other, each with a key of its own."""

    answered: list[str] = field(default_factory=list)
    repeated: int = 0
    stopping: bool = False

    async def run(self, caller: Caller) -> None:
        """Post until told to stop; the line in progress is finished."""
        number = 0
        while not self.stopping:
            number += 1
            await self._post(caller, f"line-{number}")
            await asyncio.sleep(_LINE_PAUSE_S)

    async def _post(self, caller: Caller, line: str) -> None:
        """Repeat one line until it is answered.

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
            self.repeated += 1
            await asyncio.sleep(_LINE_PAUSE_S)


class Demo:
    """The steps of the demo."""

    def __init__(self, site: Site, account: Account) -> None:
        self._site = site
        self._account = account
        self._watch = FeedWatch()
        self._poster = LinePoster()

    async def run(self) -> None:
        """Run all steps."""
        self._account.tell(f"{len(self._site.processes.running)} processes run")
        await self._put_in_force(1, CORE)
        async with self._caller(CORE) as caller, self._traffic(caller):
            await self._upload(caller, CORE)
            await self._kill_entry(caller)
            await self._drain_target()
            await self._put_in_force(2, CORE, INTAKE)
            async with self._caller(INTAKE) as intake:
                await self._upload(intake, INTAKE)
        await self._check_lines()
        await self._stop()

    async def _put_in_force(self, generation: int, *services: str) -> None:
        started = time.monotonic()
        applied = await self._site.apply(*services)
        accepted = f"generation={generation}" in " ".join(applied.lines)
        if not accepted:
            raise ProcessError("apply: " + "\n".join(applied.lines))
        accepted_at = time.monotonic()
        status = await self._site.status(generation)
        while status.exit_code and time.monotonic() < accepted_at + 20:
            status = await self._site.status(generation)
        elapsed_s = time.monotonic() - accepted_at
        self._account.check(
            status.exit_code == 0 and (generation == 1 or elapsed_s < IN_FORCE_LIMIT_S),
            f"manifest generation {generation} ({', '.join(services)}) is in force at "
            f"{len(self._site.control_addresses)} members; accepted after "
            f"{accepted_at - started:.1f} s, in force {elapsed_s:.1f} s later",
        )
        for line in status.lines if status.exit_code else ():
            self._account.tell(f"       {line}")

    @asynccontextmanager
    async def _traffic(self, caller: Caller):
        """Follow the feed and post lines inside the context."""
        feed = asyncio.create_task(self._watch.run(caller))
        posting = asyncio.create_task(self._poster.run(caller))
        try:
            opened = await self._watch.more(5, limit_s=20)
            self._account.check(opened, f"a feed is open at {self._watch.instance}")
            yield
            self._poster.stopping = True
            await asyncio.wait_for(posting, 20)
            self._account.check(
                self._watch.gaps_and_repeats == 0,
                f"the feed brought {len(self._watch.numbers)} events without a gap "
                "or a repeat",
            )
        finally:
            for task in (feed, posting):
                task.cancel()
            await asyncio.gather(feed, posting, return_exceptions=True)

    async def _upload(self, caller: Caller, service: str) -> None:
        data = random.Random(1).randbytes(UPLOAD_BYTES)
        started = time.monotonic()
        answer = await caller.request("POST", "/upload", body=data, deadline_s=30)
        whole = json.loads(answer.body)["sha256"] == hashlib.sha256(data).hexdigest()
        self._account.check(
            whole,
            f"an upload of {UPLOAD_BYTES // 1024} KiB to {service} arrived whole in "
            f"{time.monotonic() - started:.1f} s",
        )

    async def _kill_entry(self, caller: Caller) -> None:
        opened, instance = caller.connections_opened, self._watch.instance
        victim = self._site.entries["e1"]
        victim.signal(signal.SIGKILL)
        await victim.wait_ended()
        del self._site.control_addresses["e1"]
        self._account.tell("entry instance e1 was killed; the fabric still uses it")
        going_on = await self._watch.more(2000 // FEED_INTERVAL_MS)
        self._site.fabric.write_line(f"remove {ENTRY_IPS[0]}")
        going_on &= await self._watch.more(1000 // FEED_INTERVAL_MS)
        same = caller.connections_opened == opened and self._watch.instance == instance
        self._account.check(
            going_on and same, "the same open flow goes on through the others"
        )

    async def _drain_target(self) -> None:
        old = self._site.targets[self._watch.instance]
        await self._site.configure_upstream(old, draining=True)
        self._account.tell(f"upstream {old.name} says that it drains")
        with suppress(TimeoutError):
            await until(lambda: self._watch.instance != old.name, 15)
        moved = self._watch.instance != old.name and await self._watch.more(10)
        self._account.check(moved, f"the feed moved to {self._watch.instance}")
        await self._stop_target(old)

    async def _stop_target(self, target: Target) -> None:
        target.sidecar.signal(signal.SIGTERM)
        code = await target.sidecar.wait_ended()
        del self._site.control_addresses[target.name]
        self._account.check(
            code == 0, f"the sidecar of {target.name} left without cutting a request"
        )

    async def _check_lines(self) -> None:
        runs = await self._site.execution_counts()
        lost = [line for line in self._poster.answered if line not in runs]
        doubled = [line for line, count in runs.items() if count > 1]
        self._account.check(
            bool(self._poster.answered) and not lost and not doubled,
            f"{len(self._poster.answered)} lines were answered "
            f"({self._poster.repeated} attempts repeated): {len(lost)} lost, "
            f"{len(doubled)} ran twice",
        )

    async def _stop(self) -> None:
        daemons = [*self._site.entries.values()]
        daemons += [t.sidecar for t in self._site.targets.values()]
        stopping = [p for p in daemons if p.exit_code is None]
        for process in stopping:
            process.signal(signal.SIGTERM)
        codes = [await process.wait_ended() for process in stopping]
        self._account.check(
            not any(codes), f"{len(codes)} daemons stopped gracefully: {codes}"
        )

    def _caller(self, service: str):
        return Caller.connect(
            f"https://{self._site.services[service]}",
            ca_file=str(self._site.certificate_files.certificate),
        )


async def run() -> int:
    """Run the demo and return its exit code."""
    account = Account()
    async with running_site() as site:
        try:
            await Demo(site, account).run()
        except Exception as error:
            account.check(False, f"{type(error).__name__}: {error}")
        if account.failures:
            _print_logs(site)
    verdict = "every check held" if not account.failures else "CHECKS FAILED"
    account.tell(f"{verdict}; all processes were stopped")
    return 1 if account.failures else 0


def _print_logs(site: Site) -> None:
    daemons = {f"entry {n}": p for n, p in site.entries.items()}
    daemons |= {t.sidecar.name: t.sidecar for t in site.targets.values()}
    for name, process in daemons.items():
        print(f"--- last lines of {name} (exit code {process.exit_code})")
        print("\n".join(process.lines[-15:]))


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
