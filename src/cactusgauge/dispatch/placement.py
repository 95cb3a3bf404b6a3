"""Which worker takes a task."""

import abc
import heapq
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections import abc as collections_abc

    from cactusgauge import jobs
    from cactusgauge.dispatch import remote_worker, speed_book, worker_slots

LOOKAHEAD_PER_SLOT = 4  # tasks considered per slot; a fast slot runs at most about four tasks while a slow one runs one


class Placed(NamedTuple):
    """A task to be sent now; `run_s` is its expected run time at the worker."""

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
        speeds: "speed_book.SpeedBook",
        now: float,
        budget: int,
    ) -> list[Placed]:
        """Return at most `budget` tasks to be sent now, within the free slots; `waiting` is in order of preference."""


class AnyFreePlacement(WorkerPlacement):
    """The first free worker; the naive baseline."""

    def plan(
        self,
        waiting: "collections_abc.Iterator[tuple[jobs.Job, jobs.Task]]",
        slots: "collections_abc.Sequence[worker_slots.WorkerSlots]",
        speeds: "speed_book.SpeedBook",
        now: float,
        budget: int,
    ) -> list[Placed]:
        """Fill the free slots in the order of the workers."""
        free = [each.worker for each in slots for _ in range(each.free)][: max(budget, 0)]
        # `zip` takes from its first argument first; the free slots come first, so that no task is taken for nothing.
        return [_place(job, task, worker, speeds) for worker, (job, task) in zip(free, waiting, strict=False)]


class FastestFreePlacement(AnyFreePlacement):
    """The free worker with the lowest learned slowness."""

    def plan(
        self,
        waiting: "collections_abc.Iterator[tuple[jobs.Job, jobs.Task]]",
        slots: "collections_abc.Sequence[worker_slots.WorkerSlots]",
        speeds: "speed_book.SpeedBook",
        now: float,
        budget: int,
    ) -> list[Placed]:
        """Fill the free slots, fastest worker first."""
        fastest_first = sorted(slots, key=lambda each: speeds.slowness(each.worker.name))
        return super().plan(waiting, fastest_first, speeds, now, budget)


class WaitForFasterPlacement(WorkerPlacement):
    """Each task where it is expected to end first; if that slot is still busy, the task waits for it.

    Every waiting task reserves its slot for its expected run time, so that the next task sees when the slot is free
    after that. A slow slot is left idle only as long as all tasks considered are expected to end sooner elsewhere.
    """

    def plan(
        self,
        waiting: "collections_abc.Iterator[tuple[jobs.Job, jobs.Task]]",
        slots: "collections_abc.Sequence[worker_slots.WorkerSlots]",
        speeds: "speed_book.SpeedBook",
        now: float,
        budget: int,
    ) -> list[Placed]:
        """Return the tasks whose earliest expected end is on a slot that is free now."""
        free = min(sum(each.free for each in slots), budget)
        schedule = _Schedule(slots, speeds, now)
        placed: list[Placed] = []
        lookahead = LOOKAHEAD_PER_SLOT * schedule.slot_count
        while len(placed) < free and lookahead > 0:
            job, task = next(waiting, (None, None))
            if job is None or task is None:
                break
            lookahead -= 1
            worker, start, run_s = schedule.reserve(task)
            if start <= now:
                placed.append(Placed(job, task, worker, run_s))
        return placed


class _Schedule:
    """Expected times at which slots become free, as tasks are reserved on them."""

    def __init__(
        self, slots: "collections_abc.Sequence[worker_slots.WorkerSlots]", speeds: "speed_book.SpeedBook", now: float
    ) -> None:
        self._speeds = speeds
        self._now = now
        self._slots = [each for each in slots if each.count]
        self._names = [each.worker.name for each in self._slots]
        self._first_free_at = [now if each.free else min(each.busy_until) for each in self._slots]
        self._free_at: dict[int, list[float]] = {}
        self._slowness: dict[str, list[float]] = {}

    @property
    def slot_count(self) -> int:
        return sum(each.count for each in self._slots)

    def reserve(self, task: "jobs.Task") -> "tuple[remote_worker.RemoteWorker, float, float]":
        """Reserve the slot on which a task ends first; return its worker, the start and the run time in seconds."""
        kind = task.request.kind
        slowness = self._slowness.get(kind)
        if slowness is None:
            slowness = self._slowness[kind] = self._speeds.slowness_of_all(self._names, kind)
        run_s = self._speeds.expected_run_s(task.request)
        ends = [first + run_s * slow for first, slow in zip(self._first_free_at, slowness, strict=True)]
        end = min(ends)
        chosen = ends.index(end)
        slots = self._slots[chosen]
        times = self._free_at.get(chosen)
        if times is None:
            times = self._free_at[chosen] = [self._now] * slots.free + slots.busy_until
            heapq.heapify(times)
        start = heapq.heapreplace(times, end)
        self._first_free_at[chosen] = times[0]
        return slots.worker, start, run_s * slowness[chosen]


def _place(
    job: "jobs.Job", task: "jobs.Task", worker: "remote_worker.RemoteWorker", speeds: "speed_book.SpeedBook"
) -> Placed:
    run_s = speeds.expected_run_s(task.request) * speeds.slowness(worker.name, task.request.kind)
    return Placed(job, task, worker, run_s)
