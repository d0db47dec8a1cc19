"""Checks whether a program listens at a target's address."""

import asyncio

from cranberryhold.addresses import Address

CONNECT_TIMEOUT_S = 0.5


async def target_listens(address: Address) -> bool | None:
    """Open a TCP connection and close it without sending a request.

    :return: False if the connection was refused, which shows that the target's
        process has ended; None if there was no answer, which is inconclusive.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(address.ip, address.port)
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return None
    writer.close()
    return True
