"""Settings of the daemons, from flags and environment variables."""

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlsplit

from cranberryhold.addresses import Address
from cranberryhold.keys import KeyRing
from cranberryhold.options import Option

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings that all daemons have in common.

    :param node_id: unique name of the instance.
    :param zone: data centre of the instance.
    :param region: region of the zone.
    :param control_address: UDP address for control datagrams; control calls use the
        TCP port of the same number.
    :param contacts: control addresses of any members, or of the fabric, used to join;
        they need not stay up afterwards.
    :param keys: key ring of the deployment.
    :param store_url: base URL of the platform's key-value service, or empty.
    :param statsd: address of the statsd daemon, or None.
    :param drain_limit_s: seconds after which a graceful shutdown is cut short; None
        applies the manifest's limit.
    :param log_level: lowest level that is logged.
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
    log_level: str = "INFO"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry instance.

    :param node: settings that all daemons have in common.
    :param forward_address: UDP address that receives replies of sidecars.
    :param listen_ip: IPv4 address to listen on instead of the one in each service
        address, if the fabric rewrites destination addresses; empty otherwise.
    """

    node: NodeSettings
    forward_address: Address
    listen_ip: str = ""


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Settings of the sidecar of one upstream instance.

    :param node: settings that all daemons have in common.
    :param service: name of the service, as in the manifest.
    :param forward_address: UDP address that receives forwarded packets.
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


def as_name(text: str) -> str:
    """Parse the name of an instance, zone, region or service."""
    if not _NAME_PATTERN.match(text):
        raise ValueError(
            "write 1 to 63 letters, digits, dots, dashes or underscores, "
            "a letter or digit first"
        )
    return text


def as_own_address(text: str) -> Address:
    """Parse an address at which other processes reach this one."""
    address = Address.parse(text)
    if address.ip == "0.0.0.0":
        raise ValueError("others send to this address: name one IPv4 number")
    return address


def as_fixed_address(text: str) -> Address:
    """Parse an address with a fixed port."""
    address = as_own_address(text)
    if address.port == 0:
        raise ValueError("write a port from 1 to 65535")
    return address


def as_addresses(text: str) -> tuple[Address, ...]:
    """Parse comma-separated addresses."""
    return tuple(Address.parse(t.strip()) for t in text.split(",") if t.strip())


def as_seconds(text: str) -> float:
    """Parse a positive number of seconds."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        raise ValueError("write a number of seconds above 0, such as 2.5")
    return seconds


def as_count(text: str) -> int:
    """Parse a whole number of 0 or more."""
    if not text.isdecimal():
        raise ValueError("write a whole number of 0 or more")
    return int(text)


def as_url(text: str) -> str:
    """Parse the base URL of an HTTP service."""
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname or parts.port == 0:
        raise ValueError("write a URL such as http://127.0.0.1:8500")
    return text


def as_file(text: str) -> str:
    """Return the path of a file after checking that the file exists."""
    if not Path(text).is_file():
        raise ValueError("no such file: name a file that this process can read")
    return text


def as_log_level(text: str) -> str:
    """Parse a log level."""
    if text.upper() not in LOG_LEVELS:
        raise ValueError(f"write one of {', '.join(LOG_LEVELS)}")
    return text.upper()


def as_ip(text: str) -> str:
    """Parse an IPv4 address without a port; an empty text is allowed."""
    if not text:
        return text
    return Address.parse(f"{text}:0").ip


def _address_option(name: str, help: str) -> Option:
    return Option(name, help, as_fixed_address, required=True, metavar="ADDRESS")


def _file_option(name: str, help: str) -> Option:
    return Option(name, help, as_file, required=True, metavar="FILE")


KEYS = Option(
    "keys",
    "the key ring as id:secret,id:secret, ids 0 to 255 and secrets of 64 hex digits; "
    "prefer the variable, since flags are visible in process lists",
    KeyRing.parse,
    required=True,
    metavar="RING",
    secret=True,
)
STORE_URL = Option(
    "store-url",
    "the base URL of the platform's key-value service",
    as_url,
    required=True,
    metavar="URL",
)
LOG_LEVEL = Option(
    "log-level",
    f"the lowest level that is logged: {', '.join(LOG_LEVELS)}",
    as_log_level,
    default="INFO",
    metavar="LEVEL",
)
NODE_OPTIONS = (
    Option("node-id", "the unique name of this instance", as_name, required=True),
    Option("zone", "the zone (data centre) of this instance", as_name, required=True),
    Option("region", "the region of the zone", as_name, required=True),
    Option(
        "control-address",
        "the IPv4:port for control datagrams (UDP) and calls (TCP)",
        as_own_address,
        required=True,
        metavar="ADDRESS",
    ),
    Option(
        "contacts",
        "control addresses of any members, separated by commas",
        as_addresses,
        default="",
        metavar="ADDRESSES",
    ),
    KEYS,
    Option(
        "statsd",
        "the IPv4:port of the statsd daemon; without it no metrics are sent",
        Address.parse,
        metavar="ADDRESS",
    ),
    LOG_LEVEL,
)
ENTRY_OPTIONS = (
    *NODE_OPTIONS,
    Option(
        "store-url",
        "the base URL of the platform's key-value service; without it this instance "
        "gets the manifest only from other members",
        as_url,
        metavar="URL",
    ),
    _address_option(
        "forward-address", "the IPv4:port (UDP) that receives replies of sidecars"
    ),
    Option(
        "listen-address",
        "the IPv4 address to listen on instead of the one in each service address, if "
        "the fabric rewrites destination addresses",
        as_ip,
        default="",
        metavar="IPV4",
    ),
)
SIDECAR_OPTIONS = (
    *NODE_OPTIONS,
    Option("service", "the service, as in the manifest", as_name, required=True),
    _address_option(
        "forward-address", "the IPv4:port (UDP) that receives forwarded packets"
    ),
    _address_option("upstream", "the IPv4:port of the upstream's HTTP/1.1 server"),
    _file_option("certificate", "the PEM file with the certificate chain"),
    _file_option("private-key", "the PEM file with the certificate's private key"),
    Option(
        "health-path",
        "the path of the upstream's health endpoint; empty for none",
        default="/health",
        metavar="PATH",
    ),
    Option(
        "drain-limit",
        "seconds after which a graceful shutdown is cut short; without it the "
        "manifest's limit applies",
        as_seconds,
        metavar="SECONDS",
    ),
)


def node_settings(values: Mapping[str, object]) -> NodeSettings:
    """Build the common settings of a daemon from the values of its options."""
    return NodeSettings(
        node_id=values["node_id"],
        zone=values["zone"],
        region=values["region"],
        control_address=values["control_address"],
        contacts=values["contacts"],
        keys=values["keys"],
        store_url=values.get("store_url") or "",
        statsd=values["statsd"],
        drain_limit_s=values.get("drain_limit"),
        log_level=values["log_level"],
    )


def entry_settings(values: Mapping[str, object]) -> EntrySettings:
    """Build the settings of an entry instance from the values of its options."""
    return EntrySettings(
        node=node_settings(values),
        forward_address=values["forward_address"],
        listen_ip=values["listen_address"],
    )


def sidecar_settings(values: Mapping[str, object]) -> SidecarSettings:
    """Build the settings of a sidecar from the values of its options."""
    return SidecarSettings(
        node=node_settings(values),
        service=values["service"],
        forward_address=values["forward_address"],
        upstream=values["upstream"],
        certificate_path=values["certificate"],
        private_key_path=values["private_key"],
        health_path=values["health_path"],
    )
