"""Placement policies, which choose the worker for a task."""

import abc
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge import ids
    from cactusgauge.scheduling import fleet_state, parallel_job, worker_view

# Workers whose expected durations differ by no more than this factor are balanced by free capacity.
SIMILAR_DURATION_FACTOR = 1.1
SAMPLE_SIZE = 2  # similar workers to compare; a larger sample only causes more collisions with other entries


class RunPlacement(abc.ABC):
    """Chooses a worker for a waiting task.

    `distant_data_factor` multiplies the expected duration on a worker outside the rack that holds the input data.
    """

    def __init__(self, fleet: "fleet_state.FleetState", distant_data_factor: float, rng: random.Random) -> None:
        self._fleet = fleet
        self._distant_data_factor = distant_data_factor
        self._rng = rng

    @abc.abstractmethod
    def choose(
        self,
        task: "parallel_job.ParallelTask",
        expected_s: float,
        candidates: "list[worker_view.WorkerView]",
        now: float,
    ) -> "worker_view.WorkerView | None":
        """Return the worker for a task that takes `expected_s` on a median worker, or None if the task must wait.

        `candidates` are workers of the queue's service that accept runs and are eligible for this task.
        """


class MostFreePlacement(RunPlacement):
    """Chooses the worker with the most free CPU; used as the baseline in comparisons."""

    def choose(
        self,
        task: "parallel_job.ParallelTask",
        expected_s: float,
        candidates: "list[worker_view.WorkerView]",
        now: float,
    ) -> "worker_view.WorkerView | None":
        """Return the worker with the most free CPU among those with enough free resources."""
        fitting = [view for view in candidates if task.demand.fits(view.free)]
        return max(fitting, key=lambda view: view.free.cpu_millicores, default=None)


class ObjectivePlacement(RunPlacement):
    """Chooses the fastest worker with free resources, unless only a faster, busy worker can meet the objective.

    This policy handles workers of unequal speed under load: a task that no free worker can finish within the job's
    objective waits for a faster worker as long as that worker can still meet the objective. A task that can no longer
    meet its objective does not wait.
    """

    def choose(
        self,
        task: "parallel_job.ParallelTask",
        expected_s: float,
        candidates: "list[worker_view.WorkerView]",
        now: float,
    ) -> "worker_view.WorkerView | None":
        """Return one of the workers on which the task is expected to finish first, or None if it should wait."""
        demand = task.demand
        fitting = [(self.duration_s(task, expected_s, view), view) for view in candidates if demand.fits(view.free)]
        if not fitting:
            return None
        best_s = min(duration_s for duration_s, _ in fitting)
        similar = [view for duration_s, view in fitting if duration_s <= best_s * SIMILAR_DURATION_FACTOR]
        # A random sample avoids that all entries choose the same least loaded worker and compete for it.
        drawn = self._rng.sample(similar, min(SAMPLE_SIZE, len(similar)))
        best = max(drawn, key=lambda view: view.free.cpu_millicores)
        job = task.job
        objective_left_s = job.objective_at - now
        if best_s <= objective_left_s:
            return best
        fastest_s = min(self.duration_s(task, expected_s, view) for view in candidates)
        return best if fastest_s > objective_left_s else None

    def duration_s(self, task: "parallel_job.ParallelTask", expected_s: float, view: "worker_view.WorkerView") -> float:
        """Return the expected duration of a task on a worker."""
        duration_s = expected_s * self._fleet.slowness(view)
        rack = task.step.rack
        if rack and (view.report is None or rack not in view.report.labels):
            duration_s *= self._distant_data_factor
        return duration_s


def is_eligible(
    task: "parallel_job.ParallelTask", view: "worker_view.WorkerView", runs_per_agent: "dict[ids.AgentName, int]"
) -> bool:
    """Return whether a worker has the label that the step requires and is below the step's limit per worker.

    `runs_per_agent` counts the current runs of the task's step on each agent's worker.
    """
    assert view.report is not None
    label = task.step.required_label
    if label and label not in view.report.labels:
        return False
    limit = task.step.max_per_worker
    return not limit or runs_per_agent.get(view.agent, 0) < limit
