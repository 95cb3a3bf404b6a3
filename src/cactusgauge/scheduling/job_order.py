"""The order in which waiting jobs are assigned to workers."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.scheduling import parallel_job

Rank = tuple[float, ...]  # compared item by item; all ranks of one order have the same length


class JobOrder(abc.ABC):
    """Ranks waiting jobs; the lowest rank goes first."""

    @abc.abstractmethod
    def rank(self, job: "parallel_job.ParallelJob", expected_s: float, now: float) -> Rank:
        """Return the rank of a job; its longest chain of dependent steps is expected to take `expected_s` seconds."""


class ArrivalOrder(JobOrder):
    """First come, first served; used as the baseline in comparisons."""

    def rank(self, job: "parallel_job.ParallelJob", expected_s: float, now: float) -> Rank:
        """Rank by arrival time."""
        return (job.arrived_at,)


class UrgencyOrder(JobOrder):
    """Jobs that can still meet their objective first, then by priority; started jobs before others, then by arrival.

    This order limits the effect of a burst in one queue on top of a full load: a job that is already late must not
    delay others, and a job that already occupies workers should finish and free them.
    """

    def rank(self, job: "parallel_job.ParallelJob", expected_s: float, now: float) -> Rank:
        """Rank by lateness, priority, whether the job has started, and arrival time."""
        is_late = now + expected_s > job.objective_at
        return (is_late, job.policy.priority, not job.has_started, job.arrived_at)
