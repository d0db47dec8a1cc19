"""The manifest: which services exist and how their traffic is treated."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

from cranberryhold.addresses import Address

_NAME = r"^[a-z][a-z0-9-]{0,62}$"


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ClassKind(StrEnum):
    """How a class of requests uses the slots of a target."""

    SHORT = "short"
    LONG = "long"
    FEED = "feed"
    """Stays open for hours and takes no slot."""


class RequestClass(_Model):
    """A class of requests; the first class that matches a request applies."""

    name: str = Field(pattern=_NAME)
    kind: ClassKind = ClassKind.SHORT
    methods: tuple[str, ...] = Field(
        default=(), description="HTTP methods; empty matches all."
    )
    path_prefix: str = Field(default="/", pattern=r"^/")
    deadline_s: float = Field(
        default=10.0, gt=0, description="Seconds; a caller may ask for less."
    )
    at_most_once: bool = Field(
        default=False, description="Requests need an idempotency key."
    )
    queue_limit: int = Field(
        default=256, ge=0, description="Requests that may wait at one target."
    )
    max_body_bytes: int = Field(default=16 * 1024 * 1024, gt=0)

    def matches(self, method: str, path: str) -> bool:
        """Whether a request belongs to this class."""
        return (not self.methods or method in self.methods) and path.startswith(
            self.path_prefix
        )


class RetryPolicy(_Model):
    """Limits of repeated tries of requests that are safe to repeat."""

    attempts: int = Field(default=3, ge=1, description="Tries in all.")
    budget_percent: float = Field(
        default=10.0, ge=0, le=100, description="Extra tries per 100 requests."
    )
    backoff_ms: float = Field(
        default=50.0, gt=0, description="Milliseconds before the second try."
    )


class DrainPolicy(_Model):
    """How a target leaves."""

    limit_s: float = Field(
        default=8 * 3600.0, gt=0, description="Seconds until what still runs is cut."
    )
    grace_s: float = Field(
        default=3.0, ge=0, description="Seconds in which new requests are passed on."
    )


class Service(_Model):
    """One service: its addresses and the treatment of its traffic."""

    name: str = Field(pattern=_NAME)
    addresses: tuple[str, ...] = Field(min_length=1, description="IPv4:port.")
    slots_per_target: int = Field(default=4, ge=1)
    connections_per_target: int = Field(default=2000, ge=1)
    slow_start_s: float = Field(default=30.0, ge=0)
    classes: tuple[RequestClass, ...] = Field(
        default=(RequestClass(name="default"),), min_length=1
    )
    retry: RetryPolicy = RetryPolicy()
    drain: DrainPolicy = DrainPolicy()

    @field_validator("addresses")
    @classmethod
    def _check_addresses(cls, addresses: tuple[str, ...]) -> tuple[str, ...]:
        for text in addresses:
            Address.parse(text)
        return addresses

    @property
    def service_id(self) -> int:
        """The 32-bit id that connection ids carry."""
        return service_id(self.name)

    @property
    def endpoints(self) -> tuple[Address, ...]:
        """The service's addresses."""
        return tuple(Address.parse(text) for text in self.addresses)

    def class_of(self, method: str, path: str) -> RequestClass | None:
        """Return the first class that matches a request, or None."""
        return next((c for c in self.classes if c.matches(method, path)), None)


class Manifest(_Model):
    """All services."""

    version: int = Field(default=1, ge=1, le=1)
    services: tuple[Service, ...] = ()

    @model_validator(mode="after")
    def _check_unique(self) -> "Manifest":
        _refuse_repeats("service name", (s.name for s in self.services))
        _refuse_repeats("service id", (s.service_id for s in self.services))
        _refuse_repeats("address", (a for s in self.services for a in s.addresses))
        return self

    def service(self, name: str) -> Service | None:
        """Return the service of this name, or None."""
        return next((s for s in self.services if s.name == name), None)


class ReleasedAddress(_Model):
    """An address that a service gave up, barred from others for a while."""

    address: str
    service: str
    released_at: float = Field(description="Seconds since the Unix epoch.")


class AcceptedManifest(_Model):
    """What the store holds: a manifest with its generation.

    The generation grows by one with each accepted change; processes adopt only
    a higher one.
    """

    generation: int = Field(ge=1)
    submission_id: str
    manifest: Manifest
    released: tuple[ReleasedAddress, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceDigest:
    """Short digest of one service's declaration, used to send only changes."""

    name: str
    digest: bytes = field(repr=False)


def service_id(name: str) -> int:
    """Return the first 32 bits of the SHA-256 hash of a service's name."""
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:4], "big")


def service_digest(service: Service) -> ServiceDigest:
    """Return the digest (8 bytes) of a service's declaration."""
    data = service.model_dump_json().encode()
    return ServiceDigest(service.name, hashlib.sha256(data).digest()[:8])


def _refuse_repeats(what: str, values: Iterator[object]) -> None:
    seen: set[object] = set()
    for value in values:
        if value in seen:
            raise ValueError(f"{what} {value} appears twice: each needs its own")
        seen.add(value)
