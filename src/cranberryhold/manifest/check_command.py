"""The command ``cranberryhold manifest check``."""

import sys
import time
from collections.abc import Callable, Iterator, Mapping

from msgspec import Struct

from cranberryhold.consul import ConsulStore
from cranberryhold.exceptions import (
    ConflictError,
    CranberryholdError,
    ManifestError,
    PeerError,
    SettingsError,
    StoreError,
)
from cranberryhold.exit_codes import ExitCode, exit_code
from cranberryhold.logs import format_logfmt
from cranberryhold.manifest.apply import read_accepted_manifest, submission_errors
from cranberryhold.manifest.commands import (
    FLEET_QUERY_TIMEOUT_S,
    parse_manifest,
    read_manifest,
)
from cranberryhold.manifest.comparison import Difference, compare_manifests
from cranberryhold.manifest.models import AcceptedManifest, KeyPath, Manifest
from cranberryhold.manifest.text import format_errors, format_path, line_finder
from cranberryhold.manifest.validation import find_warnings
from cranberryhold.membership.fleet import (
    ensure_not_ahead,
    query_generation,
    read_member_manifest,
)
from cranberryhold.settings import KEYS

OptionValues = Mapping[str, object]


class _InForce(Struct):
    """The version in force.

    :param accepted: None if no manifest was accepted yet, or if it is not known.
    :param is_known: whether the store or a member told it.
    :param failures: errors of the store and the members, each with what follows.
    """

    accepted: AcceptedManifest | None = None
    is_known: bool = False
    failures: list[tuple[str, CranberryholdError]] = []

    @property
    def generation(self) -> int:
        return self.accepted.generation if self.accepted else 0


async def check(values: OptionValues) -> int:
    """Check a manifest and compare it with the version in force.

    Prints errors and warnings with line and key, then one line per difference.
    """
    _check_options(values)
    source = values["file"]
    text = await read_manifest(source)
    manifest = parse_manifest(text, source)
    if manifest is None:
        return ExitCode.FAILED
    find_line = line_finder(text)
    warnings = [
        _located(f"warning: {w.message}", w.path, find_line)
        for w in find_warnings(manifest)
    ]
    warnings.sort(key=lambda warning: warning.line)
    # Printed first, as the store may take seconds to answer.
    _print_errors(warnings, source)
    in_force = await _read_in_force(values)
    errors = [
        _located(error.message, _address_path(manifest, error.key), find_line)
        for error in submission_errors(in_force.accepted, manifest, time.time())
    ]
    _print_errors(errors, source)
    summary = {
        "file": source,
        "services": len(manifest.services),
        "warnings": len(warnings),
    }
    if in_force.is_known:
        before = in_force.accepted.manifest if in_force.accepted else Manifest()
        differences = compare_manifests(before, manifest)
        for difference in differences:
            print(format_logfmt(_describe(difference, find_line)))
        summary["differences"] = len(differences)
        summary["generation"] = in_force.generation
    print(format_logfmt(summary))
    for consequence, error in in_force.failures:
        print(f"cranberryhold manifest check: {consequence}: {error}", file=sys.stderr)
    if errors or (warnings and values["strict"]):
        return ExitCode.FAILED
    # A conflict has a lower code than a missing comparison and takes precedence.
    codes = (exit_code(error) for _, error in in_force.failures)
    return min(codes, default=ExitCode.DONE)


def _check_options(values: OptionValues) -> None:
    if values["contacts"] and values["keys"] is None:
        raise SettingsError(
            f"{KEYS.flag} is not set: give it or set {KEYS.variable}, or leave out "
            "--contacts",
            step="read settings",
        )


async def _read_in_force(values: OptionValues) -> _InForce:
    """Return the version in force from the store, else from the members.

    That of the members is also returned if they are ahead of the store.
    """
    in_force = _InForce()
    if values["store_url"]:
        try:
            async with ConsulStore.open(values["store_url"]) as store:
                in_force.accepted = await read_accepted_manifest(store)
            in_force.is_known = True
        except (StoreError, ManifestError) as error:
            in_force.failures.append(("not compared with the store", error))
    if values["contacts"]:
        try:
            await _add_members(values, in_force)
        except PeerError as error:
            in_force.failures.append(("not compared with the members", error))
    return in_force


async def _add_members(values: OptionValues, in_force: _InForce) -> None:
    query = (values["keys"], values["contacts"], FLEET_QUERY_TIMEOUT_S)
    if in_force.is_known:
        generation = await query_generation(*query)
        try:
            ensure_not_ahead(generation, in_force.generation)
        except ConflictError as error:
            in_force.failures.append(("would be rejected", error))
        else:
            return
    in_force.accepted = await read_member_manifest(*query)
    in_force.is_known = True


def _located(
    message: str, path: KeyPath, find_line: Callable[[KeyPath], int]
) -> ManifestError:
    return ManifestError(message, line=find_line(path), key=format_path(path))


def _print_errors(errors: list[ManifestError], source: str) -> None:
    if errors:
        print(format_errors(errors, source), file=sys.stderr, flush=True)


def _address_path(manifest: Manifest, address: str) -> KeyPath:
    def paths() -> Iterator[KeyPath]:
        for i, service in enumerate(manifest.services):
            for j, found in enumerate(service.addresses):
                if found == address:
                    yield ("services", i, "addresses", j)

    return next(paths(), ())


def _describe(
    difference: Difference, find_line: Callable[[KeyPath], int]
) -> dict[str, object]:
    fields = {
        "difference": difference.action,
        "service": difference.service,
        "class": difference.class_name,
        "key": difference.key,
        "before": difference.before,
        "after": difference.after,
        "path": format_path(difference.path),
        "line": find_line(difference.path),
    }
    return {k: v for k, v in fields.items() if v not in ("", None)}
