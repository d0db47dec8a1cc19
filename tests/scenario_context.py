"""State shared by the steps of a scenario."""

import asyncio
from collections.abc import Awaitable

import looptime

from cranberryhold.datapath.routing import DropReason
from cranberryhold.manifest.models import ClassKind, RequestClass, Service
from tests.aioquic_client import Response
from tests.simulation import SimulatedCaller, Simulation

ZONES = {
    "Himal": (["baneshwor", "lalitpur", "bhaktapur"], 0.004, 4),
    "Gebeya": (["addis-a", "addis-b", "addis-c"], 0.003, 3),
}
PORTS = {"khata-core": 4433, "bill-intake": 4434, "returns-core": 4435}


class ScenarioContext:
    """The simulation, the event loop in virtual time and the results of the steps."""

    def __init__(self, certificate: tuple[str, str]) -> None:
        self.loop = looptime.new_event_loop()
        self.certificate = certificate
        self.simulation: Simulation
        self.slots = 0
        self.connection: SimulatedCaller
        self.pending_response: asyncio.Future
        self.drains: dict[str, asyncio.Task[int]] = {}
        self.executions_before: dict[str, int] = {}
        self.responses: list[tuple[str, str, Response]] = []
        self.routes: list[DropReason] = []
        self.other_connection: SimulatedCaller
        self.idempotency_key = ""
        self.line_responses: list[Response] = []

    def run(self, awaitable: Awaitable):
        """Run until it completes, in virtual time."""
        return self.loop.run_until_complete(awaitable)

    def close(self) -> None:
        """Cancel the tasks that are still running."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.run(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()


def service(name: str, slots: int) -> Service:
    classes = (
        RequestClass(name="feed", kind=ClassKind.FEED, path_prefix="/feed"),
        RequestClass(
            name="line", methods=("POST",), path_prefix="/lines", at_most_once=True
        ),
        RequestClass(name="work", deadline_s=1000),
    )
    return Service(
        name=name,
        addresses=(f"127.0.0.1:{PORTS[name]}",),
        slots_per_target=slots,
        classes=classes,
    )
