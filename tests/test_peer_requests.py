"""Requests forwarded between targets over zmq: complete responses, true outcomes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import pytest
import zmq
import zmq.asyncio

from cranberryhold.addresses import Address
from cranberryhold.clock import SystemClock
from cranberryhold.datapath.connection_ids import TargetRef
from cranberryhold.exceptions import OutcomeUnknownError, PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.membership.curve import derive_key_pair
from cranberryhold.membership.members import Member, Role
from cranberryhold.requests.exchange import IDEMPOTENCY_KEY_PATH, Request, Response
from cranberryhold.requests.peer_pool import PeerPool
from cranberryhold.requests.peer_request_messages import (
    BodyChunk,
    BodyEnd,
    Channel,
    SlotRequest,
    encode,
)
from cranberryhold.requests.peer_requests import PeerRequestClient, PeerRequestServer
from cranberryhold.requests.pipeline import RequestPipeline
from tests.pipeline_fakes import RING, FakeUpstream, get_response, post, service
from tests.sockets import LOOPBACK_IP
from tests.waiting import until

LOOPBACK = Address(LOOPBACK_IP, 0)


@asynccontextmanager
async def running_peer(run_local, slots: int = 4, keys: KeyRing = RING):
    """Yield the member record, the pipeline and the server of a running peer."""
    clock = SystemClock()
    target = TargetRef(LOOPBACK, service().service_id, 1)
    pipeline = RequestPipeline(lambda: service(slots), target, keys, clock, run_local)
    with PeerRequestServer(keys, LOOPBACK, pipeline, clock).serving() as server:
        control = Address(LOOPBACK_IP, server.address.port - 1)
        yield (
            Member("p", Role.SIDECAR, "z", "r", control, LOOPBACK, incarnation=1),
            pipeline,
            server,
        )


async def send_request(
    client: PeerRequestClient, member: Member, request: Request, offer: int = 0
):
    async with client.forward_request(member, request, offer) as response:
        body = b"".join([chunk async for chunk in response.body])
        return response.status, response.outcome, body


async def test_each_request_gets_its_complete_response() -> None:
    # Responses of different lengths end in another order than they started, while
    # every third caller disconnects.
    upstream = FakeUpstream(0, response_suffix=b"-" * 700_000)
    async with (
        running_peer(upstream, 64) as (member, _, _),
        PeerRequestClient(RING, SystemClock()) as client,
    ):

        async def send_numbered(number: int) -> None:
            path, body = f"/{number}", bytes([number]) * (number * 9000)
            headers = (("x-seconds", str((97 - number) % 13 / 500)),)
            request = Request("POST", path, headers, _chunks(body))
            if number % 3 == 0:
                async with client.forward_request(member, request, 0) as response:
                    await anext(response.body)
                return
            got = await send_request(client, member, request)
            expected = f"POST {path} ".encode() + body + upstream.suffix
            assert got == (200, None, expected)

        await asyncio.gather(*(send_numbered(n) for n in range(40)))


async def _chunks(data: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(data), 50_000):
        yield data[start : start + 50_000]


async def test_offer_is_used_and_withdrawn() -> None:
    async with (
        running_peer(FakeUpstream(0), 1) as (member, pipeline, _),
        PeerRequestClient(RING, SystemClock()) as client,
    ):
        first = await client.request_slot(member, "short")
        assert first.offer_id
        assert (await client.request_slot(member, "short")).offer_id == 0
        got = await send_request(client, member, post("/a"), first.offer_id)
        assert got == (200, None, b"POST /a ")
        second = await client.request_slot(member, "short")
        client.withdraw(member, second.offer_id)
        await until(lambda: not pipeline.state()["admission"]["offers"])


async def test_keyed_requests_and_requests_without_a_slot_run_at_the_peer() -> None:
    clock, remote, own = SystemClock(), FakeUpstream(0), FakeUpstream(1)
    async with (
        running_peer(remote) as (member, pipeline, _),
        PeerRequestClient(RING, clock) as client,
    ):
        pool = PeerPool(lambda: [member], "own", "z", client, clock, Random(1))
        target = TargetRef(Address(LOOPBACK_IP, 1), service().service_id, 2)
        origin = RequestPipeline(lambda: service(1), target, RING, clock, own, pool)
        key = (await get_response(pipeline, Request("GET", IDEMPOTENCY_KEY_PATH)))[
            2
        ].decode()
        line = post("/lines", b"x", ("idempotency-key", key))
        assert await get_response(origin, line) == (200, None, b"POST /lines x")
        answers = await asyncio.gather(
            *(get_response(origin, post("/a")) for _ in range(2))
        )
        assert answers == [(200, None, b"POST /a ")] * 2
        assert (remote.started, own.started) == (["/lines", "/a"], ["/a"])


async def test_refusal_by_the_peer_is_returned_with_its_outcome() -> None:
    async with (
        running_peer(FakeUpstream(0)) as (member, pipeline, _),
        PeerRequestClient(RING, SystemClock()) as client,
    ):
        pipeline.begin_drain(0)
        assert (await send_request(client, member, post("/a")))[:2] == (503, "not-run")


async def test_slow_reader_buffers_no_more_than_the_window() -> None:
    sent = 0

    @asynccontextmanager
    async def endless(request: Request) -> AsyncIterator[Response]:
        async def body():
            nonlocal sent
            while True:
                sent += 1000
                yield b"x" * 1000

        yield Response(200, (), body())

    async with (
        running_peer(endless) as (member, _, server),
        PeerRequestClient(RING, SystemClock()) as client,
    ):
        async with client.forward_request(member, post("/"), 0) as response:
            await anext(response.body)
            await asyncio.sleep(0.3)
            assert sent <= 256 * 1024 + 1000
        # Leaving the context cancels the run at the peer.
        await until(lambda: not server.running)


async def test_unreachable_peer_raises_peer_error() -> None:
    async with PeerRequestClient(RING, SystemClock()) as client:
        control = Address(LOOPBACK_IP, 1)
        member = Member("p", Role.SIDECAR, "z", "r", control, LOOPBACK)
        with pytest.raises(PeerError):
            await send_request(client, member, post("/"))


async def test_connection_lost_after_the_request_head_gives_unknown() -> None:
    async with PeerRequestClient(RING, SystemClock()) as client:
        upstream = FakeUpstream(30)
        async with running_peer(upstream) as (member, _, _):
            sending = asyncio.create_task(send_request(client, member, post("/")))
            await until(lambda: upstream.started)
        with pytest.raises(OutcomeUnknownError):
            async with asyncio.timeout(5):
                await sending
        with pytest.raises(PeerError):
            await client.request_slot(member, "short")


async def test_malformed_message_ends_the_connection_and_its_exchanges() -> None:
    upstream = FakeUpstream(30)
    async with (
        running_peer(upstream) as (member, _, server),
        PeerRequestClient(RING, SystemClock()) as client,
    ):
        sending = asyncio.create_task(send_request(client, member, post("/")))
        await until(lambda: upstream.started)
        (peer_id, _), *_ = server._tasks
        await server._socket.send_multipart([peer_id, b"not a message"])
        with pytest.raises(OutcomeUnknownError):
            async with asyncio.timeout(5):
                await sending
        # The next exchange uses a new connection.
        assert (await client.request_slot(member, "short")).offer_id


async def test_withdrawal_after_a_cancelled_connection_attempt_is_ignored() -> None:
    async with PeerRequestClient(RING, SystemClock()) as client:
        control = Address(LOOPBACK_IP, 1)
        member = Member("p", Role.SIDECAR, "z", "r", control, LOOPBACK)
        asking = asyncio.create_task(client.request_slot(member, "short"))
        await asyncio.sleep(0)
        (connect_task,) = client._connections.values()
        connect_task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await asking
        client.withdraw(member, 1)


async def test_run_is_cancelled_when_the_forwarding_target_is_lost() -> None:
    upstream = FakeUpstream(30)
    async with running_peer(upstream) as (member, pipeline, server):
        async with PeerRequestClient(RING, SystemClock()) as client:
            sending = asyncio.create_task(send_request(client, member, post("/")))
            await until(lambda: upstream.started)
        # Detected by the server's pings, long before the deadline of 10 s.
        await until(lambda: not server.running and not pipeline.running, 5)
        with pytest.raises(OutcomeUnknownError):
            await sending


async def test_truncated_body_is_an_error() -> None:
    async def send(message) -> None:
        pass

    channel = Channel(1, send)
    for message in (BodyChunk(1, b"abc"), BodyEnd(1, 4)):
        channel.deliver(message)
    with pytest.raises(OutcomeUnknownError):
        assert [chunk async for chunk in channel.body()]


async def test_server_public_key_alone_admits_no_client() -> None:
    async with running_peer(FakeUpstream(0)) as (_, _, server):
        context = zmq.asyncio.Context()
        for secret, admitted in ((derive_key_pair(RING, 1).secret, 1), (b"", 0)):
            secret = secret or zmq.curve_keypair()[1]
            with context.socket(zmq.DEALER) as socket:
                socket.curve_secretkey = secret
                socket.curve_publickey = zmq.curve_public(secret)
                socket.curve_serverkey = derive_key_pair(RING, 1).public
                socket.connect(f"tcp://{server.address}")
                await socket.send(encode(SlotRequest(1, "short")))
                assert await socket.poll(5000 if admitted else 500) == admitted
        context.destroy(linger=0)


async def test_only_holders_of_the_key_ring_connect_even_during_rotation() -> None:
    new = {2: bytes(range(32, 64))}
    old = {1: bytes(range(32))}
    async with running_peer(FakeUpstream(0), keys=KeyRing(new | old)) as (member, _, _):
        for keys, admitted in ((old | new, True), (new, True), ({3: b"3" * 32}, False)):
            async with PeerRequestClient(KeyRing(keys), SystemClock()) as client:
                if admitted:
                    assert (await client.request_slot(member, "short")).offer_id
                else:
                    with pytest.raises(PeerError):
                        await client.request_slot(member, "short")
