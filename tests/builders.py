"""Builders of members, manifests and packets, shared by the tests."""

from cranberryhold.addresses import Address
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.models import AcceptedManifest, Manifest, Service
from cranberryhold.membership.members import Member, Role

RING = KeyRing({1: bytes(range(32))})


def target(node_id: str, address: str, service: str = "core", **fields) -> Member:
    """Return the member record of a sidecar."""
    parsed = Address.parse(address)
    return Member(node_id, Role.SIDECAR, "z", "r", parsed, parsed, service, **fields)


def accepted_manifest(
    generation: int = 1, **services: tuple[str, ...]
) -> AcceptedManifest:
    """Return a manifest with these services and addresses."""
    manifest = Manifest(
        services=tuple(Service(name=n, addresses=a) for n, a in services.items())
    )
    return AcceptedManifest(
        generation=generation, submission_id=f"s{generation}", manifest=manifest
    )


def initial_packet(connection_id: bytes, size: int = 1200) -> bytes:
    """Return an Initial packet of QUIC version 1, padded to ``size`` bytes."""
    header = b"\xc0\x00\x00\x00\x01" + bytes((len(connection_id),)) + connection_id
    return header.ljust(size, b"\0")


def short_header_packet(connection_id: bytes, size: int = 200) -> bytes:
    """Return a short-header packet, padded to ``size`` bytes."""
    return (b"\x40" + connection_id).ljust(size, b"\1")


class ManualClock:
    """A clock whose time is set by the test; sleeping on it is an error."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        return self.now

    wall = monotonic

    async def sleep(self, seconds: float) -> None:
        raise AssertionError("sleep called on a manual clock")
