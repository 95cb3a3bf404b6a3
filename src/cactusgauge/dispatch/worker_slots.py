"""Free and busy slots of a worker, as used by placement policies."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.dispatch import remote_worker

# An overdue task is expected to run longer by this share of its run time so far; run times vary by 20 to 30 %.
OVERDUE_EXTENSION_RATIO = 0.25


class WorkerSlots:
    """Number of free slots of a worker and the expected times at which its busy slots become free.

    The times are computed on demand, as most plans use only the free slots of most workers.
    """

    __slots__ = ("_now", "free", "worker")

    def __init__(self, worker: "remote_worker.RemoteWorker", free: int, now: float) -> None:
        self.worker = worker
        self.free = free
        self._now = now

    @property
    def count(self) -> int:
        """Number of slots that are free or busy."""
        return self.free + len(self.worker.in_flight)

    @property
    def busy_until(self) -> list[float]:
        """Loop times at which the busy slots are expected to become free."""
        now = self._now
        return [
            expected_end
            if expected_end > (overdue_end := now + OVERDUE_EXTENSION_RATIO * (now - sent_at))
            else overdue_end
            for _, sent_at, expected_end in self.worker.in_flight.values()
        ]
