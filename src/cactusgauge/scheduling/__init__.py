"""Scheduling of jobs whose tasks run under leases: queueing, admission, placement and retries."""

from cactusgauge.scheduling.admission_policy import (
    MIN_RETRY_AFTER_S,
    AcceptAll,
    AdmissionPolicy,
    Load,
    ObjectiveAdmission,
    Refusal,
)
from cactusgauge.scheduling.crash_ledger import TRIAL_RUNNING, CrashLedger, TasksAtCrash, WorkerCrash
from cactusgauge.scheduling.duration_estimator import DurationEstimator
from cactusgauge.scheduling.fleet_state import FleetState
from cactusgauge.scheduling.job_order import ArrivalOrder, JobOrder, UrgencyOrder
from cactusgauge.scheduling.job_result import JobResult
from cactusgauge.scheduling.late_job_policy import DropLateJobs, KeepLateJobsDuringRecovery, LateJobPolicy
from cactusgauge.scheduling.parallel_job import ParallelJob, ParallelTask, TaskPhase
from cactusgauge.scheduling.queue_policy import QueuePolicy
from cactusgauge.scheduling.resources import Resources
from cactusgauge.scheduling.run_end import EndKind, RunEnd
from cactusgauge.scheduling.run_placement import MostFreePlacement, ObjectivePlacement, RunPlacement
from cactusgauge.scheduling.run_scheduler import RunScheduler, SchedulerOutput
from cactusgauge.scheduling.step import Step
from cactusgauge.scheduling.worker_report import WorkerPhase, WorkerReport
from cactusgauge.scheduling.worker_view import WorkerView

__all__ = [
    "MIN_RETRY_AFTER_S",
    "TRIAL_RUNNING",
    "AcceptAll",
    "AdmissionPolicy",
    "ArrivalOrder",
    "CrashLedger",
    "DropLateJobs",
    "DurationEstimator",
    "EndKind",
    "FleetState",
    "JobOrder",
    "JobResult",
    "KeepLateJobsDuringRecovery",
    "LateJobPolicy",
    "Load",
    "MostFreePlacement",
    "ObjectiveAdmission",
    "ObjectivePlacement",
    "ParallelJob",
    "ParallelTask",
    "QueuePolicy",
    "Refusal",
    "Resources",
    "RunEnd",
    "RunPlacement",
    "RunScheduler",
    "SchedulerOutput",
    "Step",
    "TaskPhase",
    "TasksAtCrash",
    "UrgencyOrder",
    "WorkerCrash",
    "WorkerPhase",
    "WorkerReport",
    "WorkerView",
]
