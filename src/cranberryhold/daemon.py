"""Daemons of the entry instance and of the sidecar of an upstream instance."""

import asyncio
import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from random import Random

from cranberryhold.addresses import Address
from cranberryhold.background_tasks import running_tasks
from cranberryhold.consul import ConsulStore
from cranberryhold.datapath.connection_ids import TargetRef
from cranberryhold.datapath.placement import slow_start_schedule, slow_start_weight
from cranberryhold.dump import DumpRequest, StateGetter, dump_handler, dump_on_signal
from cranberryhold.entry import EntryInstance
from cranberryhold.exceptions import ManifestError
from cranberryhold.logs import log_event
from cranberryhold.manifest.models import (
    AcceptedManifest,
    DrainPolicy,
    Service,
    service_id,
)
from cranberryhold.membership.members import MemberChange, Role
from cranberryhold.metrics import sending_metrics
from cranberryhold.node import Node, running_node
from cranberryhold.requests.load_reports import LoadReporter
from cranberryhold.requests.peer_pool import PeerPool
from cranberryhold.requests.peer_requests import (
    PeerRequestClient,
    PeerRequestServer,
    peer_request_address,
)
from cranberryhold.requests.pipeline import RequestPipeline
from cranberryhold.requests.upstream import (
    UpstreamMonitor,
    UpstreamState,
    open_upstream,
)
from cranberryhold.settings import EntrySettings, NodeSettings, SidecarSettings
from cranberryhold.sidecar import Sidecar, quic_configuration

# Seconds for which an entry instance keeps forwarding after it has announced that it
# leaves, since the fabric still sends it packets for a while.
ENTRY_SHUTDOWN_DELAY_S = 5.0


@dataclass(slots=True)
class StopSignals:
    """Requests to stop by SIGTERM or SIGINT.

    :param graceful: set by the first signal, which starts a graceful shutdown.
    :param immediate: set by the second signal, which cuts the shutdown short.
    """

    graceful: asyncio.Event = field(default_factory=asyncio.Event)
    immediate: asyncio.Event = field(default_factory=asyncio.Event)

    def record(self) -> None:
        """Record a signal."""
        (self.immediate if self.graceful.is_set() else self.graceful).set()


@contextmanager
def handling_stop_signals() -> Iterator[StopSignals]:
    """Handle the stop signals inside the context."""
    loop = asyncio.get_running_loop()
    signals = StopSignals()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.record)
    try:
        yield signals
    finally:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)


async def run_entry(settings: EntrySettings) -> int:
    """Run an entry instance until a stop signal arrives; return the exit code."""
    async with AsyncExitStack() as stack:
        signals = stack.enter_context(handling_stop_signals())
        node = await _start_node(
            stack, settings.node, Role.ENTRY, forward_address=settings.forward_address
        )
        entry = EntryInstance(
            keys=settings.node.keys, members=node.members, settings=settings
        )
        await stack.enter_async_context(entry.serving())
        node.manifest_state.accepted.subscribe(lambda a: _apply_to_entry(entry, a))
        await _start_reporting(
            stack,
            settings.node,
            node,
            lambda: {**node.state(), "entry": entry.state()},
        )
        await signals.graceful.wait()
        log_event("leaving", node=settings.node.node_id)
        node.membership.announce(leaving=True)
        await _wait_for_first(
            signals.immediate.wait(), asyncio.sleep(ENTRY_SHUTDOWN_DELAY_S)
        )
    log_event("stopped", node=settings.node.node_id)
    return 0


async def run_sidecar(settings: SidecarSettings) -> int:
    """Run the sidecar of one upstream until a stop signal arrives.

    :return: the exit code: 0, or 1 if requests were aborted.
    """
    async with AsyncExitStack() as stack:
        signals = stack.enter_context(handling_stop_signals())
        daemon = await stack.enter_async_context(running_sidecar(settings))
        await signals.graceful.wait()
        aborted = await daemon.shut_down(signals.immediate)
    log_event("stopped", node=settings.node.node_id, cut_requests=aborted)
    return 1 if aborted else 0


