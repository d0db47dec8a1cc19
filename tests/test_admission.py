"""Admission: slots are neither leaked nor left idle, and short requests get theirs."""

import asyncio
import contextlib
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.clock import SystemClock
from cranberryhold.exceptions import NotRunError
from cranberryhold.manifest.models import ClassKind
from cranberryhold.requests.admission import Admission
from tests.pipeline_fakes import LONG, SHORT
from tools.virtual_time import run_virtual

NEVER = float("inf")


def admission(slots: int = 2) -> Admission:
    return Admission(lambda: slots, SystemClock())


async def run_request(slots: Admission, request_class, seconds: float, deadline=NEVER):
    slots.record_arrival(request_class)
    async with slots.slot(request_class, deadline):
        await asyncio.sleep(seconds)


async def run_in_sequence(
    slots: Admission, request_class, seconds: float, count: int
) -> None:
    for _ in range(count):
        await run_request(slots, request_class, seconds)


@given(st.integers(0, 10**6), st.integers(1, 4))
def test_no_slot_is_leaked_or_granted_twice(seed: int, count: int) -> None:
    # Cancelled waiters, expired offers and refusals must all release their slot.
    random = Random(seed)

    async def use_slots(slots: Admission) -> None:
        request_class = random.choice((SHORT, LONG))
        await asyncio.sleep(random.random())
        action = random.random()
        if action < 0.3:
            offer = slots.offer(request_class)
            if action < 0.1:
                slots.withdraw(offer)
            elif action < 0.2:
                await asyncio.sleep(random.choice((0.1, 0.2, 0.3)))
                async with slots.slot(request_class, NEVER, offer):
                    await asyncio.sleep(0.05)
            return
        deadline = asyncio.get_running_loop().time() + random.choice((0.1, 1.0, 60.0))
        with contextlib.suppress(NotRunError, TimeoutError):
            async with asyncio.timeout(random.choice((0.05, 0.1, None))):
                await run_request(
                    slots, request_class, random.choice((0, 0.1)), deadline
                )

    async def main() -> None:
        slots = admission(count)
        tasks = [asyncio.create_task(use_slots(slots)) for _ in range(30)]
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0.003)
            load = slots.load
            assert 0 <= load.running <= count
            short = slots.state()["waiting"].get("short")
            assert not (short and load.running < count), (
                "a slot is free while short requests wait"
            )
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.3)
        assert (slots.load.running, slots.load.waiting) == (0, 0)
        assert slots.state()["waiting"] == {}

    run_virtual(main())


@pytest.mark.looptime
async def test_long_requests_use_all_slots_without_short_requests() -> None:
    slots = admission(3)
    await asyncio.wait_for(
        asyncio.gather(*(run_request(slots, LONG, 1) for _ in range(3))), 1.1
    )


@pytest.mark.looptime
async def test_recent_short_requests_reserve_slots_until_demand_ends() -> None:
    slots = admission(4)
    await asyncio.gather(*(run_in_sequence(slots, SHORT, 0.05, 100) for _ in range(2)))
    assert slots.reserved == 3
    uploads = [asyncio.create_task(run_request(slots, LONG, 100)) for _ in range(4)]
    await asyncio.sleep(0.05)
    assert slots.state()["running"] == {str(ClassKind.LONG): 1}
    await asyncio.sleep(60)
    assert slots.state()["running"] == {str(ClassKind.LONG): 4}
    await asyncio.gather(*uploads)


@pytest.mark.looptime
async def test_short_requests_go_first_but_do_not_starve_long_ones() -> None:
    slots = admission(1)
    stop = asyncio.Event()

    async def send_short_requests() -> None:
        while not stop.is_set():
            await run_request(slots, SHORT, 0.1)

    load = [asyncio.create_task(send_short_requests()) for _ in range(3)]
    await asyncio.sleep(1)
    started = asyncio.get_running_loop().time()
    async with slots.slot(LONG, NEVER):
        waited = asyncio.get_running_loop().time() - started
    stop.set()
    await asyncio.gather(*load)
    assert 4.9 < waited < 5.5


@pytest.mark.looptime
async def test_request_that_cannot_meet_its_deadline_is_refused_at_once() -> None:
    slots = admission(1)
    await run_request(slots, SHORT, 1.0)
    loop = asyncio.get_running_loop()
    running = [asyncio.create_task(run_request(slots, SHORT, 1.0)) for _ in range(3)]
    await asyncio.sleep(0)
    started = loop.time()
    with pytest.raises(NotRunError, match="deadline"):
        await slots.acquire(SHORT, started + 3.0)
    assert loop.time() == started
    await asyncio.gather(*running)


@pytest.mark.looptime
async def test_wrong_estimate_does_not_refuse_requests_forever() -> None:
    # A single slow run must not make an idle target refuse all later requests.
    slots = admission(1)
    await run_request(slots, SHORT, 100.0)
    await run_request(slots, SHORT, 0.1, asyncio.get_running_loop().time() + 1.0)


@pytest.mark.looptime
async def test_request_beyond_the_queue_limit_is_refused() -> None:
    slots = admission(1)
    limited = SHORT.model_copy(update={"queue_limit": 1})
    running = [asyncio.create_task(run_request(slots, limited, 1)) for _ in range(2)]
    await asyncio.sleep(0)
    with pytest.raises(NotRunError, match="full"):
        await slots.acquire(limited, NEVER)
    await asyncio.gather(*running)
