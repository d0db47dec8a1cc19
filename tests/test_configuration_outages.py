"""Configurations that change around an outage of the store, in virtual time."""

import asyncio
import json

import pytest

from cranberryhold.exceptions import StoreError
from cranberryhold.flows.configuration import BACKOFF_S, RETRY_RESERVE_S
from cranberryhold.flows.leased_store import (
    UNKNOWN_EPOCH,
    ReadResult,
    StoredItem,
    StorePosition,
)
from cranberryhold.platform.store import CALL_TIMEOUT_S, WATCH_SLACK_S
from tests.following import following
from tools.virtual_time import run_virtual

KEY = "op/config"
RESPONSE_TIME_S = 0.005
# Seconds that the users' sites allow for a change, and after an outage.
LIMITS_S = [(3.0, 4.0), (5.0, 5.0), (6.0, 6.0)]
FIRST_CHANGE_S = 10.0


class SilentStore:
    """A store that never answers calls that are open during its outage.

    :cvar prefix: prefix of the keys that its clients read.

    :param outages: start and end of each outage.
    :param changes: times at which versions 2, 3, ... are written.
    :param response_s: seconds that a response is under way.
    """

    prefix: str | None = None

    def __init__(
        self,
        outages: list[tuple[float, float]],
        changes: list[float],
        *,
        response_s: float = RESPONSE_TIME_S,
    ) -> None:
        self._outages = outages
        self._changes = changes
        self._response_s = response_s
        self.malformed_versions: set[int] = set()
        self.calls = 0

    def version(self, now: float) -> int:
        """Return the version that is stored at a time."""
        return 1 + sum(change <= now for change in self._changes)

    async def get(self, key: str, *, prefix: str | None = None) -> ReadResult:
        """Return the present version."""
        assert (key, prefix) == (KEY, self.prefix)
        self.calls += 1
        result = self._result(self.version(_now()), since=0)
        await self._respond_after(self._response_s, CALL_TIMEOUT_S)
        return result

    async def wait_for_change(
        self,
        key: str,
        position: StorePosition,
        wait_s: float,
        *,
        prefix: str | None = None,
    ) -> ReadResult:
        """Wait for a later version than the revision."""
        assert (key, prefix) == (KEY, self.prefix)
        self.calls += 1
        now = _now()
        pending = [t for t in self._changes if t > now]
        changed_at = pending[0] if pending else now + wait_s
        if self.version(now) > position.revision:
            changed_at = now
        answered_at = min(changed_at, now + wait_s)
        result = self._result(self.version(answered_at), since=position.revision)
        delay_s = answered_at - now + self._response_s
        await self._respond_after(delay_s, wait_s + WATCH_SLACK_S)
        return result

    async def _respond_after(self, delay_s: float, timeout_s: float) -> None:
        now = _now()
        lost = delay_s > timeout_s or any(
            now < end and now + delay_s > start for start, end in self._outages
        )
        await asyncio.sleep(timeout_s if lost else delay_s)
        if lost:
            raise StoreError("no response", step="watch")

    def _result(self, revision: int, *, since: int) -> ReadResult:
        document = json.dumps(
            {
                "version": revision,
                "routes": [
                    {
                        "name": "r",
                        "host": "198.18.0.1",
                        "prefix": "/443/",
                        "service": "core",
                    }
                ],
            }
        ).encode()
        if revision in self.malformed_versions:
            document = b"{"
        item = StoredItem(KEY, document, revision) if revision > since else None
        return ReadResult(item, StorePosition(UNKNOWN_EPOCH, revision))


def _now() -> float:
    return asyncio.get_running_loop().time()


async def adoption_times(
    store: SilentStore, seed: int, *, limits_s: tuple[float, float], until_s: float
) -> dict[int, float]:
    """Follow the store, and return when each version was adopted.

    :param limits_s: seconds that are allowed for a change, and after an outage.
    """
    change_limit_s, outage_limit_s = limits_s
    times: dict[int, float] = {}

    def record(version: int) -> None:
        times.setdefault(version, _now())

    async with following(
        store,
        limit_s=min(change_limit_s, outage_limit_s),
        recovery_s=outage_limit_s,
        monotonic=_now,
        seed=seed,
        on_version=record,
    ):
        await asyncio.sleep(until_s)
    return times


async def times_of_stale_confidence(
    store: SilentStore, seed: int, *, limit_s: float, until_s: float
) -> list[float]:
    """Return when an outdated version counted as the newest beyond the limit."""
    found = []
    following_store = following(store, limit_s=limit_s, monotonic=_now, seed=seed)
    async with following_store as (_, routes, _telemetry):
        while _now() < until_s:
            due = store.version(_now() - limit_s)
            if routes.is_current(_now()) and routes.version < due:
                found.append(round(_now(), 2))
            await asyncio.sleep(0.05)
    return found


