"""Estimates the speed of a worker from the durations of its tasks."""

import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc

SMOOTHING_FACTOR = 0.15  # weight of one task; a change of speed shows after about ten tasks
MIN_RATIO = 0.05
MAX_RATIO = 20.0
IDLE_RESET_S = 8.0  # the ratio of an idle worker is back at nominal after about this time
NOMINAL_RATIO = 1.0  # of a worker whose tasks take as long as expected


class SpeedEstimator:
    """Exponentially smoothed ratio of actual to expected task durations.

    Tasks that have already run longer than expected count before they end, so that a worker whose tasks hang is
    noticed. While the worker is idle the ratio returns to 1, so that a worker that was slow once gets work again.
    """

    def __init__(self, now: float) -> None:
        self._ratio = NOMINAL_RATIO
        self._changed_at = now

    def record(self, ran_s: float, expected_s: float, now: float) -> None:
        """Update the ratio with a completed task."""
        if expected_s <= 0:
            return
        ratio = min(max(ran_s / expected_s, MIN_RATIO), MAX_RATIO)
        self._ratio += SMOOTHING_FACTOR * (ratio - self._ratio)
        self._changed_at = now

    def slowness(self, running: "abc.Iterable[tuple[float, float]]", now: float) -> float:
        """Return the slowness; `running` holds the elapsed and expected seconds of each running task."""
        ratios = [elapsed_s / expected_s for elapsed_s, expected_s in running if expected_s > 0]
        if not ratios:
            # The ratio stays for the first quarter of IDLE_RESET_S and then moves linearly to nominal.
            idle_fraction = min((now - self._changed_at) / IDLE_RESET_S, 1.0)
            return self._ratio + max(0.0, idle_fraction - 0.25) / 0.75 * (NOMINAL_RATIO - self._ratio)
        # The median ignores a single long task; if the worker hangs, all of its tasks are overdue.
        return max(self._ratio, min(statistics.median_low(ratios), MAX_RATIO))
