"""A fake worker that serves its agent over HTTP and sends heartbeats, and can crash, restart and drain."""

import asyncio
import contextlib
import json
import random
from typing import TYPE_CHECKING, Any

import aiohttp

from cactusgauge import ids, runs, scheduling
from cactusgauge.platform import asgi, job_body
from emulator import leased_worker

if TYPE_CHECKING:
    from collections import abc

HEARTBEAT_S = 0.5
MAX_BODY_BYTES = 1 << 20
MS_PER_S = 1000
CPU_MILLICORES = 16_000
UNUSED_PORT = 9
MISSING = object()  # value of a field that a heartbeat does not have
# What makes a heartbeat one of another writer, which names no worker to use.
FOREIGN_CHANGES: tuple[dict[str, Any], ...] = (
    {"service": "telemetry"},
    {"state": "starting"},
    {"slots": "8"},
    {"zone": MISSING},
    {"version": 1},
    {"capacity": {"cpu": 64_000}},
    {"labels": MISSING},
    {"born": MISSING},
)
MEMORY_MB = 32_000
END_KIND_NAMES = {
    scheduling.EndKind.DONE: "done",
    scheduling.EndKind.FAILED: "failed",
    scheduling.EndKind.STOPPED: "stopped",
    scheduling.EndKind.LOST: "lapsed",
}
REFUSAL_REASONS = {
    runs.StartStatus.FENCED: "fence",
    runs.StartStatus.OLD_RUN: "old",
    runs.StartStatus.EXPIRED: "late",
}


class Incarnation:
    """The time between two starts of a worker, with what the checks of the promises need.

    `instance` is the id of the worker, and `number` the incarnation number that it reports as `born`.
    `drain_acknowledged_at` is the loop time at which the agent first confirmed a heartbeat with the state `draining`.
    `capacities` holds the CPU in its heartbeats (thousandths of a core), each with the loop time of the confirmation.
    """

    def __init__(self, worker: leased_worker.LeasedWorker, instance: str, number: int) -> None:
        self.capacities: list[tuple[float, int]] = []
        self.worker = worker
        self.instance = instance
        self.number = number
        self.drain_acknowledged_at: float | None = None


