"""Submission of a manifest: races, lost answers, repeats and address moves.

Guards against two concurrent submissions that both succeed, a generation that is
assigned twice, a repeat that reverts a later change, and an address that moves to
another service while entry instances still route it to the first one.
"""

import asyncio
import json
from collections.abc import Coroutine
from typing import Any

import looptime
import pytest
from expression import Result
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryhold.exceptions import (
    ConflictError,
    CranberryholdError,
    ManifestError,
    StoreError,
    StoreOutcomeUnknownError,
)
from cranberryhold.manifest.apply import (
    MANIFEST_KEY,
    apply_manifest,
    read_accepted_manifest,
)
from cranberryhold.manifest.models import (
    AcceptedManifest,
    DrainPolicy,
    Manifest,
    Service,
)
from cranberryhold.store import VersionedValue
from emulator.key_values import KeyValues, MemoryStore

Outcome = Result[AcceptedManifest, CranberryholdError]
Script = list[tuple[str, int]]
"""Fault of each call to the store and the delay before it in seconds."""

NOW = 1_000_000.0
"""Seconds since the Unix epoch."""


class ScriptedStore(MemoryStore):
    """Delays and fails calls as scripted; works normally after the script.

    :param written: receives the generations that are written, in order.
    """

    def __init__(
        self, key_values: KeyValues, script: Script, written: list[int]
    ) -> None:
        super().__init__(key_values)
        self._script = list(script)
        self._written = written
        self.late_writes: list[asyncio.Task[bool]] = []

    async def get(self, key: str) -> VersionedValue | None:
        fault = await self._next_fault()
        if fault != "none":
            raise StoreError("scripted", step="read key")
        return await super().get(key)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> bool:
        fault = await self._next_fault()
        if fault == "not reached":
            raise StoreError("scripted", step="compare and swap")
        if fault == "late":
            write = self._write(key, value, expected_revision, delay_s=3)
            self.late_writes.append(asyncio.create_task(write))
        elif fault != "request lost":
            done = await self._write(key, value, expected_revision)
            if fault == "none":
                return done
        raise StoreOutcomeUnknownError("scripted", step="compare and swap")

    async def _write(
        self, key: str, value: bytes, expected_revision: int, delay_s: float = 0
    ) -> bool:
        await asyncio.sleep(delay_s)
        done = await super().compare_and_swap(key, value, expected_revision)
        if done:
            self._written.append(json.loads(value)["generation"])
        return done

    async def _next_fault(self) -> str:
        fault, delay_s = self._script.pop(0) if self._script else ("none", 0)
        await asyncio.sleep(delay_s)
        return fault


def manifest(**addresses: str) -> Manifest:
    """Return a manifest with one address for each service name."""
    return Manifest(
        services=tuple(
            Service(name=name, addresses=(address,))
            for name, address in addresses.items()
        )
    )


def manifest_of(number: int) -> Manifest:
    return manifest(**{f"service-{number}": f"127.0.0.1:{number + 1}"})


