"""Submission of a manifest by one compare-and-swap on the platform's store."""

from dataclasses import dataclass

from expression import Error, Ok, Result
from pydantic import ValidationError

from cranberryhold.clock import Clock, SystemClock
from cranberryhold.exceptions import (
    ConflictError,
    CranberryholdError,
    ManifestError,
    StoreError,
    StoreOutcomeUnknownError,
)
from cranberryhold.manifest.models import (
    MANIFEST_KEY,
    AcceptedManifest,
    Manifest,
    ReleasedAddress,
    Service,
    Submission,
    manifest_digest,
)
from cranberryhold.store import Store

# The store refuses values above 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000
# The shortest time for which other services can't use a released address: twenty times
# the 3 s within which a manifest is in force everywhere, so that no entry instance
# still sends the address's packets to the previous service.
ADDRESS_QUARANTINE_S = 60.0
# With 1,200 changes a day this covers the submissions of 10 hours, in 52 KB.
REMEMBERED_SUBMISSIONS = 512
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class _Stored:
    document: AcceptedManifest | None
    revision: int

    @property
    def generation(self) -> int:
        return self.document.generation if self.document else 0


async def read_accepted_manifest(store: Store) -> AcceptedManifest | None:
    """Return the manifest in the store, or None if none was accepted yet.

    :raises StoreError: if the store can't be reached.
    :raises ManifestError: if the stored document can't be read.
    """
    return (await _read_stored(store)).document


async def apply_manifest(
    store: Store,
    manifest: Manifest,
    submission_id: str,
    now: float,
    *,
    expected_generation: int | None = None,
    above_generation: int = 0,
    clock: Clock | None = None,
) -> Result[AcceptedManifest, CranberryholdError]:
    """Store a manifest as the next generation, or change nothing.

    Of two concurrent runs exactly one succeeds; the other gets a
    :class:`ConflictError` that names the generation of the first. A repeated
    submission changes nothing and returns the result of its first run. After a lost
    answer, the outcome is determined by reading the submission id back.

    :param submission_id: unique name of this submission; a repeat uses the same.
    :param now: seconds since the Unix epoch.
    :param expected_generation: refuse unless the store holds this generation.
    :param above_generation: assign a generation above this one, for a store that was
        restored from a snapshot older than the generation that the fleet has.
    """
    submitter = _Submitter(store, manifest, submission_id, clock or SystemClock())
    try:
        return Ok(await submitter.submit(now, expected_generation, above_generation))
    except CranberryholdError as error:
        return Error(error)


class _Submitter:
    """Runs one submission, with its attempts."""

    def __init__(
        self, store: Store, manifest: Manifest, submission_id: str, clock: Clock
    ) -> None:
        self._store = store
        self._manifest = manifest
        self._id = submission_id
        self._clock = clock
        self._digest = manifest_digest(manifest)

    async def submit(
        self, now: float, expected_generation: int | None, above_generation: int
    ) -> AcceptedManifest:
        """Read the stored document, check the submission and swap the document."""
        stored = await _read_stored(self._store)
        earlier = self._earlier_result(stored)
        if earlier:
            return earlier
        if expected_generation not in (None, stored.generation):
            raise _conflict_error(stored, f"expected generation {expected_generation}")
        proposal = self._build_document(stored, now, above_generation)
        return await self._swap(stored, proposal)

    def _earlier_result(self, stored: _Stored) -> AcceptedManifest | None:
        """Return the result of an earlier run of this submission, if any."""
        document = stored.document
        record = document.submission(self._id) if document else None
        if document is None or record is None:
            return None
        if record.digest != self._digest:
            raise ConflictError(
                f"submission id {self._id} was used for another manifest, accepted "
                f"as generation {record.generation}: choose a new submission id",
                step="check submission",
            )
        if record.generation == document.generation:
            return document
        return AcceptedManifest(
            generation=record.generation,
            submission_id=self._id,
            manifest=self._manifest,
        )

    def _build_document(
        self, stored: _Stored, now: float, above_generation: int
    ) -> AcceptedManifest:
        return _next_document(
            stored.document,
            self._manifest,
            Submission(
                submission_id=self._id,
                generation=max(stored.generation, above_generation) + 1,
                digest=self._digest,
            ),
            released_addresses(stored.document, self._manifest, now),
        )

    async def _swap(
        self, stored: _Stored, proposal: AcceptedManifest
    ) -> AcceptedManifest:
        """Swap until the outcome is known.

        All attempts are conditional on the same revision and write the same
        document, so that at most one of them takes effect.
        """
        value = _encode(proposal)
        unknown: StoreError | None = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._clock.sleep(RETRY_DELAY_S * attempt)
            try:
                if await self._store.compare_and_swap(
                    MANIFEST_KEY, value, stored.revision
                ):
                    return proposal
            except StoreOutcomeUnknownError as error:
                unknown = error
            except StoreError:
                # An earlier swap whose answer was lost may still take effect.
                if unknown is None:
                    raise
            current = await self._read_back()
            if current.revision != stored.revision:
                earlier = self._earlier_result(current)
                if earlier:
                    return earlier
                raise _conflict_error(current, f"read generation {stored.generation}")
        raise self._outcome_unknown_error(unknown)

    async def _read_back(self) -> _Stored:
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._clock.sleep(RETRY_DELAY_S * attempt)
            try:
                return await _read_stored(self._store)
            except StoreError as error:
                failure = error
        raise self._outcome_unknown_error(failure)

    def _outcome_unknown_error(
        self, cause: StoreError | None
    ) -> StoreOutcomeUnknownError:
        return StoreOutcomeUnknownError(
            f"it is not known whether submission {self._id} was accepted: repeat it "
            "with the same submission id once the store can be reached",
            step="submit manifest",
            peer=cause.peer if cause else "",
        )