class FakeWorker:
    """Runs the tasks that its agent starts; an ASGI application for the agent's calls.

    The agent calls the worker at `address`; the worker sends its heartbeats to the agent at `control_url`.
    `incarnations` holds all incarnations in order, the current one last.
    """

    def __init__(
        self,
        number: int,
        service: str,
        address: str,
        control_url: str,
        duration_s: "abc.Callable[[ids.RunKey], float]",
        rng: random.Random,
        crashing_jobs: "set[ids.JobKey] | None" = None,
    ) -> None:
        self._number = number
        self._crashing_jobs = set() if crashing_jobs is None else crashing_jobs
        self.cpu_millicores = CPU_MILLICORES
        self._service = service
        self._address = address
        self._control_url = control_url
        self._duration_s = duration_s
        self._rng = rng
        self._sequence = 0
        self.slowdown = 1.0
        self.incarnations: list[Incarnation] = []
        self.is_draining = False
        self.restart()

    @property
    def incarnation(self) -> Incarnation:
        """The current incarnation."""
        return self.incarnations[-1]

    @property
    def is_crashed_by_job(self) -> bool:
        """Whether the last run crashed the worker, which is down since."""
        worker = self.incarnation.worker
        return worker.is_down and bool(worker.history) and worker.history[-1].key.job in self._crashing_jobs

    def restart(self, same_id: bool = False) -> None:
        """End all runs and begin a new incarnation, with the same instance id or a new one."""
        # Like a Unix time in milliseconds, and higher after each restart.
        incarnation_number = 1_700_000_000_000 + len(self.incarnations)
        instance = f"i-{self._number}-{len(self.incarnations)}"
        if self.incarnations:
            self.incarnation.worker.crash()
            instance = self.incarnation.instance if same_id else instance
        clock_rate = self._rng.uniform(0.98, 1.0)  # the platform allows worker clocks to be up to 2 % slow
        worker = leased_worker.LeasedWorker(
            lambda key: self._duration_s(key) * self.slowdown, incarnation_number, clock_rate
        )
        worker.crashing_jobs = self._crashing_jobs
        self.incarnations.append(Incarnation(worker, instance, incarnation_number))
        self.is_draining = False
        self._sequence = 0

    async def send_heartbeats(self, session: aiohttp.ClientSession) -> None:
        """Send heartbeats while the worker is up."""
        while True:
            if not self.incarnation.worker.is_down:
                await self._send_heartbeat(session)
            await asyncio.sleep(HEARTBEAT_S)

    async def send_foreign_heartbeat(self, rng: random.Random) -> None:
        """Send the agent a heartbeat of another writer, which seems to come from a later start of some worker."""
        host = self._address.partition(":")[0]
        body = {
            **self._heartbeat(),
            "address": rng.choice([self._address, f"{host}:{UNUSED_PORT}"]),
            "clock_ms": rng.choice([1000, 10**9]),
            "seq": 10**6,
            "born": self.incarnation.number + rng.choice([0, 10**6]),
            **rng.choice(FOREIGN_CHANGES),
        }
        body = {field: value for field, value in body.items() if value is not MISSING}
        url = f"{self._control_url}/-/instances/{rng.choice([self.incarnation.instance, 'x-0'])}/heartbeat"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session,
                session.post(url, json=body),
            ):
                pass

    def _heartbeat(self) -> dict[str, Any]:
        return {
            "service": self._service,
            "address": self._address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu_millicores, "mem_mb": MEMORY_MB, "gpu": 0},
            "labels": ["a", f"r{self._number // 3}"],
            "clock_ms": int(self.incarnation.worker.clock_s * MS_PER_S),
            "seq": self._sequence,
            "born": self.incarnation.number,
        }

    async def _send_heartbeat(self, session: aiohttp.ClientSession) -> None:
        incarnation = self.incarnation
        self._sequence += 1
        reports_draining = self.is_draining
        cpu_millicores = self.cpu_millicores
        body = self._heartbeat()
        url = f"{self._control_url}/-/instances/{incarnation.instance}/heartbeat"
        # The agent may be down; the next heartbeat tries again.
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(url, json=body, timeout=aiohttp.ClientTimeout(total=1.0)) as response:
                if response.status != 200:
                    return
                now = asyncio.get_running_loop().time()
                incarnation.capacities.append((now, cpu_millicores))
                if reports_draining and incarnation.drain_acknowledged_at is None:
                    incarnation.drain_acknowledged_at = now

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Handle one call from the agent."""
        content = await asgi.read_body(receive, MAX_BODY_BYTES)
        incarnation = self.incarnation
        if asgi.header(scope, b"expect-instance") != incarnation.instance:
            await asgi.respond(send, 421, {})
            return
        body = json.loads(content or b"{}")
        try:
            status, reply = await self._handle_call(scope["path"], body, incarnation.worker)
        except runs.FencedError:
            status, reply = 409, {"reason": "fence"}
        except runs.WorkerCallError:
            await asyncio.sleep(1.0)  # acts as no reply: the agent's call times out first
            status, reply = 504, {}
        reply["clock_ms"] = int(incarnation.worker.clock_s * MS_PER_S)
        await asgi.respond(send, status, reply)

    async def _handle_call(
        self, path: str, body: dict[str, Any], worker: leased_worker.LeasedWorker
    ) -> tuple[int, dict[str, Any]]:
        token = int(body["fencing_token"])
        if path == "/-/hold":
            lease_until_ms = body.get("expires_ms")
            listing = await worker.poll(
                token,
                int(body["ack_index"]),
                lease_until_ms / MS_PER_S if lease_until_ms is not None else None,
                body.get("wait_ms", 0) / MS_PER_S,
            )
            # Only the first two columns, task and run, are used by agents.
            running = [[job_body.format_task_name(key), key.run, "", 100, 1000] for key in listing.running]
            # Columns: number of the end, task, run, kind of end, checkpoint.
            ended = [
                [end.number, job_body.format_task_name(end.key), end.key.run, END_KIND_NAMES[end.kind], ""]
                for end in listing.ends
                if end.key is not None
            ]
            return 200, {"running": running, "finished": ended, "born": listing.incarnation}
        key = job_body.parse_run_key(body["task"], body["run"])
        if key is None:
            return 400, {}
        if path == "/-/run-stop":
            await worker.stop(key, token)
            return 200, {}
        reply = await worker.start(runs.StartRequest(key, body["spec"], body["expires_ms"] / MS_PER_S, token))
        if reply.status is runs.StartStatus.STARTED:
            return 200, {}
        return 409, {"reason": REFUSAL_REASONS[reply.status]}
