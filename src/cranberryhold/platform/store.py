"""Client of the platform's metadata store over its HTTP interface."""

from base64 import b64encode
from collections.abc import Callable
from typing import Any

import msgspec

from cranberryhold.exceptions import PeerError, StoreError
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.http_messages import HttpResponse
from cranberryhold.flows.leased_store import (
    UNKNOWN_EPOCH,
    ItemList,
    LeaseLostError,
    ReadResult,
    StoredItem,
    StoreHistoryLostError,
    StoreLease,
    StorePosition,
    WriteResult,
)
from cranberryhold.platform.store_messages import (
    RANGE_PATH,
    Events,
    Item,
    decode_body,
    decode_page,
    epoch_of,
    expect_success,
)

# Several times the response time of the store when it is slow.
CALL_TIMEOUT_S = 1.5
# A watch may be answered this much later than its wait time.
WATCH_SLACK_S = 0.75
_WATCH_PATH = "/kv-watch"
_TRANSACTION_PATH = "/kv-txn"
_LEASE_PATH = "/kv-lease"
_KEEP_PATH = "/kv-keep"
_LEASE_END_PATH = "/kv-lease-end"

_PLAIN_CHARACTERS = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789/.-_"
)

CallCounter = Callable[[str], None]


class _Conflict(msgspec.Struct):
    # Current state of the items that the write had conditions on; items that don't
    # exist are left out.
    items: list[Item] = []


class _Lease(msgspec.Struct):
    lease: int


class _Revision(msgspec.Struct):
    revision: int


