"""Complete flow daemons over real sockets: discovery, forwarding and shutdown."""

import asyncio
import json
import os
import signal
import time
from socket import inet_aton

import pytest
from msgspec import structs

from cranberryhold.addresses import Address
from cranberryhold.exceptions import SettingsError
from cranberryhold.flows.early_forwarding import forward_while_loading
from cranberryhold.flows.entry_daemon import EntryDaemon
from cranberryhold.flows.http_client import HttpClient
from cranberryhold.flows.leased_store import BootstrapState, StorePosition
from cranberryhold.flows.member_daemon import StopSignal, run_until_exit
from cranberryhold.flows.peer_messages import EntryStatus
from cranberryhold.flows.settings_watch import SettingsWatch, changed_fields
from cranberryhold.flows.telemetry import (
    FLOW_EVENT_BURST,
    Histogram,
    NonBlockingOutput,
    Telemetry,
)
from cranberryhold.flows.udp import open_udp
from cranberryhold.platform.bootstrap import read_bootstrap_state
from cranberryhold.platform.store import PlatformStore
from emulator.metadata_store import PAGE_ITEMS
from tests.flow_simulation import ACK, SYN, LogLines
from tests.flow_site import CONFIGURATION, machine_ip, running_site
from tests.waiting import until


async def test_a_request_is_served_end_to_end():
    async with running_site() as site:
        entry = await site.start_entry(1)
        await site.start_sidecar(2)
        await site.start_sidecar(3)
        peers = entry.member.peers
        await until(lambda: len(peers.sidecars) == 2 and entry.is_ready())
        site.send(1, SYN, 40001)
        assert (await site.receive()).syn
        site.send(1, ACK, 40001, b"request")
        assert (await site.receive()).length == len(b"answer")
        assert sum(target.requests for target in site.targets) == 1


async def test_an_entry_instance_gets_its_state_from_peers_while_the_store_is_down():
    async with running_site() as site:
        first = await site.start_entry(1)
        await site.start_sidecar(2)
        await until(lambda: first.is_ready() and first.member.peers.sidecars)
        site.store.error_status = 503
        second = await site.start_entry(4)
        second.member.add_seeds([Address(machine_ip(1), site.peer_port)])
        second.announce()
        await until(lambda: second.document() == CONFIGURATION)
        await until(lambda: second.member.peers.sidecars)
        site.send(4, SYN, 40001)
        assert (await site.receive()).syn


async def test_a_draining_target_is_acknowledged_and_gets_no_new_flow():
    async with running_site() as site:
        entry = await site.start_entry(1)
        sidecar = await site.start_sidecar(2)
        await until(lambda: entry.member.peers.sidecars)
        target = site.targets[0]
        assert await site.send_heartbeat(2, target, sequence=2, state="draining") == 200
        assert not sidecar.datapath.accepts_flows()
        status, _ = await site.call(
            2, site.heartbeat_port, "POST", "/instances/i-2/deregister"
        )
        assert status == 200


async def test_a_target_that_reports_its_end_without_draining_is_missed_at_once():
    # Guards against callers that wait for the time-out of heartbeats because the report
    # of an end is doubted.
    async with running_site() as site:
        entry = await site.start_entry(1)
        sidecar = await site.start_sidecar(2)
        await until(lambda: entry.member.peers.sidecars and entry.is_ready())
        site.send(1, SYN, 40001)
        assert (await site.receive()).syn
        await site.crash_target(2)
        await site.call(2, site.heartbeat_port, "POST", "/instances/i-2/deregister")
        async with asyncio.timeout(1.0):
            await until(lambda: not len(sidecar.datapath.flows))


async def test_malformed_requests_are_rejected_and_counted():
    async with running_site() as site:
        sidecar = await site.start_sidecar(2)
        for body in (b"", b"{}", b"\xff\xff", json.dumps({"seq": []}).encode()):
            status, _ = await site.call(
                2, site.heartbeat_port, "POST", "/instances/i-2/heartbeat", body
            )
            assert status == 400
        assert sidecar.telemetry.counts["heartbeats_malformed"] == 4
        reader, writer = await asyncio.open_connection(
            machine_ip(2), site.heartbeat_port
        )
        writer.write(b"\0\1\2 not http\r\n\r\n")
        assert await reader.read() == b""
        writer.close()
        assert sidecar.datapath.accepts_flows()


