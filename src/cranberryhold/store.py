"""Interface that is required of the platform's key-value service."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """A value and its revision in the store (at least 1, higher after each write)."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that was granted.

    A holder that was paused may not have noticed that its lease has expired, so no
    decision of this package depends on holding one.

    :param name: name of the lease.
    :param lease_id: id assigned by the store.
    :param ttl_s: seconds until the lease expires unless it is renewed.
    """

    name: str
    lease_id: str
    ttl_s: float


class Store(Protocol):
    """A key-value store with compare-and-swap, leases and watches.

    All calls raise :class:`~cranberryhold.exceptions.StoreError` if the service
    can't be reached or rejects the request.
    """

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of a key, or None if there is none."""

    async def latest_index(self, key: str) -> int:
        """Return the revision of a key without its value.

        The number may be higher, if keys that start with the same name have changed
        later or the key does not exist.
        """

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> bool:
        """Write the value if the key still has this revision (0: does not exist yet).

        :return: whether the write took effect.
        :raises StoreOutcomeUnknownError: if the response was lost, so that the write
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
        """Acquire a lease, or return None if it is held by another process."""

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return False if it has expired."""

    async def release_lease(self, lease: Lease) -> None:
        """Release a lease."""
