"""Linear fits, and completeness of the recorded slopes."""

import json
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.membership.messages import Datagram
from tools.slope_parts.fits import MIN_POINTS, Slope
from tools.slope_parts.meters import measure_memory
from tools.slopes import RECORDED, load, record

coefficients = st.floats(-1e6, 1e6)


@given(coefficients, coefficients)
def test_fit_of_points_on_a_line_is_that_line(intercept: float, each: float) -> None:
    points = tuple((x, intercept + each * x) for x in (1.0, 10.0, 100.0))
    slope = Slope("s", "B", "x", points)
    tolerance = 1e-6 * (1 + abs(intercept) + abs(each))
    assert slope.slope == pytest.approx(each, abs=tolerance)
    assert slope.intercept == pytest.approx(intercept, abs=tolerance)
    assert slope.residual <= 100 * tolerance


def test_a_curve_is_marked_and_its_residual_recorded() -> None:
    slope = Slope("s", "B", "x", ((0, 0), (10, 100), (20, 400)))
    assert slope.is_curved
    assert slope.as_dict()["largest_residual"] == pytest.approx(200 / 3)


@pytest.mark.parametrize("points", [((1, 1), (2, 2)), ((1, 1), (2, 2), (2, 3))])
def test_a_fit_from_fewer_than_three_sizes_is_rejected(points: tuple) -> None:
    with pytest.raises(ValueError, match="at least 3 sizes"):
        Slope("s", "B", "x", points)


def test_recorded_fits_match_their_points() -> None:
    for entry in json.loads(RECORDED.read_text())["slopes"]:
        assert len({x for x, _ in entry["points"]}) >= MIN_POINTS
        slope = Slope.from_dict(entry)
        # Exact equality would depend on the order of floating-point additions.
        assert entry["slope"] == pytest.approx(slope.slope, rel=1e-9)
        assert entry["base"] == pytest.approx(slope.intercept, rel=1e-9, abs=1e-12)
        assert entry["largest_residual"] == pytest.approx(slope.residual, abs=1e-9)


def test_memory_measurement_excludes_freed_memory() -> None:
    """Guards against counting memory that the measured code has freed."""
    with measure_memory() as measurement:
        data = bytes(1_000_000)
        bytes(5_000_000)
    assert measurement.value == pytest.approx(len(data), rel=0.02)


def test_recording_keeps_the_points(tmp_path) -> None:
    slope = Slope("s", "B", "x", ((1, 1.5), (2, 2.5), (4, 3.0)))
    record([slope], 7, tmp_path / "slopes.json")
    command, slopes = load(tmp_path / "slopes.json")
    assert slopes == {"s": slope}
    assert "--seed 7" in command


def test_every_type_of_datagram_is_measured() -> None:
    _, slopes = load()
    for kind in Datagram.__subclasses__():
        name = re.sub(r"(?<!^)(?=[A-Z])", "-", kind.__name__).lower()
        if kind.__module__ == "cranberryhold.membership.messages":
            assert f"datagram.{name}.wire" in slopes
            assert f"datagram.{name}.time" in slopes
