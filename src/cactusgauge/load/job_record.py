"""Result of one planned job."""

import enum
from typing import NamedTuple


class JobResult(enum.Enum):
    """How a submission ended, as far as the caller knows."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class JobRecord(NamedTuple):
    """Result of a job; `response_s` counts from the planned arrival, so it includes delays of the generator."""

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
