"""Idempotency keys and the records that keep a request from running twice.

A key names the one target that may run its request, so that no agreement
between targets is needed. That target keeps a record for the whole life of the
key; a key without a record that is older than its life is never run.
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
from cranberryhold.connection_ids import TargetRef
from cranberryhold.exceptions import NotRunError, OutcomeUnknownError, SealError
from cranberryhold.exchange import Headers
from cranberryhold.keys import KeyRing

KEY_LIFETIME_S = 3600.0
MAX_RECORDS = 50_000
MAX_STORED_RESPONSE_BYTES = 16 * 1024
# 50,000 answers of full length would exceed the memory limit of a daemon.
MAX_TOTAL_RESPONSE_BYTES = 64 * 1024 * 1024
_LABEL = b"idempotency key"
_TOKEN = struct.Struct("!6sII8sd")
_NONCE_BYTES = 8


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """What a key says.

    :param target: the only target that may run the key's request.
    :param nonce: distinguishes the keys of one target.
    :param issued_at: wall time of the target that issued it, in seconds.
    """

    target: TargetRef
    nonce: bytes
    issued_at: float


class KeyIssuer:
    """Issues and reads keys, which are sealed with the key ring.

    :param target: the target that issues.
    """

    def __init__(self, keys: KeyRing, target: TargetRef, clock: Clock) -> None:
        self._keys = keys
        self._target = target
        self._clock = clock

    def issue(self) -> str:
        """Return a fresh key, in letters that a header or URL may carry."""
        token = _TOKEN.pack(
            self._target.address.pack(),
            self._target.service_id,
            self._target.incarnation,
            os.urandom(_NONCE_BYTES),
            self._clock.wall(),
        )
        sealed = self._keys.seal(_LABEL, token)
        return base64.urlsafe_b64encode(sealed).rstrip(b"=").decode()

    def parse(self, text: str | None) -> IdempotencyKey | None:
        """Return what a key says, or None if no target of this service issued it."""
        try:
            padded = (text or "").encode("ascii") + b"=" * (-len(text or "") % 4)
            token = self._keys.unseal(_LABEL, base64.b64decode(padded, b"-_", True))
            address, service, incarnation, nonce, issued = _TOKEN.unpack(token)
        except (SealError, binascii.Error, struct.error, ValueError):
            return None
        if service != self._target.service_id:
            return None
        target = TargetRef(Address.unpack(address), service, incarnation)
        return IdempotencyKey(target, nonce, issued)


class RecordState(Enum):
    """What has become of the request of a key."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """The first answer; ``body`` is None if it was too large to keep."""

    status: int
    headers: Headers
    body: bytes | None


class Record:
    """The request of one key.

    :param head: method and path of the request.
    """

    __slots__ = ("answer", "digest", "done", "expires_at", "head", "nonce", "state")

    def __init__(self, nonce: bytes, head: str, expires_at: float) -> None:
        self.nonce = nonce
        self.head = head
        self.expires_at = expires_at
        self.state = RecordState.RUNNING
        self.digest: bytes | None = None
        self.answer: StoredResponse | None = None
        self.done: asyncio.Future[None] | None = (
            asyncio.get_running_loop().create_future()
        )

    def matches(self, head: str, digest: bytes) -> bool:
        """Whether a repeat is the same request.

        The digest is None if the upstream answered without reading the whole
        body; method and path are compared then.
        """
        return self.head == head and self.digest in (None, digest)


class RecordTable:
    """Records of one target, each kept until the life of its key has ended.

    :param limit: records that may be kept; further keys are refused as not run.
    """

    def __init__(
        self,
        clock: Clock,
        limit: int = MAX_RECORDS,
        answers_limit: int = MAX_TOTAL_RESPONSE_BYTES,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._answers_limit = answers_limit
        self._records: dict[bytes, Record] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def state(self) -> dict[str, object]:
        """Return what a state dump shows."""
        states = Counter(record.state.value for record in self._records.values())
        return {"records": dict(states), "answer_bytes": self._answers_bytes}

    def find(self, key: IdempotencyKey) -> Record | None:
        """Return the record of a key, or None if its request has not run.

        :raises OutcomeUnknownError: if the life of the key has ended.
        """
        self._evict()
        if self._clock.wall() >= key.issued_at + KEY_LIFETIME_S:
            raise OutcomeUnknownError(
                "the life of the idempotency key has ended", step="find record"
            )
        return self._records.get(key.nonce)

    def create(self, key: IdempotencyKey, head: str) -> Record:
        """Begin the record of a key whose request is about to run.

        :raises NotRunError: if the table is full.
        """
        if len(self._records) >= self._limit:
            raise NotRunError(
                "not run: too many idempotency keys in use", step="open record"
            )
        record = Record(key.nonce, head, key.issued_at + KEY_LIFETIME_S)
        self._records[key.nonce] = record
        heapq.heappush(self._expiries, (record.expires_at, key.nonce))
        return record

    def mark_answered(self, record: Record, answer: StoredResponse) -> None:
        """Keep the first answer, or only the fact that the request has run."""
        size = _size(answer)
        if (
            size > MAX_STORED_RESPONSE_BYTES
            or self._answers_bytes + size > self._answers_limit
        ):
            answer = StoredResponse(answer.status, (), None)
            size = 0
        self._answers_bytes += size
        record.answer = answer
        self._close(record, RecordState.ANSWERED)

    def mark_unknown(self, record: Record) -> None:
        """Note that the request may have run; its repeats are told so."""
        self._close(record, RecordState.UNKNOWN)

    def discard_not_run(self, record: Record) -> None:
        """Forget a request that has certainly not run; its key may be used again."""
        self._records.pop(record.nonce, None)
        self._close(record, RecordState.NOT_RUN)

    def _close(self, record: Record, state: RecordState) -> None:
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
            if record.answer is not None:
                self._answers_bytes -= _size(record.answer)


def _size(answer: StoredResponse) -> int:
    return len(answer.body or b"") + sum(len(k) + len(v) for k, v in answer.headers)