class SidecarDaemon:
    """Ties the parts of a sidecar to the manifest and to the upstream's health.

    :param settings: settings of the sidecar.
    :param node: the running member.
    :param sidecar: QUIC server that receives the forwarded packets.
    :param pipeline: runs the requests.
    :param monitor: polls the upstream's health.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        node: Node,
        sidecar: Sidecar,
        pipeline: RequestPipeline,
        monitor: UpstreamMonitor,
    ) -> None:
        self._settings = settings
        self._node = node
        self._sidecar = sidecar
        self._pipeline = pipeline
        self._monitor = monitor
        self._service: Service | None = None
        self._service_removed = False
        self._slow_start_task: asyncio.Task[None] | None = None
        self._drain_task: asyncio.Task[int] | None = None

    @property
    def service(self) -> Service | None:
        """Service of this sidecar, as last declared.

        It is kept when a later manifest removes it, since its open flows continue.
        """
        return self._service

    def state(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            **self._node.state(),
            "sidecar": self._sidecar.state(),
            "requests": self._pipeline.state(),
            "upstream": {
                "address": str(self._settings.upstream),
                "state": self._monitor.state.value,
            },
        }

    def apply_manifest(self, accepted: AcceptedManifest) -> None:
        """Apply a manifest; drain if it no longer contains this sidecar's service."""
        name = self._settings.service
        service = accepted.manifest.service(name)
        released = [
            Address.parse(r.address) for r in accepted.released if r.service == name
        ]
        self._sidecar.apply_service(service, released)
        if service is not None:
            restored = self._service is not None and self._service_removed
            self._service, self._service_removed = service, False
            if restored:
                self.handle_upstream_state(self._monitor.state)
        elif self._service is not None and not self._service_removed:
            self._service_removed = True
            self._stop_accepting_flows()

    def handle_upstream_state(self, state: UpstreamState) -> None:
        """Drain when the upstream drains; slow-start when it is available again."""
        log_event("upstream-state", upstream=self._settings.upstream, state=state.value)
        self._cancel_slow_start()
        if state is UpstreamState.DRAINING:
            self._stop_accepting_flows()
        elif state is UpstreamState.DOWN:
            self._node.membership.announce(weight=0)
        elif not self._service_removed:
            self._accept_new_flows()

    async def shut_down(self, abort: asyncio.Event) -> int:
        """Shut down gracefully.

        :param abort: cuts the drain short when set.
        :return: number of requests that were aborted.
        """
        self._cancel_slow_start()
        self._node.membership.announce(weight=0, leaving=True)
        drain = self._start_drain()
        await _wait_for_first(asyncio.shield(drain), abort.wait())
        aborted = drain.result() if drain.done() else self._sidecar.running
        drain.cancel()
        if aborted:
            log_event(
                "requests-cut",
                level="WARNING",
                node=self._settings.node.node_id,
                count=aborted,
                classes=self._pipeline.running,
            )
        return aborted

    def _cancel_slow_start(self) -> None:
        if self._slow_start_task is not None:
            self._slow_start_task.cancel()

    def _stop_accepting_flows(self) -> None:
        self._cancel_slow_start()
        self._node.membership.announce(weight=0)
        self._start_drain()

    def _start_drain(self) -> asyncio.Task[int]:
        if self._drain_task is None:
            policy = self.service.drain if self.service else DrainPolicy()
            limit_s = self._settings.node.drain_limit_s or policy.limit_s
            log_event("draining", node=self._settings.node.node_id, limit_s=limit_s)
            self._pipeline.begin_drain(policy.grace_s)
            self._drain_task = asyncio.create_task(
                self._sidecar.drain(policy.grace_s, limit_s)
            )
        return self._drain_task

    def _accept_new_flows(self) -> None:
        if self._drain_task is not None:
            self._drain_task.cancel()
            self._drain_task = None
            self._pipeline.end_drain()
            self._sidecar.resume()
        self._slow_start_task = asyncio.create_task(self._ramp_up_weight())

    async def _ramp_up_weight(self) -> None:
        duration_s = self.service.slow_start_s if self.service else 0.0
        started = self._node.clock.monotonic()
        for age_s, weight in slow_start_schedule(duration_s):
            remaining_s = started + age_s - self._node.clock.monotonic()
            await self._node.clock.sleep(max(0.0, remaining_s))
            self._node.membership.announce(weight=weight)


