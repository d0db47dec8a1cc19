"""Entries and heartbeats of other writers: each is left out, the others hold."""

import asyncio
import json
from random import Random
from socket import inet_aton

import pytest
from msgspec import msgpack

from cranberryhold.exceptions import CranberryholdError, ManifestError, PeerError
from cranberryhold.flows.envelope import service_tag
from cranberryhold.flows.leased_store import ItemList, StoredItem
from cranberryhold.flows.member_list import MEMBERS_PREFIX, decode_members
from cranberryhold.flows.peer_messages import (
    Leaving,
    decode_message,
    encode_message,
)
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.manifest.deltas import decode_delta, encode_delta
from cranberryhold.membership.messages import (
    ManifestDelta,
    StatusRequest,
    decode_datagram,
    encode,
)
from cranberryhold.platform.operator_configuration import OperatorConfiguration
from emulator.metadata_store import PAGE_ITEMS
from tests.flow_simulation import LogLines
from tests.flow_site import running_site
from tests.following import running_store
from tests.waiting import until

NESTED_JSON = b'{"x":' + b"[" * 30_000 + b"]" * 30_000
FIXARRAY, FIXMAP = 0x90, 0x80
NESTED_FIELD = b"\x91" * 1100 + b"\xc0"
ENTRY = b'{"role":"sidecar","zone":"a","process":1}'


async def post_heartbeat(site, target_id: str = "i-odd", **changes) -> int:
    """Send a heartbeat of another writer to a sidecar; return the status."""
    body = {
        "service": "core",
        "address": str(site.targets[0].address),
        "zone": "a",
        "version": "v1",
        "state": "ready",
        "concurrency": 3,
        "coldRemainingMs": 0,
        "seq": 2,
        "born": 2,
        **changes,
    }
    encoded = json.dumps(body).encode()
    status, _ = await site.call(
        2, site.heartbeat_port, "POST", f"/instances/{target_id}/heartbeat", encoded
    )
    return status


class TestHeartbeats:
    @pytest.mark.parametrize(
        "changes",
        [
            {"concurrency": 10**30},
            {"concurrency": 2**40},
            {"concurrency": -7},
            {"seq": 10**40},
            {"seq": -1},
            {"born": 10**400},
            {"born": 9_999_999_999_999},
            {"born": -1},
            {"state": "asleep"},
            {"service": None},
            {"zone": None},
            {"version": 1},
        ],
    )
    async def test_an_odd_heartbeat_is_rejected_and_the_target_is_used(self, changes):
        # Guards against a sidecar daemon that ends, or uses another target, because of
        # one heartbeat of another writer.
        async with running_site() as site:
            entry = await site.start_entry(1)
            sidecar = await site.start_sidecar(2)
            await until(lambda: entry.member.peers.sidecars)
            assert await post_heartbeat(site, **changes) == 400
            target = site.targets[0]
            assert await site.send_heartbeat(2, target, sequence=2) == 200
            assert sidecar.datapath.accepts_flows()
            status, _ = await site.call(2, site.ready_port, "GET", "/readyz")
            assert status == 200

    async def test_the_target_is_not_told_that_a_hidden_heartbeat_took_effect(self):
        # Guards against a target that drains, and ends in the belief that no more
        # flows are sent to it, while a heartbeat of another writer hides its own.
        async with running_site() as site:
            sidecar = await site.start_sidecar(2)
            assert await post_heartbeat(site) == 200
            target = site.targets[0]
            drains = {"sequence": 2, "state": "draining"}
            assert await site.send_heartbeat(2, target, **drains) == 409
            assert sidecar.datapath.accepts_flows()

    @pytest.mark.parametrize("odd", [{}, {"target_id": "i-2", "born": 1, "seq": 50}])
    async def test_a_heartbeat_of_another_service_does_not_replace_a_target(self, odd):
        # Guards against the reset of the open flows of a running target, and against
        # flows of another service at it. An address goes to another service only when
        # the heartbeats of its target are overdue.
        async with running_site() as site:
            sidecar = await site.start_sidecar(2)
            target = site.targets[0]
            status = await post_heartbeat(site, service="nowhere", **odd)
            assert status == 409
            assert sidecar.datapath._target.service == service_tag("core")
            assert await site.send_heartbeat(2, target, sequence=2) == 200
            assert sidecar.datapath.accepts_flows()

    async def test_a_deeply_nested_heartbeat_is_rejected(self):
        async with running_site() as site:
            await site.start_sidecar(2)
            status, _ = await site.call(
                2, site.heartbeat_port, "POST", "/instances/i-1/heartbeat", NESTED_JSON
            )
            assert status == 400

    async def test_a_long_slow_start_ends(self):
        async with running_site() as site:
            sidecar = await site.start_sidecar(2)
            assert await post_heartbeat(site, coldRemainingMs=1e300) == 200
            heartbeat = sidecar.datapath._target.last_heartbeat
            assert heartbeat.cold_for_s <= 600


