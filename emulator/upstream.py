"""A stand-in for the users' services: an HTTP/1.1 application with slots.

Run as ``python -m emulator.upstream --listen 127.0.0.1:9001 --name t1 --slots 4``.
The behaviour is changed while it runs by ``POST /control`` with a JSON object of
:class:`Behaviour` fields, for example ``{"draining": true}``.
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
from cranberryhold.exchange import DEADLINE_HEADER
from emulator.serving import serving_application

_UPLOAD_CHUNK_BYTES = 64 * 1024
_FEED_PADDING = "-" * 40


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How an instance behaves; each field can be changed while it runs.

    :param slots: requests that run at the same time; feeds take no slot.
    :param service_time_ms: milliseconds that a request holds its slot.
    :param upload_ms_per_chunk: milliseconds to read 64 KiB of an upload.
    :param feed_interval_ms: milliseconds between two events of the feed; all
        instances of a service need the same value.
    :param cold_start_s: seconds after the start in which requests are slower.
    :param cold_factor: by how much they are slower.
    :param queue_limit: requests that may wait for a slot; others are shed (503).
    :param shedding: whether every request is shed.
    :param draining: whether the health endpoint says so.
    :param health_lag_s: age of what the health endpoint reports, in seconds.
    :param health_says: state that the health endpoint reports instead of the true
        one, or empty.
    :param load_says: load that it reports instead of the true one, or None.
    :param crash_answers: how many of the next answers break off in the middle.
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
    agree on the numbers: a caller that moves can ask for the ones it missed.

    :param name: name that the answers carry.
    :param behaviour: the behaviour at the start.
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
        self._reports: deque[tuple[float, dict[str, object]]] = deque()

    @property
    def behaviour(self) -> Behaviour:
        """The behaviour in force."""
        return self._behaviour

    @behaviour.setter
    def behaviour(self, behaviour: Behaviour) -> None:
        self._behaviour = behaviour
        self._grant()
        self._record()

    @property
    def executions(self) -> Counter[str]:
        """How often each line ran, by its id."""
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
                web.post("/lines", self._post_line),
                web.get("/lines", self._list_lines),
                web.post("/upload", self._upload),
                web.get("/feed", self._feed),
                web.get("/health", self._health),
                web.get("/control", self._show),
                web.post("/control", self._control),
            ]
        )
        return application

    async def _index(self, request: web.Request) -> web.StreamResponse:
        async with self._slot(request) as refusal:
            return refusal or await self._answer(request, {"instance": self._name})

    async def _post_line(self, request: web.Request) -> web.StreamResponse:
        line = json.loads(await request.read())["id"]
        async with self._slot(request) as refusal:
            if refusal is not None:
                return refusal
            self._executions[line] += 1
            return await self._answer(
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
        async with self._slot(request) as refusal:
            if refusal is not None:
                return refusal
            digest, size = hashlib.sha256(), 0
            async for chunk in request.content.iter_chunked(_UPLOAD_CHUNK_BYTES):
                digest.update(chunk)
                size += len(chunk)
                pace_s = self._behaviour.upload_ms_per_chunk / 1000
                await self._clock.sleep(pace_s * len(chunk) / _UPLOAD_CHUNK_BYTES)
            return await self._answer(
                request,
                {
                    "sha256": digest.hexdigest(),
                    "size": size,
                    "instance": self._name,
                },
            )

    async def _feed(self, request: web.Request) -> web.StreamResponse:
        """Send the events from number ``from`` on, and each new one when it is due."""
        interval_s = self._behaviour.feed_interval_ms / 1000
        now = int(self._clock.wall() / interval_s)
        number = int(request.query.get("from", now))
        last = number + int(request.query["events"]) if "events" in request.query else 0
        response = web.StreamResponse(headers={"content-type": "application/x-ndjson"})
        self._counts["feeds"] += 1
        await response.prepare(request)
        while number != last:
            await self._clock.sleep(number * interval_s - self._clock.wall())
            event = {
                "sequence": number,
                "instance": self._name,
                "data": _FEED_PADDING,
            }
            await response.write(json.dumps(event).encode() + b"\n")
            number += 1
        await response.write_eof()
        return response

    async def _health(self, request: web.Request) -> web.Response:
        self._record()
        oldest_wanted = self._clock.monotonic() - self._behaviour.health_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= oldest_wanted:
            self._reports.popleft()
        report = dict(self._reports[0][1])
        if self._behaviour.health_says:
            report["state"] = self._behaviour.health_says
        if self._behaviour.load_says is not None:
            report["load"] = self._behaviour.load_says
        return web.json_response(report)

    async def _show(self, request: web.Request) -> web.Response:
        return web.json_response(asdict(self._behaviour) | {"counts": self._counts})

    async def _control(self, request: web.Request) -> web.Response:
        changes = await request.json()
        unknown = set(changes) - {f.name for f in fields(Behaviour)}
        if unknown:
            return web.Response(status=400, text=f"no such settings: {unknown}\n")
        self.behaviour = replace(self._behaviour, **changes)
        return web.json_response(asdict(self._behaviour))

    @asynccontextmanager
    async def _slot(self, request: web.Request) -> AsyncIterator[web.Response | None]:
        """Hold a slot for the service time; yields a refusal if the load is shed."""
        behaviour = self._behaviour
        if behaviour.shedding or len(self._waiting) >= behaviour.queue_limit:
            self._counts["shed"] += 1
            yield web.Response(status=503, text="overloaded\n")
            return
        try:
            await self._take_slot()
        except asyncio.CancelledError:
            self._counts["cancelled while waiting"] += 1
            raise
        self._counts["started"] += 1
        try:
            yield await self._work(request)
            self._counts["finished"] += 1
        except asyncio.CancelledError:
            self._counts["cancelled"] += 1
            raise
        finally:
            self._busy -= 1
            self._grant()

    async def _take_slot(self) -> None:
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self._grant()
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._busy -= 1
                self._grant()
            raise

    def _grant(self) -> None:
        while self._waiting and self._busy < self._behaviour.slots:
            turn = self._waiting.popleft()
            if not turn.done():
                self._busy += 1
                turn.set_result(None)

    async def _work(self, request: web.Request) -> web.Response | None:
        """Spend the service time, but no longer than the request's deadline."""
        needed_s = self._service_time_s(request)
        deadline_ms = request.headers.get(DEADLINE_HEADER)
        allowed_s = float(deadline_ms) / 1000 if deadline_ms else float("inf")
        await self._clock.sleep(min(needed_s, allowed_s))
        if needed_s <= allowed_s:
            return None
        self._counts["late"] += 1
        return web.Response(status=504, text="the deadline has passed\n")

    def _service_time_s(self, request: web.Request) -> float:
        asked = request.query.get("work_ms", self._behaviour.service_time_ms)
        now = self._clock.monotonic()
        if self._started is None:
            self._started = now
        cold = now - self._started < self._behaviour.cold_start_s
        return float(asked) / 1000 * (self._behaviour.cold_factor if cold else 1)

    async def _answer(
        self, request: web.Request, content: dict[str, object]
    ) -> web.StreamResponse:
        if not self._behaviour.crash_answers:
            return web.json_response(content)
        left = self._behaviour.crash_answers - 1
        self._behaviour = replace(self._behaviour, crash_answers=left)
        body = json.dumps(content).encode()
        response = web.StreamResponse(headers={"content-length": str(len(body))})
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        if request.transport is not None:
            request.transport.abort()
        return response

    def _record(self) -> None:
        behaviour = self._behaviour
        report = {
            "state": "draining" if behaviour.draining else "ok",
            "load": (self._busy + len(self._waiting)) / behaviour.slots,
            "busy": self._busy,
            "slots": behaviour.slots,
            "instance": self._name,
        }
        self._reports.append((self._clock.monotonic(), report))


