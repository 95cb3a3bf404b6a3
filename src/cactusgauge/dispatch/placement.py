"""Which worker takes a task."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc as collections_abc

    from cactusgauge import jobs
    from cactusgauge.dispatch import remote_worker, speed_book


class WorkerPlacement(abc.ABC):
    """Chooses a worker for a task."""

    @abc.abstractmethod
    def choose(
        self,
        job: "jobs.Job",
        task: "jobs.Task",
        free: "collections_abc.Sequence[remote_worker.RemoteWorker]",
        busy: "collections_abc.Sequence[remote_worker.RemoteWorker]",
        speeds: "speed_book.SpeedBook",
        now: float,
    ) -> "remote_worker.RemoteWorker | None":
        """Return one of `free` (not empty), or None to leave the task queued for one of `busy`."""


class AnyFreePlacement(WorkerPlacement):
    """The first free worker; the naive baseline."""

    def choose(
        self,
        job: "jobs.Job",
        task: "jobs.Task",
        free: "collections_abc.Sequence[remote_worker.RemoteWorker]",
        busy: "collections_abc.Sequence[remote_worker.RemoteWorker]",
        speeds: "speed_book.SpeedBook",
        now: float,
    ) -> "remote_worker.RemoteWorker | None":
        """Return the first free worker."""
        return free[0]


class FastestFreePlacement(WorkerPlacement):
    """The free worker with the lowest learned slowness."""

    def choose(
        self,
        job: "jobs.Job",
        task: "jobs.Task",
        free: "collections_abc.Sequence[remote_worker.RemoteWorker]",
        busy: "collections_abc.Sequence[remote_worker.RemoteWorker]",
        speeds: "speed_book.SpeedBook",
        now: float,
    ) -> "remote_worker.RemoteWorker | None":
        """Return the fastest free worker; among equals the one with most free slots."""
        return min(free, key=lambda worker: (speeds.slowness(worker.name), -worker.free_slots))


class WaitForFasterPlacement(FastestFreePlacement):
    """The fastest free worker, unless waiting for a busy faster one is expected to end the task sooner."""

    def choose(
        self,
        job: "jobs.Job",
        task: "jobs.Task",
        free: "collections_abc.Sequence[remote_worker.RemoteWorker]",
        busy: "collections_abc.Sequence[remote_worker.RemoteWorker]",
        speeds: "speed_book.SpeedBook",
        now: float,
    ) -> "remote_worker.RemoteWorker | None":
        """Return the fastest free worker, or None if a busy one is expected to end the task sooner."""
        fastest = super().choose(job, task, free, busy, speeds, now)
        if fastest is None:
            return None
        run_s = speeds.expected_run_s(task.request)
        end_now = run_s * speeds.slowness(fastest.name)
        for worker in busy:
            slowness = speeds.slowness(worker.name)
            if slowness >= speeds.slowness(fastest.name):
                continue
            if worker.expected_wait_s(now) + run_s * slowness < end_now:
                return None
        return fastest
