"""Warnings about a valid manifest: entries without effect and limits that conflict.

Each rule follows from how requests are handled: the first class that matches applies,
feeds take no slot, and a drain aborts what still runs at its limit.
"""

from collections.abc import Iterable, Iterator, Sequence
from enum import StrEnum

from msgspec import Struct

from cranberryhold.addresses import FIRST_HOST_OCTET, LAST_HOST_OCTET
from cranberryhold.client.retries import MAX_BACKOFF_S
from cranberryhold.manifest.models import (
    ClassKind,
    KeyPath,
    Manifest,
    RequestClass,
    Service,
)
from cranberryhold.requests.exchange import IDEMPOTENCY_KEY_PATH
from cranberryhold.requests.idempotency import KEY_LIFETIME_S

# RFC 9110, section 5.6.2: a method is a token.
_TOKEN_SYMBOLS = frozenset("!#$%&'*+-.^_`|~")
_STANDARD_METHODS = frozenset(
    ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE")
)


class WarningKind(StrEnum):
    """What a warning is about."""

    NO_EFFECT = "no-effect"
    """The entry can never match or apply."""
    CONFLICT = "conflict"
    """Two limits contradict each other."""


class ManifestWarning(Struct, frozen=True):
    """A part of a valid manifest that is probably not what its author meant.

    :param path: keys and list positions that lead to the entry.
    :param message: what is wrong and the remedy.
    """

    kind: WarningKind
    path: KeyPath
    message: str


def find_warnings(manifest: Manifest) -> list[ManifestWarning]:
    """Return all warnings, in the order of the services."""
    return [
        ManifestWarning(kind, ("services", position, *path), message)
        for position, service in enumerate(manifest.services)
        for kind, found in (
            (WarningKind.NO_EFFECT, _without_effect(service)),
            (WarningKind.CONFLICT, _conflicts(service)),
        )
        for path, message in found
    ]


def shadowing_class(
    earlier: Iterable[RequestClass], method: str | None, path_prefix: str
) -> RequestClass | None:
    """Return the first class that matches all requests with a method and prefix.

    Classes with a longer prefix can't cover ``path_prefix`` together, since none of
    them matches the path that equals it. Likewise, classes that list methods can't
    cover all methods together.

    :param method: a method, or None for all methods.
    """
    return next(
        (
            c
            for c in earlier
            if path_prefix.startswith(c.path_prefix)
            and (not c.methods or method in c.methods)
        ),
        None,
    )


_Found = Iterator[tuple[KeyPath, str]]


def _without_effect(service: Service) -> _Found:
    yield from _unreachable_addresses(service)
    for position, request_class in enumerate(service.classes):
        path = ("classes", position)
        earlier = service.classes[:position]
        for subpath, message in _unmatched_entries(request_class, earlier):
            yield (*path, *subpath), message
        if _is_feed(request_class) and "queue_limit" in request_class.model_fields_set:
            yield (
                (*path, "queue_limit"),
                "requests of kind feed take no slot and are never queued: remove it",
            )
    declares_slots = "slots_per_target" in service.model_fields_set
    if declares_slots and all(map(_is_feed, service.classes)):
        yield (
            ("slots_per_target",),
            "all classes are of kind feed and take no slot: remove it",
        )
    if service.retry.attempts == 1:
        for key in ("budget_percent", "backoff_ms"):
            if key in service.retry.model_fields_set:
                yield (
                    ("retry", key),
                    "retry.attempts is 1, so that nothing is retried: remove it or "
                    "allow more attempts",
                )


def _unreachable_addresses(service: Service) -> _Found:
    for position, address in enumerate(service.endpoints):
        first_octet = int(address.ip.partition(".")[0])
        if not FIRST_HOST_OCTET <= first_octet <= LAST_HOST_OCTET:
            yield (
                ("addresses", position),
                f"{address.ip} is not the address of a host, so that no caller can "
                "reach it: write the address that callers use",
            )


def _unmatched_entries(
    request_class: RequestClass, earlier: Sequence[RequestClass]
) -> _Found:
    prefix = request_class.path_prefix
    reason = _unmatched_prefix(prefix)
    if reason:
        yield ("path_prefix",), reason
        return
    invalid = {m for m in request_class.methods if not _is_method(m)}
    shadows = {
        method: shadowing_class(earlier, method, prefix)
        for method in request_class.methods or (None,)
        if method not in invalid
    }
    if shadows and all(shadows.values()):
        names = ", ".join(dict.fromkeys(c.name for c in shadows.values() if c))
        yield (
            (),
            f"class {request_class.name} never applies, as all its requests belong to "
            f"earlier classes ({names}): move it before them or remove it",
        )
    seen: set[str] = set()
    for position, method in enumerate(request_class.methods):
        shadow = shadows.get(method)
        path = ("methods", position)
        if method in seen:
            yield path, f"method {method} is listed twice: remove one"
        elif method in invalid:
            yield path, f"{method!r} is not an HTTP method: correct or remove it"
        elif method not in _STANDARD_METHODS and method.upper() in _STANDARD_METHODS:
            yield path, f"methods are case-sensitive: write {method.upper()}"
        elif shadow and not all(shadows.values()):
            yield (
                path,
                f"all {method} requests of this class belong to the earlier class "
                f"{shadow.name}: remove the method or move the class",
            )
        seen.add(method)


