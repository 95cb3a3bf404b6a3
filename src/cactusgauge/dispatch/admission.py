"""Whether a whole job is accepted."""

import math
from typing import TYPE_CHECKING

from cactusgauge import exceptions

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import configuration, jobs
    from cactusgauge.dispatch import job_queue, ordering, remote_worker, speed_book

MIN_RETRY_S = 1.0  # the header holds whole seconds, and 0 would invite a busy loop
MAX_RETRY_S = 30.0


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
        workers: "abc.Collection[remote_worker.RemoteWorker]",
        now: float,
    ) -> None:
        """Raise a `RequestError` if the job is refused; `workers` are those that may get work."""
        limit = self._config.max_queued_tasks
        if job.task_count > limit:
            raise exceptions.JobNeverFitsError(f"{job.task_count} tasks; the workspace may queue {limit}")
        rate = self._capacity(workers)
        if len(queue) + job.task_count > limit:
            excess = len(queue) + job.task_count - limit
            error = exceptions.OverloadedError(f"{len(queue)} tasks are queued; the limit is {limit}")
            error.retry_after_s = self._retry_s(excess * self._mean_run_s(job) / rate if rate else MAX_RETRY_S)
            raise error
        if rate and all(self._speeds.is_learned(task.request) for task in self._tasks(job)):
            self._check_deadline(job, queue, workers, rate, now)

    def _check_deadline(
        self,
        job: "jobs.Job",
        queue: "job_queue.JobQueue",
        workers: "abc.Collection[remote_worker.RemoteWorker]",
        rate: float,
        now: float,
    ) -> None:
        allowed_s = job.deadline - now
        fastest = min(self._speeds.slowness(worker.name) for worker in workers)
        longest_s = max(self._speeds.expected_run_s(task.request) for task in self._tasks(job)) * fastest
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

    def _capacity(self, workers: "abc.Collection[remote_worker.RemoteWorker]") -> float:
        """Return the seconds of work, at slowness 1, that the workers do in a second."""
        return sum(worker.credit / self._speeds.slowness(worker.name) for worker in workers)

    def _mean_run_s(self, job: "jobs.Job") -> float:
        return sum(self._speeds.expected_run_s(task.request) for task in self._tasks(job)) / job.task_count

    @staticmethod
    def _tasks(job: "jobs.Job") -> "abc.Iterator[jobs.Task]":
        return (job.task_at(index) for index in range(job.task_count))

    @staticmethod
    def _retry_s(delay_s: float) -> float:
        return min(max(math.ceil(delay_s), MIN_RETRY_S), MAX_RETRY_S)
