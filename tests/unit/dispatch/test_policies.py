"""Compares ordering and placement policies with naive implementations, and tests the run time estimates."""

import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge import dispatch, ids, jobs
from cactusgauge.dispatch import ordering as ordering_module
from cactusgauge.dispatch import placement as placement_module
from cactusgauge.dispatch import run_time_estimator
from tests.unit.dispatch import harness as harness_module

ORDERINGS = [dispatch.ArrivalOrdering(), dispatch.FewestRemainingOrdering()]
PLACEMENTS = [dispatch.AnyFreePlacement(), dispatch.FastestFreePlacement(), dispatch.WaitForFasterPlacement()]
SIZES = strategies.lists(strategies.integers(1, 6), min_size=1, max_size=8)
repeatable = hypothesis.settings(derandomize=True, deadline=None, max_examples=80)


@repeatable
@hypothesis.given(SIZES, strategies.lists(strategies.tuples(strategies.integers(0, 99), strategies.booleans())))
@pytest.mark.parametrize("ordering", ORDERINGS, ids=lambda each: type(each).__name__)
def test_queue_gives_the_task_that_a_linear_scan_finds(
    ordering: dispatch.TaskOrdering, sizes: list[int], steps: list[tuple[int, bool]]
) -> None:
    """Guards against a job that keeps its position although its rank fell, and against lost or repeated tasks."""
    queue = dispatch.JobQueue(ordering, dispatch.RunTimeEstimator())
    made = [harness_module.make_job(number, [100.0] * size, at=number / 2) for number, size in enumerate(sizes)]
    for job in made:
        queue.add(job, range(job.task_count))
    sent: list[tuple[jobs.Job, int]] = []
    for pick, sends in steps:
        waiting = [job for job in made if job.queued_count]
        assert len(queue) == sum(job.queued_count for job in waiting)
        in_order = list(queue.tasks())
        assert list(queue.tasks(1 + pick % 5)) == in_order[:: 1 + pick % 5]
        assert sorted((job.id, task.index) for job, task in in_order) == sorted(
            (job.id, task.index) for job in waiting for task in job.queued_tasks
        )
        if waiting:
            first, task = next(queue.tasks())
            assert first is min(waiting, key=lambda job: (ordering.job_key(job), job.id.number))
            if sends:
                queue.remove_task(first, first.mark_sent(task.index))
                sent.append((first, task.index))
                continue
        if sent:
            job, index = sent.pop(pick % len(sent))
            if pick % 3 and job.return_to_queue(index):
                queue.add(job, [index])
            else:
                job.finish_task(index, jobs.TaskState.COMPLETED, 0)
                queue.update_rank(job)


@repeatable
@hypothesis.given(strategies.integers(1, 340), strategies.integers(1, 340), strategies.floats(0, 1000))
def test_no_job_is_overtaken_for_longer_than_the_ageing_allows(large: int, small: int, at: float) -> None:
    """Guards against starvation of large jobs by a stream of small ones."""
    ordering = dispatch.FewestRemainingOrdering()
    bound_s = large / ordering_module.AGEING_TASKS_PER_S
    waiting = harness_module.make_job(0, [None] * large, at=at)
    later = harness_module.make_job(1, [None] * small, at=at + bound_s)

    assert ordering.job_key(waiting) <= ordering.job_key(later)


def _naive_plan(
    tasks: list[tuple[jobs.Job, jobs.Task]],
    slots: list[dispatch.WorkerSlots],
    estimator: dispatch.RunTimeEstimator,
    now: float,
    budget: int,
) -> list[tuple[jobs.Job, int, str]]:
    free_at = [(now, each.worker.name) for each in slots for _ in range(each.free)]
    free_at += [(until, each.worker.name) for each in slots for until in each.busy_until]
    planned: list[tuple[jobs.Job, int, str]] = []
    for job, task in tasks[: placement_module.LOOKAHEAD_TASKS_PER_SLOT * len(free_at)]:
        if len(planned) >= min(budget, sum(each.free for each in slots)):
            break
        run_s = estimator.expected_run_s(task.request)
        ends = [at + run_s * estimator.slowness(name, task.request.kind) for at, name in free_at]
        chosen = ends.index(min(ends))
        if free_at[chosen][0] <= now:
            planned.append((job, task.index, free_at[chosen][1]))
        free_at[chosen] = (ends[chosen], free_at[chosen][1])
    return planned


@repeatable
@hypothesis.given(
    SIZES,
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3), strategies.integers(0, 3), strategies.sampled_from([50.0, 130, 210])
        ),
        min_size=1,
        max_size=4,
    ),
    strategies.integers(-1, 9),
)
@pytest.mark.parametrize("placement", PLACEMENTS, ids=lambda each: type(each).__name__)
def test_plans_stay_within_free_slots_and_agree_with_a_naive_plan(
    placement: dispatch.WorkerPlacement, sizes: list[int], fleet: list[tuple[int, int, float]], budget: int
) -> None:
    """Guards against exceeding the free slots or the budget, a task planned twice, and slots idle without a reason."""
    estimator = dispatch.RunTimeEstimator()
    slots = []
    for number, (free, busy, run_ms) in enumerate(fleet):
        worker, _ = harness_module.make_worker(str(number))
        running = harness_module.make_job(100 + number, [None] * busy) if busy else None
        tasks = [(running, running.task_at(index), 0.1 * index) for index in range(busy)] if running else []
        worker.assign(tasks, 0, 0.0)
        estimator.record_completion(
            worker.name, jobs.TaskRequest(payload="", kind="k", duration_ms=100), run_ms / 1000, 0
        )
        slots.append(dispatch.WorkerSlots(worker, free, 0.05))
    waiting = [harness_module.make_job(number, [50.0 + 37 * size] * size) for number, size in enumerate(sizes)]
    queue = dispatch.JobQueue(dispatch.FewestRemainingOrdering(), estimator)
    for job in waiting:
        queue.add(job, range(job.task_count))
    in_order = list(queue.tasks())

    planned = placement.plan(queue.tasks(), slots, estimator, 0.05, budget)

    chosen = [(each.job, each.task.index, each.worker.name) for each in planned]
    usable = max(0, min(budget, sum(each.free for each in slots)))
    assert len({(job.id, index) for job, index, _ in chosen}) == len(chosen) <= usable
    assert all(sum(name == each.worker.name for _, _, name in chosen) <= each.free for each in slots)
    if isinstance(placement, dispatch.WaitForFasterPlacement):
        assert chosen == _naive_plan(in_order, slots, estimator, 0.05, budget)
        return
    by_speed = isinstance(placement, dispatch.FastestFreePlacement)
    order = sorted(slots, key=lambda each: estimator.slowness(each.worker.name)) if by_speed else slots
    names = [each.worker.name for each in order for _ in range(each.free)]
    assert [(job, index) for job, index, _ in chosen] == [(job, task.index) for job, task in in_order[:usable]]
    assert [name for _, _, name in chosen] == names[: len(chosen)]


