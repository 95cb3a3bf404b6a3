"""How the scheduling of a job ended."""

import enum


class JobResult(enum.Enum):
    """How the scheduling of a job ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"  # a task has failed too often or crashes its workers
    CANCELED = "canceled"  # at a caller's request
    NOT_RUN = "not_run"  # none of its tasks has started or will start
    UNFINISHED = "unfinished"  # given up before its outcome was known; some of its tasks may have run

    @property
    def is_final(self) -> bool:
        """Whether the job must not run again if its caller sends it again."""
        return self in (JobResult.SUCCEEDED, JobResult.FAILED, JobResult.CANCELED)
