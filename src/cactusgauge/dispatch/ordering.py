"""Which job's task is sent next."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge import jobs

AGEING_TASKS_PER_S = 2.0  # a job of 340 tasks passes a new one-task job after 170 s at the latest


class TaskOrdering(abc.ABC):
    """Ranks jobs, and the tasks within a job; the lowest key goes first.

    A job's key may depend only on its arrival and progress, not on the current time, so that waiting jobs stay
    ordered.
    """

    @abc.abstractmethod
    def job_key(self, job: "jobs.Job") -> float:
        """Return the job's rank."""

    @abc.abstractmethod
    def task_key(self, index: int, expected_run_s: float) -> float:
        """Return the rank of a task within its job."""


class ArrivalOrdering(TaskOrdering):
    """First come, first served; the naive baseline."""

    def job_key(self, job: "jobs.Job") -> float:
        """Return the time of arrival."""
        return job.accepted_at

    def task_key(self, index: int, expected_run_s: float) -> float:
        """Return the position in the submission."""
        return index


class FewestRemainingOrdering(TaskOrdering):
    """The job with the fewest open tasks first, with linear ageing so that large jobs are not starved.

    Within a job the task with the longest expected run time goes first, as it is the most likely to end last.
    """

    def job_key(self, job: "jobs.Job") -> float:
        """Return the open tasks plus the arrival time at the ageing rate."""
        return job.open_count + AGEING_TASKS_PER_S * job.accepted_at

    def task_key(self, index: int, expected_run_s: float) -> float:
        """Return the negative expected run time."""
        return -expected_run_s
