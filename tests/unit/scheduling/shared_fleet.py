"""A model of several entries that share workers and know them only through delayed reports."""

import collections
import heapq
import itertools
import random
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import health, ids, observability, runs, scheduling

if TYPE_CHECKING:
    from collections import abc

SERVICE = ids.ServiceName("s")
START_S = 1000.0
MESSAGE_DELAY_S = (0.001, 0.006)  # one way: the network and the receiver's backlog
TICK_S = 0.025
SLACK_FACTOR = 1.6
TARGET_LATENCY_S = 0.06


class JobKind(NamedTuple):
    """Jobs of `tasks` tasks of about `run_s` seconds on 6.2 cores each, arriving at `rate` per second."""

    name: str
    priority: int
    tasks: int
    run_s: float
    rate: float


class _Order(NamedTuple):
    number: int
    run: ids.RunKey
    demand: scheduling.Resources
    expected_s: float
    duration_s: float


class _Entry(scheduling.SchedulerOutput):
    """One entry, whose messages take some time to arrive."""

    def __init__(self, model: "SharedFleet", number: int, entry_count: int) -> None:
        self._model = model
        self.owner = ids.EntryIncarnation(str(number))
        self.fleet = scheduling.FleetState()
        self.numbers: collections.Counter[ids.AgentName] = collections.Counter()
        self.sent: dict[ids.RunKey, _Order] = {}
        run_numbers = itertools.count(1)
        worker_health = health.WorkerHealth(
            ids.WorkspaceName(""), observability.Counters(), observability.EventRing("model"), lambda: 10
        )
        self.scheduler = scheduling.RunScheduler(
            self.fleet,
            scheduling.UrgencyOrder(),
            scheduling.ObjectivePlacement(self.fleet, 1.5, random.Random(number)),
            scheduling.ObjectiveAdmission(0.5),
            scheduling.KeepLateJobsDuringRecovery(),
            worker_health,
            self,
            lambda: next(run_numbers) * 100 + number,
            START_S - 10,
        )
        self.scheduler.entry_count = entry_count

    def start(self, agent: ids.AgentName, task: scheduling.ParallelTask, run: ids.RunKey, expected_s: float) -> int:
        """Send the start to the worker."""
        self.numbers[agent] += 1
        order = _Order(self.numbers[agent], run, task.demand, expected_s, self._model.duration_s(task.job))
        self.sent[run] = order
        self._model.starts += 1
        self._model.post(lambda: self._model.workers[agent].receive(self, order))
        return order.number

    def stop(self, agent: ids.AgentName, keys: list[ids.RunKey], reason: str) -> None:
        """End the runs at the worker."""
        worker = self._model.workers[agent]
        for key in keys:
            self._model.post(lambda key=key: worker.end(self, key, scheduling.EndKind.STOPPED))  # type: ignore[misc]

    def finish(
        self, job: scheduling.ParallelJob, result: scheduling.JobResult, reason: str, retry_after_s: int
    ) -> None:
        """Count the job if it succeeded within its objective."""
        self._model.record(job, result)

    def request_dispatch(self) -> None:
        """Dispatch at once."""
        self.scheduler.dispatch(self._model.now)

    def log_event(self, event: str, **fields: str | float) -> None:
        """Ignore the event."""

    def receive_report(self, agent: ids.AgentName, report: scheduling.WorkerReport, handled_start: int) -> None:
        """Apply a report of a worker."""
        view = self.fleet.add(agent)
        view.is_reachable = True
        self.scheduler.update_worker(view, report, handled_start, self._model.now)

    def receive_end(self, agent: ids.AgentName, end: scheduling.RunEnd) -> None:
        """Apply the end of a run."""
        order = self.sent.pop(end.key)
        view = self.fleet.add(agent)
        if end.kind is scheduling.EndKind.NOT_STARTED:
            view.handle_refusal(order.number)
        else:
            view.release(order.number, order.demand)
        self.scheduler.end_run(agent, end, self._model.now)


