"""IPv4 address and port of an endpoint."""

import _socket as socket
import struct

from cranberryhold.exceptions import AddressError
from cranberryhold.structs import Struct

_PORT = struct.Struct("!H")

PACKED_ADDRESS_BYTES = 6
# First octets of the addresses that a host can have; 224 and above are multicast and
# reserved addresses.
FIRST_HOST_OCTET, LAST_HOST_OCTET = 1, 223


def pack_host(text: str) -> bytes:
    """Encode the IPv4 address of a host, in dotted-decimal notation, in 4 bytes.

    >>> pack_host("10.0.0.1").hex()
    '0a000001'

    :raises AddressError: if the text has another format or is no address of a host,
        such as a multicast address.
    """
    try:
        packed = socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        packed = b"\0"
    if not FIRST_HOST_OCTET <= packed[0] <= LAST_HOST_OCTET:
        raise AddressError(
            f"{text!r} is not the IPv4 address of a host, such as 10.0.0.1",
            step="parse address",
        )
    return packed


class Address(Struct, frozen=True):
    """An IPv4 address and a port.

    >>> Address.parse("127.0.0.1:4433").pack().hex()
    '7f0000011151'

    :param ip: IPv4 address in dotted-decimal notation.
    :param port: 0 to 65535.
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``IPv4:port``.

        :raises AddressError: if the text has another format.
        """
        ip, separator, port = text.rpartition(":")
        try:
            socket.inet_pton(socket.AF_INET, ip)
            number = int(port)
        except (OSError, ValueError):
            number = -1
        if not separator or not 0 <= number <= 65535:
            raise AddressError(
                f"{text!r} is not an address: write an IPv4 address and a port, "
                "such as 127.0.0.1:4433",
                step="parse address",
            )
        return cls(ip, number)

    @classmethod
    def unpack(cls, data: bytes) -> "Address":
        """Decode the 6 bytes that :meth:`pack` returns."""
        return cls(socket.inet_ntoa(data[:4]), int.from_bytes(data[4:6], "big"))

    def pack(self) -> bytes:
        """Return the IPv4 address (4 bytes) and the port (2), in network byte order."""
        return socket.inet_aton(self.ip) + _PORT.pack(self.port)

    def __hash__(self) -> int:
        return hash((self.ip, self.port))

    def __lt__(self, other: "Address") -> bool:
        return (self.ip, self.port) < (other.ip, other.port)

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"
