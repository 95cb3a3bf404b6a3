"""HTTP endpoints for operators, served by both daemons."""

import abc
import json
from typing import TYPE_CHECKING, Any

from cactusgauge import exceptions

if TYPE_CHECKING:
    import falcon.asgi

    from cactusgauge import observability

HEALTH_PATH = "/healthz"
READINESS_PATH = "/readyz"
METRICS_PATH = "/metrics"
STATUS_PATH = "/v1/status"
EVENTS_PATH = "/v1/events"
DRAIN_PATH = "/v1/drain"
RING_ID_HEADER = "Cactusgauge-Ring"
MAX_EVENTS = 1000  # per response; encoding this many blocks the event loop, and so dispatch, for a few milliseconds


class Daemon(abc.ABC):
    """What the operators' endpoints need of a daemon: its state and a way to stop it."""

    @property
    @abc.abstractmethod
    def incarnation(self) -> str:
        """Random id of this run of the daemon."""

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Whether the daemon accepts new work."""

    @property
    @abc.abstractmethod
    def counters(self) -> "observability.Counters":
        """The daemon's counters."""

    @property
    @abc.abstractmethod
    def events(self) -> "observability.EventRing":
        """The ring buffer of the daemon's recent events."""

    @abc.abstractmethod
    def status(self) -> dict[str, Any]:
        """Return the daemon's state as a JSON object."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Begin a graceful shutdown; repeated calls have no effect."""


class OperationsResource:
    """Health, readiness, metrics, status, events and graceful shutdown."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon

    def add_to(self, app: "falcon.asgi.App[falcon.asgi.Request, falcon.asgi.Response]") -> None:
        """Add all routes to an application."""
        app.add_route(HEALTH_PATH, self, suffix="health")
        app.add_route(READINESS_PATH, self, suffix="readiness")
        app.add_route(METRICS_PATH, self, suffix="metrics")
        app.add_route(STATUS_PATH, self, suffix="status")
        app.add_route(EVENTS_PATH, self, suffix="events")
        app.add_route(DRAIN_PATH, self, suffix="drain")

    async def on_get_health(self, request: "falcon.asgi.Request", response: "falcon.asgi.Response") -> None:
        """Answer 200 while the process runs."""
        response.media = {"healthy": True}

    async def on_get_readiness(self, request: "falcon.asgi.Request", response: "falcon.asgi.Response") -> None:
        """Answer 200 while new work is accepted, else 503."""
        response.status = 200 if self._daemon.is_ready else 503
        response.media = {"ready": self._daemon.is_ready}

    async def on_get_metrics(self, request: "falcon.asgi.Request", response: "falcon.asgi.Response") -> None:
        """Answer with the metrics in the Prometheus text format."""
        response.content_type = "text/plain; version=0.0.4"
        response.data = self._daemon.counters.to_prometheus_text()

    async def on_get_status(self, request: "falcon.asgi.Request", response: "falcon.asgi.Response") -> None:
        """Answer with the daemon's state."""
        response.media = self._daemon.status()

    async def on_post_drain(self, request: "falcon.asgi.Request", response: "falcon.asgi.Response") -> None:
        """Begin a graceful shutdown if the body names this incarnation, else answer 409."""
        named_incarnation = (await request.stream.read()).decode(errors="replace")
        if named_incarnation != self._daemon.incarnation:
            error = exceptions.IncarnationChangedError(
                f"the running incarnation is {self._daemon.incarnation}; read the status again and retry"
            )
            response.status = error.http_status
            response.media = {"code": error.code, "message": str(error), "ran": error.ran.value}
            return
        self._daemon.stop()
        response.status = 202
        response.media = {"draining": True}

    async def on_get_events(self, request: "falcon.asgi.Request", response: "falcon.asgi.Response") -> None:
        """Answer with up to MAX_EVENTS events as JSON lines: those after `?after=NUMBER`, or the last `?last=COUNT`.

        RING_ID_HEADER identifies the event ring; a new id means that the process restarted and numbering started over.
        """
        after = request.get_param_as_int("after", default=0, min_value=0)
        last = request.get_param_as_int("last", min_value=0, max_value=MAX_EVENTS)
        ring = self._daemon.events
        if last is not None:
            after = max(0, ring.last_number - last)
        lines = [json.dumps(event._asdict()) for event in ring.since(after, MAX_EVENTS)]
        response.set_header(RING_ID_HEADER, ring.id)
        response.content_type = "application/jsonl"
        response.text = "".join(f"{line}\n" for line in lines)
