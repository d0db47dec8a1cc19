"""Keeps aiohttp from repeating a request whose connection ended."""

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientHandlerType,
    ClientOSError,
    ClientRequest,
    ClientResponse,
    ConnectionTimeoutError,
    ServerDisconnectedError,
)


class ResponseLostError(ClientError):
    """The connection ended before the answer arrived; the request may have run."""


async def send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Send a request as aiohttp's client middleware, at most once.

    aiohttp repeats idempotent methods after a lost connection. The first try may
    have taken effect: a repeated swap would then fail and make a success look like
    a conflict, and repeats of a caller's request are the caller's decision.

    :raises ResponseLostError: if the connection ended before the answer arrived.
    """
    try:
        return await handler(request)
    except (ClientConnectorError, ConnectionTimeoutError):
        raise
    except (ClientOSError, ServerDisconnectedError) as error:
        raise ResponseLostError(str(error) or type(error).__name__) from error
