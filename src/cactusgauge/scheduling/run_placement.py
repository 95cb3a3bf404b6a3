"""Chooses the worker on which a task runs."""

import abc
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge import ids
    from cactusgauge.scheduling import fleet_state, parallel_job, worker_view

SIMILAR_DURATION_FACTOR = 1.1  # workers whose expected durations differ by less are balanced by their free capacity

SAMPLE_SIZE = 2  # drawn among similar workers; more of them only adds collisions with other entries


class RunPlacement(abc.ABC):
    """Chooses a worker for a waiting task."""

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
        """Return the worker for a task whose duration on an ordinary worker is `expected_s`, or None if it waits.

        `candidates` take runs, belong to the queue's service and are not excluded for this task.
        """


class MostFreePlacement(RunPlacement):
    """The worker with the most free processor capacity; the baseline."""

    def choose(
        self,
        task: "parallel_job.ParallelTask",
        expected_s: float,
        candidates: "list[worker_view.WorkerView]",
        now: float,
    ) -> "worker_view.WorkerView | None":
        """Return the emptiest worker that has room."""
        fitting = [view for view in candidates if task.demand.fits(view.free)]
        return max(fitting, key=lambda view: view.free.cpu_millicores, default=None)


class ObjectivePlacement(RunPlacement):
    """The fastest worker with room, unless the objective can only be met by waiting for a faster one.

    Answers workers of unequal speed under load: a task that a slow worker can't end within the job's objective waits
    for a faster one while that can still meet it. A task whose objective is lost takes any worker with room.
    """

    def choose(
        self,
        task: "parallel_job.ParallelTask",
        expected_s: float,
        candidates: "list[worker_view.WorkerView]",
        now: float,
    ) -> "worker_view.WorkerView | None":
        """Return the worker on which the task is expected to end first."""
        durations = [(self.duration_s(task, expected_s, view), view) for view in candidates]
        fitting = [row for row in durations if task.demand.fits(row[1].free)]
        if not fitting:
            return None
        fastest_s = min(duration_s for duration_s, _ in durations)
        best_s = min(duration_s for duration_s, _ in fitting)
        similar = [view for duration_s, view in fitting if duration_s <= best_s * SIMILAR_DURATION_FACTOR]
        # Entries that all took the emptiest worker would compete for it.
        drawn = self._rng.sample(similar, min(SAMPLE_SIZE, len(similar)))
        best = max(drawn, key=lambda view: view.free.cpu_millicores)
        job = task.job
        objective_left_s = job.objective_at - now
        if best_s <= objective_left_s or fastest_s > objective_left_s:
            return best
        return None

    def duration_s(self, task: "parallel_job.ParallelTask", expected_s: float, view: "worker_view.WorkerView") -> float:
        """Return how long a task is expected to run on a worker."""
        duration_s = expected_s * self._fleet.slowness(view)
        rack = task.step.rack
        if rack and (view.report is None or rack not in view.report.labels):
            duration_s *= self._distant_data_factor
        return duration_s


def is_eligible(
    task: "parallel_job.ParallelTask", view: "worker_view.WorkerView", runs_per_agent: "dict[ids.AgentName, int]"
) -> bool:
    """Return whether the step's label and its bound of tasks for each worker allow a worker."""
    assert view.report is not None
    label = task.step.required_label
    if label and label not in view.report.labels:
        return False
    bound = task.step.max_per_worker
    return not bound or runs_per_agent.get(view.agent, 0) < bound
