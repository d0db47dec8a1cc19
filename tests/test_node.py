"""A node with real sockets: joining, a manifest change and the control port."""

import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import replace
from itertools import chain, repeat

import pytest

from cranberryhold.addresses import Address
from cranberryhold.distribution import query_status
from cranberryhold.exceptions import PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.membership.links import UdpLink
from cranberryhold.membership.members import MemberState, Role
from cranberryhold.membership.messages import ControlMessage, RecordsRequest
from cranberryhold.node import Node, running_node
from cranberryhold.settings import NodeSettings
from tests.waiting import until
from tools.clusters import accepted_manifest

LOCAL = Address("127.0.0.1", 0)


class Echo(ControlMessage):
    text: str


@pytest.fixture
async def nodes() -> AsyncIterator[list[Node]]:
    keys, started = KeyRing.generate(), []
    async with AsyncExitStack() as stack:
        for name in ("baneshwor-1", "lalitpur-1", "bhaktapur-1"):
            contacts = tuple(n.local_member.control_address for n in started[:1])
            settings = NodeSettings(name, name[:-2], "kathmandu", LOCAL, contacts, keys)
            node = running_node(settings, Role.ENTRY, forward_address=LOCAL)
            started.append(await stack.enter_async_context(node))
        await until(lambda: all(len(n.members) == 3 for n in started))
        yield started


async def test_manifest_too_large_for_a_datagram_reaches_all_nodes(nodes) -> None:
    nodes[1].manifest_state.adopt(
        accepted_manifest(1, *(f"service-{i}" for i in range(30)))
    )
    await until(lambda: all(n.manifest_state.generation == 1 for n in nodes))
    nodes[2].manifest_state.adopt(
        accepted_manifest(2, *(f"service-{i}" for i in range(30)))
    )
    await until(lambda: all(n.manifest_state.generation == 2 for n in nodes))
    assert len({n.manifest_state.digest for n in nodes}) == 1


async def test_leaving_is_announced(nodes) -> None:
    nodes[0].membership.announce(leaving=True)
    await until(
        lambda: all(
            n.members.get("baneshwor-1").state is MemberState.LEAVING for n in nodes
        )
    )


async def test_handler_registered_later_answers_and_its_fault_is_reported(
    nodes,
) -> None:
    async def echo(message: Echo) -> Echo:
        if not message.text:
            raise PeerError("nothing to say", step="echo")
        return message

    nodes[0].control_server.register(Echo, echo)
    client, address = nodes[1].control_client, nodes[0].local_member.control_address
    assert await client.call(address, Echo(text="selam"), 2.0) == Echo(text="selam")
    with pytest.raises(PeerError, match="nothing to say") as caught:
        await client.call(address, Echo(text=""), 2.0)
    assert caught.value.step == "remote handler"
    assert caught.value.peer == str(address)


async def test_node_with_another_key_ring_is_refused(nodes) -> None:
    foreign = NodeSettings(
        "foreign",
        "zone",
        "region",
        LOCAL,
        (nodes[0].local_member.control_address,),
        KeyRing.generate(),
    )
    async with running_node(foreign, Role.ENTRY, forward_address=LOCAL) as other:
        with pytest.raises(PeerError, match="same key ring"):
            await other.control_client.call(
                nodes[0].local_member.control_address, RecordsRequest(buckets=[0]), 2.0
            )
        await until(lambda: nodes[0].link.rejected > 0)
        assert len(other.members) == 1


async def test_status_query_returns_none_for_members_that_do_not_answer() -> None:
    keys = KeyRing.generate()
    settings = NodeSettings("addis-a-1", "addis-a", "addis", LOCAL, (), keys)
    async with running_node(settings, Role.ENTRY, forward_address=LOCAL) as node:
        node.manifest_state.adopt(accepted_manifest(7))
        node.manifest_state.record_store_contact(2.5)
        running, absent = node.local_member.control_address, Address("127.0.0.1", 1)
        found = await query_status(keys, [running, absent], 0.4)
    assert found[absent] is None
    assert found[running].node_id == "addis-a-1"
    assert found[running].heartbeat.generation == 7
    assert found[running].heartbeat.store_age_s == 3


async def test_port_in_use_for_tcp_is_replaced_or_reported(monkeypatch) -> None:
    keys = KeyRing.generate()
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        address = Address("127.0.0.1", occupied.getsockname()[1])
        settings = NodeSettings("addis-a-1", "addis-a", "addis", address, (), keys)
        with pytest.raises(PeerError, match="is the port in use"):
            async with running_node(settings, Role.ENTRY, forward_address=LOCAL):
                pass
        # Another process may also use the port that the system chooses after these.
        addresses = chain([address, address], repeat(LOCAL))
        original_open = UdpLink.open

        async def open_next(_: Address, keys: KeyRing) -> UdpLink:
            return await original_open(next(addresses), keys)

        monkeypatch.setattr(UdpLink, "open", open_next)
        settings = replace(settings, control_address=LOCAL)
        async with running_node(settings, Role.ENTRY, forward_address=LOCAL) as node:
            assert node.local_member.control_address != address
        assert next(addresses) == LOCAL
