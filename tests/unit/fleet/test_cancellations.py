"""Cancellations that reach an entry through agents, and jobs at an entry that nothing can reach."""

import asyncio

import pytest

from cactusgauge import fleet, ids, scheduling
from cactusgauge.fleet import messages
from tests.unit.fleet import conftest

JOB = ids.QueuedJob(conftest.QUEUE.queue, ids.JobKey("j"))
CANCELED = scheduling.JobResult.CANCELED


async def test_cancellation_reaches_an_entry_without_a_common_agent() -> None:
    """Guards against tasks of a cancelled job at an entry that can't reach the store (review/10)."""
    canceling = conftest.Entry("e1", [])
    between = conftest.Entry("e2", [])
    owner = conftest.Entry("e3", [])
    agents = [conftest.Agent("a", [canceling.url, between.url]), conftest.Agent("b", [between.url, owner.url])]
    agents[1].duration_s = 20.0
    async with conftest.running(canceling, between, owner, *agents):
        await conftest.until(lambda: canceling.link_server.has_workers and owner.link_server.has_workers)
        await conftest.until(lambda: sum(view.accepts_runs for view in between.link_server.workers) == 2)
        submitting = asyncio.create_task(owner.submit("j"))
        await conftest.until(lambda: len(agents[1].worker.running) == 1)
        canceling.link_server.broadcast_cancel(JOB)
        answer = await submitting
        await conftest.until(lambda: not agents[1].worker.running, 1.0)
    assert answer is not None and answer.result is CANCELED


async def test_entry_that_links_later_starts_no_task_of_a_cancelled_job() -> None:
    """Guards against starts at the end of a cut, before the entry has read the cancellations (review/9)."""
    canceling = conftest.Entry("e1", [])
    later = conftest.Entry("e2", [canceling.url])
    agent = conftest.Agent("a", [canceling.url, later.url])
    async with conftest.running(canceling, agent):
        await conftest.until(lambda: canceling.link_server.has_workers)
        submitting = asyncio.create_task(later.submit("j"))  # it waits for an agent
        await asyncio.sleep(0.1)
        canceling.link_server.broadcast_cancel(JOB)
        await asyncio.sleep(0.1)
        async with conftest.running(later):
            await submitting  # canceled, or refused if it has waited for too long
            again = await later.submit("j")
    assert again is not None and again.result is CANCELED
    assert agent.worker.starts == []


async def test_each_process_passes_a_cancellation_on_once() -> None:
    """Guards against messages that go round between entries and agents without an end."""
    entries = [conftest.Entry(name, []) for name in ("e1", "e2", "e3")]
    agents = [conftest.Agent(name, [entry.url for entry in entries]) for name in ("a", "b", "c")]
    async with conftest.running(*entries, *agents):
        await conftest.until(
            lambda: all(sum(view.accepts_runs for view in each.link_server.workers) == 3 for each in entries)
        )
        entries[0].link_server.broadcast_cancel(JOB)
        await asyncio.sleep(1.0)
        received = [entry.counters.get("fleet_messages_received", label="CanceledJobs") for entry in entries]
    assert max(received) <= len(agents)
    assert received[1] > 0 and received[2] > 0


async def test_wave_of_cancellations_does_not_go_round_without_an_end() -> None:
    """Guards against processes that forget a job while others still pass it on, and take it for new again."""
    entries = [conftest.Entry(name, []) for name in ("e1", "e2")]
    agents = [conftest.Agent(name, [entry.url for entry in entries]) for name in ("a", "b")]
    async with conftest.running(*entries, *agents):
        await conftest.until(
            lambda: all(sum(view.accepts_runs for view in each.link_server.workers) == 2 for each in entries)
        )
        for number in range(3 * messages.MAX_CANCELED_JOBS):
            entries[0].link_server.broadcast_cancel(JOB._replace(key=ids.JobKey(f"j{number}")))
        await asyncio.sleep(1.0)
        received = [entry.counters.get("fleet_messages_received", label="CanceledJobs") for entry in entries]
        await asyncio.sleep(1.0)
        later = [entry.counters.get("fleet_messages_received", label="CanceledJobs") for entry in entries]
        answer = await entries[1].submit("j0")
    assert received == later
    assert answer is not None and answer.result is CANCELED


@pytest.mark.parametrize("is_store_reachable", [True, False])
async def test_isolated_entry_ends_its_jobs(is_store_reachable: bool) -> None:
    """Guards against a job that starts again at the end of a cut, while its caller's next attempt runs (review/6)."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    agent.duration_s = 20.0
    async with conftest.running(entry, agent) as tasks:
        await conftest.until(lambda: entry.link_server.has_workers)
        started = asyncio.create_task(entry.submit("j1", tasks=4))
        await conftest.until(lambda: len(agent.worker.running) == 4)
        waiting = asyncio.create_task(entry.submit("j2"))
        await asyncio.sleep(0.1)
        entry.is_store_reachable = is_store_reachable
        tasks[agent].cancel()
        await asyncio.sleep(conftest.TIMING.runs_gone_after_s + 0.3)
        if is_store_reachable:  # the agents may have failed, so that others may come
            assert not started.done()
            started.cancel()
            waiting.cancel()
            return
        answers = [await started, await waiting]
    assert answers[0] is not None and answers[1] is not None
    assert (answers[0].result, answers[0].reason) == (scheduling.JobResult.UNFINISHED, fleet.ENTRY_ISOLATED)
    assert answers[1].result is scheduling.JobResult.NOT_RUN
    assert answers[1].retry_after_s > 0
