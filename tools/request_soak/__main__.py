"""Runs seeds: ``python -m tools.request_soak --seed 1 --seeds 5 --duration 15``."""

import argparse
import asyncio
import sys

from tools.request_soak.faults import DEFAULT_LONGEST_PAUSE_S
from tools.request_soak.run import run_request_soak


def main() -> int:
    """Run the seeds one after another; return 1 if any has a violation."""
    parser = argparse.ArgumentParser(prog="tools.request_soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--duration", type=float, default=15.0, help="seconds in which faults start"
    )
    parser.add_argument(
        "--longest-pause",
        type=float,
        default=DEFAULT_LONGEST_PAUSE_S,
        help="upper bound of the pause of a process, in seconds",
    )
    options = parser.parse_args()
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        print(f"seed {seed} for {options.duration:.0f} s", flush=True)
        violations = asyncio.run(
            run_request_soak(
                seed,
                options.duration,
                _log,
                longest_pause_s=options.longest_pause,
            )
        )
        for violation in violations:
            _log(f"VIOLATION {violation}")
        if violations:
            failed.append(seed)
    print(f"{options.seeds} runs, {len(failed)} failed: {failed}", flush=True)
    return 1 if failed else 0


def _log(text: str) -> None:
    print(f"  {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
