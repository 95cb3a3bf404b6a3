import asyncio
import collections
import contextlib
import json
import operator
from typing import TYPE_CHECKING, Any

import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge.platform import config_document, job_app
from tests.unit.fleet import conftest as fleet_conftest

if TYPE_CHECKING:
    from collections import abc

JOB = "5c0e7a21d94b36f8"
ROUTE = {
    "name": "r",
    "host": "a.example",
    "path_prefix": "/q/",
    "service": "s",
    "attempts": 2,
    "slack_factor": 1.6,
    "target_latency_ms": 60,
}
OTHER_ROUTE = {**ROUTE, "name": "other", "path_prefix": "/other-queue/"}
BODY = {"spec": "x", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 10, "estimate_ms": 100}], "best_effort": True}


class _Setup:
    """An entry with its job application, called without HTTP."""

    def __init__(self, entry: fleet_conftest.Entry, agent: fleet_conftest.Agent, *others: fleet_conftest.Agent) -> None:
        self.entry = entry
        self.agent = agent
        self.agents = [agent, *others]
        self.cancellations = fleet_conftest.MemoryCancellations()
        entry.cache._decode = config_document.decode
        self.app = job_app.JobApp(
            entry.job_service, entry.cache, entry.link_server, self.cancellations, entry.counters, entry.journal
        )

    def configure(self, version: int = 1, **limits: int) -> None:
        """Apply a configuration with two routes."""
        document = {"version": version, "routes": [ROUTE, OTHER_ROUTE], "limits": limits}
        self.entry.cache.apply_if_newer(json.dumps(document).encode(), "test")

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        disconnected: asyncio.Event | None = None,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> tuple[int, dict[str, Any], dict[bytes, bytes]] | None:
        """Return the status, body and headers of the response, or None if there is none."""
        content = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        sent: list[dict[str, Any]] = []
        received = iter([{"type": "http.request", "body": content, "more_body": False}])
        event = disconnected or asyncio.Event()

        async def receive() -> dict[str, Any]:
            for message in received:
                return message
            await event.wait()
            return {"type": "http.disconnect"}

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        scope = {"method": method, "path": path, "headers": [(b"host", b"a.example:80"), *headers]}
        await self.app(scope, receive, send)
        if not sent:
            return None
        return sent[0]["status"], json.loads(sent[1]["body"]), dict(sent[0]["headers"])


@contextlib.asynccontextmanager
async def _running_app(*other_agents: str) -> "abc.AsyncIterator[_Setup]":
    entry = fleet_conftest.Entry("e", [])
    agents = [fleet_conftest.Agent(name, [entry.url]) for name in ("a", *other_agents)]
    async with fleet_conftest.running(entry, *agents):
        await fleet_conftest.until(lambda: sum(view.accepts_runs for view in entry.link_server.workers) == len(agents))
        yield _Setup(entry, *agents)


async def _lose_caller(setup: _Setup, body: object) -> None:
    """Submit a job of two tasks, and break its caller's connection once both run."""
    for agent in setup.agents:
        agent.duration_s = 20.0
    disconnected = asyncio.Event()
    calling = asyncio.create_task(setup.call("POST", f"/q/{JOB}", body, disconnected))
    await fleet_conftest.until(lambda: sum(len(agent.worker.running) for agent in setup.agents) == 2)
    disconnected.set()
    assert await calling is None
    for agent in setup.agents:
        agent.duration_s = 0.1


async def test_requests_before_and_after_a_configuration() -> None:
    """Guards against a 404 for an existing queue from an entry that has no configuration yet."""
    async with _running_app() as setup:
        for path in (f"/q/{JOB}", "/other"):
            answer = await setup.call("GET", path)
            assert answer is not None and answer[0] == 503
            assert answer[2][b"retry-after"] == b"1"
        assert not setup.app.is_ready
        setup.configure()
        assert setup.app.is_ready
        expected = [("GET", "/other", 404), ("GET", f"/q/{JOB}", 410), ("GET", "/q/", 200), ("GET", "/q/short", 404)]
        for method, path, status in expected:
            answer = await setup.call(method, path)
            assert answer is not None and answer[0] == status


