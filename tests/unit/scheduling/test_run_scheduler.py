import pytest

from cactusgauge import ids, scheduling
from tests.unit.scheduling import conftest

DONE = scheduling.EndKind.DONE
FAILED = scheduling.EndKind.FAILED
LOST = scheduling.EndKind.LOST
STOPPED = scheduling.EndKind.STOPPED


async def test_job_succeeds_when_all_tasks_are_done(harness: conftest.SchedulerHarness) -> None:
    """Guards against a job result that is sent before the last task is done."""
    harness.worker("a")
    assert harness.submit(harness.job("j", tasks=2)) is None
    harness.end(harness.started[0], DONE)
    assert not harness.finished
    harness.end(harness.started[1], DONE)
    assert harness.finished == [("j", scheduling.JobResult.SUCCEEDED, "", 0)]


async def test_starts_stay_within_the_reported_free_resources(harness: conftest.SchedulerHarness) -> None:
    """Guards against starts that exceed the capacity while a report is in transit."""
    harness.worker("a", cores=3)
    harness.submit(harness.job("j", tasks=5))
    assert len(harness.started) == 3


async def test_refused_start_waits_for_the_next_report(harness: conftest.SchedulerHarness) -> None:
    """Guards against repeated starts on a worker that has just refused one."""
    agent = harness.worker("a")
    harness.submit(harness.job("j"))
    view = harness.fleet.get(agent)
    assert view is not None
    view.handle_refusal(1)
    harness.end(harness.started[0], scheduling.EndKind.NOT_STARTED, reason="no_room")
    assert len(harness.started) == 1
    harness.worker("a", free=5)
    assert len(harness.started) == 2


async def test_lost_run_starts_again_with_a_higher_number(harness: conftest.SchedulerHarness) -> None:
    """Guards against a restart with a run number that the worker refuses as outdated."""
    harness.worker("a")
    harness.submit(harness.job("j"))
    harness.end(harness.started[0], LOST)
    assert len(harness.started) == 2
    assert harness.started[1][1].run > harness.started[0][1].run


async def test_job_fails_after_its_allowed_failures(harness: conftest.SchedulerHarness) -> None:
    """Guards against starts after the failure limit and against lost runs that count as failures."""
    harness.worker("a")
    harness.submit(harness.job("j", max_failures=2))
    harness.end(harness.started[0], LOST)
    harness.end(harness.started[1], FAILED)
    harness.end(harness.started[2], FAILED)
    assert len(harness.started) == 3
    assert harness.finished[0][1] is scheduling.JobResult.FAILED


async def test_failed_task_goes_to_another_worker(harness: conftest.SchedulerHarness) -> None:
    """Guards against retrying a task only on the same faulty worker."""
    harness.worker("a")
    harness.submit(harness.job("j", max_failures=3))
    harness.worker("b")
    harness.end(harness.started[0], FAILED)
    assert [agent for agent, _ in harness.started] == ["a", "b"]


async def test_canceled_job_is_not_run_again_before_its_runs_have_ended(harness: conftest.SchedulerHarness) -> None:
    """Guards against two concurrent runs of one task when a caller resubmits its job."""
    harness.worker("a")
    harness.worker("b")
    harness.submit(harness.job("j"))
    harness.scheduler.cancel(ids.JobKey("j"), scheduling.JobResult.UNFINISHED, "caller_left")
    assert harness.stopped == [(*harness.started[0], "unfinished")]
    harness.submit(harness.job("j"))
    assert len(harness.started) == 1
    harness.end(harness.started[0], STOPPED)
    assert len(harness.started) == 2


async def test_steps_start_in_the_order_of_their_dependencies(harness: conftest.SchedulerHarness) -> None:
    """Guards against a start before all tasks of an earlier step are done."""
    harness.worker("a")
    one = scheduling.Step(2, scheduling.Resources(1000, 64), 0.1)
    two = scheduling.Step(1, scheduling.Resources(1000, 64), 0.1, depends_on=(0,))
    harness.submit(harness.job("j", steps=[one, two]))
    harness.end(harness.started[0], DONE)
    assert len(harness.started) == 2
    harness.end(harness.started[1], DONE)
    assert harness.started[2][1].step == 1


async def test_required_label_and_limit_for_each_worker(harness: conftest.SchedulerHarness) -> None:
    """Guards against a start on a worker without the required label or beyond the limit of tasks per worker."""
    harness.worker("a", labels=("x",))
    harness.worker("b")
    step = scheduling.Step(3, scheduling.Resources(1000, 64), 0.1, required_label="x", max_per_worker=2)
    harness.submit(harness.job("j", steps=[step]))
    assert [agent for agent, _ in harness.started] == ["a", "a"]