@asynccontextmanager
async def serve_upstream(upstream: Upstream, listen: Address) -> AsyncIterator[Address]:
    """Serve an instance; yields the address it listens on (port 0: any free one)."""
    async with serving_application(
        upstream.application(),
        listen,
        shutdown_timeout_s=0.5,
        handler_cancellation=True,
    ) as address:
        yield address


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line; each behaviour is an option."""
    result = argparse.ArgumentParser(prog="emulator.upstream", description=__doc__)
    result.add_argument("--listen", type=Address.parse, required=True)
    result.add_argument("--name", required=True)
    for behaviour in fields(Behaviour):
        name = "--" + behaviour.name.replace("_", "-")
        if behaviour.type is bool:
            result.add_argument(name, action="store_true")
        else:
            value_type = float if behaviour.name == "load_says" else behaviour.type
            result.add_argument(name, type=value_type, default=behaviour.default)
    return result


async def run(options: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    chosen = {f.name: getattr(options, f.name) for f in fields(Behaviour)}
    upstream = Upstream(options.name, Behaviour(**chosen))
    async with serve_upstream(upstream, options.listen) as address:
        print(f"event=listening address={address} name={options.name}", flush=True)
        await stopped.wait()


if __name__ == "__main__":
    asyncio.run(run(build_parser().parse_args()))
