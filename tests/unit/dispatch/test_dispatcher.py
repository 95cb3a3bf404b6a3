from collections import abc

import pytest

from cactusgauge import jobs
from tests.unit import conftest as unit_conftest
from tests.unit.dispatch import conftest

COMPLETED = jobs.TaskState.COMPLETED


@pytest.fixture
def cluster() -> abc.Iterator[conftest.SimulatedCluster]:
    """Provide one agent connected to one entry, with all messages delivered."""
    started = conftest.SimulatedCluster(entries=1)
    started.reconnect_all()
    yield started
    started.close()


def _submit(cluster: conftest.SimulatedCluster, count: int) -> jobs.Job:
    cluster.run_until_idle(lambda: cluster.entries[0].submit(count))
    return cluster.entries[0].jobs[-1]


def _states(job: jobs.Job) -> list[str]:
    return [job.task_at(index).state.value for index in range(job.task_count)]


def test_task_that_returns_after_a_cancel_is_not_started(cluster: conftest.SimulatedCluster) -> None:
    """Guards against a cancelled task that is started again because its first start was lost with a link."""
    job = _submit(cluster, 1)
    cluster.run_until_idle(lambda: cluster.entries[0].service.dispatcher(unit_conftest.WORKSPACE).cancel(job))
    cluster.reconnect_all()
    assert not cluster.runs
    assert _states(job) == ["not_run"]
    assert job.task_at(0).reason == jobs.Reason.CANCELLED.value


def test_task_whose_completion_races_a_cancel_stays_completed(cluster: conftest.SimulatedCluster) -> None:
    """Guards against a cancellation that reports a completed task as not run."""
    job = _submit(cluster, 4)
    cluster.deliver_all()
    for run in cluster.running:
        cluster.run_until_idle(lambda run=run: run.end(COMPLETED))  # type: ignore[misc]
    cluster.run_until_idle(lambda: cluster.entries[0].service.dispatcher(unit_conftest.WORKSPACE).cancel(job))
    cluster.deliver_all()
    assert _states(job) == ["completed", "completed", "not_run", "not_run"]


def test_no_task_starts_after_the_deadline(cluster: conftest.SimulatedCluster) -> None:
    """Guards against a task started between its deadline and the next sweep, which would end as unknown after 1 ms."""
    first = _submit(cluster, 2)
    cluster.deliver_all()
    late = _submit(cluster, 1)
    cluster.loop.now += conftest.DEADLINE_MS / 1000
    cluster.run_until_idle(cluster.agents[0].announce)
    for run in cluster.running:
        cluster.run_until_idle(lambda run=run: run.end(COMPLETED))  # type: ignore[misc]
    cluster.deliver_all()
    assert _states(first) == ["completed", "completed"]
    assert len(cluster.runs) == 2
    cluster.advance(0.1)
    assert _states(late) == ["not_run"]


def test_abandoned_tasks_cause_no_loop_of_refusals(cluster: conftest.SimulatedCluster) -> None:
    """Guards against an endless loop of starts and refusals while an agent still runs tasks that the entry gave up."""
    _submit(cluster, 2)
    cluster.deliver_all()
    cluster.run_until_idle(cluster.connections[0].entry_end.abort)
    cluster.advance(11.0)
    job = _submit(cluster, 1)
    cluster.reconnect_all()
    cluster.complete_all_jobs()
    assert _states(job) == ["completed"]


def test_old_incarnation_does_not_displace_the_new_one(cluster: conftest.SimulatedCluster) -> None:
    """Guards against a heartbeat on a dying link of the old incarnation that disables the agent's new link."""
    cluster.restart_agent(0)  # the entry has not noticed it yet
    cluster.connect(cluster.agents[0], cluster.entries[0])
    new = cluster.connections[-1]
    for end in (new.agent_end, new.entry_end, new.agent_end):
        cluster.run_until_idle(end.deliver)
    job = _submit(cluster, 1)
    cluster.run_until_idle(new.entry_end.deliver)
    cluster.send_heartbeats()
    cluster.complete_all_jobs()
    assert _states(job) == ["completed"]
    after = _submit(cluster, 1)
    cluster.complete_all_jobs()
    assert _states(after) == ["completed"]
