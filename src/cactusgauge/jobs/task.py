"""A task of a job, its states and the reasons for them."""

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.jobs import job_request


class TaskState(enum.Enum):
    """State of a task; the last four are final.

    `NOT_RUN` means that the task provably did not run, `UNKNOWN` that it may have run.
    """

    QUEUED = "queued"
    SENT = "sent"
    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self not in (TaskState.QUEUED, TaskState.SENT)


class Reason(enum.Enum):
    """The reason why a task is `not_run`, `unknown` or `failed`."""

    NONE = ""
    NO_SLOT = "no_slot"
    NO_BACKEND_SERVER = "no_backend_server"
    CONNECTION_REFUSED = "connection_refused"
    REFUSED_BY_BACKEND_SERVER = "refused_by_backend_server"
    AGENT_DRAINING = "agent_draining"
    SEALED = "sealed"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    CONNECTION_LOST = "connection_lost"
    AGENT_LOST = "agent_lost"
    AGENT_RESTARTED = "agent_restarted"
    NO_RECORD = "no_record"
    BACKEND_ERROR = "backend_error"
    INTERNAL_ERROR = "internal_error"
    RESULT_TOO_LARGE = "result_too_large"


class Task:
    """A task and its state; the job enforces the valid state transitions."""

    __slots__ = ("index", "reason", "request", "result", "run_ms", "state")

    def __init__(self, index: int, request: "job_request.TaskRequest") -> None:
        self.index = index
        self.request = request
        self.state = TaskState.QUEUED
        self.reason = ""
        self.result = b""
        self.run_ms = 0.0
