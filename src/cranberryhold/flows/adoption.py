"""Puts newer versions of the operator's configuration into effect."""

from collections.abc import Callable
from typing import Protocol

from cranberryhold.exceptions import CranberryholdError
from cranberryhold.flows.leased_store import StoredItem
from cranberryhold.flows.route_table import Configuration, RouteTable, changed_routes
from cranberryhold.flows.telemetry import Telemetry


class ConfigurationSource(Protocol):
    """Location and format of what the operator writes into the store."""

    @property
    def key(self) -> str:
        """Key of the newest configuration in the store."""

    @property
    def prefix(self) -> str:
        """Prefix of the keys of the configuration and of all evacuations."""

    def evacuated_zone(self, key: str) -> str | None:
        """Return the data centre that a key evacuates, None for any other key."""

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
        # Version that the store had at the last read, None if it had no readable one.
        self._stored_version: int | None = None

    @property
    def key(self) -> str:
        """Key of the configuration in the store."""
        return self._source.key

    @property
    def version(self) -> int:
        """Version in effect, 0 before the first."""
        return self._routes.version

    def apply_read(
        self, item: StoredItem | None, as_of: float, **origin: object
    ) -> None:
        """Apply the result of a read of the store.

        The configuration in effect counts as the newest if it is the stored one. A
        store that was restored from a copy may hold an older one, or none, until the
        operator writes again.

        :param item: the stored configuration, or None if there is none.
        :param as_of: monotonic time in seconds of the state that was read.
        :param origin: fields for the log that tell about the call.
        """
        self._stored_version = None
        if item is not None:
            self._stored_version = self.adopt(
                item.value, source="store", revision=item.revision, **origin
            )
        elif self._routes.configuration is not None:
            self._telemetry.event("configuration-missing", in_effect=self.version)
        self.apply_unchanged(as_of)

    def apply_unchanged(self, as_of: float) -> None:
        """Record that the store's configuration has not changed since the last read.

        :param as_of: monotonic time in seconds of the state that was read.
        """
        if self._stored_version is not None and self._stored_version >= self.version:
            self._routes.confirm(as_of)

    def adopt(self, document: bytes, **origin: object) -> int | None:
        """Put a document into effect if it holds a newer version.

        :param origin: fields for the log that tell where the document is from.
        :return: the version of the document, or None if it could not be read.
        """
        current = self._routes.configuration
        try:
            configuration = self._source.decode(document)
        except CranberryholdError as error:
            self._telemetry.count("configurations_malformed")
            self._telemetry.event(
                "configuration-malformed", level="ERROR", error=error, **origin
            )
            return None
        now = self._monotonic()
        if configuration.version < self._routes.version:
            self._telemetry.event(
                "configuration-older",
                version=configuration.version,
                in_effect=self._routes.version,
                **origin,
            )
        outdated_s = self._routes.outdated_s(now)
        if not self._routes.adopt(configuration, now):
            return configuration.version
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
            outdated_s=None if outdated_s is None else round(outdated_s, 3),
            **origin,
        )
        self._on_change()
        return configuration.version
