import tracemalloc

import pytest
from hypothesis import stateful, strategies

from cactusgauge import exceptions, ids, jobs
from tests.unit import conftest

MAX_JOBS = 3
SESSION_BYTES = 6_000
STORE_BYTES = 9_000
NUMBERS = strategies.integers(0, 8)
SESSIONS = strategies.integers(0, 1)
DIGESTS = strategies.sampled_from([b"a", b"b"])


class _NaiveSession(jobs.Session):
    """Ignores the watermark, so that an evicted number becomes unused again."""

    def find(self, number: int) -> jobs.Job | None:
        return self._jobs.get(number)


class _Store(jobs.SessionStore):
    """Opens sessions with small limits."""

    session_type: type[jobs.Session] = jobs.Session

    def open(self, workspace: ids.WorkspaceName, now: float) -> jobs.Session:
        session_id = super().open(workspace, now).id
        self._sessions[session_id] = self.session_type(session_id, workspace, now, MAX_JOBS, SESSION_BYTES)
        return self._sessions[session_id]


class _NaiveStore(_Store):
    session_type = _NaiveSession


class StoreMachine(stateful.RuleBasedStateMachine):
    """Submits, resubmits and finishes jobs; the reference remembers every job."""

    store_type: type[_Store] = _Store

    def __init__(self) -> None:
        super().__init__()
        self.store = self.store_type(conftest.OWNER, max_finished_bytes=STORE_BYTES)
        self.sessions = [self.store.open(conftest.WORKSPACE, 0.0) for _ in range(2)]
        self.ran: dict[ids.JobId, bytes] = {}
        self.open: dict[ids.JobId, jobs.Job] = {}
        self.kept: dict[ids.JobId, int] = {}

    @stateful.rule(session=SESSIONS, number=NUMBERS, digest=DIGESTS, size=strategies.integers(1, 4))
    def submit(self, session: int, number: int, digest: bytes, size: int) -> None:
        """Submit a job; a number already used must return the job with the same body or be refused."""
        target = self.sessions[session]
        job_id = ids.JobId(target.id, number)
        try:
            attached = target.find_resubmitted(number, digest)
        except exceptions.JobConflictError:
            assert self.ran[job_id] != digest
            return
        except exceptions.JobExpiredError as error:
            assert job_id not in self.open
            assert job_id not in self.kept
            assert error.ran is exceptions.ExecutionStatus.UNKNOWN
            return
        if attached is not None:
            assert self.ran[job_id] == digest
            return
        assert job_id not in self.ran, f"{job_id} runs again"
        request = conftest.job_request(1, "p" * 1000 * size, digest)
        job = jobs.Job(job_id, request, 0.0, 1000)
        target.add(job)
        self.ran[job_id] = digest
        self.open[job_id] = job

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=strategies.data())
    def finish(self, data: strategies.DataObject) -> None:
        """Finish a job; only the oldest finished jobs beyond the limits are evicted."""
        job_id = data.draw(strategies.sampled_from(list(self.open)))
        job = self.open.pop(job_id)
        job.finish_task(0, jobs.TaskState.COMPLETED, 1.0, result=b"r")
        self.store.mark_finished(job)
        self.kept[job_id] = job.memory_bytes
        self._evict(job_id.session, SESSION_BYTES, MAX_JOBS)
        self._evict(None, STORE_BYTES, len(self.kept))

    def _evict(self, session: ids.SessionId | None, max_bytes: int, max_jobs: int) -> None:
        while True:
            matching = [each for each in self.kept if session in (None, each.session)]
            size = sum(self.kept[each] for each in matching)
            if len(matching) <= max_jobs and (size <= max_bytes or len(matching) == 1):
                return
            del self.kept[matching[0]]

    @stateful.invariant()
    def holds_exactly_what_the_reference_keeps(self) -> None:
        """Check that open jobs are never evicted, and finished jobs only because of the limits."""
        held = {job.id for session in self.sessions for job in session.jobs}
        assert held == self.open.keys() | self.kept.keys()


class _NaiveStoreMachine(StoreMachine):
    store_type = _NaiveStore


def test_number_never_runs_again_over_eviction() -> None:
    """Guards against a resubmission that runs a job again, and against responses that are evicted too early."""
    stateful.run_state_machine_as_test(StoreMachine)


def test_store_without_watermark_runs_a_number_again() -> None:
    """Shows that the state machine above detects this fault."""
    with pytest.raises(AssertionError, match="runs again"):
        stateful.run_state_machine_as_test(_NaiveStoreMachine)


def test_expired_sessions_are_no_longer_counted() -> None:
    """Guards against evicting responses because the memory of expired sessions is still counted."""
    store = jobs.SessionStore(conftest.OWNER, max_finished_bytes=20_000)
    sessions = [store.open(conftest.WORKSPACE, now) for now in (0.0, 2000.0)]
    held = [jobs.Job(ids.JobId(session.id, 1), conftest.job_request(1, "p" * 8000), 0.0, 1) for session in sessions]
    for session, job in zip(sessions, held, strict=True):
        session.add(job)
        job.finish_task(0, jobs.TaskState.COMPLETED, 0.0)
        store.mark_finished(job)
    store.expire_idle(2000.0)
    second = jobs.Job(ids.JobId(sessions[1].id, 2), conftest.job_request(1, "p" * 8000), 0.0, 1)
    sessions[1].add(second)
    second.finish_task(0, jobs.TaskState.COMPLETED, 0.0)
    store.mark_finished(second)
    assert len(sessions[1].jobs) == 2


@pytest.mark.parametrize("character", ["p", "\N{CHEESE WEDGE}"])
def test_memory_stays_within_the_bound_when_no_answer_is_fetched(character: str) -> None:
    """Guards against unlimited memory use when callers only submit; measures real allocations, not estimates."""
    bound = 1_000_000
    store = jobs.SessionStore(conftest.OWNER, max_finished_bytes=bound)
    tracemalloc.start()
    try:
        for number in range(60):
            session = store.open(conftest.WORKSPACE, 0.0)
            for job_number in range(5):
                tasks = [jobs.TaskRequest(payload=character * 200 + str(index)) for index in range(20)]
                request = jobs.JobRequest(tasks, None, b"d")
                job = jobs.Job(ids.JobId(session.id, job_number), request, 0.0, 1)
                session.add(job)
                for index in range(20):
                    job.finish_task(index, jobs.TaskState.COMPLETED, 0.0, result=bytes(300 + number))
                store.mark_finished(job)
        used = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert used <= 1.25 * bound
