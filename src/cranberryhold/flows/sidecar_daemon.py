"""The sidecar daemon, which runs next to a target."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from cranberryhold.exceptions import CranberryholdError
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.early_forwarding import SocketHandler
from cranberryhold.flows.heartbeat import Heartbeat
from cranberryhold.flows.http_server import Request, Response, serving_http
from cranberryhold.flows.leased_store import LeasedStore
from cranberryhold.flows.member_daemon import (
    STATE_PATH,
    DaemonComponents,
    reading_sockets,
    serving_member_http,
    state_response,
    sweep_regularly,
)
from cranberryhold.flows.settings import (
    SIDECAR_RESTART_ONLY_PREFIXES,
    FlowSidecarSettings,
)
from cranberryhold.flows.sidecar_core import SidecarCore
from cranberryhold.flows.target_presence import target_listens
from cranberryhold.flows.target_state import BeatOutcome, EndOutcome

# Longest wait for running requests before the process ends.
DRAIN_LIMIT_S = 3.0
DRAIN_POLL_S = 0.05
# New flows may still arrive until the entry instances have learned of the stop.
MIN_DRAIN_S = 0.1
# Interval between presence checks of a target whose heartbeats are overdue.
PRESENCE_INTERVAL_S = 0.5
# A target that has reported its end has closed its sockets after this time.
END_CHECK_DELAY_S = 0.1


class HeartbeatReader(Protocol):
    """Decodes the HTTP requests by which a target reports its state."""

    def read(self, request: Request) -> Heartbeat | str | None:
        """Return a heartbeat, the id of a target that has ended, or None.

        None stands for any other request.

        :raises CranberryholdError: if a heartbeat is malformed.
        """


class SidecarDaemon:
    """Runs the sidecar of one target on asyncio.

    :param core: state and message handlers of the sidecar.
    :param store: the store.
    :param heartbeats: decodes the target's requests.
    :param read_settings: rereads the settings.
    :param on_settings: called with changed settings.
    """

    def __init__(
        self,
        core: SidecarCore,
        store: LeasedStore,
        heartbeats: HeartbeatReader,
        *,
        read_settings: Callable[[], FlowSidecarSettings],
        on_settings: Callable[[FlowSidecarSettings], None],
    ) -> None:
        self._core = core
        self._settings = core.settings
        self._telemetry = core.telemetry
        self._member = core.member
        self._datapath = core.datapath
        self._heartbeats = heartbeats
        self._components = DaemonComponents(
            "sidecar",
            core,
            core.settings.member,
            store,
            restart_only=SIDECAR_RESTART_ONLY_PREFIXES,
            read_settings=read_settings,
            on_settings=on_settings,
        )
        self._check_is_due = asyncio.Event()
        self._target_dependency = Dependency("target", self._telemetry, time.monotonic)

    async def run(self, socket_handlers: list[SocketHandler]) -> None:
        """Serve until the process is told to stop.

        :param socket_handlers: open sockets and the handlers of their datagrams.
        """
        self._components.stop.install()
        self._core.use_timers(asyncio.get_running_loop().call_later)
        async with (
            reading_sockets(socket_handlers),
            serving_http(
                self._settings.heartbeat_address,
                self._handle_target_request,
                self._telemetry,
            ),
            serving_member_http(
                self._settings.member,
                self._telemetry,
                is_ready=lambda: not self._components.stop.received,
                gauges=self._core.gauges,
                peer_handler=self._handle_peer_request,
            ),
            asyncio.TaskGroup() as tasks,
        ):
            running = [
                tasks.create_task(coroutine)
                for coroutine in (
                    self._components.announcer.run(),
                    self._send_status(),
                    self._check_presence(),
                    self._components.settings_watch.run(),
                    sweep_regularly(self._member.sweep, self._datapath.sweep),
                )
            ]
            self._telemetry.event("serving")
            await self._components.stop.wait()
            await self._drain()
            await self._detect_end_of_target()
            held = self._datapath.count_held_flows()
            self._member.leave(held)
            for task in running:
                task.cancel()
            if not held:
                await self._components.announcer.withdraw()

    async def _handle_target_request(self, request: Request) -> Response:
        try:
            report = self._heartbeats.read(request)
        except CranberryholdError as error:
            self._telemetry.count("heartbeats_malformed")
            self._telemetry.flow_event("heartbeat-malformed", error=error)
            return Response(400)
        self._target_dependency.record_success()
        if report is None:
            return Response(404)
        if isinstance(report, str):
            if self._datapath.mark_target_ended(report) is EndOutcome.DOUBTFUL:
                loop = asyncio.get_running_loop()
                loop.call_later(END_CHECK_DELAY_S, self._check_is_due.set)
            self._core.announce()
        else:
            outcome = self._datapath.record_heartbeat(report)
            if not self._datapath.serves_sender(report):
                return Response(409)
            if outcome is not BeatOutcome.REFRESHED or self._core.acceptance_changed():
                self._core.announce()
        return Response(200, b"{}")

    async def _send_status(self) -> None:
        while True:
            interval_s = self._core.send_status()
            await asyncio.sleep(interval_s)

    async def _check_presence(self) -> None:
        """Detect a target that has ended without deregistering."""
        while True:
            if self._datapath.target_is_overdue():
                self._target_dependency.record_failure("no heartbeat in time")
                listens = await self._check_target()
                if listens and self._datapath.presume_target(
                    self._core.settings.service
                ):
                    self._core.announce()
            elif self._datapath.end_is_doubtful():
                await self._check_target()
            with suppress(TimeoutError):
                async with asyncio.timeout(PRESENCE_INTERVAL_S):
                    await self._check_is_due.wait()
            self._check_is_due.clear()

    async def _detect_end_of_target(self) -> None:
        """Detect that the target has ended a moment ago, as its machine goes as well.

        Otherwise, the other members would expect a successor of this process.
        """
        if self._datapath.count_held_flows():
            await self._check_target()

    async def _check_target(self) -> bool | None:
        """Return whether a target listens, None if unknown; record that none does.

        A target that starts during the check may be heard before the refusal of the
        connection, which says nothing about it then.
        """
        heard = self._datapath.last_heartbeat
        listens = await target_listens(self._settings.target_address)
        self._telemetry.count("presence_checks")
        if self._datapath.last_heartbeat is not heard:
            return None
        if listens is False and self._datapath.mark_target_absent():
            self._core.announce()
        return listens

    async def _drain(self) -> None:
        self._datapath.stop_accepting()
        self._core.announce()
        deadline = time.monotonic() + DRAIN_LIMIT_S
        await asyncio.sleep(MIN_DRAIN_S)
        while time.monotonic() < deadline:
            if not self._datapath.flows.running:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        self._telemetry.event(
            "drained",
            running=self._datapath.flows.running,
            flows=len(self._datapath.flows),
        )

    async def _handle_peer_request(self, request: Request) -> Response:
        if request.path != STATE_PATH:
            return Response(404)
        return state_response(
            self._settings.member,
            "sidecar",
            self._core.known_version(),
            self._core.evacuations,
        )
