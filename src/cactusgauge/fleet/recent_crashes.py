"""The latest worker crashes that an agent knows, for entries that link to it later."""

import collections

from cactusgauge import scheduling

# Callers of a lost entry send their jobs to others within seconds, and these must know the tasks that crash workers.
MEMORY_S = 30.0
MAX_CRASHES = 200  # of the latest crashes; about 200 KB


class RecentCrashes:
    """Keeps crashes for MEMORY_S."""

    def __init__(self) -> None:
        self._crashes: collections.deque[tuple[float, scheduling.WorkerCrash]] = collections.deque(maxlen=MAX_CRASHES)

    def add(self, crash: scheduling.WorkerCrash, now: float) -> None:
        """Keep a crash."""
        self._crashes.append((now, crash))

    def current(self, now: float) -> list[scheduling.WorkerCrash]:
        """Return the crashes of the last MEMORY_S, oldest first."""
        return [crash for at, crash in self._crashes if now - at <= MEMORY_S]
