"""Learned run times."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge import ids, jobs

DEFAULT_RUN_S = 0.3  # prior for a kind of task without a declaration, in the middle of 50 ms to 1 s
EWMA_WEIGHT = 0.1  # follows a change of speed within some 20 tasks and smooths single outliers
MIN_RUN_S = 0.001


class SpeedBook:
    """Learns the typical run time of each kind of task and the slowness of each worker.

    The run time of a kind is the one on a worker of slowness 1; a worker of slowness 2 needs twice as long. Declared
    times serve only as a prior for a kind that has not been seen.
    """

    def __init__(self) -> None:
        self._run_s: dict[str, float] = {}
        self._slowness: dict[ids.AgentName, float] = {}

    def slowness(self, worker: "ids.AgentName") -> float:
        """Return the learned slowness of a worker, 1 if it is unknown."""
        return self._slowness.get(worker, 1.0)

    def expected_run_s(self, request: "jobs.TaskRequest") -> float:
        """Return the expected run time in seconds on a worker of slowness 1."""
        learned = self._run_s.get(request.kind)
        if learned is not None:
            return learned
        if request.duration_ms is not None:
            return request.duration_ms / 1000
        return DEFAULT_RUN_S

    def learn(self, worker: "ids.AgentName", request: "jobs.TaskRequest", run_s: float) -> None:
        """Take in one completed task."""
        measured = max(run_s, MIN_RUN_S)
        expected = max(self.expected_run_s(request), MIN_RUN_S)
        slowness = self.slowness(worker)
        self._slowness[worker] = slowness + EWMA_WEIGHT * (measured / expected - slowness)
        self._run_s[request.kind] = expected + EWMA_WEIGHT * (measured / slowness - expected)
