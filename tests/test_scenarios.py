"""Steps of the scenarios in ``features``, which run in virtual time."""

import asyncio
import json
from collections.abc import Iterator

import pytest
from pytest_bdd import given, parsers, scenarios, step, then, when

from cranberryhold.datapath.packets import Direction, ForwardCodec
from cranberryhold.datapath.routing import DropReason
from cranberryhold.membership.members import MemberState
from cranberryhold.requests.exchange import IDEMPOTENCY_KEY_PATH
from tests.scenario_context import ZONES, ScenarioContext, service
from tests.simulation import KEYS, SimulatedCaller, Simulation
from tests.waiting import until

scenarios("features")

UNITS = {"hour": 3600.0, "second": 1.0}
H3_REQUEST_REJECTED = 0x10B
MAX_GAP_S = 60.0
LINE_RUN = "POST /lines 17"


@pytest.fixture
def context(certificate: tuple[str, str]) -> Iterator[ScenarioContext]:
    """Provide the context of one scenario."""
    context = ScenarioContext(certificate)
    yield context
    context.close()


@given(parsers.parse("the data centres of {user} with {count:d} entry instances"))
def _(context: ScenarioContext, user: str, count: int) -> None:
    zones, delay_s, context.slots = ZONES[user]

    async def build() -> None:
        context.simulation = Simulation(zones, delay_s, context.certificate)
        for number in range(count):
            context.simulation.add_entry(f"e{number + 1}", zones[number % len(zones)])

    context.run(build())


@step(parsers.re(r"(?P<name>[a-z-]+) with (?P<count>\d+) targets( is added)?$"))
def _(context: ScenarioContext, name: str, count: str) -> None:
    async def build() -> None:
        simulation = context.simulation
        simulation.add_service(service(name, context.slots))
        for number in range(int(count)):
            zone = simulation.zones[number % len(simulation.zones)]
            simulation.add_target(f"{name}-{number + 1}", zone, name)
        await simulation.wait_for_updates()

    context.run(build())


@given(parsers.parse("{count:d} open feeds of {name}"))
def _(context: ScenarioContext, count: int, name: str) -> None:
    for _ in range(count):
        context.run(context.simulation.open_feed(name))


@step(
    parsers.parse("links between zones lose {percent:d} % with a jitter of {ms:d} ms")
)
def _(context: ScenarioContext, percent: int, ms: int) -> None:
    context.simulation.network.loss = percent / 100
    context.simulation.network.jitter_s = ms / 1000


@step(parsers.parse("entry instance {name} receives no membership updates"))
def _(context: ScenarioContext, name: str) -> None:
    context.simulation.isolated.add(name)


@when(parsers.parse("the zone of feed {number:d} is partitioned from the others"))
def _(context: ScenarioContext, number: int) -> None:
    simulation = context.simulation
    target = simulation.targets[
        simulation.target_of(simulation.feeds[number - 1].caller)
    ]
    simulation.network.partitioned_zones.add(target.member.zone)


@when("the faults are cleared")
def _(context: ScenarioContext) -> None:
    async def clear_faults() -> None:
        simulation = context.simulation
        simulation.network.loss = simulation.network.jitter_s = 0.0
        simulation.network.partitioned_zones.clear()
        for name in list(simulation.network.frozen):
            simulation.network.resume(name)
        for name in list(simulation.isolated):
            simulation.isolated.discard(name)
            simulation.sync_members(name)

    context.run(clear_faults())


@given(parsers.parse("only entry instance {name} receives packets"))
def _(context: ScenarioContext, name: str) -> None:
    context.simulation.active_entries = [name]


@when("each entry instance is replaced in turn")
def _(context: ScenarioContext) -> None:
    async def replace() -> None:
        simulation = context.simulation
        for name, entry in list(simulation.entries.items()):
            simulation.add_entry(f"{name}-new", entry.member.zone)
            await simulation.stop_entry(name)
            await asyncio.sleep(30)

    context.run(replace())


