"""The tasks of a workspace that wait for a slot."""

from typing import TYPE_CHECKING

import sortedcontainers

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import ids, jobs
    from cactusgauge.dispatch import ordering as ordering_module
    from cactusgauge.dispatch import speed_book


class _Waiting:
    """One job's place in the queue and its waiting tasks as sorted pairs of rank and index.

    `mean_run_s` is the expected run time of a task, taken once, as the work ahead is summed up for every new job.
    """

    __slots__ = ("job", "mean_run_s", "place", "tasks")

    def __init__(self, job: "jobs.Job", place: tuple[float, float, int], mean_run_s: float) -> None:
        self.job = job
        self.place = place
        self.mean_run_s = mean_run_s
        self.tasks = sortedcontainers.SortedList()


class JobQueue:
    """Waiting tasks in the order of a `TaskOrdering`; equal jobs go by arrival.

    A job's rank is taken when it is added and at each `update`. An update is needed whenever the rank falls, because
    a place in the queue does not follow by itself.
    """

    def __init__(self, ordering: "ordering_module.TaskOrdering", speeds: "speed_book.SpeedBook") -> None:
        self._ordering = ordering
        self._speeds = speeds
        self._waiting: dict[ids.JobId, _Waiting] = {}
        self._places = sortedcontainers.SortedDict()
        self._count = 0
        self._next_number = 0

    def __len__(self) -> int:
        return self._count

    def add(self, job: "jobs.Job", indices: "abc.Iterable[int]") -> None:
        """Queue tasks of a job."""
        waiting = self._waiting.get(job.id)
        if waiting is None:
            self._next_number += 1
            place = (self._ordering.job_key(job), job.accepted_at, self._next_number)
            waiting = _Waiting(job, place, self._mean_run_s(job))
            self._waiting[job.id] = waiting
            self._places[place] = waiting
        ranked = [self._rank(job, index) for index in indices]
        waiting.tasks.update(ranked)
        self._count += len(ranked)

    def update(self, job: "jobs.Job") -> None:
        """Take in a change of a job's rank."""
        waiting = self._waiting.get(job.id)
        if waiting is None:
            return
        place = (self._ordering.job_key(job), *waiting.place[1:])
        if place != waiting.place:
            del self._places[waiting.place]
            waiting.place = place
            self._places[place] = waiting

    def take(self, job: "jobs.Job", task: "jobs.Task") -> None:
        """Remove a task because it is being sent."""
        waiting = self._waiting[job.id]
        waiting.tasks.remove(next(pair for pair in waiting.tasks if pair[1] == task.index))
        self._count -= 1
        if not waiting.tasks:
            self._drop(waiting)

    def discard(self, job: "jobs.Job") -> None:
        """Remove all tasks of a job, if it has any here."""
        waiting = self._waiting.get(job.id)
        if waiting is not None:
            self._count -= len(waiting.tasks)
            self._drop(waiting)

    def tasks(self, step: int = 1) -> "abc.Iterator[tuple[jobs.Job, jobs.Task]]":
        """Yield the first waiting task and every `step`th after it; the queue must not change meanwhile."""
        skip = 0
        for waiting in self._places.values():
            count = len(waiting.tasks)
            for position in range(skip, count, step):
                yield waiting.job, waiting.job.task_at(waiting.tasks[position][1])
            skip = (skip - count) % step

    def work_before(self, key: float) -> float:
        """Return the expected work, in seconds at slowness 1, of the waiting tasks of jobs up to a rank."""
        work_s = 0.0
        for place, waiting in self._places.items():
            if place[0] > key:
                break
            work_s += waiting.mean_run_s * len(waiting.tasks)
        return work_s

    def _mean_run_s(self, job: "jobs.Job") -> float:
        requests = (job.task_at(index).request for index in range(job.task_count))
        return sum(self._speeds.expected_run_s(request) for request in requests) / job.task_count

    def _rank(self, job: "jobs.Job", index: int) -> tuple[float, int]:
        expected_run_s = self._speeds.expected_run_s(job.task_at(index).request)
        return self._ordering.task_key(index, expected_run_s), index

    def _drop(self, waiting: _Waiting) -> None:
        del self._places[waiting.place]
        del self._waiting[waiting.job.id]
