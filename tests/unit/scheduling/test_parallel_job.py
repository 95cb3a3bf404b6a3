import pytest

from cactusgauge import ids, scheduling
from cactusgauge.scheduling import parallel_job

POLICY = scheduling.QueuePolicy(ids.QueueName("q"), ids.ServiceName("s"), 0, 2, 1.6, 0.06)
TASKS = 200
DEPENDENT_STEPS = 50


def _job() -> scheduling.ParallelJob:
    first = scheduling.Step(TASKS, scheduling.Resources(), 0.1)
    dependent = scheduling.Step(1, scheduling.Resources(), 0.1, depends_on=(0,))
    steps = [first, *[dependent] * DEPENDENT_STEPS]
    return scheduling.ParallelJob(ids.JobKey("j"), POLICY, steps, "", 0.0, 8.0, ids.TaskKey)


def test_dependent_tasks_are_unblocked_by_the_last_task_of_a_step() -> None:
    """Guards against a step that starts before the tasks that it depends on are done, or never."""
    job = _job()
    unblocked = [len(job.mark_done(task)) for task in job.tasks[0]]
    assert unblocked == [0] * (TASKS - 1) + [DEPENDENT_STEPS]
    assert job.open_count == DEPENDENT_STEPS


def test_work_per_ended_task_does_not_grow_with_the_job(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an entry that stalls with each ended task of a large job that has many steps."""
    job = _job()
    reads = 0
    original: property = vars(parallel_job.ParallelTask)["phase"]

    def count_read(task: parallel_job.ParallelTask) -> parallel_job.TaskPhase:
        nonlocal reads
        reads += 1
        return task._phase

    monkeypatch.setattr(parallel_job.ParallelTask, "phase", property(count_read, original.fset))
    for task in job.tasks[0]:
        job.mark_done(task)
    assert reads <= TASKS + DEPENDENT_STEPS
