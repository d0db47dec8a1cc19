"""Parsing of a manifest from YAML; each error names its line and key."""

from collections.abc import Callable, Iterable, Iterator

import yaml
from expression import Error, Ok, Result
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from cranberryhold.exceptions import ManifestError
from cranberryhold.manifest.models import (
    KeyPath,
    Manifest,
    normalize_address,
    repeated_values,
    service_id,
)


def load_manifest(text: str) -> Result[Manifest, list[ManifestError]]:
    """Parse a manifest; reject it as a whole if any part of it is invalid.

    >>> load_manifest("services: [{name: khata-core, addreses: []}]").error[0].line
    1

    :return: the manifest, or every error with its line and the path of its key.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        duplicates = [] if root is None else list(_find_duplicate_keys(root, ()))
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Error([_syntax_error(error)])
    try:
        manifest = Manifest.model_validate({} if data is None else data)
    except ValidationError as error:
        return Error(duplicates + _validation_errors(error, data, root))
    return Error(duplicates) if duplicates else Ok(manifest)


def manifest_schema() -> dict[str, object]:
    """Return the JSON Schema of a manifest."""
    return Manifest.model_json_schema()


def format_errors(errors: list[ManifestError], source: str) -> str:
    """Format one line per error: ``source:line: key: message``."""
    return "\n".join(f"{source}:{e.line}: {e.key or '-'}: {e.message}" for e in errors)


def format_path(path: KeyPath) -> str:
    """Return a path as it is shown to the user.

    >>> format_path(("services", 0, "classes", 2, "path_prefix"))
    'services[0].classes[2].path_prefix'
    """
    parts = (f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)
    return "".join(parts).removeprefix(".")


def line_finder(text: str) -> Callable[[KeyPath], int]:
    """Return a function that returns the 1-based line of a path in a valid document."""
    root = yaml.compose(text, Loader=yaml.SafeLoader)
    return lambda path: _find_line(root, path)


def _validation_errors(
    error: ValidationError, data: object, root: yaml.Node | None
) -> list[ManifestError]:
    """Return all errors, also those that the models don't get to.

    The models check for repeated values only in lists without other errors, and
    report only the first one.
    """
    repeated = [
        ManifestError(message, line=_find_line(root, path), key=format_path(path))
        for path, message in _find_repeated(data)
    ]
    others = [
        _to_manifest_error(details, root)
        for details in error.errors()
        if not (repeated and details["type"] == "repeated")
        and not _is_spurious(details)
    ]
    return sorted(others + repeated, key=lambda e: e.line)


def _find_repeated(data: object) -> Iterator[tuple[KeyPath, str]]:
    names: list[tuple[KeyPath, object]] = []
    addresses: list[tuple[KeyPath, object]] = []
    for path, service in _mappings(data, "services", ()):
        names.append(((*path, "name"), service.get("name")))
        listed = service.get("addresses")
        for position, text in enumerate(
            listed if isinstance(listed, list | set) else ()
        ):
            addresses.append(((*path, "addresses", position), normalize_address(text)))
        classes = [
            (class_path, request_class.get("name"))
            for class_path, request_class in _mappings(service, "classes", path)
        ]
        yield from repeated_values("class name", _texts(classes))
    names = list(_texts(names))
    repeated_names = list(repeated_values("service name", names))
    yield from repeated_names
    # A repeated name has the same id, which is no second error.
    known = {path for path, _ in repeated_names}
    ids = [(path, service_id(name)) for path, name in names if path not in known]
    yield from repeated_values("service id", ids)
    yield from repeated_values("address", _texts(addresses))


def _mappings(
    data: object, key: str, path: KeyPath
) -> Iterator[tuple[KeyPath, dict[object, object]]]:
    items = data.get(key) if isinstance(data, dict) else None
    for position, item in enumerate(items if isinstance(items, list) else ()):
        if isinstance(item, dict):
            yield (*path, key, position), item


def _texts(values: Iterable[tuple[KeyPath, object]]) -> Iterator[tuple[KeyPath, str]]:
    return ((path, value) for path, value in values if isinstance(value, str))


def _syntax_error(error: yaml.YAMLError) -> ManifestError:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error)
    return ManifestError(
        f"not valid YAML: {problem}", line=mark.line + 1 if mark else 0, step="parse"
    )


def _to_manifest_error(details: ErrorDetails, root: yaml.Node | None) -> ManifestError:
    path: KeyPath = details["loc"]
    message = details["msg"].removeprefix("Value error, ")
    if details["type"] == "extra_forbidden":
        message = "unknown key: remove it or correct its spelling"
    elif details["type"] == "missing":
        message = "this key is required: add it"
    elif details["type"] == "model_type":
        message = f"write a mapping of keys (found {details['input']!r:.80})"
    else:
        message = f"{message} (found {details['input']!r:.80})"
    return ManifestError(message, line=_find_line(root, path), key=format_path(path))


def _is_spurious(details: ErrorDetails) -> bool:
    """Whether a list is reported as too short only because its items were invalid."""
    return (
        details["type"] == "too_short"
        and len(details["input"]) >= details["ctx"]["min_length"]
    )


def _find_line(root: yaml.Node | None, path: KeyPath) -> int:
    """Return the 1-based line of a key, or of its closest existing ancestor."""
    node, line = root, 1
    for part in path:
        if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
            if part >= len(node.value):
                break
            node = node.value[part]
            line = node.start_mark.line + 1
        elif isinstance(node, yaml.MappingNode):
            # Of a key that is given twice, the parser keeps the last.
            found = next(
                ((k, v) for k, v in reversed(node.value) if k.value == str(part)), None
            )
            if found is None:
                break
            line, node = found[0].start_mark.line + 1, found[1]
        else:
            break
    return line


def _find_duplicate_keys(node: yaml.Node, path: KeyPath) -> Iterator[ManifestError]:
    """Find keys that are given twice; the YAML parser would keep only the last."""
    if isinstance(node, yaml.SequenceNode):
        for position, child in enumerate(node.value):
            yield from _find_duplicate_keys(child, (*path, position))
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for key, child in node.value:
        name = str(key.value)
        child_path = (*path, name)
        if name in seen:
            yield ManifestError(
                "this key is given twice: remove one",
                line=key.start_mark.line + 1,
                key=format_path(child_path),
            )
        seen.add(name)
        yield from _find_duplicate_keys(child, child_path)