@when(parsers.re(r"all entry instances are replaced (?P<how>at once|by ones .*)"))
def _(context: ScenarioContext, how: str) -> None:
    async def replace() -> None:
        simulation = context.simulation
        old = list(simulation.entries.items())
        for name, entry in old:
            if how != "at once":
                simulation.isolated.add(f"{name}-new")
            simulation.add_entry(f"{name}-new", entry.member.zone)
        await asyncio.gather(*(simulation.stop_entry(name) for name, _ in old))

    context.run(replace())


@when(parsers.parse("entry instance {name} is killed"))
def _(context: ScenarioContext, name: str) -> None:
    async def kill() -> None:
        context.simulation.kill(name)
        await asyncio.sleep(6)
        context.simulation.update_member(name, state=MemberState.DOWN)

    context.run(kill())


@when(parsers.parse("target {name} is killed"))
def _(context: ScenarioContext, name: str) -> None:
    async def kill() -> None:
        context.simulation.kill(name)
        context.simulation.update_member(name, state=MemberState.DOWN)

    context.run(kill())


@when(parsers.re(r"entry instance (?P<name>\S+) (?P<verb>freezes|resumes)$"))
def _(context: ScenarioContext, name: str, verb: str) -> None:
    freeze_or_resume(context, name, verb)


@when(parsers.re(r"the target of feed (?P<number>\d+) (?P<verb>freezes|resumes)$"))
def _(context: ScenarioContext, number: str, verb: str) -> None:
    simulation = context.simulation
    freeze_or_resume(
        context, simulation.target_of(simulation.feeds[int(number) - 1].caller), verb
    )


def freeze_or_resume(context: ScenarioContext, name: str, verb: str) -> None:
    async def act() -> None:
        if verb == "freezes":
            context.simulation.network.frozen.add(name)
        elif verb == "resumes":
            context.simulation.network.resume(name)
        else:
            raise ValueError(verb)

    context.run(act())


@when(parsers.parse("{count:d} targets are added to {name}"))
def _(context: ScenarioContext, count: int, name: str) -> None:
    async def add() -> None:
        for number in range(count):
            context.simulation.add_target(
                f"{name}-new-{number}", context.simulation.zones[0], name
            )

    context.run(add())


@when(parsers.re(r"(?P<count>\d+) (?P<unit>hour|second)s? pass(es)?$"))
def _(context: ScenarioContext, count: str, unit: str) -> None:
    context.run(asyncio.sleep(int(count) * UNITS[unit]))


@when(parsers.re(r"target (?P<name>\S+) starts to drain(?P<limit> with .*)?$"))
def _(context: ScenarioContext, name: str, limit: str | None) -> None:
    start_drain(context, name, float(limit.split()[-2]) if limit else 8 * 3600.0)


@when(parsers.parse("the target of feed {number:d} starts to drain"))
def _(context: ScenarioContext, number: int) -> None:
    simulation = context.simulation
    start_drain(
        context, simulation.target_of(simulation.feeds[number - 1].caller), 8 * 3600.0
    )


def start_drain(context: ScenarioContext, name: str, limit_s: float) -> None:
    async def start() -> None:
        target = context.simulation.targets[name]
        context.executions_before[name] = target.executions.total()
        context.simulation.update_member(name, weight=0, state=MemberState.LEAVING)
        target.pipeline.begin_drain(3.0)
        context.drains[name] = asyncio.ensure_future(target.sidecar.drain(3.0, limit_s))

    context.run(start())


@given(parsers.parse("a connection to target {name}"))
def _(context: ScenarioContext, name: str) -> None:
    context.connection = context.run(connect_to_target(context, name))


async def connect_to_target(context: ScenarioContext, name: str) -> SimulatedCaller:
    """Open connections until one is placed on this target."""
    while True:
        caller = await context.simulation.connect(name.rpartition("-")[0])
        if context.simulation.target_of(caller) == name:
            return caller


@given(parsers.parse("a request of {seconds:d} seconds is running on the connection"))
def _(context: ScenarioContext, seconds: int) -> None:
    async def start() -> None:
        path = f"/slow?seconds={seconds}"
        _, context.pending_response = context.connection.send("GET", path)
        await asyncio.sleep(1)

    context.run(start())


