"""A site on loopback: daemons as processes, stand-ins for all they meet."""

import asyncio
import os
import signal
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from ipaddress import IPv4Address
from pathlib import Path
from random import Random

from cranberryhold.addresses import Address
from cranberryhold.flows.telemetry import Telemetry
from emulator.flow_callers import CallerHost
from emulator.flow_target import HEARTBEAT_INTERVAL_S, FlowTarget, service_endpoint
from emulator.metadata_store import MetadataStore, metadata_store
from emulator.packet_router import PacketRouter
from emulator.platform_files import (
    CONFIGURATION_KEY,
    GRACE_PERIOD_S,
    MachinePorts,
    configuration_document,
    settings_file,
)
from emulator.stream_proxy import StreamProxy
from tools.processes import (
    ProcessManager,
    RunningProcess,
    free_addresses,
    process_manager,
)
from tools.soak.promises import Promises

ZONES = ("a", "b")
SERVICES = ("core", "intake")
SERVICE_IP = "198.18.0.1"
CORE_PORT, INTAKE_PORT, PROBE_PORT = 443, 444, 445
# Loopback addresses of a run: a block for each process number.
_FIRST_ADDRESS = int(IPv4Address("127.96.0.0"))
_BLOCK, _BLOCKS = 256, 4096
MAX_SEED_ADDRESSES = 3


