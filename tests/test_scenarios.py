"""Scripted scenarios in virtual time; see the folder ``features``."""

import asyncio
import json
from collections.abc import Iterator

import pytest
from pytest_bdd import given, parsers, scenarios, step, then, when

from cranberryhold.exchange import IDEMPOTENCY_KEY_PATH
from cranberryhold.members import MemberState
from cranberryhold.packets import Direction, ForwardCodec
from cranberryhold.routing import DropReason
from tests.script import ZONES, Script, service
from tests.waiting import until
from tests.world import KEYS, World, WorldCaller

scenarios("features")

UNITS = {"hour": 3600.0, "second": 1.0}
H3_REQUEST_REJECTED = 0x10B
LONGEST_SILENCE_S = 60.0
LINE_RUN = "POST /lines 17"


@pytest.fixture
def script(certificate: tuple[str, str]) -> Iterator[Script]:
    """Return the script of one scenario."""
    script = Script(certificate)
    yield script
    script.close()


@given(parsers.parse("the data centres of {user} with {count:d} entry instances"))
def _(script: Script, user: str, count: int) -> None:
    zones, delay_s, script.slots = ZONES[user]

    async def build() -> None:
        script.world = World(zones, delay_s, script.certificate)
        for number in range(count):
            script.world.add_entry(f"e{number + 1}", zones[number % len(zones)])

    script.run(build())


@step(parsers.re(r"(?P<name>[a-z-]+) with (?P<count>\d+) targets( is added)?$"))
def _(script: Script, name: str, count: str) -> None:
    async def build() -> None:
        world = script.world
        world.add_service(service(name, script.slots))
        for number in range(int(count)):
            zone = world.zones[number % len(world.zones)]
            world.add_target(f"{name}-{number + 1}", zone, name)
        await world.settle()

    script.run(build())


@given(parsers.parse("{count:d} open feeds of {name}"))
def _(script: Script, count: int, name: str) -> None:
    for _ in range(count):
        script.run(script.world.open_feed(name))


@step(parsers.parse("links between zones lose {percent:d} % and vary by {ms:d} ms"))
def _(script: Script, percent: int, ms: int) -> None:
    script.world.network.loss = percent / 100
    script.world.network.jitter_s = ms / 1000


@step(parsers.parse("entry instance {name} is cut off from all news"))
def _(script: Script, name: str) -> None:
    script.world.cut_off.add(name)


@when(parsers.parse("the zone of feed {number:d} is cut from the others"))
def _(script: Script, number: int) -> None:
    world = script.world
    target = world.targets[world.target_of(world.feeds[number - 1].caller)]
    world.network.cut_zones.add(target.member.zone)


@when("the faults are mended")
def _(script: Script) -> None:
    async def mend() -> None:
        world = script.world
        world.network.loss = world.network.jitter_s = 0.0
        world.network.cut_zones.clear()
        for name in list(world.network.frozen):
            world.network.resume(name)
        for name in list(world.cut_off):
            world.cut_off.discard(name)
            world.learn_all(name)

    script.run(mend())


@given(parsers.parse("only entry instance {name} gets packets"))
def _(script: Script, name: str) -> None:
    script.world.sprayed_to = [name]


@when("each entry instance is replaced in turn")
def _(script: Script) -> None:
    async def replace() -> None:
        world = script.world
        for name, entry in list(world.entries.items()):
            world.add_entry(f"{name}-new", entry.member.zone)
            await world.stop_entry(name)
            await asyncio.sleep(30)

    script.run(replace())


@when(parsers.re(r"all entry instances are replaced (?P<how>at once|by ones .*)"))
def _(script: Script, how: str) -> None:
    async def replace() -> None:
        world = script.world
        old = list(world.entries.items())
        for name, entry in old:
            if how != "at once":
                world.cut_off.add(f"{name}-new")
            world.add_entry(f"{name}-new", entry.member.zone)
        await asyncio.gather(*(world.stop_entry(name) for name, _ in old))

    script.run(replace())


@when(parsers.parse("entry instance {name} is killed"))
def _(script: Script, name: str) -> None:
    async def kill() -> None:
        script.world.kill(name)
        await asyncio.sleep(6)
        script.world.change(name, state=MemberState.DOWN)

    script.run(kill())


@when(parsers.parse("target {name} is killed"))
def _(script: Script, name: str) -> None:
    async def kill() -> None:
        script.world.kill(name)
        script.world.change(name, state=MemberState.DOWN)

    script.run(kill())


@when(parsers.re(r"entry instance (?P<name>\S+) (?P<verb>freezes|resumes)$"))
def _(script: Script, name: str, verb: str) -> None:
    freeze(script, name, verb)


@when(parsers.re(r"the target of feed (?P<number>\d+) (?P<verb>freezes|resumes)$"))
def _(script: Script, number: str, verb: str) -> None:
    world = script.world
    freeze(script, world.target_of(world.feeds[int(number) - 1].caller), verb)


