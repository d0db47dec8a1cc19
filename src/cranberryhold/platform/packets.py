"""The platform's packet format."""

import struct

from cranberryhold.flows.segments import Segment

# dst, dport, sport, src, echo, len, sum, flags, pad, seq, ack.
HEADER = struct.Struct("!4sHH4sIHIBBII")
# ``echo`` is the sidecar's token: targets send it back unchanged in returned packets.
_TOKEN = struct.Struct("!I")
_TOKEN_AT = 12
_FLAGS_AT = 22

SYN = 32
ACK = 2
FIN = 8
RST = 64
BOUNCED = 1

MAX_DATA_BYTES = 1200


class PacketCodec:
    """Implements :class:`~cranberryhold.flows.segments.SegmentCodec`."""

    def decode(self, packet: bytes) -> Segment | None:
        """Return the packet's fields, or None if it is malformed."""
        if len(packet) < HEADER.size:
            return None
        dst, dport, sport, src, echo, length, _, flags, _, seq, ack = (
            HEADER.unpack_from(packet)
        )
        if length > MAX_DATA_BYTES or len(packet) != HEADER.size + length:
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
        """Return the packet as first sent, with the sidecar's token."""
        flags = packet[_FLAGS_AT] & ~BOUNCED
        return b"".join(
            (
                packet[:_TOKEN_AT],
                _TOKEN.pack(token),
                packet[_TOKEN_AT + _TOKEN.size : _FLAGS_AT],
                bytes((flags,)),
                packet[_FLAGS_AT + 1 :],
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
