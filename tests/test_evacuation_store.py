"""How evacuations are read from the store: with the configuration's own calls."""

import asyncio

import pytest

from cranberryhold.flows.evacuation.tracker import EvacuationTracker
from cranberryhold.flows.leased_store import ReadResult, StorePosition
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.platform.bootstrap import read_bootstrap_state
from emulator.metadata_store import PAGE_ITEMS
from emulator.platform_files import configuration_document
from tests.following import create_telemetry, following, running_store
from tests.test_configuration_outages import FIRST_CHANGE_S, SilentStore
from tests.waiting import until
from tools.virtual_time import run_virtual

CONFIGURATION_KEY = "op/config"
PREFIX = "op/"
LIMIT_S = 5.0
WATCH_S = 5.0
DOCUMENT = configuration_document(1, "198.18.0.1", {443: "core"})


def tracker(
    telemetry: Telemetry | None = None,
    monotonic=lambda: 0.0,
    on_change=lambda: None,
) -> EvacuationTracker:
    """Return the evacuations that a daemon in the data centre a knows."""
    return EvacuationTracker(
        "a",
        LIMIT_S,
        telemetry or create_telemetry(),
        monotonic=monotonic,
        on_change=on_change,
    )


async def test_the_last_of_several_changes_in_one_response_counts() -> None:
    async with running_store() as (stand_in, store):
        await stand_in.put("op/evacuate/a", b"{}")
        read = await store.get(CONFIGURATION_KEY, prefix=PREFIX)
        assert read.other_keys == ("op/evacuate/a",)
        await stand_in.put(CONFIGURATION_KEY, DOCUMENT)
        for _ in range(2):
            await stand_in.delete("op/evacuate/a")
            await stand_in.put("op/evacuate/b", b"{}")
            await stand_in.delete("op/evacuate/b")
            await stand_in.put("op/evacuate/a", b"{}")
        await stand_in.delete("op/evacuate/a")
        await stand_in.put("op/evacuate/c", b"{}")
        changes = await store.wait_for_change(
            CONFIGURATION_KEY, read.position, WATCH_S, prefix=PREFIX
        )
        assert changes.item.value == DOCUMENT
        assert changes.other_keys == ("op/evacuate/c",)
        assert set(changes.deleted_keys) == {"op/evacuate/a", "op/evacuate/b"}


async def test_an_evacuation_behind_many_other_keys_is_found() -> None:
    async with running_store() as (stand_in, store):
        for number in range(PAGE_ITEMS):
            await stand_in.put(f"op/a/{number}", b"")
        await stand_in.put("op/evacuate/b", b"{}")
        read = await store.get(CONFIGURATION_KEY, prefix=PREFIX)
        assert "op/evacuate/b" in read.other_keys
        errors: list[Exception] = []
        arguments = (store._client._address, CONFIGURATION_KEY, "m/", errors.append)
        state = await asyncio.to_thread(
            lambda: read_bootstrap_state(*arguments, operator_prefix=PREFIX)
        )
        # The daemon reads all pages itself later; a part must not count as all.
        assert state is None
        assert len(errors) == 1


async def test_the_first_reading_of_a_daemon_contains_evacuations() -> None:
    async with running_store() as (stand_in, store):
        await stand_in.put(CONFIGURATION_KEY, DOCUMENT)
        await stand_in.put("op/evacuate/b", b"{}")
        arguments = (store._client._address, CONFIGURATION_KEY, "m/", lambda _: None)
        with_prefix = await asyncio.to_thread(
            lambda: read_bootstrap_state(*arguments, operator_prefix=PREFIX)
        )
        assert "op/evacuate/b" in with_prefix.other_keys
        assert with_prefix.configuration.value == DOCUMENT
        without = await asyncio.to_thread(lambda: read_bootstrap_state(*arguments))
        assert without.other_keys == ()
        assert stand_in.calls == {"/kv-range": 4}


@pytest.mark.parametrize("value", ["", "bnVsbA==", "//4=", "no base64", "a", None])
async def test_a_key_counts_whatever_its_value_is(value: str | None) -> None:
    # Guards against a configuration or an evacuation that is not read because of it.
    async with running_store() as (stand_in, store):
        await stand_in.put(CONFIGURATION_KEY, DOCUMENT)
        await stand_in.put("op/evacuate/b", b"")
        stand_in._items["op/evacuate/b"].value = value
        known = tracker()
        async with following(
            store, limit_s=3.0, monotonic=lambda: 0.0, evacuations=known
        ) as (_, routes, _):
            await until(lambda: known.state.zones == {"b"})
            await until(lambda: routes.version == 1)


