"""The heartbeat of a worker."""

from typing import NamedTuple

from cactusgauge import ids, scheduling


class WorkerHeartbeat(NamedTuple):
    """What a worker reports about itself.

    `incarnation` is the time at which the worker started (Unix milliseconds); `sequence` increases within it.
    `clock_s` is the reading of the worker's clock in seconds when the heartbeat was sent.
    """

    worker: ids.WorkerId
    incarnation: int
    sequence: int
    service: ids.ServiceName
    address: str
    is_draining: bool
    capacity: scheduling.Resources
    labels: tuple[str, ...]
    clock_s: float
