"""Jobs whose owner fails, resubmitted to another entry (G1, G2, G4, G5)."""

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
TASKS = 40  # more than the 16 slots, so that tasks are queued, running and finished when the fault comes


@pytest.fixture
def network(tmp_path: pathlib.Path) -> abc.Iterator[cluster.Cluster]:
    """Give three entries and two workers whose links can be cut."""
    with cluster.Cluster(tmp_path, proxied=True) as processes:
        for name in ENTRIES:
            processes.start_entry(name)
        for number in range(AGENTS):
            processes.start_worker(number)
        processes.wait_ready(*ENTRIES)
        for name in ENTRIES:
            processes.wait_linked(name, AGENTS)
            processes.wait_peers(name, len(ENTRIES) - 1)
        yield processes


class Submitted(NamedTuple):
    """A fee-charge job with the names of its owner and of the other entries, and the first caller's reply."""

    session: str
    owner: str
    others: list[str]
    body: bytes
    first: concurrent.futures.Future[caller.Response]


@pytest.fixture
def submitted(network: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor) -> Submitted:
    """Give a job of which some tasks were started."""
    session = caller.Caller(network["entry-0"].http_url).open_session()
    incarnations = {name: network.get_json(name, "/v1/status")["entry"]["incarnation"] for name in ENTRIES}
    owner = next(name for name in ENTRIES if session.startswith(incarnations[name]))
    body = caller.fee_body(TASKS, 300)
    first = background.submit(caller.Caller(network[owner].http_url).submit, session, 1, body, 60)
    checks.wait_started(network, session, 1)
    return Submitted(session, owner, [name for name in ENTRIES if name != owner], body, first)


def check(processes: cluster.Cluster, job: Submitted, answer: caller.Response) -> dict[str, int]:
    """Check an answer; return how many tasks ended in each state."""
    return checks.check_answer(processes, answer, job.session, 1, TASKS, "fee")


def resubmit(
    processes: cluster.Cluster, background: concurrent.futures.Executor, names: list[str], job: Submitted
) -> list[caller.Response]:
    """Submit the same job at several entries at once and check that their answers agree with the starts."""
    callers = [caller.Caller(processes[name].http_url) for name in names]
    answers = list(background.map(lambda each: each.submit(job.session, 1, job.body, wait_s=60), callers))
    for answer in answers:
        check(processes, job, answer)
    checks.check_started_once(processes)
    return answers


def test_owner_runs_and_all_entries_get_the_same_answer(
    network: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, submitted: Submitted
) -> None:
    """Guards against a second run of a job that was resubmitted everywhere while its owner works."""
    answers = resubmit(network, background, [submitted.owner, *submitted.others] * 2, submitted)

    assert all(answer.body == submitted.first.result().body for answer in answers)
    assert answers[0].body["state"] == "complete"


@pytest.mark.parametrize("fault", ["", "owner restarted", "agent paused"])
def test_owner_killed_while_its_job_runs(
    network: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, submitted: Submitted, fault: str
) -> None:
    """Guards against a second start, or a partial answer, when two entries recover the job of a killed owner."""
    owner, asked = submitted.owner, list(submitted.others)
    if fault == "agent paused":
        network.signal("agent-1", signal.SIGSTOP)
    network.signal(owner, signal.SIGKILL)
    network.wait_exit(owner)
    if fault == "owner restarted":
        network.restart(owner)
        network.wait_ready(owner)
        network.wait_linked(owner, AGENTS)
        asked.append(owner)

    answers = resubmit(network, background, asked, submitted)

    assert submitted.first.result().status == 0
    assert all(answer.body["recovered"] and answer.body["state"] == "failed" for answer in answers)
    again = caller.Caller(network[asked[0]].http_url)
    assert again.submit(submitted.session, 1, caller.job_body(3)).body["code"] == "job_conflict"
    # Starts that the killed owner sent may still wait at a paused agent.
    network.signal("agent-1", signal.SIGCONT)
    for name in submitted.others:
        network.wait_linked(name, AGENTS)
    resubmit(network, background, asked, submitted)
    for answer in answers:
        check(network, submitted, answer)


def test_owner_killed_after_all_tasks_ended(
    network: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, submitted: Submitted
) -> None:
    """Guards against losing a complete answer that the agents still hold."""
    first = submitted.first.result()
    network.signal(submitted.owner, signal.SIGKILL)
    network.wait_exit(submitted.owner)

    answers = resubmit(network, background, submitted.others, submitted)

    assert [answer.body["state"] for answer in answers] == ["complete", "complete"]
    assert [caller.results(answer) for answer in answers] == [caller.results(first)] * 2


@pytest.mark.parametrize("fault", ["paused", "cut off", "cut off and agent killed", "cut from its peers"])
def test_owner_returns_after_its_job_was_recovered(
    network: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, submitted: Submitted, fault: str
) -> None:
    """Guards against two starts when the owner and a recovering entry both believe that they serve the job."""
    owner, others = submitted.owner, submitted.others
    if fault == "paused":
        network.signal(owner, signal.SIGSTOP)
    else:
        network.network.partition(owner, *others, *(["agent-0", "agent-1"] if fault != "cut from its peers" else []))
    if fault == "cut off and agent killed":
        network.signal("agent-1", signal.SIGKILL)

    answers = resubmit(network, background, others, submitted)
    network.signal(owner, signal.SIGCONT)
    network.network.heal()

    ended = check(network, submitted, submitted.first.result())
    assert fault != "paused" or ended.get("not_run"), ended
    assert all(answer.body["recovered"] for answer in answers)
    for answer in answers:
        check(network, submitted, answer)
    checks.check_started_once(network)


def test_owner_out_of_sight_of_one_entry_is_asked_through_another(
    network: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, submitted: Submitted
) -> None:
    """Guards against a needless recovery, which would fail a job that its owner completes."""
    network.network.partition(submitted.owner, submitted.others[0])

    answers = resubmit(network, background, submitted.others[:1], submitted)

    assert answers[0].body == submitted.first.result().body
    assert answers[0].body["state"] == "complete"


def test_session_opens_while_the_preferred_entry_hangs(network: cluster.Cluster) -> None:
    """Guards against new jobs that wait until an entry that was just paused is considered dead."""
    preferred = network.get_json("entry-0", "/v1/status")["workspaces"][0]["preferred_entry"]
    other = next(name for name in ENTRIES if name != preferred)
    network.signal(preferred, signal.SIGSTOP)

    session = caller.Caller(network[other].http_url).open_session()

    peers = network.get_json(other, "/v1/status")["peers"]
    paused = next(peer for peer in peers if peer["name"] == preferred)
    assert paused["alive"]
    assert not session.startswith(paused["incarnation"])
