"""The packets of the platform, as clients and targets write them."""

import struct
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa
from zlib import crc32

_HEAD = struct.Struct("!4sHH4sIHIBBII")
SYN, ACK, FIN, RST, BOUNCED = 32, 2, 8, 64, 1
_KEY = b"known to clients and targets only"


@dataclass(frozen=True)
class Packet:
    """A packet; field names are those of the platform's page."""

    dst: str
    dport: int
    src: str
    sport: int
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    sum: int = 0

    def encode(self) -> bytes:
        """Return the datagram, with the sum over all but echo, pad and BOUNCED."""
        flags = self.flags & ~BOUNCED
        return self._pack(self.flags, crc32(_KEY + self._pack(flags, 0)) or 1)

    def is_sound(self) -> bool:
        """Whether the packet is as one of the two ends wrote it."""
        flags = self.flags & ~BOUNCED
        return self.sum == (crc32(_KEY + self._pack(flags, 0)) or 1)

    def _pack(self, flags: int, checksum: int) -> bytes:
        return (
            _HEAD.pack(
                inet_aton(self.dst),
                self.dport,
                self.sport,
                inet_aton(self.src),
                0,
                len(self.data),
                checksum,
                flags,
                0,
                self.seq % 2**32,
                self.ack % 2**32,
            )
            + self.data
        )


def decode(datagram: bytes) -> Packet:
    """Decode a datagram."""
    dst, dport, sport, src, _, length, checksum, flags, _, seq, ack = _HEAD.unpack_from(
        datagram
    )
    data = datagram[_HEAD.size : _HEAD.size + length]
    return Packet(
        inet_ntoa(dst),
        dport,
        inet_ntoa(src),
        sport,
        flags,
        seq,
        ack,
        data,
        checksum,
    )


def bounced(datagram: bytes) -> bytes:
    """Return a packet as a target returns it: BOUNCED set, pad 0, echo as it was."""
    changed = bytearray(datagram)
    changed[22] |= BOUNCED
    changed[23] = 0
    return bytes(changed)