async def test_no_call_is_added() -> None:
    calls = []
    for known in (None, tracker()):
        async with running_store() as (stand_in, store):
            await stand_in.put(CONFIGURATION_KEY, DOCUMENT)
            async with following(
                store, limit_s=3.0, monotonic=lambda: 0.0, evacuations=known
            ) as (_, routes, _):
                await until(lambda: stand_in.calls.get("/kv-watch"))
                for version in (2, 3):
                    changed = configuration_document(version, "198.18.0.1", {443: "x"})
                    await stand_in.put(CONFIGURATION_KEY, changed)
                    await until(lambda: routes.version == version)  # noqa: B023
                await until(lambda: stand_in.calls["/kv-watch"] == 3)
            calls.append(stand_in.calls)
    assert calls[0] == calls[1]


class EvacuatingStore(SilentStore):
    """Holds an evacuation from each second change to the next one."""

    prefix = PREFIX

    def _result(self, revision: int, *, since: int) -> ReadResult:
        keys = ("op/evacuate/b",)
        if revision == since:
            return ReadResult(None, self._position(revision))
        if revision % 2:
            return ReadResult(None, self._position(revision), deleted_keys=keys)
        return ReadResult(None, self._position(revision), keys)

    def _position(self, revision: int) -> StorePosition:
        return StorePosition(1, revision)


@pytest.mark.parametrize("length_s", [0.2, 2.0, 5.0, 12.0])
def test_an_evacuation_around_a_silent_outage_is_in_force_in_time(
    length_s: float,
) -> None:
    # Guards against flows at evacuated targets because the daemon still waits for the
    # response to a watch that was lost in an outage.
    async def adopted_at(store: SilentStore, seed: int, until_s: float) -> float:
        now = asyncio.get_running_loop().time
        changed = asyncio.Event()
        known = tracker(monotonic=now, on_change=changed.set)
        async with following(
            store, limit_s=3.0, monotonic=now, seed=seed, evacuations=known
        ):
            async with asyncio.timeout(until_s):
                await changed.wait()
            assert known.state.zones == {"b"}
            return now()

    for step in range(30):
        start = FIRST_CHANGE_S + 0.05 + step * 0.2
        for change in (start + length_s / 2, start + length_s + 0.1):
            limit = max(change, start + length_s) + LIMIT_S
            store = EvacuatingStore([(start, start + length_s)], [change])
            assert run_virtual(adopted_at(store, step, limit + 20.0)) <= limit


def test_an_unknown_zone_is_reported_once_and_evacuates_nothing_else() -> None:
    telemetry = create_telemetry()
    known = tracker(telemetry)
    known.record_stored(frozenset({"nowhere", "a"}), StorePosition(1, 5), 0.0)
    for _ in range(3):
        known.check_names({"a", "b"})
    lines = [x for x in telemetry.output.written if "evacuation-unknown-zone" in x]
    assert len(lines) == 1
    assert "zone=nowhere" in lines[0]
    assert not known.state.covers("b")


def test_a_flood_of_names_leaves_room_for_the_data_centres() -> None:
    # Guards against statuses that are too long for a datagram and are not read.
    known = tracker()
    names = {f"{number:03}-{'x' * 100}" for number in range(50)} | {"z"}
    known.record_stored(frozenset(names), StorePosition(1, 5), 0.0)
    notice = known.notice(lambda: {"z", "y"})
    assert "z" in notice.zones
    assert sum(len(zone) for zone in notice.zones) <= 400


def test_a_state_that_is_too_old_is_reported_once_and_kept() -> None:
    times = [0.0]
    telemetry = create_telemetry()
    known = tracker(telemetry, monotonic=lambda: times[0])
    known.check()
    known.record_stored(frozenset({"a"}), StorePosition(1, 5), 0.0)
    for now in (LIMIT_S, LIMIT_S + 0.1, 100.0):
        times[0] = now
        known.check()
    assert telemetry.counts["evacuations_stale"] == 1
    assert known.gauges() == {
        "evacuated": 1.0,
        "evacuated_zones": 1,
        "evacuation_age_seconds": 100.0,
    }
