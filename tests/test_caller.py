"""The caller library: no request runs twice, none is lost without being told."""

import asyncio
import json
import random

import pytest
from aioquic.h3.connection import ErrorCode

from cranberryhold.addresses import Address
from cranberryhold.caller import Caller, parse_url
from cranberryhold.exceptions import (
    AddressError,
    FeedRefusedError,
    KeyRequiredError,
    NotRunError,
    OutcomeUnknownError,
)
from cranberryhold.feeds import resume_by_sequence
from cranberryhold.manifest import RetryPolicy
from tests.h3_service import h3_service
from tests.waiting import until

KEY = "sealed-key"
FAST = RetryPolicy(attempts=3, budget_percent=100, backoff_ms=1)


def caller_of(service, files, retry=FAST):
    return Caller.connect(
        service.url,
        ca_file=str(files.certificate),
        retry=retry,
        rng=random.Random(1),
    )


def refuse(incoming):
    incoming.answer(503, b"no slot", cranberryhold_outcome="not-run")


def reject(incoming):
    incoming.reset(ErrorCode.H3_REQUEST_REJECTED)


def lose(incoming):
    incoming.answer(502, b"lost", cranberryhold_outcome="unknown")


def break_off(incoming):
    incoming.begin(200)
    incoming.reset(ErrorCode.H3_INTERNAL_ERROR)


def succeed(incoming):
    incoming.answer(200, incoming.headers.get("idempotency-key", "").encode())


def script(*steps):
    """Return a handler that answers each request with the next step."""
    left = list(steps)

    async def handler(incoming):
        await incoming.ended.wait()
        left.pop(0)(incoming)

    return handler


@pytest.mark.parametrize("refusal", [refuse, reject])
async def test_a_request_that_did_not_run_is_sent_again(files, refusal):
    handler = script(refusal, succeed)
    async with h3_service(files, handler) as s, caller_of(s, files) as caller:
        assert (await caller.request("POST", "/lines", body=b"x")).status == 200
        assert [r.body for r in s.requests] == [b"x", b"x"]


@pytest.mark.parametrize("loss", [lose, break_off])
async def test_a_lost_answer_is_repeated_only_where_that_is_safe(files, loss):
    async with (
        h3_service(files, script(loss, succeed, loss, succeed, loss)) as s,
        caller_of(s, files) as caller,
    ):
        assert (await caller.request("GET", "/")).status == 200
        keyed = await caller.request("POST", "/lines", idempotency_key=KEY)
        assert keyed.body == KEY.encode()
        with pytest.raises(OutcomeUnknownError) as caught:
            await caller.request("POST", "/lines")
        assert caught.value.peer in s.url
        assert len(s.requests) == 5


async def test_a_refused_repetition_does_not_hide_an_unknown_outcome(files):
    """Telling "not run" here would make the user post the line a second time."""
    handler = script(lose, refuse, refuse)
    async with h3_service(files, handler) as s, caller_of(s, files) as caller:
        with pytest.raises(OutcomeUnknownError):
            await caller.request("POST", "/lines", idempotency_key=KEY)


async def test_attempts_are_limited(files):
    async with (
        h3_service(files, script(*[refuse] * 9)) as s,
        caller_of(s, files) as caller,
    ):
        with pytest.raises(NotRunError, match="no slot"):
            await caller.request("GET", "/")
        assert len(s.requests) == FAST.attempts


async def test_extra_attempts_stay_within_the_budget(files):
    async def always(incoming):
        refuse(incoming)

    policy = RetryPolicy(budget_percent=10, backoff_ms=1)
    async with (
        h3_service(files, always) as s,
        caller_of(s, files, policy) as caller,
    ):
        for _ in range(100):
            with pytest.raises(NotRunError):
                await caller.request("GET", "/")
        assert 100 < len(s.requests) <= 100 + 10 + 10


async def test_the_deadline_is_sent_and_cancels_the_request(files):
    async def never(incoming):
        await asyncio.Event().wait()

    async with h3_service(files, never) as s, caller_of(s, files) as caller:
        with pytest.raises(OutcomeUnknownError, match="deadline"):
            await caller.request("GET", "/", deadline_s=0.1)
        await until(lambda: s.requests[0].cancel_code is not None)
        assert 0 < int(s.requests[0].headers["cranberryhold-deadline-ms"]) <= 100


async def test_cancelling_the_call_cancels_the_request(files):
    async def never(incoming):
        await asyncio.Event().wait()

    async with h3_service(files, never) as s, caller_of(s, files) as caller:
        call = asyncio.create_task(caller.request("POST", "/upload", body=b"x"))
        await until(lambda: s.requests)
        call.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call
        await until(lambda: s.requests[0].cancel_code is not None)
        following = asyncio.create_task(caller.request("GET", "/next"))
        await until(lambda: len(s.requests) == 2)
        succeed(s.requests[1])
        assert (await following).status == 200
        assert s.requests[1].connection is s.requests[0].connection


