"""Differences between two accepted manifests, by service."""

import zlib
from collections.abc import Iterable
from hashlib import sha256

from msgspec import MsgspecError
from msgspec.msgpack import Decoder
from pydantic import TypeAdapter, ValidationError

from cranberryhold.exceptions import DECODE_ERRORS, ManifestError
from cranberryhold.manifest.models import (
    AcceptedManifest,
    Manifest,
    ReleasedAddress,
    Service,
    service_digest,
)
from cranberryhold.membership.messages import ManifestDelta, encode

MAX_JSON_BYTES = 4 << 20
"""Limit of decompressed JSON; the store holds values up to 1 MB."""

_delta_decoder = Decoder(ManifestDelta)
_SERVICES = TypeAdapter(tuple[Service, ...])
_RELEASED = TypeAdapter(tuple[ReleasedAddress, ...])


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


def build_delta(
    accepted: AcceptedManifest,
    base: dict[str, bytes],
    digests: dict[str, bytes],
) -> ManifestDelta:
    """Return the delta from services with the ``base`` digests to a manifest.

    :param digests: digest of each service of ``accepted``.
    """
    changed = [
        service
        for service in accepted.manifest.services
        if base.get(service.name) != digests[service.name]
    ]
    return ManifestDelta(
        generation=accepted.generation,
        submission_id=accepted.submission_id,
        services=_compress(_SERVICES, changed),
        removed=sorted(set(base) - set(digests)),
        released=_compress(_RELEASED, accepted.released),
    )


def apply_delta(
    base: AcceptedManifest | None, delta: ManifestDelta
) -> AcceptedManifest:
    """Return the manifest that results from applying a delta to ``base``.

    :raises ManifestError: if the result is not valid.
    """
    services = {s.name: s for s in base.manifest.services} if base else {}
    for name in delta.removed:
        services.pop(name, None)
    try:
        for service in _SERVICES.validate_json(_decompress(delta.services)):
            services[service.name] = service
        return AcceptedManifest(
            generation=delta.generation,
            submission_id=delta.submission_id,
            manifest=Manifest(services=tuple(services.values())),
            released=_RELEASED.validate_json(_decompress(delta.released)),
        )
    except (ValidationError, zlib.error) as error:
        raise ManifestError(f"invalid delta: {error}", step="apply delta") from error


def encode_delta(delta: ManifestDelta) -> bytes:
    """Return the form that is sent inside a datagram."""
    return encode(delta)


def decode_delta(data: bytes) -> ManifestDelta:
    """Decode the output of :func:`encode_delta`.

    :raises ManifestError: if it is malformed.
    """
    try:
        return _delta_decoder.decode(data)
    except (MsgspecError, *DECODE_ERRORS) as error:
        raise ManifestError(f"malformed delta: {error}", step="read delta") from error


def _compress(adapter: TypeAdapter, items: Iterable[object]) -> bytes:
    items = tuple(items)
    return zlib.compress(adapter.dump_json(items)) if items else b""


def _decompress(data: bytes) -> bytes:
    return zlib.decompressobj().decompress(data, MAX_JSON_BYTES) if data else b"[]"
