"""Request pipeline of a sidecar: outcomes, deadlines, draining, peers."""

import asyncio
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.exceptions import NotRunError, OutcomeUnknownError
from cranberryhold.requests.exchange import (
    IDEMPOTENCY_KEY_PATH,
    OUTCOME_HEADER,
    Request,
)
from tests.pipeline_fakes import LONG, SHORT, TargetGroup, get_response, post, service
from tools.virtual_time import run_virtual

pytestmark = pytest.mark.looptime


def single_target(seconds: float = 0.1, slots: int = 2):
    group = TargetGroup(1, lambda: service(slots), seconds)
    return group.pipelines[0], group.upstreams[0]


async def test_answer_of_the_upstream_is_returned_without_its_outcome_header() -> None:
    # Otherwise an upstream could report a request that it ran as not run.
    pipeline, upstream = single_target()
    upstream.headers = ((OUTCOME_HEADER, "not-run"), ("x-kept", "1"))
    async with pipeline(Request("GET", "/prices")) as response:
        assert response.outcome is None
        assert response.headers == (("x-kept", "1"),)
        assert pipeline.running == {"short": 1}
    assert pipeline.running == {}


@pytest.mark.parametrize(
    ("error", "status", "outcome"),
    [
        (NotRunError("refused"), 503, "not-run"),
        (OutcomeUnknownError("lost"), 502, "unknown"),
    ],
)
async def test_upstream_errors_map_to_distinct_outcomes(error, status, outcome) -> None:
    pipeline, upstream = single_target()
    upstream.error = error
    assert (await get_response(pipeline, Request("GET", "/")))[:2] == (status, outcome)


async def test_deadline_during_a_run_gives_unknown_and_cancels_the_run() -> None:
    pipeline, upstream = single_target(seconds=5.0)
    request = Request("GET", "/slow", (("cranberryhold-deadline-ms", "300"),))
    assert (await get_response(pipeline, request))[:2] == (504, "unknown")
    await asyncio.sleep(10)
    assert upstream.started == ["/slow"]
    assert upstream.finished == []


async def test_bad_deadline_is_refused_as_not_run() -> None:
    pipeline, upstream = single_target()
    bad = Request("GET", "/", (("cranberryhold-deadline-ms", "soon"),))
    assert (await get_response(pipeline, bad))[:2] == (400, "not-run")
    assert upstream.started == []


async def test_request_of_no_class_is_refused_as_not_run() -> None:
    group = TargetGroup(1, lambda: service(classes=(LONG,)))
    request = Request("GET", "/prices")
    response = await get_response(group.pipelines[0], request)
    assert response[:2] == (404, "not-run")
    assert group.upstreams[0].started == []


async def test_key_is_issued_and_required() -> None:
    pipeline, upstream = single_target()
    status, _, key = await get_response(pipeline, Request("GET", IDEMPOTENCY_KEY_PATH))
    assert status == 200
    assert (await get_response(pipeline, post("/lines", b"x")))[:2] == (428, "not-run")
    assert upstream.started == []
    keyed = post("/lines", b"x", ("idempotency-key", key.decode()))
    assert await get_response(pipeline, keyed) == (200, None, b"POST /lines x")


async def test_oversized_body_is_not_run_only_if_refused_before_the_upstream() -> None:
    pipeline, upstream = single_target()
    declared = post("/", b"", ("content-length", str(2**30)))
    assert (await get_response(pipeline, declared))[:2] == (413, "not-run")
    assert upstream.started == []

    async def endless():
        while True:
            await asyncio.sleep(0.001)
            yield b"x" * 2**20

    streamed = Request("POST", "/", (), endless())
    assert (await get_response(pipeline, streamed))[:2] == (413, "unknown")
    assert upstream.started == ["/"]


async def test_feeds_take_no_slot() -> None:
    pipeline, _ = single_target(seconds=0.1, slots=1)
    async with pipeline(Request("GET", "/feed")), pipeline(Request("GET", "/feed")):
        assert (await get_response(pipeline, Request("GET", "/")))[0] == 200
        assert pipeline.running == {"feed": 2}


