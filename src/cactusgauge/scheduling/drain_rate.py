"""Rate at which an entry has recently started work."""

import collections

WINDOW_S = 1.0  # several times the run time of most tasks, but short compared with a burst


class DrainRate:
    """Sum of the core-seconds that were started within a sliding window of WINDOW_S."""

    def __init__(self) -> None:
        self._starts: collections.deque[tuple[float, float]] = collections.deque()  # (time, core-seconds)
        self._total = 0.0  # core-seconds of all items in `_starts`

    def add(self, now: float, core_s: float) -> None:
        """Add the start of a task that is expected to use `core_s` core-seconds."""
        self._starts.append((now, core_s))
        self._total += core_s

    def remove(self, now: float, core_s: float) -> None:
        """Subtract a start that did not take place; `now` is when that became known."""
        self.add(now, -core_s)

    def per_second(self, now: float) -> float:
        """Return the core-seconds started per second over the window."""
        while self._starts and self._starts[0][0] < now - WINDOW_S:
            self._total -= self._starts.popleft()[1]
        # The total may be negative, because a start leaves the window before the item that subtracts it.
        return max(self._total, 0.0) / WINDOW_S
