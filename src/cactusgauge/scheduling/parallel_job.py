"""A job of parallel tasks that are restarted if their run is lost."""

import collections
import enum
from typing import TYPE_CHECKING

from cactusgauge import ids
from cactusgauge.scheduling import job_result

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.scheduling import queue_policy, resources, step

MAX_HISTORY_LENGTH = 60  # decisions kept for the log entry of an unsuccessful job


class TaskPhase(enum.Enum):
    """Scheduling state of a task."""

    BLOCKED = "blocked"  # until all tasks of the steps that its step depends on are done
    WAITING = "waiting"  # for a worker
    RUNNING = "running"  # a start was sent and the end of the run is not known yet
    DONE = "done"


class ParallelTask:
    """One task of a job and its current run, if any.

    `agent` is the agent of the current run, None if there is none. `last_run` is the number of the latest run.
    `is_stopping` means that the current run was told to stop so that the task can move to a faster worker.
    `avoided_agents` are the agents on which the task failed, was refused as unhealthy or was too slow.
    """

    __slots__ = (
        "_phase",
        "agent",
        "avoided_agents",
        "failures",
        "is_stopping",
        "job",
        "key",
        "last_run",
        "started_at",
        "step",
    )

    def __init__(self, job: "ParallelJob", step_index: int, index: int, key: ids.TaskKey) -> None:
        self.job = job
        self.step = job.steps[step_index]
        self.key = key
        self._phase = TaskPhase.BLOCKED
        if not self.step.depends_on:
            self.phase = TaskPhase.WAITING
        self.failures = 0
        self.last_run = 0
        self.agent: ids.AgentName | None = None
        self.started_at = 0.0
        self.is_stopping = False
        self.avoided_agents: set[ids.AgentName] = set()

    @property
    def phase(self) -> TaskPhase:
        """Scheduling state of the task."""
        return self._phase

    @phase.setter
    def phase(self, phase: TaskPhase) -> None:
        self.job.waiting_count += (phase is TaskPhase.WAITING) - (self._phase is TaskPhase.WAITING)
        self._phase = phase

    @property
    def run(self) -> ids.RunKey:
        """Key of the most recently started run."""
        return ids.RunKey(*self.key, self.last_run)

    @property
    def demand(self) -> "resources.Resources":
        """Resources that the task needs on a worker."""
        return self.step.demand


class ParallelJob:
    """A job with its tasks, latency objective and the caller's deadline; times are event loop times in seconds.

    `objective_at` is the time by which the job should finish; `set_objective` computes it. The job is ended at
    `deadline`. `task_key` makes the key of a task from the job key, the index of the step and the index of the task.
    `tasks` holds one list of tasks for each step.
    """

    def __init__(
        self,
        key: ids.JobKey,
        policy: "queue_policy.QueuePolicy",
        steps: "abc.Sequence[step.Step]",
        payload: str,
        arrived_at: float,
        deadline: float,
        task_key: "abc.Callable[[ids.JobKey, int, int], ids.TaskKey]",
    ) -> None:
        self.key = key
        self.policy = policy
        self.steps = steps
        self.payload = payload
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.objective_at = arrived_at + policy.target_latency_s
        self.admission: dict[str, float] = {}  # inputs of the admission decision, for the log
        self._history: collections.deque[str] = collections.deque(maxlen=MAX_HISTORY_LENGTH)
        self._possible_starts = 0  # starts sent, minus those known not to have taken place
        self.waiting_count = 0  # tasks that wait for a worker; updated by the setter of `phase`
        self.min_cpu_millicores = min((each.demand.cpu_millicores for each in steps), default=0)
        self.tasks = [
            [ParallelTask(self, number, index, task_key(key, number, index)) for index in range(each.task_count)]
            for number, each in enumerate(steps)
        ]
        self._open_counts = [each.task_count for each in steps]
        self._open_count = sum(self._open_counts)

    @property
    def open_count(self) -> int:
        """Number of tasks that are not done."""
        return self._open_count

    @property
    def has_unstarted_tasks(self) -> bool:
        """Whether any task waits for a worker, or may be blocked by an earlier step."""
        return self.waiting_count > 0 or len(self.steps) > 1

    @property
    def has_started(self) -> bool:
        """Whether any task may have started, i.e. a start was sent that is not known to have been refused."""
        return self._possible_starts > 0

    @property
    def all_tasks(self) -> "abc.Iterator[ParallelTask]":
        """All tasks, in step order."""
        for tasks in self.tasks:
            yield from tasks

    @property
    def result_if_given_up(self) -> job_result.JobResult:
        """The result if the job is ended now without an outcome."""
        return job_result.JobResult.UNFINISHED if self.has_started else job_result.JobResult.NOT_RUN

    def set_objective(self, critical_path_s: float) -> None:
        """Set the latency objective from the expected duration of the critical path."""
        self.objective_at = self.arrived_at + self.policy.objective_s(critical_path_s)

    @property
    def history(self) -> list[str]:
        """The latest decisions about the job's tasks, each with the time in milliseconds since the job arrived."""
        return list(self._history)

    def record_decision(self, now: float, decision: str) -> None:
        """Add a decision to the history, which is logged if the job does not succeed."""
        self._history.append(f"{round((now - self.arrived_at) * 1000)} {decision}")

    def record_start(self) -> None:
        """Record that a start was sent."""
        self._possible_starts += 1

    def record_not_started(self) -> None:
        """Record that a start that was sent is known not to have taken place."""
        self._possible_starts -= 1

    def mark_done(self, task: ParallelTask) -> "list[ParallelTask]":
        """Mark a task as done and return the blocked tasks that may start now."""
        task.phase = TaskPhase.DONE
        task.agent = None
        self._open_count -= 1
        self._open_counts[task.key.step] -= 1
        if not self._is_step_done(task.key.step):
            return []
        return [
            each
            for number, step_ in enumerate(self.steps)
            if step_.depends_on and all(self._is_step_done(earlier) for earlier in step_.depends_on)
            for each in self.tasks[number]
            if each.phase is TaskPhase.BLOCKED
        ]

    def _is_step_done(self, number: int) -> bool:
        return self._open_counts[number] == 0
