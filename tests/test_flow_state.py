"""Tests of the state of the datapaths: bounds, order, time-outs and encoding."""

from socket import inet_aton

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.flows import flow_cache, flow_table, pending_deliveries
from cranberryhold.flows.envelope import (
    MAX_CANDIDATES,
    NARROW_MAGIC,
    WIDE_MAGIC,
    Envelope,
    Purpose,
    decode_envelope,
    max_candidates_for,
    service_tag,
)
from cranberryhold.flows.flow_cache import FlowCache
from cranberryhold.flows.flow_table import FlowTable
from cranberryhold.flows.heartbeat import TargetPhase
from cranberryhold.flows.peer_messages import (
    FlowHeld,
    decode_message,
    encode_message,
)
from cranberryhold.flows.pending_deliveries import PendingDeliveries
from cranberryhold.flows.rendezvous import rendezvous_order
from cranberryhold.flows.route_table import RouteTable, changed_routes
from cranberryhold.flows.target_state import (
    NO_TARGET,
    UNKNOWN_SERVICE,
    BeatOutcome,
    EndOutcome,
    TargetState,
)
from cranberryhold.platform.packets import PacketCodec
from tests.flow_simulation import (
    ACK,
    FIN,
    OTHER_SERVICE,
    SERVICE,
    SYN,
    configuration,
    heartbeat,
    packet,
)

CALLER = inet_aton("100.64.0.7")
CORE = service_tag("core")
OTHER = service_tag("other")


def segment(flags=ACK, **values):
    return PacketCodec().decode(packet(CALLER, 40001, flags, **values))


def key(number):
    return number.to_bytes(12, "big")


class TestFlowTable:
    def accept_flow(self, table, number=1, now=0.0, sequence=100):
        answer = segment(SYN | ACK, sequence=sequence, from_target=True)
        return table.record_sent(key(number), answer, now)

    def test_a_new_flow_occupies_a_slot_until_the_target_answers(self):
        table = FlowTable(60.0)
        self.accept_flow(table)
        assert table.running == 1
        table.record_sent(key(1), segment(sequence=101, data=b"answer"), 0.1)
        assert table.running == 0
        table.record_delivered(key(1), segment(data=b"request"), 0.2)
        table.record_delivered(key(1), segment(data=b"more"), 0.2)
        assert table.running == 1

    def test_a_request_without_an_answer_frees_its_slot_in_time(self):
        table = FlowTable(60.0)
        self.accept_flow(table)
        table.sweep(flow_table.MAX_RUNNING_S + 0.1)
        assert table.running == 0
        assert len(table) == 1

    @pytest.mark.parametrize(
        ("acknowledgment", "own"),
        [(101, True), (107, True), (108, True), (109, False), (99, False)],
    )
    def test_only_acknowledgments_of_sent_bytes_are_accepted(self, acknowledgment, own):
        table = FlowTable(60.0)
        record = self.accept_flow(table)
        table.record_sent(key(1), segment(sequence=101, data=b"answer"), 0.1)
        assert (
            record.accepts_acknowledgment(segment(acknowledgment=acknowledgment)) == own
        )

    def test_sequence_numbers_may_wrap(self):
        table = FlowTable(60.0)
        record = self.accept_flow(table, sequence=2**32 - 1)
        table.record_sent(key(1), segment(sequence=0, data=b"answer"), 0.1)
        assert record.accepts_acknowledgment(segment(acknowledgment=6))

    def test_closed_and_idle_flows_are_removed(self):
        table = FlowTable(60.0)
        self.accept_flow(table, 1)
        self.accept_flow(table, 2)
        table.record_sent(key(1), segment(FIN | ACK, sequence=101), 0.1)
        assert table.sweep(flow_table.CLOSED_RETENTION_S + 0.2) == 1
        assert table.sweep(61.0) == 1
        assert len(table) == 0

    def test_the_number_of_flows_is_bounded(self, monkeypatch):
        monkeypatch.setattr(flow_table, "MAX_FLOWS", 10)
        table = FlowTable(60.0)
        for number in range(50):
            self.accept_flow(table, number)
        assert len(table) == 10
        assert table.running == 10

    @given(
        st.lists(st.tuples(st.integers(0, 5), st.sampled_from("saqfrx")), max_size=80)
    )
    def test_the_counters_match_the_records(self, steps):
        table = FlowTable(60.0)
        for number, step in steps:
            if step == "s":
                self.accept_flow(table, number)
            elif step == "a":
                table.record_sent(key(number), segment(sequence=101, data=b"a"), 1.0)
            elif step == "q":
                table.record_delivered(key(number), segment(data=b"q"), 1.0)
            elif step == "f":
                table.record_sent(key(number), segment(FIN, sequence=101), 1.0)
            elif step == "r":
                table.remove(key(number))
            else:
                table.sweep(17.0)
            records = [table.get(key(n)) for n in range(6)]
            assert table.running == sum(r.running for r in records if r)
            unclosed = [r for r in records if r and r.closed_at is None]
            assert table.unclosed == len(unclosed)


