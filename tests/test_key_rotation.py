"""A key that was withdrawn is refused by real processes, also after a restart."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from cranberryhold.addresses import Address
from cranberryhold.distribution import query_status
from cranberryhold.keys import KeyRing
from tools.processes import ProcessManager, free_addresses, process_manager

OLD, NEW = "1:" + "11" * 32, "2:" + "22" * 32
QUERY_TIMEOUT_S = 2.0


@asynccontextmanager
async def entry_instance(
    processes: ProcessManager, control: Address, keys: str
) -> AsyncIterator[None]:
    """Run an entry instance with a key ring inside the context."""
    (forward,) = free_addresses(1)
    process = await processes.start(
        "e1",
        "cranberryhold",
        *("entry", "--node-id", "e1", "--zone", "a", "--region", "r"),
        *("--control-address", str(control), "--forward-address", str(forward)),
        *("--listen-address", "127.0.0.1"),
        environment={"CRANBERRYHOLD_KEYS": keys},
    )
    await process.wait_for_output("event=node-started")
    try:
        yield
    finally:
        await processes.stop()


async def answers(control: Address, first: str, second: str) -> bool:
    """Whether the instance answers a status request that is sealed with a key.

    :param first: key that seals the request; its sender knows both.
    """
    ring = KeyRing.parse(f"{first},{second}")
    return (await query_status(ring, [control], QUERY_TIMEOUT_S))[control] is not None


async def test_a_withdrawn_key_is_refused_after_a_restart() -> None:
    # Guards against a restarted process that accepts messages of a member which still
    # uses a key that was withdrawn while it was paused.
    (control,) = free_addresses(1)
    async with process_manager() as processes:
        async with entry_instance(processes, control, f"{OLD},{NEW}"):
            assert await answers(control, OLD, NEW)
            assert await answers(control, NEW, OLD)
        async with entry_instance(processes, control, NEW):
            assert await answers(control, NEW, OLD)
            assert not await answers(control, OLD, NEW)
