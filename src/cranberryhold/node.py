"""The part that all daemons share: membership, manifest distribution, control port."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from random import Random

from loguru import logger

from cranberryhold.addresses import Address
from cranberryhold.background_tasks import running_tasks
from cranberryhold.clock import Clock, SystemClock
from cranberryhold.distribution import (
    ManifestDistributor,
    ManifestReader,
    ManifestState,
)
from cranberryhold.exceptions import PeerError
from cranberryhold.membership.control import ControlClient, ControlServer
from cranberryhold.membership.links import UdpLink
from cranberryhold.membership.members import Member, MemberTable, Role, incarnation_at
from cranberryhold.membership.membership import Membership
from cranberryhold.membership.messages import ManifestRequest, RecordsRequest
from cranberryhold.settings import NodeSettings
from cranberryhold.store import Store

PORT_ATTEMPTS = 10


@dataclass(frozen=True, slots=True)
class Node:
    """A running member.

    :param manifest_state: the manifest in force.
    :param control_server: answers calls; other modules register handlers with it.
    :param control_client: calls other members.
    :param reader: watches the store; None without a store.
    """

    clock: Clock
    membership: Membership
    manifest_state: ManifestState
    control_server: ControlServer
    control_client: ControlClient
    distributor: ManifestDistributor
    reader: ManifestReader | None
    link: UdpLink

    @property
    def members(self) -> MemberTable:
        """The member table of this process."""
        return self.membership.table

    @property
    def local_member(self) -> Member:
        """The newest own record."""
        return self.membership.local_member

    def state(self) -> dict[str, object]:
        """Return the state for the dump; all values can be written as JSON."""
        reader = self.reader
        return {
            "membership": self.membership.state(),
            "manifest": self.manifest_state.state()
            | {
                "pulls": self.distributor.pulls,
                "failed_pulls": self.distributor.failed_pulls,
                "reader": reader is not None and reader.elected,
                "store_failures": reader.failures if reader else 0,
            },
            "control": {
                "answered": self.control_server.answered,
                "failed": self.control_server.failed,
                "connections": self.control_client.connections,
                "rejected_datagrams": self.link.rejected,
                "overflowed_datagrams": self.link.overflowed,
            },
        }


@asynccontextmanager
async def running_node(
    settings: NodeSettings,
    role: Role,
    *,
    forward_address: Address,
    service: str = "",
    store: Store | None = None,
    weight: int = 100,
    rng: Random | None = None,
) -> AsyncIterator[Node]:
    """Run a member inside the context.

    The own record contains the address that was actually bound, so that the settings
    may leave the choice of the port to the operating system.

    :param forward_address: receives forwarded packets.
    :param service: name of the service of a sidecar.
    :param store: the platform's store; entry instances may be elected to read it.
    :param weight: initial weight, lower for a target with a slow start.
    :raises PeerError: if the control address can't be bound.
    """
    clock, rng = SystemClock(), rng or Random()
    async with AsyncExitStack() as stack:
        link, control_server = await stack.enter_async_context(_control_port(settings))
        client = await stack.enter_async_context(ControlClient(settings.keys))
        local_member = Member(
            settings.node_id,
            role,
            settings.zone,
            settings.region,
            link.address,
            forward_address,
            service,
            weight,
            incarnation_at(clock.wall()),
        )
        membership = Membership(
            local_member,
            link,
            clock=clock,
            rng=rng,
            contacts=settings.contacts,
            rpc_client=client,
        )
        manifest_state = ManifestState(clock)
        distributor = ManifestDistributor(manifest_state, membership, client)
        control_server.register(RecordsRequest, membership.handle_records_request)
        control_server.register(ManifestRequest, distributor.handle_manifest_request)
        reader = None
        functions = [distributor.run]
        if store is not None:
            reader = ManifestReader(
                manifest_state,
                store,
                local_member,
                membership.table,
                clock=clock,
                rng=rng,
            )
            functions.append(reader.run)
        await stack.enter_async_context(membership.running())
        await stack.enter_async_context(running_tasks(clock, *functions))
        logger.info(
            "event=node-started node={} control={}", local_member.node_id, link.address
        )
        yield Node(
            clock,
            membership,
            manifest_state,
            control_server,
            client,
            distributor,
            reader,
            link,
        )


@asynccontextmanager
async def _control_port(
    settings: NodeSettings,
) -> AsyncIterator[tuple[UdpLink, ControlServer]]:
    """Bind a UDP and a TCP port with the same number.

    The UDP port that the operating system chose may be in use for TCP; another one is
    tried in that case.
    """
    async with AsyncExitStack() as stack:
        attempts = 1 if settings.control_address.port else PORT_ATTEMPTS
        for attempts_left in reversed(range(attempts)):
            link = await UdpLink.open(settings.control_address, settings.keys)
            stack.push_async_callback(link.close)
            control_server = ControlServer(settings.keys, link.address)
            try:
                await stack.enter_async_context(control_server.serving())
                break
            except PeerError:
                if not attempts_left:
                    raise
                await stack.aclose()
        yield link, control_server
        if link.rejected or link.overflowed:
            logger.warning(
                "event=datagrams-dropped rejected={} overflowed={}",
                link.rejected,
                link.overflowed,
            )
