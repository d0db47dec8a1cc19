"""Routing of flows from service addresses to services."""

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from math import inf

from msgspec import Struct

from cranberryhold.flows.admission.terms import OpeningTerms
from cranberryhold.flows.envelope import service_tag

# Objective and deadline of a route that does not state them, for openings that carry
# terms because of the cold rate: no opening may be rejected for a limit that nobody
# stated. No caller waits this long.
UNSTATED_LIMIT_S = 60.0


class WeightedService(Struct, frozen=True):
    """A service's share of the new flows of a route.

    :param name: name of the service.
    :param weight: share relative to the other services of the route.
    """

    name: str
    weight: int


class Route(Struct, frozen=True):
    """An address that callers open flows to.

    :param name: name of the route in the operator's configuration.
    :param ip: packed IPv4 address.
    :param port: port that callers connect to.
    :param services: services that new flows are distributed to; at least one.
    :param bulk: whether its requests are large, such as uploads.
    :param priority: 0 is the most urgent.
    :param objective_s: seconds in which a request should be answered, None if not
        stated.
    :param deadline_s: seconds after which its caller gives it up, None if not stated.
    :param repeatable: whether a request may be run more than once.
    """

    name: str
    ip: bytes
    port: int
    services: tuple[WeightedService, ...]
    bulk: bool = False
    priority: int = 0
    objective_s: float | None = None
    deadline_s: float | None = None
    repeatable: bool = True


class Configuration(Struct, frozen=True):
    """One version of the operator's configuration.

    :param version: increases with each change, not always by one.
    :param routes: all routes.
    :param idle_timeout_s: a flow without packets for longer may be removed.
    :param document: the configuration as the operator wrote it, for peers.
    :param cold_rates: openings per second that a cold target bears, by service name;
        services without a limit are left out.
    :param admission: whether sidecars queue openings by the terms of their routes.
    """

    version: int
    routes: tuple[Route, ...]
    idle_timeout_s: float
    document: bytes
    cold_rates: Mapping[str, float] = {}
    admission: bool = False


class _RouteEntry(Struct):
    route: Route
    tags: tuple[bytes, ...]
    terms: dict[bytes, OpeningTerms]
    former_services: dict[bytes, float] = {}


