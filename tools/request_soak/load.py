"""Load of a run: callers that record what became of each of their requests."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from dataclasses import dataclass, field
from enum import StrEnum

from cranberryhold.caller import Caller
from cranberryhold.exceptions import (
    CranberryholdError,
    NotRunError,
    OutcomeUnknownError,
)
from tools.demo import FeedFollower
from tools.demo_site import CORE, Site

CALLERS = 4
POSTERS_PER_CALLER = 2
LINE_DEADLINE_S = 4.0
PAUSE_BETWEEN_LINES_S = 0.02
# Work of a line in milliseconds, so that stops and kills find lines in progress.
WORK_MS = (0, 50, 400)


class Outcome(StrEnum):
    """What the caller of a line was told."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LineRecord:
    """A posted line.

    :ivar line: id of the line.
    :ivar started_at: monotonic time in seconds of its first attempt.
    :ivar ended_at: monotonic time in seconds at which its caller knew the outcome.
    :ivar detail: the answer, or the error.
    """

    line: str
    started_at: float
    ended_at: float
    outcome: Outcome
    detail: str


@dataclass(slots=True)
class Load:
    """The requests of a run.

    :ivar lines: lines whose outcome is known to their callers.
    :ivar mismatched: answers that belong to another request.
    :ivar feed: events of the open feed.
    """

    lines: list[LineRecord] = field(default_factory=list)
    mismatched: list[str] = field(default_factory=list)
    feed: FeedFollower = field(default_factory=FeedFollower)
    stopping: bool = False

    async def post_lines(self, caller: Caller, prefix: str) -> None:
        """Post lines one after another until :attr:`stopping` is set."""
        number = 0
        while not self.stopping:
            number += 1
            work_ms = WORK_MS[number % len(WORK_MS)]
            await self._post(caller, f"{prefix}-{number}", work_ms)
            await asyncio.sleep(PAUSE_BETWEEN_LINES_S)

    async def _post(self, caller: Caller, line: str, work_ms: int) -> None:
        try:
            key = await caller.new_idempotency_key()
        except CranberryholdError:
            return
        started_at = time.monotonic()
        try:
            answer = await caller.request(
                "POST",
                f"/lines?work_ms={work_ms}",
                body=json.dumps({"id": line}).encode(),
                idempotency_key=key,
                deadline_s=LINE_DEADLINE_S,
            )
        except NotRunError as error:
            outcome, detail = Outcome.NOT_RUN, str(error)
        except OutcomeUnknownError as error:
            outcome, detail = Outcome.UNKNOWN, str(error)
        else:
            outcome, detail = Outcome.ANSWERED, answer.body.decode()
            if answer.status != 200 or json.loads(answer.body).get("id") != line:
                self.mismatched.append(f"{line}: {answer.status} {detail}")
        record = LineRecord(line, started_at, time.monotonic(), outcome, detail)
        self.lines.append(record)


@asynccontextmanager
async def running_load(site: Site) -> AsyncIterator[Load]:
    """Send requests inside the context; at its end, wait for those in progress."""
    load = Load()
    async with AsyncExitStack() as stack:
        posting, following = [], []
        for number in range(CALLERS):
            caller = await stack.enter_async_context(_caller(site))
            posting += [
                asyncio.create_task(load.post_lines(caller, f"line-{number}-{poster}"))
                for poster in range(POSTERS_PER_CALLER)
            ]
        feed_caller = await stack.enter_async_context(_caller(site))
        following.append(asyncio.create_task(load.feed.run(feed_caller)))
        try:
            yield load
            load.stopping = True
            await asyncio.gather(*posting)
        finally:
            for task in (*posting, *following):
                task.cancel()
            await asyncio.gather(*posting, *following, return_exceptions=True)


def _caller(site: Site) -> AbstractAsyncContextManager[Caller]:
    return Caller.connect(
        f"https://{site.services[CORE]}",
        ca_file=str(site.certificate_files.certificate),
    )
