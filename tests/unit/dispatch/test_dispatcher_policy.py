"""Admission, cancellation and failing workers at the dispatcher, with a simulated clock."""

import asyncio
import random

import pytest

from cactusgauge import configuration, exceptions, ids, jobs
from cactusgauge.dispatch import worker_groups
from tests.unit.dispatch import harness as harness_module

pytestmark = pytest.mark.looptime
HarnessType = type[harness_module.DispatcherHarness]


async def _learn_run_time(harness: harness_module.DispatcherHarness) -> None:
    """Let the dispatcher learn a run time of 100 ms for tasks of the default kind."""
    harness.dispatcher.admit(harness_module.make_job(0, [None] * 40, at=asyncio.get_running_loop().time()))
    while not harness.finished:
        await asyncio.sleep(0.1)
        for number in range(len(harness.workers)):
            harness.end_oldest_tasks(number, "completed")


def _job(number: int, count: int, deadline_ms: int = 30_000, declared: float | None = None) -> jobs.Job:
    return harness_module.make_job(number, [declared] * count, asyncio.get_running_loop().time(), deadline_ms)


async def test_job_over_the_quota_is_refused_whole_with_a_retry_delay(make_harness: HarnessType) -> None:
    """Guards against a job that is only partly queued, and against retries that cannot succeed."""
    harness = make_harness(1, max_queued_tasks=20)
    harness.dispatcher.admit(_job(1, 15))

    with pytest.raises(exceptions.OverloadedError) as overloaded:
        harness.dispatcher.admit(_job(2, 6))
    with pytest.raises(exceptions.JobNeverFitsError) as never:
        harness.dispatcher.admit(_job(3, 21))

    assert harness.dispatcher.queued_count == 15
    assert [job.id.number for job in harness.dispatcher.open_jobs] == [1]
    assert overloaded.value.retry_after_s and overloaded.value.retry_after_s >= 1
    assert never.value.retry_after_s is None
    assert overloaded.value.ran is never.value.ran is exceptions.ExecutionStatus.NOTHING_RAN


