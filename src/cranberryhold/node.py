"""What every daemon runs: membership, manifest distribution and the control port."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from random import Random

from loguru import logger

from cranberryhold.addresses import Address
from cranberryhold.background_tasks import running_tasks
from cranberryhold.clock import Clock, SystemClock
from cranberryhold.control import ControlClient, ControlServer
from cranberryhold.distribution import (
    ManifestDistributor,
    ManifestReader,
    ManifestState,
)
from cranberryhold.exceptions import PeerError
from cranberryhold.links import UdpLink
from cranberryhold.members import Member, MemberTable, Role, incarnation_at
from cranberryhold.membership import Membership
from cranberryhold.messages import ManifestRequest, RecordsRequest
from cranberryhold.settings import NodeSettings
from cranberryhold.store import Store

PORT_TRIES = 10


@dataclass(frozen=True, slots=True)
class Node:
    """A running member.

    :param manifest_state: the manifest in force.
    :param control_server: server of calls; other modules register their handlers.
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
        """What this process believes of the members."""
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

    The own record names the address that was bound, so that the settings may leave
    the choice of the port to the operating system.

    :param forward_address: where forwarded packets arrive.
    :param service: name of the service of a sidecar.
    :param store: the platform's store; entry instances may become its readers.
    :param weight: first weight, for a target that starts slowly.
    :raises PeerError: if the control address can't be bound.
    """
    clock, rng = SystemClock(), rng or Random()
    async with AsyncExitStack() as stack:
        link, control = await stack.enter_async_context(_control_port(settings))
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
            calls=client,
        )
        manifest_state = ManifestState(clock)
        distributor = ManifestDistributor(manifest_state, membership, client)
        control.register(RecordsRequest, membership.handle_records_request)
        control.register(ManifestRequest, distributor.handle_manifest_request)
        reader = None
        duties = [distributor.run]
        if store is not None:
            reader = ManifestReader(
                manifest_state,
                store,
                local_member,
                membership.table,
                clock=clock,
                rng=rng,
            )
            duties.append(reader.run)
        await stack.enter_async_context(membership.running())
        await stack.enter_async_context(running_tasks(clock, *duties))
        logger.info(
            "event=node-started node={} control={}", local_member.node_id, link.address
        )
        yield Node(
            clock,
            membership,
            manifest_state,
            control,
            client,
            distributor,
            reader,
            link,
        )


@asynccontextmanager
async def _control_port(
    settings: NodeSettings,
) -> AsyncIterator[tuple[UdpLink, ControlServer]]:
    """Bind the UDP and the TCP port of the same number.

    A UDP port that the operating system chose may be taken for TCP, so another one
    is tried then.
    """
    async with AsyncExitStack() as stack:
        tries = 1 if settings.control_address.port else PORT_TRIES
        for tries_left in reversed(range(tries)):
            link = await UdpLink.open(settings.control_address, settings.keys)
            stack.push_async_callback(link.close)
            control = ControlServer(settings.keys, link.address)
            try:
                await stack.enter_async_context(control.serving())
                break
            except PeerError:
                if not tries_left:
                    raise
                await stack.aclose()
        yield link, control
        if link.rejected or link.overflowed:
            logger.warning(
                "event=datagrams-dropped rejected={} overflowed={}",
                link.rejected,
                link.overflowed,
            )
