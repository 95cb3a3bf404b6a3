"""Accepts callers' jobs at an entry and answers them."""

import asyncio
import collections
from typing import TYPE_CHECKING, Any, NamedTuple

from cactusgauge import ids, scheduling
from cactusgauge.fleet import recent_jobs

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import observability

ENTRY_STOPPING = "entry_stopping"
CANCELED = "canceled"
JOB_ID_IN_USE = "job_id_in_use"  # by an open job of another queue; the platform names tasks by the job's id alone
JOB_ID_RETRY_AFTER_S = 1
MAX_CANCELLATIONS = 10_000  # of jobs that this entry does not have; about 1 MB
MAX_UNFINISHED_JOBS = 2_000  # whose callers may send them again
MAX_KEPT_ANSWERS = 2_000  # of recently ended jobs, for callers that send a job again after a lost answer
# A stopping entry accepts a job only if this multiple of its expected duration is left before the entry ends. A job
# that takes longer is ended early, and its caller has to send it again.
DRAIN_DURATION_FACTOR = 1.2
MAX_OPEN_JOBS = 4_000  # about 20 MB with payloads of 4 KB; far more than the workers can serve in time


class JobAnswer(NamedTuple):
    """How a job ended; unless the result is final, its caller may send it again after `retry_after_s` seconds."""

    result: scheduling.JobResult
    reason: str
    retry_after_s: int


class NewJob(NamedTuple):
    """A job as a caller submits it; the deadline is a time of the loop's clock."""

    key: ids.JobKey
    policy: scheduling.QueuePolicy
    steps: list[scheduling.Step]
    payload: str
    deadline: float

    @property
    def job(self) -> ids.QueuedJob:
        """The job's queue and key."""
        return ids.QueuedJob(self.policy.queue, self.key)