class Machine:
    """A machine with one daemon.

    :param name: name of the machine.
    :param role: ``entry`` or ``sidecar``.
    :param zone: zone of the machine.
    :param ip: address of the machine.
    :param service: service of the target beside a sidecar.
    """

    def __init__(self, name: str, role: str, zone: str, ip: str, service: str = ""):
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = ip
        self.service = service
        self.target: FlowTarget | None = None
        self.proxy: StreamProxy
        self.harmed = 0
        self.processes: list[RunningProcess] = []
        self.starting = asyncio.Lock()

    @property
    def process(self) -> RunningProcess | None:
        """The process that runs, if one does."""
        last = self.processes[-1] if self.processes else None
        return last if last is not None and last.exit_code is None else None

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal, if one runs."""
        if self.process is not None:
            self.process.signal(number)


class Site:
    """The machines, and what they meet."""

    def __init__(
        self,
        promises: Promises,
        random: Random,
        directory: Path,
        started: ProcessManager,
    ) -> None:
        self.promises = promises
        self.random = random
        self.machines: list[Machine] = []
        self.routers: dict[str, PacketRouter] = {}
        self.callers: list[CallerHost] = []
        self.store: MetadataStore
        self.version = 0
        self.started_at = asyncio.get_running_loop().time()
        self._directory = directory
        self._started = started
        self._base = _FIRST_ADDRESS + os.getpid() % _BLOCKS * _BLOCK
        ports = [a.port for a in free_addresses(7, self.ip(0))]
        self.ports = MachinePorts(*ports)
        self._incarnations = 0
        self._changes = 0
        self._target_stacks: dict[str, AsyncExitStack] = {}

    @property
    def entries(self) -> list[Machine]:
        """Machines with an entry daemon."""
        return [m for m in self.machines if m.role == "entry"]

    @property
    def sidecars(self) -> list[Machine]:
        """Machines with a sidecar daemon and a target."""
        return [m for m in self.machines if m.role == "sidecar"]

    def ip(self, number: int) -> str:
        """Return the loopback address of a machine of the site."""
        return str(IPv4Address(self._base + number))

    async def start(self, machine: Machine) -> None:
        """Start the daemon of a machine, unless it runs."""
        async with machine.starting:
            if machine.process is None:
                machine.processes.append(await self._launch(machine))

    async def _launch(self, machine: Machine) -> RunningProcess:
        path = self._directory / f"{machine.name}.json"
        path.write_text(
            settings_file(
                machine.name,
                machine.ip,
                machine.zone,
                machine.service,
                self.ports,
                seeds=[entry.ip for entry in self.entries[:MAX_SEED_ADDRESSES]],
                heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
            )
        )
        return await self._started.start(
            machine.name,
            "cranberryhold.platform",
            machine.role,
            environment={"CRANBERRYHOLD_BOOT": str(path)},
        )

    def harm(self, machine: Machine) -> None:
        """Take note of unplanned harm to a machine."""
        machine.harmed += 1
        self.promises.harmed(machine.ip)

    async def stop(self, machine: Machine) -> None:
        """Ask the daemon to stop, and check that it does so in time."""
        process, harmed = machine.process, machine.harmed
        if process is None:
            return
        began = time.monotonic()
        process.signal(signal.SIGTERM)
        code = await process.wait_ended(2 * GRACE_PERIOD_S)
        took_s = time.monotonic() - began
        allowed = {0}
        if not any("event=serving" in line for line in process.lines):
            # Nothing depends on a process that has not begun to serve.
            allowed.add(-signal.SIGTERM)
        undisturbed = machine.harmed == harmed
        if undisturbed and (code not in allowed or took_s > GRACE_PERIOD_S):
            self.promises.break_promise(
                f"STOP {machine.name} ended with {code} after {took_s:.1f} s"
            )

    async def kill(self, machine: Machine) -> None:
        """End the daemon at once."""
        self.harm(machine)
        process = machine.process
        if process is not None:
            process.signal(signal.SIGKILL)
            await process.wait_ended()

    async def start_target(self, machine: Machine, name: str | None = None) -> None:
        """Start a new incarnation of the machine's target.

        :param name: id of the target; None for a new one.
        """
        self._incarnations += 1
        target = FlowTarget(
            name or f"i-{self._incarnations}",
            machine.service,
            machine.ip,
            self.ports,
            started_ms=time.time_ns() // 1_000_000,
            observer=self.promises,
            random=self.random,
        )
        stack = AsyncExitStack()
        await stack.enter_async_context(target.running())
        self._target_stacks[machine.name] = stack
        machine.target = target
        self.promises.targets.append(target)

    async def crash_target(self, machine: Machine) -> None:
        """End the target without a word."""
        stack = self._target_stacks.pop(machine.name, None)
        if stack is None or machine.target is None:
            return
        self.promises.targets.remove(machine.target)
        machine.target = None
        await stack.aclose()

    async def write_configuration(self) -> None:
        """Write the next version; each sends the probes to the other service."""
        self.version += self.random.randint(1, 3)
        self._changes += 1
        service = SERVICES[self._changes % len(SERVICES)]
        routes = {CORE_PORT: "core", INTAKE_PORT: "intake", PROBE_PORT: service}
        for port, allowed in routes.items():
            self.promises.allowed.setdefault(port, set()).add(allowed)
        self.promises.version_written(self.version, service)
        document = configuration_document(self.version, SERVICE_IP, routes)
        await self.store.put(CONFIGURATION_KEY, document)


@asynccontextmanager
async def running_site(
    promises: Promises, random: Random, directory: Path, *, entries: int, sidecars: int
) -> AsyncIterator[Site]:
    """Yield a site whose daemons were started.

    :param entries: entry instances in each zone.
    :param sidecars: sidecars in all; two of five serve the second service.
    """
    async with process_manager() as started, AsyncExitStack() as stack:
        site = Site(promises, random, directory, started)
        telemetry = Telemetry("store", _NoLines(), time.monotonic)
        store_address = Address(site.ip(0), site.ports.store)
        site.store = await stack.enter_async_context(
            metadata_store(store_address, telemetry)
        )
        await site.write_configuration()
        for number in range(entries * len(ZONES) + sidecars):
            machine = _machine(site, number, entries * len(ZONES))
            machine.proxy = StreamProxy(
                Address(machine.ip, site.ports.store), store_address
            )
            await stack.enter_async_context(machine.proxy.running())
            site.machines.append(machine)
        for number, zone in enumerate(ZONES):
            router = PacketRouter(
                [m.ip for m in site.entries if m.zone == zone],
                site.ports.packets,
                site.ports.ready,
                random,
            )
            await stack.enter_async_context(router.running())
            site.routers[zone] = router
            host = CallerHost(
                site.ip(200 + number),
                site.ports.packets,
                router,
                observer=promises,
                random=random,
            )
            await stack.enter_async_context(host.running())
            site.callers.append(host)
        await asyncio.gather(*(site.start(m) for m in site.machines))
        for machine in site.sidecars:
            await site.start_target(machine)
        try:
            yield site
        finally:
            for machine in site.machines:
                machine.signal(signal.SIGCONT)
                await site.crash_target(machine)


def _machine(site: Site, number: int, entries: int) -> Machine:
    zone = ZONES[number % len(ZONES)]
    if number < entries:
        return Machine(f"entry-{number}", "entry", zone, site.ip(1 + number))
    service = SERVICES[(number - entries) % 5 // 3]
    return Machine(f"sidecar-{number}", "sidecar", zone, site.ip(1 + number), service)


class _NoLines:
    dropped = 0

    def write(self, line: str) -> None:
        """Ignore a line of the stand-in."""


SERVICE_ENDPOINTS = {
    "core": service_endpoint(SERVICE_IP, CORE_PORT),
    "intake": service_endpoint(SERVICE_IP, INTAKE_PORT),
}
PROBE_ENDPOINT = service_endpoint(SERVICE_IP, PROBE_PORT)
