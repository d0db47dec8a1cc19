"""Parsing of a manifest from YAML; each error names its line and key."""

from collections.abc import Iterator

import yaml
from expression import Error, Ok, Result
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from cranberryhold.exceptions import ManifestError
from cranberryhold.manifest.models import Manifest

_KeyPath = tuple[str | int, ...]


def load_manifest(text: str) -> Result[Manifest, list[ManifestError]]:
    """Parse a manifest; reject it as a whole if any part of it is invalid.

    >>> load_manifest("services: [{name: khata-core, addreses: []}]").error[0].line
    1

    :return: the manifest, or every error with its line and dotted key.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        duplicates = [] if root is None else list(_find_duplicate_keys(root, ()))
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Error([_syntax_error(error)])
    if duplicates:
        return Error(duplicates)
    try:
        return Ok(Manifest.model_validate({} if data is None else data))
    except ValidationError as error:
        return Error(
            [_to_manifest_error(d, root) for d in error.errors() if not _is_spurious(d)]
        )


def manifest_schema() -> dict[str, object]:
    """Return the JSON Schema of a manifest."""
    return Manifest.model_json_schema()


def format_errors(errors: list[ManifestError], source: str) -> str:
    """Format one line per error: ``source:line: key: message``."""
    return "\n".join(f"{source}:{e.line}: {e.key or '-'}: {e.message}" for e in errors)


def _syntax_error(error: yaml.YAMLError) -> ManifestError:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error)
    return ManifestError(
        f"not valid YAML: {problem}", line=mark.line + 1 if mark else 0, step="parse"
    )


def _to_manifest_error(details: ErrorDetails, root: yaml.Node | None) -> ManifestError:
    path: _KeyPath = details["loc"]
    subkey = details.get("ctx", {}).get("key")
    if subkey:
        path += tuple(int(p) if p.isdigit() else p for p in subkey.split("."))
    message = details["msg"].removeprefix("Value error, ")
    if details["type"] == "extra_forbidden":
        message = "unknown key: remove it or correct its spelling"
    elif details["type"] == "missing":
        message = "this key is required: add it"
    elif details["type"] == "model_type":
        message = f"write a mapping of keys (found {details['input']!r:.80})"
    elif not subkey:
        message = f"{message} (found {details['input']!r:.80})"
    return ManifestError(message, line=_find_line(root, path), key=_dotted_key(path))


def _is_spurious(details: ErrorDetails) -> bool:
    """Whether a list is reported as too short only because its items were invalid."""
    return (
        details["type"] == "too_short"
        and len(details["input"]) >= details["ctx"]["min_length"]
    )


def _dotted_key(path: _KeyPath) -> str:
    return ".".join(str(part) for part in path)


def _find_line(root: yaml.Node | None, path: _KeyPath) -> int:
    """Return the 1-based line of a key, or of its closest existing ancestor."""
    node, line = root, 1
    for part in path:
        if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
            if part >= len(node.value):
                break
            node = node.value[part]
            line = node.start_mark.line + 1
        elif isinstance(node, yaml.MappingNode):
            found = next(((k, v) for k, v in node.value if k.value == str(part)), None)
            if found is None:
                break
            line, node = found[0].start_mark.line + 1, found[1]
        else:
            break
    return line


def _find_duplicate_keys(node: yaml.Node, path: _KeyPath) -> Iterator[ManifestError]:
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
                key=_dotted_key(child_path),
            )
        seen.add(name)
        yield from _find_duplicate_keys(child, child_path)
