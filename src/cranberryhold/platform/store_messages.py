"""Responses of the platform's store that contain items."""

from base64 import b64decode

import msgspec

from cranberryhold.flows.http_messages import HttpResponse
from cranberryhold.flows.leased_store import UNKNOWN_EPOCH, StoredItem

RANGE_PATH = "/kv-range"
# Counts how often the store was restored from an older copy of its data.
_EPOCH_HEADER = "store-era"
_MAX_EPOCH_DIGITS = 18


def epoch_of(response: HttpResponse) -> int:
    """Return the epoch of the store that sent a response."""
    value = response.headers.get(_EPOCH_HEADER, "")
    is_number = value.isascii() and value.isdigit() and len(value) <= _MAX_EPOCH_DIGITS
    return int(value) if is_number else UNKNOWN_EPOCH


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
