"""Sessions and answers taken over from stopped entries."""

from cactusgauge import exceptions, ids, wire

MAX_HELD_BYTES = 32 * 1024 * 1024
SESSION_OVERHEAD_BYTES = 300  # counted per session, so that the limit also covers sessions without answers


class HandOverStore:
    """Sessions of stopped entries, closed to new jobs, with the answers that the entries still held."""

    def __init__(self) -> None:
        self._sessions: dict[ids.SessionId, wire.HandOverSession] = {}
        self._successors: dict[ids.EntryIncarnation, ids.EntryIncarnation] = {}
        self._held_bytes = 0

    def add(self, sessions: list[wire.HandOverSession]) -> None:
        """Store sessions; evict the oldest ones if the limit on bytes is exceeded."""
        for session in sessions:
            replaced = self._sessions.pop(session.session, None)
            if replaced is not None:
                self._held_bytes -= self._size(replaced)
            self._sessions[session.session] = session
            self._held_bytes += self._size(session)
        while self._held_bytes > MAX_HELD_BYTES and len(self._sessions) > 1:
            oldest = next(iter(self._sessions))
            self._held_bytes -= self._size(self._sessions.pop(oldest))

    def set_successor(self, incarnation: ids.EntryIncarnation, successor: ids.EntryIncarnation) -> None:
        """Record which entry answers for a stopped one."""
        self._successors[incarnation] = successor

    def successor(self, incarnation: ids.EntryIncarnation) -> ids.EntryIncarnation | None:
        """Return the entry that answers for a stopped one, or None if it is not known."""
        return self._successors.get(incarnation)

    def holds(self, session: ids.SessionId) -> bool:
        """Return whether a session was taken over and is still stored."""
        return session in self._sessions

    def sessions_by_owner(
        self, successor: ids.EntryIncarnation
    ) -> dict[ids.EntryIncarnation, list[wire.HandOverSession]]:
        """Return, by stopped owner, the stored sessions of all owners that `successor` answers for."""
        by_owner: dict[ids.EntryIncarnation, list[wire.HandOverSession]] = {
            owner: [] for owner, successor_of_owner in self._successors.items() if successor_of_owner == successor
        }
        for session_id, session in self._sessions.items():
            owner = ids.owner_of(session_id)
            if owner in by_owner:
                by_owner[owner].append(session)
        return by_owner

    def find(self, job: ids.JobId, workspace: ids.WorkspaceName, digest: bytes | None) -> wire.HandOverJob:
        """Return a finished job; raise a `RequestError` if it is not stored: a closed session starts no jobs."""
        session = self._sessions[job.session]
        if session.workspace != workspace:
            raise exceptions.SessionExpiredError(f"session {job.session} is unknown to workspace {workspace}")
        for held in session.jobs:
            if held.number == job.number:
                if digest is not None and held.digest != digest:
                    raise exceptions.JobConflictError(f"job {job.number} was submitted with another body")
                return held
        if job.number <= session.watermark:
            raise exceptions.JobExpiredError(f"job {job.number} is at or below the watermark {session.watermark}")
        raise exceptions.SessionClosedError(f"the owner of session {job.session} was stopped; open a new session")

    @staticmethod
    def _size(session: wire.HandOverSession) -> int:
        return SESSION_OVERHEAD_BYTES + sum(len(job.answer) for job in session.jobs)
