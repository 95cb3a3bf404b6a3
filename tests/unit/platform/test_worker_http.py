"""Heartbeats from workers and calls to workers, over HTTP on the loopback interface."""

import asyncio
import contextlib
import json
import math
from typing import TYPE_CHECKING, Any, cast

import aiohttp
import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge import ids, observability, runs, scheduling
from cactusgauge.platform import asgi, heartbeat_app, http_worker_client
from emulator import leased_worker
from tests.unit.fleet import conftest as fleet_conftest
from tests.unit.platform import fake_store
from tests.unit.runs import conftest as runs_conftest

if TYPE_CHECKING:
    from collections import abc

KEY = ids.RunKey(ids.JobKey("5c0e7a21d94b36f8"), 1, 17, 3)
HEARTBEAT: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 4000, "mem_mb": 1000, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 1000,
    "seq": 4,
    "born": 1,
}
ABSENT = object()  # value of a field that a heartbeat does not have


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


# Heartbeats of another writer for a known worker; they come with a higher `seq` and, where they set it, `born`.
ODD_HEARTBEATS: dict[str, Any] = {
    "deeply nested": b"[" * 100_000,
    "deeply nested field": b'{"x":' + b"[" * 100_000,
    "number with too many digits": b'{"seq":' + b"1" * 5000 + b"}",
    "infinite clock of a new start": {"clock_ms": float("inf"), "born": 2},
    "clock that is no number": {"clock_ms": float("nan"), "born": 2},
    "huge clock": {"clock_ms": 10**400, "born": 2},
    "negative clock": {"clock_ms": -1, "born": 2},
    "clock as text": {"clock_ms": "1000"},
    "huge cpu": {"capacity": {"cpu": 10**400, "mem_mb": 1000}},
    "huge memory": {"capacity": {"cpu": 4000, "mem_mb": 10**18}},
    "cpu as a truth value": {"capacity": {"cpu": True, "mem_mb": 1000}},
    "start far in the future": {"born": 10**18},
    "start as a truth value": {"born": True},
    "fractional start": {"born": 2.5},
    "huge sequence number": {"seq": 10**300},
    "negative sequence number": {"seq": -1},
    "port out of range": {"address": "10.0.0.1:99999"},
    "address without port": {"address": "10.0.0.1"},
    "address that is no host": {"address": "http://[:80"},
    "address of 200 KB": {"address": "a" * 200_000 + ":80"},
    "label with a surrogate": {"labels": ["\ud800"]},
    "many labels": {"labels": ["a"] * 10_000},
    "long label": {"labels": ["a" * 200_000]},
    "service with a surrogate": {"service": "\ud800"},
    "empty service": {"service": ""},
    "long service": {"service": "s" * 200_000},
    "unknown state": {"state": "starting"},
    "state as a number": {"state": 1},
    "unknown service": {"service": "telemetry"},
    "version as a number": {"version": 1},
    "slots as text": {"slots": "8"},
    "no slots but null": {"slots": None},
    "negative slots": {"slots": -1},
    "zone as a number": {"zone": 3},
    "cold time as text": {"cold_remaining_ms": "0"},
    "negative cold time": {"cold_remaining_ms": -1},
    "remaining time as text": {"state": "draining", "remaining_ms": "2000"},
    "machine as a number": {"machine": 7},
    "machine but null": {"machine": None},
    "labels as text": {"labels": "a"},
    "labels as numbers": {"labels": [1, 2]},
    "no memory": {"capacity": {"cpu": 4000, "gpu": 0}},
    "no processors": {"capacity": {"mem_mb": 1000, "gpu": 0}},
    "no accelerators": {"capacity": {"cpu": 4000, "mem_mb": 1000}},
    "accelerators as text": {"capacity": {"cpu": 4000, "mem_mb": 1000, "gpu": "0"}},
    **{f"no {field}": {field: ABSENT} for field in HEARTBEAT},
    **{f"{field} as a list of lists": {field: [[]]} for field in HEARTBEAT},
}


def _odd_heartbeat(name: str, **base: object) -> object:
    """Return an odd heartbeat that has the values of `base` where it is not odd."""
    odd = ODD_HEARTBEATS[name]
    if isinstance(odd, bytes):
        return odd
    return {field: value for field, value in {**HEARTBEAT, **base, **odd}.items() if value is not ABSENT}


