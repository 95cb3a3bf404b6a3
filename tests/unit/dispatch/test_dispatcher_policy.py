"""Admission, cancellation and bad workers at the dispatcher, on a paused clock."""

import asyncio
import random

import pytest

from cactusgauge import configuration, exceptions, ids, jobs
from cactusgauge.dispatch import worker_groups
from tests.unit.dispatch import bench as bench_module

pytestmark = pytest.mark.looptime
Bench = type[bench_module.DispatchBench]


async def _learn(bench: bench_module.DispatchBench) -> None:
    """Let the dispatcher see 100 ms for tasks of the default kind."""
    bench.dispatcher.admit(bench_module.make_job(0, [None] * 40, at=asyncio.get_running_loop().time()))
    while not bench.finished:
        await asyncio.sleep(0.1)
        for number in range(len(bench.workers)):
            bench.answer(number, "completed")


def _job(number: int, count: int, deadline_ms: int = 30_000, declared: float | None = None) -> jobs.Job:
    return bench_module.make_job(number, [declared] * count, asyncio.get_running_loop().time(), deadline_ms)


async def test_job_over_the_quota_is_refused_whole_with_a_hint(bench: Bench) -> None:
    """Guards against a job that is queued in part, and against retries that cannot succeed."""
    made = bench(1, max_queued_tasks=20)
    made.dispatcher.admit(_job(1, 15))

    with pytest.raises(exceptions.OverloadedError) as overloaded:
        made.dispatcher.admit(_job(2, 6))
    with pytest.raises(exceptions.JobNeverFitsError) as never:
        made.dispatcher.admit(_job(3, 21))

    assert made.dispatcher.queued_count == 15
    assert [job.id.number for job in made.dispatcher.open_jobs] == [1]
    assert overloaded.value.retry_after_s and overloaded.value.retry_after_s >= 1
    assert never.value.retry_after_s is None
    assert overloaded.value.ran is never.value.ran is exceptions.ExecutionStatus.NOTHING_RAN


