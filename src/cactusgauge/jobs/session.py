"""A session: the numbering space of one caller's jobs."""

from cactusgauge import exceptions, ids
from cactusgauge.jobs import job as job_module

MAX_FINISHED_JOBS = 256
MAX_FINISHED_BYTES = 4 * 1024 * 1024


class Session:
    """Jobs of one caller at their owner.

    Finished jobs are kept for resubmissions within bounds on count and bytes. The watermark is the highest evicted
    number: a number at or below it that is not held is refused and never run anew.
    """

    def __init__(
        self,
        session_id: ids.SessionId,
        workspace: ids.WorkspaceName,
        opened_at: float,
        max_finished_jobs: int = MAX_FINISHED_JOBS,
        max_finished_bytes: int = MAX_FINISHED_BYTES,
    ) -> None:
        self._id = session_id
        self._workspace = workspace
        self._jobs: dict[int, job_module.Job] = {}
        self._finished: dict[int, int] = {}
        self._finished_bytes = 0
        self._watermark = -1
        self._last_used = opened_at
        self._max_finished_jobs = max_finished_jobs
        self._max_finished_bytes = max_finished_bytes

    @property
    def id(self) -> ids.SessionId:
        """The session's id."""
        return self._id

    @property
    def workspace(self) -> ids.WorkspaceName:
        """The workspace whose caller opened the session."""
        return self._workspace

    @property
    def watermark(self) -> int:
        """The highest evicted job number, or -1."""
        return self._watermark

    @property
    def last_used(self) -> float:
        """Loop time of the last request."""
        return self._last_used

    @property
    def jobs(self) -> list[job_module.Job]:
        """The jobs that the session holds."""
        return list(self._jobs.values())

    @property
    def has_open_jobs(self) -> bool:
        """Whether a job of the session is still running."""
        return len(self._finished) < len(self._jobs)

    def touch(self, now: float) -> None:
        """Note a request of the caller."""
        self._last_used = now

    def find(self, number: int) -> job_module.Job | None:
        """Return the job of a number, or None if the number is free; raise `JobExpiredError` if evicted."""
        found = self._jobs.get(number)
        if found is None and number <= self._watermark:
            raise exceptions.JobExpiredError(f"job {number} is at or below the watermark {self._watermark}")
        return found

    def find_resubmitted(self, number: int, digest: bytes) -> job_module.Job | None:
        """Return the job that a resubmission means; raise `JobConflictError` for another body."""
        found = self.find(number)
        if found is not None and found.digest != digest:
            raise exceptions.JobConflictError(f"job {number} was submitted with another body")
        return found

    def add(self, job: job_module.Job) -> None:
        """Add a job under a free number."""
        number = job.id.number
        if self.find(number) is not None:
            raise ValueError(f"job number {number} is taken")
        self._jobs[number] = job

    def mark_finished(self, number: int) -> list[int]:
        """Count a finished job against the bounds and evict the oldest ones; return the evicted numbers."""
        job = self._jobs[number]
        size = job.memory_bytes
        self._finished[number] = size
        self._finished_bytes += size
        evicted = []
        while len(self._finished) > self._max_finished_jobs or (
            self._finished_bytes > self._max_finished_bytes and len(self._finished) > 1
        ):
            evicted.append(next(iter(self._finished)))
            self.evict(evicted[-1])
        return evicted

    def evict(self, number: int) -> None:
        """Drop a finished job and raise the watermark to its number; a job already evicted is no error."""
        size = self._finished.pop(number, None)
        if size is None:
            return
        self._finished_bytes -= size
        del self._jobs[number]
        self._watermark = max(self._watermark, number)
