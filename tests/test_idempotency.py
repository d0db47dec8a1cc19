"""Keyed requests run at most once despite retries, failures and forwarding."""

import asyncio
import contextlib
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.datapath.connection_ids import TargetRef
from cranberryhold.exceptions import NotRunError, OutcomeUnknownError
from cranberryhold.keys import KeyRing
from cranberryhold.requests.exchange import IDEMPOTENCY_KEY_PATH, Request
from cranberryhold.requests.idempotency import (
    KEY_LIFETIME_S,
    KeyIssuer,
    RecordTable,
    StoredResponse,
)
from tests.pipeline_fakes import RING, TargetGroup, get_response, post, service
from tools.virtual_time import run_virtual

pytestmark = pytest.mark.looptime


async def new_key(pipeline) -> str:
    return (await get_response(pipeline, Request("GET", IDEMPOTENCY_KEY_PATH)))[
        2
    ].decode()


def line_request(key: str, body: bytes = b"x", path: str = "/lines") -> Request:
    return post(path, body, ("idempotency-key", key))


@given(st.integers(0, 10**6))
def test_no_line_runs_twice_and_not_run_is_correct(seed: int) -> None:
    # Retries go to any target, concurrently or later; callers disconnect early and
    # targets fail. Each line may start once, and not at all if every attempt ended
    # with "not run".
    random = Random(seed)

    async def attempt(group: TargetGroup, key: str, number: int) -> str | None:
        await asyncio.sleep(random.choice((0, 0.05, 0.2, 2)))
        pipeline = random.choice(group.pipelines)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(random.choice((0.05, 0.15, None))):
                request = line_request(key, b"%d" % number, f"/lines/{number}")
                status, outcome, body = await get_response(pipeline, request)
                if status == 200:
                    expected = f"POST /lines/{number} {number}".encode()
                    assert body == expected
                return outcome or "answered"
        return None

    async def main() -> None:
        group = TargetGroup(3, lambda: service(1))
        for upstream in group.upstreams:
            upstream.suffix = b""
        keys = [await new_key(random.choice(group.pipelines)) for _ in range(5)]
        attempts = {
            n: [asyncio.create_task(attempt(group, k, n)) for _ in range(4)]
            for n, k in enumerate(keys)
        }
        if random.random() < 0.5:
            await asyncio.sleep(random.random() / 5)
            group.peers.lost.add("t0")
        if random.random() < 0.5:
            group.pipelines[1].begin_drain(0)
        outcomes = {n: await asyncio.gather(*a) for n, a in attempts.items()}
        await asyncio.gather(*(p.wait_idle() for p in group.pipelines))
        started = [path for u in group.upstreams for path in u.started]
        for number, reported in outcomes.items():
            assert started.count(f"/lines/{number}") <= 1
            if set(reported) == {"not-run"}:
                assert f"/lines/{number}" not in started

    run_virtual(main())


async def test_retries_during_and_after_the_run_get_the_first_response() -> None:
    group = TargetGroup(2, service)
    key = await new_key(group.pipelines[0])
    pipelines = (group.pipelines[0], group.pipelines[1], group.pipelines[0])
    answers = await asyncio.gather(
        *(get_response(p, line_request(key)) for p in pipelines)
    )
    answers.append(await get_response(group.pipelines[1], line_request(key)))
    assert set(answers) == {(200, None, b"POST /lines x")}
    assert [u.started for u in group.upstreams] == [["/lines"], []]


async def test_run_continues_when_its_caller_disconnects() -> None:
    group = TargetGroup(1, service)
    key = await new_key(group.pipelines[0])
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(
            get_response(group.pipelines[0], line_request(key)), 0.05
        )
    assert (await get_response(group.pipelines[0], line_request(key)))[0] == 200
    assert len(group.upstreams[0].started) == 1


async def test_cancelled_run_ends_its_body_with_an_unknown_outcome() -> None:
    # Without an error, the caller would take the part of the body for the whole.
    group = TargetGroup(1, service)
    key = await new_key(group.pipelines[0])
    (upstream,) = group.upstreams
    upstream.suffix = b"-" * 10
    upstream.seconds_between_chunks = 1.0
    async with group.pipelines[0](line_request(key)) as response:
        assert await anext(response.body) == b"POST /lines x"
        for task in group.pipelines[0]._executor._tasks:
            task.cancel()
        with pytest.raises(OutcomeUnknownError):
            async with asyncio.timeout(10):
                await anext(response.body)


