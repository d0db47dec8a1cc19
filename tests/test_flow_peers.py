"""Beliefs about the other members: whom to ask, and when a search is complete."""

from socket import inet_aton

import pytest

from cranberryhold.flows.envelope import (
    service_tag,
)
from cranberryhold.flows.peer_messages import (
    EntryStatus,
    Leaving,
    SidecarStatus,
)
from cranberryhold.flows.peers import (
    HOLDER_TIMEOUT_S,
    MAX_NEW_FLOW_CANDIDATES,
    PEER_EXPIRY_S,
    Peers,
    status_interval_s,
)
from cranberryhold.flows.rendezvous import rendezvous_order
from cranberryhold.flows.target_state import (
    NO_TARGET,
)
from tests.flow_simulation import (
    ManualClock,
)

CORE = service_tag("core")
OTHER = service_tag("other")


def key(number):
    return number.to_bytes(12, "big")


class TestPeers:
    OWN = inet_aton("10.0.0.1")

    def peers(self):
        clock = ManualClock()
        return Peers(self.OWN, "a", clock), clock

    def sidecar(self, **changes):
        values = {
            "process": 1,
            "zone": "a",
            "service": CORE,
            "accepts": True,
            "slots": 3,
            "running": 0,
            "flows": 0,
            "cold": False,
        }
        return SidecarStatus(**{**values, **changes})

    def ip(self, number):
        return inet_aton(f"10.0.1.{number}")

    def test_the_best_candidate_is_idle_near_and_has_few_flows(self):
        peers, _ = self.peers()
        peers.update_sidecar(self.ip(1), self.sidecar(running=3))
        peers.update_sidecar(self.ip(2), self.sidecar(flows=20))
        peers.update_sidecar(self.ip(3), self.sidecar(flows=10, zone="b"))
        peers.update_sidecar(self.ip(4), self.sidecar(flows=10))
        order = [p.ip for p in peers.candidates_for_new_flow(key(1), CORE)]
        assert order == [self.ip(n) for n in (4, 3, 2, 1)]

    def test_a_cold_target_counts_as_half(self):
        peers, _ = self.peers()
        peers.update_sidecar(self.ip(1), self.sidecar(flows=2, cold=True))
        peers.update_sidecar(self.ip(2), self.sidecar(flows=4))
        assert peers.candidates_for_new_flow(key(1), CORE)[0].ip == self.ip(2)

    def test_a_silent_sidecar_is_no_candidate(self):
        peers, clock = self.peers()
        peers.update_sidecar(self.ip(1), self.sidecar())
        clock.now += 2.0
        peers.update_sidecar(self.ip(2), self.sidecar())
        assert [p.ip for p in peers.candidates_for_new_flow(key(1), CORE)] == [
            self.ip(2)
        ]
        assert not peers.search_is_complete([CORE], 1)

    def test_all_are_candidates_if_all_are_silent(self):
        peers, clock = self.peers()
        peers.update_sidecar(self.ip(1), self.sidecar())
        clock.now += 2.0
        assert peers.candidates_for_search(key(1), [CORE], 50) == [self.ip(1)]

    def test_silence_while_the_own_process_was_paused_counts_for_nothing(self):
        peers, clock = self.peers()
        peers.update_sidecar(self.ip(1), self.sidecar())
        clock.now += 5.0
        peers.record_pause(5.0)
        assert peers.is_reachable(self.ip(1))

    def test_beliefs_from_before_a_pause_do_not_make_a_search_complete(self):
        # A target may have come back and taken flows meanwhile. An instance that
        # resumed found no holder among those it knew, and had a living flow reset.
        peers, clock = self.peers()
        peers.mark_list_read()
        statuses = self.sidecar(), self.sidecar(service=NO_TARGET)
        for number, status in enumerate(statuses):
            peers.update_sidecar(self.ip(number), status)
        assert peers.search_is_complete([CORE], 1)
        clock.now += 3.0
        peers.record_pause(3.0)
        peers.update_sidecar(self.ip(0), statuses[0])
        assert not peers.search_is_complete([CORE], 1)
        clock.now += 1.1
        assert not peers.search_is_complete([CORE], 1)
        peers.update_sidecar(self.ip(0), statuses[0])
        assert peers.search_is_complete([CORE], 1)

    def test_a_search_asks_one_zone_after_the_other_the_own_first(self):
        # Each hop to another zone costs its delay, and bytes between zones.
        peers, _ = self.peers()
        for number in range(60):
            peers.update_sidecar(self.ip(number), self.sidecar(zone="cab"[number % 3]))
        zones = [
            peers.sidecars[ip].status.zone
            for ip in peers.candidates_for_search(key(1), [CORE], 60)
        ]
        assert zones[:20] == ["a"] * 20
        assert zones[20:] in (["b"] * 20 + ["c"] * 20, ["c"] * 20 + ["b"] * 20)

    def test_the_zones_of_a_search_differ_from_flow_to_flow(self):
        # All searches of a zone would else load the same other zone first.
        peers, _ = self.peers()
        for number in range(9):
            peers.update_sidecar(self.ip(number), self.sidecar(zone="abc"[number % 3]))
        second = {
            peers.sidecars[
                peers.candidates_for_search(key(n), [CORE], 9)[3]
            ].status.zone
            for n in range(30)
        }
        assert second == {"b", "c"}

    def test_a_service_of_many_targets_offers_few_half_of_them_near(self):
        peers, _ = self.peers()
        for number in range(1, 41):
            zone = "a" if number <= 10 else "b"
            peers.update_sidecar(self.ip(number), self.sidecar(zone=zone))
        found = peers.candidates_for_new_flow(key(1), CORE)
        assert len(found) == MAX_NEW_FLOW_CANDIDATES
        assert sum(p.status.zone == "a" for p in found) >= MAX_NEW_FLOW_CANDIDATES // 2
        searched = peers.candidates_for_search(key(1), [CORE], 50)
        assert {p.ip for p in found} <= set(searched)

    def test_a_sidecar_that_left_with_flows_is_expected_back(self):
        peers, _ = self.peers()
        peers.mark_list_read()
        peers.update_sidecar(self.ip(1), self.sidecar())
        peers.update_sidecar(self.ip(2), self.sidecar())
        assert peers.search_is_complete([CORE], 2)
        assert peers.record_departure(self.ip(1), Leaving(1, 4))
        # A status that was sent before arrives late.
        peers.update_sidecar(self.ip(1), self.sidecar())
        assert peers.candidates_for_search(key(1), [CORE], 50) == [self.ip(2)]
        assert not peers.search_is_complete([CORE], 1)
        peers.update_sidecar(self.ip(1), self.sidecar(process=2))
        assert peers.search_is_complete([CORE], 2)

    def test_a_sidecar_that_left_without_flows_is_forgotten(self):
        peers, _ = self.peers()
        peers.mark_list_read()
        peers.update_sidecar(self.ip(1), self.sidecar())
        peers.update_sidecar(self.ip(2), self.sidecar())
        peers.record_departure(self.ip(1), Leaving(1, 0))
        assert peers.search_is_complete([CORE], 1)
        assert not peers.record_departure(self.ip(2), Leaving(99, 0))

    def test_a_silent_sidecar_may_hold_flows_for_a_bounded_time(self):
        peers, clock = self.peers()
        peers.mark_list_read()
        peers.update_sidecar(self.ip(1), self.sidecar())
        clock.now += HOLDER_TIMEOUT_S + 1
        peers.update_sidecar(self.ip(2), self.sidecar())
        assert peers.search_is_complete([CORE], 1)

    def test_a_listed_member_is_waited_for_only_once(self):
        peers, clock = self.peers()
        peers.mark_list_read()
        peers.update_sidecar(self.ip(2), self.sidecar())
        assert peers.add_listed((), [self.ip(1)]) == [self.ip(1)]
        assert not peers.search_is_complete([CORE], 1)
        clock.now += 4.1
        assert peers.add_listed((), [self.ip(1)]) == []
        peers.update_sidecar(self.ip(2), self.sidecar())
        assert peers.search_is_complete([CORE], 1)

    def test_members_that_stay_silent_are_forgotten(self):
        peers, clock = self.peers()
        peers.update_sidecar(self.ip(1), self.sidecar())
        peers.add_listed([self.ip(5)], [self.ip(6)])
        clock.now += PEER_EXPIRY_S + 1
        assert peers.remove_expired() == [self.ip(1)]
        assert not peers.entry_ips()
        assert not peers.sidecar_ips()

    @pytest.mark.parametrize(
        ("ready", "absent", "borne"),
        [(0, 0, True), (1, 0, True), (1, 1, False), (2, 1, True), (0, 2, True)],
    )
    def test_a_zone_bears_one_less_or_hands_over_to_the_others(
        self, ready, absent, borne
    ):
        peers, _ = self.peers()
        for number in range(ready + absent):
            status = EntryStatus(number, "a", 1, number < ready)
            peers.update_entry(self.ip(number + 1), status)
        peers.update_entry(self.ip(100), EntryStatus(7, "b", 1, True))
        assert peers.rotation().tolerates_withdrawal() == borne

    def test_an_entry_instance_that_left_counts_as_absent_until_it_is_back(self):
        peers, _ = self.peers()
        for number in (1, 2):
            peers.update_entry(self.ip(number), EntryStatus(number, "a", 1, True))
        peers.record_departure(self.ip(1), Leaving(1, 0))
        assert not peers.rotation().tolerates_withdrawal()
        peers.update_entry(self.ip(1), EntryStatus(9, "a", 1, True))
        assert peers.rotation().tolerates_withdrawal()

    def test_newcomers_are_told_of_the_members_that_were_heard_of_late(self):
        peers, clock = self.peers()
        peers.update_sidecar(self.ip(1), self.sidecar())
        clock.now += 10
        peers.update_sidecar(self.ip(2), self.sidecar())
        assert peers.recent_peers().sidecars == (self.ip(2),)


def test_statuses_to_many_members_are_sent_less_often():
    assert status_interval_s(0.25, 6) == 0.25
    assert status_interval_s(0.25, 930) > 10


def test_orders_do_not_depend_on_the_process():
    order = rendezvous_order(key(1), [b"abcd", b"efgh", b"ijkl"])
    assert order == rendezvous_order(key(1), [b"ijkl", b"abcd", b"efgh"])
