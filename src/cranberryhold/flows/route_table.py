"""Which service takes the flows to which address."""

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from msgspec import Struct

from cranberryhold.flows.envelope import service_tag


class WeightedService(Struct, frozen=True):
    """A service's share of the new flows of a route.

    :param name: name of the service.
    :param weight: share in relation to the other services of the route.
    """

    name: str
    weight: int


class Route(Struct, frozen=True):
    """An address that callers open flows to.

    :param name: name of the route in the operator's configuration.
    :param ip: packed IPv4 number.
    :param port: port that callers connect to.
    :param services: where new flows go; at least one.
    """

    name: str
    ip: bytes
    port: int
    services: tuple[WeightedService, ...]


class Configuration(Struct, frozen=True):
    """One version of the operator's configuration.

    :param version: grows with each change, not always by one.
    :param routes: all routes.
    :param idle_timeout_s: a flow without packets for longer may be forgotten.
    :param document: the configuration as the operator wrote it, for peers.
    """

    version: int
    routes: tuple[Route, ...]
    idle_timeout_s: float
    document: bytes


class _Choice(Struct):
    route: Route
    tags: tuple[bytes, ...]
    former: dict[bytes, float] = {}


class RouteTable:
    """The routes of the newest version, and where open flows may still be.

    :param flow_lifetime_s: seconds for which the former services of a route are
        kept as places where its open flows may be.
    """

    def __init__(self, flow_lifetime_s: float) -> None:
        self._flow_lifetime_s = flow_lifetime_s
        self._choices: dict[tuple[bytes, int], _Choice] = {}
        self._configuration: Configuration | None = None

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration, or None before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """Version of the newest configuration, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    def adopt(self, configuration: Configuration, now: float) -> bool:
        """Put a newer configuration into effect.

        :return: whether it was newer than the one in effect.
        """
        if configuration.version <= self.version:
            return False
        before = self._choices
        self._choices = {
            (route.ip, route.port): self._choice(
                route, before.get((route.ip, route.port)), now
            )
            for route in configuration.routes
        }
        self._configuration = configuration
        return True

    def service_for_new_flow(self, ip: bytes, port: int, key: bytes) -> bytes | None:
        """Return the tag of the service that takes a new flow, or None."""
        choice = self._choices.get((ip, port))
        if choice is None:
            return None
        services = choice.route.services
        if len(services) == 1:
            return choice.tags[0]
        total = sum(service.weight for service in services)
        digest = blake2b(key, digest_size=8).digest()
        point = int.from_bytes(digest, "big") * total >> 64
        for service, tag in zip(services, choice.tags, strict=True):
            point -= service.weight
            if point < 0:
                return tag
        return choice.tags[-1]

    def services_of_open_flow(self, ip: bytes, port: int, now: float) -> list[bytes]:
        """Return the tags of the services where an open flow may be."""
        choice = self._choices.get((ip, port))
        if choice is None:
            return []
        former = [tag for tag, until in choice.former.items() if until > now]
        return [*choice.tags, *former]

    def _choice(self, route: Route, before: _Choice | None, now: float) -> _Choice:
        tags = tuple(service_tag(service.name) for service in route.services)
        choice = _Choice(route, tags)
        if before is not None:
            until = now + self._flow_lifetime_s
            choice.former = {
                **_unexpired(before.former, now),
                **dict.fromkeys(before.tags, until),
            }
            for tag in tags:
                choice.former.pop(tag, None)
        return choice


def _unexpired(former: Mapping[bytes, float], now: float) -> dict[bytes, float]:
    return {tag: until for tag, until in former.items() if until > now}


def changed_routes(
    before: Iterable[Route], after: Iterable[Route]
) -> tuple[list[str], list[str]]:
    """Return the names of the routes that were added and removed."""
    old = {(r.ip, r.port): r.name for r in before}
    new = {(r.ip, r.port): r.name for r in after}
    added = [name for address, name in new.items() if address not in old]
    removed = [name for address, name in old.items() if address not in new]
    return added, removed
