import aiohttp
import pytest

from cactusgauge import fleet, ids
from cactusgauge.platform import store, store_cancellations
from tests.unit.fleet import conftest as fleet_conftest
from tests.unit.platform import fake_store

JOBS = [ids.QueuedJob(ids.QueueName("queue é"), ids.JobKey(f"{number:016x}")) for number in range(3)]


async def test_cancellations_are_read_in_order_by_all_entries() -> None:
    """Guards against a cancellation that another entry does not see, and records that are read twice."""
    fake = fake_store.FakeStore()
    async with (
        fake_store.serve_app(fake, fleet_conftest.free_port()) as url,
        aiohttp.ClientSession() as session,
    ):
        log = store_cancellations.StoreCancellations(store.Store(session, url))
        await log.record(JOBS[0])
        fake.records[store_cancellations.TOPIC].append(b"\xffnot a job")
        await log.record(JOBS[1])
        batch = await log.read(0, 0.0)
        assert batch == fleet.CancellationBatch(JOBS[:2], 3)
        assert await log.read(batch.cursor, 0.0) == fleet.CancellationBatch([], 3)
        await log.record(JOBS[2])
        fake.first_offset = 3
        assert await log.read(0, 0.0) == fleet.CancellationBatch([], 3)
        assert await log.read(3, 0.0) == fleet.CancellationBatch([JOBS[2]], 4)
        fake.status = 503
        with pytest.raises(fleet.StoreUnavailableError):
            await log.record(JOBS[0])
        with pytest.raises(fleet.StoreUnavailableError):
            await log.read(4, 0.0)