async def test_job_that_fits_no_worker_is_refused_at_once(harness: conftest.SchedulerHarness) -> None:
    """Guards against a job that waits until its deadline although it exceeds the capacity of every worker."""
    harness.worker("a", cores=4)
    refusal = harness.submit(harness.job("j", cores=5))
    assert refusal is not None and refusal.code == "never_fits"


async def test_job_without_workers_is_refused_at_once(harness: conftest.SchedulerHarness) -> None:
    """Guards against a caller that waits although no worker can serve its job."""
    refusal = harness.submit(harness.job("j"))
    assert refusal is not None and refusal.code == "no_workers"


async def test_nothing_starts_after_a_suspension_until_messages_are_read(harness: conftest.SchedulerHarness) -> None:
    """Guards against running a job that its caller resubmitted elsewhere while this process was suspended."""
    harness.worker("a", free=0)
    harness.submit(harness.job("j"))
    harness.advance(0.05)
    harness.now += 2.0
    harness.worker("a", free=10)
    assert not harness.started
    harness.scheduler.tick(harness.now)
    harness.worker("a", free=10)
    assert not harness.started


async def test_no_start_after_the_callers_deadline(harness: conftest.SchedulerHarness) -> None:
    """Guards against starting work whose caller no longer waits."""
    harness.worker("a", free=0)
    harness.submit(harness.job("j", deadline_s=0.02, estimate_s=0.001))
    harness.now += 0.03
    harness.worker("a", free=10)
    assert not harness.started


async def test_stragglers_of_a_slow_worker_are_moved(harness: conftest.SchedulerHarness) -> None:
    """Guards against jobs that wait for tasks on a worker that makes no progress."""
    for name in ("b", "c"):
        harness.worker(name, free=0)
    harness.worker("a")
    harness.submit(harness.job("j", estimate_s=0.1))
    harness.worker("a", slowness=6.0)
    harness.worker("b")
    harness.advance(0.6)
    assert harness.stopped == [(*harness.started[0], "straggler")]
    harness.end(harness.started[0], STOPPED)
    assert harness.started[1][0] in ("b", "c")


@pytest.mark.parametrize("slowness", [1.0, 1.5])
async def test_long_task_of_a_healthy_worker_is_not_moved(harness: conftest.SchedulerHarness, slowness: float) -> None:
    """Guards against discarding work because a task takes longer than estimated."""
    harness.worker("b")
    harness.worker("c", free=0)
    harness.worker("a", slowness=slowness)
    harness.submit(harness.job("j", estimate_s=0.1))
    harness.advance(2.0)
    assert not harness.stopped


async def test_job_whose_run_was_lost_is_not_reported_as_not_run(harness: conftest.SchedulerHarness) -> None:
    """Guards against reporting a job as not run although one of its runs was lost and may have started."""
    harness.worker("a")
    harness.submit(harness.job("j", estimate_s=0.1))
    harness.end(harness.started[0], LOST)
    harness.worker("a", free=0)
    harness.end(harness.started[1], scheduling.EndKind.NOT_STARTED, reason="no_room")
    harness.advance(11.0)
    assert [result for _, result, _, _ in harness.finished] == [scheduling.JobResult.UNFINISHED]


async def test_job_whose_starts_were_all_refused_is_reported_as_not_run(harness: conftest.SchedulerHarness) -> None:
    """Guards against a caller that must assume that its job ran although every start was refused."""
    agent = harness.worker("a")
    harness.submit(harness.job("j", estimate_s=0.1))
    harness.end(harness.started[0], scheduling.EndKind.NOT_STARTED, reason="no_room")
    view = harness.fleet.get(agent)
    assert view is not None
    harness.worker("a", free=0)
    harness.end(harness.started[1], scheduling.EndKind.NOT_STARTED, reason="no_room")
    harness.advance(1.0)
    assert [result for _, result, _, _ in harness.finished] == [scheduling.JobResult.NOT_RUN]


async def test_refused_starts_do_not_count_as_progress(harness: conftest.SchedulerHarness) -> None:
    """Guards against counting refused starts, which lost to starts of other entries, in the drain rate."""
    harness.scheduler.entry_count = 100
    agent = harness.worker("a", cores=10)
    for number in range(40):
        harness.submit(harness.job(f"j{number}", cores=10, estimate_s=1.0))
        harness.end(harness.started[-1], scheduling.EndKind.NOT_STARTED, reason="no_room")
        view = harness.fleet.get(agent)
        assert view is not None
        harness.worker("a", cores=10, free=10)
        harness.end(harness.started[-1], scheduling.EndKind.NOT_STARTED, reason="no_room")
    last = harness.job("last", cores=10, estimate_s=1.0)
    harness.submit(last)
    assert last.admission["drain_core_s_per_s"] < 30
