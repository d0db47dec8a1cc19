"""The processes of the demo: platform, fabric, entry instances and targets."""

import asyncio
import json
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

import aiohttp
import yaml

from cranberryhold.addresses import Address
from cranberryhold.keys import KeyRing
from emulator.certificates import CertificateFiles, write_certificate
from tools.processes import (
    ProcessManager,
    RunningProcess,
    free_addresses,
    process_manager,
)

CORE, INTAKE = "khata-core", "bill-intake"
ENTRY_IPS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
ZONES = ("baneshwor", "lalitpur", "bhaktapur")
FEED_INTERVAL_MS = 100
_DAEMON = "cranberryhold"
# Includes the time until a killed member is declared down.
STATUS_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class Target:
    """An upstream instance with its sidecar."""

    name: str
    service: str
    address: Address
    control: Address
    upstream: RunningProcess
    sidecar: RunningProcess


@dataclass(slots=True)
class Site:
    """The processes and addresses of a running site.

    :param services: address of each service.
    :param control_addresses: control address of each running member, by name.
    :param commands: arguments of the daemon of each member, by name.
    :param entry_ips: address of each entry instance where it takes packets, by name.
    """

    processes: ProcessManager
    directory: Path
    keys: KeyRing
    certificate_files: CertificateFiles
    store_url: str
    services: dict[str, Address]
    control_addresses: dict[str, Address] = field(default_factory=dict)
    commands: dict[str, tuple[str, ...]] = field(default_factory=dict)
    entries: dict[str, RunningProcess] = field(default_factory=dict)
    entry_ips: dict[str, str] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    fabric: RunningProcess | None = None

    @property
    def key_environment(self) -> dict[str, str]:
        """Environment with the key ring, as flags would show it in process lists."""
        return {"CRANBERRYHOLD_KEYS": self.keys.to_text()}

    async def command(self, *arguments: str) -> RunningProcess:
        """Run a cranberryhold command and wait until it ends."""
        return await self.processes.run(
            " ".join(arguments[:2]),
            _DAEMON,
            *arguments,
            environment=self.key_environment,
        )

    async def restart_entry(self, name: str) -> None:
        """Start the daemon of an entry instance again after it has ended."""
        self.entries[name] = await self.start_daemon(name)
        await self.entries[name].wait_for_output("event=node-started")

    def withdraw_entry(self, name: str) -> None:
        """Let the fabric send no more packets to an entry instance."""
        self.fabric.write_line(f"remove {self.entry_ips[name]}")

    def admit_entry(self, name: str) -> None:
        """Let the fabric send packets to an entry instance."""
        self.fabric.write_line(f"add {self.entry_ips[name]}")

    async def restart_sidecar(self, name: str) -> None:
        """Start the sidecar of a target again after it has ended."""
        sidecar = await self.start_daemon(name)
        self.targets[name] = replace(self.targets[name], sidecar=sidecar)
        await sidecar.wait_for_output("event=node-started")

    async def start_daemon(self, name: str) -> RunningProcess:
        """Start the daemon of a member."""
        return await self.processes.start(
            name, _DAEMON, *self.commands[name], environment=self.key_environment
        )

    async def apply(self, *services: str) -> RunningProcess:
        """Submit a manifest that declares these services."""
        path = self.directory / "manifest.yaml"
        text = yaml.safe_dump(manifest({s: self.services[s] for s in services}))
        await asyncio.to_thread(path.write_text, text)
        return await self.command(
            "manifest", "apply", "--store-url", self.store_url, str(path)
        )

    async def status(self, generation: int) -> RunningProcess:
        """Query the running members for whether a generation is in force."""
        contacts = ",".join(str(a) for a in self.control_addresses.values())
        return await self.command(
            *("manifest", "status", "--contacts", contacts),
            *("--generation", str(generation)),
        )

    async def wait_in_force(self, generation: int) -> RunningProcess:
        """Query all members until each has a generation, for a limited time.

        :return: the last query, which failed if the time was not enough.
        """
        deadline = time.monotonic() + STATUS_TIMEOUT_S
        while True:
            status = await self.status(generation)
            if status.exit_code == 0 or time.monotonic() > deadline:
                return status

    async def configure_upstream(self, target: Target, **behaviour: object) -> None:
        """Change the behaviour of a target's upstream."""
        async with (
            aiohttp.ClientSession(f"http://{target.address}") as session,
            session.post("/control", json=behaviour) as response,
        ):
            response.raise_for_status()

    async def upstream_behaviour(self, target: Target) -> dict[str, object]:
        """Return the behaviour of a target's upstream, by field."""
        async with (
            aiohttp.ClientSession(f"http://{target.address}") as session,
            session.get("/control") as response,
        ):
            response.raise_for_status()
            return json.loads(await response.read())

    async def execution_counts(self) -> dict[str, int]:
        """Return how often each line was executed, over all upstreams."""
        counts: dict[str, int] = {}
        for target in self.targets.values():
            async with (
                aiohttp.ClientSession(f"http://{target.address}") as session,
                session.get("/lines") as response,
            ):
                for line, count in json.loads(await response.read()).items():
                    counts[line] = counts.get(line, 0) + count
        return counts


