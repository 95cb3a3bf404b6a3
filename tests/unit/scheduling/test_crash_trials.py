"""Replays worker crashes, which are reported to the scheduler as an agent reports them."""

from cactusgauge import ids, scheduling
from tests.unit.scheduling import conftest

LOST = scheduling.EndKind.LOST
WORKERS = 10


class _Crashes:
    """Reports crashes of workers to a scheduler, with all of the runs there as recently started."""

    def __init__(self, harness: conftest.SchedulerHarness) -> None:
        self._harness = harness
        self._count = 0

    def crash(self, agent: ids.AgentName) -> None:
        """Let a worker crash: its runs are lost and it is absent."""
        self._count += 1
        harness = self._harness
        runs = harness.scheduler.runs_on_agent(agent)
        crash = scheduling.WorkerCrash(
            agent, ids.AgentIncarnation(agent), self._count, scheduling.TasksAtCrash([run.task for run in runs], [], [])
        )
        self.set_phase(agent, scheduling.WorkerPhase.ABSENT)
        harness.scheduler.record_crash(crash, harness.now)
        for run in runs:
            harness.end((agent, run), LOST, reason="lease_over")

    def set_phase(self, agent: ids.AgentName, phase: scheduling.WorkerPhase) -> None:
        """Report a worker without runs in a phase."""
        view = self._harness.fleet.get(agent)
        assert view is not None and view.report is not None
        report = view.report._replace(phase=phase, free=view.report.capacity)
        self._harness.scheduler.update_worker(view, report, 10_000, self._harness.now)


def _harness() -> conftest.SchedulerHarness:
    harness = conftest.SchedulerHarness()
    for number in range(WORKERS):
        harness.worker(str(number))
    return harness


def _trial_worker(harness: conftest.SchedulerHarness) -> ids.AgentName:
    (view,) = harness.fleet.trial_workers(conftest.SERVICE, lambda view: True, harness.now)
    return view.agent


async def test_job_fails_after_its_task_crashed_two_workers() -> None:
    """Guards against a task that crashes worker after worker until its caller's deadline."""
    harness = _harness()
    crashes = _Crashes(harness)
    harness.submit(harness.job("deadly"))
    crashes.crash(harness.started[0][0])
    crashes.crash(harness.started[1][0])
    assert harness.finished == [("deadly", scheduling.JobResult.FAILED, "crashes_workers", 0)]
    harness.advance(1.0)
    assert len(harness.started) == 2


async def test_job_sent_again_after_its_task_crashed_two_workers_is_not_started() -> None:
    """Guards against an entry that starts over when the answer was lost and the caller sends the job again."""
    harness = _harness()
    crashes = _Crashes(harness)
    for _ in range(2):
        harness.submit(harness.job("deadly"))
        crashes.crash(harness.started[0][0])
        crashes.crash(harness.started[1][0])
    assert [result for _, result, _, _ in harness.finished] == [scheduling.JobResult.FAILED] * 2
    assert len(harness.started) == 2


async def test_tasks_of_a_crashed_worker_do_not_all_start_again_on_other_workers() -> None:
    """Guards against a restart that brings the cause of a crash to a full worker while the next ones crash too.

    Twenty deadly tasks run on nine workers. All workers but the trial worker must stay up after their first crash.
    """
    harness = _harness()
    crashes = _Crashes(harness)
    trial = _trial_worker(harness)
    for number in range(20):
        harness.submit(harness.job(f"deadly{number}"))
    for agent in {agent for agent, _ in harness.started if agent != trial}:
        crashes.crash(agent)
        crashes.set_phase(agent, scheduling.WorkerPhase.READY)
    first = len(harness.started)
    harness.advance(3.0)
    assert len(harness.started) > first
    assert {agent for agent, _ in harness.started[20:]} == {trial}


async def test_suspects_start_one_after_the_other() -> None:
    """Guards against two suspects that start at once, so that a second crash does not show which one is the cause."""
    harness = _harness()
    crashes = _Crashes(harness)
    harness.submit(harness.job("a", tasks=4, cores=5))
    for agent in {agent for agent, _ in harness.started}:
        crashes.crash(agent)
    harness.advance(0.15)
    assert len(harness.started) == 4 + 1
    harness.advance(0.1)
    assert len(harness.started) == 4 + 2


async def test_tasks_under_no_suspicion_use_all_workers() -> None:
    """Guards against a crash that holds up the jobs of others."""
    harness = _harness()
    crashes = _Crashes(harness)
    harness.submit(harness.job("deadly"))
    crashes.crash(harness.started[0][0])
    harness.submit(harness.job("wide", tasks=89, cores=1))
    assert len(harness.started) == 1 + 1 + 89


async def test_suspect_does_not_wait_for_a_trial_worker_that_never_returns() -> None:
    """Guards against a task that waits for ever because the worker for its second run is lost for good."""
    harness = _harness()
    crashes = _Crashes(harness)
    trial = _trial_worker(harness)
    for number in range(10):
        harness.submit(harness.job(f"j{number}", cores=10, deadline_s=30.0))
    others = [agent for agent, _ in harness.started if agent != trial]
    crashes.set_phase(trial, scheduling.WorkerPhase.ABSENT)
    crashes.crash(others[0])
    assert len(harness.started) == 10
    for _ in range(60):
        harness.advance(0.1)
        for agent in others:
            crashes.set_phase(agent, scheduling.WorkerPhase.READY)
    assert len(harness.started) > 10


async def test_worker_that_runs_a_suspect_must_have_its_label() -> None:
    """Guards against a suspect that waits because no trial worker may run it."""
    harness = conftest.SchedulerHarness()
    crashes = _Crashes(harness)
    for number in range(WORKERS):
        harness.worker(str(number), labels=("x",) if number in (3, 7) else ())
    step = scheduling.Step(1, scheduling.Resources(1000, 64), 0.1, required_label="x")
    harness.submit(harness.job("j", steps=[step]))
    crashes.crash(harness.started[0][0])
    crashes.set_phase(harness.started[0][0], scheduling.WorkerPhase.READY)
    harness.advance(0.1)
    assert len(harness.started) == 2
    assert harness.started[1][0] in ("3", "7")


async def test_suspect_that_was_refused_for_another_one_waits() -> None:
    """Guards against a start that is sent and refused again and again while a suspect of another entry is on trial."""
    harness = _harness()
    crashes = _Crashes(harness)
    harness.submit(harness.job("j"))
    crashes.crash(harness.started[0][0])
    harness.end(harness.started[1], scheduling.EndKind.NOT_STARTED, reason=scheduling.TRIAL_RUNNING)
    harness.advance(0.05)
    assert len(harness.started) == 2
    harness.advance(0.1)
    assert len(harness.started) == 3
