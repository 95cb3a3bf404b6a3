"""Assignment of waiting tasks to workers."""

import math
from typing import TYPE_CHECKING

from cactusgauge.dispatch import admission, worker_groups, worker_slots

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import health as health_module
    from cactusgauge import ids, jobs
    from cactusgauge.dispatch import job_queue, placement, remote_worker, run_time_estimator

REPLAN_DELAY_S = 0.025  # half the shortest usual run time; waiting for a late slot must not cost more
MAX_CAPACITY_AGE_S = 0.25  # the sweep interval; an estimate as old as the last sweep leads to no worse decisions


class TaskPlanner:
    """Assigns the waiting tasks of a workspace to groups of workers, and computes the capacity of all workers."""

    def __init__(self, estimator: "run_time_estimator.RunTimeEstimator", health: "health_module.WorkerHealth") -> None:
        self._estimator = estimator
        self._health = health
        self._groups = worker_groups.WorkerGroups()

    @property
    def groups(self) -> worker_groups.WorkerGroups:
        """The groups of workers, each of which is planned separately."""
        return self._groups

    def configure(self, placement_policy: "placement.WorkerPlacement", max_running_tasks: int) -> None:
        """Set the placement policy and the limit on the tasks in flight."""
        self._placement = placement_policy
        self._max_running_tasks = max_running_tasks

    def capacity(self, now: float) -> admission.Capacity:
        """Return the capacity of all usable workers; with several groups it may be up to MAX_CAPACITY_AGE_S old."""
        max_age_s = MAX_CAPACITY_AGE_S if len(self._groups) > 1 else 0.0
        capacities = [self._group_capacity(group, now, max_age_s) for group in self._groups]
        return admission.Capacity(
            sum(each.rate for each in capacities), min((each.lowest_slowness for each in capacities), default=1.0)
        )

    def plan(
        self, group: worker_groups.WorkerGroup, queue: "job_queue.JobQueue", stride: int, now: float
    ) -> "dict[ids.AgentName, list[placement.PlacedTask]]":
        """Remove tasks from the queue and assign them to the workers of a group; return them by worker name.

        Only every `stride`th task is considered, as that many groups share the queue.
        """
        group.replan_at = None
        batches: dict[ids.AgentName, list[placement.PlacedTask]] = {}
        if not queue:
            return batches
        slots = self._slots(group.workers, now)
        budget = self._max_running_tasks - self._groups.running_count
        free = min(budget, sum(each.free for each in slots))
        if free <= 0:
            return batches
        considered = 0

        def waiting() -> "abc.Iterator[tuple[jobs.Job, jobs.Task]]":
            nonlocal considered
            for job, task in queue.tasks(stride):
                if now < job.deadline:
                    considered += 1
                    yield job, task

        placed = self._placement.plan(waiting(), slots, self._estimator, now, budget)
        for each in placed:
            each.job.mark_sent(each.task.index)
            queue.remove_task(each.job, each.task)
            batches.setdefault(each.worker.name, []).append(each)
        if queue and len(placed) < free:
            # If every considered task was assigned, tasks skipped by the stride may fit in the remaining slots.
            is_exhausted = placed and len(placed) == considered
            group.replan_at = now if is_exhausted else now + REPLAN_DELAY_S
        return batches

    def _group_capacity(self, group: worker_groups.WorkerGroup, now: float, max_age_s: float) -> admission.Capacity:
        if group.capacity is None or now - group.capacity_computed_at >= max_age_s:
            usable = [
                (worker.credit, self._estimator.slowness(worker.name))
                for worker in group.workers
                if worker.is_available(now) and self._health.max_in_flight(worker.name, now) is None
            ]
            rate = sum(credit / slowness for credit, slowness in usable)
            group.capacity = admission.Capacity(rate, min((slowness for _, slowness in usable), default=math.inf))
            group.capacity_computed_at = now
        return group.capacity

    def _slots(self, workers: "abc.Iterable[remote_worker.RemoteWorker]", now: float) -> list[worker_slots.WorkerSlots]:
        slots = []
        for worker in workers:
            if not worker.is_available(now):
                continue
            allowed = self._health.max_in_flight(worker.name, now)
            free = worker.free_slots
            if not worker.in_flight and self._estimator.is_slowness_stale(worker.name, now):
                self._estimator.reset_slowness(worker.name)
                free = min(free, 1)  # measures the worker again at the risk of one slow task
            if allowed is not None:
                free = min(free, max(0, allowed - len(worker.in_flight)))
            # A worker limited for its health and without free slots is left out, so that no task waits for it.
            if free or allowed is None:
                slots.append(worker_slots.WorkerSlots(worker, free, now))
        return slots
