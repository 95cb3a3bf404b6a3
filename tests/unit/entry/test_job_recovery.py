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
FATES = ["completed", "failed", "running", "lost", "never started"]
# For each task its fate and the agent that has it; for each agent the polls that it answers.
WORLDS = strategies.tuples(
    strategies.lists(
        strategies.tuples(strategies.sampled_from(FATES), strategies.integers(0, 2)), min_size=TASKS, max_size=TASKS
    ),
    strategies.lists(strategies.sets(strategies.integers(0, 6)), min_size=3, max_size=3),
    strategies.booleans(),
)


class _Agents:
    """Three agents that hold parts of a job; each seals and answers only in some polls."""

    def __init__(self, fates: list[tuple[str, int]], answering: list[set[int]]) -> None:
        self.starts = collections.Counter(index for index, (fate, _) in enumerate(fates) if fate != "never started")
        self._fates = fates
        self._answering = answering
        self._poll = 0

    def start(self, index: int) -> None:
        """Start a task, which only a naive recovery does."""
        self.starts[index] += 1

    async def seal(self, workspace: ids.WorkspaceName, job_id: ids.JobId) -> list[wire.Sealed]:
        """Return the replies of one poll; running tasks have completed in the second."""
        self._poll += 1
        if self._poll > 1:
            self._fates = [("completed" if fate == "running" else fate, agent) for fate, agent in self._fates]
        return [self._sealed(agent) for agent in range(3) if self._poll in self._answering[agent]]

    def _sealed(self, agent: int) -> wire.Sealed:
        held = {index: fate for index, (fate, its_agent) in enumerate(self._fates) if its_agent == agent}
        running = [index for index, fate in held.items() if fate == "running"]
        outcomes = [
            unit_conftest.outcome_of(unit_conftest.new_start(index), jobs.TaskState(fate))
            for index, fate in held.items()
            if fate in ("completed", "failed")
        ]
        return wire.Sealed(1, TASKS if running or outcomes else 0, b"d", running, outcomes)


class _RestartingRecovery(job_recovery.JobRecovery):
    """Starts tasks that no agent lists."""

    async def recover(self, *arguments: Any) -> jobs.Answer | None:
        answer = await super().recover(*arguments)
        for report in answer.reports if answer else []:
            if report.state == jobs.TaskState.UNKNOWN.value:
                self._agents.start(report.task)  # type: ignore[attr-defined]
        return answer


async def _recover(
    recovery_type: type[job_recovery.JobRecovery], agents: Any, is_resubmission: bool
) -> jobs.Answer | exceptions.CactusgaugeError | None:
    recovery = recovery_type(agents, observability.EventRing("entry"))
    request = unit_conftest.job_request(TASKS) if is_resubmission else None
    try:
        return await recovery.recover(unit_conftest.WORKSPACE, JOB, request, WAIT_S)
    except exceptions.CactusgaugeError as error:
        return error


def _check(recovery_type: type[job_recovery.JobRecovery]) -> None:
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(WORLDS)
    def run(world: tuple[list[tuple[str, int]], list[set[int]], bool]) -> None:
        fates, answering, is_resubmission = world
        agents = _Agents(fates, answering)
        loop = conftest.ManualClockLoop()
        recovering = loop.create_task(_recover(recovery_type, agents, is_resubmission))
        while not recovering.done():
            loop.run_until_complete(asyncio.sleep(0))
            loop.now += 0.05
        loop.close()
        assert max(agents.starts.values(), default=0) <= 1, "recovery started a task again"
        found = recovering.result()
        if not isinstance(found, jobs.Answer):
            return
        assert [report.task for report in found.reports] == list(range(TASKS)), "the answer is partial"
        for report in found.reports:
            fate, _ = fates[report.task]
            true_state = "completed" if fate == "running" else fate
            assert report.state in (true_state, "unknown"), "the answer is not true"
        is_complete = all(report.state == "completed" for report in found.reports)
        assert found.state == ("complete" if is_complete else "failed")

    run()


def test_recovered_answer_is_whole_and_true() -> None:
    """Guards against a partial or false answer when agents are silent or hold a part of the job, and any start."""
    _check(job_recovery.JobRecovery)


def test_recovery_that_restarts_missing_tasks_starts_them_twice() -> None:
    """Shows that the check above can fail."""
    with pytest.raises(AssertionError, match="started a task again"):
        _check(_RestartingRecovery)


def test_two_recoveries_and_an_owner_that_resumes_agree() -> None:
    """Guards against late starts of a paused owner, and answers that differ between recovering entries."""
    world = conftest.SimulatedCluster(agents=2, entries=3)
    world.reconnect_all()
    owner, *recoverers = world.entries
    world.run_until_idle(lambda: owner.submit(6))
    job = owner.jobs[0]
    owned = [each for each in world.connections if each.entry is owner]
    others = [each for each in world.connections if each.entry is not owner]
    world.run_until_idle(owned[0].entry_end.deliver)  # the second agent gets its starts only after the pause
    recoveries: list[asyncio.Task[jobs.Answer | None]] = []

    def recover() -> None:
        for entry in recoverers:
            recovery = job_recovery.JobRecovery(entry.agents, observability.EventRing(entry.name))
            request = unit_conftest.job_request(6)
            recoveries.append(asyncio.create_task(recovery.recover(unit_conftest.WORKSPACE, job.id, request, 30.0)))

    world.run_until_idle(recover)
    for turn in range(12):
        for connection in others:
            for end in (connection.agent_end, connection.entry_end):
                while end.in_transit:
                    world.run_until_idle(end.deliver)
        if turn == 3:
            for run in world.running:
                world.run_until_idle(lambda run=run: run.end(jobs.TaskState.COMPLETED))  # type: ignore[misc]
        world.advance(0.1)
    answers = [each.result() for each in recoveries]
    started = {run.start.task for run in world.runs}
    world.complete_all_jobs()
    starts, states = len(world.runs), [job.task_at(index).state.value for index in range(6)]
    world.close()
    assert answers[0] == answers[1]
    assert answers[0] is not None
    assert [report.state for report in answers[0].reports] == [
        "completed" if index in started else "unknown" for index in range(6)
    ]
    assert len(started) == starts == conftest.SLOTS
    assert states == ["completed" if index in started else "not_run" for index in range(6)]
