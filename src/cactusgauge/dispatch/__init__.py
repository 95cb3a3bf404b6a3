"""Dispatch of tasks: job queue, scheduling policies, and the state of each worker as seen by an entry."""

from cactusgauge.dispatch.admission import AdmissionControl
from cactusgauge.dispatch.dispatcher import Dispatcher
from cactusgauge.dispatch.job_queue import JobQueue
from cactusgauge.dispatch.ordering import ArrivalOrdering, FewestRemainingOrdering, TaskOrdering
from cactusgauge.dispatch.placement import (
    AnyFreePlacement,
    FastestFreePlacement,
    PlacedTask,
    WaitForFasterPlacement,
    WorkerPlacement,
)
from cactusgauge.dispatch.remote_worker import RemoteWorker
from cactusgauge.dispatch.run_time_estimator import RunTimeEstimator
from cactusgauge.dispatch.worker_slots import WorkerSlots

__all__ = [
    "AdmissionControl",
    "AnyFreePlacement",
    "ArrivalOrdering",
    "Dispatcher",
    "FastestFreePlacement",
    "FewestRemainingOrdering",
    "JobQueue",
    "PlacedTask",
    "RemoteWorker",
    "RunTimeEstimator",
    "TaskOrdering",
    "WaitForFasterPlacement",
    "WorkerPlacement",
    "WorkerSlots",
]
