"""The user pages: an example that no longer works would mislead its reader."""

import re
import shlex
from pathlib import Path

import pytest

from cranberryhold.cli import build_parser
from cranberryhold.manifest_text import load_manifest

ROOT = Path(__file__).parent.parent
PAGES = [
    ROOT / "README.md",
    *(ROOT / "docs" / name for name in ("OPERATIONS.md", "callers.md", "limits.md")),
]


def blocks(path, language):
    return re.findall(rf"```{language}\n(.*?)```", path.read_text(), re.DOTALL)


def commands():
    for path in PAGES:
        for block in blocks(path, "sh"):
            for line in block.replace("\\\n", " ").splitlines():
                if line.startswith("cranberryhold "):
                    yield pytest.param(line, id=f"{path.name}: {line[:50]}")


@pytest.mark.parametrize("line", list(commands()))
def test_the_command_line_knows_each_example(line):
    build_parser().parse_args(shlex.split(line)[1:])


def test_the_example_manifest_is_valid():
    (text,) = blocks(ROOT / "README.md", "yaml")
    result = load_manifest(text)
    assert result.is_ok(), result
    core = result.ok.service("khata-core")
    assert core.find_class("POST", "/lines").at_most_once
    assert core.find_class("GET", "/prices").name == "price"


@pytest.mark.parametrize("path", PAGES, ids=lambda path: path.name)
def test_links_lead_to_pages(path):
    for target in re.findall(r"\]\(([^)#:]+)\)", path.read_text()):
        assert (path.parent / target).is_file(), target


def test_events_on_the_operations_page_are_logged_somewhere():
    sources = "".join(p.read_text() for p in (ROOT / "src").rglob("*.py"))
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    rows = [
        row
        for head in ("| event |", "| event of flows |")
        for row in page.partition(head)[2].partition("\n\n")[0].splitlines()[2:]
    ]
    events = [e for row in rows for e in re.findall(r"`([\w-]+)`", row.split("|")[1])]
    missing = [
        e for e in events if f"event={e} " not in sources and f'"{e}"' not in sources
    ]
    assert len(events) > 50
    assert not missing
