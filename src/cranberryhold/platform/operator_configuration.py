"""The configuration that the platform's operator writes into the store."""

from typing import Annotated

import msgspec

from cranberryhold.addresses import pack_host
from cranberryhold.exceptions import DECODE_ERRORS, AddressError, CranberryholdError
from cranberryhold.flows.route_table import Configuration, Route, WeightedService

DEFAULT_IDLE_TIMEOUT_MS = 60_000
UPLOAD_TYPE = "upload"
MAX_PORT = 65535
# Versions are sent to other members as 64-bit integers.
MAX_INTEGER = 2**63 - 1

_Natural = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Backend(msgspec.Struct):
    service: str
    # 0 if the service is to get no flows.
    weight: _Natural


class _Route(msgspec.Struct):
    name: str
    # IPv4 address that callers send to.
    host: str
    # Port that callers send to, between slashes.
    prefix: str
    # Kind of the requests: ``safe``, ``unsafe`` or ``upload``.
    type: str = ""
    service: str | None = None
    backends: list[_Backend] = []


class _Limits(msgspec.Struct, rename="camel"):
    idle_timeout_ms: _Natural = DEFAULT_IDLE_TIMEOUT_MS


class _Document(msgspec.Struct):
    version: _Natural
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class OperatorConfiguration:
    """Implements :class:`~cranberryhold.flows.configuration.ConfigurationSource`."""

    @property
    def key(self) -> str:
        """Key of the configuration in the store."""
        return "op/config"

    def decode(self, document: bytes) -> Configuration:
        """Decode a configuration.

        :raises CranberryholdError: naming the invalid field.
        """
        try:
            decoded = msgspec.json.decode(document, type=_Document)
            return Configuration(
                version=decoded.version,
                routes=tuple(_route(route) for route in decoded.routes),
                idle_timeout_s=decoded.limits.idle_timeout_ms / 1000,
                document=document,
            )
        except (*DECODE_ERRORS, AddressError) as error:
            raise CranberryholdError(
                f"invalid configuration: {error}", step="read configuration"
            ) from error


def _route(route: _Route) -> Route:
    if route.backends:
        services = tuple(WeightedService(b.service, b.weight) for b in route.backends)
    elif route.service is not None:
        services = (WeightedService(route.service, 1),)
    else:
        raise ValueError(f"route {route.name!r} has no service")
    return Route(
        route.name,
        pack_host(route.host),
        _port(route.prefix),
        services,
        bulk=route.type == UPLOAD_TYPE,
    )


def _port(prefix: str) -> int:
    digits = prefix.strip("/")
    port = int(digits) if digits.isascii() and digits.isdigit() else 0
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"{prefix!r} is not a port between slashes")
    return port
