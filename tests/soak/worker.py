"""A worker as its agent sees it: HTTP calls, heartbeats, crashes, drains."""

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
MILLISECONDS = 1000
CPU_MILLICORES = 16_000
MEMORY_MB = 32_000
KIND_NAMES = {
    scheduling.EndKind.DONE: "done",
    scheduling.EndKind.FAILED: "failed",
    scheduling.EndKind.STOPPED: "stopped",
    scheduling.EndKind.LOST: "lapsed",
}
REASONS = {
    runs.StartStatus.FENCED: "fence",
    runs.StartStatus.OLD_RUN: "old",
    runs.StartStatus.EXPIRED: "late",
}


class Life:
    """One start of a worker, with what the checks need of it."""

    def __init__(self, worker: leased_worker.LeasedWorker, instance: str, born: int) -> None:
        self.worker = worker
        self.instance = instance
        self.born = born
        self.draining_acknowledged_at: float | None = None


class WorkerStandIn:
    """Runs the tasks that the agent beside it orders; `lives` holds all its starts."""

    def __init__(
        self,
        number: int,
        service: str,
        address: str,
        control_url: str,
        duration_s: "abc.Callable[[ids.RunKey], float]",
        draw: random.Random,
    ) -> None:
        self._number = number
        self._service = service
        self._address = address
        self._control_url = control_url
        self._duration_s = duration_s
        self._draw = draw
        self._sequence = 0
        self.slowness = 1.0
        self.lives: list[Life] = []
        self.is_draining = False
        self.restart()

    @property
    def life(self) -> Life:
        """The present life."""
        return self.lives[-1]

    def restart(self, same_id: bool = False) -> None:
        """End all runs and begin a new life, under the same id or a new one."""
        born = 1_700_000_000_000 + len(self.lives)
        instance = f"i-{self._number}-{len(self.lives)}"
        if self.lives:
            self.life.worker.crash()
            instance = self.life.instance if same_id else instance
        rate = self._draw.uniform(0.98, 1.0)
        worker = leased_worker.LeasedWorker(lambda key: self._duration_s(key) * self.slowness, born, rate)
        self.lives.append(Life(worker, instance, born))
        self.is_draining = False
        self._sequence = 0

    async def beat_forever(self, session: aiohttp.ClientSession) -> None:
        """Send heartbeats while the worker is up."""
        while True:
            if not self.life.worker.is_down:
                await self._beat(session)
            await asyncio.sleep(HEARTBEAT_S)

    async def _beat(self, session: aiohttp.ClientSession) -> None:
        life = self.life
        self._sequence += 1
        was_draining = self.is_draining
        body = {
            "service": self._service,
            "address": self._address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "draining" if was_draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": CPU_MILLICORES, "mem_mb": MEMORY_MB, "gpu": 0},
            "labels": ["a", f"r{self._number // 3}"],
            "clock_ms": int(life.worker.clock_s * MILLISECONDS),
            "seq": self._sequence,
            "born": life.born,
        }
        url = f"{self._control_url}/-/instances/{life.instance}/heartbeat"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):  # the agent may be away; the next beat follows
            async with session.post(url, json=body, timeout=aiohttp.ClientTimeout(total=1.0)) as response:
                if response.status == 200 and was_draining and life.draining_acknowledged_at is None:
                    life.draining_acknowledged_at = asyncio.get_running_loop().time()

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one call of the agent."""
        content = await asgi.read_body(receive, MAX_BODY_BYTES)
        life = self.life
        if asgi.header(scope, b"expect-instance") != life.instance:
            await asgi.respond(send, 421, {})
            return
        body = json.loads(content or b"{}")
        try:
            status, reply = await self._carry_out(scope["path"], body, life.worker)
        except runs.FencedError:
            status, reply = 409, {"reason": "fence"}
        except runs.WorkerCallError:
            await asyncio.sleep(1.0)  # no reply: the agent's own timeout ends the call
            status, reply = 504, {}
        reply["clock_ms"] = int(life.worker.clock_s * MILLISECONDS)
        await asgi.respond(send, status, reply)

    async def _carry_out(
        self, path: str, body: dict[str, Any], worker: leased_worker.LeasedWorker
    ) -> tuple[int, dict[str, Any]]:
        token = int(body["fencing_token"])
        if path == "/-/hold":
            until = body.get("expires_ms")
            listing = await worker.poll(
                token,
                int(body["ack_index"]),
                until / MILLISECONDS if until is not None else None,
                body.get("wait_ms", 0) / MILLISECONDS,
            )
            running = [[job_body.format_task_name(key), key.run, "", 100, 1000] for key in listing.running]
            ended = [
                [end.number, job_body.format_task_name(end.key), end.key.run, KIND_NAMES[end.kind], ""]
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
        reply = await worker.start(runs.StartRequest(key, body["spec"], body["expires_ms"] / MILLISECONDS, token))
        if reply.status is runs.StartStatus.STARTED:
            return 200, {}
        return 409, {"reason": REASONS[reply.status]}
