"""A stand-in of a sound worker: runs tasks under a lease and sends heartbeats to the agent of its machine.

The time that a task takes stands in its job's `spec` as `ms=NUMBER`.
"""

import asyncio
import contextlib
import time

import aiohttp
from aiohttp import web

STOP_S = 0.02
MAX_HOLD_MS = 1000
TICK_S = 0.002


class Run:
    """One run; `ended_at` and `how` are None while it runs."""

    def __init__(self, task, number, spec, now, work_s):
        self.task, self.number, self.spec = task, number, spec
        self.started_at, self.due_at = now, now + work_s
        self.stop_at = None
        self.ended_at = self.how = None


class Worker:
    """A worker on the machine `ip`, with 64 cores and 128 GB unless said otherwise; `runs` holds all of its runs."""

    def __init__(self, name, ip, port, control, service, heartbeat_s=1.5, cpu=64_000, labels=("a", "r1-1"), log=None):
        self.id, self.ip, self.port, self.control = name, ip, port, control
        self.service, self.heartbeat_s, self.cpu, self.labels = service, heartbeat_s, cpu, list(labels)
        self.born = int(time.time() * 1000)
        self.log = log or (lambda text: None)
        self.state, self.runs, self.active, self.highest = "ready", [], {}, {}
        self.calls = 0
        self._began = time.monotonic()
        self._token, self._lease_ms, self._ends, self._end_count, self._sequence = 0, 0.0, [], 0, 0
        self._tasks, self._runner = [], None

    async def __aenter__(self):
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/-/run-start", self._guard(self._start))
        app.router.add_post("/-/run-stop", self._guard(self._stop))
        app.router.add_post("/-/hold", self._guard(self._hold))
        self._runner = web.AppRunner(app, access_log=None, keepalive_timeout=3600, shutdown_timeout=0.5)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.ip, self.port).start()
        self._tasks = [asyncio.create_task(self._beat_forever()), asyncio.create_task(self._tick_forever())]
        return self

    async def __aexit__(self, *exception):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._runner.cleanup()

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._began) * 1000)

    async def _beat_forever(self):
        async with aiohttp.ClientSession() as session:
            while True:
                await self.send_heartbeat(session)
                await asyncio.sleep(self.heartbeat_s)

    async def send_heartbeat(self, session):
        self._sequence += 1
        body = {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": "serra", "version": "v1", "slots": 8,
            "state": self.state, "cold_remaining_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
            "labels": self.labels, "clock_ms": self.clock_ms, "seq": self._sequence, "born": self.born,
        }  # fmt: skip
        url = f"http://{self.control}/-/instances/{self.id}/heartbeat"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.post(url, json=body, timeout=aiohttp.ClientTimeout(total=1.0)) as response:
                return response.status

    def _guard(self, handler):
        async def guarded(request):
            self.calls += 1
            if request.headers.get("Expect-Instance", self.id) != self.id:
                return web.json_response({}, status=421)
            body = await request.json()
            self._end_due()
            if body.get("fencing_token", 0) < self._token:
                return self._reply(409, reason="fence")
            self._token = body.get("fencing_token", 0)
            return await handler(body)

        return guarded

    def _reply(self, status, **fields):
        return web.json_response({"clock_ms": self.clock_ms, **fields}, status=status)

    def _extend(self, expires_ms):
        self._lease_ms = max(self._lease_ms, min(expires_ms, self.clock_ms + MAX_HOLD_MS))

    async def _start(self, body):
        task, number = body["task"], body["run"]
        run = self.active.get(task)
        if run is not None and run.number == number:
            return self._reply(200)
        if run is not None or number <= self.highest.get(task, 0):
            self._extend(body["expires_ms"])
            return self._reply(409, reason="old")
        if body["expires_ms"] <= self.clock_ms:
            return self._reply(409, reason="late")
        self._extend(body["expires_ms"])
        work_s = int(body["spec"].partition("ms=")[2].split()[0]) / 1000
        run = Run(task, number, body["spec"], time.monotonic(), work_s)
        self.active[task] = run
        self.runs.append(run)
        self.log(f"{self.id}: start {task} run {number}")
        return self._reply(200)

    async def _stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.active.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
        return self._reply(200)

    async def _hold(self, body):
        if "expires_ms" in body:
            self._extend(body["expires_ms"])
        self._ends = [end for end in self._ends if end[0] > body["ack_index"]]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ends and time.monotonic() < until:
            await asyncio.sleep(TICK_S)
        running = [[run.task, run.number, "", 100, 1000] for run in self.active.values()]
        return self._reply(200, running=running, finished=self._ends[:500], born=self.born)

    async def _tick_forever(self):
        while True:
            self._end_due()
            await asyncio.sleep(TICK_S)

    def _end_due(self):
        now = time.monotonic()
        lapse_at = self._began + self._lease_ms / 1000
        for run in list(self.active.values()):
            ends = [(run.due_at, "done"), (lapse_at, "lapsed")]
            if run.stop_at is not None:
                ends.append((run.stop_at, "stopped"))
            at, how = min(ends)
            if at <= now:
                run.ended_at, run.how = now, how
                del self.active[run.task]
                self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
                self._end_count += 1
                self._ends.append([self._end_count, run.task, run.number, how, ""])
                self.log(f"{self.id}: {how} {run.task} run {run.number}")