def run_virtual(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run in virtual time, so that delays take no real time."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(coroutine)


async def run_concurrently(
    key_values: KeyValues,
    scripts: list[Script],
    written: list[int],
    expected: int | None,
) -> list[Outcome]:
    """Run one submission per script concurrently, until all writes are done."""
    stores = [ScriptedStore(key_values, script, written) for script in scripts]
    outcomes = await asyncio.gather(
        *(
            apply_manifest(
                store, manifest_of(n), f"run-{n}", NOW, expected_generation=expected
            )
            for n, store in enumerate(stores)
        )
    )
    await asyncio.gather(*(write for store in stores for write in store.late_writes))
    return outcomes


async def accepted_generations(store: MemoryStore) -> dict[str, int]:
    document = await read_accepted_manifest(store)
    records = document.submissions if document else ()
    return {r.submission_id: r.generation for r in records}


def error_of(outcome: Outcome) -> CranberryholdError | None:
    return outcome.error if outcome.is_error() else None


def check_outcome(outcome: Outcome, generation: int | None) -> None:
    """Compare the outcome of a run with the generation that the store has for it."""
    match error_of(outcome):
        case None:
            assert outcome.ok.generation == generation
        case StoreOutcomeUnknownError():
            pass
        case error:
            assert generation is None, error


FAULTS = st.sampled_from(["none", "answer lost", "request lost", "not reached", "late"])
SCRIPTS = st.lists(
    st.lists(st.tuples(FAULTS, st.integers(0, 5)), max_size=8), min_size=2, max_size=4
)


@settings(max_examples=400)
@given(SCRIPTS)
def test_exactly_one_of_several_concurrent_runs_from_one_generation_succeeds(
    scripts: list[Script],
) -> None:
    written: list[int] = []

    async def scenario() -> None:
        key_values = KeyValues()
        outcomes = await run_concurrently(key_values, scripts, written, expected=0)
        accepted = await accepted_generations(MemoryStore(key_values))
        assert written in ([], [1])
        assert sorted(accepted.values()) == written
        for number, outcome in enumerate(outcomes):
            check_outcome(outcome, accepted.get(f"run-{number}"))
        errors = [error_of(outcome) for outcome in outcomes]
        if not any(isinstance(error, StoreError) for error in errors):
            assert errors.count(None) == 1
        for error in errors:
            if isinstance(error, ConflictError):
                assert "generation 1 (submission run-" in error.message

    run_virtual(scenario())


@settings(max_examples=400)
@given(SCRIPTS)
def test_generations_only_grow_and_repeats_change_nothing(
    scripts: list[Script],
) -> None:
    written: list[int] = []

    async def scenario() -> None:
        key_values = KeyValues()
        store = MemoryStore(key_values)
        outcomes = await run_concurrently(key_values, scripts, written, expected=None)
        accepted = await accepted_generations(store)
        assert written == list(range(1, len(accepted) + 1))
        before = await store.get(MANIFEST_KEY)
        for number, outcome in enumerate(outcomes):
            run_id = f"run-{number}"
            check_outcome(outcome, accepted.get(run_id))
            if run_id in accepted:
                repeat = await apply_manifest(store, manifest_of(number), run_id, NOW)
                assert repeat.ok.generation == accepted[run_id]
                assert repeat.ok.manifest == manifest_of(number)
        assert await store.get(MANIFEST_KEY) == before

    run_virtual(scenario())


def test_paused_writer_conflicts_with_a_generation_written_meanwhile() -> None:
    async def scenario() -> None:
        key_values = KeyValues()
        paused = ScriptedStore(key_values, [("none", 0), ("none", 3600)], [])
        submission = asyncio.create_task(
            apply_manifest(paused, manifest_of(0), "paused", NOW)
        )
        await asyncio.sleep(1)
        store = MemoryStore(key_values)
        for number in (1, 2):
            await apply_manifest(store, manifest_of(number), f"other-{number}", NOW)
        error = error_of(await submission)
        assert isinstance(error, ConflictError)
        assert "generation 2 (submission other-2) came first" in error.message
        assert await accepted_generations(store) == {"other-1": 1, "other-2": 2}

    run_virtual(scenario())


async def test_submission_id_of_another_manifest_is_refused() -> None:
    store = MemoryStore()
    await apply_manifest(store, manifest_of(0), "run", NOW)
    error = error_of(await apply_manifest(store, manifest_of(1), "run", NOW))
    assert isinstance(error, ConflictError)
    assert "choose a new submission id" in error.message


async def test_unexpected_generation_is_refused_and_changes_nothing() -> None:
    store = MemoryStore()
    await apply_manifest(store, manifest_of(0), "first", NOW)
    late = await apply_manifest(
        store, manifest_of(1), "second", NOW, expected_generation=0
    )
    assert isinstance(error_of(late), ConflictError)
    assert await accepted_generations(store) == {"first": 1}


async def test_generation_can_skip_those_that_a_restored_store_has_lost() -> None:
    """Otherwise the fleet ignores the manifest, as it has a higher generation."""
    store = MemoryStore()
    await apply_manifest(store, manifest_of(0), "first", NOW)
    store.key_values.snapshot("old")
    await apply_manifest(store, manifest_of(1), "second", NOW)
    store.key_values.restore("old")
    outcome = await apply_manifest(
        store, manifest_of(2), "third", NOW, above_generation=2
    )
    assert outcome.ok.generation == 3


async def test_submissions_are_remembered_up_to_a_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cranberryhold.manifest.apply.REMEMBERED_SUBMISSIONS", 3)
    store = MemoryStore()
    for number in range(5):
        await apply_manifest(store, manifest_of(number), f"run-{number}", NOW)
    assert await accepted_generations(store) == {"run-2": 3, "run-3": 4, "run-4": 5}


@pytest.mark.parametrize(
    ("drain_limit_s", "waited_s", "moves"),
    [
        (10.0, 59.9, False),
        (10.0, 60.0, True),
        (600.0, 599.9, False),
        (600.0, 600.0, True),
    ],
)
async def test_address_moves_only_after_its_open_flows_have_ended(
    drain_limit_s: float, waited_s: float, moves: bool
) -> None:
    """Otherwise a planned change would end the open flows of the address at once."""
    store = MemoryStore()
    drain = DrainPolicy(limit_s=drain_limit_s)
    first = Manifest(
        services=(Service(name="a", addresses=("127.0.0.1:1",), drain=drain),)
    )
    steps = [
        (first, 0.0, True),
        (manifest(b="127.0.0.1:1"), 1.0, False),
        (Manifest(), 2.0, True),
        (manifest(b="127.0.0.1:2"), 3.0, True),
        (manifest(b="127.0.0.1:1"), 2.0 + waited_s, moves),
    ]
    for number, (submitted, at_s, accepted) in enumerate(steps):
        outcome = await apply_manifest(store, submitted, f"run-{number}", NOW + at_s)
        assert outcome.is_ok() == accepted
        if not accepted:
            assert isinstance(outcome.error, ManifestError)
            assert outcome.error.key == "127.0.0.1:1"


async def test_address_returns_to_its_own_service_at_once() -> None:
    store = MemoryStore()
    for number, submitted in enumerate([manifest_of(0), Manifest(), manifest_of(0)]):
        outcome = await apply_manifest(store, submitted, f"run-{number}", NOW + number)
        assert outcome.is_ok()
    assert outcome.ok.released == ()


async def test_unreadable_document_in_the_store_is_not_overwritten() -> None:
    store = MemoryStore()
    await store.compare_and_swap(MANIFEST_KEY, b'{"generation": 0}', 0)
    error = error_of(await apply_manifest(store, manifest_of(0), "run", NOW))
    assert isinstance(error, ManifestError)
    assert error.step == "read store"
    assert store.key_values.calls.writes == 1


async def test_document_above_the_store_s_limit_is_refused() -> None:
    services = tuple(
        Service(name=f"s{n}", addresses=tuple(f"10.0.{n}.{i}:1" for i in range(255)))
        for n in range(256)
    )
    error = error_of(
        await apply_manifest(MemoryStore(), Manifest(services=services), "run", NOW)
    )
    assert isinstance(error, ManifestError)
    assert "holds at most 1000000" in error.message
