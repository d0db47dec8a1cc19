"""A minimal HTTP/3 client that uses only aioquic and no code of the package."""

import asyncio

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.events import QuicEvent, StreamReset

Response = tuple[int, bytes]


class AioquicClient(QuicConnectionProtocol):
    """Sends requests and collects responses; a stream reset gives status ``-code``."""

    limit_s = 10.0

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.h3 = H3Connection(self._quic)
        self.responses: dict[int, asyncio.Future[Response]] = {}
        self.partial_responses: dict[int, Response] = {}
        self.headers: dict[int, dict[str, str]] = {}

    def quic_event_received(self, event: QuicEvent) -> None:
        if isinstance(event, StreamReset):
            self.responses[event.stream_id].set_result((-event.error_code, b""))
        for h3_event in self.h3.handle_event(event):
            self._handle_h3_event(h3_event)

    def _handle_h3_event(self, event: H3Event) -> None:
        if not isinstance(event, HeadersReceived | DataReceived):
            return
        status, data = self.partial_responses.get(event.stream_id, (0, b""))
        if isinstance(event, HeadersReceived):
            headers = {k.decode(): v.decode() for k, v in event.headers}
            status = int(headers[":status"])
            self.headers[event.stream_id] = headers
        else:
            data += event.data
        self.partial_responses[event.stream_id] = (status, data)
        if event.stream_ended:
            self.responses[event.stream_id].set_result((status, data))

    def send(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, asyncio.Future[Response]]:
        """Send a request; return its stream id and a future of its response."""
        stream_id = self._quic.get_next_available_stream_id()
        self.responses[stream_id] = asyncio.get_running_loop().create_future()
        header_fields = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"localhost"),
            (b":path", path.encode()),
        ]
        header_fields += [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in headers.items()
        ]
        self.h3.send_headers(stream_id, header_fields, end_stream=not body)
        if body:
            self.h3.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return stream_id, self.responses[stream_id]

    async def get(self, path: str) -> Response:
        """Send a GET request; return its response."""
        return await asyncio.wait_for(self.send("GET", path)[1], self.limit_s)

    async def post(self, path: str, body: bytes, **headers: str) -> Response:
        """Send a POST request; return its response."""
        response = self.send("POST", path, body, **headers)[1]
        return await asyncio.wait_for(response, self.limit_s)
