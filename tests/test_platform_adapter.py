"""The platform's formats are decoded and encoded exactly as documented."""

import json
from pathlib import Path
from socket import inet_aton

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.addresses import Address
from cranberryhold.exceptions import CranberryholdError, PeerError, SettingsError
from cranberryhold.flows.heartbeat import Heartbeat, TargetPhase
from cranberryhold.flows.http_server import Request
from cranberryhold.platform.heartbeats import PlatformHeartbeatReader
from cranberryhold.platform.operator_configuration import OperatorConfiguration
from cranberryhold.platform.packets import PacketCodec
from cranberryhold.platform.settings import (
    PATH_VARIABLE,
    member_settings,
    read_settings,
    sidecar_settings,
)

SYN = bytes.fromhex(
    "c612000101bb9c41644000070000000000 00a1b2c3d520001122334400000000".replace(" ", "")
)
RESET = bytes.fromhex("644000079c4101bbc6120001000000000000000000004000" + "00" * 8)


class TestPackets:
    def test_the_documented_syn_is_decoded(self):
        segment = PacketCodec().decode(SYN)
        assert segment.source == inet_aton("100.64.0.7")
        assert segment.source_port == 40001
        assert segment.destination == inet_aton("198.18.0.1")
        assert segment.destination_port == 443
        assert segment.syn
        assert not segment.ack
        assert not segment.fin
        assert not segment.rst
        assert segment.sequence == 0x11223344

    def test_a_reset_has_the_documented_bytes(self):
        segment = PacketCodec().decode(SYN)
        assert PacketCodec().build_reset(segment) == RESET

    def test_a_reset_has_the_sequence_number_that_the_caller_accepts(self):
        data = SYN[:28] + (123_456).to_bytes(4, "big")
        reset = PacketCodec().build_reset(PacketCodec().decode(data))
        assert int.from_bytes(reset[24:28], "big") == 123_456

    def test_the_token_changes_no_other_byte(self):
        marked = PacketCodec().with_token(SYN, 0x01020304)
        assert marked[12:16] == bytes((1, 2, 3, 4))
        assert marked[:12] + marked[16:] == SYN[:12] + SYN[16:]

    def test_a_returned_packet_is_marked_and_can_be_forwarded(self):
        returned = SYN[:22] + bytes((SYN[22] | 1,)) + SYN[23:]
        assert PacketCodec().decode(returned).returned
        assert PacketCodec().with_token(returned, 0) == SYN

    @given(st.binary(max_size=64))
    def test_any_bytes_are_decoded_or_rejected(self, data):
        PacketCodec().decode(data)


SETTINGS = {
    "nodeName": "side-a-1",
    "role": "sidecar",
    "ip": "10.1.0.12",
    "zone": "a",
    "listenAddrs": {
        "packetAddr": "10.1.0.12:8172",
        "outbound": "10.1.0.12:8162",
        "ready": "10.1.0.12:8167",
        "controlPlane": "10.1.0.12:8166",
    },
    "internalPorts": [7720, 7735],
    "seedAddrs": ["10.1.0.10:8166"],
    "heartbeatIntervalMs": 1200,
    "bounds": {"reuseAfterS": 2, "gracePeriodS": 6, "maxFlowS": 60, "later": True},
    "app": "10.1.0.12:8165",
    "service": "huvo11a",
    "platform": {"address": "10.200.1.7:8169", "ttlMinMs": 1000},
    "unknown": None,
}


