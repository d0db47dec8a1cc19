"""The entries of the members in the store."""

from socket import inet_aton
from typing import Literal

from msgspec import MsgspecError, Struct, json

from cranberryhold.flows.leased_store import StoredItem
from cranberryhold.flows.telemetry import Telemetry

MEMBERS_PREFIX = "cranberryhold/members/"

Role = Literal["entry", "sidecar"]


class MemberEntry(Struct, frozen=True, forbid_unknown_fields=True):
    """The entry of a member in the store.

    :param role: kind of daemon.
    :param zone: data centre.
    :param process: random number that identifies the process.
    """

    role: Role
    zone: str
    process: int


class ListedMembers(Struct, frozen=True):
    """Members by role, as packed IPv4 addresses."""

    entries: tuple[bytes, ...]
    sidecars: tuple[bytes, ...]


def decode_members(items: list[StoredItem], telemetry: Telemetry) -> ListedMembers:
    """Return the members; malformed entries are logged and left out."""
    found: dict[str, list[bytes]] = {"entry": [], "sidecar": []}
    for item in items:
        try:
            entry = json.decode(item.value, type=MemberEntry)
            found[entry.role].append(inet_aton(item.key.removeprefix(MEMBERS_PREFIX)))
        except (MsgspecError, OSError) as error:
            telemetry.count("member_entries_malformed")
            telemetry.flow_event("member-entry-malformed", key=item.key, error=error)
    return ListedMembers(tuple(found["entry"]), tuple(found["sidecar"]))
