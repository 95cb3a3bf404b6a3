"""A backend server that leaves or goes silent gets no start after 3 s (G6)."""

import signal
import time
from collections import abc

import pytest

from emulator import cluster
from tests.system import checks, load

ENTRIES = ["entry-0", "entry-1"]
OBSERVED_S = 5.0  # the bound of 3 s, and time in which a late start would be seen


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> abc.Iterator[cluster.Cluster]:
    """Give two entries and two workers whose links can be cut."""
    with cluster.Cluster(tmp_path_factory.mktemp("leaving"), networked=True) as started:
        for name in ENTRIES:
            started.start_entry(name)
        for number in range(2):
            started.start_worker(number)
        started.wait_ready(*ENTRIES)
        yield started


@pytest.fixture
def processes(shared: cluster.Cluster) -> abc.Iterator[cluster.Cluster]:
    """Give the shared processes under load that uses both workers, without any fault."""
    shared.network.heal()
    for number in range(2):
        for name in (f"agent-{number}", f"server-{number}"):
            if shared[name].process.poll() is not None:
                shared.restart(name)
        shared.wait_until(
            lambda name=f"server-{number}": shared.get_status(name, "/report") == 200, "the server serves"
        )
        shared.control(f"server-{number}")
    for name in ENTRIES:
        shared.wait_linked(name, 2)
    with load.Load(shared, ENTRIES, callers=6, tasks=10, run_ms=100) as running:
        before = len(shared.journal("server-1"))
        shared.wait_until(lambda: len(shared.journal("server-1")) > before + 20, "server-1 has work")
        yield shared
        shared.network.heal()
        for name in [*ENTRIES, "agent-1", "server-1"]:
            shared.signal(name, signal.SIGCONT)
        assert running.finish()["complete"]


def changed_at(processes: cluster.Cluster, event: str) -> float:
    """Wait until server-1 recorded a change of its announcements and return the monotonic time of it."""

    def find() -> list[float]:
        return [line["at"] for line in processes.journal("server-1") if line["event"] == event]

    known = len(find())
    processes.control("server-1", announcing=event)
    processes.wait_until(lambda: len(find()) > known, f"server-1: {event}")
    return find()[-1]


def observe(processes: cluster.Cluster, since: float) -> None:
    """Watch for OBSERVED_S and check that server-1 got no start after the bound, while server-0 did."""
    others = len(processes.journal("server-0"))
    time.sleep(max(0.0, since + OBSERVED_S - time.monotonic()))
    checks.check_no_start_after(processes, "server-1", since)
    assert len(processes.journal("server-0")) > others


@pytest.mark.parametrize("event", ["leave", "silent"])
def test_server_leaves_or_goes_silent(processes: cluster.Cluster, event: str) -> None:
    """Guards against work for a server that said that it leaves, or whose renewals stop."""
    observe(processes, changed_at(processes, event))


def test_server_is_terminated(processes: cluster.Cluster) -> None:
    """Guards against work for a server that is being stopped, and against failed jobs because of it."""
    since = time.monotonic()
    processes.signal("server-1", signal.SIGTERM)
    assert processes.wait_exit("server-1") == 0
    observe(processes, since)


def test_agent_killed(processes: cluster.Cluster) -> None:
    """Guards against another way to a server than its agent."""
    since = time.monotonic()
    processes.signal("agent-1", signal.SIGKILL)
    observe(processes, since)


@pytest.mark.parametrize("event", ["leave", "silent"])
@pytest.mark.parametrize("blocked", ["to entries", "to agent"])
def test_link_cut_in_one_direction(processes: cluster.Cluster, event: str, blocked: str) -> None:
    """Guards against starts that were held up on a link, or sent by an entry that did not hear of the change."""
    for entry in ENTRIES:
        one, other = ("agent-1", entry) if blocked == "to entries" else (entry, "agent-1")
        processes.network.block(one, other)
    since = changed_at(processes, event)
    time.sleep(max(0.0, since + 3.5 - time.monotonic()))
    processes.network.heal()
    observe(processes, since)


@pytest.mark.parametrize("paused", [["entry-0"], ENTRIES, ["agent-1"], ["agent-1", "entry-0"]])
@pytest.mark.parametrize("event", ["leave", "silent"])
def test_processes_paused_meanwhile(processes: cluster.Cluster, paused: list[str], event: str) -> None:
    """Guards against starts under a lease that ended, or that was renewed late, while a process was paused."""
    for name in paused:
        processes.signal(name, signal.SIGSTOP)
    time.sleep(0.7)  # a renewal is waiting at a paused agent
    since = changed_at(processes, event)
    time.sleep(max(0.0, since + 3.5 - time.monotonic()))
    for name in paused:
        processes.signal(name, signal.SIGCONT)
    observe(processes, since)