def freeze(script: Script, name: str, verb: str) -> None:
    async def act() -> None:
        if verb == "freezes":
            script.world.network.frozen.add(name)
        elif verb == "resumes":
            script.world.network.resume(name)
        else:
            raise ValueError(verb)

    script.run(act())


@when(parsers.parse("{count:d} targets are added to {name}"))
def _(script: Script, count: int, name: str) -> None:
    async def add() -> None:
        for number in range(count):
            script.world.add_target(f"{name}-new-{number}", script.world.zones[0], name)

    script.run(add())


@when(parsers.re(r"(?P<count>\d+) (?P<unit>hour|second)s? pass(es)?$"))
def _(script: Script, count: str, unit: str) -> None:
    script.run(asyncio.sleep(int(count) * UNITS[unit]))


@when(parsers.re(r"target (?P<name>\S+) starts to drain(?P<limit> with .*)?$"))
def _(script: Script, name: str, limit: str | None) -> None:
    drain(script, name, float(limit.split()[-2]) if limit else 8 * 3600.0)


@when(parsers.parse("the target of feed {number:d} starts to drain"))
def _(script: Script, number: int) -> None:
    world = script.world
    drain(script, world.target_of(world.feeds[number - 1].caller), 8 * 3600.0)


def drain(script: Script, name: str, limit_s: float) -> None:
    async def start() -> None:
        target = script.world.targets[name]
        script.runs_before[name] = target.runs.total()
        script.world.change(name, weight=0, state=MemberState.LEAVING)
        target.pipeline.begin_drain(3.0)
        script.drains[name] = asyncio.ensure_future(target.sidecar.drain(3.0, limit_s))

    script.run(start())


@given(parsers.parse("a connection to target {name}"))
def _(script: Script, name: str) -> None:
    script.connection = script.run(connect_to(script, name))


async def connect_to(script: Script, name: str) -> WorldCaller:
    """Open connections until one is at this target."""
    while True:
        caller = await script.world.connect(name.rpartition("-")[0])
        if script.world.target_of(caller) == name:
            return caller


@given(parsers.parse("a request of {seconds:d} seconds is running on the connection"))
def _(script: Script, seconds: int) -> None:
    async def start() -> None:
        path = f"/slow?seconds={seconds}"
        _, script.answer = script.connection.send("GET", path)
        await asyncio.sleep(1)

    script.run(start())


@when("the connection sends a request")
def _(script: Script) -> None:
    async def send() -> None:
        _, script.answer = script.connection.send("GET", "/late")
        await asyncio.wait_for(asyncio.shield(script.answer), 10)

    script.run(send())


@when("the connection sends a request without an answer")
def _(script: Script) -> None:
    name = next(n for n in script.world.targets if n.endswith("-9"))
    script.runs_before[name] = script.world.targets[name].runs.total()

    async def send() -> None:
        script.connection.send("GET", "/lost")
        await asyncio.sleep(20)

    script.run(send())


@when(parsers.parse("target {name} starts at the address of {old}"))
def _(script: Script, name: str, old: str) -> None:
    async def start() -> None:
        address = script.world.members[old].forward_address
        kind = name.rpartition("-")[0]
        zone = script.world.members[old].zone
        script.world.add_target(name, zone, kind, address=address)

    script.run(start())


@when(parsers.parse("{count:d} new connections to {name} are tried"))
def _(script: Script, count: int, name: str) -> None:
    async def connect() -> None:
        tries = [script.world.connect(name) for _ in range(count)]
        await asyncio.gather(*tries, return_exceptions=True)

    script.run(connect())


@step(parsers.parse("{count:d} new connections to {name} are answered"))
def _(script: Script, count: int, name: str) -> None:
    async def ask() -> tuple[int, bytes]:
        return await (await script.world.connect(name)).get("/new")

    async def ask_all() -> list[tuple[int, bytes]]:
        return await asyncio.gather(*(ask() for _ in range(count)))

    assert {status for status, _ in script.run(ask_all())} == {200}


@when(
    parsers.parse("{count:d} connections to {one} and {two} send {n:d} requests each")
)
def _(script: Script, count: int, one: str, two: str, n: int) -> None:
    async def ask(number: int) -> None:
        name = (one, two)[number % 2]
        caller = await script.world.connect(name)
        bodies = [f"{number}.{k}" for k in range(n)]
        posts = [caller.post("/echo", body.encode()) for body in bodies]
        answers = await asyncio.gather(*posts)
        script.answers += zip([name] * n, bodies, answers, strict=True)

    async def ask_all() -> None:
        await asyncio.gather(*(ask(number) for number in range(count)))

    script.run(ask_all())


