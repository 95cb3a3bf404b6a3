"""Result of one planned job."""

import enum
from typing import NamedTuple


class JobResult(enum.Enum):
    """How a submission ended, as far as the caller knows."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"  # no task of the job ran
    UNKNOWN = "unknown"  # the reply was lost or does not say whether tasks ran


class JobRecord(NamedTuple):
    """Result of a job.

    `at_s` is the planned arrival in seconds after the start of the run. `response_s` counts from then, so it includes
    delays of the generator. `detail` holds the error or the reasons if the job is not complete.
    """

    at_s: float
    task_count: int
    ideal_s: float
    response_s: float
    result: JobResult
    detail: str = ""

    @property
    def ratio(self) -> float:
        """Response time relative to the ideal time."""
        return self.response_s / self.ideal_s
