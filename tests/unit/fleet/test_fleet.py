import asyncio
from typing import TYPE_CHECKING

import pytest

from cactusgauge import fleet, ids, scheduling, wire
from cactusgauge.fleet import agent_link_client, messages
from tests.unit.fleet import conftest

if TYPE_CHECKING:
    from collections import abc

SUCCEEDED = scheduling.JobResult.SUCCEEDED
NOT_RUN = scheduling.JobResult.NOT_RUN


def _dial_only(agent: conftest.Agent, entries: "abc.Sequence[conftest.Entry]") -> "abc.Callable[[], None]":
    """Return a replacement for the selection of links that dials these entries alone."""

    def dial() -> None:
        for entry in entries:
            if entry.url not in agent.link_client._dial.urls:
                agent.link_client._dial.start(entry.url)

    return dial


async def test_job_runs_on_the_workers_of_two_agents() -> None:
    """Guards against a job that is never answered, or whose tasks are run twice or not at all."""
    entry = conftest.Entry("e", [])
    agents = [conftest.Agent(name, [entry.url]) for name in ("a", "b")]
    async with conftest.running(entry, *agents):
        await conftest.until(lambda: sum(view.accepts_runs for view in entry.link_server.workers) == 2)
        answer = await entry.submit("j", tasks=8)
    assert answer is not None and answer.result is SUCCEEDED
    assert sum(len(agent.worker.starts) for agent in agents) == 8


async def test_job_sent_again_after_its_answer_is_not_run_again() -> None:
    """Guards against a second run of a job that its caller sends again, during the run or after a lost answer."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        first, again = await asyncio.gather(entry.submit("j"), entry.submit("j"))
        later = await entry.submit("j")
    assert first == again == later
    assert len(agent.worker.starts) == 1


async def test_caller_that_leaves_frees_the_worker() -> None:
    """Guards against runs for a caller that has disconnected."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    agent.duration_s = 30.0
    disconnected = asyncio.Event()
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        submitting = asyncio.create_task(entry.submit("j", disconnected=disconnected))
        await conftest.until(lambda: len(agent.worker.running) == 1)
        disconnected.set()
        assert await submitting is None
        await conftest.until(lambda: not agent.worker.running, 0.5)


