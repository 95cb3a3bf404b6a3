"""Admission control: decides on arrival whether a job can finish in time."""

import abc
import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cactusgauge.scheduling import parallel_job

MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30
# Each priority level adds half of the wait to the retry delay, so that callers of urgent queues retry first.
RETRY_DELAY_PER_PRIORITY = 0.5


class Load(NamedTuple):
    """The backlog ahead of a job and the rate at which it drains, in core-seconds (CPU cores times run time).

    `ahead_core_s` is the unstarted work of this job and of the service's jobs that are not ranked after it, minus what
    the free workers can do within the duration of the job's critical path. `oldest_wait_s` is how long the oldest job
    ahead has been waiting for its first start. `fastest_s` is the shortest possible run time of the job: its critical
    path on the fastest available worker.
    """

    ahead_core_s: float
    drain_core_s_per_s: float
    oldest_wait_s: float
    fastest_s: float

    @property
    def wait_s(self) -> float:
        """Expected seconds until all work in `ahead_core_s` has started; infinite if nothing drains.

        The wait of the oldest job is a lower bound. It reflects load that `ahead_core_s` does not include: that
        of other entries that use the same workers.
        """
        if self.ahead_core_s <= 0:
            return 0.0
        if self.drain_core_s_per_s <= 0:
            return math.inf
        return max(self.ahead_core_s / self.drain_core_s_per_s, self.oldest_wait_s)


class Refusal(NamedTuple):
    """The refusal of a job: an error code and the seconds after which the caller should retry."""

    code: str
    retry_after_s: int


class AdmissionPolicy(abc.ABC):
    """Decides whether a job is accepted."""

    @abc.abstractmethod
    def evaluate(self, job: "parallel_job.ParallelJob", load: Load, now: float) -> Refusal | None:
        """Return the refusal of a job, or None if the job is accepted."""


class AcceptAll(AdmissionPolicy):
    """Accepts every job; used as the baseline in comparisons."""

    def evaluate(self, job: "parallel_job.ParallelJob", load: Load, now: float) -> Refusal | None:
        """Accept the job."""
        return None


class ObjectiveAdmission(AdmissionPolicy):
    """Refuses a job that is expected to start too late to meet its latency objective.

    Without this limit, a burst that exceeds the capacity delays every job until its result is no longer useful.
    `max_slack_share` is the fraction of the slack between run time and objective that a job may spend in the queue.
    """

    def __init__(self, max_slack_share: float) -> None:
        self._max_slack_share = max_slack_share

    def evaluate(self, job: "parallel_job.ParallelJob", load: Load, now: float) -> Refusal | None:
        """Refuse the job if its expected wait exceeds the allowed share of its slack."""
        slack_s = max(0.0, job.objective_at - now - load.fastest_s)
        if load.wait_s <= self._max_slack_share * slack_s:
            return None
        return Refusal("overloaded", retry_after_s(load.wait_s - slack_s, job.policy.priority))


def retry_after_s(excess_s: float, priority: int) -> int:
    """Return the retry delay in whole seconds until the excess has drained, longer for less urgent queues."""
    if math.isinf(excess_s):
        return MAX_RETRY_AFTER_S
    delay_s = excess_s * (1 + RETRY_DELAY_PER_PRIORITY * priority)
    return min(max(math.ceil(delay_s), MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
