"""Stand-in for the platform's metadata store: linearizable, in memory."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from stand_ins.http import Reply, serve
from stand_ins.record import Record

_PAGE_ITEMS = 500


class Store:
    """The store, with an address on each machine.

    :param record: the record of the case.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, dict[str, object]] = {}
        self._leases: dict[int, list[float]] = {}
        self._history: list[dict[str, object]] = []
        self._revision = 100
        self._next_lease = 5000
        self._changed = asyncio.Condition()
        # Machines whose calls get no response; the others and the operator are served.
        self.silent_for: set[str] = set()
        self.on_call: Callable[[str, str, str], None] = lambda *_: None
        self._servers: list[asyncio.Server] = []

    async def listen(self, machine: str, ip: str, port: int) -> None:
        """Serve the calls of one machine at an address."""

        async def handle(method: str, target: str, body: bytes) -> Reply | None:
            return await self._handle(machine, method, target, body)

        self._servers.append(await serve(ip, port, handle))

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def holds(self, key: str) -> bool:
        """Whether a key exists."""
        self._expire()
        return key in self._items

    async def put(self, key: str, value: object) -> None:
        """Write a key as the operator does; returns when it is acknowledged."""
        async with self._changed:
            self._write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
            self._changed.notify_all()

    async def _handle(
        self, machine: str, method: str, target: str, body: bytes
    ) -> Reply | None:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.on_call(machine, method, url.path)
        if machine in self.silent_for:
            return None
        self._expire()
        status, fields = await self._dispatch(method, url.path, query, body)
        if machine in self.silent_for:
            return None
        return status, json.dumps(fields).encode(), {"Store-Era": "1"}

    async def _dispatch(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, object]]:
        name, _, argument = path.removeprefix("/").partition("/")
        match method, name:
            case "GET", "kv-key":
                item = self._items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**item, "storeRevision": self._revision}
            case "GET", "kv-range":
                return self._range(query)
            case "GET", "kv-watch":
                return await self._watch(query)
            case "POST", "kv-txn":
                return await self._transaction(json.loads(body))
            case "POST", "kv-lease":
                return self._grant(json.loads(body)["ttlMs"] / 1000)
            case "POST", "kv-keep":
                return self._keep(int(argument))
            case "DELETE", "kv-lease-end":
                return self._end(int(argument))
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        after = query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(query["prefix"]))
        keys = [key for key in keys if key > after]
        items = [self._items[key] for key in keys[:_PAGE_ITEMS]]
        return 200, {
            "items": items,
            "truncated": len(keys) > _PAGE_ITEMS,
            "storeRevision": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        after, prefix = int(query["after"]), query["prefix"]

        def events() -> list[dict[str, object]]:
            return [
                event
                for event in self._history
                if str(event["key"]).startswith(prefix)
                and int(str(event["revision"])) > after
            ]

        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                await self._changed.wait_for(events)
        except TimeoutError:
            pass
        return 200, {"events": events(), "storeRevision": self._revision}

    async def _transaction(
        self, transaction: dict[str, list[dict[str, object]]]
    ) -> tuple[int, dict[str, object]]:
        rows = transaction.get("expected", [])
        for row in rows:
            item = self._items.get(str(row["key"]))
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [str(row["key"]) for row in rows]
                current = [self._items[key] for key in keys if key in self._items]
                return 412, {"items": current}
        puts = transaction.get("puts", [])
        leases = {int(str(row.get("lease", 0))) for row in puts} - {0}
        if leases - self._leases.keys():
            return 404, {}
        async with self._changed:
            for row in puts:
                lease = int(str(row.get("lease", 0)))
                self._write(str(row["key"]), str(row["value"]), lease)
            for key in transaction.get("deletes", []):
                self._delete(str(key))
            self._changed.notify_all()
        return 200, {"revision": self._revision}

    def _grant(self, ttl_s: float) -> tuple[int, dict[str, object]]:
        self._next_lease += 1
        self._leases[self._next_lease] = [ttl_s, time.monotonic() + ttl_s]
        return 200, {"lease": self._next_lease, "ttlMs": int(ttl_s * 1000)}

    def _keep(self, lease: int) -> tuple[int, dict[str, object]]:
        if lease not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease][0]
        self._leases[lease][1] = time.monotonic() + ttl_s
        return 200, {"ttlMs": int(ttl_s * 1000)}

    def _end(self, lease: int) -> tuple[int, dict[str, object]]:
        if self._leases.pop(lease, None) is None:
            return 404, {}
        self._drop_keys_of(lease)
        return 200, {}

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [n for n, (_, end) in self._leases.items() if end <= now]:
            del self._leases[lease]
            self._drop_keys_of(lease)

    def _drop_keys_of(self, lease: int) -> None:
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self._delete(key)
            self._record.write(f"store: {key} is gone, its lease has ended")

    def _write(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        before = self._items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "createRev": before["createRev"] if before else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._history.append(item)
        self._record.write(f"store: {key} is written, revision {self._revision}")

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._history.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )
