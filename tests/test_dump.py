"""State dump: by a control call to a live or a stopped member, and by SIGUSR1."""

import asyncio
import io
import os
import signal

import pytest
from loguru import logger

from cranberryhold.addresses import Address
from cranberryhold.dump import DumpRequest, dump_handler, dump_on_signal, request_dump
from cranberryhold.exceptions import PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.logs import setup_logs
from cranberryhold.membership.control import ControlServer

ANY_PORT = Address("127.0.0.1", 0)


async def test_member_replies_with_its_current_state() -> None:
    keys = KeyRing.generate()
    state = {"flows": 0, "address": Address("127.0.0.1", 1)}
    handlers = {DumpRequest: dump_handler(lambda: state)}
    async with ControlServer(keys, ANY_PORT, handlers).serving() as server:
        state["flows"] = 5
        answer = await request_dump(keys, server.address, 5.0)
    assert answer == {"flows": 5, "address": "127.0.0.1:1"}


async def test_error_names_a_stopped_member() -> None:
    keys = KeyRing.generate()
    async with ControlServer(keys, ANY_PORT).serving() as server:
        stopped = server.address
    with pytest.raises(PeerError) as caught:
        await request_dump(keys, stopped, 0.2)
    assert caught.value.peer == str(stopped)


async def test_signal_logs_the_state() -> None:
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