async def test_readiness_metrics_and_configuration_are_served():
    async with running_site() as site:
        entry = await site.start_entry(1)
        await site.start_sidecar(2)
        await until(entry.is_ready)
        assert (await site.call(1, site.ready_port, "GET", "/readyz"))[0] == 200
        assert (await site.call(1, site.ready_port, "GET", "/other"))[0] == 404
        site.send(1, SYN, 40001)
        await site.receive()
        _, page = await site.call(1, site.metrics_port, "GET", "/metrics")
        assert b"cranberryhold_flows_offered_total 1.0" in page
        assert b"cranberryhold_packet_handling_seconds_bucket" in page
        assert b"cranberryhold_configuration_version 1.0" in page
        _, document = await site.call(1, site.peer_port, "GET", "/configuration")
        assert document == CONFIGURATION
        entry.leave_rotation()
        assert (await site.call(1, site.ready_port, "GET", "/readyz"))[0] == 503


async def test_an_entry_instance_stops_in_time_although_its_timers_are_late():
    # A slowed instance whose zone can't spare it counted polls instead of time, and
    # was killed at the end of its grace time with packets in its sockets.
    async with running_site() as site:
        core = await site.start_entry(1)
        peers = core.member.peers
        for number, ready in ((2, True), (3, False)):
            ip = inet_aton(machine_ip(number))
            peers.update_entry(ip, EntryStatus(number, "a", 1, ready, 60_000))
        daemon = EntryDaemon(
            core,
            PlatformStore(HttpClient(Address(machine_ip(14), 1), 1), lambda _: None),
            read_settings=lambda: core.settings,
            on_settings=lambda _: None,
        )

        async def delay_timers():
            while True:
                time.sleep(0.3)  # noqa: ASYNC251 - a slowed processor
                await asyncio.sleep(0.001)

        delaying = asyncio.create_task(delay_timers())
        started_at = time.monotonic()
        await daemon._leave_rotation()
        took_s = time.monotonic() - started_at
        delaying.cancel()
        assert took_s < core.settings.stop_limit_s


async def test_an_entry_instance_leaves_the_rotation_soon_although_its_zone_needs_it(
    monkeypatch,
):
    # The users count an instance that is ready 4 s after it was told to stop as one
    # that does not drain.
    async with running_site() as site:
        core = await site.start_entry(1)
        await site.start_sidecar(4)
        await until(core.is_ready)
        for number, ready in ((2, True), (3, False)):
            ip = inet_aton(machine_ip(number))
            status = EntryStatus(number, "a", 1, ready, 60_000)
            core.member.peers.update_entry(ip, status)
        settings = structs.replace(core.settings, stop_limit_s=6.0)
        monkeypatch.setattr(core, "_settings", settings)
        daemon = EntryDaemon(
            core,
            PlatformStore(HttpClient(Address(machine_ip(14), 1), 1), lambda _: None),
            read_settings=lambda: settings,
            on_settings=lambda _: None,
        )
        started_at = time.monotonic()
        leaving = asyncio.create_task(daemon._leave_rotation())
        await until(lambda: not core.is_ready())
        # Two probes, half a second apart, must still fail within the 4 s.
        assert time.monotonic() - started_at < 3.0
        assert core._status(1.0).stopping
        leaving.cancel()


class FakeCore:
    def __init__(self):
        self.readings = []

    def apply_initial_state(self, reading):
        self.readings.append(reading)

    def announce(self):
        pass

    def read_statuses(self):
        pass


class TestEarlyForwarding:
    def test_packets_are_forwarded_while_modules_are_loaded(self):
        telemetry = Telemetry("test", LogLines(), lambda: 0.0)
        address = Address(machine_ip(9), 0)
        received, core = [], FakeCore()
        bootstrap = BootstrapState(None, StorePosition(1, 7), [], 0.0)
        with (
            open_udp(address, telemetry) as receiver,
            open_udp(address, telemetry) as sender,
        ):
            port = receiver._sock.getsockname()[1]
            own = bytes(map(int, address.ip.split(".")))

            def load():
                sender.send(b"packet", own, port)
                while not received:
                    pass

            socket_handlers = [(receiver, lambda data, ip: received.append((data, ip)))]
            found = forward_while_loading(
                core, socket_handlers, lambda: bootstrap, load
            )
        assert received == [(b"packet", own)]
        assert found is bootstrap
        assert core.readings == [bootstrap]

    def test_an_unavailable_store_does_not_block_loading(self):
        core = FakeCore()
        assert forward_while_loading(core, [], lambda: None, lambda: None) is None
        assert core.readings == []

    async def test_the_bootstrap_state_matches_the_store(self):
        async with running_site() as site:
            await site.store.put("cranberryhold/members/10.0.0.1", b"{}")
            errors = []
            arguments = (site._store_address, "op/config", "cranberryhold/members/")
            bootstrap = await asyncio.to_thread(
                read_bootstrap_state, *arguments, errors.append
            )
            assert bootstrap.configuration.value == CONFIGURATION
            assert len(bootstrap.members) == 1
            assert bootstrap.has_all_members
            for number in range(PAGE_ITEMS):
                key = f"cranberryhold/members/10.1.{number // 200}.{number % 200}"
                await site.store.put(key, b"{}")
            bootstrap = await asyncio.to_thread(
                read_bootstrap_state, *arguments, errors.append
            )
            assert not bootstrap.has_all_members
            site.store.error_status = 503
            assert (
                await asyncio.to_thread(read_bootstrap_state, *arguments, errors.append)
                is None
            )
            assert len(errors) == 1


