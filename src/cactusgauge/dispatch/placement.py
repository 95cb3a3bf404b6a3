"""Policies that choose the worker of each task."""

import abc
import heapq
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections import abc as collections_abc

    from cactusgauge import jobs
    from cactusgauge.dispatch import remote_worker, run_time_estimator, worker_slots

# Waiting tasks that a plan considers for each slot: the fastest worker completes about four tasks on a slot while the
# slowest completes one.
LOOKAHEAD_TASKS_PER_SLOT = 4


class PlacedTask(NamedTuple):
    """A task to be sent now; `run_s` is its expected run time at the worker, in seconds."""

    job: "jobs.Job"
    task: "jobs.Task"
    worker: "remote_worker.RemoteWorker"
    run_s: float


class WorkerPlacement(abc.ABC):
    """Chooses the workers for the waiting tasks."""

    @abc.abstractmethod
    def plan(
        self,
        waiting: "collections_abc.Iterator[tuple[jobs.Job, jobs.Task]]",
        slots: "collections_abc.Sequence[worker_slots.WorkerSlots]",
        estimator: "run_time_estimator.RunTimeEstimator",
        now: float,
        budget: int,
    ) -> list[PlacedTask]:
        """Return at most `budget` tasks to be sent now, and at most one for each free slot.

        `waiting` yields the tasks in the order in which they should start. `budget` is the number of tasks that may be
        sent before the limit on running tasks is reached; it may be negative.
        """


class AnyFreePlacement(WorkerPlacement):
    """Uses the free slots in the given order of the workers, whatever their speed; the baseline for comparisons."""

    def plan(
        self,
        waiting: "collections_abc.Iterator[tuple[jobs.Job, jobs.Task]]",
        slots: "collections_abc.Sequence[worker_slots.WorkerSlots]",
        estimator: "run_time_estimator.RunTimeEstimator",
        now: float,
        budget: int,
    ) -> list[PlacedTask]:
        """Fill the free slots in the given order of the workers."""
        free = [each.worker for each in slots for _ in range(each.free)][: max(budget, 0)]
        # `zip` advances its first argument first, so no waiting task is consumed when the free slots run out;
        # therefore `free` must come first.
        return [
            _to_placed_task(job, task, worker, estimator) for worker, (job, task) in zip(free, waiting, strict=False)
        ]


class FastestFreePlacement(AnyFreePlacement):
    """Uses the free slots of the fastest workers first, by their learned slowness over all kinds of task."""

    def plan(
        self,
        waiting: "collections_abc.Iterator[tuple[jobs.Job, jobs.Task]]",
        slots: "collections_abc.Sequence[worker_slots.WorkerSlots]",
        estimator: "run_time_estimator.RunTimeEstimator",
        now: float,
        budget: int,
    ) -> list[PlacedTask]:
        """Fill the free slots, fastest worker first."""
        fastest_first = sorted(slots, key=lambda each: estimator.slowness(each.worker.name))
        return super().plan(waiting, fastest_first, estimator, now, budget)


class WaitForFasterPlacement(WorkerPlacement):
    """Assigns each task to the slot where it is expected to end first; if that slot is busy, the task waits for it.

    Every considered task, whether it starts now or waits, reserves its slot for its expected run time within this plan,
    so that later tasks are planned after it. A slow slot stays idle only while all considered tasks are expected to end
    sooner elsewhere.
    """

    def plan(
        self,
        waiting: "collections_abc.Iterator[tuple[jobs.Job, jobs.Task]]",
        slots: "collections_abc.Sequence[worker_slots.WorkerSlots]",
        estimator: "run_time_estimator.RunTimeEstimator",
        now: float,
        budget: int,
    ) -> list[PlacedTask]:
        """Return the tasks whose earliest expected end is on a slot that is free now."""
        free = min(sum(each.free for each in slots), budget)
        schedule = _SlotSchedule(slots, estimator, now)
        placed: list[PlacedTask] = []
        lookahead = LOOKAHEAD_TASKS_PER_SLOT * schedule.slot_count
        while len(placed) < free and lookahead > 0:
            job, task = next(waiting, (None, None))
            if job is None or task is None:
                break
            lookahead -= 1
            worker, start, run_s = schedule.reserve(task)
            if start <= now:
                placed.append(PlacedTask(job, task, worker, run_s))
        return placed


class _SlotSchedule:
    """Expected times at which slots become free, updated as tasks reserve them.

    Workers are identified by their index in `_slots`. `_free_at` holds a heap of these times for each worker that has a
    reservation, and `_earliest_free_at` the first time of every worker. `_slowness` is cached by kind of task.
    """

    def __init__(
        self,
        slots: "collections_abc.Sequence[worker_slots.WorkerSlots]",
        estimator: "run_time_estimator.RunTimeEstimator",
        now: float,
    ) -> None:
        self._estimator = estimator
        self._now = now
        self._slots = [each for each in slots if each.count]
        self._names = [each.worker.name for each in self._slots]
        self._earliest_free_at = [now if each.free else min(each.busy_until) for each in self._slots]
        self._free_at: dict[int, list[float]] = {}
        self._slowness: dict[str, list[float]] = {}

    @property
    def slot_count(self) -> int:
        return sum(each.count for each in self._slots)

    def reserve(self, task: "jobs.Task") -> "tuple[remote_worker.RemoteWorker, float, float]":
        """Reserve the slot on which a task is expected to end first; return its worker, start time and run time."""
        kind = task.request.kind
        slowness = self._slowness.get(kind)
        if slowness is None:
            slowness = self._slowness[kind] = self._estimator.slowness_of_all(self._names, kind)
        run_s = self._estimator.expected_run_s(task.request)
        ends = [free_at + run_s * factor for free_at, factor in zip(self._earliest_free_at, slowness, strict=True)]
        end = min(ends)
        chosen = ends.index(end)
        slots = self._slots[chosen]
        times = self._free_at.get(chosen)
        if times is None:
            times = self._free_at[chosen] = [self._now] * slots.free + slots.busy_until
            heapq.heapify(times)
        start = heapq.heapreplace(times, end)
        self._earliest_free_at[chosen] = times[0]
        return slots.worker, start, run_s * slowness[chosen]


def _to_placed_task(
    job: "jobs.Job",
    task: "jobs.Task",
    worker: "remote_worker.RemoteWorker",
    estimator: "run_time_estimator.RunTimeEstimator",
) -> PlacedTask:
    run_s = estimator.expected_run_s(task.request) * estimator.slowness(worker.name, task.request.kind)
    return PlacedTask(job, task, worker, run_s)
