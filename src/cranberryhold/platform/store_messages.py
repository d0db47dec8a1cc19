"""Responses of the platform's store."""

from binascii import a2b_base64

from cranberryhold.documents import decode_json
from cranberryhold.exceptions import DECODE_ERRORS, StoreError
from cranberryhold.flows.leased_store import (
    UNKNOWN_EPOCH,
    StoredItem,
    StorePosition,
)
from cranberryhold.structs import Struct

RANGE_PATH = "/kv-range"
# Counts how often the store was restored from an older copy of its data.
_EPOCH_HEADER = "store-era"
_MAX_EPOCH_DIGITS = 18

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import TypeVar

    from cranberryhold.flows.http_messages import HttpResponse

    T = TypeVar("T")


class Item(Struct):
    """An item or, in a list of changes, the deletion of one."""

    key: str
    revision: int
    # Standard base64; absent in a deletion.
    value: str | None = ""
    deleted: bool = False

    def to_stored_item(self) -> StoredItem:
        """Return the item in the form that the flow daemons use.

        A value that can't be decoded is empty, so that it hides no other item.
        """
        try:
            value = a2b_base64(self.value or "")
        except ValueError:
            value = b""
        return StoredItem(self.key, value, self.revision)


class _Page(Struct, rename="camel"):
    items: list[Item]
    # Revision of the whole store at the time of the response.
    store_revision: int
    truncated: bool = False


class Events(Struct, rename="camel"):
    """Changes since the revision that a watch started from."""

    events: list[Item]
    # Revision up to which the events are complete.
    store_revision: int


class StorePage(Struct, frozen=True):
    """A page of a list of items.

    :param position: position of the whole store at the time of the response.
    :param truncated: whether more items follow.
    """

    items: list[StoredItem]
    position: StorePosition
    truncated: bool


def epoch_of(response: "HttpResponse") -> int:
    """Return the epoch of the store that sent a response."""
    value = response.headers.get(_EPOCH_HEADER, "")
    is_number = value.isascii() and value.isdigit() and len(value) <= _MAX_EPOCH_DIGITS
    return int(value) if is_number else UNKNOWN_EPOCH


def expect_success(response: "HttpResponse", step: str) -> None:
    """Raise :class:`StoreError` unless the store executed the call."""
    if response.status != 200:
        raise StoreError(f"the store answered with status {response.status}", step=step)


def decode_body(response: "HttpResponse", body_type: "type[T]", step: str) -> "T":
    """Decode the body of a response; raise :class:`StoreError` if it is malformed."""
    try:
        return decode_json(response.body, body_type)
    except DECODE_ERRORS as error:
        raise StoreError(f"malformed response: {error}", step=step) from error


def decode_page(response: "HttpResponse") -> StorePage:
    """Decode the response to a call that lists items.

    :raises StoreError: if the call failed or the response is malformed.
    """
    expect_success(response, RANGE_PATH)
    page = decode_body(response, _Page, RANGE_PATH)
    return StorePage(
        [item.to_stored_item() for item in page.items],
        StorePosition(epoch_of(response), page.store_revision),
        page.truncated,
    )
