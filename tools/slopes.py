"""Measures the cost of a member, flow, change or message at several sizes each.

With ``--record`` the points and their linear fits are written to ``docs/slopes.json``,
from which ``python -m tools.capacity`` computes the capacity page.
"""

import argparse
import importlib
import json
import pkgutil
import time
from collections.abc import Iterator
from pathlib import Path

from loguru import logger

from tools import slope_parts
from tools.slope_parts.fits import Slope
from tools.tables import Table

RECORDED = Path(__file__).parent.parent / "docs" / "slopes.json"


def measure(seed: int, parts: list[str]) -> Iterator[Slope]:
    """Measure the named parts, print a table of each and yield the slopes."""
    for name in parts:
        started = time.perf_counter()
        module = importlib.import_module(f"tools.slope_parts.{name}")
        table = Table(
            f"{name}: seed {seed}",
            ("slope", "unit", "per", "sizes", "values", "per unit", "base", "residual"),
        )
        for slope in module.slopes(seed):
            table.add(*_format_row(slope))
            yield slope
        print(table, end="\n")
        print(f"({name}: {time.perf_counter() - started:.1f} s)\n", flush=True)


def _format_row(slope: Slope) -> tuple[str, ...]:
    sizes, values = zip(*slope.points, strict=True)
    return (
        slope.name,
        slope.unit,
        slope.per,
        " ".join(f"{s:.4g}" for s in sizes),
        " ".join(f"{v:.4g}" for v in values),
        f"{slope.slope:.4g}",
        f"{slope.intercept:.4g}",
        f"{slope.residual:.3g}{' curve' if slope.is_curved else ''}",
    )


def record(slopes: list[Slope], seed: int, path: Path = RECORDED) -> None:
    """Write the points and the fits to a JSON file."""
    document = {
        "command": f"python -m tools.slopes --seed {seed} --record",
        "seed": seed,
        "slopes": [slope.as_dict() for slope in slopes],
    }
    path.write_text(json.dumps(document, indent=1) + "\n")


def load(path: Path = RECORDED) -> tuple[str, dict[str, Slope]]:
    """Return the command of the recorded run and its slopes by name."""
    document = json.loads(path.read_text())
    slopes = (Slope.from_dict(entry) for entry in document["slopes"])
    return document["command"], {slope.name: slope for slope in slopes}


def main() -> None:
    """Measure all parts, or those named on the command line."""
    names = [m.name for m in pkgutil.iter_modules(slope_parts.__path__)]
    parts = sorted(set(names) - {"fits", "meters"})
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--record", action="store_true", help=f"write {RECORDED.name}")
    parser.add_argument("parts", nargs="*", help=f"of: {', '.join(parts)}")
    options = parser.parse_args()
    unknown = sorted(set(options.parts) - set(parts))
    if unknown:
        parser.error(f"no part named {', '.join(unknown)}")
    if options.record and options.parts:
        parser.error("--record needs all parts")
    logger.disable("cranberryhold")
    slopes = list(measure(options.seed, options.parts or parts))
    if options.record:
        record(slopes, options.seed)


if __name__ == "__main__":
    main()
