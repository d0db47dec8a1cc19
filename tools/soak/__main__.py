"""Runs the soak test of some seeds: ``python -m tools.soak --seed 1 --duration 20``."""

import argparse
import asyncio
import sys
import tomllib
from pathlib import Path
from tempfile import TemporaryDirectory

from tools.soak.run import SiteSize, run_soak

CASES = Path(__file__).with_name("cases.toml")


def parser() -> argparse.ArgumentParser:
    """Return the command line parser."""
    result = argparse.ArgumentParser(prog="tools.soak", description=__doc__)
    result.add_argument("--seed", type=int, default=1, help="first seed")
    result.add_argument("--seeds", type=int, default=1, help="number of seeds")
    result.add_argument(
        "--duration",
        type=float,
        default=20.0,
        help="how long faults are injected, in seconds",
    )
    result.add_argument(
        "--entries", type=int, default=2, help="entry instances in each zone"
    )
    result.add_argument("--sidecars", type=int, default=5)
    result.add_argument(
        "--cases", action="store_true", help="run the regression seeds of cases.toml"
    )
    result.add_argument(
        "--logs", type=Path, help="directory for the logs of failed runs"
    )
    return result


def main() -> int:
    """Run the seeds one after another; return 1 if any violated an invariant."""
    options = parser().parse_args()
    if options.cases:
        runs = [
            (
                case["seed"],
                case["duration_s"],
                SiteSize(case["entries"], case["sidecars"]),
            )
            for case in tomllib.loads(CASES.read_text())["case"]
        ]
    else:
        size = SiteSize(options.entries, options.sidecars)
        seeds = range(options.seed, options.seed + options.seeds)
        runs = [(seed, options.duration, size) for seed in seeds]
    failed = [run for run in runs if not _passes(*run, options.logs)]
    for seed, duration_s, size in failed:
        print(f"failed: seed {seed}, {duration_s:.0f} s, {size}", flush=True)
    print(f"{len(runs)} runs, {len(failed)} failed", flush=True)
    return 1 if failed else 0


def _passes(seed: int, duration_s: float, size: SiteSize, logs: Path | None) -> bool:
    print(f"seed {seed} for {duration_s:.0f} s", flush=True)
    with TemporaryDirectory() as temporary:
        directory = Path(temporary)
        if logs is not None:
            directory = logs / f"seed-{seed}"
            directory.mkdir(parents=True, exist_ok=True)
        violations = asyncio.run(
            run_soak(
                seed,
                duration_s,
                size=size,
                directory=directory,
                log=lambda line: print(f"  {line}", flush=True),
            )
        )
    return not violations


if __name__ == "__main__":
    sys.exit(main())
