"""A job and the state transitions of its tasks."""

import asyncio
import collections
import enum
import sys

from cactusgauge import ids
from cactusgauge.jobs import job_request, job_response, memory_budget, task

MILLISECONDS_PER_SECOND = 1000
TASK_OVERHEAD_BYTES = 600  # memory of a task object, its request and its queue entry


class JobState(enum.Enum):
    """State of a job; the last two are final."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"


class Job:
    """A submitted job of a session that this entry owns.

    Times are event loop times in seconds. A task that has left the queue returns only through `return_to_queue`, which
    requires proof that the task did not run.
    """

    def __init__(
        self, job_id: ids.JobId, request: job_request.JobRequest, accepted_at: float, deadline_ms: int
    ) -> None:
        self._id = job_id
        self._digest = request.digest
        self._tasks = [task.Task(index, task_request) for index, task_request in enumerate(request.tasks)]
        self._queue = collections.deque(range(len(self._tasks)))
        self._open_count = len(self._tasks)
        self._accepted_at = accepted_at
        self._deadline = accepted_at + deadline_ms / MILLISECONDS_PER_SECOND
        self._refusal: task.Reason | None = None
        self._memory_budget: memory_budget.MemoryBudget | None = None
        # A payload character takes up to four bytes in memory, so len() is not enough.
        self._memory_bytes = sum(sys.getsizeof(each.payload) + TASK_OVERHEAD_BYTES for each in request.tasks)
        self._finished = asyncio.Event()
        self._finished_at: float | None = None

    @property
    def id(self) -> ids.JobId:
        """ID of the job."""
        return self._id

    @property
    def digest(self) -> bytes:
        """Digest of the submitted request body."""
        return self._digest

    @property
    def accepted_at(self) -> float:
        """Loop time at which the job was submitted."""
        return self._accepted_at

    @property
    def deadline(self) -> float:
        """Loop time after which no task of the job starts."""
        return self._deadline

    @property
    def task_count(self) -> int:
        """Number of tasks in the job."""
        return len(self._tasks)

    @property
    def queued_count(self) -> int:
        """Number of tasks that wait for a slot."""
        return len(self._queue)

    @property
    def open_count(self) -> int:
        """Number of tasks without a final state."""
        return self._open_count

    @property
    def refusal(self) -> task.Reason | None:
        """The reason why no more tasks of the job may start, or None."""
        return self._refusal

    @property
    def is_finished(self) -> bool:
        """Whether every task has a final state."""
        return self._open_count == 0

    @property
    def finished_at(self) -> float | None:
        """Loop time at which the last task ended, or None."""
        return self._finished_at

    @property
    def state(self) -> JobState:
        """The job's state, derived from its tasks."""
        if self._open_count:
            return JobState.RUNNING
        if all(each.state is task.TaskState.COMPLETED for each in self._tasks):
            return JobState.COMPLETE
        return JobState.FAILED

    @property
    def memory_bytes(self) -> int:
        """Approximate memory use of the job: payloads, results and TASK_OVERHEAD_BYTES per task."""
        return self._memory_bytes

    @property
    def queued_tasks(self) -> list[task.Task]:
        """The tasks that wait for a slot, returned ones first; the dispatcher's queue decides the order of sending."""
        return [self._tasks[index] for index in self._queue]

    def charge_to(self, budget: memory_budget.MemoryBudget) -> None:
        """Charge the job's memory to a budget until the job is finished."""
        self._memory_budget = budget
        budget.add(self._memory_bytes)

    def next_task(self) -> task.Task:
        """Return the first of the queued tasks; there must be at least one."""
        return self._tasks[self._queue[0]]

    def task_at(self, index: int) -> task.Task:
        """Return the task with the given index."""
        return self._tasks[index]

    def mark_sent(self, index: int) -> task.Task:
        """Remove a task from the queue and mark it as sent to an agent."""
        chosen = self._tasks[index]
        if chosen.state is not task.TaskState.QUEUED:
            raise ValueError(f"task {index} of job {self._id} is {chosen.state.value}, not queued")
        self._queue.remove(index)
        chosen.state = task.TaskState.SENT
        return chosen

    def return_to_queue(self, index: int) -> bool:
        """Requeue a sent task that provably did not run; return False if the task is not in state SENT."""
        returned = self._tasks[index]
        if returned.state is not task.TaskState.SENT:
            return False
        returned.state = task.TaskState.QUEUED
        self._queue.appendleft(index)
        return True

    def finish_task(
        self, index: int, state: task.TaskState, now: float, reason: str = "", result: bytes = b"", run_ms: float = 0
    ) -> bool:
        """Set the final state of a task; return False if it already has one."""
        ended = self._tasks[index]
        if ended.state.is_final:
            return False
        if ended.state is task.TaskState.QUEUED:
            self._queue.remove(index)
        ended.state = state
        ended.reason = reason
        ended.result = result
        ended.run_ms = run_ms
        self._open_count -= 1
        self._memory_bytes += len(result)
        if self._memory_budget is not None:
            # The last task to end releases all that was charged before, which excludes its own result.
            self._memory_budget.add(len(result) if self._open_count else len(result) - self._memory_bytes)
        if not self._open_count:
            self._finished_at = now
            self._finished.set()
        return True

    def refuse_queued(self, reason: task.Reason, now: float) -> int:
        """End all queued tasks as `not_run`, block further starts, and return the number of ended tasks."""
        self._refusal = self._refusal or reason
        indices = list(self._queue)
        for index in indices:
            self.finish_task(index, task.TaskState.NOT_RUN, now, reason.value)
        return len(indices)

    async def wait_finished(self, timeout_s: float) -> bool:
        """Wait up to `timeout_s` seconds until the job is finished; return whether it is."""
        if self.is_finished:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._finished.wait()
        except TimeoutError:
            return False
        return True

    def response(self) -> job_response.JobResponse:
        """Return the complete response; the job must be finished."""
        if not self.is_finished:
            raise ValueError(f"job {self._id} still has {self._open_count} open tasks")
        reports = [
            job_response.TaskReport(each.index, each.state.value, each.reason, each.result, each.run_ms)
            for each in self._tasks
        ]
        return job_response.JobResponse(self._id, self.state.value, reports)