class ParallelJobService:
    """Submits callers' jobs to the scheduler and returns their answers.

    A job sent again while it is open gets the same answer, and one that ended recently with a final result is not run
    again. A job whose callers have all disconnected is given up, so that its workers are free for others; if it is sent
    again, it runs from the start. It is then never reported as not run, as an earlier attempt has started tasks.
    """

    def __init__(self, counters: "observability.Counters", journal: "observability.Journal") -> None:
        self._counters = counters
        self._journal = journal
        self._waiting: dict[ids.JobKey, list[asyncio.Future[JobAnswer]]] = {}
        self._answers: collections.OrderedDict[ids.QueuedJob, JobAnswer] = collections.OrderedDict()
        # Cancelled jobs that this entry did not have, in case they are submitted later.
        self._cancellations: collections.OrderedDict[ids.QueuedJob, None] = collections.OrderedDict()
        self._unfinished_jobs: collections.OrderedDict[ids.QueuedJob, None] = collections.OrderedDict()
        self._started_elsewhere = recent_jobs.RecentJobs[ids.JobKey](MAX_UNFINISHED_JOBS)
        self._scheduler: scheduling.RunScheduler | None = None
        self._ends_by = float("inf")

    @property
    def open_count(self) -> int:
        """Number of jobs that callers wait for."""
        return len(self._waiting)

    def attach(self, scheduler: scheduling.RunScheduler) -> None:
        """Set the scheduler; called once after construction, as the scheduler itself needs `finish` of this object."""
        self._scheduler = scheduler

    def drain(self, ends_by: float) -> None:
        """From now on, accept only jobs that are expected to end by `ends_by`, a time of the loop's clock."""
        self._ends_by = ends_by

    async def submit(
        self, new: NewJob, wait_for_disconnect: "abc.Callable[[], abc.Coroutine[None, None, None]]"
    ) -> JobAnswer | None:
        """Return the answer to a job, or None if the caller disconnects first, when `wait_for_disconnect` returns."""
        assert self._scheduler is not None
        known = self._answers.get(new.job)
        if known is not None:
            self._journal.log_event("job_known", job=new.key, result=known.result.value)
            return known
        if new.job in self._cancellations:
            self._journal.log_event("job_canceled_before", job=new.key)
            return JobAnswer(scheduling.JobResult.CANCELED, CANCELED, 0)
        if self._scheduler.get_job(new.key) is not None and self.open_job(new.job) is None:
            self._journal.log_event("job_refused", job=new.key, queue=new.policy.queue, reason=JOB_ID_IN_USE)
            result = self._result_given_earlier_attempts(new.job, scheduling.JobResult.NOT_RUN)
            return JobAnswer(result, JOB_ID_IN_USE, JOB_ID_RETRY_AFTER_S)
        if new.key not in self._waiting:
            refusal = self._open(new, self._scheduler)
            if refusal is not None:
                result = self._result_given_earlier_attempts(new.job, scheduling.JobResult.NOT_RUN)
                return JobAnswer(result, refusal.code, refusal.retry_after_s)
        else:
            self._extend_deadline(new, self._scheduler)
        future: asyncio.Future[JobAnswer] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(new.key, []).append(future)
        # The job may have ended while it was submitted, before this future was there to get its answer.
        if self._scheduler.get_job(new.key) is None and new.job in self._answers:
            self._waiting.pop(new.key)
            return self._answers[new.job]
        return await self._wait(new.key, future, wait_for_disconnect)

    def finish(
        self, job: scheduling.ParallelJob, result: scheduling.JobResult, reason: str, retry_after_s: int
    ) -> None:
        """Answer the callers of a job."""
        queued_job = ids.QueuedJob(job.policy.queue, job.key)
        result = self._result_given_earlier_attempts(queued_job, result)
        objective_s = job.objective_at - job.arrived_at
        age_s = asyncio.get_running_loop().time() - job.arrived_at
        self._counters.add("jobs_ended", job.policy.queue, reason or result.value)
        self._counters.record_duration("job", job.policy.queue, age_s)
        if result is scheduling.JobResult.SUCCEEDED:
            self._journal.log_event(
                "job_succeeded",
                job=job.key,
                queue=job.policy.queue,
                age_ms=round(age_s * 1000),
                on_time=age_s <= objective_s,
            )
        else:
            self._journal.log_event(
                "job_ended",
                job=job.key,
                queue=job.policy.queue,
                result=result.value,
                reason=reason,
                age_ms=round(age_s * 1000),
                objective_ms=round(objective_s * 1000),
                open_tasks=job.open_count,
                started=job.has_started,
                retry_after_s=retry_after_s,
                history=job.history,
                **job.admission,
            )
        answer = JobAnswer(result, reason, retry_after_s)
        if result.is_final:
            self._answers[queued_job] = answer
            if len(self._answers) > MAX_KEPT_ANSWERS:
                self._answers.popitem(last=False)
        elif result is scheduling.JobResult.UNFINISHED:
            self._unfinished_jobs[queued_job] = None
            if len(self._unfinished_jobs) > MAX_UNFINISHED_JOBS:
                self._unfinished_jobs.popitem(last=False)
        for future in self._waiting.pop(job.key, []):
            if not future.done():
                future.set_result(answer)

    def cancel(self, job: ids.QueuedJob, reason: str = CANCELED) -> bool:
        """Cancel a job at its caller's request, also one that arrives later; return whether this entry had it."""
        assert self._scheduler is not None
        if self.open_job(job) is not None:
            return self._scheduler.cancel(job.key, scheduling.JobResult.CANCELED, reason)
        if job not in self._answers:
            self._cancellations[job] = None
            if len(self._cancellations) > MAX_CANCELLATIONS:
                self._cancellations.popitem(last=False)
        return False

    def record_started_elsewhere(self, jobs: "abc.Iterable[ids.JobKey]") -> list[ids.JobKey]:
        """Record jobs that other entries have started; return those that were not known.

        The jobs of all queues are meant: saying that a job may have run is true for any other one with its id, too.
        """
        return self._started_elsewhere.add(jobs)

    def answer(self, job: ids.QueuedJob) -> JobAnswer | None:
        """Return the answer to a job that ended recently with a final result."""
        return self._answers.get(job)

    def open_job(self, job: ids.QueuedJob) -> scheduling.ParallelJob | None:
        """Return a job that has not ended, or None if this entry has no such job."""
        assert self._scheduler is not None
        found = self._scheduler.get_job(job.key)
        return found if found is not None and found.policy.queue == job.queue else None

    def is_open(self, key: ids.JobKey) -> bool:
        """Return whether this entry has a job that has not ended."""
        return key in self._waiting

    def _result_given_earlier_attempts(self, job: ids.QueuedJob, result: scheduling.JobResult) -> scheduling.JobResult:
        """Return the result of an attempt, which is not `NOT_RUN` if an earlier attempt has started tasks."""
        is_known_here = job in self._unfinished_jobs
        if result is not scheduling.JobResult.NOT_RUN or not (is_known_here or job.key in self._started_elsewhere):
            return result
        self._journal.log_event("job_may_have_run", job=job.key, started="here" if is_known_here else "elsewhere")
        return scheduling.JobResult.UNFINISHED

    @staticmethod
    def _extend_deadline(new: NewJob, scheduler: scheduling.RunScheduler) -> None:
        """Keep an open job for as long as the caller that has joined it waits."""
        job = scheduler.get_job(new.key)
        if job is not None:
            job.deadline = max(job.deadline, new.deadline)

    def _open(self, new: NewJob, scheduler: scheduling.RunScheduler) -> scheduling.Refusal | None:
        now = asyncio.get_running_loop().time()
        job = scheduling.ParallelJob(new.key, new.policy, new.steps, new.payload, now, new.deadline, ids.TaskKey)
        if len(self._waiting) >= MAX_OPEN_JOBS:
            refusal: scheduling.Refusal | None = scheduling.Refusal("too_many_jobs", 1)
        elif now + DRAIN_DURATION_FACTOR * scheduler.expected_s(job) > self._ends_by:
            refusal = scheduling.Refusal("draining", 1)
        else:
            refusal = scheduler.submit(job, now)
        if refusal is None:
            self._counters.add("jobs_accepted", new.policy.queue, "")
            tasks = sum(step.task_count for step in new.steps)
            self._journal.log_event("job_accepted", job=job.key, queue=new.policy.queue, tasks=tasks, **job.admission)
            return None
        self._counters.add("jobs_refused", new.policy.queue, refusal.code)
        self._journal.log_event(
            "job_refused", job=new.key, queue=new.policy.queue, reason=refusal.code,
            retry_after_s=refusal.retry_after_s, open_jobs=len(self._waiting),
            objective_ms=round((job.objective_at - now) * 1000), **job.admission,
        )  # fmt: skip
        return refusal

    async def _wait(
        self,
        key: ids.JobKey,
        future: "asyncio.Future[JobAnswer]",
        wait_for_disconnect: "abc.Callable[[], abc.Coroutine[None, None, None]]",
    ) -> JobAnswer | None:
        assert self._scheduler is not None
        disconnect = asyncio.create_task(wait_for_disconnect())
        try:
            pending: set[asyncio.Future[Any]] = {future, disconnect}
            await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        finally:
            disconnect.cancel()
            waiting = self._waiting.get(key)
            if waiting is not None and future in waiting:
                waiting.remove(future)
                if not waiting:
                    self._waiting.pop(key)
                    job = self._scheduler.get_job(key)
                    if job is not None:
                        self._scheduler.cancel(key, job.result_if_given_up, "caller_left")
        return future.result() if future.done() else None
