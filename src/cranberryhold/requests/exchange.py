"""Requests and responses, independent of the protocol that carries them."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from enum import StrEnum

OUTCOME_HEADER = "cranberryhold-outcome"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "cranberryhold-deadline-ms"
IDEMPOTENCY_KEY_PATH = "/.well-known/cranberryhold/idempotency-key"

Headers = tuple[tuple[str, str], ...]


class Outcome(StrEnum):
    """Whether a request ran, in responses that the load balancer itself generates."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


async def empty_body() -> AsyncIterator[bytes]:
    """Return an empty body."""
    return
    yield b""


async def bytes_body(data: bytes) -> AsyncIterator[bytes]:
    """Return a body of one chunk."""
    if data:
        yield data


@dataclass(slots=True)
class Request:
    """A request as received.

    :param method: HTTP method.
    :param path: path with query.
    :param headers: lower-case names and values, without pseudo-headers.
    :param body: the body's chunks; can be read once.
    :param deadline: monotonic time by which the response is due.
    :param passed_on: whether a peer target passed the request on to this one.
    :param offer_id: id of the slot that this target offered to that peer, or 0.
    """

    method: str
    path: str
    headers: Headers = ()
    body: AsyncIterator[bytes] = field(default_factory=empty_body)
    deadline: float = float("inf")
    passed_on: bool = False
    offer_id: int = 0

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        return first_header(self.headers, name)


@dataclass(slots=True)
class Response:
    """A response; its body can be read once, within the handler's context."""

    status: int
    headers: Headers = ()
    body: AsyncIterator[bytes] = field(default_factory=empty_body)

    @property
    def outcome(self) -> Outcome | None:
        """Outcome stated by the load balancer; None if the upstream responded."""
        value = first_header(self.headers, OUTCOME_HEADER)
        return Outcome(value) if value else None


Handler = Callable[[Request], AbstractAsyncContextManager[Response]]
"""Runs a request and yields its response; leaving the context early cancels it."""


def first_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None."""
    return next((value for key, value in headers if key == name), None)


def error_response(
    status: int, outcome: Outcome, reason: str, *extra_headers: tuple[str, str]
):
    """Return a response of the load balancer with an outcome and a readable reason."""
    headers = (
        (OUTCOME_HEADER, outcome.value),
        ("content-type", "text/plain; charset=utf-8"),
        *extra_headers,
    )
    return Response(status, headers, bytes_body(f"{reason}\n".encode()))
