"""The capacity page is generated from the recorded slopes alone."""

from dataclasses import replace

import pytest

from tools.capacity import PAGE, page
from tools.capacity_parts.model import Model
from tools.capacity_parts.sizes import TWO_YEAR
from tools.slope_parts.fits import Slope
from tools.slopes import load


def scaled(slope: Slope, factor: float) -> Slope:
    points = tuple((x, factor * y) for x, y in slope.points)
    return replace(slope, points=points)


def test_page_is_generated_from_the_recorded_slopes() -> None:
    """Fails if the page was edited by hand or is out of date."""
    assert PAGE.read_text() == page(*load())


@pytest.mark.parametrize("name", sorted(load()[1]))
def test_each_slope_affects_the_page(name: str) -> None:
    command, slopes = load()
    changed = slopes | {name: scaled(slopes[name], 3)}
    assert page(command, changed) != page(command, slopes)


@pytest.mark.parametrize(
    ("name", "figure"),
    [
        ("process.memory", "members_memory"),
        ("steady.bytes", "control_bytes"),
        ("change.bytes", "update_bytes"),
        ("change.time", "control_core"),
        ("manifest.bytes", "document_bytes"),
        ("manifest.adopt.time", "adopt_s"),
        ("table.rebuild.time", "tables_core"),
        ("watch.calls", "store_reads"),
        ("flow.handshake.time", "handshake_core"),
        ("flow.memory", "connections_memory"),
    ],
)
def test_a_steeper_slope_raises_its_figure(name: str, figure: str) -> None:
    _, slopes = load()
    before = Model(slopes, TWO_YEAR)
    after = Model(slopes | {name: scaled(slopes[name], 2)}, TWO_YEAR)
    assert getattr(after, figure) > getattr(before, figure)


def test_a_figure_above_its_limit_is_listed_at_the_top() -> None:
    command, slopes = load()
    steep = slopes | {"process.memory": scaled(slopes["process.memory"], 4)}
    findings = page(command, steep).split("## Entry instance")[0]
    assert "memory in all, without flows is" in findings
    findings = page(command, slopes).split("## Entry instance")[0]
    assert "memory in all, without flows is" not in findings


def test_memory_of_the_members_is_slope_times_their_number() -> None:
    _, slopes = load()
    line = Slope("process.memory", "bytes", "member", ((0, 5), (1, 1005), (3, 3005)))
    model = Model(slopes | {"process.memory": line}, TWO_YEAR)
    assert model.members_memory == pytest.approx(1000 * 7430)
    assert model.base_memory == pytest.approx(5)
