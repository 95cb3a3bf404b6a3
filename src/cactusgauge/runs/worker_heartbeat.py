"""What a worker tells about itself."""

from typing import NamedTuple

from cactusgauge import ids, scheduling


class WorkerHeartbeat(NamedTuple):
    """A worker's heartbeat.

    `incarnation` identifies the start of the worker (Unix milliseconds); `sequence` rises within a life.
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
