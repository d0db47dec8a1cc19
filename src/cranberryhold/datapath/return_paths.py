"""Choice of the entry instance through which a sidecar replies to a caller."""

import random
from collections import OrderedDict
from dataclasses import dataclass

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock
from cranberryhold.membership.members import Member, MemberState, MemberTable

# After this long without a packet, the entry instance may have failed without being
# detected yet. The acknowledgements of an active flow are far more frequent.
PATH_LIFETIME_S = 1.0
PATH_LIMIT = 16_384


@dataclass(slots=True)
class _Path:
    entry: Address
    service_address: bytes
    last_seen: float


class ReturnPaths:
    """Records the entry instance of each caller's last packet.

    A caller's path is used while it is recent and its entry instance is alive.
    Otherwise another live entry instance is chosen at random, preferably in the own
    zone, so that a flow survives the loss of its entry instance. Above
    :data:`PATH_LIMIT` paths, the least recently used ones are evicted.

    :param members: table of the known members.
    :param zone: own zone.
    :param clock: source of time.
    :param rng: source of randomness.
    """

    def __init__(
        self, members: MemberTable, zone: str, clock: Clock, rng: random.Random
    ) -> None:
        self._members = members
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._paths: OrderedDict[tuple[str, int], _Path] = OrderedDict()
        self._entries: dict[Address, Member] = {}
        members.changes.subscribe(lambda _: self._update_entries())
        self._update_entries()

    def __len__(self) -> int:
        return len(self._paths)

    def record_packet(
        self, caller: tuple[str, int], entry: Address, service_address: bytes
    ) -> bool:
        """Record that a packet of a caller came through an entry instance.

        :param service_address: packed service address that the caller uses.
        :return: whether the caller was not known before.
        """
        path = self._paths.get(caller)
        if path is None:
            self._paths[caller] = _Path(entry, service_address, self._clock.monotonic())
            if len(self._paths) > PATH_LIMIT:
                self._paths.popitem(last=False)
            return True
        self._paths.move_to_end(caller)
        # A datagram that a peer sidecar passed on doesn't come from an entry instance.
        if not self._entries or entry in self._entries:
            path.entry, path.last_seen = entry, self._clock.monotonic()
        return False

    def service_address(self, caller: tuple[str, int]) -> bytes | None:
        """Return the packed service address that a caller uses, or None."""
        path = self._paths.get(caller)
        return path.service_address if path is not None else None

    def choose(self, caller: tuple[str, int]) -> Address | None:
        """Return the entry instance for a reply, or None if none is known."""
        now = self._clock.monotonic()
        path = self._paths.get(caller)
        if path is not None and now - path.last_seen < PATH_LIFETIME_S:
            member = self._entries.get(path.entry)
            if not self._entries or (
                member is not None and member.state is MemberState.ALIVE
            ):
                return path.entry
        return self._choose_alternative(path)

    def remove(self, caller: tuple[str, int]) -> None:
        """Remove the path of a caller."""
        self._paths.pop(caller, None)

    def _choose_alternative(self, path: _Path | None) -> Address | None:
        old_entry = path.entry if path is not None else None
        healthy = [
            m
            for m in self._entries.values()
            if m.state is MemberState.ALIVE and m.forward_address != old_entry
        ]
        same_zone = [m for m in healthy if m.zone == self._zone]
        if same_zone or healthy:
            return self._rng.choice(same_zone or healthy).forward_address
        return old_entry

    def _update_entries(self) -> None:
        self._entries = {m.forward_address: m for m in self._members.entry_instances()}
