"""The platform's metadata store over its HTTP interface."""

from base64 import b64encode
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from cranberryhold.exceptions import PeerError, StoreError
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.leased_store import (
    LeaseLostError,
    ReadResult,
    StoredItem,
    StoreHistoryLostError,
    WriteResult,
)
from cranberryhold.platform.store_messages import RANGE_PATH, Events, Item, Page

# Several times the store's answer on a slow day.
CALL_TIMEOUT_S = 1.5
# A waiting call may be answered this much later than asked.
WATCH_SLACK_S = 1.0
_WATCH = "/kv-watch"
_TXN = "/kv-txn"
_LEASE = "/kv-lease"
_KEEP = "/kv-keep"
_LEASE_END = "/kv-lease-end"

CallCounter = Callable[[str], None]
_T = TypeVar("_T")


class _Conflict(msgspec.Struct):
    # Present state of the items that the write expected; absent ones are left out.
    items: list[Item] = []


class _Lease(msgspec.Struct):
    lease: int


class _Revision(msgspec.Struct):
    revision: int


class PlatformStore:
    """Implements :class:`~cranberryhold.flows.leased_store.LeasedStore`.

    :param client: client of the store's address.
    :param count: takes the outcome of each call.
    """

    def __init__(self, client: HttpClient, count: CallCounter) -> None:
        self._client = client
        self._count = count

    async def get(self, key: str) -> ReadResult:
        """Return the present state of an item."""
        # An absent key has no answer that names the store's revision, a list has.
        status, body = await self._call("GET", RANGE_PATH, {"prefix": key})
        page = self._decode(status, body, Page, RANGE_PATH)
        item = next((item.stored() for item in page.items if item.key == key), None)
        return ReadResult(item, page.store_revision)

    async def list_items(self, prefix: str, *, may_be_stale: bool) -> list[StoredItem]:
        """Return all items whose key begins with the prefix, page by page."""
        found: list[StoredItem] = []
        query: dict[str, object] = {"prefix": prefix}
        if may_be_stale:
            query["serializable"] = 1
        while True:
            status, body = await self._call("GET", RANGE_PATH, query)
            page = self._decode(status, body, Page, RANGE_PATH)
            found += [item.stored() for item in page.items]
            if not page.truncated or not page.items:
                return found
            query["after"] = page.items[-1].key

    async def wait_for_change(
        self, key: str, store_revision: int, wait_s: float
    ) -> ReadResult:
        """Return what a key became after a revision, at the latest after ``wait_s``."""
        query = {"prefix": key, "after": store_revision, "waitMs": int(wait_s * 1000)}
        status, body = await self._call(
            "GET", _WATCH, query, timeout_s=wait_s + WATCH_SLACK_S
        )
        if status == 410:
            raise StoreHistoryLostError(
                "the store's history was cut; read the item anew", step=_WATCH
            )
        answer = self._decode(status, body, Events, _WATCH)
        newest = [e for e in answer.events if e.key == key and not e.deleted]
        item = newest[-1].stored() if newest else None
        return ReadResult(item, answer.store_revision)

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        status, body = await self._call(
            "POST", _LEASE, body={"ttlMs": int(ttl_s * 1000)}
        )
        return self._decode(status, body, _Lease, _LEASE).lease

    async def renew_lease(self, lease: int) -> None:
        """Let a lease run anew."""
        status, _ = await self._call("POST", f"{_KEEP}/{lease}")
        if status == 404:
            raise LeaseLostError("the lease has ended; take a new one", step=_KEEP)
        self._expect_success(status, _KEEP)

    async def end_lease(self, lease: int) -> None:
        """End a lease; the store drops what was written under it."""
        status, _ = await self._call("DELETE", f"{_LEASE_END}/{lease}")
        if status != 404:
            self._expect_success(status, _LEASE_END)

    async def write(
        self, key: str, value: bytes, *, expected_revision: int, lease: int
    ) -> WriteResult:
        """Write if the item's revision is the expected one (0: no item)."""
        change = {
            "expected": [{"key": key, "revision": expected_revision}],
            "puts": [{"key": key, "value": b64encode(value).decode(), "lease": lease}],
            "deletes": [],
        }
        status, body = await self._call("POST", _TXN, body=change)
        if status == 404:
            raise LeaseLostError("the lease has ended; take a new one", step=_TXN)
        if status == 412:
            conflict = self._decode(200, body, _Conflict, _TXN)
            present = next((i for i in conflict.items if i.key == key), None)
            if present is None or not present.revision:
                return WriteResult(False, 0)
            stored = present.stored()
            return WriteResult(False, stored.revision, stored.value)
        return WriteResult(True, self._decode(status, body, _Revision, _TXN).revision)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        *,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        # Keys and numbers need no escapes: keys are paths of plain names.
        pairs = [f"{name}={value}" for name, value in (query or {}).items()]
        target = f"{path}?{'&'.join(pairs)}" if pairs else path
        content = msgspec.json.encode(body) if body is not None else b""
        try:
            status, answer = await self._client.call(method, target, content, timeout_s)
        except PeerError as error:
            self._count("store_calls_unanswered")
            raise StoreError(error.message, step=error.step, peer=error.peer) from error
        self._count(f"store_calls_status_{status}")
        return status, answer

    def _decode(self, status: int, body: bytes, kind: type[_T], step: str) -> _T:
        self._expect_success(status, step)
        try:
            return msgspec.json.decode(body, type=kind)
        except (msgspec.MsgspecError, ValueError) as error:
            raise StoreError(f"malformed answer: {error}", step=step) from error

    def _expect_success(self, status: int, step: str) -> None:
        if status != 200:
            raise StoreError(f"the store answered with status {status}", step=step)
