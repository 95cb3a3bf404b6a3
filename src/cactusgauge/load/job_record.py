"""What became of one planned job."""

import enum
from typing import NamedTuple


class JobResult(enum.Enum):
    """How a submission ended, as the caller knows it."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class JobRecord(NamedTuple):
    """A job's end; `response_s` counts from the planned arrival, so a late generator shows in it."""

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
