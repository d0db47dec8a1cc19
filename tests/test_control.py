"""Control calls over ZeroMQ: key rotation, idle connections, slow and failed peers."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.membership.control import ControlClient, ControlServer
from cranberryhold.membership.messages import ControlMessage, RecordsRequest
from tests.waiting import until

ANY_PORT = Address("127.0.0.1", 0)
OLD_KEY, NEW_KEY = "1:" + "11" * 32, "2:" + "22" * 32


class Wait(ControlMessage):
    seconds: float


@dataclass
class Peer:
    server: ControlServer
    running: int = 0

    async def handle(self, message: Wait) -> Wait:
        self.running += 1
        try:
            await asyncio.sleep(message.seconds)
        finally:
            self.running -= 1
        return message


@pytest.fixture
async def peer() -> AsyncIterator[Peer]:
    server = ControlServer(KeyRing.parse(f"{OLD_KEY},{NEW_KEY}"), ANY_PORT)
    peer = Peer(server)
    server.register(Wait, peer.handle)
    async with server.serving():
        yield peer
    assert peer.running == 0


@pytest.mark.parametrize(
    "ring", [OLD_KEY, f"{OLD_KEY},{NEW_KEY}", f"{NEW_KEY},{OLD_KEY}"]
)
async def test_calls_succeed_during_a_key_rotation(peer, ring) -> None:
    async with ControlClient(KeyRing.parse(ring)) as client:
        answer = await client.call(peer.server.address, Wait(seconds=0.0), 5.0)
    assert answer == Wait(seconds=0.0)


async def test_slow_call_does_not_block_another_on_the_same_connection(peer) -> None:
    async with ControlClient(KeyRing.parse(OLD_KEY)) as client:
        slow = asyncio.create_task(
            client.call(peer.server.address, Wait(seconds=30.0), 60.0)
        )
        await until(lambda: peer.running == 1)
        await client.call(peer.server.address, Wait(seconds=0.0), 5.0)
        assert not slow.done()
        assert client.connections == 1
        slow.cancel()


async def test_timeout_names_step_and_peer_and_the_late_answer_is_discarded(
    peer,
) -> None:
    address = peer.server.address
    async with ControlClient(KeyRing.parse(OLD_KEY)) as client:
        with pytest.raises(PeerError, match="no answer within") as caught:
            await client.call(address, Wait(seconds=0.2), 0.1)
        assert caught.value.step == "await answer"
        assert caught.value.peer == str(address)
        assert await client.call(address, Wait(seconds=0.3), 5.0) == Wait(seconds=0.3)


async def test_idle_connection_is_closed_and_reopened(peer) -> None:
    async with ControlClient(KeyRing.parse(OLD_KEY), idle_timeout_s=0.1) as client:
        for _ in range(2):
            await client.call(peer.server.address, Wait(seconds=0.0), 5.0)
            await until(lambda: client.connections == 0)


async def test_message_without_a_handler_is_an_error(peer) -> None:
    async with ControlClient(KeyRing.parse(OLD_KEY)) as client:
        with pytest.raises(PeerError, match="no handler for RecordsRequest"):
            await client.call(peer.server.address, RecordsRequest(buckets=[]), 5.0)
    assert peer.server.failed == 1


async def test_unreachable_peer_is_reported_at_once() -> None:
    async with ControlClient(KeyRing.parse(OLD_KEY)) as client:
        with pytest.raises(PeerError, match="is the member up") as caught:
            async with asyncio.timeout(1.0):
                await client.call(Address("127.0.0.1", 1), Wait(seconds=0.0), 5.0)
    assert caught.value.step == "connect"
