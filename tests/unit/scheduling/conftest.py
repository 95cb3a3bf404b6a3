"""A test harness that runs a scheduler without I/O."""

import random
from typing import Any

import pytest

from cactusgauge import health as health_module
from cactusgauge import ids, observability, scheduling

SERVICE = ids.ServiceName("labels")
QUEUE = ids.QueueName("q")
START_S = 1000.0  # fixed, because the event loop's clock would make the replayed loads differ between runs


class SchedulerHarness(scheduling.SchedulerOutput):
    """Runs a scheduler, records its actions and reports workers to it, with 10 cores each by default."""

    def __init__(
        self,
        placement: type[scheduling.RunPlacement] = scheduling.ObjectivePlacement,
        admission: scheduling.AdmissionPolicy | None = None,
        order: scheduling.JobOrder | None = None,
        late_jobs: scheduling.LateJobPolicy | None = None,
    ) -> None:
        self.now = START_S
        self.fleet = scheduling.FleetState()
        self.started: list[tuple[ids.AgentName, ids.RunKey]] = []
        self.stopped: list[tuple[ids.AgentName, ids.RunKey, str]] = []
        self.finished: list[tuple[ids.JobKey, scheduling.JobResult, str, int]] = []
        self.events: list[tuple[str, dict[str, Any]]] = []
        self._number = 0
        self._run = 0
        health = health_module.WorkerHealth(
            ids.WorkspaceName(""), observability.Counters(), observability.EventRing("test"), lambda: 4
        )
        self.scheduler = scheduling.RunScheduler(
            self.fleet,
            order or scheduling.UrgencyOrder(),
            placement(self.fleet, 1.5, random.Random(20261204)),
            admission or scheduling.AcceptAll(),
            late_jobs or scheduling.KeepLateJobsDuringRecovery(),
            health,
            self,
            self._next_run,
            self.now - 10.0,
        )

    def start(self, agent: ids.AgentName, task: scheduling.ParallelTask, run: ids.RunKey, expected_s: float) -> int:
        """Record the start and return its number."""
        self._number += 1
        self.started.append((agent, run))
        return self._number

    def stop(self, agent: ids.AgentName, runs: list[ids.RunKey], reason: str) -> None:
        """Record the stops."""
        self.stopped += [(agent, run, reason) for run in runs]

    def finish(
        self, job: scheduling.ParallelJob, result: scheduling.JobResult, reason: str, retry_after_s: int
    ) -> None:
        """Record the result of a job."""
        self.finished.append((job.key, result, reason, retry_after_s))

    def request_dispatch(self) -> None:
        """Dispatch at once."""
        self.scheduler.dispatch(self.now)

    def log_event(self, event: str, **fields: str | float) -> None:
        """Record a log event."""
        self.events.append((event, fields))

    def worker(
        self,
        name: str,
        cores: float = 10,
        slowness: float = 1.0,
        free: float | None = None,
        labels: tuple[str, ...] = (),
    ) -> ids.AgentName:
        """Send the report of a worker to the scheduler."""
        agent = ids.AgentName(name)
        view = self.fleet.add(agent)
        view.is_reachable = True
        report = scheduling.WorkerReport(
            SERVICE,
            ids.WorkerId(name),
            1,
            scheduling.WorkerPhase.READY,
            scheduling.Resources(int(cores * 1000), 100_000),
            scheduling.Resources(int((cores if free is None else free) * 1000), 100_000),
            labels,
            slowness,
        )
        self.scheduler.update_worker(view, report, self._number, self.now)
        return agent

    def job(
        self,
        name: str,
        tasks: int = 1,
        cores: float = 1,
        estimate_s: float = 0.1,
        priority: int = 0,
        max_failures: int = 2,
        steps: list[scheduling.Step] | None = None,
        deadline_s: float = 10.0,
    ) -> scheduling.ParallelJob:
        """Return a job that arrives now."""
        policy = scheduling.QueuePolicy(QUEUE, SERVICE, priority, max_failures, 1.6, 0.06)
        default_steps = [scheduling.Step(tasks, scheduling.Resources(int(cores * 1000), 64), estimate_s)]
        return scheduling.ParallelJob(
            ids.JobKey(name), policy, steps or default_steps, "payload", self.now, self.now + deadline_s, ids.TaskKey
        )

    def submit(self, job: scheduling.ParallelJob) -> scheduling.Refusal | None:
        """Submit a job to the scheduler."""
        return self.scheduler.submit(job, self.now)

    def end(
        self, run: tuple[ids.AgentName, ids.RunKey], kind: scheduling.EndKind, ran_s: float = 0.1, reason: str = ""
    ) -> None:
        """Report the end of a run."""
        self.scheduler.end_run(run[0], scheduling.RunEnd(run[1], kind, ran_s, reason), self.now)

    def advance(self, seconds: float) -> None:
        """Advance the time in ticks of 25 ms, the normal interval."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(self.now + 0.025, until)
            self.scheduler.tick(self.now)

    def _next_run(self) -> int:
        self._run += 1
        return self._run


@pytest.fixture
async def harness() -> SchedulerHarness:
    """Return a harness without workers."""
    return SchedulerHarness()
