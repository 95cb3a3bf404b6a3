"""An agent's in-memory record of the tasks that it started."""

import asyncio

from cactusgauge import ids, wire

RETENTION_S = 120.0
MAX_BYTES = 64 * 1024 * 1024  # a quarter of a node's memory limit of 256 MB
RECORD_OVERHEAD_BYTES = 300  # counted for each job, and for each outcome in addition to its result


class JobStarts:
    """The started tasks of one job: the indexes of the running ones, and the outcomes of the others by index.

    `changed_at` is in seconds of the event loop's clock. `digest` identifies the body of the submitted job.
    """

    __slots__ = ("changed_at", "digest", "outcomes", "running", "size_bytes", "task_count")

    def __init__(self, task_count: int, digest: bytes) -> None:
        self.task_count = task_count
        self.digest = digest
        self.running: set[int] = set()
        self.outcomes: dict[int, wire.Outcome] = {}
        self.changed_at = 0.0
        self.size_bytes = RECORD_OVERHEAD_BYTES


class StartLog:
    """Starts and outcomes per job, kept for RETENTION_S after the job's last change, within a memory limit.

    At-most-once execution does not depend on these records: a lost one only makes a recovered answer less complete.
    """

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._jobs: dict[ids.JobId, JobStarts] = {}
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Approximate memory use of the records."""
        return self._size_bytes

    def __len__(self) -> int:
        return len(self._jobs)

    def add_start(self, start: wire.Start) -> None:
        """Record a task that is about to be started."""
        record = self._touch(ids.JobId(start.session, start.number), start.task_count, start.digest)
        record.running.add(start.task)
        self._trim()

    def add_outcome(self, outcome: wire.Outcome) -> None:
        """Record the outcome of a started task."""
        record = self._jobs.get(ids.JobId(outcome.session, outcome.number))
        if record is None:
            return
        record.running.discard(outcome.task)
        record.outcomes[outcome.task] = outcome
        self._grow(record, RECORD_OVERHEAD_BYTES + len(outcome.result))
        self._touch(ids.JobId(outcome.session, outcome.number), record.task_count, record.digest)
        self._trim()

    def remove_start(self, task: ids.TaskId) -> None:
        """Remove a task that is known not to have run."""
        record = self._jobs.get(task.job)
        if record is not None:
            record.running.discard(task.task)
            self._trim()

    def find(self, job: ids.JobId) -> JobStarts | None:
        """Return the record of a job, or None."""
        return self._jobs.get(job)

    def expire(self) -> None:
        """Remove the jobs without running tasks whose last change is more than RETENTION_S ago."""
        now = asyncio.get_running_loop().time()
        for job, record in list(self._jobs.items()):
            if now - record.changed_at <= RETENTION_S:
                break
            if not record.running:
                self._drop(job)

    def _touch(self, job: ids.JobId, task_count: int, digest: bytes) -> JobStarts:
        """Return the record of a job, moved to the end of `_jobs`, which is ordered by the last change."""
        record = self._jobs.pop(job, None)
        if record is None:
            record = JobStarts(task_count, digest)
            self._size_bytes += record.size_bytes
        record.changed_at = asyncio.get_running_loop().time()
        self._jobs[job] = record
        return record

    def _grow(self, record: JobStarts, size: int) -> None:
        record.size_bytes += size
        self._size_bytes += size

    def _trim(self) -> None:
        """Remove the oldest jobs without running tasks until the memory limit is met."""
        for job, record in list(self._jobs.items()):
            if self._size_bytes <= self._max_bytes:
                return
            if not record.running:
                self._drop(job)

    def _drop(self, job: ids.JobId) -> None:
        self._size_bytes -= self._jobs.pop(job).size_bytes