class TestSettingsWatch:
    def watch(self, read, applied):
        site_settings = read()
        self.lines = LogLines()
        telemetry = Telemetry("test", self.lines, lambda: 0.0)
        return SettingsWatch(
            site_settings,
            read,
            applied.append,
            restart_only=("packet_",),
            telemetry=telemetry,
        )

    async def test_changed_settings_are_applied_and_logged(self):
        async with running_site() as site:
            first = site.member(machine_ip(1))
            changed = site.member(machine_ip(2))
            answers = [first, first, changed]
            applied = []
            watch = self.watch(lambda: answers.pop(0), applied)
            watch.check()
            assert applied == []
            watch.check()
            assert applied == [changed]
            assert "needs_restart=packet_address" in self.lines.written[-1]
            assert "name" in changed_fields(first, changed)

    async def test_invalid_settings_are_logged_once_and_not_applied(self):
        async with running_site() as site:
            answers = [site.member(machine_ip(1))]

            def read():
                if answers:
                    return answers.pop()
                raise SettingsError("nodeName is missing")

            applied = []
            watch = self.watch(read, applied)
            watch.check()
            watch.check()
            assert applied == []
            assert len(self.lines.written) == 1


class TestTelemetry:
    def test_flow_events_are_rate_limited_and_counted(self):
        now = [0.0]
        lines = LogLines()
        telemetry = Telemetry("test", lines, lambda: now[0])
        for _ in range(1000):
            telemetry.flow_event("flow-offered")
        assert len(lines.written) == FLOW_EVENT_BURST
        assert telemetry.counts["log_lines_suppressed"] == 1000 - FLOW_EVENT_BURST
        now[0] = 1.0
        telemetry.flow_event("flow-offered")
        assert f"suppressed={1000 - int(FLOW_EVENT_BURST)}" in lines.written[-1]

    @pytest.mark.parametrize("closed", [False, True])
    def test_a_full_or_closed_output_drops_lines_and_does_not_block(self, closed):
        read, write = os.pipe()
        output = NonBlockingOutput(write)
        if closed:
            os.close(read)
        for _ in range(100):
            output.write("x" * 1000 + "\n")
        assert output.dropped > 0
        os.close(write)
        if not closed:
            os.close(read)

    def test_buckets_are_cumulative(self):
        histogram = Histogram((0.1, 1.0))
        for seconds in (0.05, 0.5, 5.0):
            histogram.observe(seconds)
        assert histogram.cumulative() == [("0.1", 1), ("1.0", 2), ("+Inf", 3)]


class TestStopSignal:
    @pytest.fixture(autouse=True)
    def _restore_signal_mask(self):
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        yield
        signal.pthread_sigmask(signal.SIG_SETMASK, mask)

    async def test_a_repeated_stop_signal_does_not_shorten_the_drain(self):
        # An overlapping rollout sends SIGTERM again while requests are still running.
        lines = LogLines()
        stop = StopSignal(Telemetry("test", lines, lambda: 0.0))
        stop.install()
        for expected in (1, 2):
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda count=expected: len(lines.written) == count)
        await stop.wait()
        assert all("event=stop-requested" in line for line in lines.written)

    async def test_a_signal_while_the_process_exits_does_not_kill_it(self):
        # Otherwise the exit status would report a failed stop.
        await run_until_exit(asyncio.sleep(0))
        blocked = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        assert {signal.SIGTERM, signal.SIGINT, signal.SIGHUP} <= blocked
