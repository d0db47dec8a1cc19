"""Connection ids that name their target.

An id has 20 bytes: key id (1), one AES-128 block (16), truncated tag (3). The
block holds the target's IPv4 number (4) and port (2), the service id (4), the
incarnation (4) and a serial number (2). An entry instance routes a packet by its
id alone, with no state per flow.
"""

import struct
from collections.abc import Callable
from dataclasses import dataclass

from cryptography.hazmat.primitives.ciphers import Cipher
from cryptography.hazmat.primitives.ciphers.algorithms import AES
from cryptography.hazmat.primitives.ciphers.modes import ECB

from cranberryhold.addresses import Address
from cranberryhold.keys import KeyRing

CONNECTION_ID_BYTES = 20
_BLOCK = struct.Struct("!6sIIH")
_ROUTE = struct.Struct("!6sI6x")
_TAG_BYTES = 3


@dataclass(frozen=True, slots=True)
class TargetRef:
    """The target that a connection id names.

    :param address: address to which entry instances forward packets.
    :param service_id: 32-bit id of the service, see ``manifest.service_id``.
    :param incarnation: start time of the target, units of 10 ms, modulo 2^32.
    """

    address: Address
    service_id: int
    incarnation: int


_Transform = Callable[[bytes], bytes]


@dataclass(frozen=True, slots=True)
class _Contexts:
    encrypt: _Transform
    decrypt: _Transform
    tag: _Transform


class ConnectionIdCodec:
    """Encodes and decodes connection ids with the keys of a ring."""

    def __init__(self, keys: KeyRing) -> None:
        self._issuing_id = keys.issuing_id
        self._contexts = {key_id: _contexts(keys, key_id) for key_id in keys.key_ids}

    def encode(self, target: TargetRef, serial: int) -> bytes:
        """Return the id of 20 bytes for a target.

        :param serial: makes ids of one target distinct; used modulo 65,536.
        """
        contexts = self._contexts[self._issuing_id]
        block = contexts.encrypt(
            _BLOCK.pack(
                target.address.pack(),
                target.service_id,
                target.incarnation,
                serial & 0xFFFF,
            )
        )
        tag = contexts.tag(block)[:_TAG_BYTES]
        return bytes((self._issuing_id,)) + block + tag

    def decode(self, connection_id: bytes) -> TargetRef | None:
        """Return the target that an id names, or None for an id not issued here."""
        block = self._open(connection_id)
        if block is None:
            return None
        address, service, incarnation, _ = _BLOCK.unpack(block)
        return TargetRef(Address.unpack(address), service, incarnation)

    def decode_route(self, connection_id: bytes) -> tuple[bytes, int] | None:
        """Return packed address (6 bytes) and service id only, or None.

        It serves the path of each packet, where building a target costs as much as
        the decryption.
        """
        block = self._open(connection_id)
        return None if block is None else _ROUTE.unpack(block)

    def _open(self, connection_id: bytes) -> bytes | None:
        if len(connection_id) != CONNECTION_ID_BYTES:
            return None
        contexts = self._contexts.get(connection_id[0])
        if contexts is None:
            return None
        block = connection_id[1:17]
        if contexts.tag(block)[:_TAG_BYTES] != connection_id[17:]:
            return None
        return contexts.decrypt(block)


def _contexts(keys: KeyRing, key_id: int) -> _Contexts:
    # ECB on single blocks is a keyed permutation; contexts are kept because
    # building one costs far more than a block.
    block = Cipher(AES(keys.derive(b"connection id", key_id)), ECB())
    tag = Cipher(AES(keys.derive(b"connection id tag", key_id)), ECB())
    return _Contexts(
        block.encryptor().update, block.decryptor().update, tag.encryptor().update
    )
