"""HTTP endpoints of an entry for jobs and for readiness checks."""

import asyncio
import math
from typing import TYPE_CHECKING, Any

from cactusgauge import exceptions, fleet, ids, scheduling
from cactusgauge.platform import asgi, job_body

if TYPE_CHECKING:
    from cactusgauge import observability

DEFAULT_DEADLINE_S = 30.0  # for requests without a deadline header; a job is also canceled when its caller disconnects
MAX_DEADLINE_S = 86_400.0  # longer waits are cut to this
NO_CONFIG_RETRY_AFTER_S = 1
CANCELLATION_RETRY_AFTER_S = 1
MAX_LOGGED_PATH_LENGTH = 200  # characters

STATE_NAMES = {
    scheduling.JobResult.SUCCEEDED: "succeeded",
    scheduling.JobResult.FAILED: "failed",
    scheduling.JobResult.CANCELED: "canceled",
}
# The protocol has no `canceled` in the response to a submission.
SUBMISSION_STATE_NAMES = {**STATE_NAMES, scheduling.JobResult.CANCELED: "failed"}


class BadHeaderError(exceptions.CactusgaugeError):
    """A header of a request is invalid."""

    code = "bad_header"
    http_status = 400


class JobApp:
    """ASGI application for jobs; translates between HTTP and `ParallelJobService`."""

    def __init__(
        self,
        job_service: fleet.ParallelJobService,
        cache: fleet.ConfigCache,
        entry: fleet.EntryLinkServer,
        cancellations: fleet.CancellationLog,
        counters: "observability.Counters",
        journal: "observability.Journal",
    ) -> None:
        self._job_service = job_service
        self._cache = cache
        self._entry = entry
        self._cancellations = cancellations
        self._counters = counters
        self._journal = journal
        self.is_draining = False

    @property
    def is_ready(self) -> bool:
        """Whether the platform should route new connections to this entry."""
        return not self.is_draining and self._cache.routes is not None and self._entry.has_workers

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Handle one request; an unexpected error is answered with 500 and ends nothing else."""
        if scope.get("type") == "websocket":
            self._journal.log_event("request_refused", path=self._path(scope), reason="websocket")
            await asgi.refuse_websocket(receive, send)
            return
        is_answered = False

        async def tracked_send(message: dict[str, Any]) -> None:
            nonlocal is_answered
            is_answered = True
            await send(message)

        try:
            await self._serve(scope, receive, tracked_send)
        except Exception as error:
            self._journal.log_event(
                "request_failed", path=self._path(scope), error=f"{type(error).__name__}: {error}"[:200]
            )
            if is_answered:
                raise
            await self._respond(send, 500, {"code": "internal"})

    async def _serve(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        arrived_at = asyncio.get_running_loop().time()
        routes = self._cache.routes
        path: str = scope["path"]
        if routes is None:
            self._journal.log_event("request_refused", path=self._path(scope), reason="no_config")
            await self._respond(send, 503, {}, NO_CONFIG_RETRY_AFTER_S)
            return
        route = routes.find(asgi.header(scope, b"host").partition(":")[0], path)
        if route is None:
            self._journal.log_event(
                "request_refused", path=self._path(scope), reason="no_route", config_version=self._cache.version
            )
            await self._respond(send, 404, {})
            return
        job_id = path[len(route.path_prefix) :]
        method: str = scope["method"]
        try:
            body = await asgi.read_body(receive, routes.limits.max_body_bytes)
        except asgi.BodyTooLargeError:
            await self._respond(send, 413, {})
            return
        if body is None:
            return
        if not job_id and method == "GET":
            await self._respond(send, 200, {"pending": self._entry.scheduler.count_waiting_jobs(route.policy.queue)})
        elif not job_body.is_job_id(job_id):
            await self._respond(send, 404, {})
        elif method == "POST":
            await self._submit(scope, receive, send, route, job_id, body, arrived_at)
        elif method == "GET":
            await self._get(send, ids.QueuedJob(route.policy.queue, ids.JobKey(job_id)))
        elif method == "DELETE":
            await self._delete(send, ids.QueuedJob(route.policy.queue, ids.JobKey(job_id)))
        else:
            await self._respond(send, 405, {})

    async def _submit(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        route: fleet.Route,
        job_id: str,
        body: bytes,
        arrived_at: float,
    ) -> None:
        try:
            deadline = arrived_at + self._time_to_deadline_s(scope)
            decoded = job_body.decode(body)
            if route.policy.needs_advice:
                raise job_body.UnsupportedJobError("queues with an advisor are not supported")
        except (BadHeaderError, job_body.BadJobError, job_body.UnsupportedJobError) as error:
            self._journal.log_event("job_refused", job=job_id, reason=error.code, detail=str(error))
            await self._respond(send, error.http_status, {"code": error.code, "message": str(error)})
            return
        new_job = fleet.NewJob(ids.JobKey(job_id), route.policy, decoded.steps, decoded.payload, deadline)
        answer = await self._job_service.submit(new_job, lambda: self._wait_for_disconnect(receive))
        if answer is None:
            self._counters.add("callers_left", route.policy.queue, "")
            return
        if answer.result is scheduling.JobResult.NOT_RUN:
            await self._respond(send, 503, {"code": answer.reason}, answer.retry_after_s)
        elif answer.result is scheduling.JobResult.UNFINISHED:
            await self._respond(send, 504, {"code": answer.reason}, answer.retry_after_s)
        else:
            await self._respond(send, 200, {"state": SUBMISSION_STATE_NAMES[answer.result]})

    async def _get(self, send: asgi.Send, job: ids.QueuedJob) -> None:
        open_job = self._job_service.open_job(job)
        answer = self._job_service.answer(job)
        if open_job is not None:
            await self._respond(send, 200, {"state": "running" if open_job.has_started else "queued"})
        elif answer is not None:
            await self._respond(send, 200, {"state": STATE_NAMES[answer.result]})
        else:
            await self._respond(send, 410, {})

    async def _delete(self, send: asgi.Send, job: ids.QueuedJob) -> None:
        """Cancel a job wherever it is; acknowledge it only once all entries that can reach the store will learn it."""
        was_open = self._job_service.cancel(job)
        self._entry.broadcast_cancel(job)  # its POST may arrive again at an entry that can't reach the store
        try:
            await self._cancellations.record(job)
        except fleet.StoreUnavailableError as error:
            self._journal.log_event("cancellation_not_stored", job=job.key, reason=str(error))
            await self._respond(send, 503, {"code": error.code}, CANCELLATION_RETRY_AFTER_S)
            return
        self._journal.log_event("cancellation_stored", job=job.key, was_open=was_open)
        await self._respond(send, 200 if was_open else 410, {})

    @staticmethod
    async def _wait_for_disconnect(receive: asgi.Receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass

    @staticmethod
    def _time_to_deadline_s(scope: asgi.Scope) -> float:
        text = asgi.header(scope, b"deadline-ms")
        if not text:
            return DEFAULT_DEADLINE_S
        try:
            wait_ms = float(text)
        except ValueError:
            wait_ms = math.nan
        if not wait_ms >= 0:
            raise BadHeaderError(f"Deadline-Ms: a number of milliseconds is expected (found {text[:20]!r})")
        return min(wait_ms / 1000, MAX_DEADLINE_S)

    @staticmethod
    def _path(scope: asgi.Scope) -> str:
        return str(scope["path"])[:MAX_LOGGED_PATH_LENGTH]

    async def _respond(
        self,
        send: asgi.Send,
        status: int,
        body: dict[str, Any],
        retry_after_s: int = 0,
    ) -> None:
        headers = []
        if retry_after_s:
            headers.append((b"retry-after", str(retry_after_s).encode()))
        if not self.is_ready:
            # An open connection stays with its entry; callers reach an entry that can serve them on a new one.
            headers.append((b"connection", b"close"))
        self._counters.add("responses", "", str(status))
        await asgi.respond(send, status, body, headers)


class ReadinessApp:
    """ASGI application that answers the platform's readiness checks and serves metrics."""

    def __init__(self, job_app: JobApp, counters: "observability.Counters") -> None:
        self._job_app = job_app
        self._counters = counters

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Handle one request."""
        if scope["path"] == "/metrics":
            await asgi.respond(send, 200, self._counters.to_prometheus_text())
        elif scope["path"] == "/-/ready":
            await asgi.respond(send, 200 if self._job_app.is_ready else 503, {})
        else:
            await asgi.respond(send, 404, {})
