"""Decides how long a job that is late waits for its first start."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.scheduling import parallel_job

MAX_USEFUL_OBJECTIVES = 3.0  # the owners of the workers give an answer no value after so many latency objectives
NORMAL_AVAILABLE_SHARE = 0.7  # of the known workers; below it, workers are expected to come back


class LateJobPolicy(abc.ABC):
    """Judges jobs that can't meet their objective any more and of which no task has started."""

    @abc.abstractmethod
    def should_drop(
        self, job: "parallel_job.ParallelJob", remaining_s: float, available_share: float, now: float
    ) -> bool:
        """Return whether to give up a job that still has to run for `remaining_s`.

        `available_share` is the share of the known workers that take runs.
        """


class DropLateJobs(LateJobPolicy):
    """Gives up every late job; the baseline."""

    def should_drop(
        self, job: "parallel_job.ParallelJob", remaining_s: float, available_share: float, now: float
    ) -> bool:
        """Return True."""
        return True


class KeepLateJobsDuringRecovery(LateJobPolicy):
    """Keeps a late job while workers are expected back and its answer would still be of use.

    Answers a restart of many agents at once: the jobs that wait through it are late, but all workers are free for them
    a moment later. Under overload a late job is given up at once, as its work would make other jobs late.
    """

    def should_drop(
        self, job: "parallel_job.ParallelJob", remaining_s: float, available_share: float, now: float
    ) -> bool:
        """Compare the expected end with the last moment at which the answer is useful."""
        if available_share >= NORMAL_AVAILABLE_SHARE:
            return True
        objective_s = job.objective_at - job.arrived_at
        useful_until = min(job.arrived_at + MAX_USEFUL_OBJECTIVES * objective_s, job.deadline)
        return now + remaining_s > useful_until
