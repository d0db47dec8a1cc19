"""The sidecar daemon of the QUIC path, run in the process of the test."""

from cranberryhold import node as node_module
from cranberryhold.addresses import Address
from cranberryhold.daemon import running_sidecar
from cranberryhold.keys import KeyRing
from cranberryhold.membership.members import MemberState, Role
from cranberryhold.node import Node, running_node
from cranberryhold.requests.exchange import IDEMPOTENCY_KEY_PATH, Request
from cranberryhold.settings import NodeSettings, SidecarSettings
from tests.pipeline_fakes import get_response
from tests.sockets import LOOPBACK_IP, free_ports
from tests.waiting import until
from tools.clusters import accepted_manifest

NODE_ID = "target-1"


def knows(node: Node, state: MemberState) -> bool:
    member = node.members.get(NODE_ID)
    return member is not None and member.state is state


async def test_peers_know_the_keys_of_a_sidecar_whose_clock_was_set_back(
    certificate, monkeypatch
) -> None:
    # Guards against keys that name an incarnation which is in no member table, after a
    # restart with a clock that is behind the start of the earlier process.
    keys = KeyRing.generate()
    control, forward, upstream, entry = (
        Address(LOOPBACK_IP, port) for port in free_ports(4)
    )
    contact = NodeSettings("entry-1", "zone", "region", entry, (), keys)
    node_settings = NodeSettings(NODE_ID, "zone", "region", control, (entry,), keys)
    manifest = accepted_manifest(1)
    service = manifest.manifest.services[0]
    settings = SidecarSettings(
        node_settings, service.name, forward, upstream, *certificate
    )
    async with running_node(contact, Role.ENTRY, forward_address=entry) as other:
        async with running_sidecar(settings):
            await until(lambda: knows(other, MemberState.ALIVE))
        earlier = other.members.get(NODE_ID).incarnation
        monkeypatch.setattr(node_module, "incarnation_at", lambda _: earlier - 500)
        async with running_sidecar(settings) as daemon:
            await until(lambda: other.members.get(NODE_ID).incarnation > earlier)
            daemon.apply_manifest(manifest)
            request = Request("GET", IDEMPOTENCY_KEY_PATH)
            _, _, key = await get_response(daemon._pipeline, request)
            target = daemon._pipeline._key_issuer.parse(key.decode()).target
            assert target.incarnation == other.members.get(NODE_ID).incarnation
