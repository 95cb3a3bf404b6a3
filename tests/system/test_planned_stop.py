"""Planned stops interrupt no request (G7)."""

import concurrent.futures
import pathlib
import signal
import time
from collections import abc

import pytest

from emulator import cluster
from tests.system import caller, checks, load

ENTRIES = ["entry-0", "entry-1", "entry-2"]


@pytest.fixture
def processes(tmp_path: pathlib.Path) -> abc.Iterator[cluster.Cluster]:
    """Start three entries and two workers whose links can be cut."""
    with cluster.Cluster(tmp_path, proxied=True) as started:
        for name in ENTRIES:
            started.start_entry(name)
        for number in range(2):
            started.start_worker(number)
        started.wait_ready(*ENTRIES)
        for name in ENTRIES:
            started.wait_linked(name, 2)
            started.wait_peers(name, len(ENTRIES) - 1)
        yield started


def owner_of(processes: cluster.Cluster, session: str) -> str:
    """Return the name of the entry that owns a session."""
    incarnations = {name: processes.get_json(name, "/v1/status")["entry"]["incarnation"] for name in ENTRIES}
    return next(name for name, incarnation in incarnations.items() if session.startswith(incarnation))


def stop(processes: cluster.Cluster, name: str) -> None:
    """Stop a process with SIGTERM and check that it exits with 0."""
    processes.signal(name, signal.SIGTERM)
    assert processes.wait_exit(name) == 0


def test_entry_stopped_in_mid_load(processes: cluster.Cluster) -> None:
    """Guards against requests that are cut off, and jobs that fail, when an entry is stopped."""
    with load.Load(processes, ENTRIES, callers=12) as running:
        processes.wait_until(lambda: len(running.submissions) > 20, "jobs were answered")
        owner = owner_of(processes, running.submissions[-1].session)
        stop(processes, owner)
        running.entries = [name for name in ENTRIES if name != owner]
        answered = len(running.submissions)
        processes.wait_until(lambda: len(running.submissions) > answered + 40, "jobs are answered after the stop")
        totals = running.finish()

    assert not running.interrupted
    assert set(totals) <= {"complete", *load.NEW_SESSION_CODES}, totals


def test_agent_stopped_in_mid_load(processes: cluster.Cluster) -> None:
    """Guards against tasks that are cut off, or results that are lost, when an agent is stopped."""
    with load.Load(processes, ENTRIES, callers=12, run_ms=200) as running:
        processes.wait_until(lambda: len(running.submissions) > 20, "jobs were answered")
        stop(processes, "agent-1")
        answered = len(running.submissions)
        processes.wait_until(lambda: len(running.submissions) > answered + 20, "jobs are answered after the stop")
        totals = running.finish()

    assert not running.interrupted
    assert totals.keys() == {"complete"}


def test_every_entry_replaced_under_load(processes: cluster.Cluster) -> None:
    """Guards against a failed job, a lost answer or a second run while all entries are replaced in turn."""
    first = caller.Caller(processes["entry-0"].http_url)
    session = first.open_session()
    body = caller.fee_body(8, 20)
    first_states = checks.check_answer(processes, first.submit(session, 1, body), session, 1, 8, "fee")
    owner = owner_of(processes, session)
    order = [owner, *(name for name in ENTRIES if name != owner)]

    with load.Load(processes, list(ENTRIES), callers=12) as running:
        for name in order:
            processes.start_entry(f"{name}-new")
            processes.wait_ready(f"{name}-new")
            processes.wait_linked(f"{name}-new", 2)
            running.entries = [*running.entries, f"{name}-new"]
            stop(processes, name)
            running.entries = [each for each in running.entries if each != name]
            answered = len(running.submissions)
            processes.wait_until(lambda count=answered: len(running.submissions) > count + 20, "jobs are answered")
        totals = running.finish()

    assert not running.interrupted
    assert set(totals) <= {"complete", *load.NEW_SESSION_CODES}, totals
    assert first_states == {"completed": 8}
    for name in ENTRIES:
        http_client = caller.Caller(processes[f"{name}-new"].http_url)
        answer = http_client.submit(session, 1, body)
        assert checks.check_answer(processes, answer, session, 1, 8, "fee") == {"completed": 8}
        assert not answer.body["recovered"]
        assert http_client.submit(session, 1, caller.fee_body(3)).body["code"] == "job_conflict"
        assert http_client.submit(session, 2, body).body["code"] == "session_closed"
    checks.check_nothing_ran(processes, session, 2)


