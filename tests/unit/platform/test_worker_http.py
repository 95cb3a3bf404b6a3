"""Heartbeats from workers and calls to workers, over HTTP on the loopback interface."""

import asyncio
import json
from typing import Any

import aiohttp
import pytest

from cactusgauge import ids, observability, runs, scheduling
from cactusgauge.platform import asgi, heartbeat_app, http_worker_client
from tests.unit.fleet import conftest as fleet_conftest
from tests.unit.platform import fake_store
from tests.unit.runs import conftest as runs_conftest

KEY = ids.RunKey(ids.JobKey("5c0e7a21d94b36f8"), 1, 17, 3)
HEARTBEAT: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 4000, "mem_mb": 1000},
    "labels": ["a", "r1-3"],
    "clock_ms": 1000,
    "seq": 4,
    "born": 1,
}


class _Worker:
    """Returns `reply` for every call, after a second if it is silent, and records the requests."""

    def __init__(self) -> None:
        self.reply: tuple[int, dict[str, Any]] = (200, {"clock_ms": 1500})
        self.calls: list[tuple[str, dict[str, Any], str]] = []
        self.is_silent = False

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Handle one request."""
        body = await asgi.read_body(receive, 100_000)
        assert body is not None
        self.calls.append((scope["path"], json.loads(body), asgi.header(scope, b"expect-instance")))
        if self.is_silent:
            await asyncio.sleep(1.0)
        await asgi.respond(send, *self.reply)


async def _run_with_worker(check: Any) -> None:
    worker = _Worker()
    async with (
        fake_store.serve_app(worker, fleet_conftest.free_port()) as url,
        http_worker_client.new_session() as session,
    ):
        await check(worker, http_worker_client.HttpWorkerClient(session, url, ids.WorkerId("w")))


async def test_start_request_uses_platform_field_names() -> None:
    """Guards against a start request whose lease, token or run number the worker misreads."""

    async def check(worker: _Worker, client: runs.WorkerClient) -> None:
        reply = await client.start(runs.StartRequest(KEY, "payload", 2.5, 9))
        assert reply == runs.StartReply(runs.StartStatus.STARTED, 1.5)
        expected = {
            "task": "5c0e7a21d94b36f8.0.1.17",
            "run": 3,
            "spec": "payload",
            "expires_ms": 2500,
            "fencing_token": 9,
        }
        assert worker.calls == [("/-/run-start", expected, "w")]

    await _run_with_worker(check)


@pytest.mark.parametrize(
    ("status", "reason", "expected"),
    [
        (409, "fence", runs.StartStatus.FENCED),
        (409, "old", runs.StartStatus.OLD_RUN),
        (409, "late", runs.StartStatus.EXPIRED),
        (409, "room", runs.StartStatus.NO_ROOM),
        (409, "ticket", runs.StartStatus.REJECTED),
        (503, "", runs.StartStatus.UNHEALTHY),
        (429, "", runs.StartStatus.UNHEALTHY),
        (400, "", runs.StartStatus.REJECTED),
    ],
)
async def test_refusals_of_a_start(status: int, reason: str, expected: runs.StartStatus) -> None:
    """Guards against mistaking a refusal for a start or for another kind of refusal."""

    async def check(worker: _Worker, client: runs.WorkerClient) -> None:
        worker.reply = (status, {"clock_ms": 1500, "reason": reason})
        assert (await client.start(runs.StartRequest(KEY, "p", 2.5, 9))).status is expected

    await _run_with_worker(check)


async def test_listing_of_runs_and_ends() -> None:
    """Guards against mixing up the kinds of ends, and against failing on tasks with foreign names."""

    async def check(worker: _Worker, client: runs.WorkerClient) -> None:
        name = "5c0e7a21d94b36f8.0.1.17"
        kinds = ["done", "failed", "stopped", "lapsed"]
        finished = [[number, name, 3, kind, ""] for number, kind in enumerate(kinds, 1)]
        running = [[name, 3, "", 100, 500], ["foreign", 1, "", 100, 1]]
        worker.reply = (200, {"clock_ms": 1500, "born": 7, "running": running, "finished": finished})
        listing = await client.poll(9, 4, 2.5, 0.15)
        assert (listing.clock_s, listing.incarnation, listing.running) == (1.5, 7, [KEY])
        kind = scheduling.EndKind
        assert [end.kind for end in listing.ends] == [kind.DONE, kind.FAILED, kind.STOPPED, kind.LOST]
        assert worker.calls[0][1] == {"fencing_token": 9, "ack_index": 4, "expires_ms": 2500, "wait_ms": 150}

    await _run_with_worker(check)


async def test_address_reused_by_another_worker_is_detected() -> None:
    """Guards against requests for a stopped worker that reach its successor at the same address."""

    async def check(worker: _Worker, client: runs.WorkerClient) -> None:
        worker.reply = (421, {})
        with pytest.raises(runs.WrongWorkerError):
            await client.poll(9, 0, None, 0.0)

    await _run_with_worker(check)


async def test_refused_connection_means_worker_is_down() -> None:
    """Guards against treating a refused connection as a lost reply, which would keep the resources reserved."""
    async with http_worker_client.new_session() as session:
        url = f"http://127.0.0.1:{fleet_conftest.free_port()}"
        client = http_worker_client.HttpWorkerClient(session, url, ids.WorkerId("w"))
        with pytest.raises(runs.WorkerDownError):
            await client.start(runs.StartRequest(KEY, "p", 2.5, 9))


async def test_heartbeats() -> None:
    """Guards against an invalid or outdated heartbeat that changes the state of a worker."""
    harness = runs_conftest.ControllerHarness()
    counters = observability.Counters()
    app = heartbeat_app.HeartbeatApp(harness.controller, counters, observability.Journal("a", counters, descriptor=-1))
    async with (
        harness.controller,
        fake_store.serve_app(app, fleet_conftest.free_port()) as url,
        aiohttp.ClientSession() as session,
    ):

        async def post(action: str, body: object) -> int:
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            async with session.post(f"{url}/-/instances/w/{action}", data=data) as response:
                return response.status

        assert await post("heartbeat", HEARTBEAT) == 200
        await asyncio.sleep(0.1)
        report = harness.controller.report()
        assert report.phase is scheduling.WorkerPhase.READY
        assert (report.capacity.cpu_millicores, report.labels) == (4000, ("a", "r1-3"))
        for bad in (
            b"\xff",
            {},
            {**HEARTBEAT, "state": "odd"},
            {**HEARTBEAT, "seq": "x"},
            {**HEARTBEAT, "capacity": None},
        ):
            assert await post("heartbeat", bad) == 400
        assert await post("heartbeat", {**HEARTBEAT, "seq": 3, "state": "draining"}) == 200
        assert harness.controller.report().phase is scheduling.WorkerPhase.READY
        assert await post("heartbeat", {**HEARTBEAT, "seq": 5, "state": "draining"}) == 200
        assert harness.controller.report().phase is scheduling.WorkerPhase.DRAINING
        async with session.get(f"{url}/metrics") as response:
            assert b"cactusgauge_heartbeats_old_total" in await response.read()


@pytest.mark.parametrize(
    "listing",
    [
        {"running": [[]]},
        {"running": 5},
        {"running": [["a.0.0.0"]]},
        {"finished": [[1, "a.0.0.0", 1]]},
        {"finished": [["1", "a.0.0.0", 1, "done", ""]]},
        {"finished": [[1, "a.0.0.0", 1, ["done"], ""]]},
        {"finished": [None]},
    ],
)
async def test_malformed_listing_is_a_failed_call(listing: dict[str, Any]) -> None:
    """Guards against an unexpected error in the agent because of one malformed reply of its worker."""

    async def check(worker: _Worker, client: runs.WorkerClient) -> None:
        worker.reply = (200, {"clock_ms": 1500, **listing})
        with pytest.raises(runs.WorkerCallError):
            await client.poll(1, 0, None, 0.0)

    await _run_with_worker(check)


async def test_run_names_of_another_writer_are_ignored() -> None:
    """Guards against an unexpected error because of a task name that this program did not make."""

    async def check(worker: _Worker, client: runs.WorkerClient) -> None:
        names = ["x", "a.b.c.d", "a.0.\u00b2.0", "a.0.0.0.0", 7, None]
        worker.reply = (200, {"clock_ms": 1500, "running": [[name, 1, "", 100] for name in names]})
        assert (await client.poll(1, 0, None, 0.0)).running == []

    await _run_with_worker(check)


async def test_lost_reply_to_a_poll_delays_ends_only_briefly() -> None:
    """Guards against short tasks that end late for their caller because the reply with their end was lost."""
    loop = asyncio.get_running_loop()

    async def check(worker: _Worker, client: runs.WorkerClient) -> None:
        await client.poll(1, 0, None, 0.0)
        worker.is_silent = True
        sent_at = loop.time()
        with pytest.raises(runs.WorkerCallError):
            await client.poll(1, 0, None, 0.15)
        assert loop.time() - sent_at < 0.15 + 0.2

    await _run_with_worker(check)
