"""Responses of the platform's store that contain items."""

from base64 import b64decode

import msgspec

from cranberryhold.flows.leased_store import StoredItem

RANGE_PATH = "/kv-range"


class Item(msgspec.Struct):
    """An item or, in a list of changes, the deletion of one."""

    key: str
    revision: int
    # Standard base64; absent in a deletion.
    value: str = ""
    deleted: bool = False

    def to_stored_item(self) -> StoredItem:
        """Return the item in the form that the flow daemons use."""
        return StoredItem(self.key, b64decode(self.value), self.revision)


class Page(msgspec.Struct, rename="camel"):
    """A page of a list of items."""

    items: list[Item]
    # Revision of the whole store at the time of the response.
    store_revision: int
    truncated: bool = False


class Events(msgspec.Struct, rename="camel"):
    """Changes since the revision that a watch started from."""

    events: list[Item]
    # Revision up to which the events are complete.
    store_revision: int
