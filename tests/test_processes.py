"""Process manager: it reports how processes end and leaves none running."""

import os
import signal

import pytest

from tools.processes import ProcessError, free_addresses, process_manager

UPSTREAM = ("emulator.upstream", "--name", "t1", "--listen")


def is_running(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


async def test_a_process_is_ready_when_it_prints_so_and_ends_with_the_context():
    (address,) = free_addresses(1)
    async with process_manager() as processes:
        process = await processes.start("t1", *UPSTREAM, str(address))
        assert str(address) in await process.wait_for_output("event=listening")
        assert processes.running == [process]
        assert is_running(process.pid)
    assert not is_running(process.pid)


async def test_a_process_that_ends_early_is_reported_with_its_output():
    async with process_manager() as processes:
        process = await processes.start("t1", *UPSTREAM, "nonsense")
        with pytest.raises(ProcessError, match="not an address"):
            await process.wait_for_output("event=listening")
        assert processes.running == []


async def test_the_exit_code_of_a_killed_process_is_its_signal():
    (address,) = free_addresses(1)
    async with process_manager() as processes:
        process = await processes.start("t1", *UPSTREAM, str(address))
        process.signal(signal.SIGKILL)
        assert await process.wait_ended() == -signal.SIGKILL
        assert await processes.stop() == {}


def test_free_addresses_differ():
    assert len(set(free_addresses(50))) == 50
