"""HTTP/1.1 messages of a client, without input or output."""

import httptools

from cranberryhold.addresses import Address


def encode_request(server: Address, method: str, target: str, body: bytes) -> bytes:
    """Return a request with an optional JSON body."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {server}\r\n"
    if method == "POST":
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


class ResponseParser:
    """Collects one response; callbacks are named by httptools.

    :param max_body_bytes: the longest body that is kept.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.complete = False
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._size = 0

    @property
    def status(self) -> int:
        """Status code."""
        return self._parser.get_status_code()

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self._body)

    @property
    def keeps_alive(self) -> bool:
        """Whether the server keeps the connection."""
        return self._parser.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Parse bytes of the connection."""
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._size += len(body)
        if self._size > self._max_body_bytes:
            raise EOFError(f"response over {self._max_body_bytes} bytes")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End the response."""
        self.complete = True
