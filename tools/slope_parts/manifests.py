"""Bytes, memory and processor time per kilobyte of manifest and per change."""

import asyncio
from collections.abc import Iterator
from random import Random

from cranberryhold.clock import SystemClock
from cranberryhold.distribution import ManifestDistributor, ManifestState
from cranberryhold.manifest.deltas import (
    apply_delta,
    build_delta,
    decode_delta,
    encode_delta,
    manifest_digest,
    service_digests,
)
from cranberryhold.manifest.models import (
    AcceptedManifest,
    ClassKind,
    Manifest,
    RequestClass,
    Service,
)
from cranberryhold.membership.links import MemoryNetwork
from cranberryhold.membership.membership import Membership
from cranberryhold.membership.messages import ManifestRequest, encode
from tools.clusters import Cluster
from tools.slope_parts.fits import Slope
from tools.slope_parts.meters import measure_memory, measure_processor_time

_SERVICES = (50, 200, 650)
_ROUNDS = 3


def _request_classes(number: int) -> tuple[RequestClass, ...]:
    return (
        RequestClass(
            name="feeds", kind=ClassKind.FEED, path_prefix=f"/{number}/feeds/"
        ),
        RequestClass(
            name="uploads",
            kind=ClassKind.LONG,
            path_prefix=f"/{number}/sheets/",
            deadline_s=600 + number,
        ),
        RequestClass(
            name="lines",
            methods=("POST",),
            at_most_once=True,
            queue_limit=100 + number,
        ),
        RequestClass(name="reads"),
    )


def accepted_manifest(services: int, generation: int) -> AcceptedManifest:
    """Return a manifest with one address per service; each generation changes one."""
    declared = tuple(
        Service(
            name=f"service-{n:04}",
            addresses=(f"10.{200 + n // 250}.{n % 250}.1:443",),
            slots_per_target=4 + (n < generation),
            classes=_request_classes(n),
        )
        for n in range(services)
    )
    return AcceptedManifest(
        generation=generation,
        submission_id=f"pipeline-run-{generation:08}",
        manifest=Manifest(services=declared),
    )


def slopes(seed: int) -> Iterator[Slope]:
    """Yield costs by size of the document in kilobytes, and its size by services."""
    first = {n: accepted_manifest(n, 1) for n in _SERVICES}
    texts = {
        n: m.model_dump_json(exclude_defaults=True).encode() for n, m in first.items()
    }
    kilobytes = {n: len(text) / 1000 for n, text in texts.items()}
    points = tuple((n, len(texts[n])) for n in _SERVICES)
    yield Slope("manifest.bytes", "bytes", "service", points)
    requests = {
        n: ManifestRequest(generation=1, digests=service_digests(m))
        for n, m in first.items()
    }
    points = tuple((n, len(encode(requests[n]))) for n in _SERVICES)
    yield Slope("manifest.request.bytes", "bytes", "service", points)
    points = tuple((n, _delta_bytes(n)) for n in (1, 2, 4))
    yield Slope("manifest.delta.bytes", "bytes", "changed service", points)
    points = tuple((kilobytes[n], _manifest_memory(texts[n])) for n in _SERVICES)
    yield Slope("manifest.memory", "bytes", "kB of manifest", points)
    points = tuple((kilobytes[n], _adoption_time(seed, n)) for n in _SERVICES)
    yield Slope("manifest.adopt.time", "s", "kB of manifest", points)
    points = tuple((kilobytes[n], _parse_time(texts[n])) for n in _SERVICES)
    yield Slope("manifest.read.time", "s", "kB of manifest", points)


def _delta_bytes(changed: int) -> int:
    base, after = accepted_manifest(10, 1), accepted_manifest(10, 2)
    digests = service_digests(after)
    known = dict(list(service_digests(base).items())[changed:])
    known |= {n: d for n, d in digests.items() if n in known}
    return len(encode_delta(build_delta(after, known, digests)))


def _manifest_memory(text: bytes) -> float:
    with measure_memory() as measurement:
        manifest = AcceptedManifest.model_validate_json(text)
        digests = service_digests(manifest)
    assert digests
    return measurement.value


def _parse_time(text: bytes) -> float:
    durations = []
    for _ in range(_ROUNDS):
        with measure_processor_time() as measurement:
            AcceptedManifest.model_validate_json(text)
        durations.append(measurement.value)
    return min(durations)


def _adoption_time(seed: int, services: int) -> float:
    """Return the processor time to apply, digest and adopt an inline delta."""

    async def run() -> float:
        cluster = Cluster(seed)
        local_member = cluster.member(0)
        link = MemoryNetwork(lambda source, target: None).link(
            local_member.control_address
        )
        clock = SystemClock()
        membership = Membership(local_member, link, clock=clock, rng=Random(seed))
        for number in range(1, 20):
            membership.merge(cluster.member(number))
        state = ManifestState(clock)
        ManifestDistributor(state, membership, link)
        before = accepted_manifest(services, 1)
        state.adopt(before)
        durations = []
        for generation in range(2, 2 + _ROUNDS):
            after = accepted_manifest(services, generation)
            digests = service_digests(after)
            delta = encode_delta(build_delta(after, service_digests(before), digests))
            with measure_processor_time() as measurement:
                result = apply_delta(state.current, decode_delta(delta))
                manifest_digest(result)
                assert state.adopt(result)
            durations.append(measurement.value)
            before = after
        return min(durations)

    return asyncio.run(run())
