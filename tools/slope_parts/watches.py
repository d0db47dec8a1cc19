"""Cost of a blocking watch of the store, and the rate of calls to the store."""

import asyncio
from collections.abc import Iterator
from contextlib import AsyncExitStack

from cranberryhold.consul import ConsulStore
from cranberryhold.manifest.models import MANIFEST_KEY
from tools.clusters import MemoryStore, accepted_manifest, running_cluster
from tools.slope_parts.fits import Slope
from tools.slope_parts.meters import measure_memory
from tools.virtual_time import run_virtual

_WINDOW_S = 330.0
_MEMBERS_PER_ZONE = 8


def slopes(seed: int) -> Iterator[Slope]:
    """Yield memory and bytes per blocking watch, and the rate of calls by zones."""
    measured = [asyncio.run(_measure_watches(n)) for n in (8, 32, 64)]
    points = tuple((n, memory) for n, memory, _ in measured)
    yield Slope("watch.memory", "bytes", "waiting watch, both ends", points)
    points = tuple((n, sent) for n, _, sent in measured)
    yield Slope("watch.bytes", "bytes", "watch request", points)
    points = tuple((n, run_virtual(_call_rate(seed, n))) for n in (2, 4, 8))
    yield Slope("watch.calls", "calls/s", "zone", points)


async def _measure_watches(count: int) -> tuple[int, float, int]:
    """Block watches at a server that never answers; return count, memory and bytes."""
    received: list[int] = []
    all_received = asyncio.Event()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received.append(len(await reader.readuntil(b"\r\n\r\n")))
        if len(received) == count:
            all_received.set()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, AsyncExitStack() as stack:
        with measure_memory() as measurement:
            watches = []
            for _ in range(count):
                store_context = ConsulStore.open(f"http://127.0.0.1:{port}")
                store = await stack.enter_async_context(store_context)
                watch = store.watch(MANIFEST_KEY, 1, 55.0)
                watches.append(asyncio.create_task(watch))
            await all_received.wait()
        for watch in watches:
            watch.cancel()
        await asyncio.gather(*watches, return_exceptions=True)
    return count, measurement.value, sum(received)


async def _call_rate(seed: int, zones: int) -> float:
    store = MemoryStore()
    store.put(accepted_manifest(1))
    async with running_cluster(seed, zones=zones) as cluster:
        await cluster.start_all(zones * _MEMBERS_PER_ZONE, store=store)
        await asyncio.sleep(_WINDOW_S)
    return store.calls / _WINDOW_S