@pytest.mark.parametrize("length_s", [0.2, 1.0, 2.0, 5.0, 12.0])
@pytest.mark.parametrize(("change_limit_s", "outage_limit_s"), LIMITS_S)
def test_a_change_after_a_silent_outage_is_in_force_in_time(
    change_limit_s: float, outage_limit_s: float, length_s: float
) -> None:
    # Guards against a configuration that stays in force because the daemon still waits
    # for the response to a watch that was lost in an outage.
    late = []
    for step in range(60):
        start = FIRST_CHANGE_S + 0.05 + step * 0.1
        end = start + length_s
        change = end + 0.2
        limit = max(change + change_limit_s, end + outage_limit_s)
        store = SilentStore([(start, end)], [FIRST_CHANGE_S, change])
        times = adoption_times(
            store,
            step,
            limits_s=(change_limit_s, outage_limit_s),
            until_s=limit + 20.0,
        )
        adopted = run_virtual(times)[3]
        if adopted > limit:
            late.append((round(start, 2), round(adopted - end, 2)))
    assert not late


@pytest.mark.parametrize("gap_s", [0.05, 0.3, 1.0, 2.0, 4.0])
@pytest.mark.parametrize(("change_limit_s", "outage_limit_s"), LIMITS_S)
def test_a_change_after_two_silent_outages_is_in_force_in_time(
    change_limit_s: float, outage_limit_s: float, gap_s: float
) -> None:
    # Guards against two losses in a row: of a watch in the first outage, and in the
    # second one of the read that follows the watch.
    late = []
    for step in range(60):
        start = FIRST_CHANGE_S + 0.05 + step * 0.05
        second = start + 0.1 + gap_s
        end = second + 0.1 + step % 10 * 0.2
        change = end + 0.01
        limit = max(change + change_limit_s, end + outage_limit_s)
        outages = [(start, start + 0.1), (second, end)]
        times = adoption_times(
            SilentStore(outages, [FIRST_CHANGE_S, change]),
            step,
            limits_s=(change_limit_s, outage_limit_s),
            until_s=limit + 20.0,
        )
        adopted = run_virtual(times)[3]
        if adopted > limit:
            late.append((round(start, 2), round(adopted - limit, 2)))
    assert not late


@pytest.mark.parametrize("response_s", [0.3, 0.7])
@pytest.mark.parametrize(("change_limit_s", "outage_limit_s"), LIMITS_S)
def test_a_change_is_in_force_in_time_if_the_read_after_a_lost_watch_is_slow(
    change_limit_s: float, outage_limit_s: float, response_s: float
) -> None:
    # Guards against a late configuration on a daemon whose link is slow: a watch is
    # lost at the end of an outage, and the long document takes its time after that.
    late = []
    for step in range(80):
        start = FIRST_CHANGE_S + response_s + 0.01
        end = start + 0.01 + step * 0.01
        change = end + 0.01
        limit = max(change + change_limit_s, end + outage_limit_s)
        store = SilentStore(
            [(start, end)], [FIRST_CHANGE_S, change], response_s=response_s
        )
        times = adoption_times(
            store,
            step,
            limits_s=(change_limit_s, outage_limit_s),
            until_s=limit + 20.0,
        )
        adopted = run_virtual(times)[3]
        if adopted > limit:
            late.append((step, round(adopted - limit, 2)))
    assert not late


@pytest.mark.parametrize("response_s", [0.005, 0.3, 0.7, 1.4])
@pytest.mark.parametrize("limit_s", [limit_s for limit_s, _ in LIMITS_S])
def test_a_late_response_does_not_confirm_a_configuration_beyond_the_limit(
    limit_s: float, response_s: float
) -> None:
    # Guards against a reset of callers of an added route because the response that
    # confirmed the configuration without it was under way for long, and the next one
    # was lost.
    for step in range(40):
        change = FIRST_CHANGE_S + 0.1 * step
        outage = change + response_s, change + 60.0
        store = SilentStore([outage], [change], response_s=response_s)
        stale = times_of_stale_confidence(store, step, limit_s=limit_s, until_s=30.0)
        assert run_virtual(stale) == []


def test_a_configuration_is_not_the_newest_if_the_stored_one_is_unreadable() -> None:
    # Guards against a reset of callers of a route that only the unreadable version has.
    store = SilentStore([], [FIRST_CHANGE_S])
    store.malformed_versions.add(2)
    stale = times_of_stale_confidence(store, 1, limit_s=3.0, until_s=30.0)
    assert run_virtual(stale) == []


def test_the_wait_of_a_watch_leaves_time_for_its_loss_and_a_slow_read() -> None:
    # Guards against a time limit that is raised without the wait that depends on it.
    assert (
        pytest.approx(WATCH_SLACK_S + BACKOFF_S[0] + CALL_TIMEOUT_S) == RETRY_RESERVE_S
    )
