"""Emulator of the users' services: an HTTP/1.1 application with a number of slots.

Run as ``python -m emulator.upstream --listen 127.0.0.1:9001 --name t1 --slots 4``.
``POST /control`` with a JSON object of :class:`Behaviour` fields, for example
``{"draining": true}``, changes the behaviour at run time.
"""

import argparse
import asyncio
import hashlib
import json
import signal
from collections import Counter, deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, fields, replace

from aiohttp import web

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock, SystemClock
from cranberryhold.requests.exchange import DEADLINE_HEADER
from emulator.serving import serving_application

_UPLOAD_CHUNK_BYTES = 64 * 1024
_FEED_PADDING = "-" * 40


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Behaviour of an instance; each field can be changed at run time.

    :param slots: number of concurrent requests; feeds occupy no slot.
    :param service_time_ms: milliseconds for which a request occupies its slot.
    :param upload_ms_per_chunk: milliseconds to read 64 KiB of an upload.
    :param feed_interval_ms: milliseconds between two events of the feed; all
        instances of a service need the same value.
    :param cold_start_s: seconds from the first request on in which requests are slower.
    :param cold_factor: factor by which they are slower.
    :param queue_limit: requests that may wait for a slot; others are shed (503).
    :param shedding: whether every request is shed.
    :param draining: whether the health endpoint reports the state ``draining``.
    :param health_lag_s: age of the report of the health endpoint, in seconds.
    :param health_says: state that the health endpoint reports instead of the true
        one, or empty.
    :param load_says: load that it reports instead of the true one, or None.
    :param crash_answers: number of following responses that are truncated by a
        connection abort.
    """

    slots: int = 4
    service_time_ms: float = 0.0
    upload_ms_per_chunk: float = 0.0
    feed_interval_ms: float = 100.0
    cold_start_s: float = 0.0
    cold_factor: float = 5.0
    queue_limit: int = 1000
    shedding: bool = False
    draining: bool = False
    health_lag_s: float = 0.0
    health_says: str = ""
    load_says: float | None = None
    crash_answers: int = 0


class Upstream:
    """One instance of the application.

    The feed's events are numbered by time, so that all instances of a service
    agree on the numbers: a caller that moves to another instance can request the
    events that it missed.

    :param name: instance name, included in the responses.
    :param behaviour: initial behaviour.
    """

    def __init__(
        self,
        name: str,
        behaviour: Behaviour | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._name = name
        self._behaviour = behaviour or Behaviour()
        self._clock = clock or SystemClock()
        self._executions: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()
        self._busy = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._started: float | None = None
        self._health_reports: deque[tuple[float, dict[str, object]]] = deque()

    @property
    def behaviour(self) -> Behaviour:
        """The current behaviour."""
        return self._behaviour

    @behaviour.setter
    def behaviour(self, behaviour: Behaviour) -> None:
        self._behaviour = behaviour
        self._grant_slots()
        self._record_health()

    @property
    def executions(self) -> Counter[str]:
        """Number of executions of each line, by id."""
        return self._executions

    @property
    def counts(self) -> Counter[str]:
        """Number of requests started, finished, cancelled, shed and late."""
        return self._counts

    def application(self) -> web.Application:
        """Return the aiohttp application that serves this instance."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        application.add_routes(
            [
                web.get("/", self._index),
                web.post("/lines", self._create_line),
                web.get("/lines", self._list_lines),
                web.post("/upload", self._upload),
                web.get("/feed", self._feed),
                web.get("/health", self._health),
                web.get("/control", self._get_control),
                web.post("/control", self._set_control),
            ]
        )
        return application

    async def _index(self, request: web.Request) -> web.StreamResponse:
        async with self._occupy_slot(request) as error_response:
            return error_response or await self._respond(
                request, {"instance": self._name}
            )

    async def _create_line(self, request: web.Request) -> web.StreamResponse:
        line = json.loads(await request.read())["id"]
        async with self._occupy_slot(request) as error_response:
            if error_response is not None:
                return error_response
            self._executions[line] += 1
            return await self._respond(
                request,
                {
                    "id": line,
                    "executions": self._executions[line],
                    "instance": self._name,
                },
            )

    async def _list_lines(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self._executions))

    async def _upload(self, request: web.Request) -> web.StreamResponse:
        async with self._occupy_slot(request) as error_response:
            if error_response is not None:
                return error_response
            digest, size = hashlib.sha256(), 0
            async for chunk in request.content.iter_chunked(_UPLOAD_CHUNK_BYTES):
                digest.update(chunk)
                size += len(chunk)
                full_chunk_s = self._behaviour.upload_ms_per_chunk / 1000
                await self._clock.sleep(full_chunk_s * len(chunk) / _UPLOAD_CHUNK_BYTES)
            return await self._respond(
                request,
                {
                    "sha256": digest.hexdigest(),
                    "size": size,
                    "instance": self._name,
                },
            )

    async def _feed(self, request: web.Request) -> web.StreamResponse:
        """Send the events from number ``from`` on, each one when it is due."""
        interval_s = self._behaviour.feed_interval_ms / 1000
        current = int(self._clock.wall() / interval_s)
        sequence = int(request.query.get("from", current))
        end = (
            sequence + int(request.query["events"]) if "events" in request.query else 0
        )
        response = web.StreamResponse(headers={"content-type": "application/x-ndjson"})
        self._counts["feeds"] += 1
        await response.prepare(request)
        while sequence != end:
            await self._clock.sleep(sequence * interval_s - self._clock.wall())
            event = {
                "sequence": sequence,
                "instance": self._name,
                "data": _FEED_PADDING,
            }
            await response.write(json.dumps(event).encode() + b"\n")
            sequence += 1
        await response.write_eof()
        return response

    async def _health(self, request: web.Request) -> web.Response:
        self._record_health()
        reported_at = self._clock.monotonic() - self._behaviour.health_lag_s
        while (
            len(self._health_reports) > 1 and self._health_reports[1][0] <= reported_at
        ):
            self._health_reports.popleft()
        report = dict(self._health_reports[0][1])
        if self._behaviour.health_says:
            report["state"] = self._behaviour.health_says
        if self._behaviour.load_says is not None:
            report["load"] = self._behaviour.load_says
        return web.json_response(report)

    async def _get_control(self, request: web.Request) -> web.Response:
        return web.json_response(asdict(self._behaviour) | {"counts": self._counts})

    async def _set_control(self, request: web.Request) -> web.Response:
        changes = await request.json()
        unknown = set(changes) - {f.name for f in fields(Behaviour)}
        if unknown:
            return web.Response(
                status=400, text=f"unknown fields of the behaviour: {unknown}\n"
            )
        self.behaviour = replace(self._behaviour, **changes)
        return web.json_response(asdict(self._behaviour))

    @asynccontextmanager
    async def _occupy_slot(
        self, request: web.Request
    ) -> AsyncIterator[web.Response | None]:
        """Occupy a slot for the service time; yield an error response if it is shed."""
        behaviour = self._behaviour
        if behaviour.shedding or len(self._waiting) >= behaviour.queue_limit:
            self._counts["shed"] += 1
            yield web.Response(status=503, text="overloaded\n")
            return
        try:
            await self._acquire_slot()
        except asyncio.CancelledError:
            self._counts["cancelled while waiting"] += 1
            raise
        self._counts["started"] += 1
        try:
            yield await self._spend_service_time(request)
            self._counts["finished"] += 1
        except asyncio.CancelledError:
            self._counts["cancelled"] += 1
            raise
        finally:
            self._busy -= 1
            self._grant_slots()

    async def _acquire_slot(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        self._grant_slots()
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._busy -= 1
                self._grant_slots()
            raise

    def _grant_slots(self) -> None:
        while self._waiting and self._busy < self._behaviour.slots:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self._busy += 1
                waiter.set_result(None)

    async def _spend_service_time(self, request: web.Request) -> web.Response | None:
        """Wait for the service time; return status 504 if the deadline is shorter."""
        needed_s = self._service_time_s(request)
        deadline_ms = request.headers.get(DEADLINE_HEADER)
        allowed_s = float(deadline_ms) / 1000 if deadline_ms else float("inf")
        await self._clock.sleep(min(needed_s, allowed_s))
        if needed_s <= allowed_s:
            return None
        self._counts["late"] += 1
        return web.Response(status=504, text="deadline exceeded\n")

    def _service_time_s(self, request: web.Request) -> float:
        requested_ms = request.query.get("work_ms", self._behaviour.service_time_ms)
        now = self._clock.monotonic()
        if self._started is None:
            self._started = now
        cold = now - self._started < self._behaviour.cold_start_s
        return float(requested_ms) / 1000 * (self._behaviour.cold_factor if cold else 1)

    async def _respond(
        self, request: web.Request, content: dict[str, object]
    ) -> web.StreamResponse:
        if not self._behaviour.crash_answers:
            return web.json_response(content)
        remaining = self._behaviour.crash_answers - 1
        self._behaviour = replace(self._behaviour, crash_answers=remaining)
        body = json.dumps(content).encode()
        response = web.StreamResponse(headers={"content-length": str(len(body))})
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        if request.transport is not None:
            request.transport.abort()
        return response

    def _record_health(self) -> None:
        behaviour = self._behaviour
        report = {
            "state": "draining" if behaviour.draining else "ok",
            "load": (self._busy + len(self._waiting)) / behaviour.slots,
            "busy": self._busy,
            "slots": behaviour.slots,
            "instance": self._name,
        }
        self._health_reports.append((self._clock.monotonic(), report))


@asynccontextmanager
async def serve_upstream(upstream: Upstream, listen: Address) -> AsyncIterator[Address]:
    """Serve an instance; yield its address (port 0 selects a free port)."""
    async with serving_application(
        upstream.application(),
        listen,
        shutdown_timeout_s=0.5,
        handler_cancellation=True,
    ) as address:
        yield address


def build_parser() -> argparse.ArgumentParser:
    """Return the command line parser; each field of the behaviour is an option."""
    parser = argparse.ArgumentParser(prog="emulator.upstream", description=__doc__)
    parser.add_argument("--listen", type=Address.parse, required=True)
    parser.add_argument("--name", required=True)
    for field in fields(Behaviour):
        name = "--" + field.name.replace("_", "-")
        if field.type is bool:
            parser.add_argument(name, action="store_true")
        else:
            value_type = float if field.name == "load_says" else field.type
            parser.add_argument(name, type=value_type, default=field.default)
    return parser


async def run(options: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    chosen = {f.name: getattr(options, f.name) for f in fields(Behaviour)}
    upstream = Upstream(options.name, Behaviour(**chosen))
    async with serve_upstream(upstream, options.listen) as address:
        print(f"event=listening address={address} name={options.name}", flush=True)
        await stop_requested.wait()


if __name__ == "__main__":
    asyncio.run(run(build_parser().parse_args()))