async def test_job_is_answered_when_it_has_ended() -> None:
    """Guards against a response before the job has ended, and against a different state later."""
    async with _running_app() as setup:
        setup.configure()
        answer = await setup.call("POST", f"/q/{JOB}", BODY)
        assert answer is not None and answer[:2] == (200, {"state": "succeeded"})
        later = await setup.call("GET", f"/q/{JOB}")
        assert later is not None and later[:2] == (200, {"state": "succeeded"})
    assert len(setup.agent.worker.starts) == 2


async def test_refused_job_does_not_run_and_has_retry_after() -> None:
    """Guards against a refusal without Retry-After, and against running a refused job."""
    async with _running_app() as setup:
        setup.configure()
        await asyncio.sleep(1.1)  # in its first second an entry refuses no job for lack of workers
        too_large = {**BODY, "steps": [{"count": 1, "cpu": 99_000}]}
        refused = await setup.call("POST", f"/q/{JOB}", too_large)
        assert refused is not None and refused[:2] == (503, {"code": "never_fits"})
        assert int(refused[2][b"retry-after"]) >= 1
        unsupported = await setup.call("POST", f"/q/{JOB}", {**BODY, "best_effort": False})
        assert unsupported is not None and unsupported[0] == 503
        bad = await setup.call("POST", f"/q/{JOB}", b"{")
        assert bad is not None and bad[0] == 400
    assert setup.agent.worker.starts == []


async def test_body_above_the_limit_is_refused() -> None:
    """Guards against unbounded memory use by large bodies."""
    async with _running_app() as setup:
        setup.configure(max_body_bytes=50)
        answer = await setup.call("POST", f"/q/{JOB}", BODY)
    assert answer is not None and answer[0] == 413


async def test_disconnect_of_the_caller_cancels_the_job() -> None:
    """Guards against workers that run tasks for disconnected callers."""
    async with _running_app() as setup:
        setup.configure()
        setup.agent.duration_s = 20.0
        disconnected = asyncio.Event()
        calling = asyncio.create_task(setup.call("POST", f"/q/{JOB}", BODY, disconnected))
        await fleet_conftest.until(lambda: len(setup.agent.worker.running) == 2)
        disconnected.set()
        assert await calling is None
        await fleet_conftest.until(lambda: not setup.agent.worker.running, 1.0)


async def test_job_past_its_deadline_can_be_resubmitted() -> None:
    """Guards against a job that is reported as not run although it has started, or that never runs again."""
    async with _running_app() as setup:
        setup.configure()
        setup.agent.duration_s = 20.0
        answer = await setup.call("POST", f"/q/{JOB}", BODY, headers=((b"deadline-ms", b"300"),))
        assert answer is not None and answer[:2] == (504, {"code": "deadline"})
        unknown = await setup.call("GET", f"/q/{JOB}")
        assert unknown is not None and unknown[0] == 410
        setup.agent.duration_s = 0.1
        again = await setup.call("POST", f"/q/{JOB}", BODY)
    assert again is not None and again[:2] == (200, {"state": "succeeded"})
    _assert_one_run_at_a_time(setup)


async def test_job_sent_again_after_a_broken_connection_is_run_and_answered() -> None:
    """Guards against an answer that nobody can read: a state that stands for the end of the first connection.

    With two workers, each task could start on one while its earlier run is still being stopped on the other.
    """
    async with _running_app("b") as setup:
        setup.configure()
        await _lose_caller(setup, BODY)
        unknown = await setup.call("GET", f"/q/{JOB}")
        assert unknown is not None and unknown[0] == 410
        again = await setup.call("POST", f"/q/{JOB}", BODY)
    assert again is not None and again[:2] == (200, {"state": "succeeded"})
    _assert_one_run_at_a_time(setup)


