"""Differences between two manifests, for an operator to read."""

from collections.abc import Iterable, Iterator, Sequence
from enum import StrEnum

from msgspec import Struct
from pydantic import BaseModel

from cranberryhold.manifest.models import KeyPath, Manifest, RequestClass, Service


class Action(StrEnum):
    """What happened to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(Struct, frozen=True):
    """One difference between two manifests.

    :param service: name of the service.
    :param class_name: name of the class, empty if the entry belongs to no class.
    :param key: key of the value, empty if a whole service or class was added or
        removed.
    :param before: value before the change, None for an added entry.
    :param after: value after the change, None for a removed entry.
    :param path: location in the new manifest; of a removed entry, the location of
        what contained it.
    """

    action: Action
    service: str
    class_name: str = ""
    key: str = ""
    before: object = None
    after: object = None
    path: KeyPath = ()


def compare_manifests(before: Manifest, after: Manifest) -> list[Difference]:
    """Return what distinguishes ``after`` from ``before``.

    Services and classes are identified by name. The order of services, addresses and
    methods has no effect and is not compared; the order of classes is.
    """
    previous = {s.name: s for s in before.services}
    differences: list[Difference] = []
    for position, service in enumerate(after.services):
        path = ("services", position)
        old = previous.pop(service.name, None)
        if old is None:
            differences.append(Difference(Action.ADDED, service.name, path=path))
            differences += _compare_addresses(service.name, (), service.addresses, path)
        else:
            differences += _compare_services(old, service, path)
    for service in previous.values():
        path = ("services",)
        differences.append(Difference(Action.REMOVED, service.name, path=path))
        differences += _compare_addresses(service.name, service.addresses, (), path)
    return differences


def _compare_services(
    before: Service, after: Service, path: KeyPath
) -> Iterator[Difference]:
    yield from _compare_addresses(after.name, before.addresses, after.addresses, path)
    for key, old, new, subpath in _changed_values(before, after):
        yield Difference(
            Action.CHANGED,
            after.name,
            key=key,
            before=old,
            after=new,
            path=(*path, *subpath),
        )
    yield from _compare_classes(before, after, path)


def _compare_addresses(
    service: str, before: Sequence[str], after: Sequence[str], path: KeyPath
) -> Iterator[Difference]:
    for position, address in enumerate(after):
        if address not in before:
            yield Difference(
                Action.ADDED,
                service,
                key="addresses",
                after=address,
                path=(*path, "addresses", position),
            )
    for address in before:
        if address not in after:
            yield Difference(
                Action.REMOVED, service, key="addresses", before=address, path=path
            )


def _compare_classes(
    before: Service, after: Service, path: KeyPath
) -> Iterator[Difference]:
    previous = {c.name: c for c in before.classes}
    names = {c.name for c in after.classes}
    for position, request_class in enumerate(after.classes):
        name, class_path = request_class.name, (*path, "classes", position)
        if name not in previous:
            yield Difference(Action.ADDED, after.name, name, path=class_path)
            continue
        for key, old, new, subpath in _changed_values(previous[name], request_class):
            yield Difference(
                Action.CHANGED,
                after.name,
                name,
                key,
                old,
                new,
                (*class_path, *subpath),
            )
    for name in previous:
        if name not in names:
            yield Difference(Action.REMOVED, after.name, name, path=(*path, "classes"))
    old_order = _names(before.classes, names)
    new_order = _names(after.classes, previous)
    if old_order != new_order:
        yield Difference(
            Action.CHANGED,
            after.name,
            key="order of classes",
            before=old_order,
            after=new_order,
            path=(*path, "classes"),
        )


def _names(classes: Iterable[RequestClass], among: Iterable[str]) -> str:
    wanted = set(among)
    return ",".join(c.name for c in classes if c.name in wanted)


def _changed_values(
    before: BaseModel, after: BaseModel, path: KeyPath = ()
) -> Iterator[tuple[str, object, object, KeyPath]]:
    """Yield dotted key, both values and path of each value that differs."""
    for key in type(after).model_fields:
        if key in ("name", "addresses", "classes"):
            continue
        old, new, subpath = getattr(before, key), getattr(after, key), (*path, key)
        if isinstance(new, BaseModel):
            yield from _changed_values(old, new, subpath)
            continue
        if isinstance(new, tuple):
            old, new = _format_methods(old), _format_methods(new)
        if old != new:
            yield ".".join(subpath), old, new, subpath


def _format_methods(methods: Iterable[str]) -> str:
    return ",".join(sorted(set(methods))) or "all"
