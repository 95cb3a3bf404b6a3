"""Serves the sessions that an entry owns."""

import asyncio
import sys
from typing import TYPE_CHECKING

from cactusgauge import configuration, dispatch, exceptions, ids, jobs, wire

if TYPE_CHECKING:
    from cactusgauge import observability

# Limit on the unfinished jobs of a workspace: equal to the limit on all finished jobs, and a quarter of the 256 MB that
# a node may use. The default of 20,000 queued tasks fits with payloads of up to 2.7 KB each; a job of 340 tasks has at
# most 3 KB per task.
MAX_OPEN_BYTES = 64 * 1024 * 1024


class JobService:
    """Sessions, jobs and dispatchers of one entry incarnation."""

    def __init__(
        self,
        owner: ids.EntryIncarnation,
        config_source: configuration.ConfigSource,
        counters: "observability.Counters",
        events: "observability.EventRing",
    ) -> None:
        self._config_source = config_source
        self._counters = counters
        self._events = events
        self._sessions = jobs.SessionStore(owner)
        self._dispatchers: dict[ids.WorkspaceName, dispatch.Dispatcher] = {}
        self._open_bytes: dict[ids.WorkspaceName, jobs.MemoryBudget] = {}
        self._draining = False

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force."""
        return self._config_source.current is not None

    @property
    def dispatchers(self) -> list[dispatch.Dispatcher]:
        """The dispatchers in use."""
        return list(self._dispatchers.values())

    @property
    def sessions(self) -> list[jobs.Session]:
        """The sessions owned."""
        return self._sessions.sessions

    @property
    def open_job_count(self) -> int:
        """Number of accepted jobs without a final state."""
        return sum(len(dispatcher.open_jobs) for dispatcher in self._dispatchers.values())

    def workspace_config(self, workspace: ids.WorkspaceName) -> configuration.WorkspaceConfig:
        """Return a workspace's settings in force; raise `NotReadyError` or `UnknownWorkspaceError`."""
        current = self._config_source.current
        if current is None:
            raise exceptions.NotReadyError("no configuration yet")
        return current.workspace(workspace)

    def dispatcher(self, workspace: ids.WorkspaceName) -> dispatch.Dispatcher:
        """Return a workspace's dispatcher, which stays in use for accepted jobs if the workspace is removed."""
        dispatcher = self._dispatchers.get(workspace)
        if dispatcher is None:
            config = self.workspace_config(workspace)
            dispatcher = dispatch.Dispatcher(config, self._counters, self._events, self._on_job_finished)
            self._dispatchers[workspace] = dispatcher
        return dispatcher

    def agent_config(self, workspace: ids.WorkspaceName, data_centre: ids.DataCentreName) -> wire.AgentConfig | None:
        """Return the part of the configuration for an agent.

        Return None if the workspace was removed or there is no configuration yet.
        """
        current = self._config_source.current
        if current is None or workspace not in current.workspaces:
            return None
        return wire.AgentConfig(current.version, current.workspaces[workspace].slots_in(data_centre))

    def apply_configuration(self) -> None:
        """Apply the current configuration to all dispatchers."""
        current = self._config_source.current
        if current is None:
            return
        self._events.record_state("configuration_applied", version=current.version)
        for name, dispatcher in self._dispatchers.items():
            if name in current.workspaces:
                dispatcher.apply_config(current.workspaces[name])

    def parse(self, workspace: ids.WorkspaceName, body: bytes) -> jobs.JobRequest:
        """Parse a body and validate it against the workspace's limits."""
        config = self.workspace_config(workspace)
        return jobs.JobRequestParser(config.max_tasks_per_job, config.max_body_bytes).parse(body)

    def parse_resubmitted(self, body: bytes) -> jobs.JobRequest:
        """Parse a body without limits, as an earlier configuration may have admitted it."""
        return jobs.JobRequestParser(sys.maxsize, sys.maxsize).parse(body)

    def attach(self, workspace: ids.WorkspaceName, job_id: ids.JobId, body: bytes) -> jobs.Job | None:
        """Return the job that a body resubmits, or None; a body above the current limits is not refused."""
        session = self._sessions.get(job_id.session, workspace)
        session.touch(asyncio.get_running_loop().time())
        existing = session.find_resubmitted(job_id.number, jobs.JobRequestParser.digest(body))
        if existing is not None:
            self._counters.add("jobs_resubmitted", workspace, "")
        return existing

    def open_session(self, workspace: ids.WorkspaceName) -> ids.SessionId:
        """Open a session for a configured workspace."""
        self.workspace_config(workspace)
        if self._draining:
            raise exceptions.DrainingError("this entry is being stopped; use another one")
        opened = self._sessions.open(workspace, asyncio.get_running_loop().time())
        self._events.record("session_opened", session=opened.id, workspace=workspace)
        return opened.id

    def submit(self, workspace: ids.WorkspaceName, job_id: ids.JobId, request: jobs.JobRequest) -> jobs.Job:
        """Accept a job or attach to the one already submitted; a refused job starts no task."""
        config = self.workspace_config(workspace)
        session = self._sessions.get(job_id.session, workspace)
        now = asyncio.get_running_loop().time()
        session.touch(now)
        existing = session.find_resubmitted(job_id.number, request.digest)
        if existing is not None:
            self._counters.add("jobs_resubmitted", workspace, "")
            return existing
        if self._draining:
            self._events.record("job_refused", job=str(job_id), workspace=workspace, code=exceptions.DrainingError.code)
            raise exceptions.DrainingError("this entry is being stopped; open a session at another one")
        deadline_ms = min(request.deadline_ms or config.default_deadline_ms, config.max_deadline_ms)
        job = jobs.Job(job_id, request, now, deadline_ms)
        open_bytes = self._open_bytes.setdefault(workspace, jobs.MemoryBudget(MAX_OPEN_BYTES))
        try:
            open_bytes.check(job.memory_bytes)
            self.dispatcher(workspace).admit(job)
        except exceptions.RequestError as error:
            self._counters.add("jobs_refused", workspace, error.code)
            if isinstance(error, exceptions.OverloadedError):
                self._events.record("job_refused", job=str(job_id), workspace=workspace, code=error.code)
            raise
        job.charge_to(open_bytes)
        session.add(job)
        return job

    def find(self, workspace: ids.WorkspaceName, job_id: ids.JobId) -> jobs.Job:
        """Return a job; raise `UnknownJobError` if the session has none with that number."""
        session = self._sessions.get(job_id.session, workspace)
        session.touch(asyncio.get_running_loop().time())
        job = session.find(job_id.number)
        if job is None:
            raise exceptions.UnknownJobError(f"no job {job_id.number} in session {job_id.session}")
        return job

    def cancel(self, workspace: ids.WorkspaceName, job_id: ids.JobId) -> jobs.Job:
        """Cancel the queued tasks of a job; running ones finish."""
        job = self.find(workspace, job_id)
        self.dispatcher(workspace).cancel(job)
        return job

    def start_draining(self) -> None:
        """Refuse new sessions and jobs from now on."""
        self._draining = True

    def sweep(self) -> None:
        """End overdue tasks and drop idle sessions."""
        for dispatcher in self._dispatchers.values():
            dispatcher.sweep()
        self._sessions.expire_idle(asyncio.get_running_loop().time())

    def hand_over_sessions(self) -> list[wire.HandOverSession]:
        """Return all sessions with their finished answers, for the successor."""
        return [
            wire.HandOverSession(
                session.id,
                session.workspace,
                session.watermark,
                [
                    wire.HandOverJob(job.id.number, job.digest, job.response().as_json())
                    for job in session.jobs
                    if job.is_finished
                ],
            )
            for session in self._sessions.sessions
        ]

    def _on_job_finished(self, job: jobs.Job) -> None:
        self._sessions.mark_finished(job)
