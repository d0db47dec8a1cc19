"""Keyed requests run at most once, whatever repeats, loses or passes them."""

import asyncio
import contextlib
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.connection_ids import TargetRef
from cranberryhold.exceptions import NotRunError, OutcomeUnknownError
from cranberryhold.exchange import IDEMPOTENCY_KEY_PATH, Request
from cranberryhold.idempotency import (
    KEY_LIFETIME_S,
    KeyIssuer,
    RecordTable,
    StoredResponse,
)
from cranberryhold.keys import KeyRing
from tests.pipeline_fakes import RING, TargetGroup, answer, post, service
from tools.virtual_time import run_virtual

pytestmark = pytest.mark.looptime


async def fresh_key(pipeline) -> str:
    return (await answer(pipeline, Request("GET", IDEMPOTENCY_KEY_PATH)))[2].decode()


def line(key: str, body: bytes = b"x", path: str = "/lines") -> Request:
    return post(path, body, ("idempotency-key", key))


@given(st.integers(0, 10**6))
def test_no_line_runs_twice_and_not_run_is_true(seed: int) -> None:
    # Repeats go to any target, at the same time or later, callers leave early,
    # targets die; each line may start once, and a last "not run" means never.
    random = Random(seed)

    async def attempt(fleet: TargetGroup, key: str, number: int) -> str | None:
        await asyncio.sleep(random.choice((0, 0.05, 0.2, 2)))
        pipeline = random.choice(fleet.pipelines)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(random.choice((0.05, 0.15, None))):
                request = line(key, b"%d" % number, f"/lines/{number}")
                status, outcome, body = await answer(pipeline, request)
                if status == 200:
                    expected = f"POST /lines/{number} {number}".encode()
                    assert body == expected
                return outcome or "answered"
        return None

    async def main() -> None:
        fleet = TargetGroup(3, lambda: service(1))
        for upstream in fleet.upstreams:
            upstream.extra = b""
        keys = [await fresh_key(random.choice(fleet.pipelines)) for _ in range(5)]
        attempts = {
            n: [asyncio.create_task(attempt(fleet, k, n)) for _ in range(4)]
            for n, k in enumerate(keys)
        }
        if random.random() < 0.5:
            await asyncio.sleep(random.random() / 5)
            fleet.peers.lost.add("t0")
        if random.random() < 0.5:
            fleet.pipelines[1].begin_drain(0)
        outcomes = {n: await asyncio.gather(*a) for n, a in attempts.items()}
        await asyncio.gather(*(p.wait_idle() for p in fleet.pipelines))
        started = [path for u in fleet.upstreams for path in u.started]
        for number, told in outcomes.items():
            assert started.count(f"/lines/{number}") <= 1
            if set(told) == {"not-run"}:
                assert f"/lines/{number}" not in started

    run_virtual(main())


async def test_repeats_during_and_after_the_run_get_the_first_answer() -> None:
    fleet = TargetGroup(2, service)
    key = await fresh_key(fleet.pipelines[0])
    pipelines = (fleet.pipelines[0], fleet.pipelines[1], fleet.pipelines[0])
    answers = await asyncio.gather(*(answer(p, line(key)) for p in pipelines))
    answers.append(await answer(fleet.pipelines[1], line(key)))
    assert set(answers) == {(200, None, b"POST /lines x")}
    assert [u.started for u in fleet.upstreams] == [["/lines"], []]


async def test_run_goes_on_when_its_caller_leaves() -> None:
    fleet = TargetGroup(1, service)
    key = await fresh_key(fleet.pipelines[0])
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(answer(fleet.pipelines[0], line(key)), 0.05)
    assert (await answer(fleet.pipelines[0], line(key)))[0] == 200
    assert len(fleet.upstreams[0].started) == 1


