"""Entries and heartbeats of other writers, each of which a daemon must leave out."""

import json
from random import Random

from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.member_list import MEMBERS_PREFIX, WITNESSES_PREFIX
from tools.soak.site import Machine, Site

NESTING = 30_000
HEARTBEAT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 4096
_ENTRY = b'{"role":"sidecar","zone":"a","process":1}'
_NESTED = b'{"x":' + b"[" * NESTING + b"]" * NESTING + b"}"


def odd_items(random: Random) -> dict[str, bytes]:
    """Return items for the store that name no member."""
    items = {
        f"{MEMBERS_PREFIX}10.0.0.1\0": _ENTRY,
        f"{MEMBERS_PREFIX}7": _ENTRY,
        f"{MEMBERS_PREFIX}224.0.0.1": _ENTRY,
        f"{MEMBERS_PREFIX}10.0.0.9": _NESTED,
        f"{MEMBERS_PREFIX}10.0.0.8": b"\xff\xfe",
        f"{WITNESSES_PREFIX}10.0.0.7": b'{"epoch":' + b"9" * 5000 + b"}",
    }
    keys = random.sample(sorted(items), random.randint(1, len(items)))
    return {key: items[key] for key in keys}


async def send_odd_heartbeat(site: Site, machine: Machine, random: Random) -> None:
    """Send a heartbeat that is not the target's to a sidecar."""
    heartbeat = {
        "service": machine.service,
        "address": f"{machine.ip}:{site.ports.target}",
        "zone": "",
        "version": "v1",
        "state": "ready",
        "concurrency": 3,
        "coldRemainingMs": 0,
        "seq": 1,
        "born": 1,
    }
    changes = random.choice(
        [
            {"concurrency": 10**30},
            {"seq": 10**40},
            {"born": 10**400},
            {"state": "asleep"},
            {"zone": None},
            {"version": 1},
            {"service": "nowhere", "born": 2**41},
            {"address": "10.0.0.1:99999"},
        ]
    )
    body = random.choice([json.dumps({**heartbeat, **changes}).encode(), _NESTED])
    client = HttpClient(machine.heartbeat_address(site.ports), MAX_RESPONSE_BYTES)
    try:
        path = "/instances/i-odd/heartbeat"
        await client.call("POST", path, body, HEARTBEAT_TIMEOUT_S)
    except PeerError as error:
        # The sidecar may be down or paused.
        site.checker.log(f"odd heartbeat not sent: {error}")
