"""The HTTP/3 client, including the private attributes of aioquic that it uses."""

import asyncio

import pytest
from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import (
    ErrorCode,
    FrameType,
    H3Connection,
    StreamType,
    encode_frame,
)
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import PingAcknowledged, StreamDataReceived

from cranberryhold.addresses import Address
from cranberryhold.client import connection as connection_module
from cranberryhold.client.connection import (
    SEND_BUFFER_BYTES,
    GoawayH3Connection,
    client_configuration,
    open_connection,
)
from cranberryhold.exceptions import NotRunError, OutcomeUnknownError
from cranberryhold.requests.exchange import Request, bytes_body
from tests.h3_service import h3_service
from tests.waiting import until


def connect_to(service, files):
    peer = Address.parse(service.url.removeprefix("https://"))
    return open_connection(
        peer, client_configuration("127.0.0.1", str(files.certificate))
    )


async def never_respond(incoming):
    await asyncio.Event().wait()


@pytest.mark.parametrize("piece", [1, 3, 1000])
def test_aioquic_ignores_goaway_and_the_adapter_keeps_the_lowest_id(piece):
    quic = QuicConnection(configuration=QuicConfiguration(is_client=True))
    stock, adapted = H3Connection(quic), GoawayH3Connection(quic)
    frames = [
        encode_frame(FrameType.SETTINGS, b""),
        encode_frame(FrameType.GOAWAY, encode_uint_var(1200)),
        encode_frame(0x21, bytes(300)),
        encode_frame(FrameType.GOAWAY, encode_uint_var(800)),
        encode_frame(FrameType.GOAWAY, encode_uint_var(1600)),
    ]
    data = encode_uint_var(StreamType.CONTROL) + b"".join(frames)
    for start in range(0, len(data), piece):
        event = StreamDataReceived(data[start : start + piece], False, 3)
        assert not stock.handle_event(event)
        assert not adapted.handle_event(event)
    assert adapted.goaway_id == 800
    assert not any("goaway" in name.lower() for name in vars(stock))


def test_other_streams_are_not_read_as_the_control_stream():
    quic = QuicConnection(configuration=QuicConfiguration(is_client=True))
    adapted = GoawayH3Connection(quic)
    frame = encode_frame(FrameType.GOAWAY, encode_uint_var(4))
    data = encode_uint_var(StreamType.QPACK_DECODER) + frame
    adapted.handle_event(StreamDataReceived(data, False, 7))
    assert adapted.goaway_id is None


async def test_goaway_refuses_later_streams_and_lets_earlier_ones_finish(files):
    async with (
        h3_service(files, never_respond) as service,
        connect_to(service, files) as c,
    ):
        first = asyncio.create_task(read(c, "/first"))
        await until(lambda: len(service.requests) == 1)
        second = asyncio.create_task(read(c, "/second"))
        await until(lambda: len(service.requests) == 2)
        service.connections[0].go_away(service.requests[1].stream_id)
        with pytest.raises(NotRunError):
            await second
        with pytest.raises(NotRunError):
            await read(c, "/third")
        service.requests[0].respond(200, b"whole")
        assert await first == b"whole"
        await c.wait_finished()


async def test_a_body_waits_for_acknowledgements(files):
    """Guards against buffering a whole upload of any size in memory."""
    produced = 0

    async def endless():
        nonlocal produced
        while True:
            produced += 64 * 1024
            yield bytes(64 * 1024)

    async with (
        h3_service(files, never_respond) as service,
        connect_to(service, files) as c,
    ):
        request = Request("POST", "/", (), endless())
        sending = asyncio.create_task(exchange(c, request))
        # The fake service grants 1 MiB of credit at the start.
        await until(lambda: produced > 2 * SEND_BUFFER_BYTES)
        state = c._quic._streams[0].sender
        assert len(state._buffer) < SEND_BUFFER_BYTES + 128 * 1024
        sending.cancel()
        await until(lambda: service.requests[0].cancel_code is not None)
        assert service.requests[0].cancel_code == ErrorCode.H3_REQUEST_CANCELLED


@pytest.mark.parametrize(
    ("code", "expected"),
    [
        (ErrorCode.H3_REQUEST_REJECTED, NotRunError),
        (ErrorCode.H3_INTERNAL_ERROR, OutcomeUnknownError),
    ],
)
async def test_a_reset_says_whether_the_request_ran(files, code, expected):
    async def reset(incoming):
        incoming.reset(code)

    async with h3_service(files, reset) as service, connect_to(service, files) as c:
        with pytest.raises(expected):
            await read(c, "/")


async def test_an_error_raised_by_the_body_reaches_the_caller(files):
    async def failing_body():
        yield b"part"
        raise OSError("the disk is gone")

    async with (
        h3_service(files, never_respond) as service,
        connect_to(service, files) as c,
    ):
        with pytest.raises(OSError, match="the disk is gone"):
            await exchange(c, Request("POST", "/", (), failing_body()))


async def test_an_unknown_authority_is_refused(files):
    async with h3_service(files, never_respond) as service:
        peer = Address.parse(service.url.removeprefix("https://"))
        with pytest.raises(NotRunError, match="refused"):
            async with open_connection(peer, client_configuration("127.0.0.1")):
                pass


async def test_a_body_arrives_complete(files):
    async def echo(incoming):
        await incoming.body_received.wait()
        incoming.respond(200, incoming.body)

    data = bytes(range(256)) * 1024
    async with h3_service(files, echo) as service, connect_to(service, files) as c:
        assert await exchange(c, Request("POST", "/", (), bytes_body(data))) == data


async def test_cancelled_requests_leave_no_stream_state_behind(files):
    async with (
        h3_service(files, never_respond) as service,
        connect_to(service, files) as c,
    ):
        await until(lambda: len(c._h3._stream) == 3)
        for number in range(5):
            call = asyncio.create_task(read(c, "/"))
            await until(lambda n=number: len(service.requests) > n)
            call.cancel()

        async def endless():
            while True:
                yield bytes(1000)

        call = asyncio.create_task(exchange(c, Request("POST", "/", (), endless())))
        await until(lambda: len(service.requests) == 6)
        call.cancel()
        await until(lambda: len(c._h3._stream) == 3 and not c._streams)


async def test_pings_keep_an_idle_feed_open(files, monkeypatch):
    monkeypatch.setattr(connection_module, "PING_INTERVAL_S", 0.01)
    async with (
        h3_service(files, never_respond) as service,
        connect_to(service, files) as c,
    ):
        events, handle_event = [], c.quic_event_received
        monkeypatch.setattr(
            c,
            "quic_event_received",
            lambda event: (events.append(event), handle_event(event)),
        )
        feed = asyncio.create_task(read(c, "/feed"))
        await until(lambda: [type(e) for e in events].count(PingAcknowledged) >= 3)
        feed.cancel()


async def test_a_service_that_stops_responding_is_detected(files, monkeypatch):
    monkeypatch.setattr(connection_module, "IDLE_TIMEOUT_S", 0.3)
    async with (
        h3_service(files, never_respond) as service,
        connect_to(service, files) as c,
    ):
        call = asyncio.create_task(read(c, "/"))
        await until(lambda: service.requests)
        service.connections[0].discard_outgoing_packets()
        with pytest.raises(OutcomeUnknownError, match="lost"):
            await call
        await c.wait_finished()


async def read(connection, path):
    return await exchange(connection, Request("GET", path))


async def exchange(connection, request):
    async with connection.exchange(request, "test") as response:
        return b"".join([chunk async for chunk in response.body])