class TestFlowCache:
    def test_the_number_of_flows_is_bounded(self, monkeypatch):
        monkeypatch.setattr(flow_cache, "MAX_FLOWS", 10)
        cache = FlowCache()
        for number in range(50):
            cache.get_or_create(key(number), CORE, 0.0)
        assert len(cache) == 10

    def test_the_flow_unused_for_longest_is_evicted(self, monkeypatch):
        # A long flow is inserted first and used often; new flows must not evict it.
        monkeypatch.setattr(flow_cache, "MAX_FLOWS", 10)
        cache = FlowCache()
        cache.get_or_create(key(0), CORE, 0.0)
        for number in range(1, 50):
            assert cache.get(key(0)) is not None
            cache.get_or_create(key(number), CORE, 0.0)
        assert len(cache) == 10

    def test_idle_flows_are_removed(self):
        cache = FlowCache()
        cache.get_or_create(key(1), CORE, 0.0)
        assert cache.sweep(10.0, 15.0) == 0
        assert cache.sweep(16.0, 15.0) == 1

    def test_the_holder_is_the_one_whose_sequence_numbers_are_acknowledged(self):
        location = FlowCache().get_or_create(key(1), CORE, 0.0)
        location.holders = {b"far ": 5_000_000, b"near": 1_000}
        assert location.holder_for(segment(acknowledgment=1_500)) == b"near"
        assert location.holder_for(segment(acknowledgment=900)) is None


def test_the_number_of_pending_deliveries_is_bounded(monkeypatch):
    monkeypatch.setattr(pending_deliveries, "MAX_PENDING", 8)
    pending = PendingDeliveries(2**32 - 3)
    envelope = Envelope(Purpose.OPEN, 0, CALLER, CORE, (CALLER,), b"packet")
    tokens = [pending.add(envelope) for _ in range(20)]
    assert len(set(tokens)) == 20
    assert 0 not in tokens
    assert pending.pop(tokens[-1]) is envelope
    assert pending.pop(tokens[-1]) is None
    assert pending.pop(tokens[0]) is None