async def _post_heartbeat(app: heartbeat_app.HeartbeatApp, worker: str, body: object) -> int:
    """Pass a heartbeat to the application as its HTTP server does, and return the status of the response."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": content, "more_body": False}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    await app({"path": f"/-/instances/{worker}/heartbeat"}, receive, send)
    status: int = sent[0]["status"]
    return status


class _Journal(observability.Journal):
    """Records the events."""

    def __init__(self, counters: observability.Counters) -> None:
        super().__init__("a", counters, descriptor=-1)
        self.events: list[str] = []

    def log_event(self, event: str, **fields: observability.journal.FieldValue) -> None:
        """Record the event."""
        self.events.append(event)


def _new_app(controller: runs.RunController) -> tuple[heartbeat_app.HeartbeatApp, _Journal]:
    counters = observability.Counters()
    journal = _Journal(counters)
    return heartbeat_app.HeartbeatApp(controller, counters, journal), journal


@pytest.mark.parametrize("name", ODD_HEARTBEATS)
@pytest.mark.looptime
async def test_odd_heartbeat_names_no_worker_and_the_good_ones_hold(name: str) -> None:
    """Guards against an agent that fails, or refuses its worker's heartbeats, after one odd heartbeat."""
    harness = runs_conftest.ControllerHarness()
    app, journal = _new_app(harness.controller)
    async with harness.controller:
        assert await _post_heartbeat(app, "w", HEARTBEAT) == 200
        await asyncio.sleep(0.1)
        assert await _post_heartbeat(app, "w", _odd_heartbeat(name, seq=9)) == 400
        assert await _post_heartbeat(app, "w", _odd_heartbeat(name, seq=9, born=1000)) == 400
        assert await _post_heartbeat(app, "x", _odd_heartbeat(name, address="10.0.0.1:9", born=1000)) == 400
        refusals = [*journal.events, *(event for event, _ in harness.events if event == "heartbeat_refused")]
        assert refusals == 3 * [refusals[0]]
        good = {**HEARTBEAT, "seq": 5, "labels": ["b", "r1-4"], "cold_remaining_ms": 0, "x": float("inf")}
        assert await _post_heartbeat(app, "w", good) == 200
        report = harness.controller.report()
        assert (report.phase, report.labels) == (scheduling.WorkerPhase.READY, ("b", "r1-4"))
        harness.start(runs_conftest.run_key())
        await harness.renew_grant(0.5)
        assert harness.end_kinds() == [scheduling.EndKind.DONE]


@pytest.mark.parametrize("worker", ["", "a b", "w\r\nX: y", "\u00e9", "w" * 256])
async def test_odd_worker_id_is_refused(worker: str) -> None:
    """Guards against a worker id that can't be sent in the header of the requests to the worker."""
    harness = runs_conftest.ControllerHarness()
    app, journal = _new_app(harness.controller)
    assert await _post_heartbeat(app, worker, HEARTBEAT) == 400
    assert journal.events == ["heartbeat_unreadable"]
    assert harness.controller.report().generation == 0


@pytest.mark.parametrize(
    "changes",
    [
        {"seq": 4.0, "born": 1.7e12, "slots": 8.0},
        {"clock_ms": 0.5, "cold_remaining_ms": 0.5},
        {"labels": [], "version": ""},
        {"machine": "m-00de6", "remaining_ms": 1890, "x": None},
    ],
)
@pytest.mark.looptime
async def test_heartbeat_that_the_protocol_allows_is_accepted(changes: dict[str, Any]) -> None:
    """Guards against a good worker without work, because its numbers or unused fields are spelled differently."""
    harness = runs_conftest.ControllerHarness()
    heartbeat = {**HEARTBEAT, **changes}
    harness.worker = leased_worker.LeasedWorker(lambda key: 0.1, incarnation=int(heartbeat["born"]))
    app, _ = _new_app(harness.controller)
    async with harness.controller:
        assert await _post_heartbeat(app, "w", heartbeat) == 200
        await asyncio.sleep(0.1)
        assert harness.controller.phase is scheduling.WorkerPhase.READY


