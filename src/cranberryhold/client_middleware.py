"""aiohttp client middleware that disables automatic retries."""

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
    """The connection ended before the response arrived; the request may have run."""


async def send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Send a request at most once.

    aiohttp retries idempotent methods after a lost connection, although the first
    attempt may have taken effect. A retried compare-and-swap would then fail, so
    that a success looked like a conflict. Whether a caller's request is retried is
    the caller's decision.

    :raises ResponseLostError: if the connection ended before the response arrived.
    """
    try:
        return await handler(request)
    except (ClientConnectorError, ConnectionTimeoutError):
        raise
    except (ClientOSError, ServerDisconnectedError) as error:
        raise ResponseLostError(str(error) or type(error).__name__) from error
