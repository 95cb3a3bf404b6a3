"""Quarantines workers that fail tasks which other workers complete."""

import asyncio
import collections
import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import ids, observability

WINDOW_SIZE = 16  # latest outcomes kept for each worker; two for each of the default 8 slots
MIN_ATTRIBUTED_FAILURES = 4.0  # failures not explained by the rest of the fleet; half of a worker's slots
MIN_ATTRIBUTED_SHARE = 0.5  # of the outcomes in the window
MAX_ATTRIBUTED_PER_JOB = 2.0  # a job that has not run elsewhere may itself be faulty
MIN_OUTCOMES_ELSEWHERE = 2  # outcomes of a job on other workers that are needed for a comparison
MAX_TRACKED_JOBS = 2_000  # jobs whose outcomes are compared between workers; the oldest are removed
FIRST_PROBE_INTERVAL_S = 1.0
MAX_PROBE_INTERVAL_S = 30.0


class HealthState(enum.Enum):
    """How many tasks a worker gets."""

    HEALTHY = "healthy"  # no limit
    QUARANTINED = "quarantined"  # one probe task at a time
    RETURNING = "returning"  # a limit that starts at 1 and doubles as tasks succeed


class _Outcome(NamedTuple):
    job: "abc.Hashable"
    kind: str
    failed: bool


class _WorkerRecord:
    """Recent outcomes and health state of one worker."""

    __slots__ = ("max_in_flight", "outcomes", "probe_at", "probe_interval_s", "state", "successes")

    def __init__(self) -> None:
        self.outcomes: collections.deque[_Outcome] = collections.deque(maxlen=WINDOW_SIZE)
        self.state = HealthState.HEALTHY
        self.max_in_flight = 0  # used while the worker is RETURNING
        self.successes = 0  # since `max_in_flight` was last set
        self.probe_at = 0.0  # loop time from which a quarantined worker gets a probe
        self.probe_interval_s = FIRST_PROBE_INTERVAL_S


