"""Requests at one sidecar: outcomes, deadlines, draining."""

import asyncio

import pytest

from cranberryhold.exceptions import NotRunError, OutcomeUnknownError
from cranberryhold.exchange import KEY_PATH, OUTCOME_HEADER, Request
from tests.requests_support import Fleet, answer, post, service

pytestmark = pytest.mark.looptime


def one(seconds: float = 0.1, slots: int = 2):
    fleet = Fleet(1, lambda: service(slots), seconds)
    return fleet.pipelines[0], fleet.upstreams[0]


async def test_answer_of_the_upstream_is_returned_without_its_outcome_header() -> None:
    # An upstream could otherwise claim that a request it ran was not run.
    pipeline, upstream = one()
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
async def test_errors_of_the_upstream_are_told_apart(error, status, outcome) -> None:
    pipeline, upstream = one()
    upstream.error = error
    assert (await answer(pipeline, Request("GET", "/")))[:2] == (status, outcome)


async def test_deadline_after_the_start_is_unknown_and_cancels_the_run() -> None:
    pipeline, upstream = one(seconds=5.0)
    request = Request("GET", "/slow", (("cranberryhold-deadline-ms", "300"),))
    assert (await answer(pipeline, request))[:2] == (504, "unknown")
    await asyncio.sleep(10)
    assert upstream.started == ["/slow"]
    assert upstream.finished == []


async def test_unknown_class_and_bad_deadline_are_refused_as_not_run() -> None:
    pipeline, upstream = one()
    bad = Request("GET", "/", (("cranberryhold-deadline-ms", "soon"),))
    assert (await answer(pipeline, bad))[:2] == (400, "not-run")
    assert upstream.started == []


async def test_key_is_issued_and_asked_for() -> None:
    pipeline, upstream = one()
    status, _, key = await answer(pipeline, Request("GET", KEY_PATH))
    assert status == 200
    assert (await answer(pipeline, post("/lines", b"x")))[:2] == (428, "not-run")
    assert upstream.started == []
    keyed = post("/lines", b"x", ("idempotency-key", key.decode()))
    assert await answer(pipeline, keyed) == (200, None, b"POST /lines x")


async def test_body_over_the_limit_is_not_run_only_before_the_upstream() -> None:
    pipeline, upstream = one()
    declared = post("/", b"", ("content-length", str(2**30)))
    assert (await answer(pipeline, declared))[:2] == (413, "not-run")
    assert upstream.started == []

    async def endless():
        while True:
            await asyncio.sleep(0.001)
            yield b"x" * 2**20

    streamed = Request("POST", "/", (), endless())
    assert (await answer(pipeline, streamed))[:2] == (413, "unknown")
    assert upstream.started == ["/"]


async def test_feeds_take_no_slot() -> None:
    pipeline, _ = one(seconds=0.1, slots=1)
    async with pipeline(Request("GET", "/feed")), pipeline(Request("GET", "/feed")):
        assert (await answer(pipeline, Request("GET", "/")))[0] == 200
        assert pipeline.running == {"feed": 2}


async def test_drained_target_finishes_what_runs_and_answers_repeats() -> None:
    pipeline, upstream = one(seconds=5.0)
    key = (await answer(pipeline, Request("GET", KEY_PATH)))[2].decode()
    keyed = post("/lines", b"x", ("idempotency-key", key))
    running = asyncio.create_task(answer(pipeline, keyed))
    await asyncio.sleep(1)
    pipeline.begin_drain(grace_s=0)
    assert (await answer(pipeline, Request("GET", "/")))[:2] == (503, "not-run")
    await pipeline.wait_idle()
    repeat = post("/lines", b"x", ("idempotency-key", key))
    assert await answer(pipeline, repeat) == await running
    assert upstream.started == ["/lines"]


async def test_draining_target_passes_new_requests_for_the_grace() -> None:
    fleet = Fleet(3, service)
    fleet.pipelines[0].begin_drain(grace_s=3)
    assert (await answer(fleet.pipelines[0], Request("GET", "/a")))[0] == 200
    assert fleet.upstreams[0].started == []
    await asyncio.sleep(4)
    late = await answer(fleet.pipelines[0], Request("GET", "/b"))
    assert late[:2] == (503, "not-run")


async def test_request_without_a_local_slot_runs_at_a_peer() -> None:
    fleet = Fleet(3, lambda: service(1), seconds=1.0)
    requests = [answer(fleet.pipelines[0], Request("GET", f"/{i}")) for i in range(3)]
    started = asyncio.get_running_loop().time()
    assert [a[0] for a in await asyncio.gather(*requests)] == [200, 200, 200]
    assert asyncio.get_running_loop().time() - started < 1.1
    assert [len(u.started) for u in fleet.upstreams] == [1, 1, 1]
