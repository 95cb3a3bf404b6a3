"""Dispatch: the queue of a workspace, the policies and the entry's view of its workers."""

from cactusgauge.dispatch.dispatcher import Dispatcher
from cactusgauge.dispatch.ordering import ArrivalOrdering, FewestRemainingOrdering, TaskOrdering
from cactusgauge.dispatch.placement import (
    AnyFreePlacement,
    FastestFreePlacement,
    WaitForFasterPlacement,
    WorkerPlacement,
)
from cactusgauge.dispatch.remote_worker import RemoteWorker
from cactusgauge.dispatch.speed_book import SpeedBook

__all__ = [
    "AnyFreePlacement",
    "ArrivalOrdering",
    "Dispatcher",
    "FastestFreePlacement",
    "FewestRemainingOrdering",
    "RemoteWorker",
    "SpeedBook",
    "TaskOrdering",
    "WaitForFasterPlacement",
    "WorkerPlacement",
]
