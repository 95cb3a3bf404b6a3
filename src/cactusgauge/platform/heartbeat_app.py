"""HTTP endpoint for the heartbeats of the local worker of an agent."""

import re
from typing import TYPE_CHECKING

import pydantic

from cactusgauge import ids, runs, scheduling
from cactusgauge.platform import asgi, json_document, network_address

if TYPE_CHECKING:
    from cactusgauge import observability

MAX_BODY_BYTES = 4 * 1024 * 1024
KNOWN_STATES = frozenset({"ready", "draining"})
PATH_PREFIX = "/-/instances/"
MAX_LABELS = 100  # a worker has one for its kind and one for its rack; every report to an entry contains all
WORKER_ID = re.compile(rf"[!-~]{{1,{json_document.MAX_NAME_LENGTH}}}")  # it is sent in a header of each request
MAX_LOGGED_ID_LENGTH = 80  # characters


class _Capacity(pydantic.BaseModel):
    cpu: json_document.ResourceAmount  # thousandths of a core
    mem_mb: json_document.ResourceAmount
    gpu: json_document.ResourceAmount


class _Heartbeat(pydantic.BaseModel):
    """All fields that a worker reports, also those that are not used: another writer's heartbeat may lack some."""

    service: json_document.Name
    address: network_address.AddressText
    zone: json_document.Name
    version: json_document.Text  # of the worker's software
    slots: json_document.Count
    state: str
    cold_remaining_ms: json_document.DurationMs
    remaining_ms: json_document.DurationMs = 0.0  # only while it is draining
    capacity: _Capacity
    labels: list[json_document.Name] = pydantic.Field(max_length=MAX_LABELS)
    machine: json_document.Name = ""
    clock_ms: json_document.ClockMs
    seq: json_document.Count
    born: json_document.UnixMs


class HeartbeatApp:
    """ASGI application that receives heartbeats and leave notices of the local worker, and serves metrics."""

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
        """Handle one request."""
        path: str = scope["path"]
        if path == "/metrics":
            await asgi.respond(send, 200, self._counters.to_prometheus_text())
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
        if not WORKER_ID.fullmatch(worker):
            self._reject(worker, "the worker's id is not of 1 to 255 printable ASCII characters")
            await asgi.respond(send, 400, {})
            return
        if action == "leave":
            self._controller.handle_leave(ids.WorkerId(worker))
            await asgi.respond(send, 200, {})
            return
        await asgi.respond(send, self._handle_heartbeat(worker, body), {})

    def _handle_heartbeat(self, worker: str, body: bytes) -> int:
        """Process a heartbeat; return the HTTP status of the response."""
        try:
            parsed = json_document.read(_Heartbeat, body)
        except json_document.UnreadableError as error:
            self._reject(worker, str(error))
            return 400
        if parsed.state not in KNOWN_STATES:
            self._reject(worker, f"unknown state {parsed.state[:20]}")
            return 400
        heartbeat = runs.WorkerHeartbeat(
            worker=ids.WorkerId(worker),
            incarnation=parsed.born,  # Unix milliseconds of the worker's start
            sequence=parsed.seq,
            service=ids.ServiceName(parsed.service),
            address=parsed.address,
            is_draining=parsed.state == "draining",
            capacity=scheduling.Resources(parsed.capacity.cpu, parsed.capacity.mem_mb, parsed.capacity.gpu),
            labels=tuple(parsed.labels),
            clock_s=parsed.clock_ms / 1000,
        )
        result = self._controller.handle_heartbeat(heartbeat)
        if result is runs.HeartbeatResult.OLD:
            self._counters.add("heartbeats_old", "", worker)
        return 400 if result is runs.HeartbeatResult.REFUSED else 200

    def _reject(self, worker: str, reason: str) -> None:
        self._journal.log_event("heartbeat_unreadable", worker=worker[:MAX_LOGGED_ID_LENGTH], error=reason)
