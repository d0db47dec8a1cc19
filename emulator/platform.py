"""Emulator of the platform's key-value service with the Consul KV HTTP interface.

Implements the part of the published interface that the system uses: ``/v1/kv`` with
blocking queries, ``cas``, ``acquire`` and ``release``, and ``/v1/session`` with a
time to live. ``POST /control`` injects faults.

>>> # python -m emulator.platform --listen 127.0.0.1:8500
"""

import argparse
import asyncio
import base64
import json
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import asdict, fields

from aiohttp import web

from cranberryhold.addresses import Address
from emulator.key_values import (
    MAX_VALUE_BYTES,
    Entry,
    Faults,
    KeyValues,
    sleep_for_fault,
)
from emulator.serving import serving_application

# Limits of the published interface.
MIN_TTL_S = 10.0
MAX_TTL_S = 86400.0
DEFAULT_WAIT_S = 300.0
MAX_WAIT_S = 600.0
_DURATION = re.compile(r"^([0-9.]+)(ms|s|m)$")
_UNIT_S = {"ms": 0.001, "s": 1.0, "m": 60.0}

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class KeyValueServer:
    """HTTP interface of a :class:`KeyValues`."""

    def __init__(self, key_values: KeyValues | None = None) -> None:
        self.key_values = key_values or KeyValues()

    def application(self) -> web.Application:
        """Return the aiohttp application that serves the interface."""
        app = web.Application(
            middlewares=[self._inject_faults], client_max_size=2 * MAX_VALUE_BYTES
        )
        app.router.add_get("/v1/kv/{key:.+}", self._read)
        app.router.add_put("/v1/kv/{key:.+}", self._write)
        app.router.add_delete("/v1/kv/{key:.+}", self._delete)
        app.router.add_put("/v1/session/create", self._create_session)
        app.router.add_put("/v1/session/renew/{session}", self._renew_session)
        app.router.add_put("/v1/session/destroy/{session}", self._destroy_session)
        app.router.add_get("/control", self._get_control)
        app.router.add_post("/control", self._set_control)
        return app

    @asynccontextmanager
    async def serve(self, listen: Address) -> AsyncIterator[Address]:
        """Serve inside the context; yield the address (port 0 selects a free port)."""
        async with serving_application(
            self.application(), listen, shutdown_timeout_s=0.1
        ) as address:
            yield address

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        faults, clock = self.key_values.faults, self.key_values.clock
        is_write = self._count_call(request)
        await sleep_for_fault(clock, faults.delay_s)
        if faults.should_drop_request(is_write):
            return _abort_connection(request)
        response = await handler(request)
        await sleep_for_fault(clock, faults.answer_delay_s)
        if faults.should_drop_response(is_write):
            return _abort_connection(request)
        if is_write and faults.error_answers > 0:
            faults.error_answers -= 1
            return web.Response(status=500, text="leadership lost while writing")
        return response

    def _count_call(self, request: web.Request) -> bool:
        """Count a call by its kind; return whether it is a write."""
        calls = self.key_values.calls
        if request.method != "GET":
            calls.writes += 1
            return True
        if "index" in request.query:
            calls.watches += 1
        else:
            calls.reads += 1
        return False

    async def _read(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        if "keys" in request.query:
            return self._list_keys(key)
        if "index" in request.query:
            wait_s = _parse_duration_s(request.query.get("wait", ""), DEFAULT_WAIT_S)
            index = int(request.query["index"])
            entry = await self.key_values.watch(key, index, min(wait_s, MAX_WAIT_S))
        else:
            entry = self.key_values.get(key)
        index = entry.modify_index if entry else self.key_values.index
        headers = {"X-Consul-Index": str(index)}
        if entry is None:
            return web.Response(status=404, headers=headers)
        return web.json_response([_encode_entry(key, entry)], headers=headers)

    def _list_keys(self, prefix: str) -> web.Response:
        keys = self.key_values.keys(prefix)
        headers = {"X-Consul-Index": str(self.key_values.index_of(prefix))}
        if not keys:
            return web.Response(status=404, headers=headers)
        return web.json_response(keys, headers=headers)

    async def _write(self, request: web.Request) -> web.Response:
        key, query = request.match_info["key"], request.query
        value = await request.read()
        if len(value) > MAX_VALUE_BYTES:
            return web.Response(status=413, text="value is too large")
        if "acquire" in query:
            written = self.key_values.acquire(key, value, query["acquire"])
            if written is None:
                return web.Response(status=500, text="invalid session")
        elif "release" in query:
            written = self.key_values.release(key, value, query["release"])
        else:
            cas = int(query["cas"]) if "cas" in query else None
            written = self.key_values.put(key, value, cas)
        return web.json_response(written)

    async def _delete(self, request: web.Request) -> web.Response:
        self.key_values.delete(request.match_info["key"])
        return web.json_response(True)

    async def _create_session(self, request: web.Request) -> web.Response:
        body = await request.json()
        ttl_s = _parse_duration_s(body.get("TTL", ""), MAX_TTL_S)
        if not MIN_TTL_S <= ttl_s <= MAX_TTL_S:
            return web.Response(status=400, text="TTL must be 10s to 86400s")
        behavior = body.get("Behavior", "release")
        session = self.key_values.create_session(ttl_s, behavior)
        return web.json_response({"ID": session.session_id})

    async def _renew_session(self, request: web.Request) -> web.Response:
        session = self.key_values.renew_session(request.match_info["session"])
        if session is None:
            return web.Response(status=404, text="session not found")
        return web.json_response(
            [{"ID": session.session_id, "TTL": f"{session.ttl_s}s"}]
        )

    async def _destroy_session(self, request: web.Request) -> web.Response:
        self.key_values.destroy_session(request.match_info["session"])
        return web.json_response(True)

    async def _get_control(self, request: web.Request) -> web.Response:
        calls = self.key_values.calls
        return web.json_response(
            {
                "faults": asdict(self.key_values.faults),
                "calls": asdict(calls) | {"total": calls.total},
            }
        )

    async def _set_control(self, request: web.Request) -> web.Response:
        """Set faults, expire the holder of a lock, save or restore a snapshot."""
        body = await request.json()
        names = {f.name for f in fields(Faults)}
        unknown = body.keys() - names - {"expire", "snapshot", "restore"}
        if unknown:
            return web.Response(status=400, text=f"unknown fields: {sorted(unknown)}")
        for name in names & body.keys():
            setattr(self.key_values.faults, name, body[name])
        if "down" in body:
            self.key_values.set_down(body["down"])
        if "expire" in body:
            self.key_values.expire_holder(body["expire"])
        if "snapshot" in body:
            self.key_values.snapshot(body["snapshot"])
        if "restore" in body:
            self.key_values.restore(body["restore"])
        return await self._get_control(request)


def _abort_connection(request: web.Request) -> web.Response:
    """Abort the connection without an answer."""
    if request.transport:
        request.transport.abort()
    return web.Response(status=500)


def _parse_duration_s(text: str, default: float) -> float:
    match = _DURATION.match(text)
    return float(match[1]) * _UNIT_S[match[2]] if match else default


def _encode_entry(key: str, entry: Entry) -> dict[str, object]:
    document: dict[str, object] = {
        "Key": key,
        "Value": base64.b64encode(entry.value).decode(),
        "Flags": 0,
        "LockIndex": entry.lock_index,
        "CreateIndex": entry.create_index,
        "ModifyIndex": entry.modify_index,
    }
    if entry.session:
        document["Session"] = entry.session
    return document


async def _run(listen: Address) -> None:
    async with KeyValueServer().serve(listen) as address:
        print(json.dumps({"listening": str(address)}), flush=True)
        await asyncio.Event().wait()


def main() -> None:
    """Run the emulator until it is interrupted."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--listen", default="127.0.0.1:8500", help="IPv4:port")
    asyncio.run(_run(Address.parse(parser.parse_args().listen)))


if __name__ == "__main__":
    main()
