"""Decides at arrival whether a job can be answered in time."""

import abc
import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cactusgauge.scheduling import parallel_job

MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30
RETRY_DELAY_PER_PRIORITY = (
    0.5  # each step of priority returns later by half the wait, so that urgent callers come first
)


class Load(NamedTuple):
    """What waits ahead of a job and how fast it drains, in core-seconds.

    `oldest_wait_s` is how long the oldest job ahead has waited for its first start, and `fastest_s` the shortest
    possible run of the job.
    """

    ahead_core_s: float
    drain_core_s_per_s: float
    oldest_wait_s: float
    fastest_s: float

    @property
    def wait_s(self) -> float:
        """Expected time until everything ahead has started.

        The oldest wait shows what the model does not know: other entries that use the same workers.
        """
        if self.ahead_core_s <= 0:
            return 0.0
        if self.drain_core_s_per_s <= 0:
            return math.inf
        return max(self.ahead_core_s / self.drain_core_s_per_s, self.oldest_wait_s)


class Refusal(NamedTuple):
    """A refused job: the reason's code and when the caller should come back."""

    code: str
    retry_after_s: int


class AdmissionPolicy(abc.ABC):
    """Decides whether a job is accepted."""

    @abc.abstractmethod
    def evaluate(self, job: "parallel_job.ParallelJob", load: Load, now: float) -> Refusal | None:
        """Return why a job is refused, or None if it is accepted."""


class AcceptAll(AdmissionPolicy):
    """Accepts every job; the baseline."""

    def evaluate(self, job: "parallel_job.ParallelJob", load: Load, now: float) -> Refusal | None:
        """Accept."""
        return None


class ObjectiveAdmission(AdmissionPolicy):
    """Refuses a job that is expected to start too late to be of use.

    Answers a burst beyond the capacity: without it every job waits until nobody needs its answer. `max_slack_share` is
    the share of the slack between run time and objective that a job may spend in the queue.
    """

    def __init__(self, max_slack_share: float) -> None:
        self._max_slack_share = max_slack_share

    def evaluate(self, job: "parallel_job.ParallelJob", load: Load, now: float) -> Refusal | None:
        """Refuse if the expected wait exceeds the slack."""
        slack_s = max(0.0, job.objective_at - now - load.fastest_s)
        if load.wait_s <= self._max_slack_share * slack_s:
            return None
        return Refusal("overloaded", retry_after_s(load.wait_s - slack_s, job.policy.priority))


def retry_after_s(excess_s: float, priority: int) -> int:
    """Return whole seconds until the excess has drained, later for less urgent queues."""
    if math.isinf(excess_s):
        return MAX_RETRY_AFTER_S
    delay_s = excess_s * (1 + RETRY_DELAY_PER_PRIORITY * priority)
    return min(max(math.ceil(delay_s), MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
