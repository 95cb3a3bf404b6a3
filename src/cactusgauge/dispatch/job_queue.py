"""Queue of the tasks of a workspace that wait for a slot."""

from typing import TYPE_CHECKING

import sortedcontainers

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import ids, jobs
    from cactusgauge.dispatch import ordering as ordering_module
    from cactusgauge.dispatch import run_time_estimator


class _QueuedJob:
    """A job in the queue with its waiting tasks, which are sorted pairs of rank and task index.

    `sort_key` holds the job's rank, its time of arrival and the number that it got when it entered the queue.
    `mean_run_s` is the mean expected run time of the job's tasks, at slowness 1. It is computed only once, because the
    queued work is summed up for every new job.
    """

    __slots__ = ("job", "mean_run_s", "sort_key", "tasks")

    def __init__(self, job: "jobs.Job", sort_key: tuple[float, float, int], mean_run_s: float) -> None:
        self.job = job
        self.sort_key = sort_key
        self.mean_run_s = mean_run_s
        self.tasks = sortedcontainers.SortedList()


class JobQueue:
    """Waiting tasks in the order of a `TaskOrdering`; jobs of equal rank are in order of arrival.

    A job's rank is computed when the job is added and at each `update_rank`, which must be called whenever the rank
    falls; the queue does not notice the change itself.
    """

    def __init__(
        self, ordering: "ordering_module.TaskOrdering", estimator: "run_time_estimator.RunTimeEstimator"
    ) -> None:
        self._ordering = ordering
        self._estimator = estimator
        self._queued_jobs: dict[ids.JobId, _QueuedJob] = {}
        self._jobs_by_sort_key = sortedcontainers.SortedDict()
        self._task_count = 0
        self._last_sequence_number = 0

    def __len__(self) -> int:
        return self._task_count

    def add(self, job: "jobs.Job", indices: "abc.Iterable[int]") -> None:
        """Add tasks of a job."""
        queued_job = self._queued_jobs.get(job.id)
        if queued_job is None:
            self._last_sequence_number += 1
            sort_key = (self._ordering.job_key(job), job.accepted_at, self._last_sequence_number)
            queued_job = _QueuedJob(job, sort_key, self._mean_run_s(job))
            self._queued_jobs[job.id] = queued_job
            self._jobs_by_sort_key[sort_key] = queued_job
        ranked = [self._task_sort_key(job, index) for index in indices]
        queued_job.tasks.update(ranked)
        self._task_count += len(ranked)

    def update_rank(self, job: "jobs.Job") -> None:
        """Move a job, if it is queued, to the position of its current rank."""
        queued_job = self._queued_jobs.get(job.id)
        if queued_job is None:
            return
        sort_key = (self._ordering.job_key(job), *queued_job.sort_key[1:])
        if sort_key != queued_job.sort_key:
            del self._jobs_by_sort_key[queued_job.sort_key]
            queued_job.sort_key = sort_key
            self._jobs_by_sort_key[sort_key] = queued_job

    def remove_task(self, job: "jobs.Job", task: "jobs.Task") -> None:
        """Remove a task that is about to be sent."""
        queued_job = self._queued_jobs[job.id]
        queued_job.tasks.remove(next(pair for pair in queued_job.tasks if pair[1] == task.index))
        self._task_count -= 1
        if not queued_job.tasks:
            self._remove_queued_job(queued_job)

    def remove_job(self, job: "jobs.Job") -> None:
        """Remove all queued tasks of a job, if there are any."""
        queued_job = self._queued_jobs.get(job.id)
        if queued_job is not None:
            self._task_count -= len(queued_job.tasks)
            self._remove_queued_job(queued_job)

    def tasks(self, step: int = 1) -> "abc.Iterator[tuple[jobs.Job, jobs.Task]]":
        """Yield the first waiting task and every `step`th after it; the queue must not change during the iteration."""
        skip = 0
        for queued_job in self._jobs_by_sort_key.values():
            count = len(queued_job.tasks)
            for position in range(skip, count, step):
                yield queued_job.job, queued_job.job.task_at(queued_job.tasks[position][1])
            skip = (skip - count) % step

    def queued_work_s(self, key: float) -> float:
        """Return the total expected run time, at slowness 1, of the waiting tasks of jobs ranked up to `key`."""
        work_s = 0.0
        for sort_key, queued_job in self._jobs_by_sort_key.items():
            if sort_key[0] > key:
                break
            work_s += queued_job.mean_run_s * len(queued_job.tasks)
        return work_s

    def _mean_run_s(self, job: "jobs.Job") -> float:
        requests = (job.task_at(index).request for index in range(job.task_count))
        return sum(self._estimator.expected_run_s(request) for request in requests) / job.task_count

    def _task_sort_key(self, job: "jobs.Job", index: int) -> tuple[float, int]:
        expected_run_s = self._estimator.expected_run_s(job.task_at(index).request)
        return self._ordering.task_key(index, expected_run_s), index

    def _remove_queued_job(self, queued_job: _QueuedJob) -> None:
        del self._jobs_by_sort_key[queued_job.sort_key]
        del self._queued_jobs[queued_job.job.id]