@pytest.mark.parametrize("groups", [1, 4])
async def test_deadline_that_cannot_be_met_is_refused_early(
    make_harness: HarnessType, monkeypatch: pytest.MonkeyPatch, groups: int
) -> None:
    """Guards against jobs that wait until their deadline and are refused only then."""
    monkeypatch.setattr(worker_groups, "MAX_GROUP_SIZE", 4 // groups)
    harness = make_harness(4, slots=2)
    await _learn_run_time(harness)

    with pytest.raises(exceptions.DeadlineTooShortError) as too_short:
        harness.dispatcher.admit(_job(1, 1, deadline_ms=20))
    harness.dispatcher.admit(_job(2, 80))
    with pytest.raises(exceptions.DeadlineUnattainableError) as unattainable:
        harness.dispatcher.admit(_job(3, 300, deadline_ms=4500))
    harness.dispatcher.admit(_job(4, 1, deadline_ms=500))  # goes before the large job

    assert too_short.value.retry_after_s is None
    assert unattainable.value.retry_after_s == 1
    assert harness.dispatcher.queued_count == 81


async def test_declared_times_alone_refuse_nothing(make_harness: HarnessType) -> None:
    """Guards against a job refused because its declared run time is wrong by a factor of ten."""
    harness = make_harness(1)

    harness.dispatcher.admit(_job(1, 1, deadline_ms=200, declared=1000))

    assert harness.dispatcher.queued_count == 1


async def test_running_tasks_stay_within_the_quota_of_the_workspace(make_harness: HarnessType) -> None:
    """Guards against a workspace that uses more slots than its quota."""
    harness = make_harness(2, max_running_tasks=5)
    harness.dispatcher.admit(_job(1, 30))
    while not harness.finished:
        await asyncio.sleep(0.1)
        assert harness.dispatcher.running_count <= 5
        harness.end_oldest_tasks(0, "completed", count=1)
        harness.end_oldest_tasks(1, "completed", count=1)


async def test_cancelling_most_of_the_queue_answers_every_job(make_harness: HarnessType) -> None:
    """Guards against jobs without an answer, and tasks started twice, after a burst of cancellations."""
    harness = make_harness(2)
    rng = random.Random(3)
    admitted = [_job(number, rng.randint(1, 30)) for number in range(200)]
    for job in admitted:
        harness.dispatcher.admit(job)
    await asyncio.sleep(0.01)

    for job in rng.sample(admitted, 180):
        harness.dispatcher.cancel(job)
    while len(harness.finished) < len(admitted):
        await asyncio.sleep(0.1)
        assert harness.end_oldest_tasks(0, "completed") + harness.end_oldest_tasks(1, "completed")

    assert {job.id for job in harness.finished} == {job.id for job in admitted}
    starts = [ids.TaskId(each.session, each.number, each.task) for link in harness.links for each in link.starts()]
    assert len(starts) == len(set(starts)) == harness.counters.get("tasks_completed")
    assert harness.dispatcher.queued_count == harness.dispatcher.running_count == 0


async def test_failing_worker_gets_only_probes(make_harness: HarnessType) -> None:
    """Guards against a worker that fails tasks quickly and therefore keeps getting new ones."""
    harness = make_harness(4)
    for number in range(100):
        harness.dispatcher.admit(_job(number, 20))
    failures = 0
    for _ in range(40):
        await asyncio.sleep(0.1)
        failures += harness.end_oldest_tasks(0, "failed", jobs.Reason.BACKEND_ERROR.value)
        for worker in (1, 2, 3):
            harness.end_oldest_tasks(worker, "completed")

    assert failures <= 8 + 2  # the first tasks fill 8 slots, then there are probes after 1 s and another 2 s
    assert harness.counters.get("worker_quarantined") >= 1


@pytest.mark.parametrize(("ran_s", "quarantined"), [(0.2, 0), (20.0, 1)])
async def test_only_long_overdue_tasks_count_against_a_worker_at_their_deadline(
    make_harness: HarnessType, ran_s: float, quarantined: int
) -> None:
    """Guards against healthy workers quarantined because jobs miss their deadlines under overload."""
    harness = make_harness(4)
    for number in range(100):
        harness.dispatcher.admit(_job(number, 1))
    await asyncio.sleep(ran_s)
    harness.end_oldest_tasks(0, "unknown", jobs.Reason.DEADLINE.value)

    assert harness.counters.get("worker_quarantined") == quarantined


async def test_refused_start_is_sent_again_and_unknown_one_is_not(make_harness: HarnessType) -> None:
    """Guards against a second start of a task without proof that the first one did not happen."""
    harness = make_harness(1, slots=2)
    harness.dispatcher.admit(_job(1, 2))
    await asyncio.sleep(0.01)
    harness.end_oldest_tasks(0, "not_run", jobs.Reason.NO_SLOT.value, count=1)
    harness.end_oldest_tasks(0, "unknown", jobs.Reason.CONNECTION_LOST.value, count=1)
    await asyncio.sleep(1.1)  # a refusal within the credit pauses the worker for 1 s
    harness.dispatcher.sweep()
    await asyncio.sleep(0.01)
    harness.end_oldest_tasks(0, "completed")

    assert [start.task for start in harness.links[0].starts()] == [0, 1, 0]
    assert harness.finished[0].state is jobs.JobState.FAILED


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("placement", configuration.PlacementName)
async def test_groups_of_workers_leave_no_task_unsent_and_no_slot_unused(
    make_harness: HarnessType, monkeypatch: pytest.MonkeyPatch, placement: configuration.PlacementName, seed: int
) -> None:
    """Guards against free slots in groups that are never planned, wrong task counts, and tasks started twice."""
    monkeypatch.setattr(worker_groups, "MAX_GROUP_SIZE", 3)
    rng = random.Random(seed)
    refuses = seed % 2 == 1
    harness = make_harness(10, slots=2, placement=placement, max_running_tasks=18)
    admitted = [_job(number, rng.choice([1, 1, 2, 7, 25]), 1_000_000) for number in range(60)]
    for job in admitted:
        harness.dispatcher.admit(job)
        await asyncio.sleep(rng.choice([0.001, 0.03, 0.1]))
        if refuses:
            harness.dispatcher.sweep()  # an entry sweeps every 250 ms, which finds the workers whose pause is over
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(0.001)
        running = sum(len(worker.in_flight) for worker in harness.workers)
        assert harness.dispatcher.running_count == running <= 18
        if placement is not configuration.PlacementName.WAIT_FOR_FASTER:
            idle = any(worker.free_slots and worker.is_available(now) for worker in harness.workers)
            assert running == 18 or not harness.dispatcher.queued_count or not idle
        for number in rng.sample(range(10), 4):
            is_refused = refuses and rng.random() < 0.5
            harness.end_oldest_tasks(
                number, "not_run" if is_refused else "completed", "no_slot" if is_refused else "", count=1
            )
    for _ in range(300):
        if refuses:
            harness.dispatcher.sweep()
        await asyncio.sleep(0.1)
        for number in range(10):
            harness.end_oldest_tasks(number, "completed")

    assert {job.id for job in harness.finished} == {job.id for job in admitted}
    starts = sum(len(link.starts()) for link in harness.links)
    assert starts == harness.counters.get("tasks_completed") + harness.counters.get("tasks_returned")
    assert harness.dispatcher.queued_count == harness.dispatcher.running_count == 0


class _AllGroups(worker_groups.WorkerGroups):
    """Naive baseline that plans every group in every dispatch."""

    def take_dirty(self) -> list[worker_groups.WorkerGroup]:
        self.mark_all_dirty()
        return super().take_dirty()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("placement", configuration.PlacementName)
async def test_planning_only_changed_groups_sends_the_same_as_planning_all(
    make_harness: HarnessType, monkeypatch: pytest.MonkeyPatch, placement: configuration.PlacementName, seed: int
) -> None:
    """Guards against a change after which the group is not marked for planning."""
    own = make_harness(6, slots=2, placement=placement)
    with monkeypatch.context() as naive:
        naive.setattr(worker_groups, "WorkerGroups", _AllGroups)
        baseline = make_harness(6, slots=2, placement=placement)
    rng = random.Random(seed)
    for number in range(120):
        sizes, step, reason = (
            rng.choice([1, 2, 9]),
            rng.choice([0.001, 0.01, 0.1]),
            rng.choice([""] * 9 + ["no_slot"]),
        )
        ending, cancelled = rng.sample(range(6), 3), rng.random() < 0.2
        for harness in (own, baseline):
            job = _job(number, sizes, declared=50.0 * (1 + number % 5))
            harness.dispatcher.admit(job)
            for worker in ending:
                harness.end_oldest_tasks(worker, "not_run" if reason else "completed", reason, count=1)
            if cancelled:
                harness.dispatcher.cancel(job)
        await asyncio.sleep(step)
        assert [link.posted for link in own.links] == [link.posted for link in baseline.links]
    assert sum(len(link.starts()) for link in own.links) > 60
