"""Settings of the flow daemons."""

from msgspec import Struct

from cranberryhold.addresses import Address

RESTART_ONLY_PREFIXES = (
    "name",
    "zone",
    "packet_",
    "peer_",
    "ready_",
    "metrics_",
    "status_",
    "link_",
    "configuration_",
    "evacuation_",
)
"""Prefixes of the names of member settings that take effect only after a restart."""


class MemberSettings(Struct, frozen=True):
    """Settings that all flow daemons have.

    :param name: unique name of the instance.
    :param zone: data centre of the instance.
    :param packet_address: where packets of flows are received over UDP; packets to
        callers are sent to the same port number.
    :param peer_address: where messages from other members are received over UDP, and
        the configuration is served to them over TCP.
    :param ready_address: where readiness is served over HTTP.
    :param metrics_address: where metrics are served over HTTP.
    :param store: address of the store.
    :param seeds: entry instances to contact when the store is unavailable.
    :param stop_limit_s: seconds after which the platform kills a process that was
        told to stop.
    :param max_flow_s: age in seconds after which the state of a flow may be removed.
    :param configuration_change_s: seconds within which a changed configuration must be
        in effect.
    :param configuration_recovery_s: seconds after an outage of the store within which
        changes must be in effect again.
    :param status_address: where an entry instance receives regular statuses over UDP,
        None for ``peer_address``.
    :param link_bytes_s: capacity of the instance's link in bytes per second in each
        direction, None if unknown.
    :param evacuation_limit_s: seconds within which the evacuation of a data centre
        must be in effect, None if the deployment does not use evacuations.
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
    configuration_change_s: float = 3.0
    configuration_recovery_s: float = 4.0
    status_address: Address | None = None
    link_bytes_s: float | None = None
    evacuation_limit_s: float | None = None

    @property
    def configuration_limit_s(self) -> float:
        """Seconds within which a change must be noticed, also after an outage."""
        return min(self.configuration_change_s, self.configuration_recovery_s)


class ColdStartAllowance(Struct, frozen=True):
    """What a cold target may get beyond the rate that it bears.

    :param factor: multiple of the rate that the configuration states.
    :param slack: openings in a second beyond that.
    """

    factor: float
    slack: float

    def limit(self, rate: float) -> int:
        """Return the openings that a cold target may get in any one second."""
        return int(rate * self.factor + self.slack)


class FlowSidecarSettings(Struct, frozen=True):
    """Settings of the sidecar of a target.

    :param member: settings that all flow daemons have.
    :param outbound_address: where the target sends its packets over UDP.
    :param heartbeat_address: where the target sends heartbeats over HTTP.
    :param target_address: where the target receives packets over UDP.
    :param service: name of the target's service.
    :param heartbeat_interval_s: seconds between heartbeats.
    :param address_reuse_s: shortest time in seconds after which the address of a
        stopped target is reused by another target.
    :param cold_start: what cold targets may get, None if they are not limited.
    """

    member: MemberSettings
    outbound_address: Address
    heartbeat_address: Address
    target_address: Address
    service: str
    heartbeat_interval_s: float
    address_reuse_s: float
    cold_start: ColdStartAllowance | None = None


SIDECAR_RESTART_ONLY_PREFIXES = (
    *(f"member.{prefix}" for prefix in RESTART_ONLY_PREFIXES),
    "outbound_",
    "heartbeat_address",
    "target_",
    "cold_start",
)
"""Prefixes of the names of sidecar settings that take effect only after a restart."""
