import pytest
from hypothesis import stateful, strategies

from cactusgauge import ids, jobs, wire
from cactusgauge.agent import start_log
from tests.unit import conftest as unit_conftest
from tests.unit.agent import conftest

MAX_BYTES = 4_000
JOBS = strategies.integers(0, 5)
TASKS = strategies.integers(0, 2)
TaskKey = tuple[int, int]


class _NaiveLog(start_log.StartLog):
    """Removes the oldest jobs, even if they have running tasks."""

    def _trim(self) -> None:
        while self._size_bytes > self._max_bytes:
            self._drop(next(iter(self._jobs)))


class LogMachine(stateful.RuleBasedStateMachine):
    """Starts and ends tasks; the reference model keeps all records and the time of each job's last change."""

    log_type: type[start_log.StartLog] = start_log.StartLog

    def __init__(self) -> None:
        super().__init__()
        self.clock = conftest.Clock()
        self.log = self.log_type(MAX_BYTES)
        self.running: set[TaskKey] = set()
        self.outcomes: dict[TaskKey, wire.Outcome] = {}
        self.changed_at: dict[int, float] = {}
        self.started: set[TaskKey] = set()

    @stateful.rule(job=JOBS, task=TASKS)
    def start(self, job: int, task: int) -> None:
        """Start a task; a task starts again only if it did not run."""
        if (job, task) not in self.started:
            self.clock.call(lambda: self.log.add_start(unit_conftest.new_start(task, job)))
            self.started.add((job, task))
            self.running.add((job, task))
            self.changed_at[job] = self.clock.loop.now

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), size=strategies.integers(0, 2_000))
    def end(self, data: strategies.DataObject, size: int) -> None:
        """End a task with a result."""
        job, task = key = data.draw(strategies.sampled_from(sorted(self.running)))
        start = unit_conftest.new_start(task, job)
        outcome = unit_conftest.outcome_of(start, jobs.TaskState.COMPLETED, result=bytes(size))
        self.clock.call(lambda: self.log.add_outcome(outcome))
        self.running.remove(key)
        self.outcomes[key] = outcome
        self.changed_at[job] = self.clock.loop.now

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def remove(self, data: strategies.DataObject) -> None:
        """Remove a task that did not run."""
        job, task = key = data.draw(strategies.sampled_from(sorted(self.running)))
        self.log.remove_start(ids.TaskId(unit_conftest.SESSION, job, task))
        self.running.remove(key)
        self.started.remove(key)

    @stateful.rule(seconds=strategies.sampled_from([1.0, 60.0, 121.0]))
    def advance(self, seconds: float) -> None:
        """Advance the time and expire old records."""
        self.clock.advance(seconds)
        self.clock.call(self.log.expire)
        kept = [job for job in self.changed_at if self.log.find(ids.JobId(unit_conftest.SESSION, job))]
        for job in kept:
            is_fresh = self.clock.loop.now - self.changed_at[job] <= start_log.RETENTION_S
            assert is_fresh or any(each == job for each, _ in self.running), "a record is kept for too long"

    @stateful.invariant()
    def holds_what_it_must(self) -> None:
        """Check that running tasks are kept, the limit holds, and no record changes."""
        is_all_running = True
        for job in range(6):
            record = self.log.find(ids.JobId(unit_conftest.SESSION, job))
            running = {task for each, task in self.running if each == job}
            if record is None:
                assert not running, "a running task was dropped"
                continue
            is_all_running = is_all_running and bool(running)
            assert record.running == running
            assert all(self.outcomes[job, task] == outcome for task, outcome in record.outcomes.items())
        assert self.log.size_bytes <= MAX_BYTES or is_all_running, "the bound is passed"

    def teardown(self) -> None:
        """Close the event loop."""
        self.clock.loop.close()


class _NaiveLogMachine(LogMachine):
    log_type = _NaiveLog


def test_log_keeps_running_tasks_within_its_bounds() -> None:
    """Guards against running tasks that recovery misses, and memory that grows beyond the limit."""
    stateful.run_state_machine_as_test(LogMachine)


def test_log_that_drops_the_oldest_loses_running_tasks() -> None:
    """Shows that the state machine above detects a faulty log."""
    with pytest.raises(AssertionError, match="running task was dropped"):
        stateful.run_state_machine_as_test(_NaiveLogMachine)


def test_starts_without_outcome_stay_within_the_bound() -> None:
    """Guards against memory that grows with jobs whose starts were all refused by the backend server."""
    clock, log = conftest.Clock(), start_log.StartLog(MAX_BYTES)
    for job in range(100):
        clock.call(lambda job=job: log.add_start(unit_conftest.new_start(0, job)))  # type: ignore[misc]
        log.remove_start(ids.TaskId(unit_conftest.SESSION, job, 0))
    clock.loop.close()
    assert log.size_bytes <= MAX_BYTES
