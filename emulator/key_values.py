"""State and fault injection of the emulated key-value service of the platform."""

import asyncio
import itertools
from contextlib import suppress
from dataclasses import dataclass, field, replace

from cranberryhold.clock import Clock, SystemClock
from cranberryhold.exceptions import StoreError, StoreOutcomeUnknownError
from cranberryhold.store import Lease, VersionedValue

MAX_VALUE_BYTES = 1_000_000
LEASE_PREFIX = "cranberryhold/leases/"


@dataclass(frozen=True, slots=True)
class Entry:
    """Value and indexes of a key, with the names that Consul uses."""

    value: bytes
    create_index: int
    modify_index: int
    lock_index: int = 0
    session: str = ""


@dataclass(slots=True)
class Session:
    """A session with a time to live; its locks are released when it expires."""

    session_id: str
    ttl_s: float
    expires_at: float
    behavior: str = "release"


@dataclass(slots=True)
class Faults:
    """The faults that are currently injected.

    :param down: whether calls neither take effect nor are answered.
    :param lose_answers: number of following writes that take effect without an answer.
    :param error_answers: number of following writes that take effect and are answered
        with status 500 (over HTTP).
    :param lose_requests: number of following writes that are lost before they take
        effect.
    :param delay_s: delay in seconds before a call takes effect.
    :param answer_delay_s: delay in seconds before a call is answered.
    """

    down: bool = False
    lose_answers: int = 0
    error_answers: int = 0
    lose_requests: int = 0
    delay_s: float = 0.0
    answer_delay_s: float = 0.0

    def should_drop_request(self, is_write: bool) -> bool:
        """Whether to drop this call before it takes effect; counts down a fault."""
        if is_write and self.lose_requests > 0:
            self.lose_requests -= 1
            return True
        return self.down

    def should_drop_response(self, is_write: bool) -> bool:
        """Whether to drop the answer of this call; counts down a fault."""
        if is_write and self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return self.down


@dataclass(slots=True)
class CallCounts:
    """Numbers of calls since the start; a blocking watch counts once."""

    reads: int = 0
    watches: int = 0
    writes: int = 0

    @property
    def total(self) -> int:
        """Number of all calls."""
        return self.reads + self.watches + self.writes


