"""Sessions, their jobs and tasks, and the responses to callers."""

from cactusgauge.jobs.job import Job, JobState
from cactusgauge.jobs.job_request import JobRequest, JobRequestParser, TaskRequest
from cactusgauge.jobs.job_response import JobResponse, TaskReport
from cactusgauge.jobs.memory_budget import MemoryBudget
from cactusgauge.jobs.session import Session
from cactusgauge.jobs.session_store import SessionStore
from cactusgauge.jobs.task import Reason, Task, TaskState

__all__ = [
    "JobResponse",
    "Job",
    "JobRequest",
    "JobRequestParser",
    "JobState",
    "MemoryBudget",
    "Reason",
    "Session",
    "SessionStore",
    "Task",
    "TaskReport",
    "TaskRequest",
    "TaskState",
]
