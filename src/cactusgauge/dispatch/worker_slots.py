"""A worker's slots as a placement sees them."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.dispatch import remote_worker

OVERDUE_SHARE = 0.25  # of the time a task has run so far; run times of a kind vary by some 20 to 30 %


class WorkerSlots:
    """How many slots of a worker may be used now, and when its busy slots are expected to be free."""

    __slots__ = ("busy_until", "free", "worker")

    def __init__(self, worker: "remote_worker.RemoteWorker", free: int, now: float) -> None:
        self.worker = worker
        self.free = free
        self.busy_until = [
            now + max(task.expected_end - now, OVERDUE_SHARE * (now - task.sent_at))
            for task in worker.in_flight.values()
        ]
