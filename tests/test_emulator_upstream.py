"""The emulated upstream follows its configured behaviour and faults."""

import asyncio
import hashlib
import json

import aiohttp
import pytest

from cranberryhold.addresses import Address
from cranberryhold.requests.exchange import DEADLINE_HEADER
from emulator.upstream import Behaviour, Upstream, build_parser, serve_upstream
from tests.waiting import until

LOOPBACK = Address("127.0.0.1", 0)


@pytest.fixture
def upstream():
    return Upstream("t1")


@pytest.fixture
async def session(upstream):
    async with (
        serve_upstream(upstream, LOOPBACK) as address,
        aiohttp.ClientSession(f"http://{address}") as session,
    ):
        yield session


async def read_json(session, path):
    async with session.get(path) as response:
        return await response.json()


async def test_counts_each_execution_of_a_line(session):
    for line in ("a", "b", "a"):
        async with session.post("/lines", json={"id": line}) as response:
            assert response.status == 200
    assert await read_json(session, "/lines") == {"a": 2, "b": 1}


async def test_upload_returns_digest_and_size(session):
    data = bytes(range(256)) * 1000
    async with session.post("/upload", data=data) as response:
        answer = await response.json()
    assert answer["sha256"] == hashlib.sha256(data).hexdigest()
    assert answer["size"] == len(data)


async def test_feed_resumes_at_the_requested_number_without_a_gap(session, upstream):
    upstream.behaviour = Behaviour(feed_interval_ms=5)
    async with session.get("/feed?from=1000&events=50") as response:
        numbers = [json.loads(line)["sequence"] async for line in response.content]
    assert numbers == list(range(1000, 1050))


async def test_a_waiting_request_counts_as_load(session, upstream):
    upstream.behaviour = Behaviour(slots=1)
    running = asyncio.create_task(read_json(session, "/?work_ms=60000"))
    await until(lambda: upstream.counts["started"] == 1)
    waiting = asyncio.create_task(read_json(session, "/"))
    await until(lambda: upstream._waiting)
    assert (await read_json(session, "/health"))["load"] == 2
    running.cancel()
    assert await waiting == {"instance": "t1"}
    assert upstream.counts["cancelled"] == 1


async def test_requests_beyond_the_queue_limit_are_shed(session, upstream):
    upstream.behaviour = Behaviour(queue_limit=0)
    async with session.get("/") as response:
        assert response.status == 503
    assert upstream.counts["started"] == 0


async def test_request_ends_at_its_deadline(session, upstream):
    headers = {DEADLINE_HEADER: "5"}
    async with session.get("/?work_ms=60000", headers=headers) as response:
        assert response.status == 504


async def test_health_report_can_be_false_and_delayed(session, upstream):
    await read_json(session, "/health")
    async with session.post(
        "/control", json={"draining": True, "health_lag_s": 3600, "load_says": 0.1}
    ) as response:
        assert response.status == 200
    report = await read_json(session, "/health")
    assert (report["state"], report["load"]) == ("ok", 0.1)
    upstream.behaviour = Behaviour(draining=True)
    assert (await read_json(session, "/health"))["state"] == "draining"


async def test_a_crash_truncates_one_answer_after_the_line_ran(session, upstream):
    upstream.behaviour = Behaviour(crash_answers=1)
    with pytest.raises(aiohttp.ClientError):
        async with session.post("/lines", json={"id": "a"}) as response:
            await response.read()
    async with session.post("/lines", json={"id": "a"}) as response:
        assert (await response.json())["executions"] == 2


def test_command_line_options_set_the_behaviour():
    flags = ["--slots", "3", "--draining", "--load-says", "0"]
    options = build_parser().parse_args(
        ["--listen", "127.0.0.1:1", "--name", "t1", *flags]
    )
    assert (options.slots, options.draining, options.load_says) == (3, True, 0.0)