def released_addresses(
    before: AcceptedManifest | None, manifest: Manifest, now: float
) -> tuple[ReleasedAddress, ...]:
    """Return the addresses that other services can't use after a change.

    :param now: seconds since the Unix epoch.
    :raises ManifestError: if the change gives an address to another service before
        the drain limit of the flows that use it has passed.
    """
    released, errors = _release_addresses(before, manifest, now)
    for error in errors:
        raise error
    return released


def submission_errors(
    before: AcceptedManifest | None, manifest: Manifest, now: float
) -> list[ManifestError]:
    """Return the errors for which a submission of a manifest would be refused.

    :param before: the manifest in force, or None if there is none or it is not known.
    :param now: seconds since the Unix epoch.
    """
    released, errors = _release_addresses(before, manifest, now)
    generation = before.generation + 1 if before else 1
    # A random id, which the commands use if none is given, has 36 characters.
    record = Submission(
        submission_id="-" * 36, generation=generation, digest=manifest_digest(manifest)
    )
    try:
        _encode(_next_document(before, manifest, record, released))
    except ManifestError as error:
        errors.append(error)
    return errors


def _next_document(
    before: AcceptedManifest | None,
    manifest: Manifest,
    record: Submission,
    released: tuple[ReleasedAddress, ...],
) -> AcceptedManifest:
    earlier = before.submissions if before else ()
    return AcceptedManifest(
        generation=record.generation,
        submission_id=record.submission_id,
        manifest=manifest,
        released=released,
        submissions=(*earlier, record)[-REMEMBERED_SUBMISSIONS:],
    )


def _release_addresses(
    before: AcceptedManifest | None, manifest: Manifest, now: float
) -> tuple[tuple[ReleasedAddress, ...], list[ManifestError]]:
    """Return the released addresses after a change, and what forbids the change."""
    if before is None:
        return (), []
    errors: list[ManifestError] = []
    owners = _owners(before.manifest)
    reserved = {r.address: r for r in before.released if now - r.released_at < r.kept_s}
    for address, service in owners.items():
        reserved[address] = ReleasedAddress(
            address=address,
            service=service.name,
            released_at=now,
            kept_s=max(ADDRESS_QUARANTINE_S, service.drain.limit_s),
        )
    new_owners = _owners(manifest)
    for address, service in new_owners.items():
        record = reserved.pop(address, None)
        if record and record.service != service.name:
            is_released = address not in owners
            errors.append(
                _address_move_error(record, service.name, now, released=is_released)
            )
    return tuple(reserved.values()), errors


def _address_move_error(
    record: ReleasedAddress, service: str, now: float, released: bool
) -> ManifestError:
    if released:
        wait_s = record.kept_s - (now - record.released_at)
        remedy = f"try again in {wait_s:.0f} s"
    else:
        remedy = (
            f"apply a manifest without it first, wait {record.kept_s:.0f} s, then "
            f"give it to {service}"
        )
    return ManifestError(
        f"address {record.address} belongs to service {record.service} and can't move "
        f"to {service} until {record.kept_s:.0f} s after its release, since open "
        f"flows may use it for as long as the service's drain.limit_s: {remedy}",
        key=record.address,
        step="check addresses",
    )


def _owners(manifest: Manifest) -> dict[str, Service]:
    return {a: s for s in manifest.services for a in s.addresses}


def _encode(document: AcceptedManifest) -> bytes:
    # Defaults are left out, so that processes of an earlier version can read the
    # document as long as it uses no key that is new to them.
    value = document.model_dump_json(exclude_defaults=True).encode()
    if len(value) > MAX_DOCUMENT_BYTES:
        raise ManifestError(
            f"the manifest takes {len(value)} bytes in the store, which holds at most "
            f"{MAX_DOCUMENT_BYTES}: remove services or classes",
            step="encode manifest",
        )
    return value


async def _read_stored(store: Store) -> _Stored:
    versioned = await store.get(MANIFEST_KEY)
    if versioned is None:
        return _Stored(None, 0)
    try:
        document = AcceptedManifest.model_validate_json(versioned.value)
    except ValidationError as error:
        raise ManifestError(
            f"the store's key {MANIFEST_KEY} holds no readable manifest, so nothing "
            f"was changed: {error.errors()[0]['msg']}",
            step="read store",
        ) from error
    return _Stored(document, versioned.revision)


def _conflict_error(stored: _Stored, expectation: str) -> ConflictError:
    winner = stored.document.submission_id if stored.document else "nobody"
    return ConflictError(
        f"generation {stored.generation} (submission {winner}) came first, this run "
        f"{expectation}: look at it with 'manifest show', then submit again",
        step="submit manifest",
    )
