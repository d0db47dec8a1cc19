"""Queries to the running members, for the operators' commands."""

from collections.abc import Iterable

from cranberryhold.addresses import Address
from cranberryhold.distribution import query_status
from cranberryhold.exceptions import ConflictError, ManifestError, PeerError
from cranberryhold.keys import KeyRing
from cranberryhold.manifest.deltas import apply_delta
from cranberryhold.manifest.models import AcceptedManifest
from cranberryhold.membership.control import ControlClient
from cranberryhold.membership.gossip import BUCKETS
from cranberryhold.membership.members import Member, MemberState
from cranberryhold.membership.messages import (
    ManifestDelta,
    ManifestRequest,
    Records,
    RecordsRequest,
    Status,
)

# The answers to a larger batch would overflow the socket's receive buffer.
QUERY_BATCH_SIZE = 200


async def list_members(
    keys: KeyRing, contacts: Iterable[Address], timeout_s: float
) -> list[Member]:
    """Return the members that are not down, as known to the first contact that answers.

    A contact address of the fabric can't answer, since the list is too large for a
    datagram.

    :param timeout_s: seconds for each contact.
    :raises PeerError: if no contact answers.
    """
    request = RecordsRequest(buckets=list(range(BUCKETS)))
    failure = PeerError("no contact given", step="list members")
    async with ControlClient(keys) as client:
        for contact in contacts:
            try:
                answer = await client.call(contact, request, timeout_s)
            except PeerError as error:
                failure = error
                continue
            if isinstance(answer, Records):
                members = [record.to_member() for record in answer.records]
                return [m for m in members if m.state is not MemberState.DOWN]
    raise failure


async def query_fleet(
    keys: KeyRing, contacts: Iterable[Address], timeout_s: float
) -> dict[Address, Status | None]:
    """Query the manifest generation of the contacts and of all members they know.

    :param timeout_s: seconds for each step.
    :return: the answer by control address, None for those that did not answer.
    """
    contacts = list(contacts)
    try:
        members = await list_members(keys, contacts, timeout_s)
    except PeerError:
        members = []
    found = sorted(m.control_address for m in members)
    addresses = list(dict.fromkeys([*contacts, *found]))
    answers: dict[Address, Status | None] = {}
    for start in range(0, len(addresses), QUERY_BATCH_SIZE):
        batch = addresses[start : start + QUERY_BATCH_SIZE]
        answers |= await query_status(keys, batch, timeout_s)
    return answers


async def query_generation(
    keys: KeyRing, contacts: Iterable[Address], timeout_s: float
) -> int:
    """Return the highest generation that a contact has in force.

    :raises PeerError: if no contact answers.
    """
    answers = await query_status(keys, list(contacts), timeout_s)
    generations = [a.heartbeat.generation for a in answers.values() if a]
    if not generations:
        raise PeerError("no contact answered", step="query generation")
    return max(generations)


async def read_member_manifest(
    keys: KeyRing, contacts: Iterable[Address], timeout_s: float
) -> AcceptedManifest | None:
    """Return the newest manifest that a contact has in force, or None if none has one.

    :param timeout_s: seconds for each contact.
    :raises PeerError: if no contact answers with a manifest that can be read.
    """
    request = ManifestRequest(generation=0, digests={})
    failure = PeerError("no contact given", step="read manifest")
    found: list[AcceptedManifest | None] = []
    async with ControlClient(keys) as client:
        for contact in contacts:
            try:
                answer = await client.call(contact, request, timeout_s)
                if isinstance(answer, ManifestDelta):
                    has_one = answer.generation > 0
                    found.append(apply_delta(None, answer) if has_one else None)
            except PeerError as error:
                failure = error
            except ManifestError as error:
                failure = PeerError(error.message, step=error.step, peer=str(contact))
    if not found:
        raise failure
    return max(found, key=lambda m: m.generation if m else 0)


async def ensure_fleet_not_ahead(
    keys: KeyRing, contacts: Iterable[Address], base_generation: int, timeout_s: float
) -> None:
    """Check that the members will adopt the next generation of the store.

    A store that was restored from an older snapshot assigns generations that the
    members ignore, so that an accepted manifest would not come into force.

    :param base_generation: generation that the next one will follow.
    :raises ConflictError: if a contact has a higher generation in force.
    """
    answers = await query_status(keys, list(contacts), timeout_s)
    in_force = max((a.heartbeat.generation for a in answers.values() if a), default=0)
    ensure_not_ahead(in_force, base_generation)


def ensure_not_ahead(in_force: int, base_generation: int) -> None:
    """Check a generation of the members against the one that the next will follow.

    :raises ConflictError: if that of the members is higher.
    """
    if in_force > base_generation:
        raise ConflictError(
            f"the members have generation {in_force} in force and the store holds "
            f"{base_generation}: has it been restored from an older snapshot? Look "
            f"at it with 'manifest show', then submit with --above-generation "
            f"{in_force}",
            step="compare with members",
        )
