"""Key ring of a deployment, key derivation and authenticated encryption.

The ring is part of the settings, which change only when an instance is replaced, so
that no outage of the platform can keep a new instance from routing. The first key
is the primary one, which new ids and messages are encrypted with; every key is
accepted. To rotate a key, add the new one last, then move it first, then remove the
old one once the longest flow has ended.
"""

import os
from functools import cached_property, lru_cache

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from cranberryhold.exceptions import KeyRingError, SealError

SECRET_BYTES = 32
_NONCE_BYTES = 12


class KeyRing:
    """Secrets by key id; the first key is the primary one.

    >>> ring = KeyRing.parse("1:" + "00" * 32)
    >>> ring.unseal(b"gossip", ring.seal(b"gossip", b"hello"))
    b'hello'

    :param secrets: secret of 32 bytes by key id (0 to 255), the primary key first.
    :raises KeyRingError: if the ring is empty or a secret has another length.
    """

    def __init__(self, secrets: dict[int, bytes]) -> None:
        if not secrets or any(len(s) != SECRET_BYTES for s in secrets.values()):
            raise KeyRingError(
                "a key ring needs at least one key of 32 bytes: "
                'set CRANBERRYHOLD_KEYS="1:<64 hex digits>"',
                step="load key ring",
            )
        self._secrets = dict(secrets)

    @classmethod
    def parse(cls, text: str) -> "KeyRing":
        """Parse ``id:hex,id:hex``.

        :raises KeyRingError: naming the malformed entry.
        """
        secrets: dict[int, bytes] = {}
        for position, entry in enumerate(text.split(","), start=1):
            id_text, _, digits = entry.strip().partition(":")
            try:
                key_id, secret = int(id_text), bytes.fromhex(digits)
            except ValueError:
                key_id, secret = -1, b""
            if not 0 <= key_id <= 255 or len(secret) != SECRET_BYTES:
                raise KeyRingError(
                    f"entry {position} of the key ring is malformed: write "
                    "id:secret, the id 0 to 255 and the secret as 64 hex digits",
                    step="load key ring",
                )
            if key_id in secrets:
                raise KeyRingError(
                    f"key id {key_id} appears twice: give each key its own id",
                    step="load key ring",
                )
            secrets[key_id] = secret
        return cls(secrets)

    @classmethod
    def generate(cls) -> "KeyRing":
        """Return a ring with one new random key."""
        return cls({1: os.urandom(SECRET_BYTES)})

    @property
    def primary_key_id(self) -> int:
        """Id of the primary key, which new ids and messages are encrypted with."""
        return next(iter(self._secrets))

    @property
    def key_ids(self) -> tuple[int, ...]:
        """Ids of all accepted keys, the primary one first."""
        return tuple(self._secrets)

    def to_text(self) -> str:
        """Return the ring, with its secrets, as text that :meth:`parse` accepts."""
        return ",".join(f"{i}:{s.hex()}" for i, s in self._secrets.items())

    def derive(self, label: bytes, key_id: int, length: int = 16) -> bytes:
        """Derive a sub-key by HKDF-SHA256.

        :param label: purpose of the sub-key; distinct purposes get distinct keys.
        :param length: length in bytes.
        :raises KeyRingError: if the ring has no key with this id.
        """
        if key_id not in self._secrets:
            raise KeyRingError(
                f"no key with id {key_id} in the key ring: was it removed too early?",
                step="derive key",
            )
        return _hkdf(self._secrets[key_id], label, length)

    @cached_property
    def _ciphers(self) -> dict[tuple[bytes, int], AESGCM]:
        return {}

    def _cipher(self, label: bytes, key_id: int) -> AESGCM:
        cipher = self._ciphers.get((label, key_id))
        if cipher is None:
            cipher = AESGCM(self.derive(b"seal:" + label, key_id, 16))
            self._ciphers[label, key_id] = cipher
        return cipher

    def seal(self, label: bytes, data: bytes) -> bytes:
        """Encrypt and authenticate ``data`` with AES-GCM; adds 29 bytes.

        The result is the key id (1 byte), nonce (12), ciphertext and tag (16).
        """
        key_id = self.primary_key_id
        nonce = os.urandom(_NONCE_BYTES)
        sealed = self._cipher(label, key_id).encrypt(nonce, data, None)
        return bytes((key_id,)) + nonce + sealed

    def unseal(self, label: bytes, sealed: bytes) -> bytes:
        """Decrypt and verify the result of :meth:`seal` with the same label.

        :raises SealError: if it is truncated or forged, or its key is unknown.
        """
        if len(sealed) < 1 + _NONCE_BYTES + 16 or sealed[0] not in self._secrets:
            raise SealError("truncated or sealed with an unknown key", step="unseal")
        cipher = self._cipher(label, sealed[0])
        try:
            return cipher.decrypt(sealed[1:13], sealed[13:], None)
        except InvalidTag:
            raise SealError("authentication failed", step="unseal") from None


@lru_cache(maxsize=4096)
def _hkdf(secret: bytes, label: bytes, length: int) -> bytes:
    return HKDF(SHA256(), length, salt=None, info=b"cranberryhold " + label).derive(
        secret
    )
