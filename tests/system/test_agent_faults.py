"""Jobs whose agents, backend servers or links fail (G1, G2, G4, G5)."""

import concurrent.futures
import pathlib
import signal
import time
from collections import abc
from typing import Any

import pytest

from emulator import cluster
from tests.system import caller, checks

TASKS = 60
RUN_MS = 100
AGENTS = 2
SLOTS = 8  # of each backend server
ENTRY = "entry-0"


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> abc.Iterator[cluster.Cluster]:
    """Start an entry and two workers whose links can be cut."""
    with cluster.Cluster(tmp_path_factory.mktemp("agent_faults"), proxied=True) as started:
        started.start_entry(ENTRY)
        for number in range(AGENTS):
            started.start_worker(number)
        started.wait_ready(ENTRY)
        yield started


@pytest.fixture
def processes(shared: cluster.Cluster) -> abc.Iterator[cluster.Cluster]:
    """Clear all faults of the shared processes and restart those that exited."""
    shared.network.heal()
    for number in range(AGENTS):
        for name in (f"agent-{number}", f"server-{number}"):
            if shared[name].process.poll() is not None:
                shared.restart(name)
            shared.signal(name, signal.SIGCONT)
        shared.wait_until(
            lambda name=f"server-{number}": shared.get_status(name, "/report") == 200, "the server responds"
        )
        shared.configure_server(f"server-{number}")
    shared.wait_linked(ENTRY, AGENTS)
    yield shared
    checks.check_started_once(shared)


def busy_worker(processes: cluster.Cluster) -> str:
    """Wait until a backend server runs a task and return its number; placement may leave other servers idle."""
    busy: list[str] = []

    def find() -> bool:
        busy.extend(report["name"].rpartition("-")[2] for report in processes.server_reports() if report["running"])
        return bool(busy)

    processes.wait_until(find, "a backend server runs a task")
    return busy[0]


class RunningJob:
    """A fee-charge job that runs while a test causes a fault."""

    def __init__(
        self,
        processes: cluster.Cluster,
        background: concurrent.futures.Executor,
        count: int = TASKS,
        run_ms: float = RUN_MS,
        deadline_ms: int = 40_000,
    ) -> None:
        self._processes = processes
        self._count = count
        self._caller = caller.Caller(processes[ENTRY].http_url)
        self._session = self._caller.open_session()
        body = caller.fee_body(count, run_ms, deadline_ms=deadline_ms)
        self._future = background.submit(self._caller.submit, self._session, 1, body, 60)

    def wait_started(self, count: int = 1) -> None:
        """Wait until at least `count` tasks were started."""
        checks.wait_started(self._processes, self._session, 1, count)

    def wait_states(self) -> dict[str, int]:
        """Wait for the answer, check it and count its tasks by state."""
        return checks.check_answer(self._processes, self._future.result(), self._session, 1, self._count, "fee")

    def count_unknown_without_start(self) -> int:
        """Count the tasks that are `unknown` although no backend server recorded a start."""
        starts = self._processes.starts(f"{self._session}/1/")
        tasks = self._future.result().body["tasks"]
        unknown = [task["index"] for task in tasks if task["state"] == "unknown"]
        return sum(f"{self._session}/1/{index}" not in starts for index in unknown)

    def reasons(self) -> set[str]:
        """Return the reasons that the answer gives."""
        return {task.get("reason", "") for task in self._future.result().body["tasks"]}


@pytest.mark.parametrize("restarted", [True, False])
def test_agent_killed_with_tasks_running(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor, restarted: bool
) -> None:
    """Guards against a second start of tasks whose agent was killed, and against waiting for that agent forever."""
    job = RunningJob(processes, background, run_ms=300)
    agent = f"agent-{busy_worker(processes)}"
    processes.signal(agent, signal.SIGKILL)
    processes.wait_exit(agent)
    if restarted:
        processes.restart(agent)

    ended = job.wait_states()

    assert 1 <= ended["unknown"] <= SLOTS, ended
    assert ended["completed"] == TASKS - ended["unknown"]
    assert job.reasons() == {"", "agent_restarted" if restarted else "agent_lost"}


