"""The platform's packet format."""

import struct

from cranberryhold.flows.segments import Segment

# dst, dport, sport, src, echo, len, sum, flags, pad, seq, ack.
HEADER = struct.Struct("!4sHH4sIHIBBII")
# ``echo`` carries the sidecar's token; targets leave it unchanged in the packets that
# they return.
_TOKEN = struct.Struct("!I")
_TOKEN_OFFSET = 12
_FLAGS_OFFSET = 22

SYN = 32
ACK = 2
FIN = 8
RST = 64
BOUNCED = 1

MAX_DATA_BYTES = 1200


class PacketCodec:
    """Implements :class:`~cranberryhold.flows.segments.SegmentCodec`."""

    def decode(self, packet: bytes) -> Segment | None:
        """Decode a packet; return None if it is malformed."""
        segment = self.decode_header(packet[: HEADER.size])
        if segment is None or len(packet) != HEADER.size + segment.length:
            return None
        return segment

    def header(self, packet: bytes) -> bytes:
        """Return a packet without its data."""
        return packet[: HEADER.size]

    def decode_header(self, header: bytes) -> Segment | None:
        """Decode a packet whose data has been removed."""
        if len(header) != HEADER.size:
            return None
        dst, dport, sport, src, echo, length, _, flags, _, seq, ack = HEADER.unpack(
            header
        )
        if length > MAX_DATA_BYTES:
            return None
        return Segment(
            src,
            sport,
            dst,
            dport,
            bool(flags & SYN),
            bool(flags & ACK),
            bool(flags & FIN),
            bool(flags & RST),
            bool(flags & BOUNCED),
            echo,
            seq,
            ack,
            length,
        )

    def with_token(self, packet: bytes, token: int) -> bytes:
        """Return the packet with the sidecar's token and without the returned flag."""
        flags = packet[_FLAGS_OFFSET] & ~BOUNCED
        return b"".join(
            (
                packet[:_TOKEN_OFFSET],
                _TOKEN.pack(token),
                packet[_TOKEN_OFFSET + _TOKEN.size : _FLAGS_OFFSET],
                bytes((flags,)),
                packet[_FLAGS_OFFSET + 1 :],
            )
        )

    def build_reset(self, segment: Segment) -> bytes:
        """Return a reset from the flow's service address to its caller."""
        return HEADER.pack(
            segment.source,
            segment.source_port,
            segment.destination_port,
            segment.destination,
            0,
            0,
            0,
            RST,
            0,
            segment.acknowledgment,
            0,
        )
