"""An emulated backend server that sleeps instead of running tasks, registers with its agent and records all starts.

The payload of a task is a JSON object such as `{"run_ms": 50, "result": "ok"}`; `run_ms` is the run time on a server
of speed 1. The journal remains after the process has ended. It has one JSON line for each start, refusal and end of a
task and for each change of the announcement mode, with the time of the system-wide monotonic clock in seconds.
"""

import asyncio
import collections
import contextlib
import enum
import json
import os
import random
import signal
import time
import uuid
from typing import Any, NamedTuple

import aiohttp
import click
import falcon.asgi

from cactusgauge import accounting, exceptions, http_server, log_service
from cactusgauge.agent import backend_server_resource, task_runner

RENEW_INTERVAL_S = 0.5
REPORT_RETRY_DELAY_S = 0.2
LAST_REPORT_TIMEOUT_S = 5.0
MILLISECONDS_PER_SECOND = 1000
DROP_HEADER = "Emulator-Drop"
EXCESSIVE_CONTENT_LENGTH = "1000"  # longer than the body, so that the client sees an incomplete response


class Faults(NamedTuple):
    """Faults to inject, each as a probability per task."""

    fail: float = 0.0
    drop: float = 0.0
    refuse: float = 0.0
    straggle: float = 0.0


class AnnouncementMode(enum.Enum):
    """Whether the server renews its lease at the agent, gives it up or sends nothing."""

    RENEW = "renew"
    LEAVE = "leave"
    SILENT = "silent"