async def test_agent_serves_its_entry_after_odd_heartbeats() -> None:
    """Guards against links that end with each report, or a worker that gets no tasks, after odd heartbeats."""
    entry = fleet_conftest.Entry("e", [])
    agent = fleet_conftest.Agent("a", [entry.url])
    async with fleet_conftest.running(entry, agent):
        await fleet_conftest.until(lambda: entry.link_server.has_workers)
        app, _ = _new_app(agent.controller)
        for name in ODD_HEARTBEATS:
            if name != "unknown service":  # this agent knows no configuration
                assert await _post_heartbeat(app, "a", _odd_heartbeat(name, seq=1000, born=9)) == 400
        assert await _post_heartbeat(app, "x", _odd_heartbeat("unknown service", seq=1000, born=9)) == 200
        answer = await entry.submit("j", tasks=4)
        assert answer is not None and answer.result is scheduling.JobResult.SUCCEEDED
        assert all(view.accepts_runs for view in entry.link_server.workers)


@pytest.mark.parametrize("clock", ["1e999", "-1e999", "NaN", "1" + "0" * 400, "true", '"1500"', "-1", "null", "1e300"])
async def test_reply_with_an_odd_clock(clock: str) -> None:
    """Guards against a clock that makes every later request to the worker fail in the agent."""
    client = _client_for(200, f'{{"clock_ms":{clock}}}'.encode())
    assert await client.start(runs.StartRequest(KEY, "p", 2.5, 9)) == runs.StartReply(runs.StartStatus.STARTED, None)
    with pytest.raises(runs.WorkerCallError):
        await client.poll(1, 0, 2.5, 0.0)
    client = _client_for(409, f'{{"clock_ms":{clock},"reason":"fence"}}'.encode())
    with pytest.raises(runs.FencedError) as error:
        await client.poll(1, 0, 2.5, 0.0)
    assert error.value.clock_s is None


@pytest.mark.parametrize(
    "fields",
    [
        '"born":1e999',
        '"born":true',
        '"born":1000000000000000000',
        '"born":-1',
        '"born":"7"',
        '"running":{"a.0.0.0":1}',
        '"running":"abc"',
        '"running":["ab"]',
        '"running":null',
        '"finished":[[1e999,"a.0.0.0",1,"done",""]]',
        '"finished":[[true,"a.0.0.0",1,"done",""]]',
        '"finished":[[1' + "0" * 400 + ',"a.0.0.0",1,"done",""]]',
        '"finished":[[-1,"a.0.0.0",1,"done",""]]',
        '"finished":[[1,"a.0.0.0",1,7,""]]',
        '"finished":' + "[" * 100_000,
    ],
)
async def test_listing_with_odd_fields_is_a_failed_call(fields: str) -> None:
    """Guards against a listing after which the agent ignores its worker's heartbeats or the ends of its runs."""
    client = _client_for(200, f'{{"clock_ms":1500,{fields}}}'.encode())
    with pytest.raises(runs.WorkerCallError):
        await client.poll(1, 0, None, 0.0)


@pytest.mark.parametrize("content", [b"[]", b"7", b"null", b'"x"', b"\xff", b"[" * 100_000, b"1" * 5000, b""])
async def test_reply_that_is_no_object_is_a_failed_call(content: bytes) -> None:
    """Guards against an unexpected error in the agent because of a reply that is not an object."""
    with pytest.raises(runs.WorkerCallError):
        await _client_for(200, content).poll(1, 0, None, 0.0)


async def test_listing_of_runs_with_too_many_digits() -> None:
    """Guards against a poll that fails at each listing, so that no end is noticed, because of one foreign name."""
    rows = [["a.0.0." + "1" * 5000, 1, "", 0], ["a.0.0.0", 10**400, "", 0], ["5c0e7a21d94b36f8.0.1.17", 3, "", 0]]
    ends = [[1, "a.0.0." + "1" * 5000, 1, "done", ""]]
    client = _client_for(200, json.dumps({"clock_ms": 1500, "running": rows, "finished": ends}).encode())
    listing = await client.poll(1, 0, None, 0.0)
    assert listing.running == [KEY]
    assert [(end.number, end.key) for end in listing.ends] == [(1, None)]


class _Response:
    """A response with a fixed status and content."""

    def __init__(self, status: int, content: bytes) -> None:
        self.status = status
        self._content = content

    async def read(self) -> bytes:
        """Return the content."""
        return self._content


class _Session:
    """Takes the place of an HTTP session and answers each request in the same way."""

    def __init__(self, status: int, content: bytes) -> None:
        self._response = _Response(status, content)

    @contextlib.asynccontextmanager
    async def post(self, url: str, **arguments: object) -> "abc.AsyncIterator[_Response]":
        """Return the response."""
        yield self._response