def test_entry_stopped_twice_and_an_agent_at_once(processes: cluster.Cluster) -> None:
    """Guards against an interrupted request when an entry and an agent stop at the same time."""
    with load.Load(processes, ENTRIES, callers=12) as running:
        processes.wait_until(lambda: len(running.submissions) > 20, "jobs were answered")
        owner = owner_of(processes, running.submissions[-1].session)
        for name in (owner, "agent-0"):
            processes.signal(name, signal.SIGTERM)
        time.sleep(0.05)
        processes.signal(owner, signal.SIGTERM)
        assert [processes.wait_exit(name) for name in (owner, "agent-0")] == [0, 0]
        running.entries = [name for name in ENTRIES if name != owner]
        answered = len(running.submissions)
        processes.wait_until(lambda: len(running.submissions) > answered + 20, "jobs are answered after the stops")
        totals = running.finish()

    assert not running.interrupted
    assert set(totals) <= {"complete", *load.NEW_SESSION_CODES}, totals


def test_two_entries_stopped_at_once(processes: cluster.Cluster) -> None:
    """Guards against sessions lost because they are handed over to an entry that is also being stopped."""
    sessions: dict[str, str] = {}
    body = caller.fee_body(4, 20)
    for name in ENTRIES:
        # The header marks a forwarded request, so that this entry opens the session itself.
        http_client = caller.Caller(processes[name].http_url, headers={"Cactusgauge-Hop": "owner"})
        sessions[name] = http_client.open_session()
        assert caller.Caller(processes[name].http_url).submit(sessions[name], 1, body).status == 200
    for name in ENTRIES[:2]:
        processes.signal(name, signal.SIGTERM)
    assert [processes.wait_exit(name) for name in ENTRIES[:2]] == [0, 0]

    last = caller.Caller(processes[ENTRIES[2]].http_url)
    for session in sessions.values():
        answer = last.get(session, 1)
        assert checks.check_answer(processes, answer, session, 1, 4, "fee") == {"completed": 4}
        assert not answer.body["recovered"]


@pytest.mark.parametrize("count", [1, 2])
def test_entry_stopped_while_it_is_cut_off_from_peers(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, count: int
) -> None:
    """Guards against a stop that hangs, and lost or repeated jobs, when some or all peers cannot take over sessions."""
    http_client = caller.Caller(processes["entry-0"].http_url)
    session = http_client.open_session()
    owner = owner_of(processes, session)
    others = [name for name in ENTRIES if name != owner]
    body = caller.fee_body(32, 100)
    assert http_client.submit(session, 1, body).status == 200
    waiting = background.submit(caller.Caller(processes[owner].http_url).submit, session, 2, body)
    checks.wait_started(processes, session, 2)
    processes.network.partition(owner, *others[:count])
    stop(processes, owner)
    processes.network.heal()

    assert checks.check_answer(processes, waiting.result(), session, 2, 32, "fee") == {"completed": 32}
    for name in others:
        for number in (1, 2):
            answer = caller.Caller(processes[name].http_url).submit(session, number, body)
            assert checks.check_answer(processes, answer, session, number, 32, "fee") == {"completed": 32}
            # Without a successor, the answer may be recovered from the records of the agents.
            assert count == len(others) or not answer.body["recovered"]
    checks.check_started_once(processes)


def test_all_entries_stopped_at_once(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against a caller without an answer, a stop that hangs and a second start when no successor is left."""
    waiting = []
    for name in ENTRIES:
        # The header marks a forwarded request, so that this entry opens the session itself.
        session = caller.Caller(processes[name].http_url, headers={"Cactusgauge-Hop": "owner"}).open_session()
        http_client = caller.Caller(processes[name].http_url)
        waiting.append((session, background.submit(http_client.submit, session, 1, caller.fee_body(16, 200))))
    for session, _ in waiting:
        checks.wait_started(processes, session, 1)
    for name in ENTRIES:
        processes.signal(name, signal.SIGTERM)

    for session, answer in waiting:
        ended = checks.check_answer(processes, answer.result(), session, 1, 16, "fee")
        assert ended == {"completed": 16}
    assert [processes.wait_exit(name) for name in ENTRIES] == [0, 0, 0]
    checks.check_started_once(processes)


def test_job_that_nobody_waits_for_is_finished_before_the_stop(processes: cluster.Cluster) -> None:
    """Guards against an entry that exits when no request is open although accepted jobs still run."""
    http_client = caller.Caller(processes["entry-0"].http_url)
    session = http_client.open_session()
    assert http_client.submit(session, 1, caller.fee_body(32, 300), wait_s=0).status == 202
    owner = owner_of(processes, session)
    checks.wait_started(processes, session, 1)
    stop(processes, owner)

    other = next(name for name in ENTRIES if name != owner)
    answer = caller.Caller(processes[other].http_url).get(session, 1)

    assert checks.check_answer(processes, answer, session, 1, 32, "fee") == {"completed": 32}
    assert not answer.body["recovered"]