async def test_run_cancelled_before_its_response_gives_unknown() -> None:
    group = TargetGroup(1, service)
    key = await new_key(group.pipelines[0])
    sending = asyncio.create_task(get_response(group.pipelines[0], line_request(key)))
    await asyncio.sleep(0.05)
    for task in group.pipelines[0]._executor._tasks:
        task.cancel()
    async with asyncio.timeout(10):
        assert (await sending)[:2] == (502, "unknown")


async def test_another_request_under_the_same_key_is_refused() -> None:
    group = TargetGroup(1, service)
    key = await new_key(group.pipelines[0])
    await get_response(group.pipelines[0], line_request(key))
    assert (await get_response(group.pipelines[0], line_request(key, b"y")))[0] == 422
    assert (
        await get_response(group.pipelines[0], line_request(key, b"x", "/lines/2"))
    )[0] == 422
    assert len(group.upstreams[0].started) == 1


async def test_large_response_is_complete_and_its_retry_gets_only_the_status() -> None:
    group = TargetGroup(1, service)
    group.upstreams[0].suffix = b"-" * 50_000
    key = await new_key(group.pipelines[0])
    first = await get_response(group.pipelines[0], line_request(key))
    assert first == (200, None, b"POST /lines x" + b"-" * 50_000)
    async with group.pipelines[0](line_request(key)) as response:
        assert (response.status, response.outcome) == (409, None)
        assert ("cranberryhold-ran", "200") in response.headers


@pytest.mark.parametrize(
    ("error", "first", "again"),
    [
        (NotRunError("no"), (503, "not-run"), (200, None)),
        (OutcomeUnknownError("lost"), (502, "unknown"), (502, "unknown")),
    ],
)
async def test_retry_runs_again_only_if_the_first_attempt_has_not_run(
    error, first, again
) -> None:
    group = TargetGroup(1, service)
    key = await new_key(group.pipelines[0])
    group.upstreams[0].error = error
    assert (await get_response(group.pipelines[0], line_request(key)))[:2] == first
    group.upstreams[0].error = None
    assert (await get_response(group.pipelines[0], line_request(key)))[:2] == again


async def test_key_of_a_lost_target_or_an_expired_key_gives_unknown() -> None:
    group = TargetGroup(2, service)
    key = await new_key(group.pipelines[0])
    group.peers.lost.add("t0")
    assert (await get_response(group.pipelines[1], line_request(key)))[:2] == (
        502,
        "unknown",
    )
    group.peers.lost.clear()
    await asyncio.sleep(KEY_LIFETIME_S)
    assert (await get_response(group.pipelines[0], line_request(key)))[:2] == (
        502,
        "unknown",
    )
    assert group.upstreams[0].started == []


async def test_keys_run_once_before_and_after_the_incarnation_is_raised() -> None:
    # Guards against keys that name an incarnation which the peers do not know, after
    # a process took a later incarnation than its clock gave.
    group = TargetGroup(2, service)
    first, second = group.pipelines
    keys = [await new_key(first)]
    raised = replace(group.peers.members[0], incarnation=200)
    group.peers.members[0] = raised
    first.change_incarnation(raised.incarnation)
    keys.append(await new_key(first))
    for key, pipelines in zip(keys, [(first, first), (second, first)], strict=True):
        for pipeline in pipelines:
            assert (await get_response(pipeline, line_request(key)))[0] == 200
    assert len(group.upstreams[0].started) == len(keys)
    assert group.upstreams[1].started == []


@given(st.data())
def test_altered_and_foreign_keys_are_rejected(data) -> None:
    own_target = TargetRef(TargetGroup.address(0), service().service_id, 100)

    async def main() -> None:
        clock = TargetGroup(0, service).clock
        issuer = KeyIssuer(RING, own_target, clock)
        key = issuer.issue()
        assert issuer.parse(key).target == own_target
        other = KeyIssuer(KeyRing({1: b"o" * 32}), own_target, clock)
        assert other.parse(key) is None
        position = data.draw(st.integers(0, len(key) - 2))
        character = data.draw(st.sampled_from("Ab0_~é"))
        if key[position] != character:
            altered = key[:position] + character + key[position + 1 :]
            assert issuer.parse(altered) is None

    run_virtual(main())


async def test_full_table_refuses_new_keys_and_evicts_only_expired_ones() -> None:
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
    # The third response exceeds the limit on stored responses; its record stays.
    assert [table.find(k).response.body for k in keys[:3]] == [b"x" * 10] * 2 + [None]
    await asyncio.sleep(KEY_LIFETIME_S)
    late = issuer.parse(issuer.issue())
    assert table.find(late) is None
    table.create(late, "POST /")
    assert len(table) == 1
    assert table.state()["answer_bytes"] == 0
