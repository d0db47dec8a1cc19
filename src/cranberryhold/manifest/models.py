"""The manifest: the services and how their traffic is handled."""

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator
from pydantic_core import PydanticCustomError

from cranberryhold.addresses import Address
from cranberryhold.exceptions import AddressError

MANIFEST_KEY = "cranberryhold/manifest"
"""Key of the accepted manifest in the platform's key-value store."""

KeyPath = tuple[str | int, ...]
"""Keys and list positions that lead to an entry of a manifest."""

_NAME = r"^[a-z][a-z0-9-]{0,62}$"


def _check_address(text: str) -> str:
    try:
        address = Address.parse(text)
    except AddressError as error:
        raise ValueError(error.message) from error
    if address.port == 0:
        raise ValueError(f"{text!r} has port 0: write a port from 1 to 65535")
    return str(address)


def normalize_address(text: object) -> str | None:
    """Return the form in which addresses are compared, or None if it is invalid."""
    try:
        return _check_address(text) if isinstance(text, str) else None
    except ValueError:
        return None


AddressText = Annotated[str, AfterValidator(_check_address)]


class _Model(BaseModel):
    # JSON has no infinity: it would be stored as null, which no process could parse.
    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class ClassKind(StrEnum):
    """How requests of a class occupy the slots of a target."""

    SHORT = "short"
    LONG = "long"
    FEED = "feed"
    """Stays open for hours and occupies no slot."""


class RequestClass(_Model):
    """A class of requests; the first class that matches a request applies."""

    name: str = Field(pattern=_NAME)
    kind: ClassKind = ClassKind.SHORT
    methods: tuple[str, ...] = Field(
        default=(), description="HTTP methods; empty matches all."
    )
    path_prefix: str = Field(default="/", pattern=r"^/")
    deadline_s: float = Field(
        default=10.0, gt=0, description="Seconds; a caller may set a shorter one."
    )
    at_most_once: bool = Field(
        default=False, description="Requests require an idempotency key."
    )
    queue_limit: int = Field(
        default=256, ge=0, description="Requests that may be queued at one target."
    )
    max_body_bytes: int = Field(default=16 * 1024 * 1024, gt=0)

    def matches(self, method: str, path: str) -> bool:
        """Whether a request belongs to this class."""
        return (not self.methods or method in self.methods) and path.startswith(
            self.path_prefix
        )


class RetryPolicy(_Model):
    """Limits on retries of requests that are safe to retry."""

    attempts: int = Field(
        default=3, ge=1, description="Attempts in total, including the first."
    )
    budget_percent: float = Field(
        default=10.0, ge=0, le=100, description="Retries per 100 requests."
    )
    backoff_ms: float = Field(
        default=50.0, gt=0, description="Milliseconds before the first retry."
    )


class DrainPolicy(_Model):
    """How a target is drained before it shuts down."""

    limit_s: float = Field(
        default=8 * 3600.0,
        gt=0,
        description="Seconds after which requests still running are aborted.",
    )
    grace_s: float = Field(
        default=3.0,
        ge=0,
        description="Seconds during which new requests are passed on to other targets.",
    )


class Service(_Model):
    """One service: its addresses and how its traffic is handled."""

    name: str = Field(pattern=_NAME)
    addresses: tuple[AddressText, ...] = Field(min_length=1, description="IPv4:port.")
    slots_per_target: int = Field(default=4, ge=1)
    connections_per_target: int = Field(default=2000, ge=1)
    slow_start_s: float = Field(default=30.0, ge=0)
    classes: tuple[RequestClass, ...] = Field(
        default=(RequestClass(name="default"),), min_length=1
    )
    retry: RetryPolicy = RetryPolicy()
    drain: DrainPolicy = DrainPolicy()

    @model_validator(mode="after")
    def _check_unique(self) -> "Service":
        _reject_repeated(
            "class name", ((("classes", i), c.name) for i, c in enumerate(self.classes))
        )
        return self

    @property
    def service_id(self) -> int:
        """32-bit id that connection ids carry."""
        return service_id(self.name)

    @property
    def endpoints(self) -> tuple[Address, ...]:
        """Addresses of the service, parsed."""
        return tuple(Address.parse(text) for text in self.addresses)

    def find_class(self, method: str, path: str) -> RequestClass | None:
        """Return the first class that matches a request, or None."""
        return next((c for c in self.classes if c.matches(method, path)), None)