class BackendServer:
    """Emulates the runs of tasks and counts the starts by task id."""

    def __init__(
        self, name: str, speed: float, slots: int, seed: int, faults: Faults, journal: str | None = None
    ) -> None:
        self._name = name
        self._speed = speed
        self._slots = slots
        self._random = random.Random(seed)
        self._faults = faults
        self._starts: collections.Counter[str] = collections.Counter()
        self._ended: dict[str, str] = {}
        self._running = 0
        self._max_running = 0
        self._slot_seconds = 0.0
        self._journal = os.open(journal, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600) if journal else None
        self._announcement_mode = AnnouncementMode.RENEW
        self.lease = ""

    @property
    def announcement_mode(self) -> AnnouncementMode:
        """The announcement mode that was set last."""
        return self._announcement_mode

    def report(self) -> dict[str, Any]:
        """Return the starts and results by task id, the highest number of concurrent tasks, and the slot time used."""
        return {
            "name": self._name,
            "starts": dict(self._starts),
            "ended": self._ended,
            "running": self._running,
            "max_running": self._max_running,
            "slots": self._slots,
            "slot_seconds": self._slot_seconds,
        }

    def write_journal(self, event: str, task: str = "") -> None:
        """Append a line to the journal without buffering, so that no line is lost if the process is killed."""
        if self._journal is not None:
            line = json.dumps({"event": event, "task": task, "at": time.monotonic(), "running": self._running})
            os.write(self._journal, f"{line}\n".encode())

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Run one task, or refuse it if its lease is outdated or a refusal is injected."""
        task_id = request.get_header(task_runner.TASK_HEADER, required=True)
        body = await request.stream.read()
        stale = bool(self.lease) and request.get_header(task_runner.LEASE_HEADER) != self.lease
        if stale or self._random.random() < self._faults.refuse:
            self.write_journal("refused", task_id)
            response.status = task_runner.PRECONDITION_FAILED
            response.set_header(task_runner.NOT_RUN_HEADER, "1")
            return
        self._starts[task_id] += 1
        self._running += 1
        self._max_running = max(self._max_running, self._running)
        self.write_journal("start", task_id)
        began = time.monotonic()
        try:
            await self._run(task_id, body, response)
        finally:
            self._slot_seconds += time.monotonic() - began
            self._running -= 1

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Respond with the report."""
        response.media = self.report()

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Set the faults and the announcement mode; a field that is left out returns to its default."""
        change = json.loads(await request.stream.read())
        self._faults = Faults(**change.get("faults", {}))
        self._announcement_mode = AnnouncementMode(change.get("announcing", "renew"))
        response.media = change

    async def _run(self, task_id: str, body: bytes, response: falcon.asgi.Response) -> None:
        parameters = json.loads(body) if body else {}
        run_s = parameters.get("run_ms", 0) / MILLISECONDS_PER_SECOND / self._speed
        if self._random.random() < self._faults.straggle:
            run_s *= 10
        failing = self._random.random() < self._faults.fail
        if not failing:
            await asyncio.sleep(run_s)
        self._ended[task_id] = "failed" if failing else "completed"
        self.write_journal("end", task_id)
        response.status = 500 if failing else 200
        response.text = parameters.get("result", "ok")
        if self._random.random() < self._faults.drop:
            response.set_header(DROP_HEADER, "1")


class ReportOptions(NamedTuple):
    """Destination, labels, interval and delay of the usage reports."""

    log_url: str
    worker: str
    workspace: str
    interval_s: float
    lag_s: float


class UsageReporter:
    """Appends usage reports about a worker to the log, as the platform does."""

    def __init__(self, server: BackendServer, log: log_service.LogService, options: ReportOptions) -> None:
        self._server = server
        self._log = log
        self._options = options
        self._incarnation = uuid.uuid4().hex
        self._pending: collections.deque[accounting.UsageReport] = collections.deque()
        self._sequence = 0

    async def open(self) -> None:
        """Append the first report; the server registers with its agent only after this."""
        self._queue_report(final=False)
        await self._append_due(0.0)

    async def run(self) -> None:
        """Create a report every interval and append it after the configured delay."""
        while True:
            await asyncio.sleep(self._options.interval_s)
            self._queue_report(final=False)
            await self._append_due(self._options.lag_s)

    async def close(self) -> None:
        """Append the final report and all pending ones; give up after LAST_REPORT_TIMEOUT_S."""
        self._queue_report(final=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_REPORT_TIMEOUT_S):
                await self._append_due(0.0)

    def _queue_report(self, final: bool) -> None:
        report = self._server.report()
        self._sequence += 1
        self._pending.append(
            accounting.UsageReport(
                worker=self._options.worker,
                workspace=self._options.workspace,
                incarnation=self._incarnation,
                sequence=self._sequence,
                to_s=time.time(),
                slots=report["slots"],
                starts=sum(report["starts"].values()),
                slot_seconds=report["slot_seconds"],
                final=final,
            )
        )

    async def _append_due(self, lag_s: float) -> None:
        while self._pending and self._pending[0].to_s + lag_s <= time.time():
            try:
                await self._log.append(accounting.REPORT_STREAM, self._pending[0].encode())
                self._pending.popleft()
            except exceptions.LogServiceError:
                await asyncio.sleep(REPORT_RETRY_DELAY_S)


class DroppingApp(falcon.asgi.App[falcon.asgi.Request, falcon.asgi.Response]):
    """Aborts the responses that are marked with DROP_HEADER; the HTTP server then closes the connection."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:  # type: ignore[override]
        """Serve one request."""
        dropping = False

        async def send_or_drop(message: Any) -> None:
            nonlocal dropping
            if dropping:
                raise ConnectionAbortedError("response dropped by an injected fault")
            if any(name == DROP_HEADER.lower().encode() for name, _ in message.get("headers", [])):
                dropping = True
                message = {**message, "headers": [(b"content-length", EXCESSIVE_CONTENT_LENGTH.encode())]}
            await send(message)

        await super().__call__(scope, receive, send_or_drop)


async def _announce(server: BackendServer, name: str, url: str, agent_url: str) -> None:
    announce_url = f"{agent_url}{backend_server_resource.BACKEND_SERVER_PATH}"
    current_mode = AnnouncementMode.RENEW
    granted_s: float | None = None
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as session:
        try:
            while True:
                if server.announcement_mode is not current_mode:
                    current_mode = server.announcement_mode
                    server.write_journal(current_mode.value)
                    if current_mode is AnnouncementMode.LEAVE:
                        await _leave(server, session, announce_url)
                body = {"name": name, "url": url, "lease": server.lease or None, "granted_s": granted_s}
                is_new_lease = False
                if current_mode is AnnouncementMode.RENEW:
                    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                        async with session.put(announce_url, json=body) as response:
                            grant: dict[str, Any] = (
                                await response.json() if response.ok else {"lease": "", "granted_s": None}
                            )
                        is_new_lease = grant["lease"] != server.lease
                        server.lease, granted_s = grant["lease"], grant["granted_s"]
                if not is_new_lease:  # a new lease becomes valid only with its first renewal, which is sent at once
                    await asyncio.sleep(RENEW_INTERVAL_S)
        finally:
            await _leave(server, session, announce_url)


