"""Runs of tasks at one worker: capacity, leases, fencing and the grants of entries."""

from cactusgauge.runs.crash_attribution import RECENT_START_S
from cactusgauge.runs.run_controller import RunController
from cactusgauge.runs.run_observer import RunObserver
from cactusgauge.runs.run_registry import NO_ROOM, NewRun, RunPhase, RunRegistry
from cactusgauge.runs.timing import HEARTBEAT_INTERVAL_S, SUSPECT_AFTER_S, RunTiming, run_timing
from cactusgauge.runs.worker_client import (
    FencedError,
    StartReply,
    StartRequest,
    StartStatus,
    WorkerCallError,
    WorkerClient,
    WorkerDownError,
    WorkerListing,
    WorkerRunEnd,
    WrongWorkerError,
)
from cactusgauge.runs.worker_heartbeat import HeartbeatResult, WorkerHeartbeat

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "NO_ROOM",
    "RECENT_START_S",
    "SUSPECT_AFTER_S",
    "FencedError",
    "HeartbeatResult",
    "NewRun",
    "RunController",
    "RunObserver",
    "RunPhase",
    "RunRegistry",
    "RunTiming",
    "StartReply",
    "StartRequest",
    "StartStatus",
    "WorkerCallError",
    "WorkerClient",
    "WorkerDownError",
    "WorkerHeartbeat",
    "WorkerListing",
    "WorkerRunEnd",
    "WrongWorkerError",
    "run_timing",
]
