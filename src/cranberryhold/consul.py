"""The platform's key-value service over the published Consul KV HTTP interface."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from urllib.parse import quote

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    InvalidURL,
)

from cranberryhold.client_middleware import send_once
from cranberryhold.exceptions import StoreError, StoreOutcomeUnknownError
from cranberryhold.store import Lease, VersionedValue

CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 5.0
# The service may hold a watch 1/16 longer than asked, to spread the answers.
WATCH_JITTER = 1 / 16
# A watch on a key that does not exist wakes with the writes of other keys.
WATCH_PAUSE_S = 1.0
LEASE_PREFIX = "cranberryhold/leases/"


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes
    index: int

    def json(self) -> object:
        return json.loads(self.body)


class ConsulStore:
    """Implements :class:`~cranberryhold.store.Store`.

    >>> async def read(url: str) -> None:
    ...     async with ConsulStore.open(url) as store:
    ...         print(await store.get("cranberryhold/manifest"))

    :param url: base URL, such as ``http://127.0.0.1:8500``.
    :param session: client session; whoever opened it closes it.
    :param call_timeout_s: seconds after which a call without an answer has failed.
    """

    def __init__(
        self, url: str, session: ClientSession, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._url = url.rstrip("/")
        self._session = session
        self._call_timeout_s = call_timeout_s

    @classmethod
    @asynccontextmanager
    async def open(
        cls, url: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> AsyncIterator["ConsulStore"]:
        """Yield a store with its own client session."""
        async with ClientSession(middlewares=(send_once,)) as session:
            yield cls(url, session, call_timeout_s)

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return self._url

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of a key, or None if there is none."""
        answer = await self._read("read key", key, {}, self._call_timeout_s)
        return _versioned(answer)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> bool:
        """Write if the key still has this revision (0: does not exist yet).

        :raises StoreOutcomeUnknownError: if the answer was lost.
        """
        answer = await self._write(
            "compare and swap", _path(key), {"cas": str(expected_revision)}, value
        )
        return answer.json() is True

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> VersionedValue | None:
        """Wait until the key's revision differs; None if it has not.

        When the service has gone back to an older snapshot, the call may return
        only after the whole ``timeout_s``, since the service waits for a higher
        revision.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        index = after_revision
        while True:
            left_s = max(0.0, deadline - loop.time())
            query = {"index": str(index), "wait": f"{left_s * 1000:.0f}ms"}
            limit_s = left_s * (1 + WATCH_JITTER) + self._call_timeout_s
            answer = await self._read("watch key", key, query, limit_s)
            found = _versioned(answer)
            if found and found.revision != after_revision:
                return found
            if loop.time() + WATCH_PAUSE_S >= deadline:
                return None
            # The service answers index 0 at once; for a key that does not exist it
            # waits only from its own index on.
            if index > 0:
                await asyncio.sleep(WATCH_PAUSE_S)
            index = max(1, answer.index)

    async def acquire_lease(self, name: str, ttl_s: float) -> Lease | None:
        """Take a lease, or return None if another holds it.

        :param ttl_s: seconds, 10 to 86400, as the service allows.
        """
        body = {
            "Name": name,
            "TTL": f"{ttl_s:g}s",
            "Behavior": "delete",
            "LockDelay": "0s",
        }
        step = "acquire lease"
        created = await self._write(
            step, "/v1/session/create", {}, json.dumps(body).encode()
        )
        lease = Lease(name, created.json()["ID"], ttl_s)
        taken = False
        try:
            answer = await self._write(
                step, _path(LEASE_PREFIX + name), {"acquire": lease.lease_id}, b""
            )
            taken = answer.json() is True
        finally:
            if not taken:
                with suppress(StoreError):
                    await self.release_lease(lease)
        return lease if taken else None

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; False if it has lapsed."""
        path = f"/v1/session/renew/{lease.lease_id}"
        answer = await self._write("renew lease", path, {}, b"", missing_allowed=True)
        return answer.status == 200

    async def release_lease(self, lease: Lease) -> None:
        """Give a lease back."""
        path = f"/v1/session/destroy/{lease.lease_id}"
        await self._write("release lease", path, {}, b"")

    async def _read(
        self, step: str, key: str, query: dict[str, str], timeout_s: float
    ) -> _Answer:
        try:
            answer = await self._call("GET", _path(key), query, None, timeout_s)
        except (ClientError, TimeoutError, OSError) as error:
            raise self._not_reached(step, error) from error
        if answer.status not in (200, 404):
            raise self._refused(step, answer)
        return answer

    async def _write(
        self,
        step: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        missing_allowed: bool = False,
    ) -> _Answer:
        try:
            answer = await self._call("PUT", path, query, body, self._call_timeout_s)
        except (ClientConnectorError, ConnectionTimeoutError, InvalidURL) as error:
            raise self._not_reached(step, error) from error
        except (ClientError, TimeoutError, OSError) as error:
            raise self._unknown(step, _reason(error)) from error
        if answer.status >= 500:
            raise self._unknown(step, f"status {answer.status}")
        if answer.status != 200 and not (missing_allowed and answer.status == 404):
            raise self._refused(step, answer)
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> _Answer:
        timeout = ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        async with self._session.request(
            method, self._url + path, params=query, data=body, timeout=timeout
        ) as response:
            index = response.headers.get("X-Consul-Index", "")
            return _Answer(
                response.status,
                await response.read(),
                int(index) if index.isdecimal() else 0,
            )

    def _not_reached(self, step: str, error: Exception) -> StoreError:
        return StoreError(
            f"the key-value service was not reached: {_reason(error)}; check that "
            "--store-url (CRANBERRYHOLD_STORE_URL) is right and try again",
            step=step,
            peer=self._url,
        )

    def _unknown(self, step: str, reason: str) -> StoreOutcomeUnknownError:
        return StoreOutcomeUnknownError(
            f"the answer to a write was lost ({reason}): it may have taken effect",
            step=step,
            peer=self._url,
        )

    def _refused(self, step: str, answer: _Answer) -> StoreError:
        text = answer.body[:200].decode(errors="replace").strip()
        return StoreError(
            f"the key-value service refused: status {answer.status} {text}",
            step=step,
            peer=self._url,
        )


def _path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _reason(error: Exception) -> str:
    return str(error) or type(error).__name__


def _versioned(answer: _Answer) -> VersionedValue | None:
    if answer.status == 404:
        return None
    (entry,) = answer.json()
    return VersionedValue(base64.b64decode(entry["Value"] or ""), entry["ModifyIndex"])
