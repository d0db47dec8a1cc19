"""Settings of the flow daemons."""

from msgspec import Struct

from cranberryhold.addresses import Address

FIXED_SETTINGS = ("name", "zone", "packet_", "peer_", "ready_", "metrics_")
"""First parts of the names of member settings that need a restart to change."""


class MemberSettings(Struct, frozen=True):
    """What every flow daemon needs.

    :param name: unique name of the instance.
    :param zone: data centre of the instance.
    :param packet_address: where packets of flows arrive over UDP; callers are
        answered at the same port number of theirs.
    :param peer_address: where other members send messages over UDP and fetch the
        configuration over TCP.
    :param ready_address: where readiness is asked for over HTTP.
    :param metrics_address: where metrics are served over HTTP.
    :param store: address of the store.
    :param seeds: entry instances that may help when the store can't.
    :param stop_limit_s: seconds after which the platform kills a process that was
        asked to stop.
    :param max_flow_s: age in seconds from which a flow may be forgotten.
    """

    name: str
    zone: str
    packet_address: Address
    peer_address: Address
    ready_address: Address
    metrics_address: Address
    store: Address
    seeds: tuple[Address, ...]
    stop_limit_s: float
    max_flow_s: float


class FlowSidecarSettings(Struct, frozen=True):
    """Settings of the sidecar beside a target.

    :param member: what every flow daemon needs.
    :param outbound_address: where the target sends its packets over UDP.
    :param heartbeat_address: where the target sends heartbeats over HTTP.
    :param target_address: where the target receives packets over UDP.
    :param service: name of the target's service.
    :param heartbeat_interval_s: seconds between heartbeats.
    :param address_reuse_s: shortest time after which the address of a target that
        ended is used by another.
    """

    member: MemberSettings
    outbound_address: Address
    heartbeat_address: Address
    target_address: Address
    service: str
    heartbeat_interval_s: float
    address_reuse_s: float


FIXED_SIDECAR_SETTINGS = (
    *(f"member.{name}" for name in FIXED_SETTINGS),
    "outbound_",
    "heartbeat_address",
    "target_",
)
"""The same for the settings of a sidecar."""
