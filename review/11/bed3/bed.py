"""Starts the daemons of a small deployment, with stand-ins for everything else.

The daemons are started with the commands of the deploy file. Callers, targets, routers
and the store are the project's own stand-ins.
"""

import asyncio
import json
import os
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from ipaddress import IPv4Address
from pathlib import Path
from random import Random
from typing import NamedTuple

from bed3.ends import Caller, Target, new_flow
from cranberryhold.addresses import Address
from cranberryhold.flows.segments import Endpoint, Segment
from cranberryhold.flows.telemetry import Telemetry
from emulator.flow_callers import CallerHost
from emulator.flow_target import HEARTBEAT_INTERVAL_S, FlowTarget, service_endpoint
from emulator.metadata_store import MetadataStore, metadata_store
from emulator.packet_router import PacketRouter
from emulator.platform_files import MachinePorts
from tools.processes import (
    ProcessManager,
    RunningProcess,
    free_addresses,
    process_manager,
)

ROOT = Path(__file__).resolve().parents[3]
ZONE = "baneshwor"
REGION = "kathmandu-valley"
ROUTE_IP, ROUTE_PORT = "127.198.0.1", 443
ROUTE = service_endpoint(ROUTE_IP, ROUTE_PORT)
SERVICE = "khata-core"
# The platform starts an ended process again after a short delay.
RESTART_DELAY_S = 0.5
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 4000,
    "ackTimeoutMs": 5000,
    "catchUpS": 4,
    "drainTimeoutMs": 3000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 12000,
    "recoveryS": 12,
    "flowDriftMs": 2000,
    "maxFlowS": 60,
}
# Each run takes a block of loopback addresses, chosen by its process id.
_FIRST_BLOCK_IP = int(IPv4Address("127.80.0.0"))
_BLOCK_SIZE, _BLOCK_COUNT = 256, 2048


class Route(NamedTuple):
    """A route of the configuration."""

    name: str
    port: int
    type: str
    timeout_ms: int
    aim_ms: int
    priority: int


PRICE_BOARD = Route("r-1", ROUTE_PORT, "safe", 2500, 325, 2)


class Record:
    """The lines of ``record.txt``.

    :param path: path of the file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


class Observer:
    """Records what callers and targets receive.

    :param record: takes the lines.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.targets: list[FlowTarget] = []
        # Flows that a reset of the system ended while their target held them.
        self.broken: list[bytes] = []
        # Target that a flow was open at before, by flow.
        self.opened: dict[bytes, FlowTarget] = {}

    def opening_received(self, target: FlowTarget, at: float) -> None:
        """Handle a SYN that is new to a target."""

    def syn_accepted(self, target: FlowTarget, segment: Segment) -> None:
        """Handle a SYN that a target has accepted."""

    def packet_received(self, target: FlowTarget, key: bytes, *, is_own: bool) -> None:
        """Handle a packet that is no SYN."""
        if not is_own:
            self._record.write(f"target {target.name} returns a packet of {key.hex()}")

    def invalid_packet_at_target(self, target: FlowTarget, packet: bytes) -> None:
        """Handle a packet that is not as a caller sent it."""
        self._record.write(f"target {target.name} gets a changed packet")

    def reset_received(self, key: bytes, *, by_target: bool) -> None:
        """Handle the reset of a flow."""
        holder = next((t for t in self.targets if t.holds(key)), None)
        sender = "its target" if by_target else "the system"
        name = holder.name if holder is not None else "no target"
        self._record.write(f"flow {key.hex()}: reset by {sender}, open at {name}")
        if holder is not None and not by_target:
            self.broken.append(key)

    def invalid_packet_at_caller(self, key: bytes, packet: bytes) -> None:
        """Handle a packet that is not as a target sent it."""
        self._record.write(f"flow {key.hex()}: changed packet at the caller")


class Machine:
    """A machine with one daemon.

    :param name: name of the machine.
    :param role: role in the deploy file.
    :param ip: loopback address.
    """

    def __init__(self, name: str, role: str, ip: str) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.processes: list[RunningProcess] = []

    @property
    def process(self) -> RunningProcess:
        """The newest process."""
        return self.processes[-1]


