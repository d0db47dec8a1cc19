"""Documents that the users' platform and operator write: settings, configuration."""

import json
from collections.abc import Iterable
from dataclasses import astuple, dataclass

# Published limits of the users' deployments, in seconds.
GRACE_PERIOD_S = 6.0
MAX_FLOW_S = 60
ADDRESS_REUSE_S = 2
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"


@dataclass(frozen=True)
class MachinePorts:
    """Port numbers, which are the same on all machines.

    :ivar packets: daemons and callers receive packets of flows.
    :ivar internal: daemons exchange messages.
    :ivar ready: a daemon serves its readiness.
    :ivar store: the store is reached.
    :ivar target: a target receives packets.
    :ivar outbound: a sidecar receives packets from its target.
    :ivar heartbeats: a sidecar receives heartbeats.
    """

    packets: int
    internal: int
    ready: int
    store: int
    target: int
    outbound: int
    heartbeats: int

    @property
    def last_internal(self) -> int:
        """End of the range of internal ports, which has one or two ports."""
        second = self.internal + 1
        return self.internal if second in astuple(self) else second


@dataclass(frozen=True)
class ColdStarts:
    """What targets may receive during their slow start.

    :ivar per_s: requests per second that a cold target bears.
    :ivar over: multiple of that rate which may arrive in a second.
    :ivar slack: openings in a second beyond that.
    """

    per_s: float
    over: float
    slack: float

    @property
    def limit(self) -> float:
        """Openings that may arrive at a cold target in any one second."""
        return self.per_s * self.over + self.slack


def settings_file(
    name: str,
    ip: str,
    zone: str,
    service: str,
    ports: MachinePorts,
    *,
    seeds: Iterable[str],
    heartbeat_interval_s: float,
    evacuation_limit_s: float | None = None,
    cold_starts: ColdStarts | None = None,
) -> str:
    """Return the settings file of a machine.

    :param seeds: entry instances to contact when the store is unavailable.
    :param evacuation_limit_s: seconds for an evacuation to be in effect, None if the
        deployment uses none.
    :param cold_starts: what cold targets may receive, None if that is not limited.
    """
    bounds: dict[str, float] = {
        "gracePeriodS": GRACE_PERIOD_S,
        "maxFlowS": MAX_FLOW_S,
        "reuseAfterS": ADDRESS_REUSE_S,
    }
    if evacuation_limit_s is not None:
        bounds["evacuateMs"] = evacuation_limit_s * 1000
    if cold_starts is not None:
        bounds |= {"coldOver": cold_starts.over, "coldSlack": cold_starts.slack}

    def address(port: int) -> str:
        return f"{ip}:{port}"

    return json.dumps(
        {
            "nodeName": name,
            "ip": ip,
            "zone": zone,
            "listenAddrs": {
                "packetAddr": address(ports.packets),
                "ready": address(ports.ready),
                "controlPlane": address(ports.heartbeats),
                "outbound": address(ports.outbound),
            },
            "internalPorts": [ports.internal, ports.last_internal],
            "seedAddrs": [f"{seed}:{ports.heartbeats}" for seed in seeds],
            "heartbeatIntervalMs": round(heartbeat_interval_s * 1000),
            "bounds": bounds,
            "platform": {"address": address(ports.store)},
            "app": address(ports.target),
            "service": service,
        }
    )


def configuration_document(
    version: int,
    ip: str,
    services_by_port: dict[int, str],
    cold_starts: ColdStarts | None = None,
) -> bytes:
    """Return the operator's configuration.

    :param ip: IPv4 address of all routes.
    :param services_by_port: service that receives the new flows of each route.
    :param cold_starts: what cold targets bear, None if that is not stated.
    """
    services = sorted(set(services_by_port.values()))
    rate = {"coldPerS": cold_starts.per_s} if cold_starts is not None else {}
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"r{port}",
                    "host": ip,
                    "prefix": f"/{port}/",
                    "service": service,
                }
                for port, service in services_by_port.items()
            ],
            "services": [{"name": name, **rate} for name in services],
        }
    ).encode()