@when(parsers.parse("the connection's packets are sent to the address of {name}"))
def _(script: Script, name: str) -> None:
    world = script.world
    entry = world.entries["e1"]
    codec = ForwardCodec(KEYS, Direction.TO_TARGET)
    target = world.targets["khata-core-1"]
    other = world.services[name]
    connection_id = script.connection._quic._peer_cid.cid
    packet = b"\x40" + connection_id + bytes(100)
    caller = next(a for a, c in world.callers.items() if c is script.connection)
    script.seen = [entry.router.route(entry.tables[name], packet)]
    # An entry instance that took it for the other service would still be stopped.
    datagram = codec.header(caller, other.endpoints[0]) + packet
    target.sidecar.datagram_received(datagram, ("10.1.0.1", 7000))


@then("all of them are dropped as of another service")
def _(script: Script) -> None:
    assert script.seen == [DropReason.OTHER_SERVICE]
    sidecar = script.world.targets["khata-core-1"].sidecar
    assert sidecar.counts["dropped_other_service"] == 1


@then("each request has its own whole answer")
def _(script: Script) -> None:
    assert len(script.answers) == 150
    for name, body, (status, data) in script.answers:
        answer = json.loads(data)
        assert (status, answer["service"], answer["body"]) == (200, name, body)


@then("no feed has a gap or a repeat")
def _(script: Script) -> None:
    for feed in script.world.feeds:
        assert feed.caller.terminated is None
        numbers = feed.numbers
        assert numbers == list(range(len(numbers)))
        # Lines may still be on their way, but a minute's silence is a gap.
        silence_s = script.loop.time() - feed.opened_at - feed.covered_s
        assert silence_s < LONGEST_SILENCE_S


@then(parsers.parse("target {name} has run nothing new"))
def _(script: Script, name: str) -> None:
    target = script.world.targets[name]
    assert target.runs.total() == script.runs_before.get(name, 0)


@then(parsers.parse("target {name} holds no connection"))
def _(script: Script, name: str) -> None:
    assert script.world.targets[name].sidecar.connections == 0


@then(parsers.parse("first packets were passed on by {name}"))
def _(script: Script, name: str) -> None:
    counts = script.world.targets[name].sidecar.counts
    assert counts["passed_on_connections"] > 0


@then("the request is rejected as not run")
def _(script: Script) -> None:
    assert script.answer.result() == (-H3_REQUEST_REJECTED, b"")


@then("the request has its whole answer")
def _(script: Script) -> None:
    status, data = script.answer.result()
    assert (status, json.loads(data)["path"]) == (200, "/slow")


@then(parsers.re(r"the drain has cut (?P<count>\d+) requests?"))
def _(script: Script, count: str) -> None:
    (drain,) = script.drains.values()
    assert drain.done()
    assert drain.result() == int(count)


@given("an idempotency key from the connection")
def _(script: Script) -> None:
    status, key = script.run(script.connection.get(IDEMPOTENCY_KEY_PATH))
    assert status == 200
    script.key = key.decode()


@given(parsers.parse("another connection to target {name}"))
def _(script: Script, name: str) -> None:
    script.other = script.run(connect_to(script, name))


async def post_line(script: Script, caller: WorldCaller) -> None:
    answer = await caller.post("/lines", b"17", idempotency_key=script.key)
    script.line_answers.append(answer)


@when(parsers.re(r"the line is posted on the (?P<which>other )?connection$"))
def _(script: Script, which: str | None) -> None:
    script.run(post_line(script, script.other if which else script.connection))


@when("the line is posted on both connections at once")
def _(script: Script) -> None:
    async def post_both() -> None:
        callers = (script.connection, script.other)
        await asyncio.gather(*(post_line(script, caller) for caller in callers))

    script.run(post_both())


@when(parsers.parse("the line is posted on a new connection to {name}"))
def _(script: Script, name: str) -> None:
    script.run(post_line(script, script.run(script.world.connect(name))))


@when("the line is posted on the connection and the target dies in its run")
def _(script: Script) -> None:
    async def post() -> None:
        script.connection.send("POST", "/lines", b"17", idempotency_key=script.key)
        target = script.world.targets["khata-core-1"]
        await until(lambda: target.runs[LINE_RUN])
        script.world.kill("khata-core-1")
        script.world.change("khata-core-1", state=MemberState.DOWN)

    script.run(post())


@when(parsers.parse("target {name} is parted from its peers"))
def _(script: Script, name: str) -> None:
    for peers in script.world.peers.values():
        peers.lost.add(name)


@then("both answers are the same")
def _(script: Script) -> None:
    first, second = script.line_answers
    assert first == second
    assert first[0] == 200


@then("the last answer says that the outcome is unknown")
def _(script: Script) -> None:
    assert script.line_answers[-1][0] in (502, 504)


@then(parsers.parse("the line ran {count:d} time"))
def _(script: Script, count: int) -> None:
    targets = script.world.targets.values()
    assert sum(target.runs[LINE_RUN] for target in targets) == count
