"""A backend server that leaves or goes silent gets no start more than 3 s later (G6)."""

import functools
import signal
import time
from collections import abc

import pytest

from emulator import cluster
from tests.system import checks, load

ENTRIES = ["entry-0", "entry-1"]
FAULT_S = 3.5  # longer than MAX_LATE_START_S, so that starts delayed by the fault would arrive too late
OBSERVED_S = 6.0
UNAFFECTED = 0
CUT_TO_ENTRIES, CUT_TO_AGENT, PAUSED, KILLED, TERMINATED, NO_OTHER_FAULT = range(1, 7)
LEAVING = (CUT_TO_ENTRIES, CUT_TO_AGENT, PAUSED, KILLED, TERMINATED, NO_OTHER_FAULT)


@pytest.fixture
def processes(tmp_path_factory: pytest.TempPathFactory) -> abc.Iterator[cluster.Cluster]:
    """Start two entries and a worker for each fault, put them under load, and check the answers at the end."""
    with cluster.Cluster(tmp_path_factory.mktemp("leaving"), proxied=True) as started:
        for name in ENTRIES:
            started.start_entry(name)
        for number in (UNAFFECTED, *LEAVING):
            started.start_worker(number)
        started.wait_ready(*ENTRIES)
        for name in ENTRIES:
            started.wait_linked(name, 1 + len(LEAVING))
            # An entry seals the sessions of an owner that it is not linked to.
            started.wait_peers(name, len(ENTRIES) - 1)
        with load.Load(started, ENTRIES, callers=16, tasks=10, run_ms=200) as running:

            def has_work(number: int) -> bool:
                running.check_callers()
                return len(started.journal(f"server-{number}")) > 8

            for number in LEAVING:
                started.wait_until(functools.partial(has_work, number), f"server-{number} has work")
            yield started
            assert running.finish()["complete"]


def change_announcement(processes: cluster.Cluster, number: int, event: str) -> float:
    """Make a server leave or go silent; return the monotonic time at which it recorded the change."""

    def find() -> list[float]:
        return [line["at"] for line in processes.journal(f"server-{number}") if line["event"] == event]

    processes.configure_server(f"server-{number}", announcing=event)
    processes.wait_until(lambda: bool(find()), f"server-{number}: {event}")
    return find()[-1]


def observe(processes: cluster.Cluster, since: dict[int, float]) -> None:
    """Watch for OBSERVED_S; check that leaving servers get no start after MAX_LATE_START_S and the unaffected one does.

    The agents of leaving servers must not be ready either: placement may happen to give a ready agent no task.
    """
    unaffected_events = len(processes.journal(f"server-{UNAFFECTED}"))
    while time.monotonic() < max(since.values()) + OBSERVED_S:
        overdue = [number for number, at in since.items() if time.monotonic() > at + checks.MAX_LATE_START_S]
        ready = [number for number in overdue if processes.get_status(f"agent-{number}", "/readyz") == 200]
        assert not ready, f"agents {ready} still accept tasks"
        time.sleep(cluster.POLL_INTERVAL_S)
    for number, at in since.items():
        checks.check_no_start_after(processes, f"server-{number}", at)
    assert len(processes.journal(f"server-{UNAFFECTED}")) > unaffected_events


def wait_fault(since: dict[int, float]) -> None:
    """Wait until the faults have lasted for FAULT_S."""
    time.sleep(max(0.0, max(since.values()) + FAULT_S - time.monotonic()))


@pytest.mark.parametrize("event", ["leave", "silent"])
def test_server_gets_no_start_after_it_left(processes: cluster.Cluster, event: str) -> None:
    """Guards against late starts: delayed on a link or in a paused agent, or under a lease renewed too late."""
    for entry in ENTRIES:
        processes.network.block(f"agent-{CUT_TO_ENTRIES}", entry)
        processes.network.block(entry, f"agent-{CUT_TO_AGENT}")
    processes.signal(f"agent-{PAUSED}", signal.SIGSTOP)
    since = {TERMINATED: time.monotonic(), KILLED: time.monotonic()}
    processes.signal(f"server-{TERMINATED}", signal.SIGTERM)
    processes.signal(f"agent-{KILLED}", signal.SIGKILL)
    time.sleep(0.7)  # until a lease renewal waits at the paused agent
    since |= {
        number: change_announcement(processes, number, event)
        for number in (CUT_TO_ENTRIES, CUT_TO_AGENT, PAUSED, NO_OTHER_FAULT)
    }
    wait_fault(since)
    processes.network.heal()
    processes.signal(f"agent-{PAUSED}", signal.SIGCONT)

    observe(processes, since)
    assert processes.wait_exit(f"server-{TERMINATED}") == 0


@pytest.mark.parametrize(("paused", "event"), [(ENTRIES[:1], "leave"), (ENTRIES, "silent")])
def test_entries_paused_while_a_server_left(processes: cluster.Cluster, paused: list[str], event: str) -> None:
    """Guards against starts that an entry sent before or after its pause to a server that left meanwhile."""
    for name in paused:
        processes.signal(name, signal.SIGSTOP)
    since = {number: change_announcement(processes, number, event) for number in (NO_OTHER_FAULT, PAUSED)}
    wait_fault(since)
    for name in paused:
        processes.signal(name, signal.SIGCONT)

    observe(processes, since)
