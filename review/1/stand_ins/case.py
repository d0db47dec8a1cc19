"""Runs one case, and turns its result into an exit code."""

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins.record import Record
from stand_ins.site import CannotRunError, Site, running_site

BROKEN, HELD, CANNOT_RUN = 1, 0, 2
LIMIT_S = 112.0

Case = Callable[[Site, bool], Awaitable[list[str]]]


def run_case(folder: Path, case: Case) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2.

    :param folder: folder of the case, for ``record.txt``.
    :param case: called with the site and whether to cause the disruption; returns
        what broke the rule.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(_run(record, case, trouble))
    except Exception:
        record.write("the case could not run:\n" + traceback.format_exc())
        code = CANNOT_RUN
    record.write({BROKEN: "BROKEN", HELD: "HELD", CANNOT_RUN: "CANNOT RUN"}[code])
    record.close()
    sys.exit(code)


async def _run(record: Record, case: Case, trouble: bool) -> int:
    record.write(f"the disruption is {'caused' if trouble else 'left out'}")
    with tempfile.TemporaryDirectory() as directory:
        async with running_site(record, Path(directory)) as site:
            try:
                async with asyncio.timeout(LIMIT_S):
                    broken = await case(site, trouble)
            finally:
                _keep_events(record, Path(directory))
            if ended := site.ended_processes():
                raise CannotRunError(f"processes have ended: {ended}")
    for text in broken:
        record.write(f"BROKEN {text}")
    return BROKEN if broken else HELD


def _keep_events(record: Record, directory: Path) -> None:
    """Copy the log lines that explain a result into the record."""
    wanted = ("flow-reset ", "lease-lost", "=announced", "target-", "Traceback")
    for log in sorted(directory.glob("*.log")):
        lines = [
            line
            for line in log.read_text(errors="replace").splitlines()
            if any(word in line for word in wanted)
        ]
        for line in lines[:40]:
            record.write(f"log {line}")
