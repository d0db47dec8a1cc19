"""Logging in logfmt: one line of key=value pairs per event.

The first pairs of a line are ``time`` (UTC), ``level``, ``module`` and ``event``.
A value with spaces, quotes, equals signs or control characters is written as a
JSON string.
"""

import sys
from datetime import UTC
from pathlib import Path
from typing import Any, TextIO

from loguru import logger

from cranberryhold.logfmt import format_logfmt

_EVENT_PREFIX = "event="


def setup_logs(level: str = "INFO", stream: TextIO | None = None) -> None:
    """Write only events of at least this level to a stream.

    :param level: name of the lowest level to write.
    :param stream: output stream; None for standard error.
    """
    logger.remove()
    logger.add(
        stream or sys.stderr,
        level=level,
        format=_format,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )


def log_event(
    event: str, /, *, level: str = "INFO", stack_depth: int = 1, **fields: object
) -> None:
    """Log an event.

    >>> log_event("member-down", node="entry-3", zone="lalitpur", level="WARNING")

    :param event: name of the event, in words joined by dashes.
    :param level: name of the event's level.
    :param stack_depth: number of the calling frame whose module is logged; 1 for the
        direct caller.
    :param fields: additional pairs of the line.
    """
    pairs = format_logfmt({"event": event, **fields})
    logger.opt(depth=stack_depth).log(level, "{}", pairs)


def _format(record: dict[str, Any]) -> str:
    """Build the line and return the loguru template that inserts it."""
    time = record["time"].astimezone(UTC).isoformat(timespec="milliseconds")
    header = {
        "time": time.replace("+00:00", "Z"),
        "level": record["level"].name.lower(),
        "module": record["name"],
    }
    message = record["message"]
    if message.startswith(_EVENT_PREFIX) and message.isprintable():
        pairs = message
    else:
        pairs = format_logfmt({"event": "message", "text": message})
    if record["exception"] is not None:
        pairs += " " + format_logfmt(_exception_fields(record["exception"]))
    record["extra"]["line"] = f"{format_logfmt(header)} {pairs}"
    return "{extra[line]}\n"


def _exception_fields(exception: Any) -> dict[str, object]:
    """Return the fields of an exception: its type, message and innermost frames."""
    frames = []
    trace = exception.traceback
    while trace is not None:
        frames.append(
            f"{Path(trace.tb_frame.f_code.co_filename).name}:{trace.tb_lineno}"
        )
        trace = trace.tb_next
    return {
        "error": f"{exception.type.__name__}: {exception.value}",
        "trace": ">".join(frames[-8:]),
    }