def test_agent_paused_with_tasks_running(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against a second start or a lost result of tasks at an agent that resumes after a pause."""
    job = RunningJob(processes, background, run_ms=300)
    agent = f"agent-{busy_worker(processes)}"
    processes.signal(agent, signal.SIGSTOP)
    processes.wait_until(lambda: processes.available_workers(ENTRY) < AGENTS, "the pause is noticed")
    processes.signal(agent, signal.SIGCONT)

    assert job.wait_states() == {"completed": TASKS}


def test_connections_dropped_right_after_starts_were_sent(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against a lost or a repeated task when it is unknown whether an assign message arrived."""
    job = RunningJob(processes, background, count=160)
    for round_number in range(5):
        job.wait_started(16 + 25 * round_number)
        for number in range(AGENTS):
            processes.network.reset(f"agent-{number}", ENTRY)

    assert job.wait_states() == {"completed": 160}


@pytest.mark.parametrize("blocked", ["to entry", "to agent", "both"])
@pytest.mark.parametrize("noticed", [False, True])
def test_link_cut_and_healed(
    processes: cluster.Cluster,
    background: concurrent.futures.ThreadPoolExecutor,
    blocked: str,
    noticed: bool,
) -> None:
    """Guards against a lost or a repeated task after a cut, in one or both directions, shorter or longer than 3 s."""
    job = RunningJob(processes, background, run_ms=300)
    agent = f"agent-{busy_worker(processes)}"
    if blocked in ("to entry", "both"):
        processes.network.block(agent, ENTRY)
    if blocked in ("to agent", "both"):
        processes.network.block(ENTRY, agent)
    if noticed:
        processes.wait_until(lambda: processes.available_workers(ENTRY) < AGENTS, "the cut is noticed")
    else:
        time.sleep(0.5)  # shorter than any timeout for a silent link
    processes.network.heal()

    assert job.wait_states() == {"completed": TASKS}


def test_backend_server_killed_in_mid_load(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against a second start of tasks that ran on a killed server, and against the failure of any other task."""
    job = RunningJob(processes, background, run_ms=300)
    processes.signal(f"server-{busy_worker(processes)}", signal.SIGKILL)

    ended = job.wait_states()

    # A killed process closes its newest connections first and its listener last. Until then the kernel accepts
    # connections for it, so each slot may lose its running task and one more, which the server never saw. When the
    # listener closes, all those connections end, and later ones are refused.
    unseen = job.count_unknown_without_start()
    assert 1 <= ended["unknown"] - unseen <= SLOTS, ended
    assert unseen <= SLOTS, ended
    assert ended["completed"] == TASKS - ended["unknown"]
    assert job.reasons() == {"", "connection_lost"}


def test_backend_server_that_refuses_connections(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against failed jobs while the lease of a killed server has not expired."""
    processes.signal("server-1", signal.SIGKILL)
    processes.wait_exit("server-1")

    assert RunningJob(processes, background).wait_states() == {"completed": TASKS}


def test_backend_server_paused_beyond_the_deadline(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against a job that never ends, and against `not_run` for tasks that the server may have received."""
    job = RunningJob(processes, background, run_ms=300, deadline_ms=6000)
    processes.signal(f"server-{busy_worker(processes)}", signal.SIGSTOP)

    ended = job.wait_states()

    assert 1 <= ended["unknown"] <= SLOTS, ended
    assert ended["completed"] == TASKS - ended["unknown"]


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        ({"fail": 1.0}, {"failed": TASKS}),
        ({"drop": 1.0}, {"unknown": TASKS}),
        ({"straggle": 0.2}, {"completed": TASKS}),
        ({"refuse": 0.1}, {"completed": TASKS}),
        ({"refuse": 1.0}, {"not_run": TASKS}),
    ],
)
def test_backend_servers_with_faults(
    processes: cluster.Cluster,
    background: concurrent.futures.ThreadPoolExecutor,
    faults: dict[str, Any],
    expected: dict[str, int],
) -> None:
    """Guards against a wrong state for tasks that fail, lose their answer, straggle or are refused."""
    for number in range(AGENTS):
        processes.configure_server(f"server-{number}", **faults)

    assert RunningJob(processes, background, run_ms=50, deadline_ms=5000).wait_states() == expected


def test_tasks_fail_while_links_break(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against a retry of tasks that ran and failed and whose link was reset as well."""
    for number in range(AGENTS):
        processes.configure_server(f"server-{number}", fail=0.5)
    job = RunningJob(processes, background)
    for count in (10, 30, 50):
        job.wait_started(count)
        for number in range(AGENTS):
            processes.network.reset(f"agent-{number}", ENTRY)

    ended = job.wait_states()

    assert ended["failed"] + ended["completed"] == TASKS, ended


def test_answers_dropped_while_the_agent_is_paused(
    processes: cluster.Cluster, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against a second start when a result is lost both from server to agent and from agent to entry."""
    job = RunningJob(processes, background, run_ms=300)
    number = busy_worker(processes)
    processes.configure_server(f"server-{number}", drop=1.0)
    processes.signal(f"agent-{number}", signal.SIGSTOP)
    processes.wait_until(lambda: processes.available_workers(ENTRY) < AGENTS, "the pause is noticed")
    processes.signal(f"agent-{number}", signal.SIGCONT)

    ended = job.wait_states()

    assert ended["unknown"] + ended.get("completed", 0) == TASKS


def test_connections_to_the_backend_server_dropped(
    tmp_path: pathlib.Path, background: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guards against a repeated start over a new connection, by the HTTP client or by the dispatcher."""
    with cluster.Cluster(tmp_path) as started:
        started.start_entry(ENTRY)
        started.start_agent("agent-0")
        started.start_backend_server("server-0", "agent-0", proxied=True)
        started.wait_ready(ENTRY)
        started.wait_linked(ENTRY, 1)
        job = RunningJob(started, background, run_ms=50)
        dropped = 0
        for count in (10, 20, 30, 40):
            job.wait_started(count)
            dropped += started.network.reset("agent-0", "server-0")

        ended = job.wait_states()

        assert dropped
        assert ended["unknown"] + ended["completed"] == TASKS
        checks.check_started_once(started)