@dataclass(slots=True)
class KeyValues:
    """Keys, sessions, injected faults and the numbers of calls."""

    clock: Clock = field(default_factory=SystemClock)
    faults: Faults = field(default_factory=Faults)
    calls: CallCounts = field(default_factory=CallCounts)
    index: int = 1
    _entries: dict[str, Entry] = field(default_factory=dict)
    _sessions: dict[str, Session] = field(default_factory=dict)
    _snapshots: dict[str, tuple[int, dict[str, Entry]]] = field(default_factory=dict)
    _waiters: set[asyncio.Future[bool]] = field(default_factory=set)
    _session_numbers: "itertools.count[int]" = field(default_factory=itertools.count)
    watch_started: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when the first watch blocks."""

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None."""
        self._expire_sessions()
        return self._entries.get(key)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that start with a prefix."""
        self._expire_sessions()
        return sorted(key for key in self._entries if key.startswith(prefix))

    def index_of(self, prefix: str) -> int:
        """Return the highest index of the keys with a prefix, or that of the store."""
        indexes = [self._entries[key].modify_index for key in self.keys(prefix)]
        return max(indexes, default=self.index)

    def put(self, key: str, value: bytes, cas: int | None = None) -> bool:
        """Write a key; with ``cas``, only if that is still its modify index."""
        self._expire_sessions()
        old = self._entries.get(key)
        if cas is not None and cas != (old.modify_index if old else 0):
            return False
        self._write(key, value, old.session if old else "")
        return True

    def acquire(self, key: str, value: bytes, session_id: str) -> bool | None:
        """Lock a key for a session; return None if the session has expired."""
        self._expire_sessions()
        if session_id not in self._sessions:
            return None
        old = self._entries.get(key)
        if old and old.session not in ("", session_id):
            return False
        self._write(key, value, session_id)
        return True

    def release(self, key: str, value: bytes, session_id: str) -> bool:
        """Unlock a key; return False if this session does not hold it."""
        self._expire_sessions()
        old = self._entries.get(key)
        if not old or old.session != session_id:
            return False
        self._write(key, value, "")
        return True

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self._entries.pop(key, None):
            self.index += 1
            self._notify_waiters()

    def create_session(self, ttl_s: float, behavior: str) -> Session:
        """Create a session."""
        session_id = f"00000000-0000-4000-8000-{next(self._session_numbers):012x}"
        expires_at = self.clock.monotonic() + ttl_s
        session = Session(session_id, ttl_s, expires_at, behavior)
        self._sessions[session_id] = session
        return session

    def renew_session(self, session_id: str) -> Session | None:
        """Extend a session by its time to live; return None if it has expired."""
        self._expire_sessions()
        session = self._sessions.get(session_id)
        if session:
            session.expires_at = self.clock.monotonic() + session.ttl_s
        return session

    def destroy_session(self, session_id: str) -> None:
        """End a session; release or delete the keys that it holds."""
        session = self._sessions.pop(session_id, None)
        if session is None:
            return
        for key, entry in list(self._entries.items()):
            if entry.session != session_id:
                continue
            if session.behavior == "delete":
                self.delete(key)
            else:
                self._write(key, entry.value, "")

    def expire_holder(self, key: str) -> bool:
        """End the session that holds a key, as if its holder had been paused."""
        entry = self._entries.get(key)
        if not entry or not entry.session:
            return False
        self.destroy_session(entry.session)
        return True

    def snapshot(self, name: str) -> None:
        """Save all keys under a name."""
        self._snapshots[name] = (self.index, dict(self._entries))

    def restore(self, name: str) -> None:
        """Restore the keys and indexes of a snapshot and wake all blocked watches."""
        self.index, entries = self._snapshots[name]
        self._entries = {
            key: replace(entry, session="") for key, entry in entries.items()
        }
        self._sessions.clear()
        self._notify_waiters(restored=True)

    def set_down(self, down: bool) -> None:
        """Stop or resume answering; blocked watches end."""
        self.faults.down = down
        self._notify_waiters()

    async def watch(self, key: str, index: int, wait_s: float) -> Entry | None:
        """Wait until a key's index exceeds ``index``, then return its entry."""
        deadline = self.clock.monotonic() + wait_s
        while True:
            entry = self.get(key)
            current = entry.modify_index if entry else self.index
            remaining = deadline - self.clock.monotonic()
            if current > index or remaining <= 0 or self.faults.down:
                return entry
            if await self._wait_for_change(min(remaining, self._next_expiry())):
                return self.get(key)

    async def _wait_for_change(self, timeout_s: float) -> bool:
        """Wait for a change; return whether it was the restore of a snapshot."""
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        self.watch_started.set()
        try:
            with suppress(TimeoutError):
                return await asyncio.wait_for(waiter, timeout_s)
        finally:
            self._waiters.discard(waiter)
        return False

    def _write(self, key: str, value: bytes, session: str) -> None:
        old = self._entries.get(key)
        self.index += 1
        newly_locked = bool(session) and (not old or old.session != session)
        self._entries[key] = Entry(
            value=value,
            create_index=old.create_index if old else self.index,
            modify_index=self.index,
            lock_index=(old.lock_index if old else 0) + newly_locked,
            session=session,
        )
        self._notify_waiters()

    def _notify_waiters(self, restored: bool = False) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(restored)

    def _next_expiry(self) -> float:
        now = self.clock.monotonic()
        times = [s.expires_at - now for s in self._sessions.values()]
        return max(0.0, min(times, default=float("inf")))

    def _expire_sessions(self) -> None:
        if not self._sessions:
            return
        now = self.clock.monotonic()
        for session in list(self._sessions.values()):
            if session.expires_at <= now:
                self.destroy_session(session.session_id)


