import pytest
from hypothesis import stateful, strategies

from cactusgauge import exceptions, jobs
from tests.unit import conftest

TASKS = 4
INDICES = strategies.integers(0, TASKS - 1)
FINAL = strategies.sampled_from([state for state in jobs.TaskState if state.is_final])
SENT, QUEUED = jobs.TaskState.SENT, jobs.TaskState.QUEUED


class _NaiveJob(jobs.Job):
    """Accepts every result, including late ones."""

    def finish_task(
        self,
        index: int,
        state: jobs.TaskState,
        now: float,
        reason: str = "",
        result: bytes = b"",
        run_ms: float = 0,
    ) -> bool:
        super().finish_task(index, state, now, reason, result, run_ms)
        self._tasks[index].state = state
        return True


class JobMachine(stateful.RuleBasedStateMachine):
    """Sends, requeues, finishes and cancels tasks in any order; the reference keeps the first final state of each."""

    job_type: type[jobs.Job] = jobs.Job

    def __init__(self) -> None:
        super().__init__()
        self.job = self.job_type(conftest.new_job().id, conftest.job_request(TASKS), 0.0, 1000)
        self.states = [QUEUED] * TASKS

    @stateful.rule(index=INDICES)
    def send(self, index: int) -> None:
        """Check that only a queued task can be sent."""
        if self.states[index] is QUEUED:
            self.job.mark_sent(index)
            self.states[index] = SENT
        else:
            with pytest.raises(ValueError, match="not queued"):
                self.job.mark_sent(index)

    @stateful.rule(index=INDICES)
    def return_to_queue(self, index: int) -> None:
        """Check that only a sent task returns to the queue."""
        assert self.job.return_to_queue(index) == (self.states[index] is SENT)
        if self.states[index] is SENT:
            self.states[index] = QUEUED

    @stateful.rule(index=INDICES, state=FINAL)
    def finish(self, index: int, state: jobs.TaskState) -> None:
        """Check that the first final state is kept."""
        taken = self.job.finish_task(index, state, 1.0)
        assert taken == (not self.states[index].is_final), "a late result overwrites"
        if taken:
            self.states[index] = state

    @stateful.rule()
    def cancel(self) -> None:
        """Check that only queued tasks become `not_run`."""
        assert self.job.refuse_queued(jobs.Reason.CANCELLED, 1.0) == self.states.count(QUEUED)
        self.states = [jobs.TaskState.NOT_RUN if state is QUEUED else state for state in self.states]

    @stateful.invariant()
    def agrees_with_the_reference(self) -> None:
        """Compare all states; a response exists if and only if no task is open."""
        assert [self.job.task_at(index).state for index in range(TASKS)] == self.states
        assert sorted(each.index for each in self.job.queued_tasks) == [
            index for index, state in enumerate(self.states) if state is QUEUED
        ]
        is_open = any(not state.is_final for state in self.states)
        assert self.job.is_finished == (not is_open)
        if is_open:
            with pytest.raises(ValueError, match="open tasks"):
                self.job.response()
            return
        complete = all(state is jobs.TaskState.COMPLETED for state in self.states)
        answer = self.job.response()
        assert answer.state == ("complete" if complete else "failed")
        assert [report.state for report in answer.reports] == [state.value for state in self.states]


class _NaiveJobMachine(JobMachine):
    job_type = _NaiveJob


def test_tasks_end_once_and_answers_are_whole() -> None:
    """Guards against a second final state, a partial response, and a cancel that ends a sent task as `not_run`."""
    stateful.run_state_machine_as_test(JobMachine)


def test_job_that_takes_late_results_changes_a_final_state() -> None:
    """Shows that the state machine above detects this fault."""
    with pytest.raises(AssertionError, match="late result"):
        stateful.run_state_machine_as_test(_NaiveJobMachine)


@pytest.mark.parametrize("duration", ["Infinity", "NaN", "1e999", "0"])
def test_declared_time_must_be_a_finite_number(duration: str) -> None:
    """Guards against a declared duration that turns all learned speeds into NaN."""
    body = f'{{"tasks":[{{"payload":"p","duration_ms":{duration}}}]}}'.encode()
    with pytest.raises(exceptions.RequestError):
        jobs.JobRequestParser(10, 1000).parse(body)
