"""Slots: none is lost, none idles beside work, short work keeps its share."""

import asyncio
import contextlib
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.admission import Admission
from cranberryhold.clock import SystemClock
from cranberryhold.exceptions import NotRunError
from cranberryhold.manifest import ClassKind
from tests.pipeline_fakes import LONG, SHORT
from tools.virtual_time import run_virtual

NEVER = float("inf")


def admission(slots: int = 2) -> Admission:
    return Admission(lambda: slots, SystemClock())


async def hold(slots: Admission, request_class, seconds: float, deadline=NEVER):
    slots.record_arrival(request_class)
    async with slots.slot(request_class, deadline):
        await asyncio.sleep(seconds)


async def work(slots: Admission, request_class, seconds: float, count: int) -> None:
    for _ in range(count):
        await hold(slots, request_class, seconds)


@given(st.integers(0, 10**6), st.integers(1, 4))
def test_no_slot_is_lost_or_given_twice(seed: int, count: int) -> None:
    # Cancelled waiters, lapsed offers and refusals must all give back their slot.
    random = Random(seed)

    async def actor(slots: Admission) -> None:
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
                await hold(slots, request_class, random.choice((0, 0.1)), deadline)

    async def main() -> None:
        slots = admission(count)
        tasks = [asyncio.create_task(actor(slots)) for _ in range(30)]
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0.003)
            load = slots.load
            assert 0 <= load.running <= count
            short = slots.state()["waiting"].get("short")
            assert not (short and load.running < count), "a slot idles beside work"
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.3)
        assert (slots.load.running, slots.load.waiting) == (0, 0)
        assert slots.state()["waiting"] == {}

    run_virtual(main())


@pytest.mark.looptime
async def test_long_requests_use_all_slots_without_short_work() -> None:
    slots = admission(3)
    await asyncio.wait_for(
        asyncio.gather(*(hold(slots, LONG, 1) for _ in range(3))), 1.1
    )


@pytest.mark.looptime
async def test_recent_short_work_keeps_slots_free_and_gives_them_up_again() -> None:
    slots = admission(4)
    await asyncio.gather(*(work(slots, SHORT, 0.05, 100) for _ in range(2)))
    assert slots.reserved == 3
    uploads = [asyncio.create_task(hold(slots, LONG, 100)) for _ in range(4)]
    await asyncio.sleep(0.05)
    assert slots.state()["running"] == {str(ClassKind.LONG): 1}
    await asyncio.sleep(60)
    assert slots.state()["running"] == {str(ClassKind.LONG): 4}
    await asyncio.gather(*uploads)


@pytest.mark.looptime
async def test_short_requests_overtake_but_do_not_starve_long_ones() -> None:
    slots = admission(1)
    stop = asyncio.Event()

    async def shorts() -> None:
        while not stop.is_set():
            await hold(slots, SHORT, 0.1)

    load = [asyncio.create_task(shorts()) for _ in range(3)]
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
    await hold(slots, SHORT, 1.0)
    loop = asyncio.get_running_loop()
    running = [asyncio.create_task(hold(slots, SHORT, 1.0)) for _ in range(3)]
    await asyncio.sleep(0)
    started = loop.time()
    with pytest.raises(NotRunError, match="deadline"):
        await slots.acquire(SHORT, started + 3.0)
    assert loop.time() == started
    await asyncio.gather(*running)


@pytest.mark.looptime
async def test_wrong_estimate_does_not_refuse_for_ever() -> None:
    # A single slow run must not close an idle target to all later requests.
    slots = admission(1)
    await hold(slots, SHORT, 100.0)
    await hold(slots, SHORT, 0.1, asyncio.get_running_loop().time() + 1.0)


@pytest.mark.looptime
async def test_queue_limit_of_a_class() -> None:
    slots = admission(1)
    limited = SHORT.model_copy(update={"queue_limit": 1})
    running = [asyncio.create_task(hold(slots, limited, 1)) for _ in range(2)]
    await asyncio.sleep(0)
    with pytest.raises(NotRunError, match="full"):
        await slots.acquire(limited, NEVER)
    await asyncio.gather(*running)
