"""Admission control for whole jobs."""

import math
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import exceptions

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import configuration, jobs
    from cactusgauge.dispatch import job_queue, ordering, run_time_estimator

MIN_RETRY_AFTER_S = 1.0  # Retry-After holds whole seconds, and 0 would make clients retry in a busy loop
MAX_RETRY_AFTER_S = 30.0


class Capacity(NamedTuple):
    """Combined processing capacity of the workers that may receive tasks.

    `rate` is the work they complete per second, in seconds of run time on a worker of slowness 1. `lowest_slowness`
    is the slowness of the fastest worker.
    """

    rate: float
    lowest_slowness: float


class AdmissionControl:
    """Accepts or refuses a job as a whole, before any of its tasks is queued.

    The deadline is checked only if the run time estimates are based on completed tasks, because declared durations may
    be wrong by a factor of ten. The check assumes that all slots work at the learned speed, so it refuses only jobs
    that would miss their deadline even under the best conditions.
    """

    def __init__(
        self,
        config: "configuration.WorkspaceConfig",
        ordering_policy: "ordering.TaskOrdering",
        estimator: "run_time_estimator.RunTimeEstimator",
    ) -> None:
        self._config = config
        self._ordering = ordering_policy
        self._estimator = estimator

    def check(
        self,
        job: "jobs.Job",
        queue: "job_queue.JobQueue",
        capacity: Capacity,
        now: float,
    ) -> None:
        """Raise a `RequestError` if the job must be refused."""
        limit = self._config.max_queued_tasks
        if job.task_count > limit:
            raise exceptions.JobNeverFitsError(
                f"the job has {job.task_count} tasks; the workspace may queue at most {limit}"
            )
        rate = capacity.rate
        if len(queue) + job.task_count > limit:
            excess = len(queue) + job.task_count - limit
            error = exceptions.OverloadedError(
                f"the job has {job.task_count} tasks and {len(queue)} are already queued; the limit is {limit}"
            )
            error.retry_after_s = self._retry_after_s(
                excess * self._mean_run_s(job) / rate if rate else MAX_RETRY_AFTER_S
            )
            raise error
        if rate and all(self._estimator.has_measurements(task.request) for task in self._tasks(job)):
            self._check_deadline(job, queue, capacity, now)

    def _check_deadline(
        self,
        job: "jobs.Job",
        queue: "job_queue.JobQueue",
        capacity: Capacity,
        now: float,
    ) -> None:
        remaining_s = job.deadline - now
        rate = capacity.rate
        longest_task_s = (
            max(self._estimator.expected_run_s(task.request) for task in self._tasks(job)) * capacity.lowest_slowness
        )
        min_run_s = max(longest_task_s, self._mean_run_s(job) * job.task_count / rate)
        if min_run_s > remaining_s:
            raise exceptions.DeadlineTooShortError(
                f"the job takes at least {min_run_s:.2f} s on idle workers; its deadline is {remaining_s:.2f} s away"
            )
        queue_delay_s = queue.queued_work_s(self._ordering.job_key(job)) / rate
        if min_run_s + queue_delay_s > remaining_s:
            error = exceptions.DeadlineUnattainableError(
                f"the queued work ahead of the job takes {queue_delay_s:.2f} s and the job {min_run_s:.2f} s; "
                f"its deadline is {remaining_s:.2f} s away"
            )
            error.retry_after_s = self._retry_after_s(min_run_s + queue_delay_s - remaining_s)
            raise error

    def _mean_run_s(self, job: "jobs.Job") -> float:
        return sum(self._estimator.expected_run_s(task.request) for task in self._tasks(job)) / job.task_count

    @staticmethod
    def _tasks(job: "jobs.Job") -> "abc.Iterator[jobs.Task]":
        return (job.task_at(index) for index in range(job.task_count))

    @staticmethod
    def _retry_after_s(delay_s: float) -> float:
        return min(max(math.ceil(delay_s), MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
