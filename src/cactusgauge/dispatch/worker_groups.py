"""Groups of workers that are planned separately."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import ids
    from cactusgauge.dispatch import admission, remote_worker

# Planning time is proportional to tasks times workers. The 192 slots of 24 workers with 8 slots each are enough to find
# a fast one that is soon free.
MAX_GROUP_SIZE = 24
TIMER_TOLERANCE_S = 0.001  # the event loop may run a timer slightly early


class WorkerGroup:
    """A group of workers with the number of tasks in flight and of free slots at the last `recount`.

    `replan_at` is the time at which the group is planned again even if none of its workers changes, or None.
    `capacity` is cached and was computed at `capacity_computed_at`.
    """

    def __init__(self, workers: "list[remote_worker.RemoteWorker]") -> None:
        self.workers = workers
        self.running_count = 0
        self.free_slots = 0
        self.replan_at: float | None = None
        self.capacity: admission.Capacity | None = None
        self.capacity_computed_at = 0.0

    def recount(self) -> None:
        """Count the tasks in flight and the free slots again."""
        self.running_count = sum(len(worker.in_flight) for worker in self.workers)
        self.free_slots = sum(worker.free_slots for worker in self.workers)


class WorkerGroups:
    """Divides the workers into groups of similar size and tracks the dirty groups, which have to be planned.

    Up to MAX_GROUP_SIZE workers form a single group, in the order in which they first connected.
    """

    def __init__(self) -> None:
        self._workers: dict[ids.AgentName, remote_worker.RemoteWorker] = {}
        self._groups: list[WorkerGroup] = []
        self._group_by_worker: dict[ids.AgentName, WorkerGroup] = {}
        self._dirty: dict[WorkerGroup, None] = {}
        self._round_robin_index = 0

    def __len__(self) -> int:
        return len(self._groups)

    def __iter__(self) -> "abc.Iterator[WorkerGroup]":
        return iter(self._groups)

    @property
    def running_count(self) -> int:
        """Number of tasks in flight."""
        for group in self._dirty:
            group.recount()
        return sum(group.running_count for group in self._groups)

    @property
    def next_replan_at(self) -> float | None:
        """The earliest time at which a group has to be planned again."""
        return min((group.replan_at for group in self._groups if group.replan_at is not None), default=None)

    def add_or_replace(self, worker: "remote_worker.RemoteWorker") -> None:
        """Add a worker, or replace the one of the same name."""
        self._workers[worker.name] = worker
        group_count = -(-len(self._workers) // MAX_GROUP_SIZE)  # rounded up
        workers = list(self._workers.values())
        self._groups = [WorkerGroup(workers[first::group_count]) for first in range(group_count)]
        self._group_by_worker = {member.name: group for group in self._groups for member in group.workers}
        self._dirty = dict.fromkeys(self._groups)

    def mark_dirty(self, worker: "remote_worker.RemoteWorker") -> None:
        """Mark the group of a changed worker for planning."""
        group = self._group_by_worker.get(worker.name)
        if group is not None:
            self._dirty[group] = None

    def mark_all_dirty(self) -> None:
        """Mark all groups for planning."""
        self._dirty = dict.fromkeys(self._groups)

    def mark_some_dirty(self, count: int) -> None:
        """Mark up to `count` groups for planning, round robin; only groups with free slots, if there are any.

        One group is enough for each of the `count` tasks that wait.
        """
        candidates = [group for group in self._groups if group.free_slots] or self._groups
        for _ in range(min(count, len(candidates))):
            self._round_robin_index = (self._round_robin_index + 1) % len(candidates)
            self._dirty[candidates[self._round_robin_index]] = None

    def mark_due_dirty(self, now: float) -> None:
        """Mark the groups whose `replan_at` has been reached for planning."""
        for group in self._groups:
            if group.replan_at is not None and group.replan_at <= now + TIMER_TOLERANCE_S:
                self._dirty[group] = None

    def take_dirty(self) -> list[WorkerGroup]:
        """Return the groups to be planned, with updated counts, and clear their marks."""
        dirty_groups = list(self._dirty)
        for group in dirty_groups:
            group.recount()
        self._dirty.clear()
        return dirty_groups
