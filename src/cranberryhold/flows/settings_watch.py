"""Takes changed settings while a daemon runs."""

import asyncio
import signal
from collections.abc import Callable
from typing import Generic, TypeVar

from msgspec import Struct, structs

from cranberryhold.exceptions import SettingsError
from cranberryhold.flows.telemetry import Telemetry

# The settings may change without a signal.
POLL_INTERVAL_S = 2.0

S = TypeVar("S", bound=Struct)


def changed_fields(before: Struct, after: Struct, prefix: str = "") -> list[str]:
    """Return the dotted names of the fields that differ."""
    names: list[str] = []
    new = structs.asdict(after)
    for name, value in structs.asdict(before).items():
        if value == new[name]:
            continue
        if isinstance(value, Struct) and isinstance(new[name], Struct):
            names += changed_fields(value, new[name], f"{prefix}{name}.")
        else:
            names.append(prefix + name)
    return names


class SettingsWatch(Generic[S]):
    """Reads the settings anew on SIGHUP and from time to time.

    :param current: settings in effect.
    :param read: reads the settings; raises SettingsError if they can't be used.
    :param apply: puts what can change at run time into effect.
    :param fixed: first parts of the names that need a restart.
    :param telemetry: log and counters.
    """

    def __init__(
        self,
        current: S,
        read: Callable[[], S],
        apply: Callable[[S], None],
        *,
        fixed: tuple[str, ...],
        telemetry: Telemetry,
    ) -> None:
        self._current = current
        self._read = read
        self._apply = apply
        self._fixed = fixed
        self._telemetry = telemetry
        self._refused = ""
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Watch until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._take_signal)
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                # The regular poll.
                pass
            self._wake.clear()
            self.check()

    def check(self) -> None:
        """Read the settings, and apply them if they have changed."""
        try:
            new = self._read()
        except SettingsError as error:
            if str(error) != self._refused:
                self._refused = str(error)
                self._telemetry.event("settings-refused", level="ERROR", error=error)
            return
        self._refused = ""
        if new == self._current:
            return
        changed = changed_fields(self._current, new)
        self._current = new
        self._apply(new)
        self._telemetry.event(
            "settings-reloaded",
            changed=",".join(changed),
            needs_restart=",".join(n for n in changed if n.startswith(self._fixed)),
        )

    def _take_signal(self) -> None:
        self._telemetry.event("reload-requested", signal="SIGHUP")
        self._wake.set()
