"""Encodes and parses HTTP/1.1 messages of a client without doing any I/O."""

from __future__ import annotations

from cranberryhold.addresses import Address
from cranberryhold.structs import Struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping


class HttpResponse(Struct, frozen=True):
    """A complete response.

    :param headers: values by name in lower case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str]


def encode_request(server: Address, method: str, target: str, body: bytes) -> bytes:
    """Return a request with an optional JSON body."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {server}\r\n"
    if method == "POST":
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


class ResponseParser:
    """Parses one response and ignores what follows it.

    httptools prescribes the names of the callbacks.

    :param max_body_bytes: longest body that is accepted.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.complete = False
        self._max_body_bytes = max_body_bytes
        # Imported on demand: httptools takes longer than starting the interpreter, and
        # a daemon forwards its first packets without it.
        import httptools

        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._size = 0
        self._status = 0
        self._headers: dict[str, str] = {}

    @property
    def response(self) -> HttpResponse:
        """The response, once it is complete."""
        return HttpResponse(self._status, b"".join(self._body), self._headers)

    def feed(self, data: bytes) -> None:
        """Parse bytes that were received."""
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if not self.complete:
            self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self.complete:
            return
        self._size += len(body)
        if self._size > self._max_body_bytes:
            raise EOFError(f"response body exceeds {self._max_body_bytes} bytes")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if not self.complete:
            self.complete = True
            self._status = self._parser.get_status_code()