async def test_goaway_moves_new_requests_and_lets_running_ones_finish(files):
    async def hold_first(incoming):
        if incoming.path != "/running":
            succeed(incoming)

    async with h3_service(files, hold_first) as s, caller_of(s, files) as caller:
        running = asyncio.create_task(caller.request("GET", "/running"))
        await until(lambda: s.requests)
        s.connections[0].go_away(4)
        await until(lambda: not caller._connection_future.result().accepts_requests)
        assert (await caller.request("GET", "/new")).status == 200
        assert s.requests[1].connection is s.connections[1]
        s.requests[0].answer(200, b"whole")
        assert (await running).body == b"whole"
        await until(lambda: s.connections[0].lost)
        assert not s.connections[1].lost


async def test_a_lost_connection_is_opened_again(files):
    async with (
        h3_service(files, script(succeed, succeed)) as s,
        caller_of(s, files) as caller,
    ):
        await caller.request("GET", "/")
        s.connections[0].close()
        await until(lambda: not caller._connection_future.result().accepts_requests)
        assert (await caller.request("GET", "/")).status == 200


async def test_a_service_that_is_not_there_has_not_run_anything(files, monkeypatch):
    monkeypatch.setattr("cranberryhold.h3_client.CONNECT_TIMEOUT_S", 0.1)
    async with h3_service(files, script()) as service:
        url = service.url
    async with Caller.connect(url, insecure=True, retry=FAST) as caller:
        with pytest.raises(NotRunError):
            await caller.request("POST", "/lines", deadline_s=1)


async def test_a_required_key_is_handed_to_the_user(files):
    def demand(incoming):
        incoming.answer(428, cranberryhold_outcome="not-run", idempotency_key=KEY)

    handler = script(demand, succeed)
    async with h3_service(files, handler) as s, caller_of(s, files) as caller:
        with pytest.raises(KeyRequiredError) as caught:
            await caller.request("POST", "/lines")
        answer = await caller.request(
            "POST", "/lines", idempotency_key=caught.value.key
        )
        assert answer.body == KEY.encode()


async def test_a_new_key_comes_from_the_service(files):
    async with (
        h3_service(files, script(lambda r: r.answer(200, KEY.encode()))) as s,
        caller_of(s, files) as caller,
    ):
        assert await caller.new_idempotency_key() == KEY
        assert s.requests[0].path == "/.well-known/cranberryhold/idempotency-key"


def send_event(incoming, number):
    incoming.send(json.dumps({"sequence": number}).encode() + b"\n")


async def feed_service(incoming):
    """Open a feed that starts at the asked number with three events and a half."""
    start = int(incoming.path.partition("from=")[2] or 0)
    incoming.begin(200)
    for number in range(start, start + 3):
        send_event(incoming, number)
    incoming.send(b'{"sequence"')


def go_away(incoming):
    incoming.connection.go_away(incoming.stream_id + 4)


def close_connection(incoming):
    incoming.connection.close()


def reset_stream(incoming):
    incoming.reset(ErrorCode.H3_INTERNAL_ERROR)


@pytest.mark.parametrize("interrupt", [go_away, close_connection, reset_stream])
async def test_a_feed_goes_on_without_a_gap_or_a_repeat(files, interrupt):
    async with h3_service(files, feed_service) as s, caller_of(s, files) as caller:
        numbers = []
        feed = caller.feed("/feed")
        async for line in feed:
            numbers.append(json.loads(line)["sequence"])
            if len(numbers) == 12:
                break
            if len(numbers) % 3 == 0:
                interrupt(s.requests[-1])
        await feed.aclose()
        assert numbers == list(range(12))
        await until(lambda: s.requests[-1].cancel_code is not None)


async def test_a_feed_stays_on_the_old_connection_until_it_can_move(files):
    async def handler(incoming):
        if len(s.requests) == 2:
            refuse(incoming)
        else:
            await feed_service(incoming)

    async with h3_service(files, handler) as s, caller_of(s, files) as caller:
        feed = caller.feed("/feed")
        assert [json.loads(await anext(feed))["sequence"] for _ in range(3)] == [
            0,
            1,
            2,
        ]
        go_away(s.requests[0])
        following = asyncio.create_task(anext(feed))
        await until(lambda: len(s.requests) == 2)
        s.requests[0].send(b": 3}\n")
        assert json.loads(await following)["sequence"] == 3
        await feed.aclose()


async def test_a_feed_that_ends_ends_the_iteration(files):
    async def two(incoming):
        incoming.answer(200, b'{"sequence": 1}\n\n{"sequence": 2}')

    async with h3_service(files, two) as s, caller_of(s, files) as caller:
        assert len([line async for line in caller.feed("/feed")]) == 2


async def test_a_feed_that_does_not_exist_is_not_tried_again(files):
    async with (
        h3_service(files, script(lambda r: r.answer(404))) as s,
        caller_of(s, files) as caller,
    ):
        with pytest.raises(FeedRefusedError):
            await anext(caller.feed("/nothing"))
        assert len(s.requests) == 1


@pytest.mark.parametrize(
    "url", ["127.0.0.1:1", "http://h:1", "https://:1", "https://h:x"]
)
def test_other_urls_are_refused(url):
    with pytest.raises(AddressError):
        parse_url(url)


def test_a_service_without_a_port_is_at_443():
    assert Address(*parse_url("https://10.0.0.1/lines")) == Address("10.0.0.1", 443)


def test_a_feed_keeps_its_other_parameters():
    path = resume_by_sequence("/feed?board=2&from=3", b'{"sequence": 7}')
    assert path == "/feed?board=2&from=8"
