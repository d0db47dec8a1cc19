"""Examples, links and event names on the user pages must be valid."""

import re
import shlex
from pathlib import Path

import pytest

from cranberryhold.cli import build_parser
from cranberryhold.manifest.text import load_manifest

ROOT = Path(__file__).parent.parent
PAGES = [
    ROOT / "README.md",
    *(ROOT / "docs" / name for name in ("OPERATIONS.md", "callers.md", "limits.md")),
]


def code_blocks(path, language):
    return re.findall(rf"```{language}\n(.*?)```", path.read_text(), re.DOTALL)


def example_commands():
    for path in PAGES:
        for block in code_blocks(path, "sh"):
            for line in block.replace("\\\n", " ").splitlines():
                if line.startswith("cranberryhold "):
                    yield pytest.param(line, id=f"{path.name}: {line[:50]}")


@pytest.mark.parametrize("line", list(example_commands()))
def test_example_commands_are_valid(line):
    build_parser().parse_args(shlex.split(line)[1:])


def test_example_manifest_is_valid():
    (text,) = code_blocks(ROOT / "README.md", "yaml")
    result = load_manifest(text)
    assert result.is_ok(), result
    core = result.ok.service("khata-core")
    assert core.find_class("POST", "/lines").at_most_once
    assert core.find_class("GET", "/prices").name == "price"


@pytest.mark.parametrize("path", PAGES, ids=lambda path: path.name)
def test_links_lead_to_existing_files(path):
    for target in re.findall(r"\]\(([^)#:]+)\)", path.read_text()):
        assert (path.parent / target).is_file(), target


def test_events_on_the_operations_page_occur_in_the_source():
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
