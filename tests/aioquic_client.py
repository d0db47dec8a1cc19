"""A minimal HTTP/3 client over aioquic's own classes, without the product's code."""

import asyncio

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.events import QuicEvent, StreamReset

Answer = tuple[int, bytes]


class AioquicClient(QuicConnectionProtocol):
    """Sends requests and collects their answers; a reset shows as ``-code``."""

    limit_s = 10.0

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.h3 = H3Connection(self._quic)
        self.answers: dict[int, asyncio.Future[Answer]] = {}
        self.parts: dict[int, Answer] = {}
        self.headers: dict[int, dict[str, str]] = {}

    def quic_event_received(self, event: QuicEvent) -> None:
        if isinstance(event, StreamReset):
            self.answers[event.stream_id].set_result((-event.error_code, b""))
        for h3_event in self.h3.handle_event(event):
            self._take(h3_event)

    def _take(self, event: H3Event) -> None:
        if not isinstance(event, HeadersReceived | DataReceived):
            return
        status, data = self.parts.get(event.stream_id, (0, b""))
        if isinstance(event, HeadersReceived):
            headers = {k.decode(): v.decode() for k, v in event.headers}
            status = int(headers[":status"])
            self.headers[event.stream_id] = headers
        else:
            data += event.data
        self.parts[event.stream_id] = (status, data)
        if event.stream_ended:
            self.answers[event.stream_id].set_result((status, data))

    def send(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, asyncio.Future[Answer]]:
        """Send a request; return its stream and its answer to come."""
        stream_id = self._quic.get_next_available_stream_id()
        self.answers[stream_id] = asyncio.get_running_loop().create_future()
        lines = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"localhost"),
            (b":path", path.encode()),
        ]
        lines += [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in headers.items()
        ]
        self.h3.send_headers(stream_id, lines, end_stream=not body)
        if body:
            self.h3.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return stream_id, self.answers[stream_id]

    async def get(self, path: str) -> Answer:
        """Return the answer to a GET request."""
        return await asyncio.wait_for(self.send("GET", path)[1], self.limit_s)

    async def post(self, path: str, body: bytes, **headers: str) -> Answer:
        """Return the answer to a POST request."""
        answer = self.send("POST", path, body, **headers)[1]
        return await asyncio.wait_for(answer, self.limit_s)
