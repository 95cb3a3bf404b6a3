"""How fast a worker is, from the tasks that ran and run there."""

import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc

SMOOTHING_FACTOR = 0.15  # of one task; a change of speed shows within some ten tasks
MIN_RATIO = 0.05
MAX_RATIO = 20.0
IDLE_RESET_S = 8.0  # a slow worker without tasks is taken as ordinary again after about this time
NOMINAL_RATIO = 1.0


class SpeedEstimator:
    """Smoothed ratio of durations to expected durations.

    Tasks that have run for longer than expected count before they end, so that a worker on which tasks stand still is
    noticed. Without tasks the value returns to 1, so that a worker that was slow once gets work again.
    """

    def __init__(self, now: float) -> None:
        self._ratio = NOMINAL_RATIO
        self._changed_at = now

    def record(self, ran_s: float, expected_s: float, now: float) -> None:
        """Take in a completed task."""
        if expected_s <= 0:
            return
        ratio = min(max(ran_s / expected_s, MIN_RATIO), MAX_RATIO)
        self._ratio += SMOOTHING_FACTOR * (ratio - self._ratio)
        self._changed_at = now

    def slowness(self, running: "abc.Iterable[tuple[float, float]]", now: float) -> float:
        """Return the slowness; `running` holds elapsed and expected seconds of the tasks at work."""
        ratios = [elapsed_s / expected_s for elapsed_s, expected_s in running if expected_s > 0]
        if not ratios:
            idle_fraction = min((now - self._changed_at) / IDLE_RESET_S, 1.0)
            return self._ratio + max(0.0, idle_fraction - 0.25) / 0.75 * (NOMINAL_RATIO - self._ratio)
        # The median ignores a single long task; all tasks of a worker that stands still are overdue.
        return max(self._ratio, min(statistics.median_low(ratios), MAX_RATIO))
