"""Reloads changed settings while a daemon runs."""

import asyncio
import signal
from collections.abc import Callable
from typing import Generic, TypeVar

from cranberryhold.exceptions import SettingsError
from cranberryhold.flows.telemetry import Telemetry
from cranberryhold.structs import Struct, asdict

# Settings are also polled, as they may change without a signal.
POLL_INTERVAL_S = 2.0

S = TypeVar("S", bound=Struct)


def changed_fields(before: Struct, after: Struct, prefix: str = "") -> list[str]:
    """Return the dotted names of the fields that differ."""
    names: list[str] = []
    new = asdict(after)
    for name, value in asdict(before).items():
        if value == new[name]:
            continue
        if isinstance(value, Struct) and isinstance(new[name], Struct):
            names += changed_fields(value, new[name], f"{prefix}{name}.")
        else:
            names.append(prefix + name)
    return names


class SettingsWatch(Generic[S]):
    """Rereads the settings on SIGHUP and at regular intervals.

    :param current: settings in effect.
    :param read: reads the settings; raises SettingsError if they are invalid.
    :param apply: applies the settings that can change at run time.
    :param restart_only: prefixes of the names of settings that need a restart.
    :param telemetry: log and counters.
    """

    def __init__(
        self,
        current: S,
        read: Callable[[], S],
        apply: Callable[[S], None],
        *,
        restart_only: tuple[str, ...],
        telemetry: Telemetry,
    ) -> None:
        self._current = current
        self._read = read
        self._apply = apply
        self._restart_only = restart_only
        self._telemetry = telemetry
        self._last_error = ""
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Watch for changes until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._handle_sighup)
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                # No signal arrived, so this is a regular poll.
                pass
            self._wake.clear()
            self.check()

    def check(self) -> None:
        """Read the settings, and apply them if they have changed."""
        try:
            new = self._read()
        except SettingsError as error:
            if str(error) != self._last_error:
                self._last_error = str(error)
                self._telemetry.event("settings-refused", level="ERROR", error=error)
            return
        self._last_error = ""
        if new == self._current:
            return
        changed = changed_fields(self._current, new)
        self._current = new
        self._apply(new)
        self._telemetry.event(
            "settings-reloaded",
            changed=",".join(changed),
            needs_restart=",".join(
                n for n in changed if n.startswith(self._restart_only)
            ),
        )

    def _handle_sighup(self) -> None:
        self._telemetry.event("reload-requested", signal="SIGHUP")
        self._wake.set()
