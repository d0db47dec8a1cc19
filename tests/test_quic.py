"""The aioquic adapter and the HTTP/3 server, tested with aioquic's own client."""

import asyncio
import random
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from aioquic.asyncio.client import connect
from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.addresses import Address
from cranberryhold.clock import SystemClock
from cranberryhold.datapath.connection_ids import ConnectionIdCodec, TargetRef
from cranberryhold.datapath.packets import Direction, ForwardCodec, read_connection_id
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.models import Service
from cranberryhold.membership.members import MemberTable
from cranberryhold.requests.exchange import Request, Response, bytes_body
from cranberryhold.requests.h3_server import _SeenStreams
from cranberryhold.sidecar import Sidecar, quic_configuration
from tests.aioquic_client import AioquicClient
from tests.waiting import until

KEYS = KeyRing({1: bytes(32)})
LIMIT_S = 10.0
SERVICE = Service(name="khata-core", addresses=("127.0.0.1:4433",))


class Forwarder(asyncio.DatagramProtocol):
    """A minimal entry instance that only adds headers and records the packets."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.packets: list[bytes] = []
        self.incoming = ForwardCodec(KEYS, Direction.TO_TARGET)
        self.outgoing = ForwardCodec(KEYS, Direction.TO_CALLER)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if addr == (self.target.ip, self.target.port):
            back = self.outgoing.decode(data)
            assert back is not None
            self.transport.sendto(back.packet, (back.caller.ip, back.caller.port))
            return
        self.packets.append(data)
        header = self.incoming.header(Address(*addr), SERVICE.endpoints[0])
        self.transport.sendto(header + data, (self.target.ip, self.target.port))


@asynccontextmanager
async def echo(request: Request) -> AsyncIterator[Response]:
    body = b"".join([chunk async for chunk in request.body])
    yield Response(200, (), bytes_body(request.path.encode() + b" " + body))


@asynccontextmanager
async def endless(request: Request) -> AsyncIterator[Response]:
    async def lines() -> AsyncIterator[bytes]:
        while True:
            yield b"line\n"
            await asyncio.sleep(0.01)

    yield Response(200, (), lines())


@pytest.fixture
async def forwarded_sidecar(certificate: tuple[str, str]) -> AsyncIterator[Callable]:
    """Yield a function that connects an aioquic client through a forwarder."""
    loop = asyncio.get_running_loop()
    target = TargetRef(Address("127.0.0.1", 0), SERVICE.service_id, 7)
    sidecar = Sidecar(
        target=target,
        zone="baneshwor",
        node_id="t1",
        service=SERVICE.name,
        keys=KEYS,
        members=MemberTable(),
        clock=SystemClock(),
        configuration=quic_configuration(*certificate),
        handler=echo,
    )
    sidecar.apply_service(SERVICE)
    async with sidecar.serving(Address("127.0.0.1", 0)):
        address = Address(*sidecar._transport.get_extra_info("sockname"))
        transport, forwarder = await loop.create_datagram_endpoint(
            lambda: Forwarder(address), local_addr=("127.0.0.1", 0)
        )
        port = transport.get_extra_info("sockname")[1]

        def open_client():
            configuration = QuicConfiguration(
                is_client=True, alpn_protocols=H3_ALPN, verify_mode=ssl.CERT_NONE
            )
            return connect(
                "127.0.0.1",
                port,
                configuration=configuration,
                create_protocol=AioquicClient,
            )

        yield open_client, forwarder, sidecar, target
        transport.close()


async def test_client_gets_its_response_and_uses_only_issued_ids(
    forwarded_sidecar: tuple,
) -> None:
    """Fails if a version of aioquic chooses connection ids in another place."""
    open_client, forwarder, _, target = forwarded_sidecar
    async with open_client() as client:
        assert await client.get("/a") == (200, b"/a ")
        assert await client.post("/b", b"x" * 100_000) == (200, b"/b " + b"x" * 100_000)
        client.change_connection_id()
        assert await client.get("/c") == (200, b"/c ")
    codec = ConnectionIdCodec(KEYS)
    short = [p for p in forwarder.packets if not p[0] & 0x80]
    assert short
    assert {codec.decode(read_connection_id(p)) for p in short} == {target}
    assert len({read_connection_id(p) for p in short}) > 1


async def test_concurrent_requests_get_their_own_responses(
    forwarded_sidecar: tuple,
) -> None:
    open_client, *_ = forwarded_sidecar
    async with open_client() as client:
        paths = [f"/{n}" for n in range(50)]
        answers = await asyncio.gather(*(client.get(path) for path in paths))
    assert answers == [(200, f"{path} ".encode()) for path in paths]


@given(st.permutations([4 * n for n in range(12)]), st.integers(0, 44))
def test_request_streams_may_arrive_in_any_order(ids: list[int], again: int) -> None:
    """Guards against mistaking a late request for the trailers of an earlier one."""
    started = _SeenStreams()
    assert all(started.add(stream_id) for stream_id in ids)
    assert not started.add(again - again % 4)
    assert (started.next_id, started.floor, started.above) == (48, 48, set())


async def test_closing_after_the_last_request_does_not_truncate_its_response(
    forwarded_sidecar: tuple,
) -> None:
    open_client, _, sidecar, _ = forwarded_sidecar
    async with open_client() as client:
        body = b"x" * 200_000
        answer = asyncio.ensure_future(client.post("/big", body))
        await until(lambda: sidecar.running)
        drain = asyncio.ensure_future(sidecar.drain(0.0, LIMIT_S))
        sidecar._close_when_idle = True
        assert await answer == (200, b"/big " + body)
        assert await drain == 0


async def test_shutdown_does_not_wait_for_acknowledgements(
    forwarded_sidecar: tuple,
) -> None:
    """Guards against a shutdown that hangs because a caller is gone."""
    open_client, _, sidecar, _ = forwarded_sidecar
    sidecar._handler = endless
    async with open_client() as client:
        client.send("GET", "/feed")
        await until(lambda: client.partial_responses)
        (connection,) = sidecar._h3_connections
        (stream,) = connection._streams.values()
        sidecar._transport = None
        stream.task.cancel()
        connection._task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await asyncio.wait_for(stream.task, LIMIT_S)


async def test_requests_after_a_goaway_are_rejected_as_not_run(
    forwarded_sidecar: tuple,
) -> None:
    open_client, _, sidecar, _ = forwarded_sidecar
    async with open_client() as client:
        assert (await client.get("/a"))[0] == 200
        (connection,) = sidecar._h3_connections
        connection.refuse_new_requests()
        assert await client.get("/late") == (-0x10B, b"")


async def test_invalid_packets_are_counted_and_leave_no_state(
    forwarded_sidecar: tuple,
) -> None:
    _, _, sidecar, _ = forwarded_sidecar
    rng = random.Random(1)
    header = ForwardCodec(KEYS, Direction.TO_TARGET).header(
        Address("127.0.0.1", 9), SERVICE.endpoints[0]
    )
    other = ForwardCodec(KEYS, Direction.TO_TARGET).header(
        Address("127.0.0.1", 9), Address("127.0.0.1", 1)
    )
    entry = ("127.0.0.1", 1)
    sidecar.datagram_received(rng.randbytes(300), entry)
    sidecar.datagram_received(other + b"\x40" * 300, entry)
    for size in (1, 20, 300, 1300):
        sidecar.datagram_received(header + b"\x40" + rng.randbytes(size), entry)
        sidecar.datagram_received(header + b"\xc0" + rng.randbytes(size), entry)
    counts = sidecar.counts
    assert counts["dropped_forged"] == 1
    assert counts["dropped_other_service"] == 1
    assert counts["dropped_unknown"] == 8
    assert sidecar.state()["return_paths"] == 0
    assert sidecar.connections == 0


async def test_ids_issued_or_retired_after_the_end_of_a_connection_are_ignored(
    forwarded_sidecar: tuple,
) -> None:
    # aioquic's timers may fire once more after a connection has been removed.
    open_client, _, sidecar, _ = forwarded_sidecar
    async with open_client() as client:
        assert (await client.get("/a"))[0] == 200
        server = sidecar._server
        (protocol,) = server.connections
    await until(lambda: not server.connections)
    protocol._connection_id_issued_handler(b"i" * 20)
    assert not server.has_connection_id(b"i" * 20)
    protocol._connection_id_retired_handler(b"i" * 20)
