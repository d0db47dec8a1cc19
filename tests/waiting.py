"""Waiting for conditions in tests."""

import asyncio
from collections.abc import Callable

_POLL_S = 0.002


async def until(condition: Callable[[], object], limit_s: float = 10.0) -> None:
    """Poll until the condition is true.

    :raises TimeoutError: if it is still false after the limit.
    """
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110 - conditions of several objects
            await asyncio.sleep(_POLL_S)
