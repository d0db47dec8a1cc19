"""A site on loopback: daemons as processes, stand-ins for everything around them."""

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
    EVACUATION_PREFIX,
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
from tools.soak.invariants import (
    COLD_STARTS,
    EVACUATION_LIMIT_S,
    InvariantChecker,
)

ZONES = ("a", "b")
SERVICES = ("core", "intake")
SERVICE_IP = "198.18.0.1"
CORE_PORT, INTAKE_PORT, PROBE_PORT, MOVED_PORT = 443, 444, 445, 446
# Each run takes a block of loopback addresses, chosen by its process id.
_FIRST_BLOCK_IP = int(IPv4Address("127.96.0.0"))
_BLOCK_SIZE, _BLOCK_COUNT = 256, 4096
MAX_SEED_ADDRESSES = 3


class Machine:
    """A machine that runs one daemon.

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
        self.store_proxy: StreamProxy
        self.disturbances = 0
        self.stopping = False
        self.processes: list[RunningProcess] = []
        self.start_lock = asyncio.Lock()
        self.target_lock = asyncio.Lock()

    @property
    def process(self) -> RunningProcess | None:
        """The running process, if any."""
        last = self.processes[-1] if self.processes else None
        return last if last is not None and last.exit_code is None else None

    def heartbeat_address(self, ports: MachinePorts) -> Address:
        """Address where the sidecar receives heartbeats."""
        return Address(self.ip, ports.heartbeats)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the running process, if any."""
        if self.process is not None:
            self.process.signal(number)


class Site:
    """The machines of a site, with their store, callers and routers."""

    def __init__(
        self,
        checker: InvariantChecker,
        random: Random,
        directory: Path,
        processes: ProcessManager,
    ) -> None:
        self.checker = checker
        self.random = random
        self.machines: list[Machine] = []
        self.routers: dict[str, PacketRouter] = {}
        self.callers: list[CallerHost] = []
        self.store: MetadataStore
        self.version = 0
        self.started_at = asyncio.get_running_loop().time()
        self._directory = directory
        self._processes = processes
        self._first_ip = _FIRST_BLOCK_IP + os.getpid() % _BLOCK_COUNT * _BLOCK_SIZE
        ports = [a.port for a in free_addresses(7, self.ip(0))]
        self.ports = MachinePorts(*ports)
        self._incarnations = 0
        self._configurations_written = 0
        self._route_moves = 0
        self._document = b""
        self.evacuated: set[str] = set()
        self._target_stacks: dict[str, AsyncExitStack] = {}

    @property
    def entries(self) -> list[Machine]:
        """Machines that run an entry daemon."""
        return [m for m in self.machines if m.role == "entry"]

    @property
    def sidecars(self) -> list[Machine]:
        """Machines that run a sidecar daemon and a target."""
        return [m for m in self.machines if m.role == "sidecar"]

    def ip(self, number: int) -> str:
        """Return a loopback address of the site's block."""
        return str(IPv4Address(self._first_ip + number))

    async def start(self, machine: Machine) -> None:
        """Start the daemon of a machine unless it is running."""
        async with machine.start_lock:
            if machine.process is None:
                machine.stopping = False
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
                evacuation_limit_s=EVACUATION_LIMIT_S,
                cold_starts=COLD_STARTS,
            )
        )
        return await self._processes.start(
            machine.name,
            "cranberryhold.platform",
            machine.role,
            environment={"CRANBERRYHOLD_BOOT": str(path)},
        )

    def record_disturbance(self, machine: Machine) -> None:
        """Record an unplanned disturbance of a machine."""
        machine.disturbances += 1
        self.checker.record_disturbance(machine.ip)

    async def stop(self, machine: Machine) -> None:
        """Terminate the daemon; check that it exits with 0 within the grace period."""
        process, disturbances = machine.process, machine.disturbances
        if process is None:
            return
        started_at = time.monotonic()
        machine.stopping = True
        process.signal(signal.SIGTERM)
        code = await process.wait_ended(2 * GRACE_PERIOD_S)
        took_s = time.monotonic() - started_at
        allowed_codes = {0}
        if not any("event=serving" in line for line in process.lines):
            # SIGTERM may end a process before it serves: nothing depends on it yet.
            allowed_codes.add(-signal.SIGTERM)
        undisturbed = machine.disturbances == disturbances
        if undisturbed and (code not in allowed_codes or took_s > GRACE_PERIOD_S):
            self.checker.record_violation(
                f"STOP {machine.name} exited with code {code} after {took_s:.1f} s"
            )

    async def kill(self, machine: Machine) -> None:
        """Kill the daemon."""
        self.record_disturbance(machine)
        process = machine.process
        if process is not None:
            process.signal(signal.SIGKILL)
            await process.wait_ended()

    async def start_target(
        self, machine: Machine, name: str | None = None, cold_s: float = 0.0
    ) -> None:
        """Start a new incarnation of the machine's target unless one runs.

        :param name: id of the target; None for a new id.
        :param cold_s: seconds for which it is slow.
        """
        async with machine.target_lock:
            if machine.target is None:
                await self._start_target(machine, name, cold_s)

    async def _start_target(
        self, machine: Machine, name: str | None, cold_s: float
    ) -> None:
        self._incarnations += 1
        target = FlowTarget(
            name or f"i-{self._incarnations}",
            machine.service,
            machine.ip,
            self.ports,
            started_ms=time.time_ns() // 1_000_000,
            observer=self.checker,
            random=self.random,
            cold_s=cold_s,
        )
        stack = AsyncExitStack()
        await stack.enter_async_context(target.running())
        self._target_stacks[machine.name] = stack
        machine.target = target
        self.checker.targets.append(target)

    async def crash_target(self, machine: Machine) -> None:
        """Stop the target without draining or deregistering it."""
        stack = self._target_stacks.pop(machine.name, None)
        if stack is None or machine.target is None:
            return
        self.checker.targets.remove(machine.target)
        machine.target = None
        await stack.aclose()

    async def write_configuration(self) -> None:
        """Write the next version, which routes the probe port to the other service."""
        self.version += self.random.randint(1, 3)
        self._configurations_written += 1
        service = SERVICES[self._configurations_written % len(SERVICES)]
        routes = {
            CORE_PORT: "core",
            INTAKE_PORT: "intake",
            PROBE_PORT: service,
            MOVED_PORT: SERVICES[self._route_moves % len(SERVICES)],
        }
        for port, service_name in routes.items():
            self.checker.allowed_services.setdefault(port, set()).add(service_name)
        self.checker.record_version(self.version, service)
        self._document = configuration_document(
            self.version, SERVICE_IP, routes, COLD_STARTS
        )
        await self.repeat_configuration()

    async def move_route(self) -> None:
        """Write a version that leads a route with long flows to the other service."""
        self._route_moves += 1
        await self.write_configuration()

    async def repeat_configuration(self) -> None:
        """Write the newest version again, as the operator does if it was lost."""
        await self.store.put(CONFIGURATION_KEY, self._document)

    async def evacuate(self, zone: str) -> None:
        """Evacuate a data centre."""
        self.evacuated.add(zone)
        await self.store.put(f"{EVACUATION_PREFIX}{zone}", b"{}")
        self.checker.record_evacuation(zone)
        self.checker.log(f"evacuated {zone}")

    async def take_back(self, zone: str) -> None:
        """End the evacuation of a data centre."""
        self.evacuated.remove(zone)
        self.checker.record_evacuation_end(zone)
        self.checker.log(f"took {zone} back")
        await self.store.delete(f"{EVACUATION_PREFIX}{zone}")

    async def repeat_evacuations(self) -> None:
        """Begin and end all evacuations again, as the operator does after a restore."""
        for zone in ZONES:
            if zone in self.evacuated:
                await self.store.put(f"{EVACUATION_PREFIX}{zone}", b"{}")
            else:
                await self.store.delete(f"{EVACUATION_PREFIX}{zone}")


