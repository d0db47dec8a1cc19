"""Configuration and membership through a store with injected faults."""

import asyncio
import json
from contextlib import asynccontextmanager, suppress
from random import Random
from socket import inet_aton

import pytest

from cranberryhold.exceptions import StoreError
from cranberryhold.explain import parse_line
from cranberryhold.flows import announcement, configuration
from cranberryhold.flows.announcement import Announcer
from cranberryhold.flows.dependency import Dependency
from cranberryhold.flows.leased_store import (
    ItemList,
    LeaseLostError,
    StoreHistoryLostError,
)
from cranberryhold.flows.member_list import (
    MEMBERS_PREFIX,
    WITNESSES_PREFIX,
    MemberEntry,
)
from cranberryhold.platform import store as platform_store
from tests.following import create_telemetry, following, running_store
from tests.waiting import until

KEY = "op/config"


def document(version, services=("core",)):
    routes = [
        {"name": f"r-{n}", "host": "198.18.0.1", "prefix": f"/{n}/", "service": name}
        for n, name in enumerate(services, 443)
    ]
    service_list = [{"name": name} for name in services]
    return json.dumps(
        {"version": version, "routes": routes, "services": service_list}
    ).encode()


@pytest.fixture(autouse=True)
def _short_timeouts(monkeypatch):
    monkeypatch.setattr(announcement, "STORE_BACKOFF_S", (0.01, 0.05))
    monkeypatch.setattr(configuration, "BACKOFF_S", (0.01, 0.05))
    monkeypatch.setattr(configuration, "RETRY_RESERVE_S", 2.8)
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_S", 0.2)


class TestPlatformStore:
    async def test_items_are_written_read_and_listed(self):
        async with running_store() as (_, store):
            lease = await store.grant_lease(5.0)
            written = await store.write("a/1", b"one", expected_revision=0, lease=lease)
            assert written.applied
            result = await store.get("a/1")
            assert result.item.value == b"one"
            assert result.position.revision >= written.revision
            assert (await store.get("a/2")).item is None
            listed = await store.list_items("a/", may_be_stale=False)
            assert [item.key for item in listed.items] == ["a/1"]

    async def test_a_write_to_a_changed_item_is_rejected_and_returns_the_item(self):
        async with running_store() as (_, store):
            lease = await store.grant_lease(5.0)
            first = await store.write("a", b"one", expected_revision=0, lease=lease)
            second = await store.write("a", b"two", expected_revision=0, lease=lease)
            assert not second.applied
            assert (second.revision, second.current_value) == (first.revision, b"one")

    async def test_a_long_list_is_read_page_by_page(self):
        async with running_store() as (stand_in, store):
            for number in range(1100):
                await stand_in.put(f"a/{number:04}", b"")
            listed = await store.list_items("a/", may_be_stale=True)
            assert len(listed.items) == 1100
            assert len({item.key for item in listed.items}) == 1100

    async def test_a_watch_returns_the_newest_value_or_nothing(self):
        async with running_store() as (stand_in, store):
            await stand_in.put(KEY, b"1")
            result = await store.get(KEY)
            waiting = asyncio.create_task(
                store.wait_for_change(KEY, result.position, 5.0)
            )
            await until(lambda: stand_in.calls.get("/kv-watch"))
            await stand_in.put(KEY, b"2")
            assert (await waiting).item.value == b"2"
            result = await store.get(KEY)
            later = await store.wait_for_change(KEY, result.position, 0.05)
            assert later.item is None

    async def test_a_watch_of_a_discarded_history_raises(self):
        async with running_store() as (stand_in, store):
            result = await store.get(KEY)
            await stand_in.put(KEY, b"1")
            stand_in.compact_history()
            with pytest.raises(StoreHistoryLostError):
                await store.wait_for_change(KEY, result.position, 1.0)

    async def test_an_expired_lease_is_reported(self):
        async with running_store() as (stand_in, store):
            lease = await store.grant_lease(5.0)
            await store.renew_lease(lease)
            stand_in.expire_all_leases()
            with pytest.raises(LeaseLostError):
                await store.renew_lease(lease)
            with pytest.raises(LeaseLostError):
                await store.write("a", b"", expected_revision=0, lease=lease)
            await store.end_lease(lease)

    @pytest.mark.parametrize("status", [429, 503])
    async def test_an_error_status_raises(self, status):
        async with running_store() as (stand_in, store):
            stand_in.error_status = status
            with pytest.raises(StoreError, match=str(status)):
                await store.get(KEY)

    async def test_a_call_without_a_response_times_out(self):
        async with running_store() as (stand_in, store):
            stand_in.unresponsive = True
            with pytest.raises(StoreError):
                await store.get(KEY)