class WorkerHealth:
    """Tracks the health of workers by comparing their outcomes with those of the rest of the fleet.

    A failure is attributed to a worker to the extent that the same job does not fail on other workers, or, without
    enough outcomes of that job, that the same kind of task does not. At most half of the workers are quarantined at
    once. A worker whose failures turn out to occur in the whole fleet leaves quarantine. Probes are ordinary waiting
    tasks, sent one at a time at intervals that double as long as the probes fail. Each worker is identified by the name
    of its agent; the kind of a task is its queue or a caller's name for its type. `fleet_size` returns the number of
    workers of which at most half are quarantined.
    """

    def __init__(
        self,
        workspace: "ids.WorkspaceName",
        counters: "observability.Counters",
        events: "observability.EventRing | observability.Journal",
        fleet_size: "abc.Callable[[], int]",
    ) -> None:
        self._fleet_size = fleet_size
        self._workspace = workspace
        self._counters = counters
        self._events = events
        self._workers: dict[ids.AgentName, _WorkerRecord] = {}
        # Numbers of [completed, failed] tasks of each job on each worker; `failed` (False or True) is the index.
        self._jobs: collections.OrderedDict[abc.Hashable, dict[ids.AgentName, list[int]]] = collections.OrderedDict()
        # Outcomes in the windows of all workers, by kind and whether they failed.
        self._kinds: collections.Counter[tuple[str, bool]] = collections.Counter()

    @property
    def quarantined(self) -> "list[ids.AgentName]":
        """Names of the quarantined workers."""
        return [name for name, worker in self._workers.items() if worker.state is HealthState.QUARANTINED]

    def state(self, name: "ids.AgentName") -> HealthState:
        """Return the health state of a worker."""
        worker = self._workers.get(name)
        return HealthState.HEALTHY if worker is None else worker.state

    def max_in_flight(self, name: "ids.AgentName", now: float) -> int | None:
        """Return how many tasks may be in flight on a worker, or None for no limit."""
        worker = self._workers.get(name)
        if worker is None or worker.state is HealthState.HEALTHY:
            return None
        if worker.state is HealthState.RETURNING:
            return worker.max_in_flight
        return 1 if now >= worker.probe_at else 0

    def forget(self, name: "ids.AgentName") -> None:
        """Remove the state of a worker, because its agent was restarted."""
        worker = self._workers.pop(name, None)
        if worker is not None:
            self._kinds.subtract((outcome.kind, outcome.failed) for outcome in worker.outcomes)

    def record(self, name: "ids.AgentName", job: "abc.Hashable", kind: str, failed: bool) -> None:
        """Record the outcome of a task on a worker and update the worker's state."""
        worker = self._workers.setdefault(name, _WorkerRecord())
        self._add_outcome(worker, name, _Outcome(job, kind, failed))
        if not failed:
            # The success may show that other workers caused earlier failures of the same job.
            for other, counts in self._jobs[job].items():
                if counts[True]:
                    self._quarantine_if_faulty(other)
        if worker.state is HealthState.HEALTHY:
            if failed:
                self._quarantine_if_faulty(name)
            return
        if worker.state is HealthState.QUARANTINED and asyncio.get_running_loop().time() < worker.probe_at:
            return  # the task was sent before the quarantine, so it is not a probe
        if failed and self._is_faulty(worker, name):
            self._quarantine(worker, name, worker.probe_interval_s * 2)
        elif worker.state is HealthState.QUARANTINED:
            self._start_return(worker, name)
        elif not failed:
            self._raise_limit(worker, name)

    def _add_outcome(self, worker: _WorkerRecord, name: "ids.AgentName", outcome: _Outcome) -> None:
        if len(worker.outcomes) == WINDOW_SIZE:
            oldest = worker.outcomes[0]
            self._kinds[oldest.kind, oldest.failed] -= 1
            if not self._kinds[oldest.kind, oldest.failed]:
                del self._kinds[oldest.kind, oldest.failed]
        worker.outcomes.append(outcome)
        self._kinds[outcome.kind, outcome.failed] += 1
        counts = self._jobs.setdefault(outcome.job, {}).setdefault(name, [0, 0])
        counts[outcome.failed] += 1
        if len(self._jobs) > MAX_TRACKED_JOBS:
            self._jobs.popitem(last=False)

    def _quarantine_if_faulty(self, name: "ids.AgentName") -> None:
        worker = self._workers.get(name)
        if worker is None or worker.state is not HealthState.HEALTHY:
            return
        if self._is_faulty(worker, name) and 2 * (len(self.quarantined) + 1) <= self._fleet_size():
            self._quarantine(worker, name, FIRST_PROBE_INTERVAL_S)

    def _is_faulty(self, worker: _WorkerRecord, name: "ids.AgentName") -> bool:
        """Return whether enough of the failures in the worker's window are attributed to the worker."""
        failures = sum(outcome.failed for outcome in worker.outcomes)
        if failures < max(MIN_ATTRIBUTED_FAILURES, MIN_ATTRIBUTED_SHARE * len(worker.outcomes)):
            return False
        attributed: collections.Counter[abc.Hashable] = collections.Counter()
        for outcome in worker.outcomes:
            if not outcome.failed:
                continue
            in_job = self._failed_share_in_job(name, outcome.job)
            if in_job is None:
                share = 1 - self._failed_share_of_kind(worker, outcome.kind)
                attributed[outcome.job] = min(attributed[outcome.job] + share, MAX_ATTRIBUTED_PER_JOB)  # type: ignore[assignment]
            else:
                attributed[outcome.job] += 1 - in_job  # type: ignore[assignment]
        total = sum(attributed.values())
        return total >= MIN_ATTRIBUTED_FAILURES and total >= MIN_ATTRIBUTED_SHARE * len(worker.outcomes)

    def _failed_share_in_job(self, name: "ids.AgentName", job: "abc.Hashable") -> float | None:
        """Return the failed share of a job's outcomes on other workers, or None if there are too few."""
        elsewhere = [counts for other, counts in self._jobs.get(job, {}).items() if other != name]
        completed = sum(counts[False] for counts in elsewhere)
        failed = sum(counts[True] for counts in elsewhere)
        return failed / (completed + failed) if completed + failed >= MIN_OUTCOMES_ELSEWHERE else None

    def _failed_share_of_kind(self, worker: _WorkerRecord, kind: str) -> float:
        """Return the failed share of the outcomes of a kind on other workers, 0 if there are none."""
        own = collections.Counter(outcome.failed for outcome in worker.outcomes if outcome.kind == kind)
        failed = self._kinds[kind, True] - own[True]
        completed = self._kinds[kind, False] - own[False]
        return failed / (failed + completed) if failed + completed else 0.0

    def _quarantine(self, worker: _WorkerRecord, name: "ids.AgentName", probe_interval_s: float) -> None:
        worker.state = HealthState.QUARANTINED
        worker.probe_interval_s = min(probe_interval_s, MAX_PROBE_INTERVAL_S)
        worker.probe_at = asyncio.get_running_loop().time() + worker.probe_interval_s
        failures = sum(outcome.failed for outcome in worker.outcomes)
        self._counters.add("worker_quarantined", self._workspace, name)
        self._record_state("worker_quarantined", name, failures=failures, probe_in_s=worker.probe_interval_s)

    def _start_return(self, worker: _WorkerRecord, name: "ids.AgentName") -> None:
        worker.state = HealthState.RETURNING
        worker.max_in_flight = 1
        worker.successes = 0
        self._record_state("worker_returning", name)

    def _raise_limit(self, worker: _WorkerRecord, name: "ids.AgentName") -> None:
        """Double the limit after as many successes as the limit; the worker is healthy once it reaches WINDOW_SIZE."""
        worker.successes += 1
        if worker.successes < worker.max_in_flight:
            return
        worker.successes = 0
        worker.max_in_flight *= 2
        if worker.max_in_flight >= WINDOW_SIZE:
            worker.state = HealthState.HEALTHY
            worker.probe_interval_s = FIRST_PROBE_INTERVAL_S
            self._record_state("worker_healthy", name)

    def _record_state(self, kind: str, name: "ids.AgentName", **fields: float) -> None:
        self._events.record_state(kind, workspace=self._workspace, worker=name, **fields)
