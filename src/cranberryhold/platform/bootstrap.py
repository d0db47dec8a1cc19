"""Reads the store when an entry instance starts, without an event loop."""

from __future__ import annotations

import _socket as socket
import errno
import time

from cranberryhold.addresses import Address
from cranberryhold.flows.http_messages import (
    HttpResponse,
    ResponseParser,
    encode_request,
)
from cranberryhold.flows.leased_store import BootstrapState
from cranberryhold.flows.plain_http import NotPlainError, parse_plain
from cranberryhold.platform.store_messages import RANGE_PATH, StorePage, decode_page

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from cranberryhold.flows.poller import Poller

# Many times the store's usual response time; the daemon retries soon afterwards.
TIMEOUT_S = 0.5
MAX_BODY_BYTES = 4 << 20
READ_BYTES = 64 * 1024


class BootstrapReading:
    """Reads the configuration and the members at the same time.

    If the members don't fit one page, only the first page is returned.

    :param poller: waits for the store.
    :param on_error: called with the error on failure.
    :param operator_prefix: a prefix of the configuration's key, to read all other keys
        with it as well.
    """

    def __init__(
        self,
        poller: Poller,
        store: Address,
        configuration_key: str,
        members_prefix: str,
        on_error: Callable[[Exception], None],
        *,
        operator_prefix: str | None = None,
    ) -> None:
        self._configuration_key = configuration_key
        self._operator_prefix = operator_prefix
        self._on_error = on_error
        self._read_at = time.monotonic()
        self._state: BootstrapState | None = None
        self._failed = False
        self._calls = [
            _PageCall(poller, store, prefix, self._finish)
            for prefix in (operator_prefix or configuration_key, members_prefix)
        ]
        for call in self._calls:
            if not self._failed:
                call.start()

    @property
    def state(self) -> BootstrapState | None:
        """What was read, None before the end or if it failed."""
        return self._state

    def is_finished(self) -> bool:
        """Whether the read has ended; ends it at its deadline."""
        if self._state is not None or self._failed:
            return True
        if time.monotonic() - self._read_at > TIMEOUT_S:
            self._finish(TimeoutError("no response in time"))
        return self._failed

    def _finish(self, error: Exception | None) -> None:
        """Handle the end of a call."""
        if self._failed:
            return
        if error is None:
            configurations, members = [call.page for call in self._calls]
            if configurations is None or members is None:
                return
            if members.position.epoch != configurations.position.epoch:
                error = EOFError("the store was restored between the two reads")
            elif self._operator_prefix and configurations.truncated:
                error = EOFError(
                    f"more than one page of keys with {self._operator_prefix!r}"
                )
        for call in self._calls:
            call.close()
        if error is not None:
            self._failed = True
            self._on_error(error)
            return
        key = self._configuration_key
        self._state = BootstrapState(
            next((i for i in configurations.items if i.key == key), None),
            configurations.position,
            members.items,
            self._read_at,
            has_all_members=not members.truncated,
            other_keys=tuple([i.key for i in configurations.items])
            if self._operator_prefix
            else (),
        )


class _PageCall:
    """A call that lists the items with a prefix.

    :param on_end: called with None when the page has been read, or with the error.
    """

    def __init__(
        self,
        poller: Poller,
        store: Address,
        prefix: str,
        on_end: Callable[[Exception | None], None],
    ) -> None:
        self.page: StorePage | None = None
        self._poller = poller
        self._store = store
        self._prefix = prefix
        self._on_end = on_end
        self._socket: socket.socket | None = None
        self._received = b""
        # Parses what the plain parser doesn't.
        self._parser: ResponseParser | None = None

    def start(self) -> None:
        """Open the connection, and send the request as soon as it is open."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        result = self._socket.connect_ex((self._store.ip, self._store.port))
        if result not in (0, errno.EINPROGRESS):
            self._end(OSError(result, "can't connect"))
            return
        self._poller.add_writer(self._socket.fileno(), self._send)

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._poller.remove(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _end(self, error: Exception | None) -> None:
        self.close()
        self._on_end(error)

    def _send(self) -> None:
        target = f"{RANGE_PATH}?prefix={self._prefix}"
        fd = self._socket.fileno()
        self._poller.remove(fd)
        try:
            # The request is shorter than the send buffer of a new connection.
            self._socket.sendall(encode_request(self._store, "GET", target, b""))
        except OSError as error:
            self._end(error)
            return
        self._poller.add_reader(fd, self._receive)

    def _receive(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
            if not data:
                raise EOFError("connection closed before the end of the response")
            response = self._parse(data)
            if response is None:
                return
            page = decode_page(response)
            if not all(item.key.startswith(self._prefix) for item in page.items):
                raise EOFError("the store answered with the items of another request")
        except Exception as error:
            # Errors of the complete parser can't be named, as it may not be imported.
            self._end(error)
            return
        self.page = page
        self._end(None)

    def _parse(self, data: bytes) -> HttpResponse | None:
        """Return the response, None if it is still incomplete."""
        if self._parser is None:
            self._received += data
            try:
                message = parse_plain(self._received, MAX_BODY_BYTES, is_request=False)
                if message is None:
                    return None
                status = int(message.start[1])
                return HttpResponse(status, message.body, message.headers)
            except (NotPlainError, ValueError):
                data = self._received
                self._parser = ResponseParser(MAX_BODY_BYTES)
        self._parser.feed(data)
        return self._parser.response if self._parser.complete else None
