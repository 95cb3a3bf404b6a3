"""Decisions about jobs whose tasks run under leases: waiting, admission, placement, retries."""

from cactusgauge.scheduling.admission_policy import AcceptAll, AdmissionPolicy, Load, ObjectiveAdmission, Refusal
from cactusgauge.scheduling.fleet_state import FleetState
from cactusgauge.scheduling.job_order import ArrivalOrder, JobOrder, UrgencyOrder
from cactusgauge.scheduling.parallel_job import ParallelJob, ParallelTask, TaskPhase
from cactusgauge.scheduling.patience_policy import PatiencePolicy, RecoveryPatience, StrictPatience
from cactusgauge.scheduling.queue_policy import QueuePolicy
from cactusgauge.scheduling.resources import Resources
from cactusgauge.scheduling.run_end import EndKind, RunEnd
from cactusgauge.scheduling.run_placement import AnyRoomPlacement, ObjectivePlacement, RunPlacement
from cactusgauge.scheduling.run_scheduler import JobResult, RunScheduler, SchedulerOutput
from cactusgauge.scheduling.run_time_book import RunTimeBook
from cactusgauge.scheduling.step import Step
from cactusgauge.scheduling.worker_report import WorkerPhase, WorkerReport
from cactusgauge.scheduling.worker_view import WorkerView

__all__ = [
    "AcceptAll",
    "AdmissionPolicy",
    "AnyRoomPlacement",
    "ArrivalOrder",
    "EndKind",
    "FleetState",
    "JobOrder",
    "JobResult",
    "Load",
    "ObjectiveAdmission",
    "ObjectivePlacement",
    "ParallelJob",
    "ParallelTask",
    "PatiencePolicy",
    "QueuePolicy",
    "RecoveryPatience",
    "Refusal",
    "Resources",
    "RunEnd",
    "RunPlacement",
    "RunScheduler",
    "RunTimeBook",
    "SchedulerOutput",
    "Step",
    "StrictPatience",
    "TaskPhase",
    "UrgencyOrder",
    "WorkerPhase",
    "WorkerReport",
    "WorkerView",
]
