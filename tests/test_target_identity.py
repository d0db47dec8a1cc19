"""Flows of a target whose identity is in doubt: nothing that is open is reset."""

from socket import inet_aton

import pytest

from tests.flow_simulation import Caller, FlowSimulation, heartbeat

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
