from cactusgauge import ids, scheduling
from cactusgauge.scheduling import crash_ledger

AGENT = ids.AgentName("a")
INCARNATION = ids.AgentIncarnation("i")
A, B, C = (ids.TaskKey(ids.JobKey(name), 0, 0) for name in "abc")


def _crash(
    generation: int,
    recent: list[ids.TaskKey],
    others: list[ids.TaskKey] | None = None,
    unconfirmed: list[ids.TaskKey] | None = None,
) -> scheduling.WorkerCrash:
    tasks = scheduling.TasksAtCrash(recent, unconfirmed or [], others or [])
    return scheduling.WorkerCrash(AGENT, INCARNATION, generation, tasks)


def test_task_is_at_its_limit_after_two_crashes() -> None:
    """Guards against a task that crashes a third worker."""
    ledger = scheduling.CrashLedger()
    ledger.record(_crash(1, [A]), 0.0)
    assert ledger.is_suspect(A) and not ledger.is_at_limit(A.job)
    ledger.record(_crash(2, [A]), 1.0)
    assert ledger.is_at_limit(A.job)


def test_task_beside_a_suspect_is_not_suspected() -> None:
    """Guards against giving up jobs whose tasks ran beside the cause of a crash."""
    ledger = scheduling.CrashLedger()
    ledger.record(_crash(1, [A, B], [C]), 0.0)
    assert ledger.is_suspect(B) and not ledger.is_suspect(C)
    ledger.record(_crash(2, [A, C], [B]), 1.0)
    assert [ledger.is_at_limit(task.job) for task in (A, B, C)] == [True, False, False]
    assert not ledger.is_suspect(C)


def test_task_that_may_not_have_started_is_not_given_up() -> None:
    """Guards against giving up a job of whose starts one was on its way when the worker crashed."""
    ledger = scheduling.CrashLedger()
    ledger.record(_crash(1, [B], unconfirmed=[A]), 0.0)
    assert ledger.is_suspect(A)
    ledger.record(_crash(2, [A]), 1.0)
    assert not ledger.is_at_limit(A.job)


def test_crash_reported_by_several_processes_counts_once() -> None:
    """Guards against giving a job up after one crash of which several agents told the entry."""
    ledger = scheduling.CrashLedger()
    assert ledger.record(_crash(1, [A]), 0.0)
    assert not ledger.record(_crash(1, [A]), 0.1)
    assert not ledger.is_at_limit(A.job)


def test_task_under_four_crashes_is_at_its_limit_whatever_the_cause() -> None:
    """Guards against a task that crashes its workers late in its run and is never attributed a crash."""
    ledger = scheduling.CrashLedger()
    for generation in range(4):
        assert not ledger.is_at_limit(A.job)
        ledger.record(_crash(generation, [B], [A]), float(generation))
    assert ledger.is_at_limit(A.job)


def test_done_task_is_no_suspect() -> None:
    """Guards against the suspicion of a task that has been shown to be harmless."""
    ledger = scheduling.CrashLedger()
    ledger.record(_crash(1, [A]), 0.0)
    ledger.clear(A)
    assert not ledger.is_suspect(A)


def test_crashes_are_forgotten() -> None:
    """Guards against records that grow without limit."""
    ledger = scheduling.CrashLedger()
    ledger.record(_crash(1, [A]), 0.0)
    ledger.record(_crash(2, [A]), 0.0)
    ledger.record(_crash(3, [B]), crash_ledger.MEMORY_S + 1.0)
    assert not ledger.is_suspect(A) and not ledger.is_at_limit(A.job)
    assert ledger.record(_crash(1, [C]), crash_ledger.MEMORY_S + 2.0)
