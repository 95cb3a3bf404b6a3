"""Tasks reported as not run were never started at a backend server (G4)."""

import concurrent.futures
import signal
from collections import abc

import pytest

from emulator import cluster
from tests.system import caller, checks

ENTRY = "entry-0"


@pytest.fixture(scope="module")
def processes(tmp_path_factory: pytest.TempPathFactory) -> abc.Iterator[cluster.Cluster]:
    """Start one entry; the tests run in the order of this file, and later ones add a worker."""
    with cluster.Cluster(tmp_path_factory.mktemp("refusals")) as started:
        started.start_entry(ENTRY)
        started.wait_ready(ENTRY)
        yield started


@pytest.fixture(scope="module")
def with_worker(processes: cluster.Cluster) -> cluster.Cluster:
    """Add one worker to the entry."""
    processes.start_worker(0)
    processes.wait_linked(ENTRY, 1)
    return processes


def submit(processes: cluster.Cluster, deadline_ms: int) -> tuple[str, caller.Response]:
    """Submit a job of ten tasks of 100 ms in a new session."""
    http_client = caller.Caller(processes[ENTRY].http_url)
    session = http_client.open_session()
    return session, http_client.submit(session, 1, caller.fee_body(10, 100, deadline_ms=deadline_ms))


def check_not_run(processes: cluster.Cluster, session: str, response: caller.Response, reason: str) -> None:
    """Check that all ten tasks are reported as not run for a reason, and that none ran."""
    ended = checks.check_answer(processes, response, session, 1, 10, "fee")
    assert ended == {"not_run": 10}
    assert {task["reason"] for task in response.body["tasks"]} == {reason}
    checks.check_nothing_ran(processes, session, 1)


def test_no_agents(processes: cluster.Cluster) -> None:
    """Guards against a job that waits for agents beyond its deadline."""
    session, response = submit(processes, 500)
    check_not_run(processes, session, response, "deadline")


def test_deadline_passes_while_tasks_are_queued(with_worker: cluster.Cluster) -> None:
    """Guards against reporting tasks as `not_run` that were running when the deadline passed."""
    http_client = caller.Caller(with_worker[ENTRY].http_url)
    session = http_client.open_session()

    response = http_client.submit(session, 1, caller.fee_body(40, 700, deadline_ms=1000))

    ended = checks.check_answer(with_worker, response, session, 1, 40, "fee")
    assert ended.get("not_run", 0) >= 24, ended
    assert ended["completed"] >= 1, ended


def test_cancelled_before_and_while_tasks_run(with_worker: cluster.Cluster) -> None:
    """Guards against a cancelled task that starts later, and a running task that is reported as not run."""
    http_client = caller.Caller(with_worker[ENTRY].http_url)
    session = http_client.open_session()
    assert http_client.submit(session, 1, caller.fee_body(40, 300), 0).status == 202
    checks.wait_started(with_worker, session, 1)

    ended = checks.check_answer(with_worker, http_client.cancel(session, 1, 30), session, 1, 40, "fee")

    assert 1 <= ended["completed"] <= 16, ended
    assert ended["completed"] + ended["not_run"] == 40


def test_no_backend_server(with_worker: cluster.Cluster) -> None:
    """Guards against starts at a server that left, and against reporting that tasks ran there."""
    with_worker.configure_server("server-0", announcing="leave")
    with_worker.wait_until(lambda: not with_worker.available_workers(ENTRY), "the server left")
    session, response = submit(with_worker, 500)
    check_not_run(with_worker, session, response, "deadline")
    with_worker.configure_server("server-0")
    with_worker.wait_linked(ENTRY, 1)


def test_draining_agent(with_worker: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor) -> None:
    """Guards against starts at an agent that is being stopped."""
    with_worker.start_agent("agent-1")
    with_worker.start_backend_server("server-1", "agent-1")
    with_worker.wait_linked(ENTRY, 2)
    http_client = caller.Caller(with_worker[ENTRY].http_url)
    session = http_client.open_session()
    job = background.submit(http_client.submit, session, 1, caller.fee_body(64, 100))
    checks.wait_started(with_worker, session, 1)
    with_worker.signal("agent-1", signal.SIGTERM)

    assert checks.check_answer(with_worker, job.result(), session, 1, 64, "fee") == {"completed": 64}
    assert with_worker.wait_exit("agent-1") == 0


def test_draining_entry(with_worker: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor) -> None:
    """Guards against a job that is refused as draining but runs, and against the loss of an accepted job."""
    http_client = caller.Caller(with_worker[ENTRY].http_url)
    session = http_client.open_session()
    job = background.submit(http_client.submit, session, 1, caller.fee_body(24, 300))
    checks.wait_started(with_worker, session, 1)
    with_worker.signal(ENTRY, signal.SIGTERM)
    with_worker.wait_until(lambda: with_worker.get_status(ENTRY, "/readyz") == 503, "the entry is draining")

    refused_job = http_client.submit(session, 2, caller.fee_body(5))
    refused_session = http_client.request("POST", "")

    for reply in (refused_job, refused_session):
        assert (reply.status, reply.body["code"], reply.body["ran"]) == (503, "draining", "nothing")
    assert checks.check_answer(with_worker, job.result(), session, 1, 24, "fee") == {"completed": 24}
    checks.check_nothing_ran(with_worker, session, 2)
    assert with_worker.wait_exit(ENTRY) == 0
