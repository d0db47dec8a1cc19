"""Puts newer versions of the operator's configuration into effect."""

from collections.abc import Callable
from typing import Protocol

from cranberryhold.exceptions import CranberryholdError
from cranberryhold.flows.route_table import Configuration, RouteTable, changed_routes
from cranberryhold.flows.telemetry import Telemetry


class ConfigurationSource(Protocol):
    """Location and format of the configuration in the store."""

    @property
    def key(self) -> str:
        """Key of the newest configuration in the store."""

    def decode(self, document: bytes) -> Configuration:
        """Decode a document.

        :raises CranberryholdError: if the document is malformed.
        """


class ConfigurationAdopter:
    """Decodes documents and puts newer versions into effect.

    :param source: decodes documents.
    :param routes: table that new versions are loaded into.
    :param telemetry: log and counters.
    :param monotonic: clock in seconds.
    :param on_change: called after a version was adopted.
    """

    def __init__(
        self,
        source: ConfigurationSource,
        routes: RouteTable,
        telemetry: Telemetry,
        *,
        monotonic: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._source = source
        self._routes = routes
        self._telemetry = telemetry
        self._monotonic = monotonic
        self._on_change = on_change

    @property
    def key(self) -> str:
        """Key of the configuration in the store."""
        return self._source.key

    @property
    def version(self) -> int:
        """Version in effect, 0 before the first."""
        return self._routes.version

    def confirm(self, as_of: float) -> None:
        """Record that the store had no newer configuration than the one in effect.

        :param as_of: monotonic time in seconds at which it had none.
        """
        self._routes.confirm(as_of)

    def adopt(self, document: bytes, **origin: object) -> None:
        """Put a document into effect if it holds a newer version.

        :param origin: fields for the log that tell where the document is from.
        """
        current = self._routes.configuration
        try:
            configuration = self._source.decode(document)
        except CranberryholdError as error:
            self._telemetry.count("configurations_malformed")
            self._telemetry.event(
                "configuration-malformed", level="ERROR", error=error, **origin
            )
            return
        now = self._monotonic()
        if not self._routes.adopt(configuration, now):
            return
        added, removed = changed_routes(
            current.routes if current else (), configuration.routes
        )
        self._telemetry.count("configurations_adopted")
        self._telemetry.event(
            "configuration-adopted",
            version=configuration.version,
            previous=current.version if current else None,
            routes=len(configuration.routes),
            added=len(added),
            removed=",".join(removed[:10]),
            confirmed_s=round(self._routes.confirmation_age_s(now), 3),
            **origin,
        )
        self._on_change()
