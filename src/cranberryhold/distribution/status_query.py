"""Asking members directly which generation they have in force."""

import asyncio

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.membership.links import Link, UdpLink
from cranberryhold.membership.messages import (
    Status,
    StatusRequest,
    decode_datagram,
    encode,
)


async def query_status(
    link_or_keys: Link | KeyRing, addresses: list[Address], timeout_s: float
) -> dict[Address, Status | None]:
    """Ask members directly which generation they have in force.

    :param link_or_keys: a link to use, or the key ring for a temporary UDP link.
    :return: the answer by address, None for members that did not answer in time.
    """
    if not isinstance(link_or_keys, KeyRing):
        return await _query(link_or_keys, addresses, timeout_s)
    link = await UdpLink.open(Address("0.0.0.0", 0), link_or_keys)
    try:
        return await _query(link, addresses, timeout_s)
    finally:
        await link.close()


async def _query(
    link: Link, addresses: list[Address], timeout_s: float
) -> dict[Address, Status | None]:
    answers: dict[Address, Status | None] = dict.fromkeys(addresses)
    for tries_left in (2, 1):
        missing = [a for a in addresses if answers[a] is None]
        for address in missing:
            link.send(encode(StatusRequest(addresses.index(address))), address)
        try:
            async with asyncio.timeout(timeout_s / 2):
                while any(answer is None for answer in answers.values()):
                    data, _ = await link.receive()
                    message = decode_datagram(data)
                    if isinstance(message, Status) and (
                        message.request_id < len(addresses)
                    ):
                        answers[addresses[message.request_id]] = message
        except (TimeoutError, PeerError):
            if tries_left == 1:
                break
    return answers