@asynccontextmanager
async def running_sidecar(settings: SidecarSettings) -> AsyncIterator[SidecarDaemon]:
    """Run a sidecar inside the context."""
    async with AsyncExitStack() as stack:
        upstream = await stack.enter_async_context(open_upstream(settings.upstream))
        node = await _start_node(
            stack,
            settings.node,
            Role.SIDECAR,
            forward_address=settings.forward_address,
            service=settings.service,
            weight=slow_start_weight(0.0, 1.0),
        )
        target = TargetRef(
            settings.forward_address,
            service_id(settings.service),
            node.local_member.incarnation,
        )

        def service() -> Service | None:
            return daemon.service

        client = await stack.enter_async_context(
            PeerRequestClient(settings.node.keys, node.clock)
        )
        pool = PeerPool(
            lambda: node.members.of_service(settings.service),
            settings.node.node_id,
            settings.node.zone,
            client,
            node.clock,
            Random(),
        )
        pipeline = RequestPipeline(
            service, target, settings.node.keys, node.clock, upstream.run, pool
        )
        node.members.changes.subscribe(
            lambda change: _apply_incarnation(change, settings.node.node_id, pipeline)
        )
        pipeline.change_incarnation(node.local_member.incarnation)
        stack.enter_context(
            PeerRequestServer(
                settings.node.keys,
                peer_request_address(node.local_member.control_address),
                pipeline,
                node.clock,
            ).serving()
        )
        loads = LoadReporter(
            node.membership,
            lambda: (sidecar.connections, pipeline.load),
            pool.record_load,
            clock=node.clock,
            rng=Random(),
        )
        sidecar = Sidecar(
            target=target,
            zone=settings.node.zone,
            node_id=settings.node.node_id,
            service=settings.service,
            keys=settings.node.keys,
            members=node.members,
            clock=node.clock,
            configuration=quic_configuration(
                settings.certificate_path, settings.private_key_path
            ),
            handler=pipeline,
            peer_connections=loads.connections,
        )
        monitor = UpstreamMonitor(upstream, settings.health_path)
        daemon = SidecarDaemon(settings, node, sidecar, pipeline, monitor)
        await stack.enter_async_context(sidecar.serving(settings.forward_address))
        node.manifest_state.accepted.subscribe(daemon.apply_manifest)
        monitor.changes.subscribe(daemon.handle_upstream_state)
        await stack.enter_async_context(
            running_tasks(node.clock, monitor.run, loads.run)
        )
        await _start_reporting(stack, settings.node, node, daemon.state)
        yield daemon


def _apply_incarnation(
    change: MemberChange, node_id: str, pipeline: RequestPipeline
) -> None:
    if change.after.node_id == node_id:
        pipeline.change_incarnation(change.after.incarnation)


async def _start_node(
    stack: AsyncExitStack, settings: NodeSettings, role: Role, **arguments: object
) -> Node:
    store = None
    if settings.store_url and role is Role.ENTRY:
        store = await stack.enter_async_context(ConsulStore.open(settings.store_url))
    return await stack.enter_async_context(
        running_node(settings, role, store=store, **arguments)
    )


async def _start_reporting(
    stack: AsyncExitStack, settings: NodeSettings, node: Node, state: StateGetter
) -> None:
    """Serve the state dump, and send its numbers as metrics."""
    node.control_server.register(DumpRequest, dump_handler(state))
    stack.enter_context(dump_on_signal(state))
    await stack.enter_async_context(
        sending_metrics(settings.statsd, settings.node_id, node.clock, state)
    )


def _apply_to_entry(entry: EntryInstance, accepted: AcceptedManifest) -> None:
    try:
        entry.apply_manifest(accepted)
    except ManifestError as error:
        log_event(
            "manifest-not-applied",
            level="ERROR",
            generation=accepted.generation,
            error=error,
        )


async def _wait_for_first(*awaitables) -> None:
    tasks = [asyncio.ensure_future(a) for a in awaitables]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
