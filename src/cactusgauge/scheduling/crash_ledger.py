"""Attribution of worker crashes to the tasks that cause them."""

import collections
from typing import NamedTuple

from cactusgauge import ids

MAX_CERTAIN_CRASHES = 2  # a task whose starts certainly preceded this many crashes is not started again
MAX_CRASHES = 4  # nor is a task that was on this many workers when they crashed, whatever the cause
TRIAL_RUNNING = "trial_running"  # reason for which an agent refuses a suspect just after the start of another one
MEMORY_S = 120.0  # callers send a job again within seconds
MAX_TASKS = 20_000  # about 5 MB


class TasksAtCrash(NamedTuple):
    """The tasks that were on a worker when it crashed.

    `recent` are those that were started shortly before. `unconfirmed` are those whose starts were sent shortly before,
    but got no reply, so that the worker may have crashed without them. `others` are the remaining ones.
    """

    recent: list[ids.TaskKey]
    unconfirmed: list[ids.TaskKey]
    others: list[ids.TaskKey]

    @property
    def all(self) -> list[ids.TaskKey]:
        """All tasks that may have been on the worker."""
        return [*self.recent, *self.unconfirmed, *self.others]


class WorkerCrash(NamedTuple):
    """A crash of an agent's worker.

    `generation` counts the incarnations of the worker that this process of the agent has seen.
    """

    agent: ids.AgentName
    incarnation: ids.AgentIncarnation
    generation: int
    tasks: TasksAtCrash

    @property
    def key(self) -> tuple[ids.AgentIncarnation, int]:
        """Identifies the crash, which may be reported by several processes."""
        return self.incarnation, self.generation


class _Record:
    """Crashes during the runs of one task."""

    __slots__ = ("certain", "is_suspect", "last_at", "total")

    def __init__(self) -> None:
        self.total = 0
        self.certain = 0  # crashes that are attributed to the task and certainly followed its start
        self.is_suspect = False
        self.last_at = 0.0

    @property
    def has_reached_limit(self) -> bool:
        return self.certain >= MAX_CERTAIN_CRASHES or self.total >= MAX_CRASHES


class CrashLedger:
    """Counts worker crashes by task, so that a task that crashes every worker takes down only two of them.

    A task that crashes its worker usually does so soon after its start. A crash is therefore attributed to the tasks
    that were started shortly before it, and only to the suspects among them if there are any; a suspect is a task to
    which an earlier crash is attributed. So tasks that ran beside the cause are rarely given up.
    """

    def __init__(self) -> None:
        self._records: collections.OrderedDict[ids.TaskKey, _Record] = collections.OrderedDict()  # by `last_at`
        self._seen: collections.OrderedDict[tuple[ids.AgentIncarnation, int], float] = collections.OrderedDict()
        self._jobs_at_limit: dict[ids.JobKey, float] = {}

    def record(self, crash: WorkerCrash, now: float) -> bool:
        """Record a crash; return whether it was unknown."""
        if crash.key in self._seen:
            return False
        self._forget_old(now)
        self._seen[crash.key] = now
        candidates = [*crash.tasks.recent, *crash.tasks.unconfirmed]
        attributed = [task for task in candidates if self.is_suspect(task)] or candidates
        for task in crash.tasks.all:
            record = self._records.setdefault(task, _Record())
            self._records.move_to_end(task)
            record.last_at = now
            record.total += 1
            if task in attributed:
                record.is_suspect = True
                record.certain += task in crash.tasks.recent
            if record.has_reached_limit:
                self._jobs_at_limit[task.job] = now
        return True

    def is_suspect(self, task: ids.TaskKey) -> bool:
        """Return whether a crash is attributed to a task."""
        record = self._records.get(task)
        return record is not None and record.is_suspect

    def is_at_limit(self, job: ids.JobKey) -> bool:
        """Return whether a job has a task that must not be started again."""
        return job in self._jobs_at_limit

    def clear(self, task: ids.TaskKey) -> None:
        """Forget the crashes of a task that is done."""
        self._records.pop(task, None)

    def _forget_old(self, now: float) -> None:
        oldest = now - MEMORY_S
        while self._seen and next(iter(self._seen.values())) < oldest:
            self._seen.popitem(last=False)
        while self._records and (next(iter(self._records.values())).last_at < oldest or len(self._records) > MAX_TASKS):
            self._records.popitem(last=False)
        self._jobs_at_limit = {job: at for job, at in self._jobs_at_limit.items() if at >= oldest}
