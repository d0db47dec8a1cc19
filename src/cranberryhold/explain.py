"""Puts the log lines of several processes together to explain what befell a flow."""

import re
import shlex
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path

from cranberryhold.exceptions import CranberryholdError

CONTEXT_EVENTS = frozenset(
    {
        "started",
        "stopped",
        "stop-requested",
        "drained",
        "rotation-left",
        "process-was-paused",
        "configuration-adopted",
        "configuration-malformed",
        "dependency-lost",
        "dependency-regained",
        "peer-left",
        "peer-forgotten",
        "target-heartbeat",
        "target-absent",
        "target-ended",
        "settings-reloaded",
        "settings-refused",
    }
)
"""Events without a flow that change what a process decides."""

_START = re.compile(r"time=\S+ level=")


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a log.

    :param time: when it was written, by the clock of its instance.
    :param fields: all pairs of the line.
    """

    time: datetime
    fields: Mapping[str, str]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")

    @property
    def node(self) -> str:
        """Name of the instance."""
        return self.fields.get("node", "")

    def __str__(self) -> str:
        rest = {
            key: value
            for key, value in self.fields.items()
            if key not in ("time", "level", "node", "event", "flow")
        }
        pairs = " ".join(f"{key}={value}" for key, value in rest.items())
        return (
            f"{self.time:%H:%M:%S.%f} {self.node:24} {self.event:24} {pairs}".rstrip()
        )


def parse_line(text: str) -> LogLine | None:
    """Return a log line, or None if the text is none; text before it is ignored."""
    start = _START.search(text)
    if start is None:
        return None
    try:
        words = shlex.split(text[start.start() :])
        fields = dict(word.split("=", 1) for word in words)
        return LogLine(datetime.fromisoformat(fields["time"]), fields)
    except (ValueError, KeyError):
        return None


def read_logs(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of the files that are log lines.

    :raises CranberryholdError: naming the file that can't be read.
    """
    for path in paths:
        try:
            with Path(path).open(errors="replace") as file:
                yield from (line for text in file if (line := parse_line(text)))
        except OSError as error:
            raise CranberryholdError(
                f"{path}: {error.strerror}; name readable log files", step="read log"
            ) from error


def explain(lines: Iterable[LogLine], flow: str, context_s: float) -> list[LogLine]:
    """Return what was logged of a flow, and what its instances learned around it.

    :param flow: the flow as logs show it, or its caller's address and port.
    :param context_s: seconds before the first and after the last line of the flow.
    """
    every = sorted(lines, key=lambda line: line.time)
    own = [
        line
        for line in every
        if line.fields.get("flow") == flow
        or line.fields.get("flow", "").startswith(f"{flow}-")
    ]
    if not own:
        return []
    margin = timedelta(seconds=context_s)
    first, last = own[0].time - margin, own[-1].time + margin
    nodes = {line.node for line in own}
    return [
        line
        for line in every
        if line in own
        or (
            line.event in CONTEXT_EVENTS
            and line.node in nodes
            and first <= line.time <= last
        )
    ]
