"""Policies for the order in which queued tasks are sent."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge import jobs

AGEING_TASKS_PER_S = 2.0  # a job of 340 tasks goes before a new one-task job after at most 170 s


class TaskOrdering(abc.ABC):
    """Ranks jobs, and the tasks within a job; the lowest key goes first.

    A job's key may depend only on its arrival and progress, not on the current time, so that the order of waiting jobs
    does not change as time passes.
    """

    @abc.abstractmethod
    def job_key(self, job: "jobs.Job") -> float:
        """Return the job's rank."""

    @abc.abstractmethod
    def task_key(self, index: int, expected_run_s: float) -> float:
        """Return the rank of a task within its job."""


class ArrivalOrdering(TaskOrdering):
    """First come, first served; the simple baseline policy."""

    def job_key(self, job: "jobs.Job") -> float:
        """Return the time of arrival."""
        return job.accepted_at

    def task_key(self, index: int, expected_run_s: float) -> float:
        """Return the position in the submission."""
        return index


class FewestRemainingOrdering(TaskOrdering):
    """Sends tasks of the job with the fewest open tasks first, with linear ageing so that large jobs do not starve.

    Within a job the task with the longest expected run time goes first, as it is the most likely to finish last.
    """

    def job_key(self, job: "jobs.Job") -> float:
        """Return the number of open tasks plus the arrival time multiplied by the ageing rate."""
        return job.open_count + AGEING_TASKS_PER_S * job.accepted_at

    def task_key(self, index: int, expected_run_s: float) -> float:
        """Return the negative expected run time."""
        return -expected_run_s