async def test_job_canceled_after_its_connection_broke_is_not_run_again() -> None:
    """Guards against a run after the acknowledgement of a cancellation that reached an entry without the job."""
    async with _running_app() as setup:
        setup.configure()
        await _lose_caller(setup, BODY)
        starts = len(setup.agent.worker.starts)
        deleted = await setup.call("DELETE", f"/q/{JOB}")
        assert deleted is not None and deleted[0] == 410
        again = await setup.call("POST", f"/q/{JOB}", BODY)
        assert again is not None and again[:2] == (200, {"state": "failed"})
        unknown = await setup.call("GET", f"/q/{JOB}")
        assert unknown is not None and unknown[0] == 410
    assert len(setup.agent.worker.starts) == starts


async def test_job_that_was_started_before_is_not_refused_as_not_run() -> None:
    """Guards against a 503, which says that a job never runs, after an earlier attempt has started its tasks."""
    async with _running_app() as setup:
        setup.configure()
        await _lose_caller(setup, BODY)
        setup.entry.job_service.drain(asyncio.get_running_loop().time())
        again = await setup.call("POST", f"/q/{JOB}", BODY)
        assert again is not None and again[:2] == (504, {"code": "draining"})
        assert again[2][b"retry-after"] == b"1"
        other = await setup.call("POST", f"/q/{JOB[:-1]}9", BODY)
    assert other is not None and other[:2] == (503, {"code": "draining"})


async def test_job_is_kept_for_the_caller_with_the_latest_deadline() -> None:
    """Guards against ending a job at the deadline of a connection that has been replaced."""
    async with _running_app() as setup:
        setup.configure()
        setup.agent.duration_s = 0.8
        first = asyncio.create_task(setup.call("POST", f"/q/{JOB}", BODY, headers=((b"deadline-ms", b"300"),)))
        await fleet_conftest.until(lambda: bool(setup.agent.worker.running))
        second = await setup.call("POST", f"/q/{JOB}", BODY, headers=((b"deadline-ms", b"5000"),))
        assert second is not None and second[:2] == (200, {"state": "succeeded"})
        assert await first is not None


async def test_job_of_another_queue_is_not_answered_with_this_one() -> None:
    """Guards against a caller that gets the answer of another workspace's job, as both chose the same id."""
    async with _running_app() as setup:
        setup.configure()
        first = await setup.call("POST", f"/q/{JOB}", BODY)
        assert first is not None and first[:2] == (200, {"state": "succeeded"})
        unknown = await setup.call("GET", f"/other-queue/{JOB}")
        assert unknown is not None and unknown[0] == 410
        second = await setup.call("POST", f"/other-queue/{JOB}", BODY)
        assert second is not None and second[:2] == (200, {"state": "succeeded"})
        assert len(setup.agent.worker.starts) == 4
        kept = await setup.call("GET", f"/q/{JOB}")
    assert kept is not None and kept[:2] == (200, {"state": "succeeded"})


async def test_open_job_of_another_queue_is_neither_joined_nor_canceled() -> None:
    """Guards against a caller whose job is cancelled or answered by requests for a job with its id in another queue."""
    async with _running_app() as setup:
        setup.configure()
        setup.agent.duration_s = 0.5
        calling = asyncio.create_task(setup.call("POST", f"/q/{JOB}", BODY))
        await fleet_conftest.until(lambda: len(setup.agent.worker.running) == 2)
        refused = await setup.call("POST", f"/other-queue/{JOB}", BODY)
        assert refused is not None and refused[:2] == (503, {"code": "job_id_in_use"})
        assert refused[2][b"retry-after"] == b"1"
        for method in ("GET", "DELETE"):
            unknown = await setup.call(method, f"/other-queue/{JOB}")
            assert unknown is not None and unknown[0] == 410
        answer = await calling
        assert answer is not None and answer[:2] == (200, {"state": "succeeded"})
        canceled = await setup.call("POST", f"/other-queue/{JOB}", BODY)
        assert canceled is not None and canceled[:2] == (200, {"state": "failed"})
    assert len(setup.agent.worker.starts) == 2