@pytest.mark.parametrize("is_link_down", [False, True], ids=["lost with the link", "requested without a link"])
async def test_stop_that_was_lost_with_a_link_is_repeated_on_the_next_one(is_link_down: bool) -> None:
    """Guards against a run that goes on beside a new one, as its stop was lost and its grant is renewed."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    agent.duration_s = 30.0
    disconnected = asyncio.Event()
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        submitting = asyncio.create_task(entry.submit("j", disconnected=disconnected))
        await conftest.until(lambda: len(agent.worker.running) == 1)
        (peer,) = entry.link_server._peers.values()
        assert peer.link is not None
        peer.link.abort()
        if is_link_down:
            await conftest.until(lambda: peer.link is None)
        disconnected.set()
        assert await submitting is None
        # A caller that lost its connection sends its job to another entry after this time.
        await conftest.until(lambda: not agent.worker.running, 1.3)


async def test_no_worker_is_used_before_its_first_report_on_a_new_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a start on a worker without the required label, chosen by the report from before a cut."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    agent.labels = ("old",)
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        (peer,) = entry.link_server._peers.values()
        assert peer.link is not None
        peer.link.abort()
        await conftest.until(lambda: peer.link is None)
        agent.restart_worker(("new",))
        with monkeypatch.context() as patch:
            patch.setattr(agent.link_client, "_post_report", lambda connections: None)
            submitting = asyncio.create_task(entry.submit("j", required_label="old"))
            await conftest.until(lambda: peer.link is not None)
            await asyncio.sleep(0.2)
            assert not entry.link_server.has_workers
        await conftest.until(lambda: entry.link_server.has_workers)
        submitting.cancel()
    assert not agent.worker.starts


async def test_start_that_was_chosen_for_an_earlier_worker_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a start on a worker that comes back as another kind between two reports, without any cut."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    agent.labels = ("old",)
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        with monkeypatch.context() as patch:
            patch.setattr(agent.link_client, "_post_report", lambda connections: None)
            agent.restart_worker(("new",))
            await conftest.until(lambda: agent.controller.phase is scheduling.WorkerPhase.READY)
            submitting = asyncio.create_task(entry.submit("j", required_label="old"))
            await asyncio.sleep(0.2)
        await conftest.until(
            lambda: any("new" in view.report.labels for view in entry.link_server.workers if view.report)
        )
        await asyncio.sleep(0.2)
        submitting.cancel()
    assert entry.counters.get("runs_started", "", "a") >= 1
    assert not agent.worker.starts


async def test_job_of_a_lost_entry_runs_once_at_a_time_at_another_one() -> None:
    """Guards against two simultaneous runs of a task when a caller sends the job of a lost entry to another entry."""
    lost = conftest.Entry("e1", [])
    other = conftest.Entry("e2", [lost.url])
    agents = [conftest.Agent(name, [lost.url, other.url]) for name in ("a", "b")]
    for agent in agents:
        agent.duration_s = 20.0
    async with conftest.running(lost, other, *agents) as tasks:
        await conftest.until(lambda: lost.link_server.has_workers and other.link_server.has_workers)
        submitting = asyncio.create_task(lost.submit("j", tasks=4))
        await conftest.until(lambda: sum(len(agent.worker.running) for agent in agents) == 4)
        tasks[lost].cancel()
        await asyncio.sleep(1.3)  # `resend_after_s` of TIMING: by then the runs of the lost entry must be gone
        for agent in agents:
            assert agent.worker.running == []
            agent.duration_s = 0.1
        answer = await other.submit("j", tasks=4)
        submitting.cancel()
    assert answer is not None and answer.result is SUCCEEDED


async def test_job_survives_the_loss_of_an_agent() -> None:
    """Guards against a job that fails, or whose tasks run twice at once, when an agent is lost."""
    entry = conftest.Entry("e", [])
    agents = [conftest.Agent(name, [entry.url]) for name in ("a", "b")]
    for agent in agents:
        agent.duration_s = 0.6
    async with conftest.running(entry, *agents) as tasks:
        await conftest.until(lambda: sum(view.accepts_runs for view in entry.link_server.workers) == 2)
        submitting = asyncio.create_task(entry.submit("j", tasks=8))
        await conftest.until(lambda: sum(len(agent.worker.running) for agent in agents) == 8)
        tasks[agents[0]].cancel()
        answer = await submitting
    assert answer is not None and answer.result is SUCCEEDED
    lease_end = max(at for _, at in agents[0].worker.starts) + conftest.TIMING.lease_s
    # Run numbers are Unix times in milliseconds: these are the runs that were ordered over 100 ms after the first one.
    restarts = [at for key, at in agents[1].worker.starts if key.run > agents[1].worker.starts[0][0].run + 100]
    assert all(at >= lease_end - 0.1 for at in restarts)


async def test_jobs_end_after_an_entry_was_without_a_link_for_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an entry that ignores all ends of an agent which numbered them anew while they were cut off.

    The entry then accepts jobs and starts their tasks, and none of them is ever answered.
    """
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    is_cut = False
    dial = wire.dial

    async def dial_unless_cut(url: str, timeout_s: float) -> object:
        if is_cut:
            raise OSError("cut off")
        return await dial(url, timeout_s)

    monkeypatch.setattr(wire, "dial", dial_unless_cut)
    monkeypatch.setattr(agent_link_client, "FORGET_ENDS_AFTER_S", 0.3)
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        await entry.submit("earlier", tasks=4)
        await asyncio.sleep(0.5)  # a grant acknowledges the ends
        is_cut = True
        for peer in entry.link_server._peers.values():
            assert peer.link is not None
            peer.link.abort()
        await conftest.until(lambda: not entry.link_server.has_workers)
        await asyncio.sleep(1.0)
        is_cut = False
        await conftest.until(lambda: entry.link_server.has_workers)
        answer = await entry.submit("later")
    assert answer is not None and answer.result is SUCCEEDED


