"""Runs the experiments and prints their tables; takes a seed."""

import argparse
import importlib
import pkgutil
import time

from tools import measures


def main() -> None:
    """Run all experiments, or those named on the command line."""
    names = sorted(m.name for m in pkgutil.iter_modules(measures.__path__))
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("names", nargs="*", help=f"of: {', '.join(names)}")
    options = parser.parse_args()
    unknown = sorted(set(options.names) - set(names))
    if unknown:
        parser.error(f"no experiment named {', '.join(unknown)}")
    for name in options.names or names:
        started = time.perf_counter()
        module = importlib.import_module(f"tools.measures.{name}")
        for table in module.tables(options.seed):
            print(table, end="\n\n", flush=True)
        elapsed = time.perf_counter() - started
        print(f"({name}: seed {options.seed}, {elapsed:.1f} s)\n", flush=True)


if __name__ == "__main__":
    main()