def manifest(services: dict[str, Address]) -> dict[str, object]:
    """Return a manifest as a delivery pipeline would generate it."""
    classes = [
        {"name": "board", "kind": "feed", "path_prefix": "/feed"},
        {
            "name": "line",
            "methods": ["POST"],
            "path_prefix": "/lines",
            "at_most_once": True,
        },
        {
            "name": "photo",
            "kind": "long",
            "path_prefix": "/upload",
            "deadline_s": 60,
            "max_body_bytes": 64 * 1024 * 1024,
        },
        {"name": "other"},
    ]
    declared = [
        {
            "name": name,
            "addresses": [str(address)],
            "slow_start_s": 2,
            "drain": {"grace_s": 1, "limit_s": 60},
            "classes": classes,
        }
        for name, address in services.items()
    ]
    return {"version": 1, "services": declared}


@asynccontextmanager
async def running_site(
    entry_ips: tuple[str, ...] = ENTRY_IPS,
    core: tuple[str, ...] = ("t1", "t2", "t3"),
    intake: tuple[str, ...] = ("b1",),
) -> AsyncIterator[Site]:
    """Run entry instances and the targets of two services.

    :param entry_ips: IP address of each entry instance.
    :param core: names of the targets of the first service.
    :param intake: names of the targets of the second service.
    """
    addresses = free_addresses(2)
    (platform,) = free_addresses(1)
    with tempfile.TemporaryDirectory() as directory:
        async with process_manager() as processes:
            site = Site(
                processes,
                Path(directory),
                KeyRing.generate(),
                write_certificate(Path(directory)),
                f"http://{platform}",
                dict(zip((CORE, INTAKE), addresses, strict=True)),
            )
            store = await processes.start(
                "platform", "emulator.platform", "--listen", str(platform)
            )
            await store.wait_for_output("listening")
            await _start_fabric(site, entry_ips)
            await _start_entries(site, entry_ips)
            await asyncio.gather(
                *(_start_target(site, name, CORE) for name in core),
                *(_start_target(site, name, INTAKE) for name in intake),
            )
            yield site


async def _start_fabric(site: Site, entry_ips: tuple[str, ...]) -> None:
    services = [f"--service={a}" for a in site.services.values()]
    entries = [f"--entry={ip}" for ip in entry_ips]
    site.fabric = await site.processes.start(
        "fabric", "emulator.fabric", *services, *entries
    )
    await site.fabric.wait_for_output("event=ready")


async def _start_entries(site: Site, entry_ips: tuple[str, ...]) -> None:
    for number, ip in enumerate(entry_ips):
        name = f"e{number + 1}"
        control, forward = free_addresses(2)
        site.control_addresses[name] = control
        site.entry_ips[name] = ip
        site.commands[name] = (
            "entry",
            *_node_options(site, name, control, ZONES[number]),
            *("--store-url", site.store_url),
            *("--forward-address", str(forward)),
            *("--listen-address", ip),
        )
        site.entries[name] = await site.start_daemon(name)
    for process in site.entries.values():
        await process.wait_for_output("event=node-started")


async def _start_target(site: Site, name: str, service: str) -> None:
    address, control, forward = free_addresses(3)
    upstream = await site.processes.start(
        name,
        "emulator.upstream",
        *("--listen", str(address), "--name", name, "--service-time-ms", "5"),
        *("--feed-interval-ms", str(FEED_INTERVAL_MS)),
    )
    await upstream.wait_for_output("event=listening")
    zone = ZONES[len(site.targets) % len(ZONES)]
    site.control_addresses[name] = control
    site.commands[name] = (
        "sidecar",
        *_node_options(site, name, control, zone),
        *("--service", service, "--upstream", str(address)),
        *("--forward-address", str(forward)),
        *("--certificate", str(site.certificate_files.certificate)),
        *("--private-key", str(site.certificate_files.private_key)),
    )
    sidecar = await site.start_daemon(name)
    await sidecar.wait_for_output("event=node-started")
    site.targets[name] = Target(name, service, address, control, upstream, sidecar)


def _node_options(
    site: Site, name: str, control: Address, zone: str
) -> tuple[str, ...]:
    contacts = ",".join(str(a) for n, a in site.control_addresses.items() if n != name)
    return (
        *("--node-id", name, "--zone", zone, "--region", "kathmandu"),
        *("--control-address", str(control)),
        *(("--contacts", contacts) if contacts else ()),
    )