class _Worker:
    """A worker with its agent, which reports as `AgentLinkClient` does."""

    def __init__(self, model: "SharedFleet", number: int, cores: int, speed: float) -> None:
        self._model = model
        self.name = ids.AgentName(f"a{number}")
        self.speed = speed
        self.registry = runs.RunRegistry(START_S)
        self.registry.capacity = scheduling.Resources(cores * 1000, 256_000)
        self._handled: collections.Counter[ids.EntryIncarnation] = collections.Counter()
        self._reported_at = START_S
        self._is_report_due = False

    def receive(self, entry: _Entry, order: _Order) -> None:
        """Start a run or refuse it."""
        self._handled[entry.owner] = order.number
        new = runs.NewRun(order.run, entry.owner, 1, order.demand, order.expected_s, "")
        refusal = self.registry.admit(new, self._model.now)
        if refusal:
            self._model.misses += 1
            end = scheduling.RunEnd(order.run, scheduling.EndKind.NOT_STARTED, 0.0, refusal)
            self._model.post(lambda: entry.receive_end(self.name, end))
            self._report([entry])
            return
        run = self.registry.get(order.run)
        assert run is not None
        run.phase = runs.RunPhase.RUNNING
        duration_s = order.duration_s / self.speed
        self._model.at(self._model.now + duration_s, lambda: self.end(entry, order.run, scheduling.EndKind.DONE))
        self._schedule_report()

    def end(self, entry: _Entry, key: ids.RunKey, kind: scheduling.EndKind) -> None:
        """End a run, if it is still there, and report that to its entry."""
        run = self.registry.remove(key)
        if run is None:
            return
        ran_s = self.registry.record_completion(run, self._model.now) if kind is scheduling.EndKind.DONE else 0.0
        self._model.post(lambda: entry.receive_end(self.name, scheduling.RunEnd(key, kind, ran_s, "")))
        self._schedule_report()

    def report(self) -> None:
        """Report to all entries."""
        self._is_report_due = False
        self._reported_at = self._model.now
        self._report(self._model.entries)

    def _schedule_report(self) -> None:
        if not self._is_report_due:
            self._is_report_due = True
            due_at = self._reported_at + self._model.report_interval_s(self._state())
            self._model.at(max(self._model.now, due_at), self.report)

    def _state(self) -> scheduling.WorkerReport:
        return scheduling.WorkerReport(
            SERVICE,
            ids.WorkerId(self.name),
            1,
            scheduling.WorkerPhase.READY,
            self.registry.capacity,
            self.registry.free,
            (),
            self.registry.slowness(self._model.now),
        )

    def _report(self, entries: "abc.Iterable[_Entry]") -> None:
        report = self._state()
        for entry in entries:
            handled_start = self._handled[entry.owner]
            self._model.post(
                lambda entry=entry, handled=handled_start: entry.receive_report(self.name, report, handled)  # type: ignore[misc]
            )


class SharedFleet:
    """Entries that share workers; a quarter of the workers is slow, a third has half as many cores again.

    `misses` counts the starts that found no room. Messages arrive in the order in which they were sent.
    """

    def __init__(
        self,
        entry_count: int,
        worker_count: int,
        report_interval_s: "abc.Callable[[scheduling.WorkerReport], float]",
        seed: int,
    ) -> None:
        self._rng = random.Random(seed)
        self._queue: list[tuple[float, int, abc.Callable[[], object]]] = []
        self._sequence = itertools.count()
        self._arrives_at = START_S
        self._run_s: dict[ids.JobKey, float] = {}
        self.report_interval_s = report_interval_s
        self.now = START_S
        self.starts = self.misses = self.jobs = self.in_time = 0
        self.entries = [_Entry(self, number, entry_count) for number in range(entry_count)]
        workers = [
            _Worker(self, number, self._rng.choice((64, 64, 96)), 1.2 if number % 4 else 0.55)
            for number in range(worker_count)
        ]
        self.workers = {worker.name: worker for worker in workers}

    def run(self, kinds: "abc.Iterable[JobKind]", seconds: float) -> None:
        """Let jobs arrive for the given time and wait until all have ended."""
        for worker in self.workers.values():
            worker.report()
        for kind in kinds:
            arrives_at = START_S + self._rng.expovariate(kind.rate)
            while arrives_at < START_S + seconds:
                entry = self._rng.choice(self.entries)
                self.at(arrives_at, lambda kind=kind, entry=entry: self._submit(kind, entry))  # type: ignore[misc]
                arrives_at += self._rng.expovariate(kind.rate)
        next_tick = START_S
        while self._queue:
            self.now, _, action = heapq.heappop(self._queue)
            while next_tick <= self.now:
                for entry in self.entries:
                    entry.scheduler.tick(next_tick)
                next_tick += TICK_S
            action()

    def at(self, time_s: float, action: "abc.Callable[[], object]") -> None:
        """Call an action at a time."""
        heapq.heappush(self._queue, (time_s, next(self._sequence), action))

    def post(self, action: "abc.Callable[[], object]") -> None:
        """Call an action after the delay of a message."""
        self._arrives_at = max(self.now + self._rng.uniform(*MESSAGE_DELAY_S), self._arrives_at)
        self.at(self._arrives_at, action)

    def duration_s(self, job: scheduling.ParallelJob) -> float:
        """Return how long a task of a job takes on a worker of speed 1."""
        return self._run_s[job.key] * self._rng.uniform(0.85, 1.15)

    def record(self, job: scheduling.ParallelJob, result: scheduling.JobResult) -> None:
        """Count a job that ended."""
        objective_s = SLACK_FACTOR * self._run_s[job.key] + TARGET_LATENCY_S
        is_in_time = self.now - job.arrived_at <= objective_s
        self.in_time += is_in_time and result is scheduling.JobResult.SUCCEEDED

    def _submit(self, kind: JobKind, entry: _Entry) -> None:
        self.jobs += 1
        key = ids.JobKey(f"{self.jobs:016x}")
        self._run_s[key] = run_s = kind.run_s * min(4.0, self._rng.lognormvariate(-0.08, 0.4))
        step = scheduling.Step(
            max(1, round(kind.tasks * min(4.0, self._rng.lognormvariate(-0.08, 0.4)))),
            scheduling.Resources(round(6200 * min(1.5, self._rng.lognormvariate(0, 0.2))), 64),
            run_s * self._rng.lognormvariate(0, 0.4),
        )
        policy = scheduling.QueuePolicy(
            ids.QueueName(kind.name), SERVICE, kind.priority, 3, SLACK_FACTOR, TARGET_LATENCY_S
        )
        job = scheduling.ParallelJob(key, policy, [step], "", self.now, self.now + 8.0, ids.TaskKey)
        entry.scheduler.submit(job, self.now)
