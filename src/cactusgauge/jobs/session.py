"""A session: the jobs of one caller, identified by job numbers."""

from cactusgauge import exceptions, ids
from cactusgauge.jobs import job as job_module

# Limits on the finished jobs that one session keeps.
MAX_FINISHED_JOBS = 256
MAX_FINISHED_BYTES = 4 * 1024 * 1024


class Session:
    """The jobs of one caller on the entry that owns the session.

    Finished jobs are kept for resubmissions, within limits on their number and size. The watermark is the highest
    evicted job number: a number at or below it whose job is no longer held is refused, so that it never runs again.
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
        self._finished_job_bytes: dict[int, int] = {}
        self._finished_bytes = 0
        self._watermark = -1
        self._last_used = opened_at
        self._max_finished_jobs = max_finished_jobs
        self._max_finished_bytes = max_finished_bytes

    @property
    def id(self) -> ids.SessionId:
        """ID of the session."""
        return self._id

    @property
    def workspace(self) -> ids.WorkspaceName:
        """Workspace of the caller that opened the session."""
        return self._workspace

    @property
    def watermark(self) -> int:
        """The highest evicted job number, or -1 if none was evicted."""
        return self._watermark

    @property
    def last_used(self) -> float:
        """Loop time of the caller's last request."""
        return self._last_used

    @property
    def jobs(self) -> list[job_module.Job]:
        """All jobs that the session holds."""
        return list(self._jobs.values())

    @property
    def has_open_jobs(self) -> bool:
        """Whether a job of the session is still running."""
        return len(self._finished_job_bytes) < len(self._jobs)

    def touch(self, now: float) -> None:
        """Record the time of a request by the caller."""
        self._last_used = now

    def find(self, number: int) -> job_module.Job | None:
        """Return the job with this number, or None if the number is unused; raise `JobExpiredError` if it expired."""
        found = self._jobs.get(number)
        if found is None and number <= self._watermark:
            raise exceptions.JobExpiredError(f"job {number} is at or below the watermark {self._watermark}")
        return found

    def find_resubmitted(self, number: int, digest: bytes) -> job_module.Job | None:
        """Return the job that is being resubmitted, or None; raise `JobConflictError` if the bodies differ."""
        found = self.find(number)
        if found is not None and found.digest != digest:
            raise exceptions.JobConflictError(f"job {number} was submitted with another body")
        return found

    def add(self, job: job_module.Job) -> None:
        """Add a job with an unused number."""
        number = job.id.number
        if self.find(number) is not None:
            raise ValueError(f"job number {number} is already in use")
        self._jobs[number] = job

    def mark_finished(self, number: int) -> list[int]:
        """Register a finished job, evict the oldest ones beyond the limits, and return the evicted numbers."""
        job = self._jobs[number]
        size = job.memory_bytes
        self._finished_job_bytes[number] = size
        self._finished_bytes += size
        evicted = []
        while len(self._finished_job_bytes) > self._max_finished_jobs or (
            self._finished_bytes > self._max_finished_bytes and len(self._finished_job_bytes) > 1
        ):
            evicted.append(next(iter(self._finished_job_bytes)))
            self.evict(evicted[-1])
        return evicted

    def evict(self, number: int) -> None:
        """Remove a finished job and raise the watermark to its number; no effect if it was already evicted."""
        size = self._finished_job_bytes.pop(number, None)
        if size is None:
            return
        self._finished_bytes -= size
        del self._jobs[number]
        self._watermark = max(self._watermark, number)
