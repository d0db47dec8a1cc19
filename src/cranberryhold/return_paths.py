"""Through which entry instance a sidecar sends each packet back."""

import random
from collections import OrderedDict
from dataclasses import dataclass

from cranberryhold.addresses import Address
from cranberryhold.clock import Clock
from cranberryhold.members import Member, MemberState, MemberTable

# A path that carried nothing for this long may be dead without anyone knowing
# yet; acknowledgements of an active flow come far more often.
PATH_LIFETIME_S = 1.0
PATH_LIMIT = 16_384


@dataclass(slots=True)
class _Path:
    entry: Address
    service_address: bytes
    seen_at: float


class ReturnPaths:
    """Remembers the entry instance of each caller's last packet.

    A caller's path is used while it is fresh and its entry instance is believed
    alive. Otherwise another live entry instance is chosen at random, those of the
    own zone first, so that a flow survives the loss of its entry instance. The
    callers heard from longest ago are forgotten above :data:`PATH_LIMIT`.

    :param members: the members believed in.
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
        self._alive: dict[Address, Member] = {}
        members.changes.subscribe(lambda _: self._refresh())
        self._refresh()

    def __len__(self) -> int:
        return len(self._paths)

    def record_packet(
        self, caller: tuple[str, int], entry: Address, service_address: bytes
    ) -> bool:
        """Note that a packet of a caller came through an entry instance.

        :param service_address: the packed address that the caller uses.
        :return: whether the caller was not known before.
        """
        path = self._paths.get(caller)
        if path is None:
            self._paths[caller] = _Path(entry, service_address, self._clock.monotonic())
            if len(self._paths) > PATH_LIMIT:
                self._paths.popitem(last=False)
            return True
        self._paths.move_to_end(caller)
        # A datagram from a peer sidecar was passed on, and does not show a path.
        if not self._alive or entry in self._alive:
            path.entry, path.seen_at = entry, self._clock.monotonic()
        return False

    def service_address(self, caller: tuple[str, int]) -> bytes | None:
        """Return the packed service address that a caller uses, if known."""
        path = self._paths.get(caller)
        return path.service_address if path is not None else None

    def choose(self, caller: tuple[str, int]) -> Address | None:
        """Return the entry instance to use, or None if none is known."""
        now = self._clock.monotonic()
        path = self._paths.get(caller)
        if path is not None and now - path.seen_at < PATH_LIFETIME_S:
            member = self._alive.get(path.entry)
            if not self._alive or (
                member is not None and member.state is MemberState.ALIVE
            ):
                return path.entry
        return self._another(path)

    def remove(self, caller: tuple[str, int]) -> None:
        """Drop the path of a caller whose connection has ended."""
        self._paths.pop(caller, None)

    def _another(self, path: _Path | None) -> Address | None:
        old = path.entry if path is not None else None
        healthy = [
            m
            for m in self._alive.values()
            if m.state is MemberState.ALIVE and m.forward_address != old
        ]
        near = [m for m in healthy if m.zone == self._zone]
        if near or healthy:
            return self._rng.choice(near or healthy).forward_address
        return old

    def _refresh(self) -> None:
        self._alive = {m.forward_address: m for m in self._members.entry_instances()}
