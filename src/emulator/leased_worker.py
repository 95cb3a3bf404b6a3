"""An emulated worker that runs tasks under leases and follows the platform's published rules."""

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from cactusgauge import ids, runs, scheduling

if TYPE_CHECKING:
    from collections import abc

STOP_DURATION_S = 0.02


@dataclasses.dataclass
class RunRecord:
    """One run that was started here, with times by the loop's clock in seconds; `kind` is None until the run ends."""

    key: ids.RunKey
    payload: str
    started_at: float
    due_at: float
    ended_at: float = float("inf")
    kind: scheduling.EndKind | None = None
    stopping_at: float | None = None
    has_crashed: bool = False  # the worker, during the run


class LeasedWorker(runs.WorkerClient):
    """Emulates runs that last as long as `duration_s` returns.

    Durations are measured by the loop's clock; the worker's own clock runs at `clock_rate` times its speed. With
    `drops_replies`, requests take effect but get no reply. With `delays_requests`, they are kept in `delayed_requests`
    instead, until a test calls them. A run of one of the `crashing_jobs` crashes the worker when it starts. `history`
    holds every run that was started.
    """

    def __init__(
        self, duration_s: "abc.Callable[[ids.RunKey], float]", incarnation: int = 1, clock_rate: float = 1.0
    ) -> None:
        self._duration_s = duration_s
        self._started_at = asyncio.get_running_loop().time()
        self._clock_rate = clock_rate
        self._incarnation = incarnation
        self._token = 0
        self._lease_until_s = 0.0
        self._runs: dict[ids.TaskKey, RunRecord] = {}
        self._highest_runs: dict[ids.TaskKey, int] = {}
        self._ends: list[runs.WorkerRunEnd] = []
        self._end_count = 0
        self.drops_replies = False
        self.delays_requests = False
        self.is_down = False
        self.failing_jobs: set[ids.JobKey] = set()
        self.crashing_jobs: set[ids.JobKey] = set()
        self.fails_all_runs = False
        self.history: list[RunRecord] = []
        self.delayed_requests: list[abc.Callable[[], object]] = []

    @property
    def clock_s(self) -> float:
        """The worker's own clock."""
        return (asyncio.get_running_loop().time() - self._started_at) * self._clock_rate

    @property
    def incarnation(self) -> int:
        """Number of the current incarnation; each restart increases it by one."""
        return self._incarnation

    @property
    def running(self) -> list[ids.RunKey]:
        """The runs in progress."""
        self.end_due_runs()
        return [run.key for run in self._runs.values()]

    @property
    def starts(self) -> list[tuple[ids.RunKey, float]]:
        """Every run that was started, with its start time."""
        return [(run.key, run.started_at) for run in self.history]

    def crash(self) -> None:
        """End all runs as if the machine had failed; a listing never contains these ends."""
        self.end_due_runs()
        now = asyncio.get_running_loop().time()
        for run in self._runs.values():
            run.ended_at, run.kind, run.has_crashed = now, scheduling.EndKind.LOST, True
        self._runs.clear()
        self.is_down = True

    def restart(self) -> None:
        """Restart under the same id as a new incarnation, without any of the earlier state."""
        self.crash()
        self.is_down = False
        self._incarnation += 1
        self._started_at = asyncio.get_running_loop().time()
        self._token = 0
        self._lease_until_s = 0.0
        self._highest_runs.clear()
        self._ends.clear()
        self._end_count = 0

    async def start(self, request: runs.StartRequest) -> runs.StartReply:
        """Start a run, subject to the active faults."""
        await self._apply_faults(lambda: self._start(request))
        return self._start(request)

    async def stop(self, key: ids.RunKey, fencing_token: int) -> None:
        """Stop a run; raise `FencedError` if a higher fencing token was seen before."""
        await self._apply_faults(lambda: self._stop(key, fencing_token))
        if not self._stop(key, fencing_token):
            raise runs.FencedError(self.clock_s)

    async def poll(
        self, fencing_token: int, acknowledged: int, lease_until_s: float | None, wait_s: float
    ) -> runs.WorkerListing:
        """Extend the lease, remove acknowledged ends, and list the runs and ends; wait up to `wait_s` for an end."""
        await self._apply_faults(lambda: None)
        if not self._check_token(fencing_token):
            raise runs.FencedError(self.clock_s)
        self.end_due_runs()
        if lease_until_s is not None:
            self._extend_lease(lease_until_s)
        self._ends = [end for end in self._ends if end.number > acknowledged]
        incarnation = self._incarnation
        until = asyncio.get_running_loop().time() + wait_s
        while not self._ends and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.005)
            if self.is_down or self._incarnation != incarnation:
                raise runs.WorkerCallError("connection reset")
            self.end_due_runs()
        return runs.WorkerListing(self.clock_s, self._incarnation, self.running, list(self._ends))

    async def _apply_faults(self, request: "abc.Callable[[], object]") -> None:
        await asyncio.sleep(0.001)
        if self.is_down:
            raise runs.WorkerDownError("worker is down")
        if self.delays_requests:
            self.delayed_requests.append(request)
        elif self.drops_replies:
            request()
        if self.delays_requests or self.drops_replies:
            await asyncio.sleep(0.1)
            raise runs.WorkerCallError("worker did not reply")

    def _start(self, request: runs.StartRequest) -> runs.StartReply:
        self.end_due_runs()
        key = request.key
        if not self._check_token(request.fencing_token):
            return runs.StartReply(runs.StartStatus.FENCED, self.clock_s)
        existing = self._runs.get(key.task)
        if existing is not None and existing.key == key:
            return runs.StartReply(runs.StartStatus.STARTED, self.clock_s)
        if key.run <= self._highest_runs.get(key.task, 0):
            return runs.StartReply(runs.StartStatus.OLD_RUN, self.clock_s)
        if request.lease_until_s <= self.clock_s:
            return runs.StartReply(runs.StartStatus.EXPIRED, self.clock_s)
        now = asyncio.get_running_loop().time()
        self._extend_lease(request.lease_until_s)
        run = RunRecord(key, request.payload, now, now + self._duration_s(key))
        self._runs[key.task] = run
        self.history.append(run)
        if key.job in self.crashing_jobs:
            self.crash()
            raise runs.WorkerCallError("connection reset")
        return runs.StartReply(runs.StartStatus.STARTED, self.clock_s)

    def _stop(self, key: ids.RunKey, fencing_token: int) -> bool:
        self.end_due_runs()
        if not self._check_token(fencing_token):
            return False
        self._highest_runs[key.task] = max(self._highest_runs.get(key.task, 0), key.run)
        run = self._runs.get(key.task)
        if run is not None and run.key.run <= key.run and run.stopping_at is None:
            run.stopping_at = asyncio.get_running_loop().time() + STOP_DURATION_S
        return True

    def _check_token(self, token: int) -> bool:
        if token < self._token:
            return False
        self._token = token
        return True

    def _extend_lease(self, until_s: float) -> None:
        """Extend the lease to a time by the worker's clock, but to at most one second from now."""
        self._lease_until_s = max(self._lease_until_s, min(until_s, self.clock_s + 1.0))

    def end_due_runs(self) -> None:
        """End the runs that are completed, stopped or out of their lease by now; each request does so first."""
        now = asyncio.get_running_loop().time()
        lease_end = self._started_at + self._lease_until_s / self._clock_rate
        for run in list(self._runs.values()):
            fails = self.fails_all_runs or run.key.job in self.failing_jobs
            ends = [(run.due_at, scheduling.EndKind.FAILED if fails else scheduling.EndKind.DONE)]
            if run.stopping_at is not None:
                ends.append((run.stopping_at, scheduling.EndKind.STOPPED))
            ends.append((lease_end, scheduling.EndKind.LOST))
            at, kind = min(ends, key=lambda end: end[0])
            if at <= now:
                run.ended_at, run.kind = at, kind
                del self._runs[run.key.task]
                self._highest_runs[run.key.task] = max(self._highest_runs.get(run.key.task, 0), run.key.run)
                self._end_count += 1
                self._ends.append(runs.WorkerRunEnd(self._end_count, run.key, kind))
