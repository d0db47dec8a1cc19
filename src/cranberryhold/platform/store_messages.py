"""Answers of the platform's store that carry items."""

from base64 import b64decode

import msgspec

from cranberryhold.flows.leased_store import StoredItem

RANGE_PATH = "/kv-range"


class Item(msgspec.Struct):
    """An item, or in a list of changes the record that it was deleted."""

    key: str
    revision: int
    # Standard base64, or absent in the record of a deletion.
    value: str = ""
    deleted: bool = False

    def stored(self) -> StoredItem:
        """Return the item in the product's terms."""
        return StoredItem(self.key, b64decode(self.value), self.revision)


class Page(msgspec.Struct, rename="camel"):
    """A part of a list of items."""

    items: list[Item]
    # Revision of the whole store at the time of the answer.
    store_revision: int
    truncated: bool = False


class Events(msgspec.Struct, rename="camel"):
    """Changes since the revision that a watch named."""

    events: list[Item]
    # Revision up to which the events are complete.
    store_revision: int
