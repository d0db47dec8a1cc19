"""Differences between two accepted manifests, by service."""

from hashlib import sha256

from msgspec import MsgspecError
from msgspec.msgpack import Decoder
from pydantic import ValidationError

from cranberryhold.exceptions import ManifestError
from cranberryhold.manifest import (
    AcceptedManifest,
    Manifest,
    ReleasedAddress,
    Service,
    service_digest,
)
from cranberryhold.messages import ManifestDelta, encode

_decoder = Decoder(ManifestDelta)


def service_digests(accepted: AcceptedManifest) -> dict[str, bytes]:
    """Return the digest of each service."""
    found = (service_digest(s) for s in accepted.manifest.services)
    return {digest.name: digest.digest for digest in found}


def manifest_digest(accepted: AcceptedManifest) -> bytes:
    """Return a digest (16 bytes) of everything but the order of the services."""
    total = sha256(f"{accepted.generation} {accepted.submission_id}".encode())
    for name, digest in sorted(service_digests(accepted).items()):
        total.update(name.encode() + b"\0" + digest)
    for released in sorted(r.model_dump_json() for r in accepted.released):
        total.update(released.encode())
    return total.digest()[:16]


def delta_to(
    accepted: AcceptedManifest,
    base: dict[str, bytes],
    digests: dict[str, bytes],
) -> ManifestDelta:
    """Return what leads from services with the ``base`` digests to a manifest.

    :param digests: those of ``accepted``.
    """
    changed = [
        service.model_dump_json().encode()
        for service in accepted.manifest.services
        if base.get(service.name) != digests[service.name]
    ]
    return ManifestDelta(
        generation=accepted.generation,
        submission_id=accepted.submission_id,
        services=changed,
        removed=sorted(set(base) - set(digests)),
        released=[r.model_dump_json().encode() for r in accepted.released],
    )


def apply_delta(
    base: AcceptedManifest | None, delta: ManifestDelta
) -> AcceptedManifest:
    """Return the manifest that a delta leads to.

    :raises ManifestError: if the result is not valid.
    """
    services = {s.name: s for s in base.manifest.services} if base else {}
    for name in delta.removed:
        services.pop(name, None)
    try:
        for text in delta.services:
            service = Service.model_validate_json(text)
            services[service.name] = service
        return AcceptedManifest(
            generation=delta.generation,
            submission_id=delta.submission_id,
            manifest=Manifest(services=tuple(services.values())),
            released=tuple(
                ReleasedAddress.model_validate_json(text) for text in delta.released
            ),
        )
    except ValidationError as error:
        raise ManifestError(f"delta refused: {error}", step="apply delta") from error


def encode_delta(delta: ManifestDelta) -> bytes:
    """Return the form that travels inside a datagram."""
    return encode(delta)


def read_delta(data: bytes) -> ManifestDelta:
    """Read what :func:`encode_delta` wrote.

    :raises ManifestError: if it is malformed.
    """
    try:
        return _decoder.decode(data)
    except MsgspecError as error:
        raise ManifestError(f"malformed delta: {error}", step="read delta") from error
