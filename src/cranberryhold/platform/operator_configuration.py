"""The configuration that the platform's operator writes into the store."""

from cranberryhold.addresses import pack_host
from cranberryhold.documents import Limited, decode_json
from cranberryhold.exceptions import DECODE_ERRORS, AddressError, CranberryholdError
from cranberryhold.flows.admission.mode import AdmissionMode, calls_for_admission
from cranberryhold.flows.route_table import Configuration, Route, WeightedService
from cranberryhold.structs import Struct, field

DEFAULT_IDLE_TIMEOUT_MS = 60_000
UPLOAD_TYPE = "upload"
MAX_PORT = 65535
# Versions are sent to other members as 64-bit integers.
MAX_INTEGER = 2**63 - 1

_PREFIX = "op/"
_EVACUATION_PREFIX = f"{_PREFIX}evacuate/"

# Kinds of requests that may run at most once.
_UNREPEATABLE_TYPES = frozenset({"unsafe", UPLOAD_TYPE})


class _Natural(int, Limited):
    maximum = MAX_INTEGER


class _Rate(float, Limited):
    pass


class _Backend(Struct):
    service: str
    # 0 if the service is to get no flows.
    weight: _Natural


class _Route(Struct, rename="camel"):
    name: str
    # IPv4 address that callers send to.
    host: str
    # Port that callers send to, between slashes.
    prefix: str
    # Kind of the requests: ``safe``, ``unsafe``, ``upload`` or ``download``.
    type: str = ""
    service: str | None = None
    backends: list[_Backend] = field(default_factory=list)
    # 0 is the most urgent.
    priority: _Natural = 0
    # Time in which a request should be answered.
    slo_latency_ms: _Natural | None = None
    # Time after which the caller gives a request up.
    timeout_ms: _Natural | None = None


class _Service(Struct, rename="camel"):
    name: str
    # Requests per second that a cold target bears, 0 if this is not stated.
    cold_per_s: _Rate | None = None


class _Limits(Struct, rename="camel"):
    idle_timeout_ms: _Natural = DEFAULT_IDLE_TIMEOUT_MS


class _Document(Struct):
    version: _Natural
    routes: list[_Route]
    services: list[_Service] = field(default_factory=list)
    limits: _Limits = field(default_factory=_Limits)


class OperatorConfiguration:
    """Implements :class:`~cranberryhold.flows.configuration.ConfigurationSource`.

    :param admission: setting for admission control.
    """

    def __init__(self, admission: AdmissionMode = AdmissionMode.AUTO) -> None:
        self._admission = admission

    @property
    def key(self) -> str:
        """Key of the configuration in the store."""
        return f"{_PREFIX}config"

    @property
    def prefix(self) -> str:
        """Prefix of all keys that the operator writes."""
        return _PREFIX

    def evacuated_zone(self, key: str) -> str | None:
        """Return the data centre that a key evacuates, None for any other key."""
        if not key.startswith(_EVACUATION_PREFIX):
            return None
        return key.removeprefix(_EVACUATION_PREFIX)

    def decode(self, document: bytes) -> Configuration:
        """Decode a configuration.

        :raises CranberryholdError: naming the invalid field.
        """
        try:
            decoded = decode_json(document, _Document)
            routes = tuple(_route(route) for route in decoded.routes)
            return Configuration(
                version=decoded.version,
                routes=routes,
                idle_timeout_s=decoded.limits.idle_timeout_ms / 1000,
                document=document,
                cold_rates=_cold_rates(decoded.services),
                admission=calls_for_admission(self._admission, routes),
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
        priority=route.priority,
        objective_s=_seconds(route.slo_latency_ms),
        deadline_s=_seconds(route.timeout_ms),
        repeatable=route.type not in _UNREPEATABLE_TYPES,
    )


def _seconds(milliseconds: int | None) -> float | None:
    return milliseconds / 1000 if milliseconds is not None else None


def _cold_rates(services: list[_Service]) -> dict[str, float]:
    return {
        service.name: service.cold_per_s for service in services if service.cold_per_s
    }


def _port(prefix: str) -> int:
    digits = prefix.strip("/")
    port = int(digits) if digits.isascii() and digits.isdigit() else 0
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"{prefix!r} is not a port between slashes")
    return port
