"""A manifest as YAML text, with the line and key of each error."""

from collections.abc import Iterator

import yaml
from expression import Error, Ok, Result
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from cranberryhold.exceptions import ManifestError
from cranberryhold.manifest import Manifest

_Path = tuple[str | int, ...]


def load_manifest(text: str) -> Result[Manifest, list[ManifestError]]:
    """Read a manifest; refuse it whole if any part of it is wrong.

    >>> load_manifest("services: [{name: khata-core, addreses: []}]").error[0].line
    1

    :return: the manifest, or every error with its line and dotted key.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        repeats = [] if root is None else list(_repeated_keys(root, ()))
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Error([_syntax_error(error)])
    if repeats:
        return Error(repeats)
    try:
        return Ok(Manifest.model_validate({} if data is None else data))
    except ValidationError as error:
        return Error([_explain(d, root) for d in error.errors() if not _is_spurious(d)])


def manifest_schema() -> dict[str, object]:
    """Return the JSON Schema of a manifest."""
    return Manifest.model_json_schema()


def format_errors(errors: list[ManifestError], source: str) -> str:
    """Return one line per error, ``source:line: key: message``."""
    return "\n".join(f"{source}:{e.line}: {e.key or '-'}: {e.message}" for e in errors)


def _syntax_error(error: yaml.YAMLError) -> ManifestError:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error)
    return ManifestError(
        f"not valid YAML: {problem}", line=mark.line + 1 if mark else 0, step="parse"
    )


def _explain(details: ErrorDetails, root: yaml.Node | None) -> ManifestError:
    path: _Path = details["loc"]
    relative = details.get("ctx", {}).get("key")
    if relative:
        path += tuple(int(p) if p.isdigit() else p for p in relative.split("."))
    message = details["msg"].removeprefix("Value error, ")
    if details["type"] == "extra_forbidden":
        message = "unknown key: remove it or correct its spelling"
    elif details["type"] == "missing":
        message = "this key is required: add it"
    elif details["type"] == "model_type":
        message = f"write a mapping of keys (found {details['input']!r:.80})"
    elif not relative:
        message = f"{message} (found {details['input']!r:.80})"
    return ManifestError(message, line=_line(root, path), key=_dotted(path))


def _is_spurious(details: ErrorDetails) -> bool:
    """Whether a list is called too short only because its items were refused."""
    return (
        details["type"] == "too_short"
        and len(details["input"]) >= details["ctx"]["min_length"]
    )


def _dotted(path: _Path) -> str:
    return ".".join(str(part) for part in path)


def _line(root: yaml.Node | None, path: _Path) -> int:
    """Return the 1-based line of a key, or of its closest parent that exists."""
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


def _repeated_keys(node: yaml.Node, path: _Path) -> Iterator[ManifestError]:
    """Find keys that are given twice, of which YAML would keep only the last."""
    if isinstance(node, yaml.SequenceNode):
        for position, child in enumerate(node.value):
            yield from _repeated_keys(child, (*path, position))
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for key, child in node.value:
        name = str(key.value)
        here = (*path, name)
        if name in seen:
            yield ManifestError(
                "this key is given twice: remove one",
                line=key.start_mark.line + 1,
                key=_dotted(here),
            )
        seen.add(name)
        yield from _repeated_keys(child, here)
