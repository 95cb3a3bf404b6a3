"""Many callers at several entries (G1, G2, G3, G4)."""

import concurrent.futures
import random
import socket
import urllib.parse
from collections import abc

import pytest

from emulator import cluster
from tests.system import caller, checks

ENTRIES = ("entry-0", "entry-1", "entry-2")
CALLERS = 300
SEED = 20261204


@pytest.fixture(scope="module")
def processes(tmp_path_factory: pytest.TempPathFactory) -> abc.Iterator[cluster.Cluster]:
    """Start three entries and three workers of different speed."""
    with cluster.Cluster(tmp_path_factory.mktemp("callers")) as started:
        for name in ENTRIES:
            started.start_entry(name)
        for number, speed in enumerate((0.5, 1.0, 2.0)):
            started.start_worker(number, "--speed", str(speed))
        started.wait_ready(*ENTRIES)
        for name in ENTRIES:
            started.wait_linked(name, 3)
        yield started
        checks.check_started_once(started)


def caller_at(processes: cluster.Cluster, index: int) -> caller.Caller:
    """Return a caller that uses the entry `index`, modulo the number of entries."""
    return caller.Caller(processes[ENTRIES[index % len(ENTRIES)]].http_url)


def test_interleaved_callers_each_get_their_own_whole_answer(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against answers that are mixed up, partial or lost when jobs finish in another order than they started."""
    rng = random.Random(SEED)
    plans = [(index, rng.randint(1, 12), rng.choice((1, 10, 40, 120))) for index in range(CALLERS)]
    shared = [caller_at(processes, 0).open_session() for _ in range(20)]

    def call(plan: tuple[int, int, int]) -> tuple[str, int, int, str, list[caller.Response]]:
        index, count, run_ms = plan
        session = shared[index % len(shared)] if index % 2 else caller_at(processes, index).open_session()
        body = caller.fee_body(count, run_ms, tag=f"{index}.")
        answers = [caller_at(processes, index + turn).submit(session, index, body, wait_s=60) for turn in range(2)]
        return session, index, count, f"{index}.", answers

    calls = list(background.map(call, plans))

    starts = processes.starts()
    for session, number, count, tag, answers in calls:
        for answer in answers:
            ended = checks.check_answer(processes, answer, session, number, count, tag, starts)
            assert ended == {"completed": count}
        assert answers[0].body == answers[1].body


def test_cancellation_races_completion(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against a cancelled task that ran, and against two different answers to one job."""
    rng = random.Random(SEED)
    session = caller_at(processes, 0).open_session()
    totals: dict[str, int] = {}

    def call(number: int) -> tuple[int, list[caller.Response]]:
        body = caller.fee_body(30, 20, tag=f"{number}.")
        submitted = caller_at(processes, number).submit(session, number, body, wait_s=rng.choice((0, 0.02, 0.1, 0.3)))
        assert submitted.status in (200, 202), submitted
        http_client = caller_at(processes, number + 1)
        return number, [
            http_client.cancel(session, number, 60),
            http_client.get(session, number, 60),
            http_client.cancel(session, number, 60),
        ]

    for number, answers in background.map(call, range(1, 41)):
        for answer in answers:
            ended = checks.check_answer(processes, answer, session, number, 30, f"{number}.")
        assert all(answer.body == answers[0].body for answer in answers)
        for state, count in ended.items():
            totals[state] = totals.get(state, 0) + count

    assert totals.keys() == {"completed", "not_run"}, totals


def test_number_reused_with_another_body(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against running or answering tasks of a second body under the job number of the first."""
    session = caller_at(processes, 0).open_session()
    bodies = [caller.fee_body(5, 50, tag=f"{index}.") for index in range(12)]

    answers = list(
        background.map(lambda index: caller_at(processes, index).submit(session, 1, bodies[index]), range(12))
    )

    winners = [index for index, answer in enumerate(answers) if answer.status == 200]
    assert len(winners) == 1
    checks.check_answer(processes, answers[winners[0]], session, 1, 5, f"{winners[0]}.")
    others = [answer for answer in answers if answer.status != 200]
    assert {(answer.status, answer.body["code"], answer.body["ran"]) for answer in others} == {
        (409, "job_conflict", "nothing")
    }
    assert len(processes.starts(f"{session}/1/")) == 5


def test_callers_that_disconnect(processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor) -> None:
    """Guards against a job that is lost or run again because its caller disconnected."""
    session = caller_at(processes, 0).open_session()
    bodies = {number: caller.fee_body(8, 30, tag=f"{number}.") for number in range(1, 31)}

    def send_and_disconnect(number: int) -> None:
        url = urllib.parse.urlsplit(processes[ENTRIES[number % 3]].http_url)
        path = f"/v1/workspaces/cheese/sessions/{session}/jobs/{number}?wait=30"
        head = f"PUT {path} HTTP/1.1\r\nHost: {url.netloc}\r\nContent-Length: {len(bodies[number])}\r\n\r\n"
        whole = head.encode() + bodies[number]
        with socket.create_connection((url.hostname, url.port)) as connection:
            connection.sendall(whole if number % 3 else whole[:-10])

    list(background.map(send_and_disconnect, bodies))
    answers = background.map(
        lambda number: caller_at(processes, number + 1).submit(session, number, bodies[number]), bodies
    )

    for number, answer in zip(bodies, answers, strict=True):
        assert checks.check_answer(processes, answer, session, number, 8, f"{number}.") == {"completed": 8}


def test_overloaded_workspace_refuses_whole_jobs(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against a refused job of which a task ran, and against a burst that harms accepted jobs."""
    session = caller_at(processes, 0).open_session()
    # No run time is known for this kind, so that the quota refuses the job and not the deadline estimate.
    body = caller.fee_body(340, 60_000, deadline_ms=4000).replace(b"fee-charge", b"never-run-before")
    numbers = range(1, 71)  # 23,800 tasks; the limit is 20,000 queued

    replies = dict(
        zip(
            numbers,
            background.map(lambda number: caller_at(processes, 0).submit(session, number, body, 0), numbers),
            strict=True,
        )
    )

    refused = [number for number, reply in replies.items() if reply.status != 202]
    assert refused
    assert {(replies[number].body["code"], replies[number].body["ran"]) for number in refused} == {
        ("overloaded", "nothing")
    }
    accepted = [number for number in numbers if number not in refused]
    answers = dict(
        zip(
            accepted, background.map(lambda number: caller_at(processes, 0).get(session, number), accepted), strict=True
        )
    )
    starts = processes.starts()
    for number, answer in answers.items():
        checks.check_answer(processes, answer, session, number, 340, starts=starts)
    for number in refused:
        checks.check_nothing_ran(processes, session, number)