async def test_cancellation_that_is_not_stored_is_not_acknowledged() -> None:
    """Guards against the acknowledgement of a cancellation that the entry with the job never learns."""
    async with _running_app() as setup:
        setup.configure()
        setup.cancellations.is_available = False
        refused = await setup.call("DELETE", f"/q/{JOB}")
        assert refused is not None and refused[:2] == (503, {"code": "store_unavailable"})
        assert refused[2][b"retry-after"] == b"1"
        setup.cancellations.is_available = True
        deleted = await setup.call("DELETE", f"/q/{JOB}")
    assert deleted is not None and deleted[0] == 410
    assert setup.cancellations.jobs == [("r", JOB)]


def _assert_one_run_at_a_time(setup: _Setup) -> None:
    """Check that each task of BODY was started twice, the second time after its first run had ended."""
    runs_of_task = collections.defaultdict(list)
    history = sorted(
        (run for agent in setup.agents for run in agent.worker.history), key=operator.attrgetter("started_at")
    )
    for run in history:
        runs_of_task[run.key.task].append(run)
    assert [len(each) for each in runs_of_task.values()] == [2, 2]
    for first, second in runs_of_task.values():
        assert first.ended_at <= second.started_at


async def test_stopping_entry_closes_its_connections() -> None:
    """Guards against callers that keep a connection to an entry that is about to stop."""
    async with _running_app() as setup:
        setup.configure()
        setup.app.is_draining = True
        answer = await setup.call("POST", f"/q/{JOB}", BODY)
        assert not setup.app.is_ready
    assert answer is not None and answer[0] == 200 and answer[2][b"connection"] == b"close"


async def test_entry_without_workers_sends_its_callers_to_others() -> None:
    """Guards against callers that are refused for as long as their entry is cut off from all workers.

    Their open connections stay with the entry, although the platform routes new ones to others.
    """
    entry = fleet_conftest.Entry("e", [])
    agent = fleet_conftest.Agent("a", [entry.url])
    async with fleet_conftest.running(entry, agent) as tasks:
        await fleet_conftest.until(lambda: entry.link_server.has_workers)
        setup = _Setup(entry, agent)
        setup.configure()
        served = await setup.call("POST", f"/q/{JOB}", BODY)
        assert served is not None and served[0] == 200
        assert b"connection" not in served[2]
        await asyncio.sleep(1.1)  # in its first second an entry refuses no job for lack of workers
        tasks[agent].cancel()
        await fleet_conftest.until(lambda: not entry.link_server.has_workers)
        refused = await setup.call("POST", f"/q/{JOB[:-1]}9", BODY)
    assert refused is not None and refused[:2] == (503, {"code": "no_workers"})
    assert refused[2][b"connection"] == b"close"
    assert refused[2][b"retry-after"] == b"1"


async def test_cancellation_by_the_caller() -> None:
    """Guards against a canceled job that keeps running, runs again or is reported as succeeded.

    The response to a submission knows only `succeeded` and `failed`.
    """
    async with _running_app() as setup:
        setup.configure()
        setup.agent.duration_s = 20.0
        calling = asyncio.create_task(setup.call("POST", f"/q/{JOB}", BODY))
        await fleet_conftest.until(lambda: len(setup.agent.worker.running) == 2)
        deleted = await setup.call("DELETE", f"/q/{JOB}")
        answer = await calling
        assert deleted is not None and deleted[0] == 200
        assert answer is not None and answer[:2] == (200, {"state": "failed"})
        state = await setup.call("GET", f"/q/{JOB}")
        assert state is not None and state[:2] == (200, {"state": "canceled"})
        again = await setup.call("POST", f"/q/{JOB}", BODY)
        assert again is not None and again[:2] == (200, {"state": "failed"})
        assert len(setup.agent.worker.starts) == 2
        unknown = await setup.call("DELETE", "/q/" + "0" * 16)
        assert unknown is not None and unknown[0] == 410


def _bad_step(**changes: object) -> dict[str, object]:
    return {**BODY, "steps": [{"count": 2, "cpu": 1000, "mem_mb": 10, "estimate_ms": 100, **changes}]}


