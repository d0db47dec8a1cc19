"""Stand-in for the users' metadata store with fault injection.

It implements the part of the published protocol that the package uses, keeps its
state in memory, and can drop responses, fail requests, discard its history and return
to an earlier state.
"""

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from copy import deepcopy
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from cranberryhold.addresses import Address
from cranberryhold.flows.http_server import Request, Response, serving_http
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.structs import replace

FIRST_REVISION = 10
PAGE_ITEMS = 500
FIRST_ERA = 1
ERA_HEADER = "Store-Era"


@dataclass(slots=True)
class _Item:
    value: str
    revision: int
    created_revision: int
    lease: int


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class StoreCopy:
    """The state of a store at one time."""

    items: dict[str, _Item]
    leases: dict[int, _Lease]
    history: list[dict[str, object]]
    compacted_revision: int
    revision: int


class MetadataStore:
    """State and request handlers of the store.

    Faults are injected by setting the public attributes.

    :ivar error_status: status with which all requests fail, or None.
    :ivar responses_to_drop: number of further writes that take effect but get no
        response.
    :ivar unresponsive: whether no request gets a response; requests that arrive or
        wait meanwhile never get one.
    :ivar calls: number of requests by path.
    """

    def __init__(self) -> None:
        self.error_status: int | None = None
        self.responses_to_drop = 0
        self.unresponsive = False
        self.calls: dict[str, int] = {}
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[dict[str, object]] = []
        self._compacted_revision = FIRST_REVISION
        self._revision = FIRST_REVISION
        self._next_lease_id = 1000
        self._era = FIRST_ERA
        self._changed = asyncio.Condition()

    @property
    def keys(self) -> list[str]:
        """Sorted keys of all items."""
        self._expire_leases()
        return sorted(self._items)

    def value(self, key: str) -> bytes:
        """Return the value of a key."""
        return base64.b64decode(self._items[key].value)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item unconditionally, as the operator does; return the revision."""
        encoded = base64.b64encode(value).decode()
        async with self._changed:
            self._revision += 1
            self._put(key, encoded, lease)
            self._changed.notify_all()
        return self._revision

    async def delete(self, key: str) -> None:
        """Delete an item without a request from a client."""
        async with self._changed:
            self._delete([key])
            self._changed.notify_all()

    def compact_history(self) -> None:
        """Discard the history of all changes so far."""
        self._history.clear()
        self._compacted_revision = self._revision

    def expire_all_leases(self) -> None:
        """Expire all leases immediately."""
        for lease in self._leases.values():
            lease.expires_at = 0.0
        self._expire_leases()

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return deepcopy(
            StoreCopy(
                self._items,
                self._leases,
                self._history,
                self._compacted_revision,
                self._revision,
            )
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Return to the state of a copy; requests that wait meanwhile fail.

        Revisions and ids of leases that were assigned since the copy are assigned
        again.
        """
        async with self._changed:
            state = deepcopy(copy)
            self._items, self._leases = state.items, state.leases
            self._history = state.history
            self._compacted_revision = state.compacted_revision
            self._revision = state.revision
            self._next_lease_id = max(self._leases, default=1000)
            self._era += 1
            self._changed.notify_all()

    async def handle(self, request: Request) -> Response:
        """Handle a request."""
        era = self._era
        response = await self._handle(request)
        if self._era != era:
            response = Response(503)
        return replace(response, headers=((ERA_HEADER, str(self._era)),))

    async def _handle(self, request: Request) -> Response:
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if self.unresponsive:
            await asyncio.Event().wait()
        if self.error_status is not None:
            return Response(self.error_status)
        self._expire_leases()
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        response = await self._dispatch(request, query)
        if self.unresponsive:
            await asyncio.Event().wait()
        if request.method != "GET" and self.responses_to_drop:
            self.responses_to_drop -= 1
            await asyncio.Event().wait()
        return response

    async def _dispatch(self, request: Request, query: dict[str, str]) -> Response:
        name, _, argument = request.path.removeprefix("/").partition("/")
        match request.method, name:
            case "GET", "kv-range":
                return self._range(query)
            case "GET", "kv-watch":
                return await self._watch(query)
            case "POST", "kv-txn":
                return await self._transaction(json.loads(request.body))
            case "POST", "kv-lease":
                return self._grant(json.loads(request.body)["ttlMs"])
            case "POST", "kv-keep":
                return self._renew(int(argument))
            case "DELETE", "kv-lease-end":
                return self._revoke(int(argument))
        return Response(404)

    def _range(self, query: dict[str, str]) -> Response:
        after = query.get("after", "")
        keys = [k for k in sorted(self._items) if k.startswith(query["prefix"])]
        keys = [key for key in keys if key > after]
        items = [self._item_json(key) for key in keys[:PAGE_ITEMS]]
        return self._respond(
            items=items, truncated=len(keys) > PAGE_ITEMS, storeRevision=self._revision
        )

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        if not self._compacted_revision <= after <= self._revision:
            return Response(410)
        era = self._era
        events: list[dict[str, object]] = []

        def can_respond() -> bool:
            if after < self._compacted_revision or self._era != era:
                return True
            events[:] = [
                event
                for event in self._history
                if str(event["key"]).startswith(query["prefix"])
                and int(str(event["revision"])) > after
            ]
            return bool(events)

        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                await self._changed.wait_for(can_respond)
        except TimeoutError:
            # A watch without changes ends with an empty list of events.
            pass
        if after < self._compacted_revision:
            return Response(410)
        return self._respond(events=events, storeRevision=self._revision)

    async def _transaction(
        self, transaction: dict[str, list[dict[str, object]]]
    ) -> Response:
        expected = {str(row["key"]): row["revision"] for row in transaction["expected"]}
        current = {k: self._items[k].revision for k in expected if k in self._items}
        if any(current.get(key, 0) != revision for key, revision in expected.items()):
            items = [self._item_json(key) for key in current]
            return Response(412, json.dumps({"items": items}).encode())
        leases = {int(str(row.get("lease", 0))) for row in transaction["puts"]}
        if any(lease and lease not in self._leases for lease in leases):
            return Response(404)
        async with self._changed:
            self._revision += 1
            for row in transaction["puts"]:
                self._put(
                    str(row["key"]), str(row["value"]), int(str(row.get("lease", 0)))
                )
            self._changed.notify_all()
        return self._respond(revision=self._revision)

    def _grant(self, ttl_ms: int) -> Response:
        self._next_lease_id += 1
        expires_at = asyncio.get_running_loop().time() + ttl_ms / 1000
        self._leases[self._next_lease_id] = _Lease(ttl_ms / 1000, expires_at)
        return self._respond(lease=self._next_lease_id, ttlMs=ttl_ms)

    def _renew(self, lease_id: int) -> Response:
        lease = self._leases.get(lease_id)
        if lease is None:
            return Response(404)
        lease.expires_at = asyncio.get_running_loop().time() + lease.ttl_s
        return self._respond(ttlMs=int(lease.ttl_s * 1000))

    def _revoke(self, lease_id: int) -> Response:
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return Response(404)
        self._delete(sorted(lease.keys))
        return self._respond()

    def _expire_leases(self) -> None:
        if not self._leases:
            return
        now = asyncio.get_running_loop().time()
        for lease_id in [
            n for n, lease in self._leases.items() if lease.expires_at < now
        ]:
            self._delete(sorted(self._leases.pop(lease_id).keys))

    def _put(self, key: str, value: str, lease: int) -> None:
        before = self._items.get(key)
        created_revision = before.created_revision if before else self._revision
        self._items[key] = _Item(value, self._revision, created_revision, lease)
        for lease_id, other in self._leases.items():
            (other.keys.add if lease_id == lease else other.keys.discard)(key)
        self._history.append(self._item_json(key))

    def _delete(self, keys: list[str]) -> None:
        for key in keys:
            if self._items.pop(key, None) is not None:
                self._revision += 1
                event = {"key": key, "revision": self._revision, "deleted": True}
                self._history.append(event)

    def _item_json(self, key: str) -> dict[str, object]:
        item = self._items[key]
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "createRev": item.created_revision,
            "lease": item.lease,
        }

    def _respond(self, **fields: object) -> Response:
        return Response(200, json.dumps(fields).encode())


@asynccontextmanager
async def metadata_store(
    address: Address, telemetry: Telemetry
) -> AsyncIterator[MetadataStore]:
    """Serve a store at an address inside the context."""
    store = MetadataStore()
    async with serving_http(address, store.handle, telemetry):
        yield store
