"""Estimates of run times, learned from completed tasks."""

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import ids, jobs

DEFAULT_RUN_S = 0.3  # prior for a kind of task without declared duration; in the middle of 50 ms to 1 s
MIN_RUN_S = 0.001
PRIOR_TASKS = 3  # weight of a prior, as a number of completed tasks
MIN_SAMPLE_WEIGHT = 0.05  # least weight of a new measurement; the average follows a new speed in about 20 tasks
MAX_KINDS = 1_000  # callers choose the names of kinds, so their number is bounded; the least recently seen are evicted
RESCALE_INTERVAL_TASKS = 256
SLOWNESS_MAX_AGE_S = 30.0  # a worker without tasks for this long may have become faster


class _MovingAverage:
    """Mean that starts from a prior and becomes an exponential moving average after enough samples."""

    __slots__ = ("count", "value")

    def __init__(self, prior: float) -> None:
        self.value = prior
        self.count = 0

    def add(self, sample: float) -> None:
        self.count += 1
        self.value += max(1 / (self.count + PRIOR_TASKS), MIN_SAMPLE_WEIGHT) * (sample - self.value)


class _KindStatistics:
    """Statistics of one kind of task.

    `mean_s` is the run time on a worker of slowness 1; `declaration_bias` is the logarithm of actual over declared
    time. The errors are averages of absolute differences of logarithms; the predictor with the smaller error is used.
    `slowness_ratios` holds, for each worker, its slowness for this kind divided by its slowness in general.
    """

    __slots__ = ("declaration_bias", "declaration_error", "mean_error", "mean_s", "slowness_ratios")

    def __init__(self, prior_s: float) -> None:
        self.mean_s = _MovingAverage(prior_s)
        self.declaration_bias = _MovingAverage(0.0)
        self.mean_error = _MovingAverage(0.0)
        self.declaration_error = _MovingAverage(0.0)
        self.slowness_ratios: dict[ids.AgentName, _MovingAverage] = {}