async def test_drained_target_finishes_runs_and_answers_retries() -> None:
    pipeline, upstream = single_target(seconds=5.0)
    key = (await get_response(pipeline, Request("GET", IDEMPOTENCY_KEY_PATH)))[
        2
    ].decode()
    keyed = post("/lines", b"x", ("idempotency-key", key))
    running = asyncio.create_task(get_response(pipeline, keyed))
    await asyncio.sleep(1)
    pipeline.begin_drain(grace_s=0)
    assert (await get_response(pipeline, Request("GET", "/")))[:2] == (503, "not-run")
    await pipeline.wait_idle()
    retry = post("/lines", b"x", ("idempotency-key", key))
    assert await get_response(pipeline, retry) == await running
    assert upstream.started == ["/lines"]


async def test_draining_target_forwards_new_requests_during_the_grace_period() -> None:
    group = TargetGroup(3, service)
    group.pipelines[0].begin_drain(grace_s=3)
    assert (await get_response(group.pipelines[0], Request("GET", "/a")))[0] == 200
    assert group.upstreams[0].started == []
    await asyncio.sleep(4)
    late = await get_response(group.pipelines[0], Request("GET", "/b"))
    assert late[:2] == (503, "not-run")


@pytest.mark.parametrize("ticks", range(12))
async def test_slot_granted_to_a_cancelled_request_is_released(ticks) -> None:
    group = TargetGroup(2, lambda: service(1))
    group.peers.lost.add("t1")
    running = asyncio.create_task(get_response(group.pipelines[0], post("/a")))
    await asyncio.sleep(0.05)
    waiting = asyncio.create_task(get_response(group.pipelines[0], post("/b")))
    await running
    for _ in range(ticks):
        await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.sleep(1)
    assert group.pipelines[0].state()["admission"]["running"] == {}


async def test_unresponsive_peer_gives_unknown_after_the_deadline() -> None:
    group = TargetGroup(2, service)
    group.peers.frozen.add("t1")
    group.pipelines[0].begin_drain(grace_s=3)
    async with asyncio.timeout(11):
        assert (await get_response(group.pipelines[0], post("/")))[:2] == (
            504,
            "unknown",
        )


async def test_request_without_a_local_slot_runs_at_a_peer() -> None:
    group = TargetGroup(3, lambda: service(1), seconds=1.0)
    requests = [
        get_response(group.pipelines[0], Request("GET", f"/{i}")) for i in range(3)
    ]
    started = asyncio.get_running_loop().time()
    assert [a[0] for a in await asyncio.gather(*requests)] == [200, 200, 200]
    assert asyncio.get_running_loop().time() - started < 1.1
    assert [len(u.started) for u in group.upstreams] == [1, 1, 1]


@given(st.integers(0, 10**6))
def test_not_run_is_never_reported_for_a_started_request(seed: int) -> None:
    # Combines deadlines, body sizes, refusals, lost peers and drains at random.
    random = Random(seed)

    async def send_request(group: TargetGroup, number: int) -> None:
        await asyncio.sleep(random.random() / 2)
        chunks = random.choice((0, 1, 3, 5))

        async def body():
            for _ in range(chunks):
                await asyncio.sleep(random.choice((0, 0.05)))
                yield b"x" * 50_000

        deadline = str(random.choice((20, 120, 400, 5000)))
        headers = (("cranberryhold-deadline-ms", deadline),)
        path = f"/{random.choice(('upload/', ''))}{number}"
        request = Request("POST", path, headers, body())
        status, outcome, response_body = await get_response(
            random.choice(group.pipelines), request
        )
        started = [p for u in group.upstreams for p in u.started]
        assert started.count(path) <= 1
        if outcome == "not-run":
            assert path not in started
        if status == 200:
            assert response_body == f"POST {path} ".encode() + b"x" * 50_000 * chunks

    async def main() -> None:
        small = SHORT.model_copy(update={"max_body_bytes": 200_000})
        group = TargetGroup(3, lambda: service(1, classes=(LONG, small)))
        tasks = [asyncio.create_task(send_request(group, n)) for n in range(25)]
        await asyncio.sleep(random.random())
        group.peers.lost.add("t1")
        await asyncio.sleep(random.random() / 5)
        group.pipelines[0].begin_drain(0.2)
        await asyncio.gather(*tasks)
        for pipeline in group.pipelines:
            await pipeline.wait_idle()
            assert pipeline.running == {}
        await asyncio.sleep(0.3)
        for pipeline in group.pipelines:
            slots = pipeline.state()["admission"]
            assert (slots["running"], slots["waiting"], slots["offers"]) == ({}, {}, 0)

    run_virtual(main())
