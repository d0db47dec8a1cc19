"""The daemon that receives the packets of callers from the fabric."""

import asyncio
import time
from collections.abc import Callable

from cranberryhold.flows.configuration import ConfigurationFollower
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.early_forwarding import SocketHandler
from cranberryhold.flows.entry_core import EntryCore
from cranberryhold.flows.http_server import Request, Response
from cranberryhold.flows.leased_store import LeasedStore, StorePosition
from cranberryhold.flows.member_daemon import (
    STATE_PATH,
    DaemonComponents,
    reading_sockets,
    serving_member_http,
    state_response,
    sweep_regularly,
)
from cranberryhold.flows.peer_configurations import (
    CONFIGURATION_PATH,
    PeerConfigurations,
)
from cranberryhold.flows.settings import RESTART_ONLY_PREFIXES, MemberSettings

# The fabric stops sending after two failed probes, half a second apart; the rest
# covers packets in flight.
FORWARD_AFTER_UNREADY_S = 1.3
# Reserved at the end of the time that the platform allows a process to stop.
STOP_MARGIN_S = 1.0
ROTATION_POLL_S = 0.1
# The platform expects an instance that was told to stop out of the rotation after 4 s;
# its probes take more than a second to notice.
MAX_ROTATION_WAIT_S = 2.5
# Reading statuses in batches costs a fraction of waking up for each of them.
STATUS_READ_INTERVAL_S = 0.05
# If the status task wakes up this much later than due, the process was paused.
PAUSE_THRESHOLD_S = 0.5


class EntryDaemon:
    """Runs an entry instance on asyncio.

    :param core: state and message handlers of the instance.
    :param store: the store.
    :param read_settings: rereads the settings.
    :param on_settings: called with changed settings.
    """

    def __init__(
        self,
        core: EntryCore,
        store: LeasedStore,
        *,
        read_settings: Callable[[], MemberSettings],
        on_settings: Callable[[MemberSettings], None],
    ) -> None:
        self._core = core
        self._settings = core.settings
        self._telemetry = core.telemetry
        self._member = core.member
        self._components = DaemonComponents(
            "entry",
            core,
            core.settings,
            store,
            restart_only=RESTART_ONLY_PREFIXES,
            read_settings=read_settings,
            on_settings=on_settings,
        )
        self._follower = ConfigurationFollower(
            core.adopter,
            store,
            self._telemetry,
            dependency=Dependency("configuration", self._telemetry, time.monotonic),
            random=self._member.random,
            monotonic=time.monotonic,
            recovery_s=core.settings.configuration_recovery_s,
            evacuations=core.stored_evacuations if core.evacuations.enabled else None,
        )
        self._peer_configurations = PeerConfigurations(core.adopter, self._telemetry)

    async def run(
        self, socket_handlers: list[SocketHandler], position: StorePosition | None
    ) -> None:
        """Serve until the process is told to stop.

        :param socket_handlers: open sockets and the handlers of their datagrams.
        :param position: position of the store at which the configuration was last
            read, or None if it has not been read yet.
        """
        self._components.stop.install()
        self._core.on_newer_version(self._peer_configurations.report)
        async with reading_sockets(socket_handlers):
            await self._serve(position)

    async def _serve(self, position: StorePosition | None) -> None:
        async with (
            serving_member_http(
                self._settings,
                self._telemetry,
                is_ready=self._core.is_ready,
                gauges=self._core.gauges,
                peer_handler=self._handle_peer_request,
            ),
            asyncio.TaskGroup() as tasks,
        ):
            running = [
                tasks.create_task(coroutine)
                for coroutine in (
                    self._follower.run(position),
                    self._components.announcer.run(),
                    self._broadcast_status(),
                    self._read_statuses(),
                    sweep_regularly(self._member.sweep, self._core.sweep),
                    self._components.settings_watch.run(),
                )
            ]
            self._core.log_serving()
            await self._components.stop.wait()
            await self._leave_rotation()
            self._member.leave(flows=0)
            for task in running:
                task.cancel()

    async def _broadcast_status(self) -> None:
        while True:
            interval_s = self._core.send_status()
            due = time.monotonic() + interval_s
            await asyncio.sleep(interval_s)
            late_s = time.monotonic() - due
            if late_s > PAUSE_THRESHOLD_S:
                self._telemetry.event("process-was-paused", seconds=round(late_s, 3))
                self._member.peers.record_pause(late_s)

    async def _read_statuses(self) -> None:
        while True:
            self._core.read_statuses()
            due = time.monotonic() + STATUS_READ_INTERVAL_S
            await asyncio.sleep(STATUS_READ_INTERVAL_S)
            self._core.check_overload(time.monotonic() - due)

    async def _leave_rotation(self) -> None:
        """Report unready, and forward until the fabric has stopped sending packets.

        Waits until the zone can spare this instance, for a limited time.
        """
        started_at = time.monotonic()
        latest_exit = started_at + self._core.settings.stop_limit_s - STOP_MARGIN_S
        latest_leave = min(
            started_at + MAX_ROTATION_WAIT_S, latest_exit - FORWARD_AFTER_UNREADY_S
        )
        self._core.begin_stop()
        while time.monotonic() < latest_leave:
            if self._member.peers.rotation().tolerates_withdrawal():
                break
            await asyncio.sleep(ROTATION_POLL_S)
        self._core.leave_rotation()
        left_s = latest_exit - time.monotonic()
        await asyncio.sleep(max(0.0, min(FORWARD_AFTER_UNREADY_S, left_s)))

    async def _handle_peer_request(self, request: Request) -> Response:
        if request.path == STATE_PATH:
            return state_response(
                self._settings,
                "entry",
                self._core.adopter.version,
                self._core.evacuations,
            )
        document = self._core.document()
        if request.path != CONFIGURATION_PATH or document is None:
            return Response(404)
        return Response(200, document)