class Bed:
    """The machines of the deployment.

    :param record: takes the lines.
    :param directory: folder for settings files.
    :param processes: starts the daemons.
    :param entries: number of entry daemons.
    :param sidecars: number of sidecars.
    :param heartbeat_interval_s: seconds between heartbeats of targets.
    """

    def __init__(
        self,
        record: Record,
        directory: Path,
        processes: ProcessManager,
        entries: int,
        sidecars: int,
        heartbeat_interval_s: float,
    ) -> None:
        self.record = record
        self._heartbeat_interval_s = heartbeat_interval_s
        self.random = Random()
        self.observer = Observer(record)
        self.store: MetadataStore
        self.host: CallerHost
        self._directory = directory
        self._processes = processes
        first = _FIRST_BLOCK_IP + os.getpid() % _BLOCK_COUNT * _BLOCK_SIZE
        self._ips = [str(IPv4Address(first + number)) for number in range(1, 100)]
        self.ports = MachinePorts(*(a.port for a in free_addresses(7, self._ips[0])))
        self.entries = [
            Machine(f"frontend-{n}", "entry", self._ips[10 + n]) for n in range(entries)
        ]
        self.sidecars = [
            Machine(f"side-{n}", "sidecar", self._ips[30 + n]) for n in range(sidecars)
        ]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]
        self._stacks: dict[str, AsyncExitStack] = {}

    @property
    def store_address(self) -> Address:
        """Address of the store."""
        return Address(self._ips[0], self.ports.store)

    @property
    def caller_ip(self) -> str:
        """Address of the host with the callers."""
        return self._ips[1]

    async def start_daemon(self, machine: Machine) -> None:
        """Start the daemon of a machine with the command of the deploy file."""
        path = self._directory / f"{machine.name}.json"
        path.write_text(json.dumps(self._settings(machine)))
        role = self._roles[machine.role]
        environment = {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CRANBERRYHOLD_BOOT": str(path),
            **role.get("env", {}),
        }
        process = await self._processes.start_command(
            machine.name, *shlex.split(role["run"]), environment=environment
        )
        machine.processes.append(process)
        self.record.write(f"{machine.name}: started")

    async def restart_daemon(self, machine: Machine) -> None:
        """Stop a daemon with SIGTERM and start it again, as planned work does."""
        self.record.write(f"{machine.name}: SIGTERM")
        machine.process.signal(signal.SIGTERM)
        code = await machine.process.wait_ended(BOUNDS["gracePeriodS"])
        self.record.write(f"{machine.name}: ended with {code}")
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start_daemon(machine)

    def new_flow(self, port: int = ROUTE_PORT) -> Caller:
        """Return a flow from a new port, not opened yet."""
        return new_flow(self.host, service_endpoint(ROUTE_IP, port))

    def freeze(self, machine: Machine, target: Target) -> None:
        """Freeze a machine with its daemon and its target."""
        machine.process.signal(signal.SIGSTOP)
        target.frozen = True
        self.record.write(f"{machine.name}: freezes")

    def wake(self, machine: Machine, target: Target) -> None:
        """Wake a machine from its freeze."""
        target.frozen = False
        machine.process.signal(signal.SIGCONT)
        self.record.write(f"{machine.name}: wakes")

    async def start_target(self, machine: Machine, target: FlowTarget) -> None:
        """Start a target beside a sidecar."""
        stack = AsyncExitStack()
        await stack.enter_async_context(target.running())
        self._stacks[machine.name] = stack
        self.observer.targets.append(target)
        self.record.write(f"{machine.name}: target {target.name} starts")

    async def crash_target(self, machine: Machine, target: FlowTarget) -> None:
        """Stop a target without notice."""
        self.observer.targets.remove(target)
        await self._stacks.pop(machine.name).aclose()
        self.record.write(f"{machine.name}: target {target.name} crashes")

    def new_target(
        self,
        machine: Machine,
        name: str,
        kind: type[Target] = Target,
        ahead_s: float = 0.0,
    ) -> Target:
        """Return a target that starts now, on a machine whose clock is ahead."""
        return kind(
            name,
            SERVICE,
            machine.ip,
            self.ports,
            started_ms=time.time_ns() // 1_000_000 + round(ahead_s * 1000),
            observer=self.observer,
            random=self.random,
        )

    async def write_configuration(
        self, version: int, idle_timeout_ms: int, routes: tuple[Route, ...]
    ) -> None:
        """Write a configuration, as the operator does."""
        document = {
            "version": version,
            "routes": [
                {
                    "name": route.name,
                    "host": ROUTE_IP,
                    "prefix": f"/{route.port}/",
                    "type": route.type,
                    "timeoutMs": route.timeout_ms,
                    "sloLatencyMs": route.aim_ms,
                    "priority": route.priority,
                    "service": SERVICE,
                    "maxAttempts": 2,
                }
                for route in routes
            ],
            "services": [
                {
                    "name": SERVICE,
                    "healthCheckPath": "/healthz",
                    "maxConnections": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
            ],
            "limits": {"idleTimeoutMs": idle_timeout_ms},
        }
        await self.store.put("op/config", json.dumps(document).encode())
        self.record.write(f"operator: version {version} acknowledged")

    def _settings(self, machine: Machine) -> dict[str, object]:
        def address(port: int) -> str:
            return f"{machine.ip}:{port}"

        is_entry = machine.role == "entry"
        listen = {
            "packetAddr": address(self.ports.packets),
            "ready": address(self.ports.ready),
            "controlPlane": address(self.ports.heartbeats),
        }
        if not is_entry:
            listen["outbound"] = address(self.ports.outbound)
        target = {"app": address(self.ports.target), "service": SERVICE}
        return {
            "nodeName": machine.name,
            "role": machine.role,
            "machineClass": "frontend" if is_entry else "side",
            "serves": ["frontend", "control_plane"] if is_entry else ["side"],
            "ip": machine.ip,
            "zone": ZONE,
            "region": REGION,
            "zones": {ZONE: REGION},
            "listenAddrs": listen,
            "internalPorts": [self.ports.internal, self.ports.last_internal],
            "seedAddrs": [f"{e.ip}:{self.ports.heartbeats}" for e in self.entries[:3]],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.537,
                "cpuCores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "local",
            "entryType": "announce",
            "heartbeatIntervalMs": round(self._heartbeat_interval_s * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "flows",
                "platform",
            ],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "hashScheme": "mod",
            "forwardingMode": "agent",
            **({} if is_entry else target),
            "platform": {
                "address": str(self.store_address),
                "forwardingMode": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }


@asynccontextmanager
async def running_bed(
    record: Record,
    *,
    entries: int,
    sidecars: int,
    routes: tuple[Route, ...] = (PRICE_BOARD,),
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
) -> AsyncIterator[Bed]:
    """Yield a deployment whose daemons run; all end with the context."""
    async with AsyncExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        processes = await stack.enter_async_context(process_manager())
        bed = Bed(
            record, Path(directory), processes, entries, sidecars, heartbeat_interval_s
        )
        telemetry = Telemetry("store", _NullLog(), time.monotonic)
        bed.store = await stack.enter_async_context(
            metadata_store(bed.store_address, telemetry)
        )
        await bed.write_configuration(1, 15_000, routes)
        router = PacketRouter(
            [entry.ip for entry in bed.entries],
            bed.ports.packets,
            bed.ports.ready,
            bed.random,
        )
        await stack.enter_async_context(router.running())
        bed.host = CallerHost(
            bed.caller_ip,
            bed.ports.packets,
            router,
            observer=bed.observer,
            random=bed.random,
        )
        await stack.enter_async_context(bed.host.running())
        await asyncio.gather(
            *(bed.start_daemon(m) for m in (*bed.entries, *bed.sidecars))
        )
        try:
            yield bed
        finally:
            for target_stack in bed._stacks.values():
                await target_stack.aclose()


def run_case(case: Callable[[Record], Awaitable[int]], folder: Path) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it didn't run."""
    record = Record(folder / "record.txt")
    try:
        code = asyncio.run(asyncio.wait_for(case(record), 110.0))
    except Exception as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        code = 2
    record.write(f"exit {code}")
    return code


def has_trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def endpoint(ip: str, port: int) -> Endpoint:
    """Return an address in the form used in packets."""
    return service_endpoint(ip, port)


def log_lines(machine: Machine, *events: str) -> list[str]:
    """Return the lines of a daemon's newest process that tell about some events."""
    return [
        line
        for line in machine.process.lines
        if any(f"event={event}" in line for event in events)
    ]


class _NullLog:
    dropped = 0

    def write(self, line: str) -> None:
        """Discard a log line of the store stand-in."""


if __name__ == "__main__":
    sys.exit("this module is used by the cases")
