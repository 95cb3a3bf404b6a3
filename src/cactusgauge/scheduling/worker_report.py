"""The state that an agent reports about its worker."""

import enum
from typing import NamedTuple

from cactusgauge import ids
from cactusgauge.scheduling import resources


class WorkerPhase(enum.Enum):
    """Whether a worker accepts new runs."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


class WorkerReport(NamedTuple):
    """State of one worker as its agent knows it.

    `free` excludes the resources of every run that may still be active. `slowness` is the recent ratio of actual to
    expected durations and includes unfinished tasks. `generation` changes when all earlier runs are gone.
    """

    service: ids.ServiceName
    worker: ids.WorkerId
    generation: int
    phase: WorkerPhase
    capacity: resources.Resources
    free: resources.Resources
    labels: tuple[str, ...]
    slowness: float