def test_many_tasks_do_not_all_wait_for_the_same_fast_slot() -> None:
    """Guards against idle slow slots because each of many tasks is expected to run on the same fast slot."""
    estimator = dispatch.RunTimeEstimator()
    request = jobs.TaskRequest(payload="", kind="k", duration_ms=100)
    for _ in range(200):
        for name, run_s in (("slow", 0.2), ("fast", 0.05)):
            estimator.record_completion(ids.AgentName(name), request, run_s, 0)
    slow, _ = harness_module.make_worker("slow")
    fast, _ = harness_module.make_worker("fast")
    waiting = harness_module.make_job(1, [100.0] * 40)
    queue = dispatch.JobQueue(dispatch.FewestRemainingOrdering(), estimator)
    queue.add(waiting, range(40))
    slots = [dispatch.WorkerSlots(slow, 8, 0.0), dispatch.WorkerSlots(fast, 8, 0.0)]

    planned = dispatch.WaitForFasterPlacement().plan(queue.tasks(), slots, estimator, 0.0, 100)

    assert sorted(each.worker.name for each in planned) == ["fast"] * 8 + ["slow"] * 8


def test_overdue_task_is_not_expected_to_end_at_once() -> None:
    """Guards against tasks that wait for the slots of a hanging worker."""
    worker, _ = harness_module.make_worker("w")
    running = harness_module.make_job(1, [None])
    worker.assign([(running, running.task_at(0), 0.1)], 0, 0.0)

    assert dispatch.WorkerSlots(worker, 0, 20.0).busy_until == [25.0]


@pytest.mark.parametrize("factor", [0.1, 1.0, 10.0])
def test_declarations_wrong_by_a_constant_factor_are_corrected(factor: float) -> None:
    """Guards against wrong estimates for a caller that declares run times ten times too long or too short."""
    estimator = dispatch.RunTimeEstimator()
    for number in range(200):
        run_s = 0.05 * (1 + number % 4)
        request = jobs.TaskRequest(payload="", kind="k", duration_ms=run_s * 1000 * factor)
        estimator.record_completion(ids.AgentName("w"), request, run_s, 0)

    expected_s = estimator.expected_run_s(request) * estimator.slowness(ids.AgentName("w"), "k")

    assert expected_s == pytest.approx(run_s, rel=0.1)


def test_random_declarations_do_not_override_the_mean_of_the_kind() -> None:
    """Guards against random declarations that override measured run times."""
    estimator = dispatch.RunTimeEstimator()
    for number in range(200):
        request = jobs.TaskRequest(payload="", kind="k", duration_ms=100 * (0.1, 10)[number % 2])
        estimator.record_completion(ids.AgentName("w"), request, 0.1, 0)

    assert estimator.expected_run_s(request) * estimator.slowness(ids.AgentName("w"), "k") == pytest.approx(
        0.1, rel=0.1
    )


def test_slowness_is_learned_for_a_kind_that_runs_on_one_worker_only() -> None:
    """Guards against a general slowness that drifts because a rare kind runs on one worker only."""
    estimator = dispatch.RunTimeEstimator()
    common, rare = (jobs.TaskRequest(payload="", kind=kind) for kind in ("common", "rare"))
    for _ in range(2000):
        estimator.record_completion(ids.AgentName("fast"), common, 0.05, 0)
        estimator.record_completion(ids.AgentName("slow"), common, 0.2, 0)
        estimator.record_completion(ids.AgentName("fast"), rare, 1.0, 0)

    fast, slow = (estimator.slowness(ids.AgentName(name)) for name in ("fast", "slow"))
    assert slow / fast == pytest.approx(4, rel=0.2)


def test_idle_worker_is_measured_again_as_an_average_one() -> None:
    """Guards against a worker that was slow once and never gets tasks again."""
    estimator = dispatch.RunTimeEstimator()
    request = jobs.TaskRequest(payload="", kind="k", duration_ms=100)
    for _ in range(100):
        estimator.record_completion(ids.AgentName("slow"), request, 1.0, 0)
        estimator.record_completion(ids.AgentName("fast"), request, 0.1, 0)

    assert not estimator.is_slowness_stale(ids.AgentName("slow"), run_time_estimator.SLOWNESS_MAX_AGE_S)
    assert estimator.is_slowness_stale(ids.AgentName("slow"), run_time_estimator.SLOWNESS_MAX_AGE_S + 1)
    estimator.reset_slowness(ids.AgentName("slow"))
    assert estimator.slowness(ids.AgentName("slow"), "k") == 1.0
