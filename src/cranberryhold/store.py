"""What the system needs of the platform's key-value service."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """A value and the store's revision of it (1 or more, grows with each write)."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that was granted.

    A holder that was paused may still believe in a lease that has lapsed, so no
    decision of this package depends on one.

    :param name: name of the lease.
    :param lease_id: id given by the store.
    :param ttl_s: seconds until it lapses without renewal.
    """

    name: str
    lease_id: str
    ttl_s: float


class Store(Protocol):
    """Compare-and-swap, lease and watch.

    All calls raise :class:`~cranberryhold.exceptions.StoreError` when the service
    can't be reached or refuses.
    """

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of a key, or None if there is none."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> bool:
        """Write if the key still has this revision (0: does not exist yet).

        :return: whether the write took effect.
        :raises StoreOutcomeUnknownError: if the answer was lost, so that the write
            may have taken effect.
        """

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> VersionedValue | None:
        """Wait until the key's revision differs from ``after_revision``.

        :return: the value, or None if nothing changed within ``timeout_s`` seconds
            or the key does not exist.
        """

    async def acquire_lease(self, name: str, ttl_s: float) -> Lease | None:
        """Take a lease, or return None if another holds it."""

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; False if it has lapsed."""

    async def release_lease(self, lease: Lease) -> None:
        """Give a lease back."""