@asynccontextmanager
async def running_site(
    checker: InvariantChecker,
    random: Random,
    directory: Path,
    *,
    entries: int,
    sidecars: int,
) -> AsyncIterator[Site]:
    """Yield a site whose daemons have been started.

    :param entries: entry instances in each zone.
    :param sidecars: sidecars in total; two of five serve the second service.
    """
    async with process_manager() as processes, AsyncExitStack() as stack:
        site = Site(checker, random, directory, processes)
        telemetry = Telemetry("store", _NullLog(), time.monotonic)
        store_address = Address(site.ip(0), site.ports.store)
        site.store = await stack.enter_async_context(
            metadata_store(store_address, telemetry)
        )
        await site.write_configuration()
        for number in range(entries * len(ZONES) + sidecars):
            machine = _machine(site, number, entries * len(ZONES))
            machine.store_proxy = StreamProxy(
                Address(machine.ip, site.ports.store), store_address
            )
            await stack.enter_async_context(machine.store_proxy.running())
            site.machines.append(machine)
            checker.zones[machine.ip] = machine.zone
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
                observer=checker,
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


class _NullLog:
    dropped = 0

    def write(self, line: str) -> None:
        """Discard a log line of the store stand-in."""


SERVICE_ENDPOINTS = {
    "core": service_endpoint(SERVICE_IP, CORE_PORT),
    "intake": service_endpoint(SERVICE_IP, INTAKE_PORT),
}
PROBE_ENDPOINT = service_endpoint(SERVICE_IP, PROBE_PORT)
MOVED_ENDPOINT = service_endpoint(SERVICE_IP, MOVED_PORT)