async def _leave(server: BackendServer, session: aiohttp.ClientSession, announce_url: str) -> None:
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        await session.delete(announce_url, params={"lease": server.lease})


async def _serve(
    server: BackendServer,
    name: str,
    host: str,
    port: int,
    announced_port: int | None,
    agent_url: str,
    reports: ReportOptions | None,
) -> None:
    app = DroppingApp()
    app.add_route("/task", server)
    app.add_route("/report", server)
    listener = http_server.HttpServer(app, host, port)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    serving = asyncio.create_task(listener.run_until_stopped())
    task_url = f"http://{host}:{announced_port or port}/task"
    async with contextlib.AsyncExitStack() as stack:
        reporter = None
        background = []
        if reports is not None:
            session = await stack.enter_async_context(aiohttp.ClientSession())
            reporter = UsageReporter(server, log_service.HttpLogService(session, reports.log_url), reports)
            await reporter.open()
            background.append(asyncio.create_task(reporter.run()))
        background.append(asyncio.create_task(_announce(server, name, task_url, agent_url)))
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait({stopping, serving}, return_when=asyncio.FIRST_COMPLETED)
        if serving.done():  # the port cannot be bound; the agent must not be left with a server that gets no tasks
            await serving
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        while server.report()["running"]:
            await asyncio.sleep(0.05)
        listener.stop()
        await serving
        if reporter is not None:
            await reporter.close()


@click.command()
@click.option("--name", required=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--announced-port", type=int, help="Port to announce to the agent, if it differs from --port.")
@click.option("--agent-url", required=True, help="HTTP URL of the agent of this server.")
@click.option("--speed", type=float, default=1.0, show_default=True, help="Factor by which run times are divided.")
@click.option(
    "--slots",
    type=int,
    default=8,
    show_default=True,
    help="Number of slots in the report, to compare with the highest number of concurrent tasks; not enforced.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--log-url", help="URL of the platform's log, to which usage reports are appended.")
@click.option("--worker", help="Name of the agent of this server, for the usage reports; by default --name.")
@click.option("--workspace", default="cheese", show_default=True, help="Workspace in the usage reports.")
@click.option("--report-interval-s", type=float, default=10.0, show_default=True)
@click.option("--report-lag-s", type=float, default=30.0, show_default=True, help="Delay of the usage reports.")
@click.option(
    "--journal", help="File that records starts, refusals and ends of tasks and changes of the announcement mode."
)
@click.option("--fail", type=float, default=0.0, help="Probability that a task fails immediately.")
@click.option("--drop", type=float, default=0.0, help="Probability that the response is dropped after the run.")
@click.option("--refuse", type=float, default=0.0, help="Probability that a task is refused as not run.")
@click.option("--straggle", type=float, default=0.0, help="Probability that a task takes ten times as long.")
def main(
    name: str,
    host: str,
    port: int,
    announced_port: int | None,
    agent_url: str,
    speed: float,
    slots: int,
    seed: int,
    log_url: str | None,
    worker: str | None,
    workspace: str,
    report_interval_s: float,
    report_lag_s: float,
    journal: str | None,
    fail: float,
    drop: float,
    refuse: float,
    straggle: float,
) -> None:
    """Run an emulated backend server."""
    server = BackendServer(name, speed, slots, seed, Faults(fail, drop, refuse, straggle), journal)
    reports = ReportOptions(log_url, worker or name, workspace, report_interval_s, report_lag_s) if log_url else None
    try:
        asyncio.run(_serve(server, name, host, port, announced_port, agent_url, reports))
    except exceptions.SettingsError as error:
        raise click.ClickException(str(error)) from error


if __name__ == "__main__":
    main()
