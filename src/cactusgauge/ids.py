"""Identifier types shared by all packages."""

import secrets
from typing import NamedTuple, NewType

WorkspaceName = NewType("WorkspaceName", str)
DataCentreName = NewType("DataCentreName", str)
EntryName = NewType("EntryName", str)
EntryIncarnation = NewType("EntryIncarnation", str)
AgentName = NewType("AgentName", str)
AgentIncarnation = NewType("AgentIncarnation", str)
SessionId = NewType("SessionId", str)
LeaseId = NewType("LeaseId", str)
QueueName = NewType("QueueName", str)
ServiceName = NewType("ServiceName", str)
WorkerId = NewType("WorkerId", str)
JobKey = NewType("JobKey", str)  # the name of a job, which its caller chose; tasks and runs carry it alone

INCARNATION_BYTES = 8
SESSION_RANDOM_BYTES = 8
LEASE_ID_BYTES = 8


class JobId(NamedTuple):
    """A job: its session and the number that the caller chose within it."""

    session: SessionId
    number: int

    def __str__(self) -> str:
        return f"{self.session}/{self.number}"


class TaskId(NamedTuple):
    """A task: its job and its zero-based index in the job's task list (`task`)."""

    session: SessionId
    number: int
    task: int

    @property
    def job(self) -> JobId:
        """The job that the task belongs to."""
        return JobId(self.session, self.number)

    def __str__(self) -> str:
        return f"{self.session}/{self.number}/{self.task}"


class QueuedJob(NamedTuple):
    """A caller's job. The callers of another queue may use the same key for a job of theirs."""

    queue: QueueName
    key: JobKey


class TaskKey(NamedTuple):
    """A task of a job in a queue: its step and its position within the step."""

    job: JobKey
    step: int
    position: int

    def __str__(self) -> str:
        return f"{self.job}/{self.step}/{self.position}"


class RunKey(NamedTuple):
    """One run of a task; later runs of the task have higher numbers."""

    job: JobKey
    step: int
    position: int
    run: int

    @property
    def task(self) -> TaskKey:
        """The task that runs."""
        return TaskKey(self.job, self.step, self.position)

    def __str__(self) -> str:
        return f"{self.job}/{self.step}/{self.position}#{self.run}"


def new_entry_incarnation() -> EntryIncarnation:
    """Return a random incarnation id for an entry process, different at every start."""
    return EntryIncarnation(secrets.token_hex(INCARNATION_BYTES))


def new_agent_incarnation() -> AgentIncarnation:
    """Return a random incarnation id for an agent process, different at every start."""
    return AgentIncarnation(secrets.token_hex(INCARNATION_BYTES))


def new_lease_id() -> LeaseId:
    """Return a random id for a backend server's lease."""
    return LeaseId(secrets.token_hex(LEASE_ID_BYTES))


def new_session_id(owner: EntryIncarnation) -> SessionId:
    """Return a session id that contains its owner: `<owner>-<random>`."""
    return SessionId(f"{owner}-{secrets.token_hex(SESSION_RANDOM_BYTES)}")


def owner_of(session: SessionId) -> EntryIncarnation:
    """Return the incarnation of the entry that owns a session."""
    return EntryIncarnation(session.partition("-")[0])
