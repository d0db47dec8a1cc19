"""Idempotency keys and the records that prevent a request from running twice.

A key names the only target that may run its request, so targets need no agreement
among them. That target keeps a record until the key expires; a request whose key
has expired is never run.
"""

import asyncio
import base64
import binascii
import heapq
import os
import struct
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock
from cranberryhold.datapath.connection_ids import TargetRef
from cranberryhold.exceptions import NotRunError, OutcomeUnknownError, SealError
from cranberryhold.keys import KeyRing
from cranberryhold.requests.exchange import Headers

KEY_LIFETIME_S = 3600.0
MAX_RECORDS = 50_000
MAX_STORED_RESPONSE_BYTES = 16 * 1024
# 50,000 responses of the maximum size would exceed the memory limit of a daemon.
MAX_TOTAL_RESPONSE_BYTES = 64 * 1024 * 1024
_LABEL = b"idempotency key"
_TOKEN = struct.Struct("!6sII8sd")
_NONCE_BYTES = 8


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """The content of a key.

    :param target: the only target that may run the key's request.
    :param nonce: distinguishes the keys of one target.
    :param issued_at: wall-clock time at the target that issued it, in seconds.
    """

    target: TargetRef
    nonce: bytes
    issued_at: float


class KeyIssuer:
    """Issues and parses keys, which are sealed with the key ring.

    :ivar target: the target that issues the keys.
    """

    def __init__(self, keys: KeyRing, target: TargetRef, clock: Clock) -> None:
        self.target = target
        self._keys = keys
        self._clock = clock

    def issue(self) -> str:
        """Return a new key, in URL-safe base64."""
        token = _TOKEN.pack(
            self.target.address.pack(),
            self.target.service_id,
            self.target.incarnation,
            os.urandom(_NONCE_BYTES),
            self._clock.wall(),
        )
        sealed = self._keys.seal(_LABEL, token)
        return base64.urlsafe_b64encode(sealed).rstrip(b"=").decode()

    def parse(self, text: str | None) -> IdempotencyKey | None:
        """Return the content of a key, or None if this service did not issue it."""
        try:
            padded = (text or "").encode("ascii") + b"=" * (-len(text or "") % 4)
            token = self._keys.unseal(_LABEL, base64.b64decode(padded, b"-_", True))
            address, service, incarnation, nonce, issued = _TOKEN.unpack(token)
        except (SealError, binascii.Error, struct.error, ValueError):
            return None
        if service != self.target.service_id:
            return None
        target = TargetRef(Address.unpack(address), service, incarnation)
        return IdempotencyKey(target, nonce, issued)


class RecordState(Enum):
    """State of the request that a key belongs to."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Response of the first run; ``body`` is None if it was too large to store."""

    status: int
    headers: Headers
    body: bytes | None


class Record:
    """State of the request of one key.

    :param request_line: method and path of the request.
    """

    __slots__ = (
        "digest",
        "done",
        "expires_at",
        "nonce",
        "request_line",
        "response",
        "state",
    )

    def __init__(self, nonce: bytes, request_line: str, expires_at: float) -> None:
        self.nonce = nonce
        self.request_line = request_line
        self.expires_at = expires_at
        self.state = RecordState.RUNNING
        self.digest: bytes | None = None
        self.response: StoredResponse | None = None
        self.done: asyncio.Future[None] | None = (
            asyncio.get_running_loop().create_future()
        )

    def matches(self, request_line: str, digest: bytes) -> bool:
        """Return whether a retry is the same request as the first one.

        The digest is None if the upstream responded before it had read the whole
        body; only method and path are compared then.
        """
        return self.request_line == request_line and self.digest in (None, digest)


class RecordTable:
    """Records of one target, each kept until its key expires.

    :param limit: maximum number of records; further keys are refused as not run.
    :param response_bytes_limit: maximum total size of the stored responses.
    """

    def __init__(
        self,
        clock: Clock,
        limit: int = MAX_RECORDS,
        response_bytes_limit: int = MAX_TOTAL_RESPONSE_BYTES,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._response_bytes_limit = response_bytes_limit
        self._records: dict[bytes, Record] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._response_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def state(self) -> dict[str, object]:
        """Return what a state dump shows."""
        states = Counter(record.state.value for record in self._records.values())
        return {"records": dict(states), "answer_bytes": self._response_bytes}

    def find(self, key: IdempotencyKey) -> Record | None:
        """Return the record of a key, or None if its request has not run.

        :raises OutcomeUnknownError: if the key has expired.
        """
        self._evict()
        if self._clock.wall() >= key.issued_at + KEY_LIFETIME_S:
            raise OutcomeUnknownError(
                "the life of the idempotency key has ended", step="find record"
            )
        return self._records.get(key.nonce)

    def create(self, key: IdempotencyKey, request_line: str) -> Record:
        """Create the record of a key whose request is about to run.

        :raises NotRunError: if the table is full.
        """
        if len(self._records) >= self._limit:
            raise NotRunError(
                "not run: too many idempotency keys in use", step="open record"
            )
        record = Record(key.nonce, request_line, key.issued_at + KEY_LIFETIME_S)
        self._records[key.nonce] = record
        heapq.heappush(self._expiries, (record.expires_at, key.nonce))
        return record

    def mark_answered(self, record: Record, response: StoredResponse) -> None:
        """Store the response, or only its status if it is too large."""
        size = _response_size(response)
        if (
            size > MAX_STORED_RESPONSE_BYTES
            or self._response_bytes + size > self._response_bytes_limit
        ):
            response = StoredResponse(response.status, (), None)
            size = 0
        self._response_bytes += size
        record.response = response
        self._finish(record, RecordState.ANSWERED)

    def mark_unknown(self, record: Record) -> None:
        """Record that the request may have run; retries get an unknown outcome."""
        self._finish(record, RecordState.UNKNOWN)

    def discard_not_run(self, record: Record) -> None:
        """Delete the record of a request that has not run; its key may be reused."""
        self._records.pop(record.nonce, None)
        self._finish(record, RecordState.NOT_RUN)

    def _finish(self, record: Record, state: RecordState) -> None:
        record.state = state
        done, record.done = record.done, None
        if done is not None and not done.done():
            done.set_result(None)

    def _evict(self) -> None:
        now = self._clock.wall()
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, nonce = heapq.heappop(self._expiries)
            record = self._records.get(nonce)
            if record is None or record.expires_at != expires_at:
                continue
            if record.state is RecordState.RUNNING:
                record.expires_at = now + KEY_LIFETIME_S
                heapq.heappush(self._expiries, (record.expires_at, nonce))
                continue
            del self._records[nonce]
            if record.response is not None:
                self._response_bytes -= _response_size(record.response)


def _response_size(response: StoredResponse) -> int:
    return len(response.body or b"") + sum(len(k) + len(v) for k, v in response.headers)
