"""The fault soak: its checks see what they are for, and a short run passes."""

import asyncio
from pathlib import Path
from random import Random
from socket import inet_aton

import pytest

from cranberryhold.flows.segments import Endpoint, flow_key
from cranberryhold.platform.packets import ACK, RST, SYN, PacketCodec
from emulator.flow_callers import Outcome
from emulator.flow_packets import (
    flow_packet,
    has_valid_checksum,
    is_generated_reset,
    returned_packet,
)
from emulator.flow_target import FlowTarget
from emulator.platform_files import MachinePorts
from tools.soak import promises as bounds
from tools.soak.faults import plan_faults
from tools.soak.promises import Promises, Request
from tools.soak.run import Size, run_soak

CALLER = Endpoint(inet_aton("100.64.0.7"), 40001)
SERVICE = Endpoint(inet_aton("198.18.0.1"), 443)
KEY = flow_key(CALLER.ip, CALLER.port, SERVICE.ip, SERVICE.port)
SYN_PACKET = flow_packet(CALLER, SERVICE, SYN, sequence=7)


class Target(FlowTarget):
    """A target that holds the flows it is told to hold, without a socket."""

    held = frozenset({KEY})

    def holds(self, key):
        return key in self.held


@pytest.fixture
def promises():
    return Promises(lambda line: None)


@pytest.fixture
def target(promises):
    ports = MachinePorts(1, 2, 3, 4, 5, 6, 7)
    made = Target(
        "i-1",
        "core",
        "127.0.0.1",
        ports,
        started_ms=1,
        observer=promises,
        random=Random(),
    )
    promises.targets.append(made)
    promises.allowed[443] = {"core"}
    return made


def broken(promises):
    return [line.split()[0] for line in promises.broken]


class TestPackets:
    def test_changes_on_the_way_are_noticed(self):
        for position in range(len(SYN_PACKET)):
            changed = bytearray(SYN_PACKET)
            changed[position] ^= 0x80
            # The token, the padding and the mark of a returned packet may change.
            free = position in (12, 13, 14, 15, 23)
            assert has_valid_checksum(bytes(changed)) == free

    def test_a_returned_packet_stays_genuine(self):
        returned = returned_packet(SYN_PACKET)
        assert has_valid_checksum(returned)
        assert PacketCodec().decode(returned).returned

    def test_a_reset_of_the_system_is_told_from_one_of_the_target(self):
        reset = flow_packet(SERVICE, CALLER, RST)
        assert not is_generated_reset(reset)
        segment = PacketCodec().decode(flow_packet(CALLER, SERVICE, ACK))
        assert is_generated_reset(PacketCodec().build_reset(segment))


class TestPromises:
    @pytest.mark.parametrize(
        ("by_target", "held", "expected"),
        [(False, True, ["FLOW"]), (True, True, []), (False, False, [])],
    )
    async def test_a_reset_of_a_living_flow(
        self, promises, target, by_target, held, expected
    ):
        target.held = {KEY} if held else set()
        promises.reset_received(KEY, by_target=by_target)
        assert broken(promises) == expected

    @pytest.mark.parametrize(
        ("own_between", "harmed", "expected"),
        [(False, False, ["FLOW"]), (True, False, []), (False, True, [])],
    )
    async def test_packets_that_go_to_foreign_targets(
        self, promises, target, monkeypatch, own_between, harmed, expected
    ):
        monkeypatch.setattr(bounds, "FLOW_DRIFT_S", 0.01)
        monkeypatch.setattr(bounds, "ON_ITS_WAY_S", 0.0)
        if harmed:
            promises.harmed(target.ip)
        for number in range(4):
            promises.packet_received(target, KEY, is_own=own_between and number == 2)
            await asyncio.sleep(0.02)
        assert broken(promises) == expected

    @pytest.mark.parametrize(
        ("service", "drained_before_s", "expected"),
        [
            ("core", None, []),
            ("core", 1.0, []),
            ("core", 3.1, ["DRAIN"]),
            ("intake", None, ["ROUTE"]),
        ],
    )
    async def test_an_opening_at_the_wrong_target(
        self, promises, target, service, drained_before_s, expected
    ):
        target.service = service
        if drained_before_s is not None:
            target.drain_acknowledged_at = (
                asyncio.get_running_loop().time() - drained_before_s
            )
        promises.syn_accepted(target, PacketCodec().decode(SYN_PACKET))
        assert broken(promises) == expected

    @pytest.mark.parametrize(("process", "expected"), [(1, ["CONFIG"]), (2, [])])
    async def test_a_configuration_that_goes_back(
        self, promises, monkeypatch, process, expected
    ):
        monkeypatch.setattr(bounds, "ROLLBACK_SLACK_S", 0.0)
        now = asyncio.get_running_loop().time
        promises.version_written(1, "core")
        promises.version_written(2, "intake")
        promises.fault_begins()
        promises.entry_routes_to("entry-1", 1, "intake", now())
        await asyncio.sleep(0.001)
        promises.entry_routes_to("entry-1", process, "core", now())
        assert broken(promises) == expected

    @pytest.mark.parametrize(("calm", "expected"), [(True, ["CONFIG"]), (False, [])])
    async def test_a_configuration_that_is_not_applied(
        self, promises, monkeypatch, calm, expected
    ):
        monkeypatch.setattr(bounds, "CONFIGURATION_APPLY_S", 0.0)
        monkeypatch.setattr(bounds, "STABLE_WINDOW_S", 0.0)
        promises.version_written(1, "core")
        promises.version_written(2, "intake")
        if not calm:
            promises.fault_begins()
        await asyncio.sleep(0.001)
        now = asyncio.get_running_loop().time()
        promises.entry_routes_to("entry-1", 1, "core", now)
        assert broken(promises) == expected

    def test_requests_count_as_served_only_if_all_were_answered(self, promises):
        answered, late = Request(0.0, Outcome.ANSWERED), Request(1.0, Outcome.LATE)
        assert promises.all_served([answered], "")
        assert not promises.all_served([answered, late], "")
        assert not promises.all_served([], "")


def test_a_seed_always_means_the_same_faults():
    assert plan_faults(7, 20.0) == plan_faults(7, 20.0)
    assert plan_faults(7, 20.0) != plan_faults(8, 20.0)


@pytest.mark.parametrize("seed", [1])
async def test_a_short_run_breaks_no_promise(seed: int, tmp_path: Path) -> None:
    notes: list[str] = []
    size = Size(entries=1, sidecars=5)
    broken = await run_soak(seed, 4.0, size=size, directory=tmp_path, note=notes.append)
    assert not broken, "\n".join(notes)
