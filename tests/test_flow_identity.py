"""Who a flow and a target are: no open flow is reset while that is in doubt."""

from socket import inet_aton

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from cranberryhold.addresses import Address
from cranberryhold.flows.settings import FlowSidecarSettings, MemberSettings
from cranberryhold.flows.sidecar_core import SidecarCore
from cranberryhold.flows.target_state import BeatOutcome
from cranberryhold.platform.packets import PacketCodec
from tests.flow_simulation import (
    ACK,
    FIN,
    MAX_FLOW_S,
    OTHER_SERVICE,
    SERVICE,
    Caller,
    FlowSimulation,
    heartbeat,
    packet,
)
from tests.following import create_telemetry
from tests.sockets import LOOPBACK_IP

FIRST = inet_aton("10.0.1.1")
SECOND = inet_aton("10.0.1.2")
NEW_ENTRY = inet_aton("10.0.0.9")
# Start times are in milliseconds of the simulation's clock, which begins at 1000 s.
START_MS = 990_000


def callers_at(sim, count=10, first_port=40000):
    callers = [Caller(sim, port=first_port + number) for number in range(count)]
    assert all(caller.open() for caller in callers)
    return callers


def requests_of(callers, entry=None):
    return [caller.request(entry=entry) for caller in callers]


def replace_target(sim, ip, started_ms):
    """Let the target crash and start again, without a word to its sidecar."""
    sim.targets[ip].flows.clear()
    return heartbeat(target_id="i-2", started_ms=started_ms, sequence=1)


def test_flows_that_a_restarted_target_accepted_before_its_first_heartbeat_go_on():
    # Guards against resets of living flows: a target is back before it is missed, and
    # its first heartbeat shows a new incarnation.
    sim = FlowSimulation(sidecars=1)
    sim.advance(5.0)
    former = callers_at(sim, 5)
    sim.clock.now += 0.3
    first_heartbeat = replace_target(sim, FIRST, round(sim.clock() * 1000))
    accepted = callers_at(sim, 3, first_port=41000)
    sim.clock.now += 0.7
    sim.sidecars[FIRST].record_heartbeat(first_heartbeat)
    assert requests_of(accepted) == [True] * 3
    assert requests_of(former) == ["reset"] * 5
    sim.clock.now += 4.0
    sim.start_entry(NEW_ENTRY)
    sim.share_statuses()
    assert requests_of(accepted, entry=NEW_ENTRY) == [True] * 3


@pytest.mark.parametrize(
    "other",
    [
        {"target_id": "i-9", "started_ms": 1_002_000},
        {"target_id": "i-9", "started_ms": 1_002_000, "sequence": 500},
        {"target_id": "i-0", "started_ms": 1_009_000, "sequence": 3},
    ],
    ids=["another writer", "another writer, a high number", "late, clock set back"],
)
@pytest.mark.parametrize("restarted", [False, True])
def test_a_heartbeat_of_another_incarnation_ends_no_flow_of_a_living_target(
    other, restarted
):
    # Guards against resets of all open flows at a target that lives, by one heartbeat
    # of another writer, or a late one of a former target whose clock was ahead.
    sim = FlowSimulation(sidecars=2)
    sim.advance(1.0)
    callers = callers_at(sim)
    if restarted:
        sim.restart_sidecar(FIRST)
        sim.share_statuses()
    sim.clock.now += 3.0
    sim.sidecars[FIRST].record_heartbeat(heartbeat(**other))
    sim.share_statuses()
    assert requests_of(callers) == [True] * len(callers)
    for sequence in range(60, 70):
        sim.clock.now += 0.8
        sim.sidecars[FIRST].record_heartbeat(heartbeat(sequence=sequence))
        sim.share_statuses()
    sim.start_entry(NEW_ENTRY)
    sim.share_statuses()
    assert requests_of(callers, entry=NEW_ENTRY) == [True] * len(callers)


def test_a_late_first_heartbeat_does_not_complete_the_table_of_a_new_sidecar():
    # Guards against resets after a planned restart of a sidecar: the first heartbeat
    # that it hears is a late one of a former target, and the living one's seems new.
    sim = FlowSimulation(sidecars=1)
    callers = callers_at(sim)
    sim.start_sidecar(FIRST)
    late = heartbeat(target_id="i-0", started_ms=START_MS - 9000, sequence=7)
    sim.sidecars[FIRST].record_heartbeat(late)
    sim.clock.now += 0.5
    living = heartbeat(started_ms=START_MS, sequence=50)
    sim.sidecars[FIRST].record_heartbeat(living)
    sim.start_entry(NEW_ENTRY)
    sim.share_statuses()
    assert requests_of(callers, entry=NEW_ENTRY) == [True] * len(callers)