class Manifest(_Model):
    """Declaration of all services."""

    version: int = Field(default=1, ge=1, le=1)
    services: tuple[Service, ...] = ()

    @model_validator(mode="after")
    def _check_unique(self) -> "Manifest":
        services = list(enumerate(self.services))
        _reject_repeated(
            "service name", ((("services", i, "name"), s.name) for i, s in services)
        )
        _reject_repeated(
            "service id", ((("services", i, "name"), s.service_id) for i, s in services)
        )
        _reject_repeated(
            "address",
            (
                (("services", i, "addresses", j), address)
                for i, s in services
                for j, address in enumerate(s.addresses)
            ),
        )
        return self

    def service(self, name: str) -> Service | None:
        """Return the service with this name, or None."""
        return next((s for s in self.services if s.name == name), None)


class ReleasedAddress(_Model):
    """An address that was removed from a service.

    Open flows are still served on it, so that they survive the change.
    """

    address: str
    service: str
    released_at: float = Field(description="Seconds since the Unix epoch.")
    kept_s: float = Field(
        default=60.0,
        description="Seconds for which open flows are still served on the address and "
        "it can't be assigned to another service.",
    )


class Submission(_Model):
    """Record of an accepted submission, by which a repeated one is recognised."""

    submission_id: str
    generation: int = Field(ge=1)
    digest: str = Field(description="First 16 hex digits of the manifest's SHA-256.")


class AcceptedManifest(_Model):
    """The document in the store: a manifest with its generation.

    Each accepted change increments the generation; processes adopt only a higher
    one.
    """

    generation: int = Field(ge=1)
    submission_id: str
    manifest: Manifest
    released: tuple[ReleasedAddress, ...] = ()
    submissions: tuple[Submission, ...] = Field(
        default=(), description="Recent submissions, oldest first."
    )

    def submission(self, submission_id: str) -> Submission | None:
        """Return the record of a recent submission, or None."""
        return next(
            (s for s in self.submissions if s.submission_id == submission_id), None
        )


@dataclass(frozen=True, slots=True)
class ServiceDigest:
    """Short digest of one service's declaration, to send only changed services."""

    name: str
    digest: bytes = field(repr=False)


def service_id(name: str) -> int:
    """Return the first 32 bits of the SHA-256 hash of a service's name."""
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:4], "big")


def service_digest(service: Service) -> ServiceDigest:
    """Return the digest (8 bytes) of a service's declaration."""
    data = service.model_dump_json().encode()
    return ServiceDigest(service.name, hashlib.sha256(data).digest()[:8])


def manifest_digest(manifest: Manifest) -> str:
    """Return the first 16 hex digits of the SHA-256 of a manifest's content."""
    data = manifest.model_dump_json(exclude_defaults=True).encode()
    return hashlib.sha256(data).hexdigest()[:16]


def repeated_values(
    what: str, values: Iterable[tuple[KeyPath, object]]
) -> Iterator[tuple[KeyPath, str]]:
    """Yield path and error message of each value that appeared before.

    :param what: description of the values for the error message.
    :param values: each value with the path of its key.
    """
    seen: set[object] = set()
    for path, value in values:
        if value in seen:
            yield path, f"{what} {value} appears twice: each needs its own"
        seen.add(value)


def _reject_repeated(what: str, values: Iterable[tuple[KeyPath, object]]) -> None:
    for _, message in repeated_values(what, values):
        raise PydanticCustomError("repeated", "{message}", {"message": message})
