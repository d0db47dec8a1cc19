"""Stand-in of what the users' platform and operator write: settings, configuration."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

# Published limits of the users' deployments, in seconds.
GRACE_PERIOD_S = 6.0
MAX_FLOW_S = 60
ADDRESS_REUSE_S = 2
CONFIGURATION_KEY = "op/config"


@dataclass(frozen=True)
class MachinePorts:
    """Ports that are the same on all machines.

    :ivar packets: where daemons and callers take packets of flows.
    :ivar internal: for messages between daemons.
    :ivar ready: where a daemon tells whether it is ready.
    :ivar store: where the store is reached.
    :ivar target: where a target receives packets.
    :ivar outbound: where a sidecar takes its target's packets.
    :ivar heartbeats: where a sidecar takes heartbeats.
    """

    packets: int
    internal: int
    ready: int
    store: int
    target: int
    outbound: int
    heartbeats: int


def settings_file(
    name: str,
    ip: str,
    zone: str,
    service: str,
    ports: MachinePorts,
    *,
    seeds: Iterable[str],
    heartbeat_interval_s: float,
) -> str:
    """Return the settings file of a machine.

    :param seeds: addresses of entry instances that may help.
    """

    def at(port: int) -> str:
        return f"{ip}:{port}"

    return json.dumps(
        {
            "nodeName": name,
            "ip": ip,
            "zone": zone,
            "listenAddrs": {
                "packetAddr": at(ports.packets),
                "ready": at(ports.ready),
                "controlPlane": at(ports.heartbeats),
                "outbound": at(ports.outbound),
            },
            "internalPorts": [ports.internal, ports.internal],
            "seedAddrs": [f"{seed}:{ports.heartbeats}" for seed in seeds],
            "heartbeatIntervalMs": round(heartbeat_interval_s * 1000),
            "bounds": {
                "gracePeriodS": GRACE_PERIOD_S,
                "maxFlowS": MAX_FLOW_S,
                "reuseAfterS": ADDRESS_REUSE_S,
            },
            "platform": {"address": at(ports.store)},
            "app": at(ports.target),
            "service": service,
        }
    )


def configuration_document(
    version: int, ip: str, services_by_port: dict[int, str]
) -> bytes:
    """Return the operator's configuration.

    :param ip: address of all routes.
    :param services_by_port: where the new flows of each route go.
    """
    services = sorted(set(services_by_port.values()))
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
            "services": [{"name": name} for name in services],
        }
    ).encode()