class TestConfigurationFollower:
    def following(self, store):
        return following(store, limit_s=3.0, monotonic=lambda: 0.0)

    async def test_changes_are_adopted_as_they_arrive(self):
        async with running_store() as (stand_in, store):
            await stand_in.put(KEY, document(3))
            async with self.following(store) as (_, routes, _telemetry):
                await until(lambda: routes.version == 3)
                await stand_in.put(KEY, document(8))
                await until(lambda: routes.version == 8)

    async def test_an_older_or_malformed_document_changes_nothing(self):
        async with running_store() as (stand_in, store):
            await stand_in.put(KEY, document(3))
            async with self.following(store) as (_, routes, telemetry):
                await until(lambda: routes.version == 3)
                await stand_in.put(KEY, b"{")
                await until(lambda: telemetry.counts["configurations_malformed"])
                await stand_in.put(KEY, document(2))
                await stand_in.put(KEY, document(4))
                await until(lambda: routes.version == 4)

    async def test_a_watch_continues_when_the_revision_of_the_item_is_discarded(self):
        # A watch that started from the item's own revision got status 410 permanently.
        async with running_store() as (stand_in, store):
            await stand_in.put(KEY, document(3))
            await stand_in.put("servers/1", b"")
            stand_in.compact_history()
            async with self.following(store) as (_, routes, _telemetry):
                await until(lambda: stand_in.calls.get("/kv-watch", 0) >= 3)
                assert stand_in.calls["/kv-range"] == 1
                await stand_in.put(KEY, document(4))
                await until(lambda: routes.version == 4)

    async def test_the_item_is_read_again_when_the_history_is_discarded(self):
        async with running_store() as (stand_in, store):
            await stand_in.put(KEY, document(3))
            async with self.following(store) as (_, routes, _telemetry):
                await until(lambda: routes.version == 3)
                stand_in.error_status = 503
                await stand_in.put(KEY, document(4))
                stand_in.compact_history()
                await stand_in.put("servers/1", b"")
                stand_in.compact_history()
                stand_in.error_status = None
                await until(lambda: routes.version == 4)

    async def test_an_unavailable_store_is_retried_with_backoff(self):
        async with running_store() as (stand_in, store):
            stand_in.error_status = 503
            async with self.following(store):
                await asyncio.sleep(0.5)
                assert 5 <= stand_in.calls["/kv-range"] <= 30

    async def test_the_log_tells_which_call_brought_a_version_and_what_failed(self):
        # Guards against a late version of which no log line tells by which way it
        # came, how many calls had failed, and whether another member had it earlier.
        async with running_store() as (stand_in, store):
            stand_in.error_status = 503
            async with self.following(store) as (_, routes, telemetry):
                await until(lambda: telemetry.counts["configuration_failures"] >= 2)
                routes.record_known_version(3, 0.0)
                await stand_in.put(KEY, document(3))
                stand_in.error_status = None
                await until(lambda: routes.version == 3)
                await stand_in.put(KEY, document(4))
                await until(lambda: routes.version == 4)
        lines = list(map(parse_line, telemetry.output.written))
        regained = next(x.fields for x in lines if x.event == "dependency-regained")
        assert int(regained["failures"]) >= 2
        adopted = [x.fields for x in lines if x.event == "configuration-adopted"]
        assert [e["call"] for e in adopted] == ["read", "watch"]
        assert float(adopted[0]["outdated_s"]) >= 0.0
        assert adopted[1]["outdated_s"] == "null"
        assert all(float(e["call_s"]) >= 0.0 for e in adopted)


def serve_old_stale_lists(monkeypatch, store, key):
    """Let the store answer stale reads with a state that has this item only."""
    list_items = store.list_items

    async def list_old_items(prefix, *, may_be_stale):
        listed = await list_items(prefix, may_be_stale=False)
        items = [i for i in listed.items if i.key == key or not may_be_stale]
        return ItemList(items, listed.epoch)

    monkeypatch.setattr(store, "list_items", list_old_items)


# The delay between calls has grown to 1 to 2 s by then.
OUTAGE_S = 3.0
# A first delay, and some time for the calls.
REGISTRATION_LIMIT_S = 0.5


