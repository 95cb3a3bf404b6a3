"""Scheduling settings of one queue."""

from typing import NamedTuple

from cactusgauge import ids


class QueuePolicy(NamedTuple):
    """Priority, failure limit and latency objective of a queue.

    `priority` 0 is the most urgent. A job fails once one of its tasks has failed `max_failures` times. The objective,
    in seconds from arrival, is `slack_factor` times the duration of the critical path plus `target_latency_s`.
    `service` names the group of workers that run the queue's tasks. With `needs_advice`, an external service decides
    which of them may run a step.
    """

    queue: ids.QueueName
    service: ids.ServiceName
    priority: int
    max_failures: int
    slack_factor: float
    target_latency_s: float
    needs_advice: bool = False

    def objective_s(self, critical_path_s: float) -> float:
        """Return the time within which a job with a critical path of `critical_path_s` should finish."""
        return self.slack_factor * critical_path_s + self.target_latency_s
