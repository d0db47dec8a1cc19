"""What a sidecar believes of its target: which one runs, and whether it takes flows."""

import pytest

from cranberryhold.flows.envelope import service_tag
from cranberryhold.flows.heartbeat import TargetPhase
from cranberryhold.flows.target_state import (
    NO_TARGET,
    UNKNOWN_SERVICE,
    BeatOutcome,
    EndOutcome,
    TargetState,
)
from tests.flow_simulation import OTHER_SERVICE, SERVICE, heartbeat

CORE = service_tag("core")
OTHER = service_tag("other")


class TestTargetState:
    def state(self):
        return TargetState(heartbeat_interval_s=1.0, address_reuse_s=2.0)

    def test_flows_are_accepted_while_the_target_is_ready_and_sends_heartbeats(self):
        state = self.state()
        assert not state.accepts_flows(0.0)
        state.record_heartbeat(heartbeat(), 0.0)
        assert state.accepts_flows(1.8)
        assert not state.accepts_flows(2.0)
        assert state.service == CORE

    def test_a_late_first_heartbeat_of_another_service_names_no_target(self):
        # Guards against flows of one service that reach the target of another: a late
        # heartbeat of a former target at the address is the first that a process hears.
        state = TargetState(1.0, 2.0, service="core")
        late = heartbeat(target_id="i-0", started_ms=9, sequence=30, service="other")
        assert state.record_heartbeat(late, 0.0) is BeatOutcome.OUTDATED
        assert state.service == UNKNOWN_SERVICE
        assert not state.accepts_flows(0.0)
        outcome = state.record_heartbeat(heartbeat(started_ms=10), 0.1)
        assert outcome is BeatOutcome.NEW_INCARNATION
        assert state.service == CORE
        assert state.accepts_flows(0.1)

    @pytest.mark.parametrize("is_heard", [False, True])
    def test_a_target_of_another_service_is_believed_if_it_goes_on(self, is_heard):
        # Guards against a target that is never used because the settings of the sidecar
        # name the service of the one before.
        state = TargetState(1.0, 2.0, service="core")
        if is_heard:
            state.record_heartbeat(heartbeat(started_ms=1), -9.0)
        other = {"target_id": "i-2", "started_ms": 20, "service": "other"}
        outcomes = [
            state.record_heartbeat(heartbeat(sequence=number, **other), 0.8 * number)
            for number in range(1, 5)
        ]
        assert outcomes[:2] == [BeatOutcome.OUTDATED] * 2
        assert outcomes[2:] == [BeatOutcome.NEW_INCARNATION, BeatOutcome.REFRESHED]
        assert state.service == OTHER
        assert state.accepts_flows(3.2)

    def test_a_late_heartbeat_does_not_undo_draining(self):
        state = self.state()
        state.record_heartbeat(heartbeat(sequence=1), 0.0)
        drains = heartbeat(sequence=3, phase=TargetPhase.DRAINING)
        assert state.record_heartbeat(drains, 0.1) is BeatOutcome.DRAINS
        assert (
            state.record_heartbeat(heartbeat(sequence=2), 0.2) is BeatOutcome.OUTDATED
        )
        assert not state.accepts_flows(0.2)

    def test_a_late_heartbeat_of_a_replaced_target_whose_clock_was_ahead_is_ignored(
        self,
    ):
        # Guards against a living target whose heartbeats are refused for seconds, as a
        # late one of the target before it, from before the clock was set back, has a
        # later start.
        state = self.state()
        ahead = {"target_id": "i-0", "started_ms": 5000}
        state.record_heartbeat(heartbeat(**ahead), 0.0)
        for number in range(1, 5):
            behind = heartbeat(started_ms=2000, sequence=number)
            state.record_heartbeat(behind, 2.0 + number)
        assert state.last_heartbeat.target_id == "i-1"
        late = heartbeat(sequence=9, **ahead)
        assert state.record_heartbeat(late, 6.5) is BeatOutcome.OUTDATED
        assert state.accepts_flows(6.5)

    def test_a_late_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        state = self.state()
        state.record_heartbeat(heartbeat(started_ms=10, service="core"), 0.0)
        state.record_heartbeat(
            heartbeat(target_id="i-2", started_ms=20, service="other"), 2.0
        )
        late = heartbeat(started_ms=10, sequence=99)
        assert state.record_heartbeat(late, 2.1) is BeatOutcome.OUTDATED
        assert state.service == OTHER

    @pytest.mark.parametrize("end", ["reported", "not listening", "silent"])
    def test_a_target_whose_clock_was_set_back_is_used_after_a_restart(self, end):
        # Guards against a target that gets no flows for all its life, as its start
        # time is earlier than that of the target before it.
        state = self.state()
        state.record_heartbeat(heartbeat(started_ms=5000, sequence=8), 0.0)
        if end == "reported":
            state.mark_ended("i-1")
        elif end == "not listening":
            state.mark_absent()
        restarted = {"target_id": "i-2", "started_ms": 3500}
        for sequence in range(1, 5):
            now = 0.5 + sequence
            state.record_heartbeat(heartbeat(sequence=sequence, **restarted), now)
        assert state.last_heartbeat.target_id == "i-2"
        assert state.accepts_flows(now)

    def test_late_heartbeats_of_an_earlier_incarnation_do_not_replace_a_target(self):
        state = self.state()
        state.record_heartbeat(heartbeat(started_ms=10, sequence=3), 0.0)
        state.record_heartbeat(heartbeat(target_id="i-2", started_ms=20), 1.0)
        state.mark_absent()
        for sequence in (4, 5, 6):
            late = heartbeat(started_ms=10, sequence=sequence)
            assert state.record_heartbeat(late, 5.0) is BeatOutcome.OUTDATED

    @pytest.mark.parametrize("odd", [{"target_id": "i-9"}, {"sequence": 10**6}])
    def test_a_target_is_used_again_after_a_heartbeat_of_another_writer(self, odd):
        # Guards against a running target that gets no flows for all its life, as one
        # heartbeat with a later start, or a higher number, hides all of its own.
        state = self.state()
        state.record_heartbeat(heartbeat(started_ms=10, sequence=1), 0.0)
        later = {"started_ms": 10 if "sequence" in odd else 20, **odd}
        state.record_heartbeat(heartbeat(**later), 0.5)
        for sequence in range(2, 7):
            now = float(sequence)
            state.record_heartbeat(heartbeat(started_ms=10, sequence=sequence), now)
        assert state.last_heartbeat.target_id == "i-1"
        assert state.last_heartbeat.sequence == 6
        assert state.accepts_flows(6.0)

    def test_an_earlier_start_does_not_replace_a_target_that_sends(self):
        state = self.state()
        for number in range(1, 9):
            now = 0.9 * number
            state.record_heartbeat(heartbeat(started_ms=20, sequence=number), now)
            earlier = heartbeat(target_id="i-0", started_ms=10, sequence=number)
            outcome = state.record_heartbeat(earlier, now + 0.1)
            assert outcome is BeatOutcome.OUTDATED

    def test_one_late_heartbeat_does_not_replace_a_silent_target(self):
        state = self.state()
        state.record_heartbeat(heartbeat(started_ms=20), 0.0)
        late = heartbeat(target_id="i-0", started_ms=10, sequence=7)
        for now in (5.0, 6.0):
            assert state.record_heartbeat(late, now) is BeatOutcome.OUTDATED

    def test_the_same_id_with_a_later_start_is_a_new_incarnation(self):
        state = self.state()
        state.record_heartbeat(heartbeat(started_ms=10, sequence=50), 0.0)
        restarted = heartbeat(started_ms=20, sequence=1)
        assert state.record_heartbeat(restarted, 1.0) is BeatOutcome.NEW_INCARNATION
        assert state.accepts_flows(1.0)

    def test_only_a_new_incarnation_accepts_flows_after_the_end(self):
        state = self.state()
        drains = heartbeat(phase=TargetPhase.DRAINING)
        state.record_heartbeat(drains, 0.0)
        assert state.mark_ended("i-2") is EndOutcome.OTHER_TARGET
        assert state.mark_ended("i-1") is EndOutcome.ENDED
        assert state.service == NO_TARGET
        assert (
            state.record_heartbeat(heartbeat(sequence=9), 0.1) is BeatOutcome.OUTDATED
        )
        state.record_heartbeat(heartbeat(target_id="i-2", started_ms=9), 0.2)
        assert state.accepts_flows(0.2)

    def test_a_target_whose_end_was_reported_late_is_used_again(self):
        # Guards against a target that is ended for good by a late report of a former
        # incarnation with its id.
        state = self.state()
        state.record_heartbeat(heartbeat(sequence=1), 0.0)
        assert state.mark_ended("i-1") is EndOutcome.DOUBTFUL
        assert state.service == CORE
        assert not state.accepts_flows(0.1)
        state.record_heartbeat(heartbeat(sequence=2), 1.0)
        assert not state.accepts_flows(1.0)
        state.record_heartbeat(heartbeat(sequence=3), 2.0)
        assert state.accepts_flows(2.0)

    def test_heartbeats_that_arrive_together_do_not_revive_an_ended_target(self):
        # Guards against flows that are offered to a target which has ended, and whose
        # last heartbeats a cut has delayed.
        state = self.state()
        state.record_heartbeat(heartbeat(sequence=1), 0.0)
        state.mark_ended("i-1")
        for sequence in (2, 3, 4):
            state.record_heartbeat(heartbeat(sequence=sequence), 0.5)
            assert not state.accepts_flows(0.5)

    @pytest.mark.parametrize("is_heard", [False, True])
    def test_a_draining_target_that_has_ended_is_not_revived(self, is_heard):
        state = self.state()
        state.record_heartbeat(heartbeat(phase=TargetPhase.DRAINING), 0.0)
        state.mark_ended("i-1")
        for sequence in (2, 3, 4, 5):
            if is_heard:
                state.record_heartbeat(heartbeat(sequence=sequence), sequence)
            assert not state.accepts_flows(sequence)
            assert state.service == NO_TARGET

    def test_a_listening_target_is_presumed_ready_until_a_heartbeat_is_due(self):
        # Otherwise, a restarted sidecar refuses all flows until the next heartbeat.
        state = self.state()
        assert state.presume_ready(SERVICE, 10.0)
        assert not state.presume_ready(SERVICE, 10.5)
        assert state.service == CORE
        assert state.accepts_flows(11.8)
        assert not state.accepts_flows(12.0)
        state.record_heartbeat(heartbeat(phase=TargetPhase.DRAINING), 10.2)
        assert not state.accepts_flows(10.3)

    @pytest.mark.parametrize("known", ["heard", "ended", "absent"])
    def test_a_known_target_is_not_presumed(self, known):
        state = self.state()
        if known == "absent":
            state.mark_absent()
        else:
            state.record_heartbeat(heartbeat(service=OTHER_SERVICE), 0.0)
        if known == "ended":
            state.mark_ended("i-1")
        before = state.service
        assert not state.presume_ready(SERVICE, 0.1)
        assert state.service == before

    def test_an_absent_target_is_present_again_after_its_next_heartbeat(self):
        state = self.state()
        assert state.service == UNKNOWN_SERVICE
        assert state.mark_absent()
        assert not state.mark_absent()
        assert state.service == NO_TARGET
        state.record_heartbeat(heartbeat(), 0.0)
        assert state.accepts_flows(0.0)
