"""Cancellations in the platform's store."""

from cactusgauge import fleet, ids
from cactusgauge.platform import job_body
from cactusgauge.platform import store as store_module

TOPIC = "cancellations"  # without keys, so that the store drops old records; each holds a job id and its queue


class StoreCancellations(fleet.CancellationLog):
    """Keeps the cancelled jobs in a topic that all entries follow."""

    def __init__(self, store: store_module.Store) -> None:
        self._store = store

    async def record(self, job: ids.QueuedJob) -> None:
        """Store the cancellation of a job; raise `StoreUnavailableError` if it may not be stored."""
        await self._store.append(TOPIC, f"{job.key} {job.queue}".encode())

    async def read(self, cursor: int, wait_s: float) -> fleet.CancellationBatch:
        """Return the cancellations after a cursor; wait up to `wait_s` for the first one.

        Records of other writers that hold no job are left out.
        """
        records, next_cursor = await self._store.records_after(TOPIC, cursor, wait_s)
        parts = [record.decode(errors="replace").partition(" ") for record in records]
        jobs = [
            ids.QueuedJob(ids.QueueName(queue), ids.JobKey(key))
            for key, _, queue in parts
            if job_body.is_job_id(key) and queue
        ]
        return fleet.CancellationBatch(jobs, next_cursor)
