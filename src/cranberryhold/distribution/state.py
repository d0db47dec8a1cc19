"""The manifest in force at a process."""

from loguru import logger
from pydantic import ValidationError
from reactivex import Observable
from reactivex.subject import ReplaySubject

from cranberryhold.clock import Clock
from cranberryhold.exceptions import ManifestError
from cranberryhold.manifest.deltas import manifest_digest, service_digests
from cranberryhold.manifest.models import AcceptedManifest


class ManifestState:
    """The generation in force at this process; it never decreases.

    >>> state = ManifestState(clock)    # doctest: +SKIP
    >>> state.accepted.subscribe(print)    # doctest: +SKIP
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: AcceptedManifest | None = None
        self._digest = b""
        self._service_digests: dict[str, bytes] = {}
        self._accepted: ReplaySubject[AcceptedManifest] = ReplaySubject(1)
        self._store_contact_at: float | None = None
        self.store_is_behind = False
        self.alarms = 0
        self.refused = 0

    @property
    def current(self) -> AcceptedManifest | None:
        """The manifest in force, or None."""
        return self._current

    @property
    def accepted(self) -> Observable[AcceptedManifest]:
        """Stream of adopted manifests; starts with the one in force."""
        return self._accepted

    @property
    def generation(self) -> int:
        """Generation in force, 0 for none."""
        return self._current.generation if self._current else 0

    @property
    def digest(self) -> bytes:
        """Digest of the manifest in force, empty for none."""
        return self._digest

    @property
    def service_digests(self) -> dict[str, bytes]:
        """Digest of each service in force."""
        return self._service_digests

    @property
    def store_age_s(self) -> float | None:
        """Seconds since the store was last known to answer, or None."""
        if self._store_contact_at is None:
            return None
        return self._clock.monotonic() - self._store_contact_at

    def adopt(self, accepted: AcceptedManifest) -> bool:
        """Put a manifest in force if its generation is higher than the present one.

        :raises ManifestError: if it is not valid.
        """
        if accepted.generation <= self.generation:
            return False
        try:
            accepted = AcceptedManifest.model_validate(accepted.model_dump())
        except ValidationError as error:
            self.refused += 1
            raise ManifestError(
                f"generation {accepted.generation} is not valid: {error}",
                step="adopt manifest",
            ) from error
        self._current = accepted
        self._digest = manifest_digest(accepted)
        self._service_digests = service_digests(accepted)
        logger.info(
            "event=manifest-adopted generation={} submission={}",
            accepted.generation,
            accepted.submission_id,
        )
        self._accepted.on_next(accepted)
        return True

    def adopt_from_store(self, accepted: AcceptedManifest) -> bool:
        """Adopt the manifest of the store; raise an alarm if the store has gone back.

        The store has gone back if its generation is lower than the one in force, or
        equal with another content. The manifest in force then stays.
        """
        behind = accepted.generation < self.generation or (
            accepted.generation == self.generation
            and manifest_digest(accepted) != self._digest
        )
        self.store_is_behind = behind
        if not behind:
            return self.adopt(accepted)
        self.alarms += 1
        logger.error(
            "event=store-went-back store_generation={} generation={} remedy={!r}",
            accepted.generation,
            self.generation,
            "restore the store's value, or apply until its generation is higher",
        )
        return False

    def record_store_contact(self, age_s: float = 0.0) -> None:
        """Record that the store answered this many seconds ago."""
        at = self._clock.monotonic() - age_s
        if self._store_contact_at is None or at > self._store_contact_at:
            self._store_contact_at = at

    def state(self) -> dict[str, object]:
        """Return the state for the dump."""
        age = self.store_age_s
        return {
            "generation": self.generation,
            "digest": self._digest.hex(),
            "services": sorted(self._service_digests),
            "store_age_s": None if age is None else round(age, 1),
            "store_is_behind": self.store_is_behind,
            "store_alarms": self.alarms,
            "refused": self.refused,
        }