class RouteTable:
    """The routes of the newest configuration, with recently removed services.

    :param flow_lifetime_s: seconds for which a service that was removed from a route
        is still searched for the route's open flows.
    :param confirmation_s: seconds for which the configuration counts as the newest
        after the store has confirmed it; at most the time in which a change must be in
        effect.
    """

    def __init__(self, flow_lifetime_s: float, confirmation_s: float) -> None:
        self._confirmation_s = confirmation_s
        self._flow_lifetime_s = flow_lifetime_s
        self._entries: dict[tuple[bytes, int], _RouteEntry] = {}
        self._configuration: Configuration | None = None
        self._newest_known_version = 0
        # Since then, another member is known to have a newer configuration.
        self._outdated_since: float | None = None
        self._confirmed_at = -inf
        # The store is not trusted to have the newest configuration before this time.
        self._unconfirmable_until = -inf

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration, or None before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """Version of the newest configuration, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    @property
    def admission(self) -> bool:
        """Whether the configuration calls for admission control."""
        return self._configuration is not None and self._configuration.admission

    def update_flow_lifetime(self, flow_lifetime_s: float) -> None:
        """Apply a changed setting."""
        self._flow_lifetime_s = flow_lifetime_s

    def confirm(self, as_of: float) -> None:
        """Record that the store had no newer configuration.

        :param as_of: monotonic time in seconds at which it had none.
        """
        if as_of >= self._unconfirmable_until:
            self._confirmed_at = as_of

    def record_restore(self, now: float) -> None:
        """Record that the store may have lost the newest configuration.

        The operator may take as long to write it again as a change may take to be in
        effect.
        """
        self._confirmed_at = -inf
        self._unconfirmable_until = now + self._confirmation_s

    def confirmation_age_s(self, now: float) -> float:
        """Return the seconds since the configuration was known to be the newest.

        Infinite if it was never confirmed.
        """
        return now - self._confirmed_at

    @property
    def newest_known_version(self) -> int:
        """Version of the newest configuration that any member is known to have."""
        return max(self.version, self._newest_known_version)

    def record_known_version(self, version: int, now: float) -> None:
        """Record the version of a configuration that another member has."""
        self._newest_known_version = max(self._newest_known_version, version)
        if version > self.version and self._outdated_since is None:
            self._outdated_since = now

    def outdated_s(self, now: float) -> float | None:
        """Return the seconds since a newer version is known, None if none is."""
        if self._outdated_since is None:
            return None
        return now - self._outdated_since

    def is_current(self, now: float) -> bool:
        """Whether the configuration is known to be the newest one."""
        return (
            self._configuration is not None
            and self.version >= self._newest_known_version
            and self.confirmation_age_s(now) <= self._confirmation_s
        )

    def adopt(self, configuration: Configuration, now: float) -> bool:
        """Put a newer configuration into effect.

        :return: whether it was newer than the one in effect.
        """
        if configuration.version <= self.version:
            return False
        previous = self._entries
        self._entries = {
            (route.ip, route.port): self._build_entry(
                route, configuration, previous.get((route.ip, route.port)), now
            )
            for route in configuration.routes
        }
        self._configuration = configuration
        if self.version >= self._newest_known_version:
            self._outdated_since = None
        return True

    def service_for_new_flow(self, ip: bytes, port: int, key: bytes) -> bytes | None:
        """Select a service by weight for a new flow; return its tag, or None."""
        entry = self._entries.get((ip, port))
        if entry is None:
            return None
        services = entry.route.services
        if len(services) == 1:
            return entry.tags[0]
        total = sum(service.weight for service in services)
        digest = blake2b(key, digest_size=8).digest()
        offset = int.from_bytes(digest, "big") * total >> 64
        for service, tag in zip(services, entry.tags, strict=True):
            offset -= service.weight
            if offset < 0:
                return tag
        return entry.tags[-1]

    def route(self, ip: bytes, port: int) -> Route | None:
        """Return the route of an address, or None."""
        entry = self._entries.get((ip, port))
        return entry.route if entry is not None else None

    def service_name(self, tag: bytes) -> str:
        """Return the name of a service that a route leads to, or its tag."""
        for entry in self._entries.values():
            for service, known in zip(entry.route.services, entry.tags, strict=True):
                if known == tag:
                    return service.name
        return tag.hex()

    def is_bulk(self, ip: bytes, port: int) -> bool:
        """Whether the requests of a route are large."""
        entry = self._entries.get((ip, port))
        return entry is not None and entry.route.bulk

    def terms_for_new_flow(
        self, ip: bytes, port: int, service: bytes
    ) -> OpeningTerms | None:
        """Return the terms of a route's openings for one of its services, if any.

        :param service: tag of the service.
        """
        entry = self._entries.get((ip, port))
        return entry.terms.get(service) if entry is not None else None

    def services_of_open_flow(self, ip: bytes, port: int, now: float) -> list[bytes]:
        """Return the tags of the services that most likely hold an open flow.

        This process may not have seen all configurations of the flow's lifetime, so
        other services may hold it as well. Empty if there is no such route.
        """
        entry = self._entries.get((ip, port))
        if entry is None:
            return []
        former_services = [
            tag for tag, until in entry.former_services.items() if until > now
        ]
        return [*entry.tags, *former_services]

    def _build_entry(
        self,
        route: Route,
        configuration: Configuration,
        previous: _RouteEntry | None,
        now: float,
    ) -> _RouteEntry:
        tags = tuple(service_tag(service.name) for service in route.services)
        entry = _RouteEntry(route, tags, _terms_by_service(route, configuration))
        if previous is not None:
            until = now + self._flow_lifetime_s
            entry.former_services = {
                **_unexpired(previous.former_services, now),
                **dict.fromkeys(previous.tags, until),
            }
            for tag in tags:
                entry.former_services.pop(tag, None)
        return entry


def _terms_by_service(
    route: Route, configuration: Configuration
) -> dict[bytes, OpeningTerms]:
    """Return the terms of a route's openings by the tag of their service.

    Services are left out whose openings carry no terms: nothing reads them if there is
    neither a cold rate nor admission control, and admission control needs the objective
    and the deadline.
    """
    is_complete = route.objective_s is not None and route.deadline_s is not None
    terms = {}
    for service in route.services:
        cold_rate = configuration.cold_rates.get(service.name)
        if cold_rate is not None or (configuration.admission and is_complete):
            terms[service_tag(service.name)] = OpeningTerms(
                route.priority,
                UNSTATED_LIMIT_S if route.objective_s is None else route.objective_s,
                UNSTATED_LIMIT_S if route.deadline_s is None else route.deadline_s,
                route.repeatable,
                cold_rate,
                queued=configuration.admission and is_complete,
            )
    return terms


def _unexpired(services: Mapping[bytes, float], now: float) -> dict[bytes, float]:
    return {tag: until for tag, until in services.items() if until > now}


def changed_routes(
    previous: Iterable[Route], current: Iterable[Route]
) -> tuple[list[str], list[str]]:
    """Return the names of the routes that were added and removed."""
    old = {(route.ip, route.port): route.name for route in previous}
    new = {(route.ip, route.port): route.name for route in current}
    added = [name for address, name in new.items() if address not in old]
    removed = [name for address, name in old.items() if address not in new]
    return added, removed
