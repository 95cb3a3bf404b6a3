"""Estimation of task durations from completed tasks."""

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge import ids

MIN_WEIGHT = 0.01  # of the latest measurement; the estimate adapts to a change in a queue within a few hundred tasks
PRIOR_SLOPE = 0.5  # initial slope of the log duration over the log estimate, before any measurement
PRIOR_WEIGHT = 20.0  # the prior slope weighs as much as this number of measurements
MIN_DURATION_S = 0.001


class _Regression:
    """Linear regression of log durations on log estimates, with exponentially decaying weights."""

    __slots__ = ("count", "covariance", "mean_x", "mean_y", "variance")

    def __init__(self) -> None:
        self.count = 0
        self.mean_x = 0.0
        self.mean_y = 0.0
        self.variance = 0.0
        self.covariance = 0.0

    def add(self, x: float, y: float) -> None:
        self.count += 1
        weight = max(1 / self.count, MIN_WEIGHT)
        dx = x - self.mean_x
        dy = y - self.mean_y
        self.mean_x += weight * dx
        self.mean_y += weight * dy
        self.variance += weight * ((1 - weight) * dx * dx - self.variance)
        self.covariance += weight * ((1 - weight) * dx * dy - self.covariance)

    def predict(self, x: float) -> float:
        total = min(self.count, 1 / MIN_WEIGHT)
        # The prior acts like PRIOR_WEIGHT measurements whose log estimates have a variance of 0.1.
        prior_variance = 0.1 * PRIOR_WEIGHT
        slope = (self.covariance * total + PRIOR_SLOPE * prior_variance) / (self.variance * total + prior_variance)
        return self.mean_y + min(max(slope, 0.0), 1.0) * (x - self.mean_x)


class DurationEstimator:
    """Predicts how long a task takes on a worker of median speed.

    `estimate_s` is the caller's estimate for the task. The estimates of callers are rough, so each queue has a
    regression of the measured duration on the estimate: an estimate has influence only as far as earlier estimates
    predicted the durations.
    """

    def __init__(self) -> None:
        self._regressions: dict[ids.QueueName, _Regression] = {}

    def expected_s(self, queue: "ids.QueueName", estimate_s: float) -> float:
        """Return the expected duration in seconds of a task with this estimate."""
        regression = self._regressions.get(queue)
        if regression is None or not regression.count:
            return max(estimate_s, MIN_DURATION_S)
        return math.exp(regression.predict(math.log(max(estimate_s, MIN_DURATION_S))))

    def record(self, queue: "ids.QueueName", estimate_s: float, duration_s: float, slowness: float) -> None:
        """Update the model with a completed task; `slowness` is that of its worker, 1 for a median worker."""
        regression = self._regressions.setdefault(queue, _Regression())
        normalized_s = max(duration_s / slowness, MIN_DURATION_S)
        regression.add(math.log(max(estimate_s, MIN_DURATION_S)), math.log(normalized_s))
