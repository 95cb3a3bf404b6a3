"""Whether a whole job is accepted."""

import math
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import exceptions

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import configuration, jobs
    from cactusgauge.dispatch import job_queue, ordering, speed_book

MIN_RETRY_S = 1.0  # the header holds whole seconds, and 0 would invite a busy loop
MAX_RETRY_S = 30.0


class Capacity(NamedTuple):
    """What the workers that may get work can do.

    `rate` is the seconds of work, at slowness 1, that they do in a second; `fastest` is the lowest slowness.
    """

    rate: float
    fastest: float


class Admission:
    """Accepts a job whole or refuses it whole, before anything of it is queued.

    Estimates count only if they rest on completed tasks, since declarations may be wrong by a factor of ten. They
    assume that all slots work at the learned speed, so that only a job that is late under the best conditions is
    refused.
    """

    def __init__(
        self,
        config: "configuration.WorkspaceConfig",
        ordering_policy: "ordering.TaskOrdering",
        speeds: "speed_book.SpeedBook",
    ) -> None:
        self._config = config
        self._ordering = ordering_policy
        self._speeds = speeds

    def check(
        self,
        job: "jobs.Job",
        queue: "job_queue.JobQueue",
        capacity: Capacity,
        now: float,
    ) -> None:
        """Raise a `RequestError` if the job is refused."""
        limit = self._config.max_queued_tasks
        if job.task_count > limit:
            raise exceptions.JobNeverFitsError(f"{job.task_count} tasks; the workspace may queue {limit}")
        rate = capacity.rate
        if len(queue) + job.task_count > limit:
            excess = len(queue) + job.task_count - limit
            error = exceptions.OverloadedError(f"{len(queue)} tasks are queued; the limit is {limit}")
            error.retry_after_s = self._retry_s(excess * self._mean_run_s(job) / rate if rate else MAX_RETRY_S)
            raise error
        if rate and all(self._speeds.is_learned(task.request) for task in self._tasks(job)):
            self._check_deadline(job, queue, capacity, now)

    def _check_deadline(
        self,
        job: "jobs.Job",
        queue: "job_queue.JobQueue",
        capacity: Capacity,
        now: float,
    ) -> None:
        allowed_s = job.deadline - now
        rate = capacity.rate
        longest_s = max(self._speeds.expected_run_s(task.request) for task in self._tasks(job)) * capacity.fastest
        own_s = max(longest_s, self._mean_run_s(job) * job.task_count / rate)
        if own_s > allowed_s:
            raise exceptions.DeadlineTooShortError(
                f"the job takes at least {own_s:.2f} s on idle workers; its deadline is {allowed_s:.2f} s away"
            )
        wait_s = queue.work_before(self._ordering.job_key(job)) / rate
        if own_s + wait_s > allowed_s:
            error = exceptions.DeadlineUnattainableError(
                f"the work ahead takes {wait_s:.2f} s and the job {own_s:.2f} s; its deadline is {allowed_s:.2f} s away"
            )
            error.retry_after_s = self._retry_s(own_s + wait_s - allowed_s)
            raise error

    def _mean_run_s(self, job: "jobs.Job") -> float:
        return sum(self._speeds.expected_run_s(task.request) for task in self._tasks(job)) / job.task_count

    @staticmethod
    def _tasks(job: "jobs.Job") -> "abc.Iterator[jobs.Task]":
        return (job.task_at(index) for index in range(job.task_count))

    @staticmethod
    def _retry_s(delay_s: float) -> float:
        return min(max(math.ceil(delay_s), MIN_RETRY_S), MAX_RETRY_S)
