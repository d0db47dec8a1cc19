"""Key ring of a deployment, and what is derived from it.

The ring comes from the settings: an instance is replaced rather than edited, so
no outage of the platform can keep a new instance from routing. The first key
issues, every key is accepted; a key is rotated by adding it last, then moving it
first, then removing the old one once the longest flow has ended.
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
    """Secrets by key id; the first one issues.

    >>> ring = KeyRing.parse("1:" + "00" * 32)
    >>> ring.unseal(b"gossip", ring.seal(b"gossip", b"hello"))
    b'hello'

    :param secrets: secret of 32 bytes by key id (0 to 255), the issuing one first.
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
        """Read ``id:hex,id:hex``.

        :raises KeyRingError: naming the entry that can't be read.
        """
        secrets: dict[int, bytes] = {}
        for position, entry in enumerate(text.split(","), start=1):
            number, _, digits = entry.strip().partition(":")
            try:
                key_id, secret = int(number), bytes.fromhex(digits)
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
        """Id of the key that issues."""
        return next(iter(self._secrets))

    @property
    def key_ids(self) -> tuple[int, ...]:
        """Ids of all accepted keys, the issuing one first."""
        return tuple(self._secrets)

    def to_text(self) -> str:
        """Return the ring in the form that :meth:`parse` reads. It is secret."""
        return ",".join(f"{i}:{s.hex()}" for i, s in self._secrets.items())

    def derive(self, label: bytes, key_id: int, length: int = 16) -> bytes:
        """Derive a sub-key by HKDF-SHA256.

        :param label: purpose of the sub-key; distinct purposes get distinct keys.
        :param length: length in bytes.
        :raises KeyRingError: if the ring has no key with this id.
        """
        if key_id not in self._secrets:
            raise KeyRingError(
                f"no key with id {key_id} in the ring: has it been removed too early?",
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
        """Encrypt and authenticate ``data``; adds 29 bytes.

        The result is key id (1), nonce (12), ciphertext and tag (16).
        """
        key_id = self.primary_key_id
        nonce = os.urandom(_NONCE_BYTES)
        sealed = self._cipher(label, key_id).encrypt(nonce, data, None)
        return bytes((key_id,)) + nonce + sealed

    def unseal(self, label: bytes, sealed: bytes) -> bytes:
        """Open what :meth:`seal` made with the same label.

        :raises SealError: if it is truncated, forged, or its key is unknown.
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
