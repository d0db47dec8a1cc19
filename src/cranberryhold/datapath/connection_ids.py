"""Connection ids that identify their target.

An id has 20 bytes: key id (1), one AES-128 block (16), truncated tag (3). The
block holds the target's IPv4 number (4) and port (2), the service id (4), the
incarnation (4) and a serial number (2). Entry instances route packets by the id
alone and keep no state per flow.
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
    """The target that a connection id identifies.

    :param address: address to which entry instances forward packets.
    :param service_id: 32-bit id of the service, see ``manifest.service_id``.
    :param incarnation: start time of the target, units of 10 ms, modulo 2^32.
    """

    address: Address
    service_id: int
    incarnation: int


_Transform = Callable[[bytes], bytes]


@dataclass(frozen=True, slots=True)
class _CipherContexts:
    encrypt: _Transform
    decrypt: _Transform
    tag: _Transform


class ConnectionIdCodec:
    """Encodes and decodes connection ids with the keys of a key ring."""

    def __init__(self, keys: KeyRing) -> None:
        self._primary_key_id = keys.primary_key_id
        self._cipher_contexts = {
            key_id: _cipher_contexts(keys, key_id) for key_id in keys.key_ids
        }

    def encode(self, target: TargetRef, serial: int) -> bytes:
        """Return the id of 20 bytes for a target.

        :param serial: makes ids of one target distinct; used modulo 65,536.
        """
        contexts = self._cipher_contexts[self._primary_key_id]
        block = contexts.encrypt(
            _BLOCK.pack(
                target.address.pack(),
                target.service_id,
                target.incarnation,
                serial & 0xFFFF,
            )
        )
        tag = contexts.tag(block)[:_TAG_BYTES]
        return bytes((self._primary_key_id,)) + block + tag

    def decode(self, connection_id: bytes) -> TargetRef | None:
        """Return the target of an id, or None if the id is not authentic."""
        block = self._decrypt_block(connection_id)
        if block is None:
            return None
        address, service, incarnation, _ = _BLOCK.unpack(block)
        return TargetRef(Address.unpack(address), service, incarnation)

    def decode_route(self, connection_id: bytes) -> tuple[bytes, int] | None:
        """Return the packed address (6 bytes) and service id of an id, or None.

        This runs for every packet. Creating a :class:`TargetRef` there would cost
        as much as the decryption.
        """
        block = self._decrypt_block(connection_id)
        return None if block is None else _ROUTE.unpack(block)

    def _decrypt_block(self, connection_id: bytes) -> bytes | None:
        if len(connection_id) != CONNECTION_ID_BYTES:
            return None
        contexts = self._cipher_contexts.get(connection_id[0])
        if contexts is None:
            return None
        block = connection_id[1:17]
        if contexts.tag(block)[:_TAG_BYTES] != connection_id[17:]:
            return None
        return contexts.decrypt(block)


def _cipher_contexts(keys: KeyRing, key_id: int) -> _CipherContexts:
    # ECB on a single block is a keyed permutation. The contexts are reused because
    # creating one costs far more than encrypting a block.
    block = Cipher(AES(keys.derive(b"connection id", key_id)), ECB())
    tag = Cipher(AES(keys.derive(b"connection id tag", key_id)), ECB())
    return _CipherContexts(
        block.encryptor().update, block.decryptor().update, tag.encryptor().update
    )
