"""Aggregates: sessions, their jobs and tasks, and the answers to callers."""

from cactusgauge.jobs.answer import Answer, TaskReport
from cactusgauge.jobs.job import Job, JobState
from cactusgauge.jobs.job_request import JobRequest, JobRequestParser, TaskRequest
from cactusgauge.jobs.open_bytes import OpenBytes
from cactusgauge.jobs.session import Session
from cactusgauge.jobs.session_store import SessionStore
from cactusgauge.jobs.task import Reason, Task, TaskState

__all__ = [
    "Answer",
    "Job",
    "JobRequest",
    "JobRequestParser",
    "JobState",
    "OpenBytes",
    "Reason",
    "Session",
    "SessionStore",
    "Task",
    "TaskReport",
    "TaskRequest",
    "TaskState",
]