class MemoryStore:
    """An in-memory :class:`~cranberryhold.store.Store` for tests.

    Several stores may share one :class:`KeyValues`, like clients of one service.
    """

    def __init__(self, key_values: KeyValues | None = None) -> None:
        self.key_values = key_values or KeyValues()

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of a key, or None."""
        self.key_values.calls.reads += 1
        await self._before_call("read")
        entry = self.key_values.get(key)
        await self._after_call("read")
        return _to_versioned_value(entry)

    async def latest_index(self, key: str) -> int:
        """Return the highest revision of the keys that start with ``key``."""
        self.key_values.calls.reads += 1
        await self._before_call("read index")
        index = self.key_values.index_of(key)
        await self._after_call("read index")
        return index

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> bool:
        """Write a key if it still has this revision."""
        await self._before_write("compare and swap")
        if len(value) > MAX_VALUE_BYTES:
            raise StoreError("value above 1 MB", step="compare and swap")
        written = self.key_values.put(key, value, expected_revision)
        await self._after_write("compare and swap")
        return written

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> VersionedValue | None:
        """Wait for a change of a key; return None if there is none in time."""
        self.key_values.calls.watches += 1
        await self._before_call("watch")
        exists = self.key_values.get(key) is not None
        index = after_revision if exists else self.key_values.index
        entry = await self.key_values.watch(key, index, timeout_s)
        await self._after_call("watch")
        changed = entry and entry.modify_index != after_revision
        return _to_versioned_value(entry) if changed else None

    async def acquire_lease(self, name: str, ttl_s: float) -> Lease | None:
        """Acquire a lease, or return None if another client holds it."""
        await self._before_write("acquire lease")
        session = self.key_values.create_session(ttl_s, "delete")
        key = LEASE_PREFIX + name
        acquired = self.key_values.acquire(key, b"", session.session_id)
        if not acquired:
            self.key_values.destroy_session(session.session_id)
        await self._after_write("acquire lease")
        return Lease(name, session.session_id, ttl_s) if acquired else None

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return False if it has expired."""
        await self._before_write("renew lease")
        renewed = self.key_values.renew_session(lease.lease_id) is not None
        await self._after_write("renew lease")
        return renewed

    async def release_lease(self, lease: Lease) -> None:
        """Release a lease."""
        await self._before_write("release lease")
        self.key_values.destroy_session(lease.lease_id)
        await self._after_write("release lease")

    async def _before_call(self, step: str) -> None:
        await sleep_for_fault(self.key_values.clock, self.key_values.faults.delay_s)
        if self.key_values.faults.should_drop_request(is_write=False):
            raise StoreError("store is down", step=step, peer="memory")

    async def _after_call(self, step: str) -> None:
        await sleep_for_fault(
            self.key_values.clock, self.key_values.faults.answer_delay_s
        )
        if self.key_values.faults.should_drop_response(is_write=False):
            raise StoreError(
                "store went down during the call", step=step, peer="memory"
            )

    async def _before_write(self, step: str) -> None:
        self.key_values.calls.writes += 1
        await self._before_call(step)
        if self.key_values.faults.should_drop_request(is_write=True):
            raise StoreOutcomeUnknownError("request lost", step=step, peer="memory")

    async def _after_write(self, step: str) -> None:
        await sleep_for_fault(
            self.key_values.clock, self.key_values.faults.answer_delay_s
        )
        if self.key_values.faults.should_drop_response(is_write=True):
            raise StoreOutcomeUnknownError("answer lost", step=step, peer="memory")


def _to_versioned_value(entry: Entry | None) -> VersionedValue | None:
    return VersionedValue(entry.value, entry.modify_index) if entry else None


async def sleep_for_fault(clock: Clock, seconds: float) -> None:
    """Wait for the delay of an injected fault, if any."""
    if seconds > 0:
        await clock.sleep(seconds)