@pytest.mark.parametrize(
    "body",
    [
        _bad_step(estimate_ms=float("inf")),
        _bad_step(cpu=10**400),
        {**BODY, "spec": "\ud800"},
    ],
    ids=["infinite estimate", "huge cpu", "half of a surrogate pair"],
)
async def test_odd_job_is_refused_and_later_ones_are_served(body: dict[str, object]) -> None:
    """Guards against a job that is never answered, or after which its queue answers no other job."""
    async with _running_app() as setup, asyncio.timeout(3.0):
        setup.configure()
        answer = await setup.call("POST", f"/q/{JOB}", body)
        assert answer is not None and answer[0] == 400
        assert answer[1]["code"] == "bad_job" and answer[1]["message"]
        later = await setup.call("POST", "/q/" + "0" * 16, BODY)
        assert later is not None and later[:2] == (200, {"state": "succeeded"})
        assert setup.entry.job_service.open_count == 0
    assert len(setup.agent.worker.starts) == 2


@pytest.mark.parametrize("value", ["\u00b2", "nan", "-1", "soon", "1e"])
async def test_invalid_deadline_is_refused(value: str) -> None:
    """Guards against an unhandled error because of a header, and against a job without a deadline."""
    async with _running_app() as setup:
        setup.configure()
        headers = ((b"deadline-ms", value.encode("latin-1")),)
        answer = await setup.call("POST", f"/q/{JOB}", BODY, headers=headers)
        assert answer is not None and answer[0] == 400
        assert answer[1]["code"] == "bad_header" and "Deadline-Ms" in answer[1]["message"]
        assert setup.entry.job_service.open_count == 0
    assert setup.agent.worker.starts == []


@pytest.mark.parametrize("value", [b"9" * 400, b"9" * 5000, b"30000", b"30000.5"])
async def test_long_deadline_is_cut(value: bytes) -> None:
    """Guards against an unhandled error because of a deadline that exceeds the range of a number."""
    async with _running_app() as setup:
        setup.configure()
        answer = await setup.call("POST", f"/q/{JOB}", BODY, headers=((b"deadline-ms", value),))
    assert answer is not None and answer[:2] == (200, {"state": "succeeded"})


