"""A small site: the project's daemons as processes, and stand-ins around them."""

import asyncio
import json
import os
import signal
import socket
import tomllib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from ipaddress import IPv4Address
from pathlib import Path
from zlib import crc32

from stand_ins import http
from stand_ins.clients import Client, Flow
from stand_ins.record import Record
from stand_ins.store import Store
from stand_ins.target import BEAT_S, Target

ROOT = Path(__file__).resolve().parents[3]
METRICS_PORT = 9464
# Figures of the site khata-lb.
STABLE_WINDOW_S = 4.0
CONFIG_APPLY_S = 3.0
GRACE_PERIOD_S = 6.0
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
LIMITS = {"idleTimeoutMs": 15000}
PROBE_S = 0.5
MISSES = 2
RESTART_DELAY_S = 0.3
LEAD_S = 12.0


class CannotRunError(Exception):
    """The case could not be brought about."""


@dataclass(frozen=True)
class Ports:
    """Ports, the same on all machines."""

    packet: int
    ready: int
    control: int
    outbound: int
    app: int
    store: int
    internal: int


class Machine:
    """A machine that runs one daemon.

    :param name: name of the machine.
    :param role: ``entry`` or ``sidecar``.
    :param zone: zone of the machine.
    :param ip: address of the machine.
    :param ports: ports of all machines.
    :param service: service of the target beside a sidecar.
    """

    def __init__(
        self, name: str, role: str, zone: str, ip: str, ports: Ports, service: str
    ) -> None:
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = ip
        self.ports = ports
        self.service = service
        self.target: Target | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.misses = MISSES


