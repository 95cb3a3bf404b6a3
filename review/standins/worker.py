"""A stand-in for a worker: runs tasks under a lease, as "Running tasks" in PROTOCOL.md describes.

A worker does not guard its capacity (`enforce_limits` false) and runs everything that it is told to start. How long a
task runs is decided by the scenario. All starts and ends are recorded.
"""

import asyncio
import dataclasses
import time
from collections import abc
from typing import Any

import aiohttp
from aiohttp import web

MAX_HOLD_MS = 1000  # bound `max_hold_ms`
STOP_S = 0.02  # a stop takes at most `stop_ms`, 50 ms
HEARTBEAT_S = 1.5  # `heartbeat_ms`
POLL_S = 0.005


@dataclasses.dataclass
class Run:
    """A run that was started here; `ended_at` is on the clock of the scenario."""

    worker: str
    task: str
    number: int
    labels: tuple[str, ...]
    started_at: float
    due_at: float
    ended_at: float = float("inf")
    how: str = ""
    stopping_at: float = float("inf")


class Life:
    """One incarnation of a worker: it knows nothing of earlier ones."""

    def __init__(self, instance: str, labels: tuple[str, ...]) -> None:
        self.instance = instance
        self.labels = labels
        self.born_ms = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.lease_until_ms = 0.0
        self.highest: dict[str, int] = {}  # number of the last run of a task that was stopped or ended
        self.running: dict[tuple[str, int], Run] = {}
        self.ends: list[tuple[int, Run]] = []
        self.end_count = 0

    @property
    def clock_ms(self) -> float:
        """The worker's own steady clock."""
        return (time.monotonic() - self.started_at) * 1000


