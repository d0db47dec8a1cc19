"""Configurations that entry instances fetch from each other."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from socket import inet_aton

from cranberryhold.addresses import Address
from cranberryhold.flows.adoption import ConfigurationAdopter
from cranberryhold.flows.entry_core import EntryCore
from cranberryhold.flows.http_server import Request, Response, serving_http
from cranberryhold.flows.peer_configurations import (
    CONFIGURATION_PATH,
    MAX_FETCHES,
    PeerConfigurations,
)
from cranberryhold.flows.peer_messages import EntryStatus, encode_message
from cranberryhold.flows.route_table import RouteTable
from cranberryhold.platform.operator_configuration import OperatorConfiguration
from cranberryhold.platform.packets import PacketCodec
from tests.flow_site import machine_ip, running_site
from tests.following import create_telemetry
from tests.sockets import LOOPBACK_IP, free_port
from tests.waiting import until

ROUTE = {"name": "r", "host": "198.18.0.1", "prefix": "/443/", "service": "core"}
# Much less than the time after which a fetch from a silent member is given up.
FETCH_LIMIT_S = 1.0


class Fetches:
    """A table that is kept up to date from other members only."""

    def __init__(self) -> None:
        self.telemetry = create_telemetry()
        self.routes = RouteTable(flow_lifetime_s=60.0, confirmation_s=3.0)
        adopter = ConfigurationAdopter(
            OperatorConfiguration(),
            self.routes,
            self.telemetry,
            monotonic=time.monotonic,
            on_change=lambda: None,
        )
        self.peers = PeerConfigurations(adopter, self.telemetry)


class Peer:
    """A member that serves one version, and counts the requests for it."""

    def __init__(self, version: int) -> None:
        self.address = Address(LOOPBACK_IP, free_port())
        self.requests = 0
        self._document = json.dumps({"version": version, "routes": [ROUTE]}).encode()

    async def handle(self, request: Request) -> Response:
        self.requests += 1
        known = request.path == CONFIGURATION_PATH
        return Response(200, self._document) if known else Response(404)


@asynccontextmanager
async def running_peer(version: int) -> AsyncIterator[Peer]:
    """Yield a member that answers."""
    peer = Peer(version)
    async with serving_http(peer.address, peer.handle, create_telemetry()):
        yield peer


@asynccontextmanager
async def silent_peer() -> AsyncIterator[Address]:
    """Yield the address of a member that takes connections, and never answers."""
    address = Address(LOOPBACK_IP, free_port())
    server = await asyncio.start_server(lambda *_: None, address.ip, address.port)
    try:
        yield address
    finally:
        server.close()


async def test_a_newer_version_is_fetched_from_a_peer() -> None:
    fetches = Fetches()
    async with running_peer(9) as peer:
        fetches.peers.report(peer.address, 9)
        await until(lambda: fetches.routes.version == 9)
        fetches.peers.report(peer.address, 9)
        await asyncio.sleep(0.05)
        assert peer.requests == 1


async def test_an_unresponsive_peer_is_logged() -> None:
    fetches = Fetches()
    fetches.peers.report(Address(LOOPBACK_IP, free_port()), 9)
    written = fetches.telemetry.output.written
    await until(lambda: any("configuration-not-fetched" in line for line in written))
    assert fetches.routes.version == 0


async def test_a_silent_peer_does_not_hide_the_report_of_another() -> None:
    # Guards against a late configuration because the report of a member is dropped
    # while another one, which has just ended, is asked.
    fetches = Fetches()
    async with silent_peer() as silent, running_peer(9) as peer:
        fetches.peers.report(silent, 9)
        await asyncio.sleep(0.02)
        fetches.peers.report(peer.address, 9)
        async with asyncio.timeout(FETCH_LIMIT_S):
            await until(lambda: fetches.routes.version == 9)


async def test_the_next_peer_is_asked_after_a_refused_connection() -> None:
    # Guards against a wait for the next report of a member, which takes up to 10 s if
    # it is in another data centre.
    fetches = Fetches()
    async with running_peer(9) as peer:
        fetches.peers.report(peer.address, 9)
        for _ in range(5):
            fetches.peers.report(Address(LOOPBACK_IP, free_port()), 9)
        async with asyncio.timeout(FETCH_LIMIT_S):
            await until(lambda: fetches.routes.version == 9)


async def test_a_document_is_fetched_from_few_of_many_peers() -> None:
    # Guards against a load that grows with the square of the number of members: a
    # change makes all of them report at once.
    fetches = Fetches()
    async with running_peer(9) as peer:
        for port in range(1, 60):
            fetches.peers.report(Address("127.0.0.2", port), 9)
        fetches.peers.report(peer.address, 9)
        await until(lambda: fetches.routes.version == 9)
        await asyncio.sleep(0.05)
    refused = [x for x in fetches.telemetry.output.written if "not-fetched" in x]
    assert len(refused) < MAX_FETCHES


async def test_a_report_from_before_a_daemon_serves_is_used() -> None:
    # Guards against an entry instance that can't reach the store, and has missed the
    # report of a newer version while its modules were loaded.
    async with running_site() as site:
        settings = site.member(machine_ip(4))
        source = OperatorConfiguration()
        core = EntryCore(settings, PacketCodec(), source, create_telemetry())
        status = EntryStatus(7, "a", 9, ready=True)
        with core.open_sockets():
            core.member.receive(encode_message(status), inet_aton(machine_ip(1)))
        reports = []
        core.on_newer_version(lambda *report: reports.append(report))
        assert reports == [(Address(machine_ip(1), site.peer_port), 9)]
