"""Subcommands of ``cranberryhold manifest``."""

import asyncio
import json
import sys
import time
import uuid
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

import yaml
from expression import Result

from cranberryhold.addresses import Address
from cranberryhold.consul import ConsulStore
from cranberryhold.exceptions import (
    CranberryholdError,
    SettingsError,
    StoreOutcomeUnknownError,
)
from cranberryhold.exit_codes import ExitCode
from cranberryhold.logs import format_logfmt
from cranberryhold.manifest.apply import apply_manifest, read_accepted_manifest
from cranberryhold.manifest.models import AcceptedManifest, Manifest
from cranberryhold.manifest.text import (
    format_errors,
    load_manifest,
    manifest_schema,
)
from cranberryhold.membership.fleet import ensure_fleet_not_ahead, query_fleet
from cranberryhold.membership.messages import Status
from cranberryhold.options import Option, as_boolean
from cranberryhold.settings import (
    KEYS,
    STORE_URL,
    as_addresses,
    as_count,
    as_name,
    as_seconds,
)

OptionValues = Mapping[str, object]

FLEET_QUERY_TIMEOUT_S = 1.0

_CONTACTS = Option(
    "contacts",
    "control addresses of any members, separated by commas; with them and the "
    "key ring, a manifest that the members would ignore is rejected",
    as_addresses,
    metavar="ADDRESSES",
)
CHECK_OPTIONS = (
    replace(STORE_URL, required=False),
    _CONTACTS,
    replace(KEYS, required=False),
    Option("strict", "fail if there are warnings", as_boolean, default="0"),
)
SHOW_OPTIONS = (STORE_URL,)
APPLY_OPTIONS = (
    STORE_URL,
    Option(
        "submission-id",
        "the id of this submission, such as the id of a pipeline run; repeating the "
        "command with the same id changes nothing; default: a random id",
        as_name,
    ),
    Option(
        "expected-generation",
        "apply the manifest only if this generation is in effect; 0 if none was "
        "accepted yet",
        as_count,
        metavar="NUMBER",
    ),
    Option(
        "above-generation",
        "a generation that the new one must exceed, for a store that was restored from "
        "a snapshot older than the manifest of the members",
        as_count,
        default="0",
        metavar="NUMBER",
    ),
    _CONTACTS,
    replace(KEYS, required=False),
)
STATUS_OPTIONS = (
    Option(
        "contacts",
        "control addresses of any members, separated by commas; these members and all "
        "members that they know are queried",
        as_addresses,
        required=True,
        metavar="ADDRESSES",
    ),
    KEYS,
    Option(
        "generation",
        "the generation that every member must have reached, else the command fails",
        as_count,
        default="0",
        metavar="NUMBER",
    ),
    Option(
        "timeout",
        "seconds to wait for answers",
        as_seconds,
        default="2",
        metavar="SECONDS",
    ),
)


async def apply(values: OptionValues) -> int:
    """Submit a manifest and print the generation assigned to it."""
    manifest = parse_manifest(await read_manifest(values["file"]), values["file"])
    if manifest is None:
        return ExitCode.FAILED
    submission_id = values["submission_id"] or str(uuid.uuid4())
    # Printed first: the id is needed to repeat the command after a lost answer.
    print(format_logfmt({"submission_id": submission_id}), flush=True)
    try:
        outcome = await _submit(values, manifest, submission_id)
    except asyncio.CancelledError:
        raise StoreOutcomeUnknownError(
            f"interrupted: repeat it with --submission-id {submission_id} to find out "
            "whether the manifest was accepted",
            step="submit manifest",
            peer=values["store_url"],
        ) from None
    if outcome.is_error():
        raise outcome.error
    print(format_logfmt({"generation": outcome.ok.generation}))
    return ExitCode.DONE


async def _submit(
    values: OptionValues, manifest: Manifest, submission_id: str
) -> Result[AcceptedManifest, CranberryholdError]:
    async with ConsulStore.open(values["store_url"]) as store:
        if values["contacts"] and values["keys"]:
            stored = await read_accepted_manifest(store)
            generation = stored.generation if stored else 0
            await ensure_fleet_not_ahead(
                values["keys"],
                values["contacts"],
                max(generation, values["above_generation"]),
                FLEET_QUERY_TIMEOUT_S,
            )
        return await apply_manifest(
            store,
            manifest,
            submission_id,
            time.time(),
            expected_generation=values["expected_generation"],
            above_generation=values["above_generation"],
        )


async def show(values: OptionValues) -> int:
    """Print the accepted manifest as YAML, with its generation in a comment."""
    async with ConsulStore.open(values["store_url"]) as store:
        accepted = await read_accepted_manifest(store)
    if accepted is None:
        print(
            "cranberryhold manifest show: no manifest was accepted yet", file=sys.stderr
        )
        return ExitCode.FAILED
    header = {
        "generation": accepted.generation,
        "submission_id": accepted.submission_id,
    }
    print(f"# {format_logfmt(header)}")
    data = accepted.manifest.model_dump(mode="json")
    print(yaml.safe_dump(data, sort_keys=False), end="")
    return ExitCode.DONE


async def status(values: OptionValues) -> int:
    """Print the generation in effect at each member, one line per member."""
    addresses = list(values["contacts"])
    answers = await query_fleet(values["keys"], addresses, values["timeout"])
    code = ExitCode.DONE
    for address, answer in answers.items():
        if answer is None:
            code = ExitCode.NOT_REACHED
            print(format_logfmt({"address": address, "state": "not-reached"}))
            continue
        heartbeat = answer.heartbeat
        if heartbeat.generation < values["generation"] and code is ExitCode.DONE:
            code = ExitCode.FAILED
        age_s = heartbeat.store_age_s
        fields = {
            "address": address,
            "node": answer.node_id,
            "generation": heartbeat.generation,
            "store_age_s": age_s if age_s >= 0 else None,
        }
        print(format_logfmt(fields))
    print(format_logfmt(_summary(answers)))
    return code


def _summary(answers: Mapping[Address, Status | None]) -> dict[str, object]:
    generations = [a.heartbeat.generation for a in answers.values() if a]
    return {
        "asked": len(answers),
        "answered": len(generations),
        "oldest_generation": min(generations, default=None),
        "newest_generation": max(generations, default=None),
    }


async def schema(values: OptionValues) -> int:
    """Print the JSON Schema of a manifest."""
    print(json.dumps(manifest_schema(), indent=2))
    return ExitCode.DONE


async def read_manifest(source: str) -> str:
    """Return the text of a manifest.

    :raises SettingsError: if it can't be read.
    """
    try:
        return await asyncio.to_thread(_read_text, source)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"the manifest {source!r} can't be read: {error}; name a readable UTF-8 "
            "file or -",
            step="read manifest",
        ) from error


def parse_manifest(text: str, source: str) -> Manifest | None:
    """Parse a manifest; print its errors and return None if it is invalid."""
    result = load_manifest(text)
    if result.is_error():
        print(format_errors(result.error, source), file=sys.stderr)
        return None
    return result.ok


def _read_text(source: str) -> str:
    return sys.stdin.read() if source == "-" else Path(source).read_text("utf-8")
