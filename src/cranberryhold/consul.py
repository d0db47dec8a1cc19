"""Client of the platform's key-value service, over the Consul KV HTTP API."""

import asyncio
import base64
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from urllib.parse import quote

from aiohttp import (
    AddrInfoType,
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    InvalidURL,
    TCPConnector,
)

from cranberryhold.client_middleware import send_once
from cranberryhold.exceptions import StoreError, StoreOutcomeUnknownError
from cranberryhold.store import Lease, VersionedValue

CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 5.0
# The service may hold a watch up to 1/16 longer than requested, as jitter.
WATCH_JITTER = 1 / 16
# Delay before a watch is repeated: a watch on a key that does not exist also returns
# when other keys are written.
WATCH_RETRY_DELAY_S = 1.0
# A connection that was lost without a reset, such as to a machine that lost power,
# fails after three seconds. A watch would otherwise hide changes for a minute.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
LEASE_PREFIX = "cranberryhold/leases/"


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes
    index: int

    def json(self) -> object:
        return json.loads(self.body)


def _create_socket(address: AddrInfoType) -> socket.socket:
    """Create a socket that notices a lost connection by itself."""
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, name, value in options:
        created.setsockopt(level, name, value)
    return created


class ConsulStore:
    """A :class:`~cranberryhold.store.Store` that is backed by Consul's API.

    >>> async def read(url: str) -> None:
    ...     async with ConsulStore.open(url) as store:
    ...         print(await store.get("cranberryhold/manifest"))

    :param url: base URL, such as ``http://127.0.0.1:8500``.
    :param session: client session; the caller that opened it must close it.
    :param call_timeout_s: seconds after which a call without a response fails.
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
        connector = TCPConnector(socket_factory=_create_socket)
        async with ClientSession(
            connector=connector, middlewares=(send_once,)
        ) as session:
            yield cls(url, session, call_timeout_s)

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return self._url

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of a key, or None if there is none."""
        response = await self._read("read key", key, {}, self._call_timeout_s)
        return _decode_value(response)

    async def latest_index(self, key: str) -> int:
        """Return the highest revision of the keys that start with ``key``."""
        response = await self._read(
            "read index", key, {"keys": "true"}, self._call_timeout_s
        )
        return response.index

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> bool:
        """Write the value if the key still has this revision (0: does not exist yet).

        :raises StoreOutcomeUnknownError: if the response was lost.
        """
        response = await self._write(
            "compare and swap", _key_path(key), {"cas": str(expected_revision)}, value
        )
        return response.json() is True

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> VersionedValue | None:
        """Wait until the key's revision changes; return None on a timeout.

        If the service was restored from an older snapshot, the call may return only
        after the full ``timeout_s``, since the service waits for a higher revision.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        index = after_revision
        while True:
            remaining_s = max(0.0, deadline - loop.time())
            query = {"index": str(index), "wait": f"{remaining_s * 1000:.0f}ms"}
            request_timeout_s = remaining_s * (1 + WATCH_JITTER) + self._call_timeout_s
            response = await self._read("watch key", key, query, request_timeout_s)
            current = _decode_value(response)
            if current and current.revision != after_revision:
                return current
            if loop.time() + WATCH_RETRY_DELAY_S >= deadline:
                return None
            # The service responds to index 0 at once; for a key that does not exist
            # it waits only if given the service's current index.
            if index > 0:
                await asyncio.sleep(WATCH_RETRY_DELAY_S)
            index = max(1, response.index)

    async def acquire_lease(self, name: str, ttl_s: float) -> Lease | None:
        """Acquire a lease, or return None if it is held by another process.

        :param ttl_s: seconds, 10 to 86400, as the service requires.
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
        acquired = False
        try:
            response = await self._write(
                step, _key_path(LEASE_PREFIX + name), {"acquire": lease.lease_id}, b""
            )
            acquired = response.json() is True
        finally:
            if not acquired:
                with suppress(StoreError):
                    await self.release_lease(lease)
        return lease if acquired else None

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return False if it has expired."""
        path = f"/v1/session/renew/{lease.lease_id}"
        response = await self._write("renew lease", path, {}, b"", allow_not_found=True)
        return response.status == 200

    async def release_lease(self, lease: Lease) -> None:
        """Release a lease."""
        path = f"/v1/session/destroy/{lease.lease_id}"
        await self._write("release lease", path, {}, b"")

    async def _read(
        self, step: str, key: str, query: dict[str, str], timeout_s: float
    ) -> _Response:
        try:
            response = await self._call("GET", _key_path(key), query, None, timeout_s)
        except (ClientError, TimeoutError, OSError) as error:
            raise self._unreachable_error(step, error) from error
        if response.status not in (200, 404):
            raise self._rejected_error(step, response)
        return response

    async def _write(
        self,
        step: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        allow_not_found: bool = False,
    ) -> _Response:
        try:
            response = await self._call("PUT", path, query, body, self._call_timeout_s)
        except (ClientConnectorError, ConnectionTimeoutError, InvalidURL) as error:
            raise self._unreachable_error(step, error) from error
        except (ClientError, TimeoutError, OSError) as error:
            raise self._outcome_unknown_error(step, _describe(error)) from error
        if response.status >= 500:
            raise self._outcome_unknown_error(step, f"status {response.status}")
        if response.status != 200 and not (allow_not_found and response.status == 404):
            raise self._rejected_error(step, response)
        return response

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> _Response:
        timeout = ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        async with self._session.request(
            method, self._url + path, params=query, data=body, timeout=timeout
        ) as response:
            index = response.headers.get("X-Consul-Index", "")
            return _Response(
                response.status,
                await response.read(),
                int(index) if index.isdecimal() else 0,
            )

    def _unreachable_error(self, step: str, error: Exception) -> StoreError:
        return StoreError(
            f"the key-value service was not reached: {_describe(error)}; check that "
            "--store-url (CRANBERRYHOLD_STORE_URL) is right and try again",
            step=step,
            peer=self._url,
        )

    def _outcome_unknown_error(
        self, step: str, reason: str
    ) -> StoreOutcomeUnknownError:
        return StoreOutcomeUnknownError(
            f"the response to a write was lost ({reason}): it may have taken effect",
            step=step,
            peer=self._url,
        )

    def _rejected_error(self, step: str, response: _Response) -> StoreError:
        text = response.body[:200].decode(errors="replace").strip()
        return StoreError(
            f"the key-value service rejected the request: status {response.status} "
            f"{text}",
            step=step,
            peer=self._url,
        )


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__


def _decode_value(response: _Response) -> VersionedValue | None:
    if response.status == 404:
        return None
    (entry,) = response.json()
    return VersionedValue(base64.b64decode(entry["Value"] or ""), entry["ModifyIndex"])
