"""A stand-in for the users' metadata store, with faults on request.

It speaks the calls of the published protocol that the package uses, keeps all in
memory, and lets a test lose answers, refuse calls and forget history.
"""

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from cranberryhold.addresses import Address
from cranberryhold.flows.http_server import Request, Response, serving_http
from cranberryhold.flows.telemetry import Telemetry

FIRST_REVISION = 10
PAGE_ITEMS = 500


@dataclass(slots=True)
class _Item:
    value: str
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class MetadataStore:
    """The store's state and calls.

    Its public attributes are the faults.

    :ivar refuse_with: status for all calls, or None.
    :ivar lose_answers: number of writes that are done and then not answered.
    :ivar silent: whether calls get no answer at all.
    :ivar calls: number of calls by path.
    """

    def __init__(self) -> None:
        self.error_status: int | None = None
        self.responses_to_drop = 0
        self.unresponsive = False
        self.calls: dict[str, int] = {}
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[dict[str, object]] = []
        self._oldest = FIRST_REVISION
        self._revision = FIRST_REVISION
        self._next_lease = 1000
        self._changed = asyncio.Condition()

    @property
    def keys(self) -> list[str]:
        """Keys that exist, in order."""
        self._end_leases()
        return sorted(self._items)

    def value(self, key: str) -> bytes:
        """Return the value of a key."""
        return base64.b64decode(self._items[key].value)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write as the operator does, and return the revision."""
        encoded = base64.b64encode(value).decode()
        async with self._changed:
            self._revision += 1
            self._put(key, encoded, lease)
            self._changed.notify_all()
        return self._revision

    async def delete(self, key: str) -> None:
        """Take a key away without a request that shows it."""
        async with self._changed:
            self._delete([key])
            self._changed.notify_all()

    def compact_history(self) -> None:
        """Forget all changes so far."""
        self._history.clear()
        self._oldest = self._revision

    def expire_all_leases(self) -> None:
        """Let all leases run out."""
        for lease in self._leases.values():
            lease.ends_at = 0.0
        self._end_leases()

    async def handle(self, request: Request) -> Response:
        """Answer a call."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if self.unresponsive:
            await asyncio.Event().wait()
        if self.error_status is not None:
            return Response(self.error_status)
        self._end_leases()
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        response = await self._dispatch(request, query)
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
                return self._end(int(argument))
        return Response(404)

    def _range(self, query: dict[str, str]) -> Response:
        after = query.get("after", "")
        keys = [k for k in sorted(self._items) if k.startswith(query["prefix"])]
        keys = [key for key in keys if key > after]
        items = [self._as_json(key) for key in keys[:PAGE_ITEMS]]
        return self._answer(
            items=items, truncated=len(keys) > PAGE_ITEMS, storeRevision=self._revision
        )

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        if after < self._oldest:
            return Response(410)
        events: list[dict[str, object]] = []

        def arrived() -> bool:
            if after < self._oldest:
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
                await self._changed.wait_for(arrived)
        except TimeoutError:
            # An answer without events is the regular end of a wait.
            pass
        if after < self._oldest:
            return Response(410)
        return self._answer(events=events, storeRevision=self._revision)

    async def _transaction(
        self, change: dict[str, list[dict[str, object]]]
    ) -> Response:
        expected = {str(row["key"]): row["revision"] for row in change["expected"]}
        present = {k: self._items[k].revision for k in expected if k in self._items}
        if any(present.get(key, 0) != revision for key, revision in expected.items()):
            items = [self._as_json(key) for key in present]
            return Response(412, json.dumps({"items": items}).encode())
        leases = {int(str(row.get("lease", 0))) for row in change["puts"]}
        if any(lease and lease not in self._leases for lease in leases):
            return Response(404)
        async with self._changed:
            self._revision += 1
            for row in change["puts"]:
                self._put(
                    str(row["key"]), str(row["value"]), int(str(row.get("lease", 0)))
                )
            self._changed.notify_all()
        return self._answer(revision=self._revision)

    def _grant(self, ttl_ms: int) -> Response:
        self._next_lease += 1
        ends_at = asyncio.get_running_loop().time() + ttl_ms / 1000
        self._leases[self._next_lease] = _Lease(ttl_ms / 1000, ends_at)
        return self._answer(lease=self._next_lease, ttlMs=ttl_ms)

    def _renew(self, number: int) -> Response:
        lease = self._leases.get(number)
        if lease is None:
            return Response(404)
        lease.ends_at = asyncio.get_running_loop().time() + lease.ttl_s
        return self._answer(ttlMs=int(lease.ttl_s * 1000))

    def _end(self, number: int) -> Response:
        lease = self._leases.pop(number, None)
        if lease is None:
            return Response(404)
        self._delete(sorted(lease.keys))
        return self._answer()

    def _end_leases(self) -> None:
        if not self._leases:
            return
        now = asyncio.get_running_loop().time()
        for number in [n for n, lease in self._leases.items() if lease.ends_at < now]:
            self._delete(sorted(self._leases.pop(number).keys))

    def _put(self, key: str, value: str, lease: int) -> None:
        before = self._items.get(key)
        created = before.created if before else self._revision
        self._items[key] = _Item(value, self._revision, created, lease)
        for number, held in self._leases.items():
            (held.keys.add if number == lease else held.keys.discard)(key)
        self._history.append(self._as_json(key))

    def _delete(self, keys: list[str]) -> None:
        for key in keys:
            if self._items.pop(key, None) is not None:
                self._revision += 1
                event = {"key": key, "revision": self._revision, "deleted": True}
                self._history.append(event)

    def _as_json(self, key: str) -> dict[str, object]:
        item = self._items[key]
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "createRev": item.created,
            "lease": item.lease,
        }

    def _answer(self, **fields: object) -> Response:
        return Response(200, json.dumps(fields).encode())


@asynccontextmanager
async def metadata_store(
    address: Address, telemetry: Telemetry
) -> AsyncIterator[MetadataStore]:
    """Serve a store at an address inside the context."""
    store = MetadataStore()
    async with serving_http(address, store.handle, telemetry):
        yield store
