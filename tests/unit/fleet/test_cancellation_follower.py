import asyncio

from cactusgauge import fleet, ids, scheduling
from tests.unit.fleet import conftest

JOB = ids.QueuedJob(conftest.QUEUE.queue, ids.JobKey("j"))


async def _follow(entry: conftest.Entry, log: fleet.CancellationLog, events: list[str]) -> None:
    await fleet.CancellationFollower(
        log,
        lambda job: entry.job_service.cancel(job, fleet.CANCELED_ELSEWHERE),
        lambda event, **fields: events.append(event),
    ).run()


async def test_cancellation_reaches_an_entry_that_shares_no_agent_with_the_other() -> None:
    """Guards against tasks that start after the cancellation of their job was acknowledged by another entry."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    agent.duration_s = 20.0
    log = conftest.MemoryCancellations()
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        following = asyncio.create_task(_follow(entry, log, []))
        submitting = asyncio.create_task(entry.submit("j"))
        await conftest.until(lambda: len(agent.worker.running) == 1)
        await log.record(JOB)  # by the other entry
        answer = await submitting
        assert answer is not None and answer.result is scheduling.JobResult.CANCELED
        await conftest.until(lambda: not agent.worker.running, 1.0)
        following.cancel()


async def test_job_that_arrives_after_its_cancellation_does_not_run() -> None:
    """Guards against a late submission, at another entry or a new one, of a job that was cancelled."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    log = conftest.MemoryCancellations()
    await log.record(JOB)
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        following = asyncio.create_task(_follow(entry, log, []))
        await asyncio.sleep(0.1)
        answer = await entry.submit("j")
        following.cancel()
    assert answer is not None and answer.result is scheduling.JobResult.CANCELED
    assert agent.worker.starts == []


async def test_follower_goes_on_after_an_outage_and_lost_records() -> None:
    """Guards against a follower that gives up, or that waits for records that the store has dropped."""
    entry = conftest.Entry("e", [])
    log = conftest.MemoryCancellations()
    events: list[str] = []
    following = asyncio.create_task(_follow(entry, log, events))
    await asyncio.sleep(0.05)
    log.is_available = False
    await conftest.until(lambda: events == ["cancellations_lost"])
    log.jobs = [ids.QueuedJob(conftest.QUEUE.queue, ids.JobKey(f"job-{number}")) for number in range(5)]
    log.first = 3
    log.is_available = True
    await conftest.until(lambda: events == ["cancellations_lost", "cancellations_regained"])
    await conftest.until(lambda: len(entry.job_service._cancellations) == 2)
    following.cancel()
