"""HTTP client for entries: submits jobs and reads the state of processes."""

from cactusgauge.client.deployment import Deployment, ProcessVersion
from cactusgauge.client.entry_client import EntryClient, EntryReply
from cactusgauge.client.job_client import JobClient, JobRef, JobResult, Outcome
from cactusgauge.client.process_directory import ProcessDirectory, ProcessState
from cactusgauge.client.session_file import SessionFile

__all__ = [
    "Deployment",
    "EntryClient",
    "EntryReply",
    "JobClient",
    "JobRef",
    "JobResult",
    "Outcome",
    "ProcessDirectory",
    "ProcessState",
    "ProcessVersion",
    "SessionFile",
]
