import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp
import pytest

from cactusgauge import fleet
from cactusgauge.platform import config_document, store
from tests.unit.fleet import conftest as fleet_conftest
from tests.unit.platform import store_stand_in

if TYPE_CHECKING:
    from collections import abc


@contextlib.asynccontextmanager
async def _store() -> "abc.AsyncIterator[tuple[store_stand_in.StoreStandIn, store.Store]]":
    stand_in = store_stand_in.StoreStandIn()
    async with (
        store_stand_in.serving(stand_in, fleet_conftest.free_port()) as url,
        aiohttp.ClientSession() as session,
    ):
        yield stand_in, store.Store(session, url)


async def test_newest_configuration_and_changes_after_it() -> None:
    """Guards against a change that falls between the two kinds of reads."""
    async with _store() as (stand_in, client):
        stand_in.put("keyed.op", "wave/1", b"{}")
        stand_in.put("keyed.op", "config", store_stand_in.config(3))
        change = await client.newest()
        assert change == fleet.ConfigBatch([store_stand_in.config(3)], 2)
        reading = asyncio.create_task(client.changes(change.cursor, 2.0))
        await asyncio.sleep(0.05)
        stand_in.put("keyed.op", "other", b"x")
        stand_in.put("keyed.op", "config", store_stand_in.config(5))
        change = await reading
        if not change.bodies:
            change = await client.changes(change.cursor, 2.0)
        assert change == fleet.ConfigBatch([store_stand_in.config(5)], 4)


async def test_many_pages_of_entries() -> None:
    """Guards against entries on a second page that are never dialled."""
    async with _store() as (stand_in, client):
        stand_in.page_size = 2
        urls = [f"ws://10.0.0.{number}:7000" for number in range(5)]
        for url in urls:
            await client.publish(url)
        assert [record.link_url for record in await client.entries()] == urls


@pytest.mark.parametrize("status", [429, 503])
async def test_store_that_turns_away_is_an_error(status: int) -> None:
    """Guards against a refusal of the store taken for an empty answer."""
    async with _store() as (stand_in, client):
        stand_in.status = status
        for call in (client.newest(), client.changes(0, 0.0), client.publish("ws://x"), client.entries()):
            with pytest.raises(fleet.StoreUnavailableError):
                await call


async def test_forgotten_history_is_read_anew() -> None:
    """Guards against a process that waits for ever behind records that the store has dropped."""
    async with _store() as (stand_in, client):
        for version in (1, 2, 3):
            stand_in.put("keyed.op", "config", store_stand_in.config(version))
        stand_in.first = 3
        with pytest.raises(fleet.CursorLostError):
            await client.changes(1, 0.0)
        notes: list[str] = []
        cache = fleet.ConfigCache(config_document.decode, lambda event, **fields: notes.append(event))
        follower = asyncio.create_task(fleet.ConfigFollower(client, cache, lambda event, **fields: None).run())
        await fleet_conftest.until(lambda: cache.version == 3)
        stand_in.put("keyed.op", "config", store_stand_in.config(8))
        await fleet_conftest.until(lambda: cache.version == 8, 1.0)
        stand_in.put("keyed.op", "config", store_stand_in.config(7))
        await asyncio.sleep(0.1)
        follower.cancel()
        assert cache.version == 8, "an older version must not replace a newer one"


async def test_store_that_is_away_for_a_while() -> None:
    """Guards against a follower that gives up, or that does not say what it lost."""
    async with _store() as (stand_in, client):
        stand_in.status = 503
        notes: list[str] = []
        cache = fleet.ConfigCache(config_document.decode, lambda event, **fields: None)
        follower = fleet.ConfigFollower(client, cache, lambda event, **fields: notes.append(event))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.3)
        stand_in.status = 200
        stand_in.put("keyed.op", "config", store_stand_in.config(4))
        await fleet_conftest.until(lambda: cache.version == 4)
        task.cancel()
    assert notes == ["store_lost", "store_regained"]
