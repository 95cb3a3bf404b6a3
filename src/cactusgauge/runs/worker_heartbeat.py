"""The heartbeat of a worker."""

import enum
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


class HeartbeatResult(enum.Enum):
    """What a heartbeat has changed."""

    APPLIED = "applied"
    ASKING = "asking"  # nothing yet: the worker that it describes is asked whether it is there
    OLD = "old"  # nothing, as a later one of the same worker has been applied
    REFUSED = "refused"  # nothing, as it can't come from a worker that may be used
