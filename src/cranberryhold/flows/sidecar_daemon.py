"""The daemon beside a target."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from cranberryhold.exceptions import CranberryholdError
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.early_forwarding import SocketHandler
from cranberryhold.flows.http_server import Request, Response, serving_http
from cranberryhold.flows.leased_store import LeasedStore
from cranberryhold.flows.member_daemon import (
    MemberDuties,
    reading_sockets,
    serving_member_http,
    sweep_regularly,
)
from cranberryhold.flows.peers import SIDECAR_STATUS_INTERVAL_S, status_interval_s
from cranberryhold.flows.settings import FIXED_SIDECAR_SETTINGS, FlowSidecarSettings
from cranberryhold.flows.sidecar_core import SidecarCore
from cranberryhold.flows.target_presence import target_listens
from cranberryhold.flows.target_state import BeatOutcome, Heartbeat

# Requests in progress are finished before the process ends, if they take no longer.
DRAIN_LIMIT_S = 3.0
DRAIN_POLL_S = 0.05
# New flows are on their way until the entry instances have heard of the stop.
DRAIN_LEAST_S = 0.1
# Between checks of a target whose heartbeats are overdue.
PRESENCE_INTERVAL_S = 0.5


class HeartbeatReader(Protocol):
    """Reads what the target says of itself over HTTP."""

    def read(self, request: Request) -> Heartbeat | str | None:
        """Return a heartbeat, the id of a target that is gone, or None.

        :raises CranberryholdError: if the request is one of these and malformed.
        """


class SidecarDaemon:
    """Runs the sidecar of one target on asyncio.

    :param core: state and reactions of the sidecar.
    :param store: the store.
    :param heartbeats: reads the target's calls.
    :param read_settings: reads the settings anew.
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
        self._path = core.datapath
        self._heartbeats = heartbeats
        self._duties = MemberDuties(
            "sidecar",
            core,
            core.settings.member,
            store,
            fixed=FIXED_SIDECAR_SETTINGS,
            read_settings=read_settings,
            on_settings=on_settings,
        )
        self._target = Dependency("target", self._telemetry, time.monotonic)

    async def run(self, readers: list[SocketHandler]) -> None:
        """Serve until the process is asked to stop.

        :param readers: open sockets and what takes their datagrams.
        """
        self._duties.stop.install()
        async with (
            reading_sockets(readers),
            serving_http(
                self._settings.heartbeat_address,
                self._take_heartbeat,
                self._telemetry,
            ),
            serving_member_http(
                self._settings.member,
                self._telemetry,
                is_ready=lambda: not self._duties.stop.received,
                gauges=self._core.gauges,
                peer_pages=self._peer_page,
            ),
            asyncio.TaskGroup() as tasks,
        ):
            running = [
                tasks.create_task(work)
                for work in (
                    self._duties.announcer.run(),
                    self._tell_status(),
                    self._check_presence(),
                    self._duties.settings_watch.run(),
                    sweep_regularly(self._member.sweep, self._path.sweep),
                )
            ]
            self._telemetry.event("serving")
            await self._duties.stop.wait()
            await self._drain()
            held = self._path.count_held_flows()
            self._member.leave(held)
            for task in running:
                task.cancel()
            if not held:
                await self._duties.announcer.withdraw()

    async def _take_heartbeat(self, request: Request) -> Response:
        try:
            read = self._heartbeats.read(request)
        except CranberryholdError as error:
            self._telemetry.count("heartbeats_malformed")
            self._telemetry.flow_event("heartbeat-malformed", error=error)
            return Response(400)
        self._target.answered()
        if read is None:
            return Response(404)
        if isinstance(read, str):
            self._path.mark_target_ended(read)
            self._core.send_status()
        elif self._path.record_heartbeat(read) is not BeatOutcome.REFRESHED or (
            self._core.acceptance_changed()
        ):
            self._core.send_status()
        return Response(200, b"{}")

    async def _tell_status(self) -> None:
        while True:
            receivers = self._core.send_status()
            await asyncio.sleep(status_interval_s(SIDECAR_STATUS_INTERVAL_S, receivers))

    async def _check_presence(self) -> None:
        """Find out about a target that ended without a word."""
        while True:
            if self._path.target_is_overdue():
                self._target.failed("no heartbeat in time")
                listens = await target_listens(self._settings.target_address)
                self._telemetry.count("presence_checks")
                if (listens is False and self._path.mark_target_absent()) or (
                    listens and self._path.presume_target(self._settings.service)
                ):
                    self._core.send_status()
            await asyncio.sleep(PRESENCE_INTERVAL_S)

    async def _drain(self) -> None:
        self._path.stop_accepting()
        self._core.send_status()
        await asyncio.sleep(DRAIN_LEAST_S)
        polls = int(DRAIN_LIMIT_S / DRAIN_POLL_S)
        for _ in range(polls):
            if not self._path.flows.running:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        self._telemetry.event(
            "drained", running=self._path.flows.running, flows=len(self._path.flows)
        )

    async def _peer_page(self, _request: Request) -> Response:
        return Response(404)
