from collections import abc

import pytest

from cactusgauge import jobs
from tests.unit import conftest as unit_conftest
from tests.unit.dispatch import conftest

COMPLETED = jobs.TaskState.COMPLETED


@pytest.fixture
def world() -> abc.Iterator[conftest.World]:
    """Give one agent linked to one entry, and everything delivered."""
    made = conftest.World(entries=1)
    made.relink()
    yield made
    made.close()


def _submit(world: conftest.World, count: int) -> jobs.Job:
    world.call(lambda: world.entries[0].submit(count))
    return world.entries[0].jobs[-1]


def _states(job: jobs.Job) -> list[str]:
    return [job.task_at(index).state.value for index in range(job.task_count)]


def test_task_that_returns_after_a_cancel_is_not_started(world: conftest.World) -> None:
    """Guards against a cancelled task that starts because its start had been lost with a link."""
    job = _submit(world, 1)
    world.call(lambda: world.entries[0].service.dispatcher(unit_conftest.WORKSPACE).cancel(job))
    world.relink()
    assert not world.runs
    assert _states(job) == ["not_run"]
    assert job.task_at(0).reason == jobs.Reason.CANCELLED.value


def test_task_whose_completion_races_a_cancel_stays_completed(world: conftest.World) -> None:
    """Guards against a cancel that reports a task that ran as not run."""
    job = _submit(world, 4)
    world.deliver_all()
    for run in world.running:
        world.call(lambda run=run: run.end(COMPLETED))  # type: ignore[misc]
    world.call(lambda: world.entries[0].service.dispatcher(unit_conftest.WORKSPACE).cancel(job))
    world.deliver_all()
    assert _states(job) == ["completed", "completed", "not_run", "not_run"]


def test_no_task_starts_after_the_deadline(world: conftest.World) -> None:
    """Guards against a start between the deadline and the next sweep, which ends as unknown after 1 ms."""
    first = _submit(world, 2)
    world.deliver_all()
    late = _submit(world, 1)
    world.loop.now += conftest.DEADLINE_MS / 1000
    world.call(world.agents[0].announce)
    for run in world.running:
        world.call(lambda run=run: run.end(COMPLETED))  # type: ignore[misc]
    world.deliver_all()
    assert _states(first) == ["completed", "completed"]
    assert len(world.runs) == 2
    world.advance(0.1)
    assert _states(late) == ["not_run"]


def test_given_up_tasks_cause_no_storm_of_refusals(world: conftest.World) -> None:
    """Guards against start and refusal in an endless loop while an agent runs tasks that were given up."""
    _submit(world, 2)
    world.deliver_all()
    world.call(world.connections[0].entry_end.abort)
    world.advance(11.0)
    job = _submit(world, 1)
    world.relink()
    world.finish_everything()
    assert _states(job) == ["completed"]


def test_old_incarnation_does_not_displace_the_new_one(world: conftest.World) -> None:
    """Guards against the heartbeat of a link that is about to die taking the agent's new link out of use."""
    world.restart_agent(0)  # the entry has not noticed it yet
    world.dial(world.agents[0], world.entries[0])
    new = world.connections[-1]
    for end in (new.agent_end, new.entry_end, new.agent_end):
        world.call(end.deliver)
    job = _submit(world, 1)
    world.call(new.entry_end.deliver)
    world.beat()
    world.finish_everything()
    assert _states(job) == ["completed"]
    after = _submit(world, 1)
    world.finish_everything()
    assert _states(after) == ["completed"]