class TestAnnouncer:
    IP = inet_aton("10.0.1.1")
    OWN = MEMBERS_PREFIX + "10.0.1.1"
    WITNESS = WITNESSES_PREFIX + "10.0.0.1"

    @pytest.fixture(autouse=True)
    def _short_lease(self, monkeypatch):
        monkeypatch.setattr(announcement, "LEASE_TTL_S", 0.3)
        monkeypatch.setattr(announcement, "MEMBERS_READ_INTERVAL_S", 0.2)

    @asynccontextmanager
    async def announcing(
        self, store, role="sidecar", ip=IP, on_registration=lambda _: None
    ):
        updates, telemetry = [], create_telemetry()
        announcer = Announcer(
            ip,
            MemberEntry(role, "a", 7),
            store,
            telemetry,
            dependency=Dependency("store", telemetry, lambda: 0.0),
            random=Random(1),
            on_members=updates.append,
            on_registration=on_registration,
        )
        task = asyncio.create_task(announcer.run())
        try:
            yield announcer, updates, telemetry
        finally:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    async def test_a_member_is_registered_and_discovers_the_others(self):
        async with running_store() as (stand_in, store):
            other = json.dumps({"role": "entry", "zone": "b", "process": 1}).encode()
            await stand_in.put(MEMBERS_PREFIX + "10.0.0.1", other)
            async with self.announcing(store) as (_, updates, _telemetry):
                await until(lambda: updates)
                assert updates[0].entries == (inet_aton("10.0.0.1"),)
                assert updates[0].sidecars == (self.IP,)

    async def test_members_that_register_at_the_same_time_find_each_other(
        self, monkeypatch
    ):
        # Guards against the reset of an open flow by an entry instance that does not
        # know the sidecar of its target. The sidecar registers after the entry instance
        # has read the members, and stale lists don't contain the latter yet.
        entry_ip = inet_aton("10.0.0.1")
        async with running_store() as (_stand_in, store):
            serve_old_stale_lists(monkeypatch, store, self.OWN)
            entry = self.announcing(store, "entry", entry_ip)
            async with entry as (_, entry_updates, _telemetry):
                await until(lambda: entry_updates)
                assert entry_updates[0].sidecars == ()
                async with self.announcing(store) as (_, updates, _telemetry):
                    await until(lambda: updates)
                    assert updates[0].entries == (entry_ip,)

    async def test_members_that_register_again_find_each_other(self, monkeypatch):
        # Guards against the same reset after an outage in which leases have expired: an
        # entry instance starts and reads the members before the sidecar is back.
        async with running_store() as (stand_in, store):
            serve_old_stale_lists(monkeypatch, store, self.OWN)
            async with self.announcing(store) as (_, updates, _telemetry):
                await until(lambda: updates)
                stand_in.expire_all_leases()
                registered = {"role": "entry", "zone": "a", "process": 1}
                await stand_in.put(
                    MEMBERS_PREFIX + "10.0.0.1", json.dumps(registered).encode()
                )
                await until(lambda: self.OWN in stand_in.keys)
                await until(lambda: any(update.entries for update in updates))

    async def test_a_list_is_complete_once_a_member_has_held_its_lease_for_long(
        self, monkeypatch
    ):
        # Guards against the reset of an open flow by an entry instance that takes the
        # list of members for complete while some have not registered again.
        monkeypatch.setattr(announcement, "MEMBER_DISCOVERY_S", 0.5)
        async with running_store() as (stand_in, store):

            async def list_members():
                async with self.announcing(store) as (_, updates, _telemetry):
                    await until(lambda: updates)
                    return updates[0]

            async with self.announcing(store, "entry", inet_aton("10.0.0.1")):
                await until(lambda: stand_in.keys)
                assert not (await list_members()).complete
                await until(lambda: self.WITNESS in stand_in.keys)
                assert (await list_members()).complete
                stand_in.expire_all_leases()
                assert not (await list_members()).complete
                await until(lambda: self.WITNESS in stand_in.keys)
                copy = stand_in.copy()
                await stand_in.restore(copy)
                assert self.WITNESS in stand_in.keys
                assert not (await list_members()).complete

    async def test_a_sidecar_does_not_vouch_for_a_complete_list(self, monkeypatch):
        monkeypatch.setattr(announcement, "MEMBER_DISCOVERY_S", 0.0)
        async with running_store() as (stand_in, store), self.announcing(store):
            renewals = [f"/kv-keep/{number}" for number in range(1001, 1010)]
            await until(lambda: any(stand_in.calls.get(r, 0) > 2 for r in renewals))
            assert stand_in.keys == [self.OWN]

    @pytest.mark.parametrize("role", ["entry", "sidecar"])
    async def test_only_the_list_after_a_registration_is_exact(self, monkeypatch, role):
        async with running_store() as (_, store):
            accepted = []
            list_items = store.list_items

            async def record(prefix, *, may_be_stale):
                accepted.append(may_be_stale)
                if len(accepted) == 1:
                    raise StoreError("lost", step="list")
                return await list_items(prefix, may_be_stale=may_be_stale)

            monkeypatch.setattr(store, "list_items", record)
            async with self.announcing(store, role):
                await until(lambda: len(accepted) >= 3)
            assert accepted[:3] == [False, False, True]

    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("10.0.0.1", b"\xff"),
            ("10.0.0.1", b'{"role":"king","zone":"a","process":1}'),
            ("10.0.0.1", b'{"role":"entry"}'),
            ("nowhere", b'{"role":"entry","zone":"a","process":1}'),
        ],
    )
    async def test_a_malformed_entry_is_ignored(self, key, value):
        async with running_store() as (stand_in, store):
            await stand_in.put(MEMBERS_PREFIX + key, value)
            async with self.announcing(store) as (_, updates, telemetry):
                await until(lambda: updates)
                assert updates[0].entries == ()
                assert telemetry.counts["member_entries_malformed"] >= 1

    async def test_an_expired_entry_is_restored(self):
        async with running_store() as (stand_in, store), self.announcing(store):
            await until(lambda: self.OWN in stand_in.keys)
            stand_in.expire_all_leases()
            assert self.OWN not in stand_in.keys
            await until(lambda: self.OWN in stand_in.keys)

    async def test_a_lease_lost_in_an_outage_is_replaced_soon(self, monkeypatch):
        # Guards against a member that is missing from the list for seconds after an
        # outage, because it waits as long as after a failed call.
        monkeypatch.setattr(announcement, "STORE_BACKOFF_S", (0.01, 2.0))
        async with running_store() as (stand_in, store), self.announcing(store):
            await until(lambda: self.OWN in stand_in.keys)
            stand_in.error_status = 503
            stand_in.expire_all_leases()
            await asyncio.sleep(OUTAGE_S)
            calls = sum(stand_in.calls.values())
            stand_in.error_status = None
            await until(lambda: sum(stand_in.calls.values()) > calls)
            await until(lambda: self.OWN in stand_in.keys, REGISTRATION_LIMIT_S)

    @pytest.mark.parametrize("expired", [True, False])
    async def test_the_loss_of_the_entry_is_reported(self, expired):
        reports = []
        async with running_store() as (stand_in, store):
            announcing = self.announcing(store, on_registration=reports.append)
            async with announcing:
                await until(lambda: reports)
                if expired:
                    stand_in.expire_all_leases()
                else:
                    await stand_in.delete(self.OWN)
                await until(lambda: reports[-2:] == [False, True])
            assert reports.count(False) == 1

    async def test_a_lease_that_may_have_expired_in_an_outage_is_reported(self):
        # The store still serves other members, which can't find this one any more.
        reports = []
        async with (
            running_store() as (stand_in, store),
            self.announcing(store, on_registration=reports.append),
        ):
            await until(lambda: reports)
            stand_in.error_status = 503
            failed_at = asyncio.get_running_loop().time()
            await until(lambda: reports[-1] is False)
            waited_s = asyncio.get_running_loop().time() - failed_at
            assert waited_s >= announcement.LEASE_TTL_S / 2
            stand_in.error_status = None
            await until(lambda: reports[-1] is True)

    async def test_an_entry_deleted_without_notice_is_restored(self):
        async with running_store() as (stand_in, store), self.announcing(store):
            await until(lambda: self.OWN in stand_in.keys)
            await stand_in.delete(self.OWN)
            await until(lambda: self.OWN in stand_in.keys)

    async def test_a_write_whose_response_was_lost_is_retried_idempotently(self):
        async with running_store() as (stand_in, store):
            stand_in.responses_to_drop = 3
            async with self.announcing(store) as (_, updates, _telemetry):
                await until(lambda: updates)
                assert json.loads(stand_in.value(self.OWN))["process"] == 7

    async def test_the_entry_of_an_earlier_process_is_replaced(self):
        async with running_store() as (stand_in, store):
            old = json.dumps({"role": "sidecar", "zone": "a", "process": 1}).encode()
            await stand_in.put(self.OWN, old)
            async with self.announcing(store):
                await until(
                    lambda: json.loads(stand_in.value(self.OWN))["process"] == 7
                )

    async def test_a_stopping_member_withdraws_its_entry(self):
        async with running_store() as (stand_in, store):
            async with self.announcing(store) as (announcer, _, _telemetry):
                await until(lambda: self.OWN in stand_in.keys)
            # The daemon also ends the task first, as it would write the entry again.
            await announcer.withdraw()
            assert self.OWN not in stand_in.keys
