"""Decides how long a late job that has not started stays in the queue."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.scheduling import parallel_job

# According to the owners of the workers, a result has no value after this many times the latency objective.
MAX_USEFUL_OBJECTIVES = 3.0
NORMAL_AVAILABLE_SHARE = 0.7  # of the expected workers; below this share, workers are expected to come back


class LateJobPolicy(abc.ABC):
    """Decides whether to drop a job that can no longer meet its objective and has no started task."""

    @abc.abstractmethod
    def should_drop(
        self, job: "parallel_job.ParallelJob", remaining_s: float, available_share: float, now: float
    ) -> bool:
        """Return whether to drop a job that still has to run for `remaining_s`.

        `available_share` is the fraction of the expected workers that accept runs, see `FleetState.available_share`.
        """


class DropLateJobs(LateJobPolicy):
    """Drops every late job; used as the baseline in comparisons."""

    def should_drop(
        self, job: "parallel_job.ParallelJob", remaining_s: float, available_share: float, now: float
    ) -> bool:
        """Return True."""
        return True


class KeepLateJobsDuringRecovery(LateJobPolicy):
    """Keeps a late job while workers are expected back and its result would still be useful.

    When many agents restart at once, the jobs that wait meanwhile become late, but all workers are free for them
    shortly afterwards. Under overload, a late job is dropped at once because its work would delay other jobs.
    """

    def should_drop(
        self, job: "parallel_job.ParallelJob", remaining_s: float, available_share: float, now: float
    ) -> bool:
        """Compare the expected end of the job with the time until which its result is useful."""
        if available_share >= NORMAL_AVAILABLE_SHARE:
            return True
        objective_s = job.objective_at - job.arrived_at
        useful_until = min(job.arrived_at + MAX_USEFUL_OBJECTIVES * objective_s, job.deadline)
        return now + remaining_s > useful_until