@pytest.mark.parametrize("groups", [1, 4])
async def test_deadline_that_cannot_be_met_is_refused_early(
    bench: Bench, monkeypatch: pytest.MonkeyPatch, groups: int
) -> None:
    """Guards against jobs that wait for their deadline only to be refused then."""
    monkeypatch.setattr(worker_groups, "GROUP_WORKERS", 4 // groups)
    made = bench(4, slots=2)
    await _learn(made)

    with pytest.raises(exceptions.DeadlineTooShortError) as too_short:
        made.dispatcher.admit(_job(1, 1, deadline_ms=20))
    made.dispatcher.admit(_job(2, 80))
    with pytest.raises(exceptions.DeadlineUnattainableError) as unattainable:
        made.dispatcher.admit(_job(3, 300, deadline_ms=4500))
    made.dispatcher.admit(_job(4, 1, deadline_ms=500))  # goes before the large job

    assert too_short.value.retry_after_s is None
    assert unattainable.value.retry_after_s == 1
    assert made.dispatcher.queued_count == 81


async def test_declared_times_alone_refuse_nothing(bench: Bench) -> None:
    """Guards against a job refused because of a declaration that is wrong by a factor of ten."""
    made = bench(1)

    made.dispatcher.admit(_job(1, 1, deadline_ms=200, declared=1000))

    assert made.dispatcher.queued_count == 1


async def test_running_tasks_stay_within_the_quota_of_the_workspace(bench: Bench) -> None:
    """Guards against a workspace that takes more slots than it was given."""
    made = bench(2, max_running_tasks=5)
    made.dispatcher.admit(_job(1, 30))
    while not made.finished:
        await asyncio.sleep(0.1)
        assert made.dispatcher.running_count <= 5
        made.answer(0, "completed", count=1)
        made.answer(1, "completed", count=1)


async def test_cancelling_most_of_the_queue_answers_every_job(bench: Bench) -> None:
    """Guards against jobs without an answer and second starts after a burst of cancellations."""
    made = bench(2)
    source = random.Random(3)
    admitted = [_job(number, source.randint(1, 30)) for number in range(200)]
    for job in admitted:
        made.dispatcher.admit(job)
    await asyncio.sleep(0.01)

    for job in source.sample(admitted, 180):
        made.dispatcher.cancel(job)
    while len(made.finished) < len(admitted):
        await asyncio.sleep(0.1)
        assert made.answer(0, "completed") + made.answer(1, "completed")

    assert {job.id for job in made.finished} == {job.id for job in admitted}
    starts = [ids.TaskId(each.session, each.number, each.task) for link in made.links for each in link.starts()]
    assert len(starts) == len(set(starts)) == made.counters.get("tasks_completed")
    assert made.dispatcher.queued_count == made.dispatcher.running_count == 0


async def test_failing_worker_gets_only_probes(bench: Bench) -> None:
    """Guards against a fast failure being taken for a free slot again and again."""
    made = bench(4)
    for number in range(100):
        made.dispatcher.admit(_job(number, 20))
    failures = 0
    for _ in range(40):
        await asyncio.sleep(0.1)
        failures += made.answer(0, "failed", jobs.Reason.BACKEND_ERROR.value)
        for worker in (1, 2, 3):
            made.answer(worker, "completed")

    assert failures <= 8 + 2  # the slots filled at first, then probes after 1 and 2 s more
    assert made.counters.get("worker_quarantined") >= 1


@pytest.mark.parametrize(("ran_s", "quarantined"), [(0.2, 0), (20.0, 1)])
async def test_only_long_overdue_tasks_count_against_a_worker_at_their_deadline(
    bench: Bench, ran_s: float, quarantined: int
) -> None:
    """Guards against healthy workers quarantined because an overload lets jobs run into their deadlines."""
    made = bench(4)
    for number in range(100):
        made.dispatcher.admit(_job(number, 1))
    await asyncio.sleep(ran_s)
    made.answer(0, "unknown", jobs.Reason.DEADLINE.value)

    assert made.counters.get("worker_quarantined") == quarantined


async def test_refused_start_is_sent_again_and_unknown_one_is_not(bench: Bench) -> None:
    """Guards against a second start without proof that the first one did not happen."""
    made = bench(1, slots=2)
    made.dispatcher.admit(_job(1, 2))
    await asyncio.sleep(0.01)
    made.answer(0, "not_run", jobs.Reason.NO_SLOT.value, count=1)
    made.answer(0, "unknown", jobs.Reason.CONNECTION_LOST.value, count=1)
    await asyncio.sleep(1.1)  # a refusal within the credit pauses the worker for 1 s
    made.dispatcher.sweep()
    await asyncio.sleep(0.01)
    made.answer(0, "completed")

    assert [start.task for start in made.links[0].starts()] == [0, 1, 0]
    assert made.finished[0].state is jobs.JobState.FAILED


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("placement", configuration.PlacementName)
async def test_groups_of_workers_leave_no_task_and_no_slot_behind(
    bench: Bench, monkeypatch: pytest.MonkeyPatch, placement: configuration.PlacementName, seed: int
) -> None:
    """Guards against slots of groups that nobody plans, wrong counts of running tasks, and second starts."""
    monkeypatch.setattr(worker_groups, "GROUP_WORKERS", 3)
    source = random.Random(seed)
    refuses = seed % 2 == 1
    made = bench(10, slots=2, placement=placement, max_running_tasks=18)
    admitted = [_job(number, source.choice([1, 1, 2, 7, 25]), 1_000_000) for number in range(60)]
    for job in admitted:
        made.dispatcher.admit(job)
        await asyncio.sleep(source.choice([0.001, 0.03, 0.1]))
        if refuses:
            made.dispatcher.sweep()  # as an entry does every 250 ms; finds the workers whose pause is over
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(0.001)
        running = sum(len(worker.in_flight) for worker in made.workers)
        assert made.dispatcher.running_count == running <= 18
        if placement is not configuration.PlacementName.WAIT_FOR_FASTER:
            idle = any(worker.free_slots and worker.is_available(now) for worker in made.workers)
            assert running == 18 or not made.dispatcher.queued_count or not idle
        for number in source.sample(range(10), 4):
            is_refused = refuses and source.random() < 0.5
            made.answer(number, "not_run" if is_refused else "completed", "no_slot" if is_refused else "", count=1)
    for _ in range(300):
        if refuses:
            made.dispatcher.sweep()
        await asyncio.sleep(0.1)
        for number in range(10):
            made.answer(number, "completed")

    assert {job.id for job in made.finished} == {job.id for job in admitted}
    starts = sum(len(link.starts()) for link in made.links)
    assert starts == made.counters.get("tasks_completed") + made.counters.get("tasks_returned")
    assert made.dispatcher.queued_count == made.dispatcher.running_count == 0


class _AllGroups(worker_groups.WorkerGroups):
    """The naive baseline: every group is planned in every dispatch."""

    def take_touched(self) -> list[worker_groups.WorkerGroup]:
        self.touch_all()
        return super().take_touched()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("placement", configuration.PlacementName)
async def test_one_group_sends_what_a_plan_in_every_dispatch_sends(
    bench: Bench, monkeypatch: pytest.MonkeyPatch, placement: configuration.PlacementName, seed: int
) -> None:
    """Guards against a change that nobody takes for a reason to plan again."""
    own = bench(6, slots=2, placement=placement)
    with monkeypatch.context() as naive:
        naive.setattr(worker_groups, "WorkerGroups", _AllGroups)
        baseline = bench(6, slots=2, placement=placement)
    source = random.Random(seed)
    for number in range(120):
        sizes, step, reason = (
            source.choice([1, 2, 9]),
            source.choice([0.001, 0.01, 0.1]),
            source.choice([""] * 9 + ["no_slot"]),
        )
        ending, cancelled = source.sample(range(6), 3), source.random() < 0.2
        for made in (own, baseline):
            job = _job(number, sizes, declared=50.0 * (1 + number % 5))
            made.dispatcher.admit(job)
            for worker in ending:
                made.answer(worker, "not_run" if reason else "completed", reason, count=1)
            if cancelled:
                made.dispatcher.cancel(job)
        await asyncio.sleep(step)
        assert [link.posted for link in own.links] == [link.posted for link in baseline.links]
    assert sum(len(link.starts()) for link in own.links) > 60
