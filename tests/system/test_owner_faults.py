"""Jobs whose owning entry fails and that are resubmitted to another entry (G1, G2, G4, G5)."""

import concurrent.futures
import pathlib
import signal
from collections import abc
from typing import NamedTuple

import pytest

from emulator import cluster
from tests.system import caller, checks

AGENTS = 2
ENTRIES = ["entry-0", "entry-1", "entry-2"]
TASKS = 40  # more than the 16 slots, so that tasks are queued, running and finished when the fault occurs


@pytest.fixture
def processes(tmp_path: pathlib.Path) -> abc.Iterator[cluster.Cluster]:
    """Start three entries and two workers whose links can be cut."""
    with cluster.Cluster(tmp_path, proxied=True) as started:
        for name in ENTRIES:
            started.start_entry(name)
        for number in range(AGENTS):
            started.start_worker(number)
        started.wait_ready(*ENTRIES)
        for name in ENTRIES:
            started.wait_linked(name, AGENTS)
            started.wait_peers(name, len(ENTRIES) - 1)
        yield started


class SubmittedJob(NamedTuple):
    """A fee-charge job with the names of its owner and of the other entries, and the first caller's reply."""

    session: str
    owner: str
    others: list[str]
    body: bytes
    first: concurrent.futures.Future[caller.Response]


@pytest.fixture
def submitted(processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor) -> SubmittedJob:
    """Submit a job and wait until one of its tasks was started."""
    session = caller.Caller(processes["entry-0"].http_url).open_session()
    incarnations = {name: processes.get_json(name, "/v1/status")["entry"]["incarnation"] for name in ENTRIES}
    owner = next(name for name in ENTRIES if session.startswith(incarnations[name]))
    body = caller.fee_body(TASKS, 300)
    first = background.submit(caller.Caller(processes[owner].http_url).submit, session, 1, body, 60)
    checks.wait_started(processes, session, 1)
    return SubmittedJob(session, owner, [name for name in ENTRIES if name != owner], body, first)


def check_job(processes: cluster.Cluster, job: SubmittedJob, answer: caller.Response) -> dict[str, int]:
    """Check an answer and count its tasks by state."""
    return checks.check_answer(processes, answer, job.session, 1, TASKS, "fee")


def resubmit(
    processes: cluster.Cluster, background: concurrent.futures.Executor, names: list[str], job: SubmittedJob
) -> list[caller.Response]:
    """Submit the same job to several entries at once and check the answers against the recorded starts."""
    callers = [caller.Caller(processes[name].http_url) for name in names]
    answers = list(background.map(lambda each: each.submit(job.session, 1, job.body, wait_s=60), callers))
    for answer in answers:
        check_job(processes, job, answer)
    checks.check_started_once(processes)
    return answers


def test_owner_runs_and_all_entries_get_the_same_answer(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, submitted: SubmittedJob
) -> None:
    """Guards against a second run of a job that is resubmitted to every entry while its owner runs it."""
    answers = resubmit(processes, background, [submitted.owner, *submitted.others] * 2, submitted)

    assert all(answer.body == submitted.first.result().body for answer in answers)
    assert answers[0].body["state"] == "complete"


@pytest.mark.parametrize("fault", ["", "owner restarted", "agent paused"])
def test_owner_killed_while_its_job_runs(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, submitted: SubmittedJob, fault: str
) -> None:
    """Guards against a second start, or a partial answer, when two entries recover the job of a killed owner."""
    owner, asked = submitted.owner, list(submitted.others)
    if fault == "agent paused":
        processes.signal("agent-1", signal.SIGSTOP)
    processes.signal(owner, signal.SIGKILL)
    processes.wait_exit(owner)
    if fault == "owner restarted":
        processes.restart(owner)
        processes.wait_ready(owner)
        processes.wait_linked(owner, AGENTS)
        asked.append(owner)

    answers = resubmit(processes, background, asked, submitted)

    assert submitted.first.result().status == 0
    assert all(answer.body["recovered"] and answer.body["state"] == "failed" for answer in answers)
    http_client = caller.Caller(processes[asked[0]].http_url)
    assert http_client.submit(submitted.session, 1, caller.job_body(3)).body["code"] == "job_conflict"
    # A paused agent may still have starts queued that the killed owner sent.
    processes.signal("agent-1", signal.SIGCONT)
    for name in submitted.others:
        processes.wait_linked(name, AGENTS)
    resubmit(processes, background, asked, submitted)
    for answer in answers:
        check_job(processes, submitted, answer)


def test_owner_killed_after_all_tasks_ended(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, submitted: SubmittedJob
) -> None:
    """Guards against losing a complete answer that the agents still hold."""
    first = submitted.first.result()
    processes.signal(submitted.owner, signal.SIGKILL)
    processes.wait_exit(submitted.owner)

    answers = resubmit(processes, background, submitted.others, submitted)

    assert [answer.body["state"] for answer in answers] == ["complete", "complete"]
    assert [caller.results(answer) for answer in answers] == [caller.results(first)] * 2


@pytest.mark.parametrize("fault", ["paused", "cut off", "cut off and agent killed", "cut from its peers"])
def test_owner_returns_after_its_job_was_recovered(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, submitted: SubmittedJob, fault: str
) -> None:
    """Guards against a second start when the owner and a recovering entry both act as owner of the job."""
    owner, others = submitted.owner, submitted.others
    if fault == "paused":
        processes.signal(owner, signal.SIGSTOP)
    else:
        processes.network.partition(owner, *others, *(["agent-0", "agent-1"] if fault != "cut from its peers" else []))
    if fault == "cut off and agent killed":
        processes.signal("agent-1", signal.SIGKILL)

    answers = resubmit(processes, background, others, submitted)
    processes.signal(owner, signal.SIGCONT)
    processes.network.heal()

    ended = check_job(processes, submitted, submitted.first.result())
    assert fault != "paused" or ended.get("not_run"), ended
    assert all(answer.body["recovered"] for answer in answers)
    for answer in answers:
        check_job(processes, submitted, answer)
    checks.check_started_once(processes)


def test_owner_out_of_sight_of_one_entry_is_asked_through_another(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, submitted: SubmittedJob
) -> None:
    """Guards against an unnecessary recovery, which would fail a job that its owner completes."""
    processes.network.partition(submitted.owner, submitted.others[0])

    answers = resubmit(processes, background, submitted.others[:1], submitted)

    assert answers[0].body == submitted.first.result().body
    assert answers[0].body["state"] == "complete"


def test_session_opens_while_the_preferred_entry_hangs(processes: cluster.Cluster) -> None:
    """Guards against new jobs that wait until an entry that was just paused is considered dead."""
    preferred = processes.get_json("entry-0", "/v1/status")["workspaces"][0]["preferred_entry"]
    other = next(name for name in ENTRIES if name != preferred)
    processes.signal(preferred, signal.SIGSTOP)

    session = caller.Caller(processes[other].http_url).open_session()

    peers = processes.get_json(other, "/v1/status")["peers"]
    paused = next(peer for peer in peers if peer["name"] == preferred)
    assert paused["alive"]
    assert not session.startswith(paused["incarnation"])
