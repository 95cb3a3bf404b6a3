"""A worker that runs tasks under leases, for tests; it keeps to the platform's published rules."""

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from cactusgauge import ids, runs, scheduling

if TYPE_CHECKING:
    from collections import abc

STOP_S = 0.02


@dataclasses.dataclass
class RunRecord:
    """One run that began here, in seconds of the loop's clock; `kind` is None while it is at work."""

    key: ids.RunKey
    payload: str
    started_at: float
    due_at: float
    ended_at: float = float("inf")
    kind: scheduling.EndKind | None = None
    stopping_at: float | None = None


class LeasedWorker(runs.WorkerClient):
    """Runs tasks for a time that `duration_s` gives; time is the loop's clock, the worker's own may be slower.

    `is_silent` withholds replies, `is_deaf` also ignores orders. Orders in `late_orders` are carried out when a test
    calls them. `history` holds every run that began.
    """

    def __init__(self, duration_s: "abc.Callable[[ids.RunKey], float]", life: int = 1, clock_rate: float = 1.0) -> None:
        self._duration_s = duration_s
        self._started_at = asyncio.get_running_loop().time()
        self._clock_rate = clock_rate
        self._life = life
        self._token = 0
        self._lease_until_s = 0.0
        self._runs: dict[ids.TaskKey, RunRecord] = {}
        self._highest: dict[ids.TaskKey, int] = {}
        self._ends: list[runs.WorkerRunEnd] = []
        self._end_count = 0
        self.is_silent = False
        self.is_deaf = False
        self.is_down = False
        self.fails: set[ids.JobKey] = set()
        self.fails_all = False
        self.history: list[RunRecord] = []
        self.late_orders: list[abc.Callable[[], object]] = []

    @property
    def clock_s(self) -> float:
        """The worker's own clock."""
        return (asyncio.get_running_loop().time() - self._started_at) * self._clock_rate

    @property
    def life(self) -> int:
        """Number of this start of the worker."""
        return self._life

    @property
    def running(self) -> list[ids.RunKey]:
        """Everything that runs now."""
        self._advance()
        return [run.key for run in self._runs.values()]

    @property
    def starts(self) -> list[tuple[ids.RunKey, float]]:
        """Every run that began, with its time."""
        return [(run.key, run.started_at) for run in self.history]

    def crash(self) -> None:
        """End everything that runs, as the machine is gone; the ends are never listed."""
        self._advance()
        now = asyncio.get_running_loop().time()
        for run in self._runs.values():
            run.ended_at, run.kind = now, scheduling.EndKind.LOST
        self._runs.clear()
        self.is_down = True

    def restart(self) -> None:
        """Begin a new life under the same id, which knows nothing of before."""
        self.crash()
        self.is_down = False
        self._life += 1
        self._started_at = asyncio.get_running_loop().time()
        self._token = 0
        self._lease_until_s = 0.0
        self._highest.clear()
        self._ends.clear()
        self._end_count = 0

    async def start(self, request: runs.StartRequest) -> runs.StartReply:
        """Start a run."""
        await self._receive(lambda: self._start(request))
        return self._start(request)

    async def stop(self, key: ids.RunKey, fencing_token: int) -> None:
        """Stop a run."""
        await self._receive(lambda: self._stop(key, fencing_token))
        if not self._stop(key, fencing_token):
            raise runs.FencedError(self.clock_s)

    async def poll(
        self, fencing_token: int, acknowledged: int, lease_until_s: float | None, wait_s: float
    ) -> runs.WorkerListing:
        """Extend the lease, acknowledge ends and list."""
        await self._receive(lambda: None)
        if not self._check_token(fencing_token):
            raise runs.FencedError(self.clock_s)
        self._advance()
        if lease_until_s is not None:
            self._extend(lease_until_s)
        self._ends = [end for end in self._ends if end.number > acknowledged]
        until = asyncio.get_running_loop().time() + wait_s
        while not self._ends and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.005)
            self._advance()
        return runs.WorkerListing(self.clock_s, self._life, self.running, list(self._ends))

    async def _receive(self, late: "abc.Callable[[], object]") -> None:
        await asyncio.sleep(0.001)
        if self.is_down:
            raise runs.WorkerDownError("down")
        if self.is_deaf:
            self.late_orders.append(late)
        elif self.is_silent:
            late()
        if self.is_deaf or self.is_silent:
            await asyncio.sleep(0.1)
            raise runs.WorkerCallError("no reply")

    def _start(self, request: runs.StartRequest) -> runs.StartReply:
        self._advance()
        key = request.key
        if not self._check_token(request.fencing_token):
            return runs.StartReply(runs.StartStatus.FENCED, self.clock_s)
        present = self._runs.get(key.task)
        if present is not None and present.key == key:
            return runs.StartReply(runs.StartStatus.STARTED, self.clock_s)
        if key.run <= self._highest.get(key.task, 0):
            return runs.StartReply(runs.StartStatus.OLD_RUN, self.clock_s)
        if request.lease_until_s <= self.clock_s:
            return runs.StartReply(runs.StartStatus.EXPIRED, self.clock_s)
        now = asyncio.get_running_loop().time()
        self._extend(request.lease_until_s)
        run = RunRecord(key, request.payload, now, now + self._duration_s(key))
        self._runs[key.task] = run
        self.history.append(run)
        return runs.StartReply(runs.StartStatus.STARTED, self.clock_s)

    def _stop(self, key: ids.RunKey, fencing_token: int) -> bool:
        self._advance()
        if not self._check_token(fencing_token):
            return False
        self._highest[key.task] = max(self._highest.get(key.task, 0), key.run)
        run = self._runs.get(key.task)
        if run is not None and run.key.run <= key.run and run.stopping_at is None:
            run.stopping_at = asyncio.get_running_loop().time() + STOP_S
        return True

    def _check_token(self, token: int) -> bool:
        if token < self._token:
            return False
        self._token = token
        return True

    def _extend(self, until_s: float) -> None:
        self._lease_until_s = max(self._lease_until_s, min(until_s, self.clock_s + 1.0))

    def _advance(self) -> None:
        """End what has ended by now."""
        now = asyncio.get_running_loop().time()
        lease_end = self._started_at + self._lease_until_s / self._clock_rate
        for run in list(self._runs.values()):
            fails = self.fails_all or run.key.job in self.fails
            ends = [(run.due_at, scheduling.EndKind.FAILED if fails else scheduling.EndKind.DONE)]
            if run.stopping_at is not None:
                ends.append((run.stopping_at, scheduling.EndKind.STOPPED))
            ends.append((lease_end, scheduling.EndKind.LOST))
            at, kind = min(ends, key=lambda end: end[0])
            if at <= now:
                run.ended_at, run.kind = at, kind
                del self._runs[run.key.task]
                self._highest[run.key.task] = max(self._highest.get(run.key.task, 0), run.key.run)
                self._end_count += 1
                self._ends.append(runs.WorkerRunEnd(self._end_count, run.key, kind))