class Worker:
    """A worker beside an agent; `duration_s` returns how long a task works."""

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        port: int,
        control_url: str,
        labels: tuple[str, ...],
        duration_s: abc.Callable[[str], float],
        record: abc.Callable[..., None],
        cpu: int = 16_000,
    ) -> None:
        self.name = name
        self._service = service
        self._ip = ip
        self._port = port
        self._control_url = control_url
        self._duration_s = duration_s
        self._record = record
        self._cpu = cpu
        self._lives = 0
        self.history: list[Run] = []
        self.life: Life | None = None
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._labels = labels

    async def start(self, labels: tuple[str, ...] | None = None) -> None:
        """Begin a new incarnation, possibly of another kind."""
        self._labels = labels or self._labels
        self._lives += 1
        self.life = Life(f"i-{self.name}-{self._lives}", self._labels)
        app = web.Application()
        app.router.add_post("/-/run-start", self._serve(self._start))
        app.router.add_post("/-/run-stop", self._serve(self._stop))
        app.router.add_post("/-/hold", self._serve(self._hold))
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._ip, self._port, reuse_address=True).start()
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._expire())]
        self._record("worker_up", worker=self.name, instance=self.life.instance, labels=list(self._labels))

    async def crash(self) -> None:
        """End everything at once, without a word to anybody."""
        life = self.life
        assert life is not None and self._runner is not None
        self.life = None
        for run in list(life.running.values()):
            self._end(life, run, "crashed")
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._runner.cleanup()
        self._record("worker_down", worker=self.name, instance=life.instance)

    async def close(self) -> None:
        """Stop the stand-in at the end of a scenario."""
        if self.life is not None:
            await self.crash()

    def running(self, job: str) -> list[Run]:
        """Return the runs of a job that are at work."""
        life = self.life
        return [run for run in life.running.values() if run.task.startswith(job)] if life else []

    async def _beat(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                life = self.life
                if life is None:
                    return
                life.sequence += 1
                body = {
                    "service": self._service,
                    "address": f"{self._ip}:{self._port}",
                    "zone": "a",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "capacity": {"cpu": self._cpu, "mem_mb": 32768, "gpu": 0},
                    "labels": list(life.labels),
                    "clock_ms": int(life.clock_ms),
                    "seq": life.sequence,
                    "born": life.born_ms,
                }
                delay_s = HEARTBEAT_S
                try:
                    url = f"{self._control_url}/-/instances/{life.instance}/heartbeat"
                    async with session.post(url, json=body, timeout=aiohttp.ClientTimeout(total=1.0)) as response:
                        if response.status != 200:
                            delay_s = 0.3
                except (aiohttp.ClientError, TimeoutError, OSError):
                    delay_s = 0.3
                await asyncio.sleep(delay_s)

    async def _expire(self) -> None:
        while self.life is not None:
            self._end_due(self.life)
            await asyncio.sleep(POLL_S)

    def _serve(self, handle: abc.Callable[[Life, dict[str, Any]], Any]) -> Any:
        async def serve(request: web.Request) -> web.Response:
            life = self.life
            body = await request.json()
            if life is None or request.headers.get("Expect-Instance") not in (None, life.instance):
                return web.json_response({}, status=421)
            self._end_due(life)
            token = body.get("fencing_token", 0)
            if token < life.token:
                return web.json_response({"clock_ms": int(life.clock_ms), "reason": "fence"}, status=409)
            life.token = token
            status, reply = await handle(life, body)
            if self.life is not life and request.transport is not None:
                request.transport.abort()  # it crashed meanwhile, so it says nothing
            return web.json_response({"clock_ms": int(life.clock_ms), "born": life.born_ms, **reply}, status=status)

        return serve

    async def _start(self, life: Life, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        if (task, number) in life.running:
            return 200, {}
        if number <= life.highest.get(task, 0):
            self._extend(life, body["expires_ms"])
            return 409, {"reason": "old"}
        if body["expires_ms"] <= life.clock_ms:
            return 409, {"reason": "late"}
        self._extend(life, body["expires_ms"])
        now = time.monotonic()
        run = Run(self.name, task, number, life.labels, now, now + self._duration_s(task))
        life.running[task, number] = run
        self.history.append(run)
        self._record("start", worker=self.name, labels=list(life.labels), task=task, run=number, spec=body["spec"][:80])
        return 200, {}

    async def _stop(self, life: Life, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        life.highest[task] = max(life.highest.get(task, 0), number)
        run = life.running.get((task, number))
        if run is not None and run.stopping_at == float("inf"):
            run.stopping_at = time.monotonic() + STOP_S
        return 200, {}

    async def _hold(self, life: Life, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if "expires_ms" in body:
            self._extend(life, body["expires_ms"])
        life.ends = [end for end in life.ends if end[0] > body.get("ack_index", 0)]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not life.ends and time.monotonic() < until:
            await asyncio.sleep(POLL_S)
            self._end_due(life)
        running = [[run.task, run.number, "", 100, 1000] for run in life.running.values()]
        finished = [[number, run.task, run.number, run.how, ""] for number, run in life.ends[:500]]
        return 200, {"running": running, "finished": finished}

    @staticmethod
    def _extend(life: Life, expires_ms: float) -> None:
        life.lease_until_ms = max(life.lease_until_ms, min(expires_ms, life.clock_ms + MAX_HOLD_MS))

    def _end_due(self, life: Life) -> None:
        now = time.monotonic()
        lapsed = life.clock_ms >= life.lease_until_ms
        for run in list(life.running.values()):
            if now >= run.due_at:
                self._end(life, run, "done")
            elif now >= run.stopping_at:
                self._end(life, run, "stopped")
            elif lapsed:
                self._end(life, run, "lapsed")

    def _end(self, life: Life, run: Run, how: str) -> None:
        del life.running[run.task, run.number]
        run.ended_at = time.monotonic()
        run.how = how
        life.highest[run.task] = max(life.highest.get(run.task, 0), run.number)
        life.end_count += 1
        life.ends.append((life.end_count, run))
        self._record("end", worker=self.name, task=run.task, run=run.number, how=how)
