import asyncio

from cactusgauge import ids, scheduling
from cactusgauge.fleet import link_selector
from tests.unit.fleet import conftest

FAILED = scheduling.JobResult.FAILED
SUCCEEDED = scheduling.JobResult.SUCCEEDED
DEADLY = ids.JobKey("deadly")


def _agents(count: int, *entries: conftest.Entry) -> list[conftest.Agent]:
    """Return agents whose workers crash when they start a task of the job `deadly`."""
    agents = [conftest.Agent(f"a{number}", [entry.url for entry in entries]) for number in range(count)]
    for agent in agents:
        agent.worker.crashing_jobs.add(DEADLY)
    return agents


def _start_count(agents: list[conftest.Agent], job: str = DEADLY) -> int:
    return sum(key.job == job for agent in agents for key, _ in agent.worker.starts)


async def test_task_that_crashes_every_worker_takes_down_only_two() -> None:
    """Guards against one task that crashes worker after worker until its caller's deadline."""
    entry = conftest.Entry("e", [])
    agents = _agents(3, entry)
    async with conftest.running(entry, *agents):
        await conftest.until(lambda: sum(view.accepts_runs for view in entry.link_server.workers) == 3)
        answer = await entry.submit(DEADLY)
        await asyncio.sleep(1.5)
    assert answer is not None and answer.result is FAILED
    assert _start_count(agents) == 2


async def test_job_beside_a_crash_succeeds() -> None:
    """Guards against a job that is given up because a task of another job crashed its worker."""
    entry = conftest.Entry("e", [])
    agents = _agents(1, entry)
    agents[0].duration_s = 0.4
    async with conftest.running(entry, *agents):
        await conftest.until(lambda: entry.link_server.has_workers)
        beside = asyncio.create_task(entry.submit("beside"))
        await conftest.until(lambda: len(agents[0].worker.running) == 1)
        answer = await entry.submit(DEADLY)
        other = await beside
    assert answer is not None and answer.result is FAILED
    assert other is not None and other.result is SUCCEEDED


async def test_crashes_count_at_every_entry() -> None:
    """Guards against a task that starts over its crashes at another entry when its first entry is lost."""
    lost = conftest.Entry("e1", [])
    other = conftest.Entry("e2", [lost.url])
    agents = _agents(3, lost, other)
    async with conftest.running(lost, other, *agents) as tasks:
        await conftest.until(
            lambda: all(sum(view.accepts_runs for view in each.link_server.workers) == 3 for each in (lost, other))
        )
        submitting = asyncio.create_task(lost.submit(DEADLY))
        await conftest.until(lambda: _start_count(agents) == 1)
        await asyncio.sleep(0.9)  # a lease, after which the crash is known
        tasks[lost].cancel()
        answer = await other.submit(DEADLY)
        again = await other.submit(DEADLY)
        submitting.cancel()
    assert answer is not None and answer.result is FAILED
    assert again == answer
    assert _start_count(agents) == 2


async def test_entry_that_links_later_knows_earlier_crashes() -> None:
    """Guards against a restarted entry that starts a task again after two crashes."""
    first = conftest.Entry("e1", [])
    agents = _agents(2, first)
    async with conftest.running(first, *agents):
        await conftest.until(lambda: sum(view.accepts_runs for view in first.link_server.workers) == 2)
        await first.submit(DEADLY)
        added = conftest.Entry("e2", [first.url])
        async with conftest.running(added):
            await conftest.until(lambda: added.link_server.has_workers)
            await asyncio.sleep(0.1)  # the crashes follow the first message of the link
            answer = await added.submit(DEADLY)
    assert answer is not None and answer.result is FAILED
    assert _start_count(agents) == 2


async def test_crash_is_passed_on_to_entries_without_a_link_to_its_agent() -> None:
    """Guards against a large deployment in which most entries do not hear of a crash."""
    entries = [conftest.Entry("e0", [])]
    entries += [conftest.Entry(f"e{number}", [entries[0].url]) for number in range(1, 6)]
    agents = [conftest.Agent(f"a{number}", [entries[0].url]) for number in range(6)]
    async with conftest.running(*entries, *agents):
        await asyncio.sleep(4.0)  # until all entries are known and agents have dropped the links that are too many
        tasks = scheduling.TasksAtCrash([ids.TaskKey(DEADLY, 0, 0)], [], [])
        for agent in agents[:2]:
            agent.link_client.on_worker_crashed(1, tasks)
        await asyncio.sleep(0.3)
        # Which entries an agent links to depends on their ports; more than three cannot all be linked to one agent.
        answers = [await entry.submit(DEADLY) for entry in entries if entry.link_server.has_workers]
    assert len(answers) > link_selector.LINKS_PER_AGENT
    assert all(answer is not None and answer.result is FAILED for answer in answers)
    assert _start_count(agents) == 0


async def test_suspects_of_two_entries_start_one_after_the_other() -> None:
    """Guards against a crash that is attributed to a task because two entries started suspects at the same moment."""
    entries = [conftest.Entry("e1", [])]
    entries.append(conftest.Entry("e2", [entries[0].url]))
    agent = conftest.Agent("a", [entry.url for entry in entries])
    agent.duration_s = 0.3
    async with conftest.running(*entries, agent):
        await conftest.until(lambda: all(entry.link_server.has_workers for entry in entries))
        tasks = [ids.TaskKey(ids.JobKey(name), 0, 0) for name in ("j1", "j2")]
        agent.link_client.on_worker_crashed(1, scheduling.TasksAtCrash(tasks, [], []))
        await asyncio.sleep(0.05)
        await asyncio.gather(entries[0].submit("j1"), entries[1].submit("j2"))
    (first, first_at), (second, second_at) = agent.worker.starts
    assert {first.job, second.job} == {"j1", "j2"}
    assert second_at - first_at > 0.09
