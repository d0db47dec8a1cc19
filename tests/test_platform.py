"""The emulated store's control endpoint, which demos and measurements rely on."""

from collections.abc import AsyncIterator

import pytest
from aiohttp import ClientSession

from cranberryhold.addresses import Address
from emulator.platform import KeyValueServer


@pytest.fixture
async def http() -> AsyncIterator[ClientSession]:
    async with (
        KeyValueServer().serve(Address("127.0.0.1", 0)) as address,
        ClientSession(f"http://{address}") as session,
    ):
        yield session


async def control(http: ClientSession, **changes: object) -> dict[str, dict]:
    async with http.post("/control", json=changes) as response:
        assert response.status == 200
        return await response.json()


async def test_unknown_fault_is_rejected(http: ClientSession) -> None:
    """A scenario whose fault is not injected would pass without testing anything."""
    async with http.post("/control", json={"lose_answer": 1}) as response:
        assert response.status == 400
        assert "lose_answer" in await response.text()


async def test_snapshot_restores_keys_and_indexes(http: ClientSession) -> None:
    await http.put("/v1/kv/a", data=b"old")
    await control(http, snapshot="s")
    await http.put("/v1/kv/a", data=b"new")
    await control(http, restore="s")
    async with http.get("/v1/kv/a") as response:
        (entry,) = await response.json()
    assert (entry["Value"], entry["ModifyIndex"]) == ("b2xk", 2)
    await http.put("/v1/kv/a", data=b"newer")
    async with http.get("/v1/kv/a") as response:
        assert (await response.json())[0]["ModifyIndex"] == 3


async def test_lock_is_released_when_its_holder_expires(http: ClientSession) -> None:
    async with http.put("/v1/session/create", json={"TTL": "10s"}) as response:
        session = (await response.json())["ID"]
    await http.put(f"/v1/kv/lock?acquire={session}")
    await control(http, expire="lock")
    async with http.put(f"/v1/session/renew/{session}") as response:
        assert response.status == 404
    async with http.get("/v1/kv/lock") as response:
        assert "Session" not in (await response.json())[0]


async def test_calls_are_counted_by_kind_without_control_requests(
    http: ClientSession,
) -> None:
    await http.put("/v1/kv/a", data=b"x")
    await http.get("/v1/kv/a")
    await http.get("/v1/kv/a?index=2&wait=10ms")
    report = await control(http)
    assert report["calls"] == {"reads": 1, "watches": 1, "writes": 1, "total": 3}