class Site:
    """The machines of a small site and their stand-ins.

    :param record: the record of the case.
    :param directory: temporary folder for settings and logs.
    """

    def __init__(self, record: Record, directory: Path) -> None:
        self.record = record
        self.machines: list[Machine] = []
        self.clients: list[Client] = []
        self.store = Store(record)
        self._directory = directory
        self._first_ip = _free_block()
        self._next_ip = 10
        self.ports = Ports(*_free_ports(self.ip(1), 7))
        self.host = self.ip(5)
        self._tasks: list[asyncio.Task] = []
        self._commands = {
            role: fields["run"].split(" ")
            for role, fields in tomllib.loads(
                (ROOT / "deploy/system.toml").read_text()
            )["roles"].items()
        }

    def ip(self, number: int) -> str:
        """Return a loopback address of this site."""
        return str(IPv4Address(self._first_ip + number))

    @property
    def entries(self) -> list[Machine]:
        """Machines with an entry daemon."""
        return [m for m in self.machines if m.role == "entry"]

    def add(self, name: str, role: str, zone: str, service: str = "") -> Machine:
        """Add a machine."""
        self._next_ip += 1
        machine = Machine(name, role, zone, self.ip(self._next_ip), self.ports, service)
        self.machines.append(machine)
        return machine

    def add_client(self, zone: str) -> Client:
        """Add a client in a zone."""
        self._next_ip += 1
        client = Client(
            self.ip(self._next_ip),
            self.ports.packet,
            lambda key: self.route(zone, key),
            self._holder_of,
            self.record,
        )
        self.clients.append(client)
        return client

    async def start(
        self, configuration: dict[str, object], *, targets_after_s: float = 0.0
    ) -> None:
        """Start everything, and wait until traffic may start.

        :param targets_after_s: time from the start of the daemons to that of the
            targets.
        """
        for machine in self.machines:
            await self.store.listen(machine.name, machine.ip, self.ports.store)
        await self.store.put("op/config", configuration)
        self._tasks.append(asyncio.create_task(self._probe()))
        for machine in self.machines:
            await self.start_daemon(machine)
        await asyncio.sleep(targets_after_s)
        for machine in self.machines:
            if machine.role == "sidecar":
                machine.target = Target(
                    f"i-{machine.name}", machine.service, machine, self.record
                )
                await machine.target.start()
        await asyncio.sleep(LEAD_S)
        if any(machine.misses >= MISSES for machine in self.entries):
            raise CannotRunError("an entry daemon is not ready")

    async def start_daemon(self, machine: Machine) -> None:
        """Start the daemon of a machine with the command of the deploy file."""
        settings = self._directory / f"{machine.name}.json"
        settings.write_text(json.dumps(self._settings(machine)))
        log = (self._directory / f"{machine.name}.log").open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            *self._commands[machine.role],
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": "target/deps",
                "CRANBERRYHOLD_BOOT": str(settings),
            },
        )
        log.close()
        self.record.write(
            f"{machine.name} starts, process {machine.process.pid}, {machine.ip}"
        )

    async def terminate(self, machine: Machine) -> None:
        """Send SIGTERM, and SIGKILL after the grace period; wait for the end."""
        self.record.write(f"{machine.name} gets SIGTERM")
        process = machine.process
        process.terminate()
        try:
            async with asyncio.timeout(GRACE_PERIOD_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        self.record.write(f"{machine.name} has ended with {process.returncode}")

    async def restart(self, machine: Machine) -> None:
        """Stop a daemon and start it again, as planned work does."""
        await self.terminate(machine)
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start_daemon(machine)

    async def until_in_rotation(self, machine: Machine) -> None:
        """Wait until the routers use an entry daemon."""
        await until(lambda: machine.misses == 0, 10.0, f"{machine.name} in rotation")

    def route(self, zone: str, key: tuple[str, int, str, int]) -> str | None:
        """Return the address of the daemon that a packet is forwarded to (``mod``)."""
        local = [m for m in self.entries if m.zone == zone]
        ready = [m for m in local if m.misses < MISSES]
        if not ready:
            local = self.entries
            ready = [m for m in local if m.misses < MISSES]
        chosen = ready if 2 * len(ready) >= len(local) else local
        if not chosen:
            return None
        return chosen[crc32(repr(key).encode()) % len(chosen)].ip

    async def open_flows(
        self, clients: list[Client], dport: int, count: int
    ) -> list[Flow]:
        """Open flows; each sends one request."""
        flows = [
            clients[n % len(clients)].new_flow(self.host, dport) for n in range(count)
        ]
        await self.open_all(flows)
        return flows

    async def open_all(self, flows: list[Flow]) -> None:
        """Open these flows; each sends one request."""
        opened = await asyncio.gather(*(flow.open() for flow in flows))
        if not all(opened):
            raise CannotRunError(f"{opened.count(False)} flows did not open")
        results = await self.ask(flows, "first")
        if any(result != "answered" for result in results):
            raise CannotRunError(f"first requests: {results}")

    async def ask(self, flows: list[Flow], label: str) -> list[str]:
        """Send a request on each flow at once; return the results."""
        results = await asyncio.gather(
            *(flow.request(f"{label} {flow.key[0]}:{flow.key[1]}") for flow in flows)
        )
        for flow, result in zip(flows, results, strict=True):
            if result != "answered":
                entry = self.name_of(flow.entry)
                self.record.write(f"{flow.name}, request {label}: {result} ({entry})")
        self.record.write(
            f"requests {label}: {len(flows)} sent, {results.count('answered')} answered"
        )
        return list(results)

    def holder(self, flow: Flow) -> Target | None:
        """Return the living target at which a flow is open."""
        for machine in self.machines:
            target = machine.target
            if target is not None and target.holds(flow.key):
                return target
        return None

    def wrong_resets(self, flows: list[Flow], since: float) -> list[str]:
        """Return the resets of open flows by the system while their targets lived.

        :param since: time from which all machines and the store are in touch.
        """
        found = []
        not_open = 0
        for flow in flows:
            for at, sender, holder in flow.resets:
                if holder is None:
                    not_open += 1
                    continue
                verdict = "counts" if at >= since else "excused, not in touch"
                text = (
                    f"FLOW at {at:.3f}: {flow.name}, open at the living target "
                    f"{holder}, was reset by {self.name_of(sender)}, its packet "
                    f"went through {self.name_of(flow.entry)}: {verdict}"
                )
                self.record.write(text)
                if at >= since:
                    found.append(text)
        self.record.write(f"resets of flows that were open at no target: {not_open}")
        return found

    def name_of(self, ip: str) -> str:
        """Return the name of the machine with an address."""
        return next((m.name for m in self.machines if m.ip == ip), ip)

    def ended_processes(self) -> list[str]:
        """Return the machines whose process has ended by itself."""
        return [
            machine.name
            for machine in self.machines
            if machine.process is not None and machine.process.returncode is not None
        ]

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                with suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                await machine.process.wait()
            if machine.target is not None:
                await machine.target.stop()
        for client in self.clients:
            client.close()
        self.store.close()

    def _holder_of(self, key: tuple[str, int, str, int]) -> str | None:
        for machine in self.machines:
            target = machine.target
            if target is not None and target.holds(key):
                return target.name
        return None

    async def _probe(self) -> None:
        async def probe(machine: Machine) -> None:
            status = await http.call(
                machine.ip, self.ports.ready, "GET", "/readyz", b"", PROBE_S
            )
            machine.misses = 0 if status == 200 else machine.misses + 1

        while True:
            await asyncio.gather(
                *(probe(machine) for machine in self.entries), asyncio.sleep(PROBE_S)
            )

    def _settings(self, machine: Machine) -> dict[str, object]:
        def at(port: int) -> str:
            return f"{machine.ip}:{port}"

        is_entry = machine.role == "entry"
        listen = {"packetAddr": at(self.ports.packet), "ready": at(self.ports.ready)}
        listen["controlPlane"] = at(self.ports.control)
        if not is_entry:
            listen["outbound"] = at(self.ports.outbound)
        settings: dict[str, object] = {
            "nodeName": machine.name,
            "role": machine.role,
            "machineClass": "frontend" if is_entry else "side",
            "serves": ["frontend", "control_plane"] if is_entry else ["side"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "r",
            "zones": {m.zone: "r" for m in self.machines},
            "listenAddrs": listen,
            "internalPorts": [self.ports.internal, self.ports.internal + 15],
            "seedAddrs": [f"{m.ip}:{self.ports.control}" for m in self.entries[:3]],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.5,
                "cpuCores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "local",
            "entryType": "announce",
            "heartbeatIntervalMs": round(BEAT_S * 1000),
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
            "platform": {
                "address": at(self.ports.store),
                "forwardingMode": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        if not is_entry:
            settings["app"] = at(self.ports.app)
            settings["service"] = machine.service
        return settings


@asynccontextmanager
async def running_site(record: Record, directory: Path) -> AsyncIterator[Site]:
    """Yield a site; all its processes end with the context."""
    site = Site(record, directory)
    try:
        yield site
    finally:
        await site.close()


async def until(condition: Callable[[], object], timeout_s: float, what: str) -> None:
    """Wait for a condition.

    :raises CannotRunError: if it is not met in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110 - state of several objects
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise CannotRunError(f"not within {timeout_s} s: {what}") from None


def configuration(
    version: int, host: str, routes: dict[int, dict[str, int]]
) -> dict[str, object]:
    """Return the operator's configuration.

    :param routes: weights of the services of each route, by its port.
    """
    services = sorted({name for weights in routes.values() for name in weights})
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{port}",
                "host": host,
                "prefix": f"/{port}/",
                "type": "safe",
                "timeoutMs": 2500,
                "sloLatencyMs": 325,
                "priority": 2,
                "maxAttempts": 2,
                **_backends(weights),
            }
            for port, weights in routes.items()
        ],
        "services": [
            {
                "name": name,
                "healthCheckPath": "/healthz",
                "maxConnections": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": LIMITS,
    }


def _backends(weights: dict[str, int]) -> dict[str, object]:
    if len(weights) == 1:
        return {"service": next(iter(weights))}
    return {"backends": [{"service": name, "weight": n} for name, n in weights.items()]}


def _free_block() -> int:
    """Return the first address of a block in which the metrics port is free."""
    for attempt in range(200):
        first = (
            int(IPv4Address("127.160.0.0")) + (os.getpid() + 7 * attempt) % 4096 * 256
        )
        with socket.socket() as probe, suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((str(IPv4Address(first + 11)), METRICS_PORT))
            return first
    raise CannotRunError("no free block of loopback addresses")


def _free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free for UDP and TCP; a range follows the last one."""
    for base in range(21000 + os.getpid() % 500 * 20, 60000, 7):
        ports = [base + 20 * number for number in range(count)]
        if all(map(_is_free, [ip] * count, ports)):
            return ports
    raise CannotRunError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
    ):
        try:
            datagram.bind((ip, port))
            stream.bind((ip, port))
        except OSError:
            return False
    return True
