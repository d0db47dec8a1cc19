"""State dump: a live member tells its state, and one that is gone is an error."""

import asyncio
import io
import os
import signal

import pytest
from loguru import logger

from cranberryhold.addresses import Address
from cranberryhold.control import ControlServer
from cranberryhold.dump import DumpRequest, dump_handler, dump_on_signal, request_dump
from cranberryhold.exceptions import PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.logs import setup_logs

ANY_PORT = Address("127.0.0.1", 0)


async def test_member_answers_with_its_present_state() -> None:
    keys = KeyRing.generate()
    state = {"flows": 0, "address": Address("127.0.0.1", 1)}
    handlers = {DumpRequest: dump_handler(lambda: state)}
    async with ControlServer(keys, ANY_PORT, handlers).serving() as server:
        state["flows"] = 5
        answer = await request_dump(keys, server.address, 5.0)
    assert answer == {"flows": 5, "address": "127.0.0.1:1"}


async def test_member_that_is_gone_is_named() -> None:
    keys = KeyRing.generate()
    async with ControlServer(keys, ANY_PORT).serving() as server:
        gone = server.address
    with pytest.raises(PeerError) as caught:
        await request_dump(keys, gone, 0.2)
    assert caught.value.peer == str(gone)


async def test_signal_writes_the_state_to_the_log() -> None:
    stream = io.StringIO()
    setup_logs("INFO", stream)
    called = asyncio.Event()

    def state() -> dict[str, object]:
        called.set()
        return {"flows": 5}

    with dump_on_signal(state):
        os.kill(os.getpid(), signal.SIGUSR1)
        await asyncio.wait_for(called.wait(), 5.0)
    logger.remove()
    assert 'event=state-dump state="{\\"flows\\":5}"' in stream.getvalue()