@pytest.mark.parametrize("how", ["caller left", "entry lost", "entry lost after the answer"])
async def test_job_that_another_entry_has_started_is_not_refused_as_not_run(how: str) -> None:
    """Guards against a caller that is told that its job never runs, after an earlier attempt has started tasks."""
    first = conftest.Entry("e1", [])
    other = conftest.Entry("e2", [first.url])
    agent = conftest.Agent("a", [first.url, other.url])
    agent.duration_s = 0.1 if how == "entry lost after the answer" else 20.0
    disconnected = asyncio.Event()
    async with conftest.running(first, other, agent) as tasks:
        await conftest.until(lambda: first.link_server.has_workers and other.link_server.has_workers)
        submitting = asyncio.create_task(first.submit("j", disconnected=disconnected))
        await conftest.until(lambda: len(agent.worker.starts) == 1)
        if how == "caller left":
            disconnected.set()
        else:
            if how == "entry lost after the answer":
                await submitting
            tasks[first].cancel()
        await asyncio.sleep(1.3)  # a caller that lost its connection sends its job to another entry after this time
        other.job_service.drain(asyncio.get_running_loop().time())
        again = await other.submit("j")
        unknown = await other.submit("k")
        submitting.cancel()
    assert again is not None and (again.result, again.reason) == (scheduling.JobResult.UNFINISHED, "draining")
    assert unknown is not None and unknown.result is NOT_RUN


async def test_burst_of_unfinished_jobs_leads_to_few_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a message through the whole fleet for each job that misses its deadline under overload."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    agent.duration_s = 20.0
    disconnected = asyncio.Event()
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        submitting = [asyncio.create_task(entry.submit(f"j{number}", disconnected=disconnected)) for number in range(4)]
        await conftest.until(lambda: len(agent.worker.starts) == 4)
        (peer,) = entry.link_server._peers.values()
        posted: list[messages.Message] = []
        monkeypatch.setattr(peer.link, "post", posted.append)
        disconnected.set()
        await asyncio.gather(*submitting)
        await conftest.until(lambda: any(isinstance(message, messages.StartedJobs) for message in posted))
        await asyncio.sleep(0.3)
    announced = [len(message.jobs) for message in posted if isinstance(message, messages.StartedJobs)]
    assert sum(announced) == 4 and len(announced) <= 2


async def test_started_job_becomes_known_to_an_entry_without_a_common_agent() -> None:
    """Guards against a false refusal in a fleet in which each agent links to a few of the entries."""
    first, middle, other = conftest.Entry("e1", []), conftest.Entry("e2", []), conftest.Entry("e3", [])
    agents = [conftest.Agent("a", [first.url]), conftest.Agent("b", [first.url]), conftest.Agent("c", [other.url])]
    links = {agents[0]: (first,), agents[1]: (first, middle), agents[2]: (middle, other)}
    for agent, entries in links.items():
        agent.link_client._update_dialled_entries = _dial_only(agent, entries)  # type: ignore[method-assign]
    agents[0].duration_s = 20.0
    disconnected = asyncio.Event()
    async with conftest.running(first, middle, other, *agents):
        await conftest.until(lambda: all(entry.link_server.has_workers for entry in (first, middle, other)))
        submitting = asyncio.create_task(first.submit("j", tasks=2, disconnected=disconnected))
        await conftest.until(lambda: sum(len(agent.worker.starts) for agent in agents) == 2)
        disconnected.set()
        await submitting
        await asyncio.sleep(0.5)
        other.job_service.drain(asyncio.get_running_loop().time())
        again = await other.submit("j")
    assert again is not None and again.result is scheduling.JobResult.UNFINISHED


async def test_new_entry_becomes_known_through_a_seed() -> None:
    """Guards against an added entry that no agent links to because the agent's seeds do not name it."""
    first = conftest.Entry("e1", [])
    added = conftest.Entry("e2", [first.url])
    agent = conftest.Agent("a", [first.url])
    async with conftest.running(first, added, agent):
        await conftest.until(lambda: added.link_server.has_workers)


