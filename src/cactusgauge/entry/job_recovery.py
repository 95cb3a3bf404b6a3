"""Recovers the answers of jobs whose owner cannot be reached."""

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import exceptions, ids, jobs, wire

if TYPE_CHECKING:
    from cactusgauge import observability
    from cactusgauge.entry import agent_links

POLL_INTERVAL_S = 0.2


class RecoveredJob(NamedTuple):
    """A job as merged from the records of the agents that replied."""

    task_count: int
    digest: bytes
    running: set[int]
    outcomes: dict[int, wire.Outcome]


class JobRecovery:
    """Assembles an answer from the agents' records; never starts a task.

    The session is first sealed at every linked agent, so that an owner that is still running cannot start more of its
    tasks there. A task that no agent lists is reported as unknown, because an unreachable agent may have started it.
    """

    def __init__(self, agents: "agent_links.AgentLinks", events: "observability.EventRing") -> None:
        self._agents = agents
        self._events = events

    async def recover(
        self,
        workspace: ids.WorkspaceName,
        job_id: ids.JobId,
        request: jobs.JobRequest | None,
        wait_s: float,
    ) -> jobs.JobResponse | None:
        """Return the answer, or None if listed tasks still run after `wait_s` seconds.

        Raise `UnknownJobError` if there is no request and no agent knows the job, and `NotReadyError` if no agent
        replies.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        self._events.record_state("job_recovery", job=str(job_id), workspace=workspace)
        while True:
            merged = self._merge_replies(await self._agents.seal(workspace, job_id))
            self._check_request(job_id, merged, request)
            if not merged.running:
                return self._build_answer(job_id, merged, request)
            if loop.time() >= deadline:
                return None
            await asyncio.sleep(POLL_INTERVAL_S)

    @staticmethod
    def _merge_replies(replies: list[wire.Sealed]) -> RecoveredJob:
        if not replies:
            raise exceptions.NotReadyError("the owner cannot be reached and no agent of the workspace replies")
        known = [reply for reply in replies if reply.task_count]
        return RecoveredJob(
            task_count=max((reply.task_count for reply in known), default=0),
            digest=next((reply.digest for reply in known), b""),
            running={index for reply in known for index in reply.running},
            outcomes={outcome.task: outcome for reply in known for outcome in reply.outcomes},
        )

    @staticmethod
    def _check_request(job_id: ids.JobId, merged: RecoveredJob, request: jobs.JobRequest | None) -> None:
        if request is None and not merged.task_count:
            raise exceptions.UnknownJobError(f"no agent has a record of job {job_id}")
        if request is not None and merged.task_count and merged.digest != request.digest:
            raise exceptions.JobConflictError(f"job {job_id.number} was submitted with another body")

    @staticmethod
    def _build_answer(job_id: ids.JobId, merged: RecoveredJob, request: jobs.JobRequest | None) -> jobs.JobResponse:
        task_count = len(request.tasks) if request is not None else merged.task_count
        reports = []
        for index in range(task_count):
            outcome = merged.outcomes.get(index)
            if outcome is None:
                unknown = jobs.TaskState.UNKNOWN.value
                reports.append(jobs.TaskReport(index, unknown, jobs.Reason.NO_RECORD.value, b"", 0))
            else:
                reports.append(jobs.TaskReport(index, outcome.state, outcome.reason, outcome.result, outcome.run_ms))
        complete = all(report.state == jobs.TaskState.COMPLETED.value for report in reports)
        state = jobs.JobState.COMPLETE if complete else jobs.JobState.FAILED
        return jobs.JobResponse(job_id, state.value, reports, recovered=True)