@when("the connection sends a request")
def _(context: ScenarioContext) -> None:
    async def send() -> None:
        _, context.pending_response = context.connection.send("GET", "/late")
        await asyncio.wait_for(asyncio.shield(context.pending_response), 10)

    context.run(send())


@when("the connection sends a request that gets no answer")
def _(context: ScenarioContext) -> None:
    name = next(n for n in context.simulation.targets if n.endswith("-9"))
    context.executions_before[name] = context.simulation.targets[
        name
    ].executions.total()

    async def send() -> None:
        context.connection.send("GET", "/lost")
        await asyncio.sleep(20)

    context.run(send())


@when(parsers.parse("target {name} starts at the address of {old}"))
def _(context: ScenarioContext, name: str, old: str) -> None:
    async def start() -> None:
        address = context.simulation.members[old].forward_address
        service_name = name.rpartition("-")[0]
        zone = context.simulation.members[old].zone
        context.simulation.add_target(name, zone, service_name, address=address)

    context.run(start())


@when(parsers.parse("{count:d} new connections to {name} are attempted"))
def _(context: ScenarioContext, count: int, name: str) -> None:
    async def connect() -> None:
        attempts = [context.simulation.connect(name) for _ in range(count)]
        await asyncio.gather(*attempts, return_exceptions=True)

    context.run(connect())


@step(parsers.parse("{count:d} new connections to {name} are answered"))
def _(context: ScenarioContext, count: int, name: str) -> None:
    async def send_request() -> tuple[int, bytes]:
        return await (await context.simulation.connect(name)).get("/new")

    async def send_all() -> list[tuple[int, bytes]]:
        return await asyncio.gather(*(send_request() for _ in range(count)))

    assert {status for status, _ in context.run(send_all())} == {200}


@when(
    parsers.parse("{count:d} connections to {one} and {two} send {n:d} requests each")
)
def _(context: ScenarioContext, count: int, one: str, two: str, n: int) -> None:
    async def send_requests(number: int) -> None:
        name = (one, two)[number % 2]
        caller = await context.simulation.connect(name)
        bodies = [f"{number}.{k}" for k in range(n)]
        posts = [caller.post("/echo", body.encode()) for body in bodies]
        responses = await asyncio.gather(*posts)
        context.responses += zip([name] * n, bodies, responses, strict=True)

    async def send_all() -> None:
        await asyncio.gather(*(send_requests(number) for number in range(count)))

    context.run(send_all())


@when(parsers.parse("the connection's packets are sent to the address of {name}"))
def _(context: ScenarioContext, name: str) -> None:
    simulation = context.simulation
    entry = simulation.entries["e1"]
    codec = ForwardCodec(KEYS, Direction.TO_TARGET)
    target = simulation.targets["khata-core-1"]
    other_service = simulation.services[name]
    connection_id = context.connection._quic._peer_cid.cid
    packet = b"\x40" + connection_id + bytes(100)
    caller = next(a for a, c in simulation.callers.items() if c is context.connection)
    context.routes = [entry.router.route(entry.tables[name], packet)]
    # The sidecar drops it even if an entry instance took it for the other service.
    datagram = codec.header(caller, other_service.endpoints[0]) + packet
    target.sidecar.datagram_received(datagram, ("10.1.0.1", 7000))


@then("all of them are dropped as packets of another service")
def _(context: ScenarioContext) -> None:
    assert context.routes == [DropReason.OTHER_SERVICE]
    sidecar = context.simulation.targets["khata-core-1"].sidecar
    assert sidecar.counts["dropped_other_service"] == 1


@then("each request gets its own complete answer")
def _(context: ScenarioContext) -> None:
    assert len(context.responses) == 150
    for name, body, (status, data) in context.responses:
        content = json.loads(data)
        assert (status, content["service"], content["body"]) == (200, name, body)


