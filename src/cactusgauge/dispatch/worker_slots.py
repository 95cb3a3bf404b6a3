"""A worker's slots as a placement sees them."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.dispatch import remote_worker

OVERDUE_EXTENSION_RATIO = 0.25  # of the time a task has run so far; run times of a kind vary by some 20 to 30 %


class WorkerSlots:
    """How many slots of a worker may be used now, and when its busy slots are expected to be free.

    The times are worked out on demand, as most plans do not look beyond the free slots of most workers.
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
        """Loop times at which the busy slots are expected to be free."""
        now = self._now
        return [
            expected_end
            if expected_end > (overdue_end := now + OVERDUE_EXTENSION_RATIO * (now - sent_at))
            else overdue_end
            for _, sent_at, expected_end in self.worker.in_flight.values()
        ]