async def test_unexpected_error_is_logged_and_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that fails without a trace in the log."""
    async with _running_app() as setup:
        setup.configure()
        events: list[str] = []
        monkeypatch.setattr(setup.entry.journal, "log_event", lambda event, **fields: events.append(event))

        def fail(queue: str) -> int:
            raise RuntimeError(queue)

        monkeypatch.setattr(setup.entry.link_server.scheduler, "count_waiting_jobs", fail)
        answer = await setup.call("GET", "/q/")
        assert answer is not None and answer[:2] == (500, {"code": "internal"})
        assert "request_failed" in events


async def test_websocket_connection_is_refused() -> None:
    """Guards against an unhandled error because of a WebSocket handshake at the address for jobs."""
    entry = fleet_conftest.Entry("e", [])
    setup = _Setup(entry, fleet_conftest.Agent("a", [entry.url]))
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "websocket.connect"}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    await setup.app({"type": "websocket", "path": "/q/", "headers": []}, receive, send)
    assert sent == [{"type": "websocket.close"}]


NUMBERS = strategies.one_of(
    strategies.sampled_from([0, -1, 1, 10**9, 2**53, 10**400, float("inf"), float("nan"), 1e300, True]),
    strategies.integers(),
    strategies.floats(),
)
VALUES = strategies.recursive(
    strategies.one_of(NUMBERS, strategies.none(), strategies.text(strategies.characters(), max_size=5)),
    lambda inner: strategies.lists(inner, max_size=4),
    max_leaves=6,
)
STEP_FIELDS = ["count", "cpu", "mem_mb", "gpu", "estimate_ms", "depends_on", "required_label", "affinity", "gang"]
JOB_BODIES = strategies.fixed_dictionaries(
    {
        "steps": strategies.lists(
            strategies.dictionaries(strategies.sampled_from(STEP_FIELDS), strategies.one_of(NUMBERS, VALUES)),
            max_size=3,
        ),
        "best_effort": strategies.one_of(strategies.just(True), VALUES),
    },
    optional={"spec": VALUES, "times": VALUES},
)
# `json` writes unpaired surrogates as escapes, and numbers that are not finite by their names.
ONE_ODD_FIELD = strategies.dictionaries(strategies.sampled_from(STEP_FIELDS), NUMBERS, max_size=1).map(
    lambda changes: _bad_step(**changes)
)
BODIES = strategies.one_of(
    strategies.binary(max_size=50),
    strategies.one_of(strategies.just(BODY), ONE_ODD_FIELD, JOB_BODIES).map(lambda body: json.dumps(body).encode()),
)
DEADLINES = strategies.one_of(
    strategies.binary(max_size=8),
    strategies.integers().map(lambda number: str(number).encode()),
    strategies.sampled_from([b"9" * 400, b"9" * 5000, b"\xb2", b"inf", b"nan", b"1_0"]),
)


async def test_cancellation_of_an_open_job_reaches_entries_without_the_store() -> None:
    """Guards against a cancelled job that runs as its POST arrives again at another entry (review/8)."""
    other = fleet_conftest.Entry("e2", [])
    entry = fleet_conftest.Entry("e1", [])
    agent = fleet_conftest.Agent("a", [entry.url, other.url])
    agent.duration_s = 20.0
    async with fleet_conftest.running(entry, other, agent):
        await fleet_conftest.until(lambda: entry.link_server.has_workers and other.link_server.has_workers)
        setup, other_setup = _Setup(entry, agent), _Setup(other, agent)
        setup.configure()
        other_setup.configure()
        submitting = asyncio.create_task(setup.call("POST", f"/q/{JOB}", BODY))
        await fleet_conftest.until(lambda: len(agent.worker.running) == 2)
        deleted = await setup.call("DELETE", f"/q/{JOB}")
        assert deleted is not None and deleted[0] == 200
        await submitting
        await asyncio.sleep(0.5)
        starts = len(agent.worker.starts)
        again = await other_setup.call("POST", f"/q/{JOB}", BODY)
        assert again is not None and again[:2] == (200, {"state": "failed"})
        assert len(agent.worker.starts) == starts


METHODS = strategies.sampled_from(["POST", "POST", "POST", "GET", "DELETE", "PUT", "\u00e9"])
PATHS = strategies.one_of(strategies.just(f"/q/{JOB}"), strategies.text(max_size=30).map(lambda text: f"/q/{text}"))


async def _create_without_workers() -> _Setup:
    setup = _Setup(fleet_conftest.Entry("e", []), fleet_conftest.Agent("a", []))
    setup.configure()
    setup.entry.link_server.scheduler._grace_ends_at = float("inf")  # so that all valid jobs are accepted
    return setup


async def _call_without_workers(
    setup: _Setup, method: str, path: str, body: bytes, headers: tuple[tuple[bytes, bytes], ...]
) -> None:
    entry = setup.entry
    disconnected = asyncio.Event()
    disconnected.set()
    answer = await setup.call(method, path, body, disconnected, headers)
    assert answer is None or 200 <= answer[0] < 500 or answer[0] in (503, 504)
    if answer is not None and answer[0] == 400:
        assert answer[1]["code"] and answer[1]["message"]
    for _ in range(2):
        entry.link_server.scheduler.tick(asyncio.get_running_loop().time())
    assert entry.job_service.open_count == 0
    assert not entry.link_server.scheduler.open_jobs


def test_drawn_requests_get_documented_answers() -> None:
    """Guards against requests that end in an unhandled error or leave an open job behind."""
    with asyncio.Runner() as runner:
        setup = runner.run(_create_without_workers())

        @hypothesis.settings(max_examples=400)
        @hypothesis.given(METHODS, PATHS, BODIES, strategies.one_of(strategies.none(), DEADLINES))
        def run(method: str, path: str, body: bytes, deadline: bytes | None) -> None:
            headers = ((b"deadline-ms", deadline),) if deadline is not None else ()
            runner.run(_call_without_workers(setup, method, path, body, headers))

        run()
