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
from cranberryhold.flows.peer_messages import (
    FlowHeld,
    decode_message,
    encode_message,
)
from cranberryhold.flows.pending_deliveries import PendingDeliveries
from cranberryhold.flows.rendezvous import rendezvous_order
from cranberryhold.flows.route_table import RouteTable, changed_routes
from cranberryhold.platform.packets import PacketCodec
from tests.flow_simulation import (
    ACK,
    FIN,
    SYN,
    configuration,
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
