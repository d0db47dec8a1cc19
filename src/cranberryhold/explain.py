"""Merges the log lines of several processes to show what happened to a flow."""

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
        "evacuation-changed",
        "evacuation-stale",
        "evacuation-unknown-zone",
        "dependency-lost",
        "dependency-regained",
        "peer-left",
        "peer-forgotten",
        "breaker-opened",
        "breaker-closed",
        "target-heartbeat",
        "target-absent",
        "target-ended",
        "target-suspected",
        "target-ejected",
        "target-on-trial",
        "target-restored",
        "settings-reloaded",
        "settings-refused",
    }
)
"""Events that concern no single flow but affect the decisions of a process."""

EVACUATED = "evacuated"
"""Reason of an opening that was refused because of an evacuation."""

_START = re.compile(r"time=\S+ level=")


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line.

    :param time: when the line was written, by the clock of its instance.
    :param fields: all key-value pairs of the line.
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
    """Parse a log line; return None for other text.

    Text before the first pair is ignored.
    """
    start = _START.search(text)
    if start is None:
        return None
    try:
        pairs = shlex.split(text[start.start() :])
        fields = dict(pair.split("=", 1) for pair in pairs)
        return LogLine(datetime.fromisoformat(fields["time"]), fields)
    except (ValueError, KeyError):
        return None


def read_logs(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines in the files, skipping other lines.

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
    """Return the log lines of a flow and the context events of its instances.

    :param flow: the flow as it appears in logs, or its caller's address and port.
    :param context_s: seconds before the first and after the last line of the flow
        for which context events are included.
    """
    all_lines = sorted(lines, key=lambda line: line.time)
    flow_lines = [
        line
        for line in all_lines
        if line.fields.get("flow") == flow
        or line.fields.get("flow", "").startswith(f"{flow}-")
    ]
    if not flow_lines:
        return []
    margin = timedelta(seconds=context_s)
    first, last = flow_lines[0].time - margin, flow_lines[-1].time + margin
    nodes = {line.node for line in flow_lines}
    causes = _earlier_causes(flow_lines, all_lines)
    return [
        line
        for line in all_lines
        if line in flow_lines
        or line in causes
        or (
            line.event in CONTEXT_EVENTS
            and line.node in nodes
            and first <= line.time <= last
        )
    ]


def _earlier_causes(
    flow_lines: Iterable[LogLine], all_lines: Iterable[LogLine]
) -> list[LogLine]:
    """Return the changes that began the evacuations for which a flow was refused.

    They may have happened long before.
    """
    refused_at: dict[str, datetime] = {}
    for line in flow_lines:
        if line.fields.get("reason") == EVACUATED:
            refused_at.setdefault(line.node, line.time)
    newest: dict[str, LogLine] = {}
    for line in all_lines:
        at = refused_at.get(line.node)
        if line.event == "evacuation-changed" and at is not None and line.time <= at:
            newest[line.node] = line
    return list(newest.values())
