"""The configuration that the platform's operator writes into the store."""

from socket import inet_aton

import msgspec

from cranberryhold.exceptions import CranberryholdError
from cranberryhold.flows.route_table import Configuration, Route, WeightedService

DEFAULT_IDLE_TIMEOUT_MS = 60_000
UPLOAD_TYPE = "upload"


class _Backend(msgspec.Struct):
    service: str
    weight: int


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
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS


class _Document(msgspec.Struct):
    version: int
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
        except (msgspec.MsgspecError, ValueError, OSError) as error:
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
    port = int(route.prefix.strip("/"))
    bulk = route.type == UPLOAD_TYPE
    return Route(route.name, inet_aton(route.host), port, services, bulk)