class PlatformStore:
    """Implements :class:`~cranberryhold.flows.leased_store.LeasedStore`.

    :param client: HTTP client of the store.
    :param count: increments a counter by name; called once for each call.
    :param on_epoch: called with the epoch of the store at each response.
    """

    def __init__(
        self,
        client: HttpClient,
        count: CallCounter,
        on_epoch: Callable[[int], None] = lambda _: None,
    ) -> None:
        self._client = client
        self._count = count
        self._on_epoch = on_epoch
        self._newest_epoch = UNKNOWN_EPOCH

    async def get(self, key: str, *, prefix: str | None = None) -> ReadResult:
        """Return the current state of an item, and all other keys with the prefix."""
        # Unlike a read of one key, a list reports the store's revision even if the key
        # does not exist.
        items, position = await self._read({"prefix": prefix or key})
        item = next((item for item in items if item.key == key), None)
        other_keys = tuple(i.key for i in items if i.key != key) if prefix else ()
        return ReadResult(item, position, other_keys)

    async def list_items(self, prefix: str, *, may_be_stale: bool) -> ItemList:
        """Return all items whose key starts with the prefix, read page by page."""
        query: dict[str, object] = {"prefix": prefix}
        if may_be_stale:
            query["serializable"] = 1
        items, position = await self._read(query)
        return ItemList(items, position.epoch)

    async def _read(
        self, query: dict[str, object]
    ) -> tuple[list[StoredItem], StorePosition]:
        """Return the items of all pages, and the position of the first page."""
        found: list[StoredItem] = []
        position: StorePosition | None = None
        while True:
            page = decode_page(await self._call("GET", RANGE_PATH, query))
            found += page.items
            position = position or page.position
            if page.position.epoch != position.epoch:
                raise StoreHistoryLostError(
                    "the store was restored between two pages; read the list again",
                    step=RANGE_PATH,
                )
            if not page.truncated or not page.items:
                return found, position
            query["after"] = page.items[-1].key

    async def wait_for_change(
        self,
        key: str,
        position: StorePosition,
        wait_s: float,
        *,
        prefix: str | None = None,
    ) -> ReadResult:
        """Wait up to ``wait_s`` for a change of a key, or of any with the prefix."""
        query = {
            "prefix": prefix or key,
            "after": position.revision,
            "waitMs": int(wait_s * 1000),
        }
        response = await self._call(
            "GET", _WATCH_PATH, query, timeout_s=wait_s + WATCH_SLACK_S
        )
        epoch = epoch_of(response)
        # A restored store accepts a revision of before, once it has assigned it again.
        is_restored = response.status == 200 and epoch != position.epoch
        if response.status == 410 or is_restored:
            raise StoreHistoryLostError(
                "the store no longer has the changes since revision "
                f"{position.revision} of epoch {position.epoch} (now {epoch}); read "
                "the item again",
                step=_WATCH_PATH,
            )
        expect_success(response, _WATCH_PATH)
        found = decode_body(response, Events, _WATCH_PATH)
        changes = [e for e in found.events if e.key == key and not e.deleted]
        item = changes[-1].to_stored_item() if changes else None
        # The last event of each key tells whether it exists now.
        others = {e.key: e.deleted for e in found.events if prefix and e.key != key}
        return ReadResult(
            item,
            StorePosition(epoch, found.store_revision),
            tuple(name for name, deleted in others.items() if not deleted),
            tuple(name for name, deleted in others.items() if deleted),
        )

    async def grant_lease(self, ttl_s: float) -> StoreLease:
        """Create a lease."""
        response = await self._call(
            "POST", _LEASE_PATH, body={"ttlMs": int(ttl_s * 1000)}
        )
        expect_success(response, _LEASE_PATH)
        granted = decode_body(response, _Lease, _LEASE_PATH)
        return StoreLease(granted.lease, epoch_of(response))

    async def renew_lease(self, lease: StoreLease) -> None:
        """Restart the time to live of a lease."""
        response = await self._call("POST", f"{_KEEP_PATH}/{lease.lease_id}")
        _expect_lease(response, lease, _KEEP_PATH)
        expect_success(response, _KEEP_PATH)

    async def end_lease(self, lease: StoreLease) -> None:
        """Revoke a lease; the store deletes the items written under it."""
        if lease.epoch != self._newest_epoch:
            return
        response = await self._call("DELETE", f"{_LEASE_END_PATH}/{lease.lease_id}")
        if response.status != 404:
            expect_success(response, _LEASE_END_PATH)

    async def write(
        self, key: str, value: bytes, *, expected_revision: int, lease: StoreLease
    ) -> WriteResult:
        """Write if the item's revision is the expected one (0: no item)."""
        transaction = {
            "expected": [{"key": key, "revision": expected_revision}],
            "puts": [
                {
                    "key": key,
                    "value": b64encode(value).decode(),
                    "lease": lease.lease_id,
                }
            ],
            "deletes": [],
        }
        response = await self._call("POST", _TRANSACTION_PATH, body=transaction)
        _expect_lease(response, lease, _TRANSACTION_PATH)
        if response.status == 412:
            conflict = decode_body(response, _Conflict, _TRANSACTION_PATH)
            current = next((i for i in conflict.items if i.key == key), None)
            if current is None or not current.revision:
                return WriteResult(False, 0)
            stored = current.to_stored_item()
            return WriteResult(False, stored.revision, stored.value)
        expect_success(response, _TRANSACTION_PATH)
        written = decode_body(response, _Revision, _TRANSACTION_PATH)
        return WriteResult(True, written.revision)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        *,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpResponse:
        pairs = [f"{k}={_quoted(str(v))}" for k, v in (query or {}).items()]
        target = f"{path}?{'&'.join(pairs)}" if pairs else path
        content = msgspec.json.encode(body) if body is not None else b""
        try:
            response = await self._client.call(method, target, content, timeout_s)
        except PeerError as error:
            self._count("store_calls_unanswered")
            raise StoreError(error.message, step=error.step, peer=error.peer) from error
        self._count(f"store_calls_status_{response.status}")
        epoch = epoch_of(response)
        self._newest_epoch = max(self._newest_epoch, epoch)
        self._on_epoch(epoch)
        return response


def _quoted(value: str) -> str:
    """Return a value for a query; the keys of other writers may hold any characters."""
    if _PLAIN_CHARACTERS.issuperset(value):
        return value
    # Imported here, as it would delay the start of each process.
    from urllib.parse import quote

    return quote(value, safe="/")


def _expect_lease(response: HttpResponse, lease: StoreLease, step: str) -> None:
    """Raise an error unless the store still has a lease.

    A restored store may have assigned the id to another member.
    """
    is_restored = response.status == 200 and epoch_of(response) != lease.epoch
    if response.status == 404 or is_restored:
        raise LeaseLostError(
            f"lease {lease.lease_id} of epoch {lease.epoch} has ended; create a new "
            "one",
            step=step,
        )