def test_a_refused_first_heartbeat_does_not_complete_the_table_of_a_new_sidecar():
    # Guards against resets after a planned restart of a sidecar: the first heartbeat
    # that it hears names another service, and its number is that of a first one.
    sim = FlowSimulation(sidecars=1)
    callers = callers_at(sim)
    sim.start_sidecar(FIRST)
    sim.states[FIRST].update_settings(1.0, 2.0, SERVICE)
    odd = heartbeat(target_id="i-9", service=OTHER_SERVICE)
    assert sim.sidecars[FIRST].record_heartbeat(odd) is BeatOutcome.OUTDATED
    sim.sidecars[FIRST].record_heartbeat(heartbeat(sequence=50))
    sim.start_entry(NEW_ENTRY)
    sim.share_statuses()
    assert requests_of(callers, entry=NEW_ENTRY) == [True] * len(callers)


def test_a_packet_of_a_former_flow_that_is_returned_late_removes_no_later_flow():
    # Guards against a reset of an open flow whose record went with a packet of the
    # flow that its caller had on the same ports before.
    sim = FlowSimulation(sidecars=1)
    (former,) = callers_at(sim, 1)
    abandon(sim, former)
    sim.start_sidecar(FIRST)
    sim.sidecars[FIRST].record_heartbeat(heartbeat(sequence=50))
    sim.share_statuses()
    target = sim.targets[FIRST]
    return_packet, returned = target.return_packet, []
    target.return_packet = returned.append
    assert former.request() is False
    target.return_packet = return_packet
    caller = Caller(sim, port=former.port)
    caller.sequence = sim.random.getrandbits(31)
    assert caller.open()
    for data in returned:
        return_packet(data)
    sim.deliver_all()
    sim.clock.now += MAX_FLOW_S
    sim.sidecars[FIRST].record_heartbeat(heartbeat(sequence=51))
    sim.start_entry(NEW_ENTRY)
    sim.share_statuses()
    assert True in [caller.request(entry=NEW_ENTRY) for _ in range(2)]


def test_a_late_report_of_an_end_resets_no_flow_of_a_living_target():
    # Guards against resets of all open flows at a target that has started again under
    # the id that it had, when the report of its former end arrives late.
    sim = FlowSimulation(sidecars=2)
    callers = callers_at(sim)
    sim.sidecars[FIRST].mark_target_ended("i-1")
    sim.share_statuses()
    assert requests_of(callers) == [True] * len(callers)
    sim.start_entry(NEW_ENTRY)
    sim.share_statuses()
    assert requests_of(callers, entry=NEW_ENTRY) == [True] * len(callers)
    sim.advance(1.0)
    sim.advance(1.0)
    assert sim.sidecars[FIRST].accepts_flows()


def finish_flow(sim, caller):
    """Let the target close a flow, and the caller close it after that."""
    ip = sim.holder(caller)
    sequence = sim.targets[ip].flows.pop(caller.key) + 7
    sim.sidecars[ip].handle_target_packet(
        packet(caller.ip, caller.port, FIN | ACK, sequence=sequence, from_target=True)
    )
    sim.pop_answers()


def abandon(sim, caller):
    """Let both ends forget a flow without a packet."""
    sim.targets[sim.holder(caller)].flows.pop(caller.key)


@pytest.mark.parametrize("is_closed", [True, False], ids=["closed", "abandoned"])
def test_a_flow_on_used_ports_outlives_the_records_of_the_one_before(is_closed):
    # Guards against resets of open flows without any disruption: a caller uses a port
    # again after its flow has ended, and the records of that flow are taken for it.
    sim = FlowSimulation(sidecars=2)
    former = callers_at(sim)
    for caller in former:
        if is_closed:
            finish_flow(sim, caller)
        else:
            abandon(sim, caller)
    sim.clock.now += 1.0
    callers = [Caller(sim, port=caller.port) for caller in former]
    for caller in callers:
        caller.sequence = sim.random.getrandbits(31)
        assert caller.open()
    for _ in range(10):
        assert requests_of(callers) == [True] * len(callers)
        sim.advance(3.0)
        for sidecar in sim.sidecars.values():
            sidecar.sweep()
    sim.start_entry(NEW_ENTRY)
    sim.share_statuses()
    assert requests_of(callers, entry=NEW_ENTRY) == [True] * len(callers)


