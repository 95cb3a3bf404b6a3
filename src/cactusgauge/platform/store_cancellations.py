"""Cancellations in the platform's store."""

from cactusgauge import fleet, ids
from cactusgauge.platform import job_body
from cactusgauge.platform import store as store_module

TOPIC = "cancellations"  # without keys, so that the store drops old records; each holds a job id


class StoreCancellations(fleet.CancellationLog):
    """Keeps the ids of cancelled jobs in a topic that all entries follow."""

    def __init__(self, store: store_module.Store) -> None:
        self._store = store

    async def record(self, job: ids.JobKey) -> None:
        """Store the cancellation of a job; raise `StoreUnavailableError` if it may not be stored."""
        await self._store.append(TOPIC, job.encode())

    async def read(self, cursor: int, wait_s: float) -> fleet.CancellationBatch:
        """Return the cancellations after a cursor; wait up to `wait_s` for the first one.

        Records of other writers that hold no job id are left out.
        """
        records, next_cursor = await self._store.records_after(TOPIC, cursor, wait_s)
        names = [record.decode("ascii", errors="replace") for record in records]
        return fleet.CancellationBatch([ids.JobKey(name) for name in names if job_body.is_job_id(name)], next_cursor)
