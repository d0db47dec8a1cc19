"""The caller library through the emulated network, entry instances and sidecars."""

import asyncio
import hashlib
import json
import random
from contextlib import aclosing

import pytest

from cranberryhold.caller import Caller
from cranberryhold.exceptions import KeyRequiredError, OutcomeUnknownError
from cranberryhold.manifest.models import RetryPolicy
from emulator.upstream import Behaviour
from tests.small_site import small_site
from tests.waiting import until


@pytest.fixture
async def site(files):
    async with small_site(files) as site:
        yield site


def connect_caller(site, files):
    return Caller.connect(
        site.url,
        ca_file=str(files.certificate),
        retry=RetryPolicy(backoff_ms=5),
        rng=random.Random(1),
    )


@pytest.fixture
async def caller(site, files):
    async with connect_caller(site, files) as caller:
        yield caller


def line(number):
    return json.dumps({"id": f"line-{number}"}).encode()


async def test_an_upload_arrives_complete(caller):
    data = random.Random(1).randbytes(700_000)
    response = await caller.request("POST", "/upload", body=data, deadline_s=30)
    assert json.loads(response.body)["sha256"] == hashlib.sha256(data).hexdigest()


async def test_a_lost_response_never_makes_a_line_run_twice(site, caller):
    key = await caller.new_idempotency_key()
    target = site.connected_target()
    target.upstream.behaviour = Behaviour(crash_answers=1)
    with pytest.raises(OutcomeUnknownError):
        await caller.request(
            "POST", "/lines", body=line(1), idempotency_key=key, deadline_s=5
        )
    assert target.upstream.executions == {"line-1": 1}


async def test_a_retried_line_gets_the_stored_response(site, caller):
    key = await caller.new_idempotency_key()
    responses = [
        await caller.request("POST", "/lines", body=line(1), idempotency_key=key)
        for _ in range(2)
    ]
    assert responses[0].body == responses[1].body
    assert site.connected_target().upstream.executions == {"line-1": 1}


async def test_a_line_without_a_key_gets_one_and_does_not_run(site, caller):
    with pytest.raises(KeyRequiredError) as caught:
        await caller.request("POST", "/lines", body=line(1))
    assert not site.connected_target().upstream.executions
    response = await caller.request(
        "POST", "/lines", body=line(1), idempotency_key=caught.value.key
    )
    assert response.status == 200


async def test_a_cancelled_request_is_cancelled_at_the_upstream(site, caller):
    call = asyncio.create_task(caller.request("GET", "/?work_ms=60000", deadline_s=9))
    await until(lambda: sum(t.upstream.counts["started"] for t in site.targets))
    call.cancel()
    upstream = site.connected_target().upstream
    await until(lambda: upstream.counts["cancelled"] == 1)


async def test_feeds_and_requests_move_away_from_a_drained_target(site, caller):
    numbers, instances = [], set()
    draining = None
    async with aclosing(caller.feed("/feed")) as feed:
        async for event in parse_lines(feed):
            numbers.append(event["sequence"])
            instances.add(event["instance"])
            if len(numbers) == 5:
                draining_target = site.connected_target()
                site.drain(draining_target)
                draining = asyncio.create_task(draining_target.sidecar.drain(0, 60))
            if len(instances) == 2 and len(numbers) > 20:
                break
    assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))
    response = await caller.request("GET", "/")
    assert json.loads(response.body)["instance"] != draining_target.member.node_id
    assert await draining == 0


async def test_lost_and_reordered_packets_lose_no_line_and_no_event(files):
    async with (
        small_site(files, loss=0.05, jitter_ms=5) as site,
        connect_caller(site, files) as caller,
        aclosing(caller.feed("/feed")) as feed,
    ):
        for number in range(20):
            key = await caller.new_idempotency_key()
            response = await caller.request(
                "POST",
                "/lines",
                body=line(number),
                idempotency_key=key,
                deadline_s=30,
            )
            assert response.status == 200
        numbers = [json.loads(await anext(feed))["sequence"] for _ in range(50)]
        assert numbers == list(range(numbers[0], numbers[0] + 50))
        runs = [dict(t.upstream.executions) for t in site.targets]
        assert {} in runs
        assert {f"line-{number}": 1 for number in range(20)} in runs


async def parse_lines(lines):
    async for item in lines:
        yield json.loads(item)