class RunTimeEstimator:
    """Learns the run time of each kind of task and the slowness of each worker, in general and for each kind.

    The run time of a kind is the one on a worker of slowness 1; a worker of slowness 2 needs twice as long. Declared
    times are the prior for a kind that has not been seen before. Afterwards they are used, corrected by their learned
    bias, only while they predict the run times of that kind better than its mean does.
    """

    def __init__(self) -> None:
        self._statistics_by_kind: collections.OrderedDict[str, _KindStatistics] = collections.OrderedDict()
        self._slowness: dict[ids.AgentName, _MovingAverage] = {}
        self._last_measured_at: dict[ids.AgentName, float] = {}
        self._completion_count = 0

    def slowness(self, worker: "ids.AgentName", kind: str | None = None) -> float:
        """Return the learned slowness of a worker, for a kind of task if one is given; 1 if it is unknown."""
        general = self._slowness.get(worker)
        if general is None:
            return 1.0
        statistics = self._statistics_by_kind.get(kind) if kind is not None else None
        ratio = statistics.slowness_ratios.get(worker) if statistics is not None else None
        return general.value if ratio is None else general.value * ratio.value

    def slowness_of_all(self, workers: "abc.Iterable[ids.AgentName]", kind: str) -> list[float]:
        """Return the learned slowness of several workers for a kind of task."""
        statistics = self._statistics_by_kind.get(kind)
        ratios = statistics.slowness_ratios if statistics is not None else {}
        unknown = _MovingAverage(1.0)
        general, ratio = self._slowness.get, ratios.get
        return [general(worker, unknown).value * ratio(worker, unknown).value for worker in workers]

    def has_measurements(self, request: "jobs.TaskRequest") -> bool:
        """Whether the estimate for that kind depends more on completed tasks than on the prior."""
        statistics = self._statistics_by_kind.get(request.kind)
        return statistics is not None and statistics.mean_s.count > PRIOR_TASKS

    def expected_run_s(self, request: "jobs.TaskRequest") -> float:
        """Return the expected run time in seconds on a worker of slowness 1."""
        statistics = self._statistics_by_kind.get(request.kind)
        declared_s = request.duration_ms / 1000 if request.duration_ms is not None else None
        if statistics is None:
            return declared_s or DEFAULT_RUN_S
        if declared_s is not None and self._declaration_predicts_better(statistics):
            return declared_s * math.exp(statistics.declaration_bias.value)
        return statistics.mean_s.value

    def is_slowness_stale(self, worker: "ids.AgentName", now: float) -> bool:
        """Whether a worker's slowness was last measured more than SLOWNESS_MAX_AGE_S ago."""
        last_measured_at = self._last_measured_at.get(worker)
        return last_measured_at is not None and now - last_measured_at > SLOWNESS_MAX_AGE_S

    def reset_slowness(self, worker: "ids.AgentName") -> None:
        """Treat a worker that was slower than average as average again."""
        general = self._slowness.get(worker)
        if general is not None and general.value > 1:
            self._slowness[worker] = _MovingAverage(1.0)
            for statistics in self._statistics_by_kind.values():
                statistics.slowness_ratios.pop(worker, None)

    def record_completion(self, worker: "ids.AgentName", request: "jobs.TaskRequest", run_s: float, now: float) -> None:
        """Update the estimates with a task that completed at the loop time `now`."""
        self._last_measured_at[worker] = now
        measured_s = max(run_s, MIN_RUN_S)
        general = self._slowness.setdefault(worker, _MovingAverage(1.0))
        statistics = self._get_or_create_statistics(request)
        expected_s = max(self.expected_run_s(request), MIN_RUN_S)
        ratio = statistics.slowness_ratios.setdefault(worker, _MovingAverage(1.0))
        # The mean does not use the ratios, as the mean of a kind that runs on few workers would otherwise drift against
        # its ratios.
        normalized_s = measured_s / general.value
        ratio.add(measured_s / (expected_s * general.value))
        general.add(measured_s / expected_s)
        statistics.mean_error.add(abs(math.log(normalized_s / statistics.mean_s.value)))
        statistics.mean_s.add(normalized_s)
        if request.duration_ms is not None:
            observed_bias = math.log(normalized_s / max(request.duration_ms / 1000, MIN_RUN_S))
            statistics.declaration_error.add(abs(observed_bias - statistics.declaration_bias.value))
            statistics.declaration_bias.add(observed_bias)
        self._completion_count += 1
        if self._completion_count % RESCALE_INTERVAL_TASKS == 0:
            self._rescale()

    @staticmethod
    def _declaration_predicts_better(statistics: _KindStatistics) -> bool:
        return (
            statistics.declaration_error.count < PRIOR_TASKS
            or statistics.declaration_error.value < statistics.mean_error.value
        )

    def _get_or_create_statistics(self, request: "jobs.TaskRequest") -> _KindStatistics:
        statistics = self._statistics_by_kind.get(request.kind)
        if statistics is None:
            statistics = self._statistics_by_kind[request.kind] = _KindStatistics(
                max(self.expected_run_s(request), MIN_RUN_S)
            )
            if len(self._statistics_by_kind) > MAX_KINDS:
                self._statistics_by_kind.popitem(last=False)
        else:
            self._statistics_by_kind.move_to_end(request.kind)
        return statistics

    def _rescale(self) -> None:
        """Scale the mean slowness to 1, so that new workers start as average ones.

        The run times of the known kinds are scaled inversely, so that those expected on each worker stay the same.
        """
        mean = sum(each.value for each in self._slowness.values()) / len(self._slowness)
        for each in self._slowness.values():
            each.value /= mean
        for statistics in self._statistics_by_kind.values():
            statistics.mean_s.value *= mean
            statistics.declaration_bias.value += math.log(mean)