def _client_for(status: int, content: bytes) -> http_worker_client.HttpWorkerClient:
    session = cast("aiohttp.ClientSession", _Session(status, content))
    return http_worker_client.HttpWorkerClient(session, "http://10.0.0.1:80", ids.WorkerId("w"))


LISTING: dict[str, Any] = {
    "clock_ms": 1500,
    "born": 7,
    "running": [["5c0e7a21d94b36f8.0.1.17", 3, "", 100, 500]],
    "finished": [[1, "5c0e7a21d94b36f8.0.1.16", 1, "done", ""]],
}
ODD_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([10**400, -(10**400), 2**53, 2**63, 99_999, float("inf"), float("-inf"), float("nan")])
    | strategies.floats()
    | strategies.text(strategies.characters(), max_size=8)
    | strategies.sampled_from(["10.0.0.1:99999", "[:80", "\ud800", "a.0.0." + "1" * 5000, "ready", "draining"]),
    lambda children: (
        strategies.lists(children, max_size=4) | strategies.dictionaries(strategies.text(max_size=4), children)
    ),
    max_leaves=6,
)


@strategies.composite
def _mutated(draw: strategies.DrawFn, valid: Any) -> Any:
    """Return a valid value in which drawn parts are replaced by odd ones or removed."""
    if draw(strategies.integers(0, 19)) == 0:
        return draw(ODD_VALUES)
    if isinstance(valid, dict):
        return {key: draw(_mutated(value)) for key, value in valid.items() if draw(strategies.integers(0, 50))}
    if isinstance(valid, list):
        return [draw(_mutated(value)) for value in valid if draw(strategies.integers(0, 50))]
    return valid


class _Controller:
    """Records the accepted heartbeats."""

    def __init__(self) -> None:
        self.heartbeats: list[runs.WorkerHeartbeat] = []

    def handle_heartbeat(self, heartbeat: runs.WorkerHeartbeat) -> runs.HeartbeatResult:
        """Record a heartbeat."""
        self.heartbeats.append(heartbeat)
        return runs.HeartbeatResult.APPLIED


def _assert_bounded(*numbers: float) -> None:
    assert all(not isinstance(number, bool) and math.isfinite(number) and 0 <= number < 2**53 for number in numbers)


@hypothesis.example([HEARTBEAT])
@hypothesis.given(strategies.lists(_mutated(HEARTBEAT), min_size=10, max_size=10))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
def test_accepted_heartbeats_are_bounded(bodies: list[Any]) -> None:
    """Guards against a heartbeat that raises an error, or is accepted with a value that raises one later."""
    controller = _Controller()
    app, _ = _new_app(cast("runs.RunController", controller))

    async def post_all() -> list[int]:
        return [await _post_heartbeat(app, "w", body) for body in bodies]

    statuses = asyncio.run(post_all())
    assert set(statuses) <= {200, 400}
    assert statuses.count(200) == len(controller.heartbeats)
    for heartbeat in controller.heartbeats:
        _assert_bounded(heartbeat.incarnation, heartbeat.sequence, heartbeat.clock_s, *heartbeat.capacity)
        assert 1 <= int(heartbeat.address.rpartition(":")[2]) <= 65_535
        for text in (heartbeat.service, *heartbeat.labels):
            assert len(text.encode()) <= 4 * 255


@hypothesis.example([LISTING])
@hypothesis.given(strategies.lists(_mutated(LISTING), min_size=10, max_size=10))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
def test_accepted_listings_are_bounded(bodies: list[Any]) -> None:
    """Guards against a listing that raises an unexpected error, or is accepted with a value that raises one later."""

    async def poll_all() -> list[runs.WorkerListing]:
        listings = []
        for body in bodies:
            with contextlib.suppress(runs.WorkerCallError):
                listings.append(await _client_for(200, json.dumps(body).encode()).poll(1, 0, 2.5, 0.0))
        return listings

    for listing in asyncio.run(poll_all()):
        _assert_bounded(listing.clock_s, listing.incarnation)
        for key in (*listing.running, *(end.key for end in listing.ends if end.key is not None)):
            _assert_bounded(key.step, key.position, key.run)
        _assert_bounded(*(end.number for end in listing.ends))
