"""The worker crashes that an agent passes on to its entries."""

import collections

from cactusgauge import ids, scheduling

# Callers of a lost entry send their jobs to others within seconds, and these must know the tasks that crash workers.
MEMORY_S = 30.0
MAX_CRASHES = 200  # of the latest crashes; about 200 KB


class CrashRelay:
    """Keeps the latest crashes, so that entries which link later hear of them as well."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[
            tuple[ids.AgentIncarnation, int], tuple[float, scheduling.WorkerCrash]
        ] = collections.OrderedDict()

    def add(self, crash: scheduling.WorkerCrash, now: float) -> bool:
        """Keep a crash; return whether it was unknown."""
        if crash.key in self._crashes:
            return False
        self._crashes[crash.key] = (now, crash)
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        return True

    def recent(self, now: float) -> list[scheduling.WorkerCrash]:
        """Return the crashes of the last MEMORY_S, oldest first."""
        return [crash for at, crash in self._crashes.values() if now - at <= MEMORY_S]
