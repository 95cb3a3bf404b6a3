"""Which job's task is sent next."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge import jobs

AGEING_TASKS_PER_S = 2.0  # a job of 340 tasks passes a new one-task job after 170 s at the latest


class TaskOrdering(abc.ABC):
    """Ranks jobs; the task of the job with the lowest key goes first.

    A key may depend only on the job's arrival and progress, not on the current time, so that a heap of jobs stays
    ordered while it waits.
    """

    @abc.abstractmethod
    def key(self, job: "jobs.Job") -> float:
        """Return the job's rank."""


class ArrivalOrdering(TaskOrdering):
    """First come, first served; the naive baseline."""

    def key(self, job: "jobs.Job") -> float:
        """Return the time of arrival."""
        return job.accepted_at


class FewestRemainingOrdering(TaskOrdering):
    """The job with the fewest open tasks first, with linear ageing so that large jobs are not starved."""

    def key(self, job: "jobs.Job") -> float:
        """Return the open tasks plus the arrival time at the ageing rate."""
        return job.open_count + AGEING_TASKS_PER_S * job.accepted_at
