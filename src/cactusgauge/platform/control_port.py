"""Receives the heartbeats of the worker beside an agent."""

import json
from typing import TYPE_CHECKING

import pydantic

from cactusgauge import ids, runs, scheduling
from cactusgauge.platform import asgi

if TYPE_CHECKING:
    from cactusgauge import observability

MAX_BODY_BYTES = 4 * 1024 * 1024
STATES = frozenset({"ready", "draining"})
PATH_PREFIX = "/-/instances/"


class _Capacity(pydantic.BaseModel):
    cpu: int = pydantic.Field(ge=0)
    mem_mb: int = pydantic.Field(ge=0)
    gpu: int = pydantic.Field(default=0, ge=0)


class _Heartbeat(pydantic.BaseModel):
    service: str
    address: str
    state: str
    capacity: _Capacity
    labels: list[str] = []
    clock_ms: float
    seq: int
    born: int = 0


class ControlPort:
    """ASGI application for heartbeats and farewells of workers; metrics are served here as well."""

    def __init__(
        self,
        controller: runs.RunController,
        counters: "observability.Counters",
        journal: "observability.Journal",
    ) -> None:
        self._controller = controller
        self._counters = counters
        self._journal = journal

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request."""
        path: str = scope["path"]
        if path == "/metrics":
            await asgi.respond(send, 200, self._counters.exposition())
            return
        worker, _, action = path.removeprefix(PATH_PREFIX).partition("/")
        if not path.startswith(PATH_PREFIX) or action not in ("heartbeat", "leave"):
            await asgi.respond(send, 404, {})
            return
        try:
            body = await asgi.read_body(receive, MAX_BODY_BYTES)
        except asgi.BodyTooLargeError:
            await asgi.respond(send, 413, {})
            return
        if body is None:
            return
        if action == "leave":
            self._controller.handle_leave(ids.WorkerId(worker))
            await asgi.respond(send, 200, {})
            return
        await asgi.respond(send, self._take_heartbeat(worker, body), {})

    def _take_heartbeat(self, worker: str, body: bytes) -> int:
        try:
            beat = _Heartbeat.model_validate(json.loads(body))
        except ValueError as error:
            self._journal.decision("heartbeat_unreadable", worker=worker, error=" ".join(str(error).split())[:120])
            return 400
        if beat.state not in STATES:
            self._journal.decision("heartbeat_unreadable", worker=worker, error=f"state {beat.state[:20]}")
            return 400
        announced = runs.WorkerHeartbeat(
            worker=ids.WorkerId(worker),
            incarnation=beat.born,  # Unix milliseconds of the worker's start
            sequence=beat.seq,
            service=ids.ServiceName(beat.service),
            address=beat.address,
            is_draining=beat.state == "draining",
            capacity=scheduling.Resources(beat.capacity.cpu, beat.capacity.mem_mb, beat.capacity.gpu),
            labels=tuple(beat.labels),
            clock_s=beat.clock_ms / 1000,
        )
        if not self._controller.handle_heartbeat(announced):
            self._counters.add("heartbeats_old", "", worker)
        return 200
