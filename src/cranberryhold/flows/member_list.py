"""The items about the members in the store."""

from cranberryhold.addresses import pack_host
from cranberryhold.choices import Choice
from cranberryhold.documents import decode_json
from cranberryhold.exceptions import DECODE_ERRORS, AddressError
from cranberryhold.flows.leased_store import ItemList
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.structs import Struct

MEMBERSHIP_PREFIX = "cranberryhold/"
"""Prefix of all items about the members."""

MEMBERS_PREFIX = f"{MEMBERSHIP_PREFIX}members/"
WITNESSES_PREFIX = f"{MEMBERSHIP_PREFIX}witnesses/"


class Role(Choice):
    """Kind of daemon."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class MemberEntry(Struct, frozen=True, forbid_unknown_fields=True):
    """The entry of a member in the store.

    :param role: kind of daemon.
    :param zone: data centre.
    :param process: random number that identifies the process.
    """

    role: Role
    zone: str
    process: int


class Witness(Struct, frozen=True):
    """States that all running members had the time to register in an epoch.

    A member writes it under its lease once it has held that for long enough. It is lost
    together with the entries: with the leases, if these expire in an outage, and with
    the epoch, if the store is restored from a copy.

    :param epoch: epoch of the store in which it was written.
    """

    epoch: int


class ListedMembers(Struct, frozen=True):
    """Members by role, as packed IPv4 addresses.

    :param complete: whether every running member is among them.
    """

    entries: tuple[bytes, ...]
    sidecars: tuple[bytes, ...]
    complete: bool


def decode_members(
    listed: ItemList, telemetry: Telemetry, *, exact: bool
) -> ListedMembers:
    """Return the members; malformed items are logged and left out.

    :param exact: whether the list contains all items and is not stale.
    """
    found: dict[Role, list[bytes]] = {Role.ENTRY: [], Role.SIDECAR: []}
    witnessed = False
    for item in listed.items:
        try:
            if item.key.startswith(MEMBERS_PREFIX):
                entry = decode_json(item.value, MemberEntry)
                ip = pack_host(item.key.removeprefix(MEMBERS_PREFIX))
                found[entry.role].append(ip)
            elif item.key.startswith(WITNESSES_PREFIX):
                witness = decode_json(item.value, Witness)
                witnessed = witnessed or witness.epoch == listed.epoch
        except (*DECODE_ERRORS, AddressError) as error:
            telemetry.count("member_entries_malformed")
            telemetry.flow_event("member-entry-malformed", key=item.key, error=error)
    return ListedMembers(
        tuple(found[Role.ENTRY]), tuple(found[Role.SIDECAR]), exact and witnessed
    )
