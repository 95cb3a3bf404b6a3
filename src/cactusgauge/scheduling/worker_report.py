"""The state that an agent reports about its worker."""

import enum
from typing import NamedTuple

from cactusgauge import ids
from cactusgauge.scheduling import resources


class WorkerPhase(enum.Enum):
    """Whether a worker accepts new runs."""

    ABSENT = "absent"  # unknown, silent, not reachable by its agent, does not answer stops, or not yet recovered
    READY = "ready"
    DRAINING = "draining"  # it or its agent is about to stop


class WorkerReport(NamedTuple):
    """State of one worker as its agent knows it.

    `free` excludes the resources of every run that may still be active. `slowness` is the recent ratio of actual to
    expected durations and includes unfinished tasks. `generation` counts the incarnations of the worker
    that the agent has seen; it is 0 before the first heartbeat.
    """

    service: ids.ServiceName
    worker: ids.WorkerId
    generation: int
    phase: WorkerPhase
    capacity: resources.Resources
    free: resources.Resources
    labels: tuple[str, ...]
    slowness: float