def _unmatched_prefix(prefix: str) -> str | None:
    """Return why no request has a path with this prefix, or None."""
    invalid = sorted({c for c in prefix if c == "#" or not "!" <= c <= "~"})
    if invalid:
        return (
            f"no valid request path contains {''.join(invalid)!r}: write it "
            "percent-encoded, as callers send it"
        )
    if prefix.startswith(f"{IDEMPOTENCY_KEY_PATH}?"):
        return (
            f"requests for {IDEMPOTENCY_KEY_PATH} are answered before classes are "
            "considered: remove this class"
        )
    return None


def _is_method(text: str) -> bool:
    return bool(text) and all(
        c.isascii() and (c.isalnum() or c in _TOKEN_SYMBOLS) for c in text
    )


def _is_feed(request_class: RequestClass) -> bool:
    return request_class.kind is ClassKind.FEED


def _conflicts(service: Service) -> _Found:
    yield from _drain_conflicts(service)
    yield from _slot_conflicts(service)
    yield from _retry_conflicts(service)
    for position, request_class in enumerate(service.classes):
        if request_class.at_most_once and request_class.deadline_s > KEY_LIFETIME_S:
            yield (
                ("classes", position, "deadline_s"),
                f"{request_class.deadline_s:g} s exceed the {KEY_LIFETIME_S:g} s for "
                "which an idempotency key is valid, so that the outcome of a later "
                "retry is unknown: shorten the deadline",
            )


def _drain_conflicts(service: Service) -> _Found:
    """Find requests that a drain aborts before their deadline.

    Feeds are left out: their deadline only bounds the time until the response begins,
    and callers continue them at another target when the drain begins.
    """
    limit_s, grace_s = service.drain.limit_s, service.drain.grace_s
    if grace_s > limit_s:
        yield (
            ("drain", "grace_s"),
            f"{grace_s:g} s exceed drain.limit_s ({limit_s:g} s), at which the drain "
            "ends: shorten the grace time or raise the limit",
        )
    for position, request_class in enumerate(service.classes):
        deadline_s = request_class.deadline_s
        if _is_feed(request_class) or min(grace_s, limit_s) + deadline_s <= limit_s:
            continue
        if deadline_s > limit_s:
            problem = f"{deadline_s:g} s exceed drain.limit_s ({limit_s:g} s)"
        else:
            problem = (
                f"{deadline_s:g} s and drain.grace_s ({grace_s:g} s) together exceed "
                f"drain.limit_s ({limit_s:g} s)"
            )
        yield (
            ("classes", position, "deadline_s"),
            f"{problem}, so that a drain can abort a request before its deadline: "
            "shorten the deadline or raise the limit",
        )


def _slot_conflicts(service: Service) -> _Found:
    slots, connections = service.slots_per_target, service.connections_per_target
    kinds = {c.kind for c in service.classes}
    if slots > connections and kinds != {ClassKind.FEED}:
        yield (
            ("slots_per_target",),
            f"{slots} slots exceed connections_per_target ({connections}), so that "
            "slots stay idle unless callers send several requests on a connection: "
            "raise the connections or lower the slots",
        )
    if slots == 1 and kinds >= {ClassKind.SHORT, ClassKind.LONG}:
        yield (
            ("slots_per_target",),
            "with 1 slot none can be kept free for short requests, so that they wait "
            "behind long ones: raise it to 2 or more",
        )


def _retry_conflicts(service: Service) -> _Found:
    retry = service.retry
    if retry.attempts > 1 and retry.budget_percent == 0:
        yield (
            ("retry", "budget_percent"),
            f"a budget of 0 does not permit the {retry.attempts} attempts of "
            "retry.attempts: raise it, or set attempts to 1",
        )
    if retry.backoff_ms > MAX_BACKOFF_S * 1000:
        yield (
            ("retry", "backoff_ms"),
            f"{retry.backoff_ms:g} ms exceed the longest delay between attempts, "
            f"{MAX_BACKOFF_S * 1000:g} ms, which applies instead: lower it",
        )