class TestSettings:
    def read(self, tmp_path, **changes):
        path = Path(tmp_path / "local.json")
        path.write_text(json.dumps({**SETTINGS, **changes}))
        return read_settings({PATH_VARIABLE: str(path)})

    def test_the_settings_of_a_sidecar_are_decoded(self, tmp_path):
        sidecar = sidecar_settings(self.read(tmp_path))
        assert sidecar.target_address == Address("10.1.0.12", 8165)
        assert sidecar.heartbeat_interval_s == 1.2
        assert sidecar.address_reuse_s == 2
        assert sidecar.member.peer_address == Address("10.1.0.12", 7720)
        assert sidecar.member.store == Address("10.200.1.7", 8169)
        assert sidecar.member.seeds == (Address("10.1.0.10", 8166),)

    def test_the_stricter_bound_limits_the_time_to_a_changed_configuration(
        self, tmp_path
    ):
        bounds = {**SETTINGS["bounds"], "configApplyMs": 6000, "stableWindowMs": 5000}
        member = member_settings(self.read(tmp_path, bounds=bounds))
        assert member.configuration_change_s == 6.0
        assert member.configuration_limit_s == 5.0

    @pytest.mark.parametrize(
        ("changes", "named"),
        [
            ({"ip": 7}, "ip"),
            ({"listenAddrs": {"ready": "10.1.0.12:1"}}, "packetAddr"),
            ({"seedAddrs": ["nowhere"]}, "seedAddrs"),
            ({"bounds": {}}, "bounds"),
        ],
    )
    def test_an_invalid_field_is_named(self, tmp_path, changes, named):
        with pytest.raises(SettingsError, match=named):
            member_settings(self.read(tmp_path, **changes))

    def test_a_missing_file_is_named(self):
        with pytest.raises(SettingsError, match=PATH_VARIABLE):
            read_settings({})


BEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "addis-a",
    "version": "v1",
    "concurrency": 3,
    "state": "ready",
    "coldRemainingMs": 1500,
    "seq": 4,
    "born": 1700000000000,
}


class TestHeartbeats:
    calls = PlatformHeartbeatReader("10.128.0.9:8080")

    def post(self, path, body):
        return self.calls.read(Request("POST", path, "", json.dumps(body).encode()))

    def test_a_heartbeat_is_decoded(self):
        assert self.post("/instances/i-7f/heartbeat", BEAT) == Heartbeat(
            "i-7f", 1700000000000, 4, "huvo11a", TargetPhase.READY, 3, 1.5
        )

    def test_a_deregistration_is_decoded(self):
        assert self.post("/instances/i-7f/deregister", {}) == "i-7f"

    def test_other_requests_are_ignored(self):
        assert self.post("/other", BEAT) is None
        assert (
            self.calls.read(Request("GET", "/instances/i/heartbeat", "", b"")) is None
        )

    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "asleep"},
            {"seq": "4"},
            {"born": 1.5},
            {"service": None},
            {"zone": None},
            {"version": 1},
            {"address": "10.128.0.8:8080"},
            {"concurrency": "x"},
        ],
    )
    def test_an_invalid_heartbeat_is_rejected(self, changes):
        with pytest.raises(PeerError):
            self.post("/instances/i-7f/heartbeat", {**BEAT, **changes})

    def test_a_body_that_is_not_text_is_rejected(self):
        with pytest.raises(PeerError):
            self.calls.read(Request("POST", "/instances/i/heartbeat", "", b"\xff{"))


class TestOperatorConfiguration:
    def decode(self, **changes):
        document = {
            "version": 7,
            "routes": [
                {
                    "name": "r-1",
                    "host": "198.18.0.1",
                    "prefix": "/8443/",
                    "backends": [
                        {"service": "one", "weight": 90},
                        {"service": "two", "weight": 10},
                    ],
                },
                {
                    "name": "r-2",
                    "host": "198.18.0.2",
                    "prefix": "/80/",
                    "service": "two",
                },
            ],
            "services": [{"name": "one"}, {"name": "two"}],
            "limits": {"idleTimeoutMs": 15000},
        }
        text = json.dumps({**document, **changes}).encode()
        return OperatorConfiguration().decode(text)

    def test_routes_have_an_address_and_services(self):
        read = self.decode()
        assert read.version == 7
        assert read.idle_timeout_s == 15
        first, second = read.routes
        assert (first.ip, first.port) == (inet_aton("198.18.0.1"), 8443)
        assert [(s.name, s.weight) for s in first.services] == [
            ("one", 90),
            ("two", 10),
        ]
        assert [(s.name, s.weight) for s in second.services] == [("two", 1)]

    @pytest.mark.parametrize(
        "changes",
        [
            {"version": "7"},
            {"routes": [{"name": "r", "host": "x", "prefix": "/1/", "service": "s"}]},
            {"routes": [{"name": "r", "host": "1.2.3.4", "prefix": "//"}]},
            {"routes": [{"name": "r", "host": "1.2.3.4", "prefix": "/1/"}]},
        ],
    )
    def test_a_malformed_document_is_rejected(self, changes):
        with pytest.raises(CranberryholdError):
            self.decode(**changes)