class TestMemberEntries:
    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("10.0.0.1", NESTED_JSON),
            ("10.0.0.1\0", ENTRY),
            ("7", ENTRY),
            ("10.0.0.1 x", ENTRY),
            ("10.0.0", ENTRY),
            ("0.0.0.0", ENTRY),
            ("224.0.0.1", ENTRY),
            ("255.255.255.255", ENTRY),
            ("10.0.0.1", b'{"role":"sidecar","zone":"a","process":1' + b"0" * 9999),
        ],
    )
    def test_an_odd_entry_is_left_out_and_the_others_are_read(self, key, value):
        # Guards against processes that end again and again, or stop to follow the
        # list, because of one entry of another writer.
        telemetry = Telemetry("test", LogLines(), lambda: 0.0)
        items = [
            StoredItem(MEMBERS_PREFIX + key, value, 1),
            StoredItem(MEMBERS_PREFIX + "10.0.0.2", ENTRY, 2),
        ]
        members = decode_members(ItemList(items, 1), telemetry, exact=True)
        assert members.sidecars == (inet_aton("10.0.0.2"),)
        assert telemetry.counts["member_entries_malformed"] == 1


@pytest.mark.parametrize("name", ["नाम", "a&b", "a+b", "a#b", "a b", "a%41", "a=b"])
async def test_a_page_that_ends_with_an_odd_key_is_followed_by_the_next(name):
    # Guards against daemons that end, or read the same page again and again, because
    # of the key of an entry of another writer.
    async with running_store() as (stand_in, store):
        keys = [f"p/{number:03}" for number in range(PAGE_ITEMS - 1)]
        for key in (*keys, f"p/5{name}", "p/last"):
            await stand_in.put(key, b"")
        async with asyncio.timeout(5.0):
            listed = await store.list_items("p/", may_be_stale=False)
        assert sorted(item.key for item in listed.items) == sorted(
            (*keys, f"p/5{name}", "p/last")
        )


def configuration(**changes) -> bytes:
    route = {"name": "r", "host": "198.18.0.1", "prefix": "/443/", "service": "core"}
    return json.dumps({"version": 1, "routes": [{**route, **changes}]}).encode()


class TestConfigurations:
    @pytest.mark.parametrize(
        "document",
        [
            NESTED_JSON,
            configuration(prefix="/99999/"),
            configuration(prefix="/-1/"),
            configuration(prefix="/0/"),
            configuration(prefix="/4_43/"),
            configuration(host="1"),
            configuration(host="198.18.0.1 x"),
            configuration(host="198.18.0.1\0"),
            configuration(backends=[{"service": "core", "weight": -1}]),
            configuration(backends=[{"service": "core", "weight": 10**30}]),
            b'{"version":1' + b"0" * 30 + b',"routes":[]}',
            b'{"version":-1,"routes":[]}',
            b'{"version":1,"routes":[],"limits":{"idleTimeoutMs":-1}}',
        ],
    )
    def test_an_odd_configuration_is_rejected(self, document):
        with pytest.raises(CranberryholdError):
            OperatorConfiguration().decode(document)

    def test_a_service_without_a_share_is_accepted(self):
        backends = [{"service": "a", "weight": 0}, {"service": "b", "weight": 5}]
        decoded = OperatorConfiguration().decode(configuration(backends=backends))
        assert [s.weight for s in decoded.routes[0].services] == [0, 5]


def with_nested_field(message: bytes) -> bytes:
    """Append a field that decoders skip to a short array or map in MessagePack."""
    assert message[0] & 0xF0 in (FIXARRAY, FIXMAP)
    name = b"\xa5later" if message[0] & 0xF0 == FIXMAP else b""
    return bytes((message[0] + 1,)) + message[1:] + name + NESTED_FIELD


class TestMessages:
    def test_a_deeply_nested_message_is_malformed(self):
        assert decode_message(with_nested_field(encode_message(Leaving(1, 0)))) is None
        with pytest.raises(PeerError):
            decode_datagram(with_nested_field(encode(StatusRequest(1))))
        with pytest.raises(ManifestError):
            decode_delta(with_nested_field(encode_delta(ManifestDelta(generation=1))))

    def test_random_messages_are_decoded_or_malformed(self):
        random = Random(7)
        for _ in range(2000):
            value = [random.getrandbits(random.choice((3, 8, 33, 63)))]
            value += [random.choice((b"", "a", 2**63, -1, None, [[]]))] * 9
            decode_message(msgpack.encode(value))
