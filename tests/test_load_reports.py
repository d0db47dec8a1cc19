"""Load reports among targets: stale reports and those of other services are ignored."""

from contextlib import AsyncExitStack
from random import Random

import pytest

from cranberryhold.addresses import Address
from cranberryhold.background_tasks import running_tasks
from cranberryhold.clock import SystemClock
from cranberryhold.membership.links import MemoryNetwork
from cranberryhold.membership.members import Member, Role
from cranberryhold.membership.membership import Membership
from cranberryhold.membership.messages import ServiceLoad, encode
from cranberryhold.requests.admission import Load
from cranberryhold.requests.load_reports import REPORT_LIFETIME_S, LoadReporter

pytestmark = pytest.mark.looptime(start=0, noop_cycles=0)


class Target:
    """A target that exchanges load reports."""

    def __init__(self, network: MemoryNetwork, number: int, service: str) -> None:
        address = Address(f"10.0.0.{number}", 7000)
        self.name = f"t{number}"
        member = Member(self.name, Role.SIDECAR, "z", "r", address, address, service)
        clock, rng = SystemClock(), Random(number)
        contacts = [Address("10.0.0.1", 7000)]
        self.membership = Membership(
            member, network.link(address), clock=clock, rng=rng, contacts=contacts
        )
        self.received: dict[str, Load] = {}
        self.loads = LoadReporter(
            self.membership,
            lambda: (100 * number, Load(number, 0, 4)),
            self.received.__setitem__,
            clock=clock,
            rng=rng,
        )


async def test_only_recent_reports_of_the_same_service_count() -> None:
    network = MemoryNetwork(lambda source, target: 0.001)
    services = {1: "core", 2: "core", 3: "core", 4: "bills"}
    targets = {n: Target(network, n, service) for n, service in services.items()}
    clock = SystemClock()
    async with AsyncExitStack() as stack:
        for target in targets.values():
            await stack.enter_async_context(target.membership.running())
        await clock.sleep(10)
        async with running_tasks(clock, *(t.loads.run for t in targets.values())):
            await clock.sleep(5)
            assert targets[1].loads.connections() == {"t2": 200, "t3": 300}
            assert targets[1].received == {"t2": Load(2, 0, 4), "t3": Load(3, 0, 4)}
            assert targets[4].loads.connections() == {}
            foreign = ServiceLoad("t4", 9, 9, 9, 4)
            targets[4].membership.send(foreign, Address("10.0.0.1", 7000))
            await clock.sleep(1)
            assert "t4" not in targets[1].loads.connections()
        await clock.sleep(REPORT_LIFETIME_S)
        assert targets[1].loads.connections() == {}


def test_report_is_small() -> None:
    """In a service of 10 targets, reports cost each some hundred bytes per second."""
    assert len(encode(ServiceLoad("khata-core-1234", 2000, 4, 100, 4))) < 60