@then("no feed has a gap or a duplicate")
def _(context: ScenarioContext) -> None:
    for feed in context.simulation.feeds:
        assert feed.caller.terminated is None
        numbers = feed.numbers
        assert numbers == list(range(len(numbers)))
        # The last lines may still be in transit, but a minute without one is a gap.
        gap_s = context.loop.time() - feed.opened_at - feed.covered_s
        assert gap_s < MAX_GAP_S


@then(parsers.parse("target {name} has run no further request"))
def _(context: ScenarioContext, name: str) -> None:
    target = context.simulation.targets[name]
    assert target.executions.total() == context.executions_before.get(name, 0)


@then(parsers.parse("target {name} holds no connection"))
def _(context: ScenarioContext, name: str) -> None:
    assert context.simulation.targets[name].sidecar.connections == 0


@then(parsers.parse("first packets were passed on by {name}"))
def _(context: ScenarioContext, name: str) -> None:
    counts = context.simulation.targets[name].sidecar.counts
    assert counts["passed_on_connections"] > 0


@then("the request is rejected as not run")
def _(context: ScenarioContext) -> None:
    assert context.pending_response.result() == (-H3_REQUEST_REJECTED, b"")


@then("the request gets its complete answer")
def _(context: ScenarioContext) -> None:
    status, data = context.pending_response.result()
    assert (status, json.loads(data)["path"]) == (200, "/slow")


@then(parsers.re(r"the drain has cancelled (?P<count>\d+) requests?"))
def _(context: ScenarioContext, count: str) -> None:
    (drain,) = context.drains.values()
    assert drain.done()
    assert drain.result() == int(count)


@given("an idempotency key from the connection")
def _(context: ScenarioContext) -> None:
    status, key = context.run(context.connection.get(IDEMPOTENCY_KEY_PATH))
    assert status == 200
    context.idempotency_key = key.decode()


@given(parsers.parse("another connection to target {name}"))
def _(context: ScenarioContext, name: str) -> None:
    context.other_connection = context.run(connect_to_target(context, name))


async def post_line(context: ScenarioContext, caller: SimulatedCaller) -> None:
    response = await caller.post(
        "/lines", b"17", idempotency_key=context.idempotency_key
    )
    context.line_responses.append(response)


@when(parsers.re(r"the line is posted on the (?P<which>other )?connection$"))
def _(context: ScenarioContext, which: str | None) -> None:
    context.run(
        post_line(context, context.other_connection if which else context.connection)
    )


@when("the line is posted on both connections at once")
def _(context: ScenarioContext) -> None:
    async def post_both() -> None:
        callers = (context.connection, context.other_connection)
        await asyncio.gather(*(post_line(context, caller) for caller in callers))

    context.run(post_both())


@when(parsers.parse("the line is posted on a new connection to {name}"))
def _(context: ScenarioContext, name: str) -> None:
    context.run(post_line(context, context.run(context.simulation.connect(name))))


@when("the line is posted on the connection and the target is killed while it runs")
def _(context: ScenarioContext) -> None:
    async def post() -> None:
        context.connection.send(
            "POST", "/lines", b"17", idempotency_key=context.idempotency_key
        )
        target = context.simulation.targets["khata-core-1"]
        await until(lambda: target.executions[LINE_RUN])
        context.simulation.kill("khata-core-1")
        context.simulation.update_member("khata-core-1", state=MemberState.DOWN)

    context.run(post())


@when(parsers.parse("target {name} is partitioned from its peers"))
def _(context: ScenarioContext, name: str) -> None:
    for peers in context.simulation.peers.values():
        peers.lost.add(name)


@then("both answers are the same")
def _(context: ScenarioContext) -> None:
    first, second = context.line_responses
    assert first == second
    assert first[0] == 200


@then("the last answer says that the outcome is unknown")
def _(context: ScenarioContext) -> None:
    assert context.line_responses[-1][0] in (502, 504)


@then(parsers.parse("the line ran {count:d} time"))
def _(context: ScenarioContext, count: int) -> None:
    targets = context.simulation.targets.values()
    assert sum(target.executions[LINE_RUN] for target in targets) == count
