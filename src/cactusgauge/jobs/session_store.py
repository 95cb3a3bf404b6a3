"""Store of the sessions that an entry owns."""

from typing import TYPE_CHECKING

from cactusgauge import exceptions, ids
from cactusgauge.jobs import session as session_module

if TYPE_CHECKING:
    from cactusgauge.jobs import job as job_module

MAX_SESSIONS = 20_000
IDLE_SESSION_S = 900.0
MAX_FINISHED_BYTES = 64 * 1024 * 1024  # limit for all sessions; a quarter of the 256 MB that a node may use


class SessionStore:
    """Sessions of one entry incarnation; their number is limited and idle ones expire."""

    def __init__(
        self,
        owner: ids.EntryIncarnation,
        max_sessions: int = MAX_SESSIONS,
        max_finished_bytes: int = MAX_FINISHED_BYTES,
    ) -> None:
        self._owner = owner
        self._max_sessions = max_sessions
        self._max_finished_bytes = max_finished_bytes
        self._finished_job_bytes: dict[ids.JobId, int] = {}
        self._finished_bytes = 0
        self._sessions: dict[ids.SessionId, session_module.Session] = {}

    @property
    def sessions(self) -> list[session_module.Session]:
        """All sessions in the store."""
        return list(self._sessions.values())

    def open(self, workspace: ids.WorkspaceName, now: float) -> session_module.Session:
        """Open a session; raise `OverloadedError` if the store is full and no session can expire."""
        if len(self._sessions) >= self._max_sessions:
            self.expire_idle(now)
        if len(self._sessions) >= self._max_sessions:
            raise exceptions.OverloadedError(
                f"{len(self._sessions)} sessions are open; the limit is {self._max_sessions}"
            )
        opened = session_module.Session(ids.new_session_id(self._owner), workspace, now)
        self._sessions[opened.id] = opened
        return opened

    def get(self, session_id: ids.SessionId, workspace: ids.WorkspaceName) -> session_module.Session:
        """Return a session; raise `SessionExpiredError` if the workspace has no such session in this store."""
        found = self._sessions.get(session_id)
        if found is None or found.workspace != workspace:
            raise exceptions.SessionExpiredError(
                f"session {session_id} is unknown to this entry or has expired; open a new one"
            )
        return found

    def mark_finished(self, job: "job_module.Job") -> None:
        """Register a finished job and evict the oldest ones beyond the limits of its session and of the store."""
        session = self._sessions.get(job.id.session)
        if session is None:
            return
        size = job.memory_bytes
        self._finished_job_bytes[job.id] = size
        self._finished_bytes += size
        for number in session.mark_finished(job.id.number):
            self._remove_finished(ids.JobId(session.id, number))
        while self._finished_bytes > self._max_finished_bytes and len(self._finished_job_bytes) > 1:
            oldest = next(iter(self._finished_job_bytes))
            self._remove_finished(oldest)
            self._sessions[oldest.session].evict(oldest.number)

    def _remove_finished(self, job_id: ids.JobId) -> None:
        self._finished_bytes -= self._finished_job_bytes.pop(job_id)

    def expire_idle(self, now: float) -> int:
        """Remove sessions without open jobs that were idle for IDLE_SESSION_S; return how many."""
        idle = [
            held.id
            for held in self._sessions.values()
            if not held.has_open_jobs and now - held.last_used > IDLE_SESSION_S
        ]
        for session_id in idle:
            for job in self._sessions.pop(session_id).jobs:
                self._remove_finished(job.id)
        return len(idle)
