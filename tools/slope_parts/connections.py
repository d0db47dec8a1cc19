"""Cost of QUIC connections and requests at a sidecar.

A client and a sidecar's QUIC server exchange packets in one process. Only the
processor time of the server is counted.
"""

import asyncio
import gc
import ssl
import tempfile
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from time import process_time

from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from cranberryhold.addresses import Address
from cranberryhold.clock import SystemClock
from cranberryhold.datapath.connection_ids import ConnectionIdCodec, TargetRef
from cranberryhold.datapath.quic import SidecarQuicServer
from cranberryhold.manifest.models import Service
from cranberryhold.requests.exchange import Request, Response, bytes_body
from cranberryhold.requests.h3_server import H3ServerConnection
from cranberryhold.requests.pipeline import RequestPipeline
from cranberryhold.sidecar import quic_configuration
from emulator.certificates import write_certificate
from tools.bench_parts import KEYS
from tools.slope_parts.fits import Slope
from tools.slope_parts.meters import measure_memory

_SERVICE = Service(name="core", addresses=("127.0.0.1:4433",))
_TARGET = TargetRef(Address("127.0.0.2", 443), _SERVICE.service_id, 1)
_SERVER = ("127.0.0.1", 4433)
_IDLE_ROUNDS = 8
_ROUNDS = 3
"""Number of runs; the minimum counts, as the one least disturbed by other load."""


def slopes(seed: int) -> Iterator[Slope]:
    """Yield time per handshake, request and close, and memory per connection."""
    with tempfile.TemporaryDirectory() as directory:
        files = write_certificate(Path(directory))

        def run(measure: Callable, count: int) -> float:
            async def run_measurement() -> float:
                return await measure(_Server(str(files[0]), str(files[1])), count)

            return asyncio.run(run_measurement())

        def min_of_runs(measure: Callable, count: int) -> float:
            return min(run(measure, count) for _ in range(_ROUNDS))

        for name, unit, per, measure, counts in (
            ("flow.handshake.time", "s", "handshake", _handshake_time, (25, 50, 100)),
            ("request.time", "s", "request", _request_time, (100, 200, 400)),
            ("flow.close.time", "s", "open connection", _close_time, (50, 100, 200)),
            (
                "flow.memory",
                "bytes",
                "open connection",
                _connection_memory,
                (25, 50, 100),
            ),
        ):
            cost = min_of_runs if unit == "s" else run
            points = tuple((n, cost(measure, n)) for n in counts)
            yield Slope(name, unit, per, points)


@asynccontextmanager
async def _respond(request: Request) -> AsyncIterator[Response]:
    yield Response(200, (), bytes_body(b"0123456789"))


class _Server:
    """QUIC server and request pipeline of a sidecar, and their processor time."""

    def __init__(self, certificate: str, private_key: str) -> None:
        self.processor_s = 0.0
        self.outbox: list[bytes] = []
        self.pipeline = RequestPipeline(
            lambda: _SERVICE, _TARGET, KEYS, SystemClock(), _respond
        )
        self.quic = SidecarQuicServer(
            target=_TARGET,
            codec=ConnectionIdCodec(KEYS),
            configuration=quic_configuration(certificate, private_key),
            send=lambda packet, caller: self.outbox.append(packet),
            create_protocol=lambda quic: H3ServerConnection(quic, self.pipeline),
        )

    async def exchange(self, client: "_Client") -> None:
        """Exchange packets until both sides have been idle for several rounds."""
        idle = 0
        while idle < _IDLE_ROUNDS:
            packets = client.packets()
            started = process_time()
            for packet in packets:
                self.quic.receive(packet, client.address)
            await asyncio.sleep(0)
            self.processor_s += process_time() - started
            received, self.outbox = self.outbox, []
            client.receive(received)
            idle = 0 if packets or received else idle + 1


class _Client:
    """The connection of a caller."""

    def __init__(self, number: int) -> None:
        self.address = ("127.0.0.3", 10000 + number)
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=H3_ALPN, verify_mode=ssl.CERT_NONE
        )
        self._quic = QuicConnection(configuration=configuration)
        self._quic.connect(_SERVER, now=self._now())
        self._h3 = H3Connection(self._quic)
        self.response_count = 0

    def packets(self) -> list[bytes]:
        """Return the packets to be sent."""
        return [data for data, _ in self._quic.datagrams_to_send(self._now())]

    def receive(self, packets: list[bytes]) -> None:
        """Handle packets of the server and count complete responses."""
        for packet in packets:
            self._quic.receive_datagram(packet, _SERVER, self._now())
        while (event := self._quic.next_event()) is not None:
            for h3_event in self._h3.handle_event(event):
                self.response_count += bool(getattr(h3_event, "stream_ended", False))

    def send_request(self) -> None:
        """Send a GET request."""
        stream = self._quic.get_next_available_stream_id()
        headers = {":method": "GET", ":scheme": "https", ":path": "/prices"}
        headers[":authority"] = "localhost"
        fields = [(k.encode(), v.encode()) for k, v in headers.items()]
        self._h3.send_headers(stream, fields, end_stream=True)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


async def _connect(server: _Server, count: int) -> list[_Client]:
    clients = []
    for number in range(count):
        client = _Client(number)
        await server.exchange(client)
        clients.append(client)
    assert len(server.quic.connections) == count
    return clients


async def _handshake_time(server: _Server, count: int) -> float:
    await _connect(server, count)
    return server.processor_s


async def _request_time(server: _Server, count: int) -> float:
    (client,) = await _connect(server, 1)
    server.processor_s = 0.0
    for _ in range(count):
        client.send_request()
        await server.exchange(client)
    assert client.response_count == count
    return server.processor_s


async def _close_time(server: _Server, count: int) -> float:
    """Return the time to remove one connection while ``count`` are open."""
    await _connect(server, count)
    closing = list(server.quic.connections)[: count // 5]
    started = process_time()
    for protocol in closing:
        protocol._connection_terminated_handler()
    return (process_time() - started) / len(closing)


async def _connection_memory(server: _Server, count: int) -> float:
    with measure_memory() as measurement:
        clients = await _connect(server, count)
        for client in clients:
            client.send_request()
            await server.exchange(client)
        assert all(client.response_count == 1 for client in clients)
        del client
        clients.clear()
        gc.collect()
    return measurement.value
