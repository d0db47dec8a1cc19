"""An HTTP/3 service whose responses are scripted by the test."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.asyncio.server import serve
from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import H3_ALPN, FrameType, H3Connection, encode_frame
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ConnectionTerminated, StopSendingReceived, StreamReset

from emulator.certificates import CertificateFiles


@dataclass
class IncomingRequest:
    """A request received by the service, with methods to respond to it."""

    connection: "ServiceConnection"
    stream_id: int
    headers: dict[str, str]
    body: bytes = b""
    body_received: asyncio.Event = field(default_factory=asyncio.Event)
    cancel_code: int | None = None

    @property
    def path(self) -> str:
        return self.headers[":path"]

    def respond(self, status: int, body: bytes = b"", **headers: str) -> None:
        self.send_headers(status, **headers)
        self.send(body, end=True)

    def send_headers(self, status: int, **headers: str) -> None:
        fields = {":status": str(status)} | headers
        self.connection.h3.send_headers(
            self.stream_id,
            [(k.replace("_", "-").encode(), v.encode()) for k, v in fields.items()],
        )
        self.connection.transmit()

    def send(self, data: bytes, end: bool = False) -> None:
        self.connection.h3.send_data(self.stream_id, data, end)
        self.connection.transmit()

    def reset(self, code: int) -> None:
        self.connection._quic.reset_stream(self.stream_id, code)
        self.connection.transmit()


class ServiceConnection(QuicConnectionProtocol):
    def __init__(self, quic, stream_handler=None, *, service: "FakeService"):
        super().__init__(quic, stream_handler)
        self._service = service
        self.h3 = H3Connection(quic)
        self.requests: dict[int, IncomingRequest] = {}
        self.lost = False
        service.connections.append(self)

    def go_away(self, stream_id: int) -> None:
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
        self._quic.send_stream_data(self.h3._local_control_stream_id, frame)
        self.transmit()

    def discard_outgoing_packets(self) -> None:
        """Send nothing from now on, like a killed process."""
        self._transport = SimpleNamespace(sendto=lambda data, addr: None)

    def quic_event_received(self, event) -> None:
        if isinstance(event, ConnectionTerminated):
            self.lost = True
        if isinstance(event, StreamReset | StopSendingReceived):
            self.requests[event.stream_id].cancel_code = event.error_code
        for h3_event in self.h3.handle_event(event):
            if isinstance(h3_event, HeadersReceived):
                self._start_request(h3_event)
            if isinstance(h3_event, DataReceived):
                self.requests[h3_event.stream_id].body += h3_event.data
            if h3_event.stream_ended:
                self.requests[h3_event.stream_id].body_received.set()

    def _start_request(self, event: HeadersReceived) -> None:
        headers = {k.decode(): v.decode() for k, v in event.headers}
        incoming = IncomingRequest(self, event.stream_id, headers)
        self.requests[event.stream_id] = incoming
        self._service.requests.append(incoming)
        self._service.tasks.append(asyncio.create_task(self._service.handler(incoming)))


@dataclass
class FakeService:
    handler: Callable[[IncomingRequest], Awaitable[None]]
    url: str = ""
    requests: list[IncomingRequest] = field(default_factory=list)
    connections: list[ServiceConnection] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)


@asynccontextmanager
async def h3_service(
    files: CertificateFiles, handler: Callable[[IncomingRequest], Awaitable[None]]
) -> AsyncIterator[FakeService]:
    service = FakeService(handler)
    configuration = QuicConfiguration(is_client=False, alpn_protocols=H3_ALPN)
    configuration.load_cert_chain(files.certificate, files.private_key)
    server = await serve(
        "127.0.0.1",
        0,
        configuration=configuration,
        create_protocol=lambda *a, **k: ServiceConnection(*a, **k, service=service),
    )
    port = server._transport.get_extra_info("sockname")[1]
    service.url = f"https://127.0.0.1:{port}"
    try:
        yield service
    finally:
        for task in service.tasks:
            task.cancel()
        server.close()
