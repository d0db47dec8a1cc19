"""Settings of the daemons, from flags and environment variables."""

from dataclasses import dataclass

from cranberryhold.addresses import Address
from cranberryhold.keys import KeyRing


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What every daemon needs.

    :param node_id: unique name of the instance.
    :param zone: data centre of the instance.
    :param region: region of the zone.
    :param control_address: UDP address for control datagrams; zmq listens on the
        TCP port of the same number.
    :param contacts: control addresses of any members, or the fabric's own; none of
        them needs to be up later.
    :param keys: key ring of the deployment.
    :param store_url: base URL of the platform's key-value service, or empty.
    :param statsd: address of the statsd daemon, or None.
    :param drain_limit_s: seconds after which a graceful shutdown is cut short; None
        leaves it to the manifest.
    """

    node_id: str
    zone: str
    region: str
    control_address: Address
    contacts: tuple[Address, ...]
    keys: KeyRing
    store_url: str = ""
    statsd: Address | None = None
    drain_limit_s: float | None = None


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry instance.

    :param node: what every daemon needs.
    :param forward_address: UDP address where replies of sidecars arrive.
    :param listen_ip: IP number that replaces the one of every service address,
        where the fabric rewrites destination addresses; empty otherwise.
    """

    node: NodeSettings
    forward_address: Address
    listen_ip: str = ""


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Settings of the sidecar of one upstream instance.

    :param node: what every daemon needs.
    :param service: name of the service, as in the manifest.
    :param forward_address: UDP address where forwarded packets arrive.
    :param upstream: HTTP/1.1 address of the upstream.
    :param certificate_path: PEM file with the certificate chain.
    :param private_key_path: PEM file with the certificate's private key.
    :param health_path: path of the upstream's health endpoint, or empty.
    """

    node: NodeSettings
    service: str
    forward_address: Address
    upstream: Address
    certificate_path: str
    private_key_path: str
    health_path: str = "/health"