async def test_another_request_under_the_same_key_is_refused() -> None:
    fleet = TargetGroup(1, service)
    key = await fresh_key(fleet.pipelines[0])
    await answer(fleet.pipelines[0], line(key))
    assert (await answer(fleet.pipelines[0], line(key, b"y")))[0] == 422
    assert (await answer(fleet.pipelines[0], line(key, b"x", "/lines/2")))[0] == 422
    assert len(fleet.upstreams[0].started) == 1


async def test_large_answer_is_whole_and_its_repeat_is_told_that_it_ran() -> None:
    fleet = TargetGroup(1, service)
    fleet.upstreams[0].extra = b"-" * 50_000
    key = await fresh_key(fleet.pipelines[0])
    first = await answer(fleet.pipelines[0], line(key))
    assert first == (200, None, b"POST /lines x" + b"-" * 50_000)
    async with fleet.pipelines[0](line(key)) as response:
        assert (response.status, response.outcome) == (409, None)
        assert ("cranberryhold-ran", "200") in response.headers


@pytest.mark.parametrize(
    ("error", "first", "again"),
    [
        (NotRunError("no"), (503, "not-run"), (200, None)),
        (OutcomeUnknownError("lost"), (502, "unknown"), (502, "unknown")),
    ],
)
async def test_key_may_run_again_only_if_it_has_not_run(error, first, again) -> None:
    fleet = TargetGroup(1, service)
    key = await fresh_key(fleet.pipelines[0])
    fleet.upstreams[0].error = error
    assert (await answer(fleet.pipelines[0], line(key)))[:2] == first
    fleet.upstreams[0].error = None
    assert (await answer(fleet.pipelines[0], line(key)))[:2] == again


async def test_key_of_a_lost_target_or_past_its_life_is_unknown() -> None:
    fleet = TargetGroup(2, service)
    key = await fresh_key(fleet.pipelines[0])
    fleet.peers.lost.add("t0")
    assert (await answer(fleet.pipelines[1], line(key)))[:2] == (502, "unknown")
    fleet.peers.lost.clear()
    await asyncio.sleep(KEY_LIFETIME_S)
    assert (await answer(fleet.pipelines[0], line(key)))[:2] == (502, "unknown")
    assert fleet.upstreams[0].started == []


@given(st.data())
def test_altered_and_foreign_keys_are_not_read(data) -> None:
    fleet_target = TargetRef(TargetGroup.address(0), service().service_id, 100)

    async def main() -> None:
        clock = TargetGroup(0, service).clock
        issuer = KeyIssuer(RING, fleet_target, clock)
        key = issuer.issue()
        assert issuer.parse(key).target == fleet_target
        other = KeyIssuer(KeyRing({1: b"o" * 32}), fleet_target, clock)
        assert other.parse(key) is None
        position = data.draw(st.integers(0, len(key) - 2))
        letter = data.draw(st.sampled_from("Ab0_~é"))
        if key[position] != letter:
            altered = key[:position] + letter + key[position + 1 :]
            assert issuer.parse(altered) is None

    run_virtual(main())


async def test_full_table_refuses_new_keys_and_drops_only_ended_ones() -> None:
    clock = TargetGroup(0, service).clock
    target = TargetRef(TargetGroup.address(0), 1, 1)
    issuer = KeyIssuer(RING, target, clock)
    table = RecordTable(clock, limit=3, response_bytes_limit=20)
    keys = [issuer.parse(issuer.issue()) for _ in range(4)]
    for key in keys[:3]:
        table.mark_answered(
            table.create(key, "POST /"), StoredResponse(200, (), b"x" * 10)
        )
    with pytest.raises(NotRunError):
        table.create(keys[3], "POST /")
    # The third answer exceeds the memory for answers; its record stays.
    assert [table.find(k).response.body for k in keys[:3]] == [b"x" * 10] * 2 + [None]
    await asyncio.sleep(KEY_LIFETIME_S)
    late = issuer.parse(issuer.issue())
    assert table.find(late) is None
    table.create(late, "POST /")
    assert len(table) == 1
    assert table.state()["answer_bytes"] == 0
