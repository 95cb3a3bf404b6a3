import asyncio
import collections
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge import exceptions, ids, jobs, observability, wire
from cactusgauge.entry import job_recovery
from tests.unit import conftest as unit_conftest
from tests.unit.dispatch import conftest

JOB = ids.JobId(unit_conftest.SESSION, 1)
TASKS = 3
WAIT_S = 1.0
TASK_STATES = ["completed", "failed", "running", "lost", "never started"]
# For each task its state and the agent that has it; for each agent the polls that it replies to; whether the request
# is a resubmission.
SCENARIOS = strategies.tuples(
    strategies.lists(
        strategies.tuples(strategies.sampled_from(TASK_STATES), strategies.integers(0, 2)),
        min_size=TASKS,
        max_size=TASKS,
    ),
    strategies.lists(strategies.sets(strategies.integers(0, 6)), min_size=3, max_size=3),
    strategies.booleans(),
)


class _Agents:
    """Three agents with parts of a job; each one seals the session and replies only in some polls."""

    def __init__(self, task_states: list[tuple[str, int]], answering: list[set[int]]) -> None:
        self.starts = collections.Counter(
            index for index, (task_state, _) in enumerate(task_states) if task_state != "never started"
        )
        self._task_states = task_states
        self._answering = answering
        self._poll = 0

    def start(self, index: int) -> None:
        """Start a task, which only the faulty recovery does."""
        self.starts[index] += 1

    async def seal(self, workspace: ids.WorkspaceName, job_id: ids.JobId) -> list[wire.Sealed]:
        """Return the replies to one poll; running tasks have completed by the second poll."""
        self._poll += 1
        if self._poll > 1:
            self._task_states = [
                ("completed" if task_state == "running" else task_state, agent)
                for task_state, agent in self._task_states
            ]
        return [self._sealed(agent) for agent in range(3) if self._poll in self._answering[agent]]

    def _sealed(self, agent: int) -> wire.Sealed:
        held = {
            index: task_state for index, (task_state, its_agent) in enumerate(self._task_states) if its_agent == agent
        }
        running = [index for index, task_state in held.items() if task_state == "running"]
        outcomes = [
            unit_conftest.outcome_of(unit_conftest.new_start(index), jobs.TaskState(task_state))
            for index, task_state in held.items()
            if task_state in ("completed", "failed")
        ]
        return wire.Sealed(1, TASKS if running or outcomes else 0, b"d", running, outcomes)


class _RestartingRecovery(job_recovery.JobRecovery):
    """Faulty: starts tasks that no agent lists."""

    async def recover(self, *arguments: Any) -> jobs.JobResponse | None:
        answer = await super().recover(*arguments)
        for report in answer.reports if answer else []:
            if report.state == jobs.TaskState.UNKNOWN.value:
                self._agents.start(report.task)  # type: ignore[attr-defined]
        return answer


async def _recover(
    recovery_type: type[job_recovery.JobRecovery], agents: Any, is_resubmission: bool
) -> jobs.JobResponse | exceptions.CactusgaugeError | None:
    recovery = recovery_type(agents, observability.EventRing("entry"))
    request = unit_conftest.job_request(TASKS) if is_resubmission else None
    try:
        return await recovery.recover(unit_conftest.WORKSPACE, JOB, request, WAIT_S)
    except exceptions.CactusgaugeError as error:
        return error


def _check(recovery_type: type[job_recovery.JobRecovery]) -> None:
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(SCENARIOS)
    def run(scenario: tuple[list[tuple[str, int]], list[set[int]], bool]) -> None:
        task_states, answering, is_resubmission = scenario
        agents = _Agents(task_states, answering)
        loop = conftest.ManualClockLoop()
        recovery_task = loop.create_task(_recover(recovery_type, agents, is_resubmission))
        while not recovery_task.done():
            loop.run_until_complete(asyncio.sleep(0))
            loop.now += 0.05
        loop.close()
        assert max(agents.starts.values(), default=0) <= 1, "recovery started a task again"
        found = recovery_task.result()
        if not isinstance(found, jobs.JobResponse):
            return
        assert [report.task for report in found.reports] == list(range(TASKS)), "the answer is partial"
        for report in found.reports:
            task_state, _ = task_states[report.task]
            true_state = "completed" if task_state == "running" else task_state
            assert report.state in (true_state, "unknown"), "the answer is not true"
        is_complete = all(report.state == "completed" for report in found.reports)
        assert found.state == ("complete" if is_complete else "failed")

    run()


def test_recovered_answer_is_whole_and_true() -> None:
    """Guards against partial or wrong answers when agents are silent or have only a part of the job, and any start."""
    _check(job_recovery.JobRecovery)


def test_recovery_that_restarts_missing_tasks_starts_them_twice() -> None:
    """Shows that the check above detects a recovery that starts tasks."""
    with pytest.raises(AssertionError, match="started a task again"):
        _check(_RestartingRecovery)


def test_two_recoveries_and_an_owner_that_resumes_agree() -> None:
    """Guards against late starts by a paused owner, and different answers from recovering entries."""
    cluster = conftest.SimulatedCluster(agents=2, entries=3)
    cluster.reconnect_all()
    owner, *recovering_entries = cluster.entries
    cluster.run_until_idle(lambda: owner.submit(6))
    job = owner.jobs[0]
    owned = [each for each in cluster.connections if each.entry is owner]
    others = [each for each in cluster.connections if each.entry is not owner]
    cluster.run_until_idle(
        owned[0].entry_end.deliver
    )  # the second agent receives its starts only after the owner's pause
    recoveries: list[asyncio.Task[jobs.JobResponse | None]] = []

    def recover() -> None:
        for entry in recovering_entries:
            recovery = job_recovery.JobRecovery(entry.agents, observability.EventRing(entry.name))
            request = unit_conftest.job_request(6)
            recoveries.append(asyncio.create_task(recovery.recover(unit_conftest.WORKSPACE, job.id, request, 30.0)))

    cluster.run_until_idle(recover)
    for turn in range(12):
        for connection in others:
            for end in (connection.agent_end, connection.entry_end):
                while end.in_transit:
                    cluster.run_until_idle(end.deliver)
        if turn == 3:
            for run in cluster.running:
                cluster.run_until_idle(lambda run=run: run.end(jobs.TaskState.COMPLETED))  # type: ignore[misc]
        cluster.advance(0.1)
    answers = [each.result() for each in recoveries]
    started = {run.start.task for run in cluster.runs}
    cluster.complete_all_jobs()
    starts, states = len(cluster.runs), [job.task_at(index).state.value for index in range(6)]
    cluster.close()
    assert answers[0] == answers[1]
    assert answers[0] is not None
    assert [report.state for report in answers[0].reports] == [
        "completed" if index in started else "unknown" for index in range(6)
    ]
    assert len(started) == starts == conftest.SLOTS
    assert states == ["completed" if index in started else "not_run" for index in range(6)]
