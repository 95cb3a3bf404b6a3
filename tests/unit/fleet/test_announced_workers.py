"""Agents whose heartbeats come from other writers in part."""

import asyncio
import time

import pytest

from cactusgauge import ids, runs, scheduling
from tests.unit.fleet import conftest


def _odd_heartbeat(service: str) -> runs.WorkerHeartbeat:
    """Return a heartbeat that seems to come from a worker which has started later than all others."""
    return runs.WorkerHeartbeat(
        ids.WorkerId("x"),
        int(time.time() * 1000),
        1,
        ids.ServiceName(service),
        "127.0.0.1:9",
        False,
        scheduling.Resources(4000, 8192),
        (),
        1.0,
    )


def _has_overlap(agents: list[conftest.Agent]) -> bool:
    """Return whether two runs of a task were at work at the same time."""
    for agent in agents:
        agent.worker.end_due_runs()
    all_runs = sorted((run for agent in agents for run in agent.worker.history), key=lambda run: run.started_at)
    return any(
        run.key.task == other.key.task and other.started_at < run.ended_at
        for number, run in enumerate(all_runs)
        for other in all_runs[number + 1 :]
    )


@pytest.mark.parametrize("is_before", [True, False], ids=["before the job", "during the job"])
async def test_each_task_runs_once_although_each_agent_got_an_odd_heartbeat(is_before: bool) -> None:
    """Guards against two runs of a task, and against a fleet without a worker, after heartbeats of another writer."""
    entry = conftest.Entry("e", [])
    agents = [conftest.Agent(name, [entry.url]) for name in ("a", "b", "c")]
    for agent in agents:
        agent.duration_s = 1.0
        if is_before:
            agent.controller.handle_heartbeat(_odd_heartbeat("telemetry"))
    async with conftest.running(entry, *agents):
        await conftest.until(lambda: sum(view.accepts_runs for view in entry.link_server.workers) == len(agents))
        answers = []
        for name in ("j1", "j2"):
            submitted = asyncio.create_task(entry.submit(name, tasks=12))
            await asyncio.sleep(0.4)
            if not is_before:
                for agent in agents:
                    agent.controller.handle_heartbeat(_odd_heartbeat("telemetry"))
            answers.append(await submitted)
        assert [answer and answer.result for answer in answers] == 2 * [scheduling.JobResult.SUCCEEDED]
        assert all(len(agent.worker.history) >= 8 for agent in agents)  # each job needs all workers
        assert not _has_overlap(agents)


async def test_service_is_unknown_only_by_the_newest_configuration() -> None:
    """Guards against a worker of a new service that is refused by an outdated copy of the configuration."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    is_known = agent.link_client.is_service_known
    new, first = ids.ServiceName("new"), ids.ServiceName("s")
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        assert is_known(new)
        entry.cache.apply_if_newer(conftest.document(6, ["s"]), "store")
        agent.cache.apply_if_newer(conftest.document(6, ["s"]), "entry")
        for version, services in ((7, ["s"]), (8, ["s", "other"])):
            entry.cache.apply_if_newer(conftest.document(version, services), "store")
            # It requests the configuration, instead of copying it some time later.
            await conftest.until(lambda: not is_known(new) and agent.cache.version == version, 1.0)  # noqa: B023
            assert is_known(first)
        entry.cache.apply_if_newer(conftest.document(9, ["s", "new"]), "store")
        await conftest.until(lambda: is_known(new) and agent.cache.version == 9, 1.0)
