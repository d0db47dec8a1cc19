"""Logging: each event is one line of key=value pairs that can be parsed again."""

import io
import json
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from cranberryhold.logs import format_logfmt, log_event, setup_logs

PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)(?: |$)')
KEYS = st.from_regex(r"[a-z_]{1,8}", fullmatch=True)


def parse(line: str) -> dict[str, str]:
    pairs = PAIR.findall(line)
    assert " ".join(f"{k}={v}" for k, v in pairs) == line, "not only key=value pairs"
    return {k: json.loads(v) if v.startswith('"') else v for k, v in pairs}


@pytest.fixture
def stream() -> io.StringIO:
    stream = io.StringIO()
    setup_logs("INFO", stream)
    yield stream
    logger.remove()


@given(st.dictionaries(KEYS, st.text(max_size=20), min_size=1))
def test_any_text_value_survives_formatting_and_parsing(fields: dict[str, str]) -> None:
    line = format_logfmt(fields)
    assert line.isprintable()
    assert parse(line) == fields


def test_event_line_starts_with_time_level_module_and_event(
    stream: io.StringIO,
) -> None:
    log_event("member-down", node="entry 3", zone="lalitpur", count=2, up=False)
    line = stream.getvalue()
    assert line.endswith(
        ' event=member-down node="entry 3" zone=lalitpur count=2 up=false\n'
    )
    fields = parse(line.strip())
    assert list(fields)[:4] == ["time", "level", "module", "event"]
    assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", fields["time"])
    assert fields["level"] == "info"
    assert fields["module"] == __name__


def test_events_below_the_level_are_not_logged(stream: io.StringIO) -> None:
    log_event("detail", level="DEBUG")
    assert stream.getvalue() == ""
    log_event("trouble", level="ERROR")
    assert "level=error" in stream.getvalue()


def test_markup_and_braces_in_values_are_unchanged(stream: io.StringIO) -> None:
    log_event("odd", value="{x}<red>")
    assert parse(stream.getvalue().strip())["value"] == "{x}<red>"


@pytest.mark.parametrize("message", ["plain words", "event=x\nnext=line"])
def test_plain_messages_are_logged_as_one_quoted_value(
    stream: io.StringIO, message: str
) -> None:
    logger.info("{}", message)
    (line,) = stream.getvalue().splitlines()
    assert parse(line)["text"] == message


def test_exception_is_logged_on_the_line_of_its_event(stream: io.StringIO) -> None:
    try:
        raise ValueError("first\nsecond")
    except ValueError:
        logger.exception("event=handler-failed peer={}", "127.0.0.1:1")
    (line,) = stream.getvalue().splitlines()
    fields = parse(line)
    assert fields["event"] == "handler-failed"
    assert fields["error"] == "ValueError: first\nsecond"
    assert fields["trace"].startswith("test_logs.py:")