async def test_new_entry_becomes_known_through_the_store() -> None:
    """Guards against an added entry that stays unknown to an agent whose seeds are all gone."""
    directory = conftest.MemoryDirectory()
    added = conftest.Entry("e2", [])
    agent = conftest.Agent("a", [], directory)
    async with conftest.running(added, agent):
        await directory.publish(added.url)
        await conftest.until(lambda: added.link_server.has_workers)


async def test_configuration_reaches_an_entry_that_the_store_refuses() -> None:
    """Guards against an entry that keeps using an old configuration while others have the new one."""
    updated = conftest.Entry("e1", [])
    outdated = conftest.Entry("e2", [updated.url])
    agent = conftest.Agent("a", [updated.url, outdated.url])
    async with conftest.running(updated, outdated, agent):
        await conftest.until(lambda: updated.link_server.has_workers and outdated.link_server.has_workers)
        updated.cache.apply_if_newer(conftest.document(7), "store")
        await conftest.until(lambda: outdated.cache.version == 7, 1.5)
        agent.cache.apply_if_newer(conftest.document(6), "store")
        assert agent.cache.version == 7


async def test_cancellation_at_another_entry_stops_the_job() -> None:
    """Guards against tasks that keep running because the cancellation reached an entry that does not own the job."""
    owner = conftest.Entry("e1", [])
    other = conftest.Entry("e2", [owner.url])
    agent = conftest.Agent("a", [owner.url, other.url])
    agent.duration_s = 20.0
    async with conftest.running(owner, other, agent):
        await conftest.until(lambda: owner.link_server.has_workers and other.link_server.has_workers)
        submitting = asyncio.create_task(owner.submit("j"))
        await conftest.until(lambda: len(agent.worker.running) == 1)
        other.link_server.broadcast_cancel(ids.QueuedJob(conftest.QUEUE.queue, ids.JobKey("j")))
        answer = await submitting
        assert answer is not None and answer.result is scheduling.JobResult.CANCELED
        await conftest.until(lambda: not agent.worker.running, 1.0)


async def test_stopping_entry_takes_no_job_that_can_not_end_in_time() -> None:
    """Guards against a job that a planned stop interrupts, or that waits at an entry that is about to stop."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        now = asyncio.get_running_loop().time()
        entry.job_service.drain(ends_by=now + 1.0)
        short = await entry.submit("short")
        assert short is not None and short.result is SUCCEEDED
        entry.job_service.drain(ends_by=now + 0.1)
        refused = await entry.submit("long")
        assert refused is not None and (refused.result, refused.reason) == (NOT_RUN, "draining")
    assert len(agent.worker.starts) == 1


async def test_open_jobs_of_an_entry_that_stops_are_answered() -> None:
    """Guards against a planned stop that closes a caller's connection without an answer."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    agent.duration_s = 30.0
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        submitting = asyncio.create_task(entry.submit("j"))
        await conftest.until(lambda: len(agent.worker.running) == 1)
        entry.link_server.scheduler.cancel_all(fleet.ENTRY_STOPPING)
        answer = await submitting
    assert answer is not None and answer.reason == fleet.ENTRY_STOPPING


async def test_started_entry_waits_for_its_workers_before_it_refuses() -> None:
    """Guards against jobs that a restarted entry refuses before its workers have linked to it."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    async with conftest.running(entry, agent):
        answer = await entry.submit("j")
    assert answer is not None and answer.result is SUCCEEDED


async def test_messages_that_arrived_together_lead_to_one_dispatch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an entry that dispatches once for each of many reports and falls behind."""
    entry = conftest.Entry("e", [])
    times: list[float] = []
    monkeypatch.setattr(entry.link_server.scheduler, "dispatch", times.append)
    for _ in range(15):
        entry.link_server.request_dispatch()
    await asyncio.sleep(0)
    assert len(times) == 1
    entry.link_server.request_dispatch()
    await asyncio.sleep(0)
    assert len(times) == 2
