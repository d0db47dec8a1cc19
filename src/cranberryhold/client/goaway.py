"""HTTP/3 connections that keep the stream id of a GOAWAY frame."""

from contextlib import suppress

from aioquic.buffer import Buffer, BufferReadError
from aioquic.h3.connection import FrameType, H3Connection, StreamType
from aioquic.h3.events import H3Event
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import QuicEvent, StreamDataReceived


class _ControlStreamReader:
    """Reads the lowest GOAWAY id from a unidirectional stream of the server.

    Frames of other types are skipped without being buffered.
    """

    def __init__(self) -> None:
        self.goaway_id: int | None = None
        self._is_control: bool | None = None
        self._buffer = b""
        self._skip_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the stream; a frame may span several calls."""
        if self._is_control is False:
            return
        self._buffer += data
        with suppress(BufferReadError):
            while self._buffer:
                self._parse_next()

    def _parse_next(self) -> None:
        """Parse the stream type or one frame.

        :raises BufferReadError: if the buffer doesn't hold all of it yet.
        """
        if self._skip_bytes:
            skipped = min(self._skip_bytes, len(self._buffer))
            self._skip_bytes -= skipped
            self._buffer = self._buffer[skipped:]
            return
        buffer = Buffer(data=self._buffer)
        type_value = buffer.pull_uint_var()
        if self._is_control is None:
            self._is_control = type_value == StreamType.CONTROL
            self._buffer = self._buffer[buffer.tell() :] if self._is_control else b""
            return
        length = buffer.pull_uint_var()
        if type_value == FrameType.GOAWAY and length:
            start = buffer.tell()
            stream_id = buffer.pull_uint_var()
            # A later GOAWAY must not raise the id (RFC 9114, section 5.2).
            known = stream_id if self.goaway_id is None else self.goaway_id
            self.goaway_id = min(stream_id, known)
            length -= buffer.tell() - start
        self._buffer = self._buffer[buffer.tell() :]
        self._skip_bytes = max(0, length)


class GoawayH3Connection(H3Connection):
    """An HTTP/3 connection that keeps the GOAWAY stream id, which aioquic ignores."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self._readers: dict[int, _ControlStreamReader] = {}

    @property
    def goaway_id(self) -> int | None:
        """Lowest stream id that the server will not process; None before GOAWAY."""
        ids = (reader.goaway_id for reader in self._readers.values())
        return next((value for value in ids if value is not None), None)

    def handle_event(self, event: QuicEvent) -> list[H3Event]:
        """Handle a QUIC event and return the resulting HTTP/3 events."""
        if isinstance(event, StreamDataReceived) and event.stream_id % 4 == 3:
            reader = self._readers.setdefault(event.stream_id, _ControlStreamReader())
            reader.feed(event.data)
        return super().handle_event(event)