class TestEnvelope:
    @given(
        purpose=st.sampled_from(Purpose),
        candidates=st.lists(
            st.binary(min_size=4, max_size=4), min_size=1, max_size=MAX_CANDIDATES
        ),
        bits=st.integers(0, 2**MAX_CANDIDATES - 1),
        data=st.binary(min_size=1, max_size=1232),
        complete=st.booleans(),
    )
    def test_what_is_encoded_is_decoded(
        self, purpose, candidates, bits, data, complete
    ):
        inconclusive = bits % 2 ** len(candidates)
        envelope = Envelope(
            purpose,
            len(candidates) - 1,
            CALLER,
            CORE,
            tuple(candidates),
            data,
            inconclusive=inconclusive,
            least_loaded=0,
            least_load=7,
            complete=complete,
        )
        assert decode_envelope(envelope.encode()) == envelope

    @given(st.binary(max_size=80))
    def test_malformed_datagrams_are_rejected(self, data):
        decode_envelope(data)
        for magic in (NARROW_MAGIC, WIDE_MAGIC):
            decode_envelope(bytes([magic]) + data)

    @pytest.mark.parametrize(
        ("count", "magic"),
        [(1, 0xC7), (120, 0xC7), (121, 0xC8), (MAX_CANDIDATES, 0xC8)],
    )
    def test_members_of_an_older_version_can_read_lists_of_up_to_120(
        self, count, magic
    ):
        candidates = (CALLER,) * count
        envelope = Envelope(Purpose.SEARCH, 0, CALLER, CORE, candidates, b"packet")
        assert envelope.encode()[0] == magic

    @pytest.mark.parametrize(
        ("packet_bytes", "least"), [(32, MAX_CANDIDATES), (900, 120), (1232, 50)]
    )
    def test_the_number_of_candidates_is_limited_by_the_frame_size(
        self, packet_bytes, least
    ):
        count = max_candidates_for(packet_bytes)
        assert least <= count <= MAX_CANDIDATES
        candidates = (CALLER,) * count
        envelope = Envelope(
            Purpose.SEARCH, 0, CALLER, CORE, candidates, bytes(packet_bytes)
        )
        datagram = envelope.encode()
        assert len(datagram) <= 1472
        assert decode_envelope(datagram) == envelope


class TestMessages:
    def test_what_is_encoded_is_decoded(self):
        message = FlowHeld(key(1), 77)
        assert decode_message(encode_message(message)) == message

    @given(st.binary(max_size=100))
    def test_malformed_datagrams_are_rejected(self, data):
        decode_message(data)

    def test_an_oversized_datagram_is_rejected(self):
        assert decode_message(bytes(1201)) is None


class TestRendezvous:
    TARGETS = tuple(bytes((10, 0, 0, n)) for n in range(12))

    @given(st.integers(0, 1000), st.integers(0, 11))
    def test_a_target_that_leaves_keeps_the_order_of_the_others(self, flow, gone):
        order = rendezvous_order(key(flow), self.TARGETS)
        left = [t for t in self.TARGETS if t != self.TARGETS[gone]]
        assert rendezvous_order(key(flow), reversed(left)) == [
            t for t in order if t != self.TARGETS[gone]
        ]


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


class TestRoutes:
    def test_only_newer_versions_are_adopted(self):
        routes = RouteTable(60.0, 3.0)
        assert routes.adopt(configuration(version=5), 0.0)
        assert not routes.adopt(configuration(version=4), 0.0)
        assert not routes.adopt(configuration(version=5), 0.0)
        assert routes.version == 5

    def test_new_flows_are_distributed_by_weight(self):
        routes = RouteTable(60.0, 3.0)
        routes.adopt(configuration(services=(("core", 90), ("other", 10))), 0.0)
        ip, port = inet_aton("198.18.0.1"), 443
        chosen = [routes.service_for_new_flow(ip, port, key(n)) for n in range(2000)]
        assert 100 < chosen.count(OTHER) < 320
        assert chosen.count(CORE) + chosen.count(OTHER) == 2000

    def test_former_services_are_kept_for_the_lifetime_of_a_flow(self):
        routes = RouteTable(60.0, 3.0)
        ip, port = inet_aton("198.18.0.1"), 443
        routes.adopt(configuration(version=1), 0.0)
        routes.adopt(configuration(version=2, services=(("other", 1),)), 10.0)
        assert routes.services_of_open_flow(ip, port, 69.0) == [OTHER, CORE]
        assert routes.services_of_open_flow(ip, port, 71.0) == [OTHER]

    def test_changed_routes_are_listed_by_name(self):
        before, after = configuration().routes, configuration(port=80).routes
        assert changed_routes(before, after) == (["route"], ["route"])
