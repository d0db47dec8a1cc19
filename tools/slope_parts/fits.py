"""Linear fits through measured points."""

from dataclasses import asdict, dataclass
from functools import cached_property

MIN_POINTS = 3
"""Minimum number of sizes: two points always lie on a line, a third shows a curve."""

CURVED_RESIDUAL = 0.1
"""A residual above this fraction of the largest value marks a curve."""


@dataclass(frozen=True)
class Slope:
    """A cost measured at several sizes, and the line fitted through the points.

    :param name: dotted name, for example ``member.memory``.
    :param unit: unit of the cost.
    :param per: unit of the sizes.
    :param points: pairs of size and cost.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]

    def __post_init__(self) -> None:
        if len({x for x, _ in self.points}) < MIN_POINTS:
            raise ValueError(f"{self.name}: a fit needs at least {MIN_POINTS} sizes")

    @cached_property
    def slope(self) -> float:
        """Cost of each additional unit, by least squares."""
        mean_x, mean_y = self._means()
        variance_sum = sum((x - mean_x) ** 2 for x, _ in self.points)
        return sum((x - mean_x) * (y - mean_y) for x, y in self.points) / variance_sum

    @property
    def intercept(self) -> float:
        """Cost at size 0, according to the fit."""
        mean_x, mean_y = self._means()
        return mean_y - self.slope * mean_x

    @property
    def residual(self) -> float:
        """Largest deviation of a point from the line, in the unit of the cost."""
        return max(abs(y - self.predict(x)) for x, y in self.points)

    @property
    def is_curved(self) -> bool:
        """Whether the points deviate too much from a line."""
        largest = max(abs(y) for _, y in self.points)
        return self.residual > CURVED_RESIDUAL * largest

    def predict(self, size: float) -> float:
        """Return the cost at a size, according to the fit."""
        return self.intercept + self.slope * size

    def as_dict(self) -> dict[str, object]:
        """Return the points and the fit in the recorded form."""
        return asdict(self) | {
            "slope": self.slope,
            "base": self.intercept,
            "largest_residual": self.residual,
        }

    @classmethod
    def from_dict(cls, recorded: dict) -> "Slope":
        """Return a recorded slope; the line is fitted to its points again."""
        points = tuple((x, y) for x, y in recorded["points"])
        return cls(recorded["name"], recorded["unit"], recorded["per"], points)

    def _means(self) -> tuple[float, float]:
        count = len(self.points)
        xs, ys = zip(*self.points, strict=True)
        return sum(xs) / count, sum(ys) / count