def test_the_end_of_a_target_does_not_reset_a_later_flow_of_the_same_ports():
    # Guards against a reset because a former flow of the ports ended with a target.
    sim = FlowSimulation(sidecars=2)
    former = callers_at(sim)
    lost = [caller for caller in former if sim.holder(caller) == FIRST]
    assert lost
    sim.targets[FIRST].flows.clear()
    sim.sidecars[FIRST].mark_target_absent()
    sim.share_statuses()
    callers = [Caller(sim, port=caller.port) for caller in lost]
    for caller in callers:
        caller.sequence = sim.random.getrandbits(31)
        assert caller.open()
    sim.start_entry(NEW_ENTRY)
    sim.share_statuses()
    assert requests_of(callers, entry=NEW_ENTRY) == [True] * len(callers)


PORTS = range(40000, 40004)


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["use", "finish", "vanish", "sweep"]),
            st.sampled_from(PORTS),
            st.sampled_from([FIRST, SECOND]),
        ),
        min_size=20,
        max_size=40,
    ),
    st.integers(0, 2**32),
)
def test_no_open_flow_is_reset_however_callers_use_few_ports(steps, seed):
    # Guards against records of former flows, in the table of a sidecar or the cache of
    # an entry instance, that mislead or remove an open flow of the same ports.
    sim = FlowSimulation(sidecars=2, entries=2, seed=seed)
    entries = list(sim.entries)
    is_open, opened_at = {}, {}
    for action, port, ip in steps:
        entry = entries[ip == FIRST]
        if port in is_open and sim.clock() - opened_at[port] >= MAX_FLOW_S:
            # It may be forgotten from now on, so the caller gives it up.
            abandon(sim, is_open.pop(port))
        caller = is_open.get(port)
        if action == "sweep":
            sim.advance(16.0)
            for datapath in sim.sidecars.values():
                datapath.sweep()
        elif caller is None and action == "use":
            caller = Caller(sim, port=port, entry=entry)
            caller.sequence = sim.random.getrandbits(31)
            if caller.open():
                is_open[port], opened_at[port] = caller, sim.clock()
        elif caller is not None and action == "use":
            # The first packet after a change of the holder may only correct a cache.
            answers = [caller.request(entry=entry) for _ in range(2)]
            assert "reset" not in answers
            assert True in answers
        elif caller is not None:
            end = finish_flow if action == "finish" else abandon
            end(sim, is_open.pop(port))


@pytest.mark.parametrize("opened", ["before", "after"])
def test_a_longer_life_of_flows_is_in_effect_at_once(opened):
    # Guards against resets of idle flows that are younger than the changed setting: the
    # log reports it as applied, and the table keeps the one from the start.
    sim = FlowSimulation(sidecars=2)
    callers = callers_at(sim) if opened == "before" else []
    sim.advance(MAX_FLOW_S + 2.0)
    for sidecar in sim.sidecars.values():
        sidecar.sweep()
        sidecar.update_max_flow(1.5 * MAX_FLOW_S)
    callers = callers or callers_at(sim)
    sim.advance(1.1 * MAX_FLOW_S if opened == "after" else 1.0)
    for sidecar in sim.sidecars.values():
        sidecar.sweep()
    sim.start_entry(NEW_ENTRY)
    sim.share_statuses()
    # Flows that were removed before the change are found by asking the targets.
    answers = [
        [caller.request(entry=NEW_ENTRY) for _ in range(3)] for caller in callers
    ]
    assert all("reset" not in tries and True in tries for tries in answers)


def test_changed_settings_of_a_sidecar_reach_the_part_that_uses_them():
    # Guards against a setting that the log reports as applied, and is not.
    member = dict.fromkeys(
        ("packet_address", "peer_address", "ready_address", "metrics_address", "store"),
        Address(LOOPBACK_IP, 1),
    )
    settings = FlowSidecarSettings(
        MemberSettings(
            name="s", zone="a", seeds=(), stop_limit_s=6.0, max_flow_s=60.0, **member
        ),
        outbound_address=Address(LOOPBACK_IP, 1),
        heartbeat_address=Address(LOOPBACK_IP, 1),
        target_address=Address(LOOPBACK_IP, 1),
        service="core",
        heartbeat_interval_s=1.0,
        address_reuse_s=2.0,
    )
    core = SidecarCore(settings, PacketCodec(), create_telemetry())
    changed = structs.replace(
        settings,
        member=structs.replace(settings.member, max_flow_s=90.0),
        service="other",
        heartbeat_interval_s=0.5,
    )
    core.apply_settings(changed)
    assert core.datapath.flows.max_age_s == 90.0
    assert core.settings.service == "other"
    assert core.settings.heartbeat_interval_s == 0.5
