"""The status, timeline and drain commands against real processes."""

import json
import signal
import urllib.error
import urllib.request

import pytest
from click import testing

from cactusgauge.console import application, exit_codes
from emulator import cluster
from tests.system import caller, load


def test_commands_find_all_processes_from_one_entry_and_name_the_lost(processes: cluster.Cluster) -> None:
    """Guards against missing events, events in wrong order across processes, and lost processes that go unreported."""
    for name in ("entry-1", "entry-2"):
        processes.start_entry(name)
    for number in range(2):
        processes.start_worker(number)
    processes.wait_ready("entry-1", "entry-2")
    for name in ("entry-1", "entry-2"):
        processes.wait_peers(name, 1)
        processes.wait_linked(name, 2)
    submitter = caller.Caller(processes["entry-1"].http_url)
    session = submitter.open_session()
    submitter.submit(session, 1, caller.job_body(20, run_ms=20))

    def run(*arguments: str) -> testing.Result:
        environment = {"CACTUSGAUGE_ENTRY": processes["entry-2"].http_url}
        return testing.CliRunner().invoke(application.main, arguments, env=environment)

    status = run("status", "--json")
    found = {each["name"]: each["document"]["ready"] for each in json.loads(status.stdout)}
    assert (status.exit_code, found) == (0, dict.fromkeys(["entry-1", "entry-2", "agent-0", "agent-1"], True))

    shown = run("timeline", "--format", "json", "--job", f"{session}/1")
    events = [json.loads(line) for line in shown.stdout.splitlines()]
    assert (shown.exit_code, events[0]["kind"], events[-1]["kind"]) == (0, "job_accepted", "job_finished")
    assert [event["time_s"] for event in events] == sorted(event["time_s"] for event in events)
    expected = [("entry", "task_sent"), ("agent", "task_started"), ("agent", "task_ended"), ("entry", "task_ended")]
    for task in range(20):
        own = [event for event in events if event["fields"].get("task") == task]
        assert [(event["role"], event["kind"]) for event in own] == expected

    for name in ("entry-1", "agent-0"):
        processes.signal(name, signal.SIGKILL)
        processes.wait_exit(name)
    status = run("status")
    assert (status.exit_code, sorted(line.split()[1] for line in status.stderr.splitlines())) == (
        1,
        ["agent-0", "entry-1"],
    )
    shown = run("timeline", "--format", "html")
    assert (shown.exit_code, shown.stdout[:15]) == (1, "<!DOCTYPE html>")
    assert "agent-0 does not answer" in shown.stderr


def test_drained_processes_end_and_interrupt_nothing(processes: cluster.Cluster) -> None:
    """Guards against a drain command that interrupts jobs, or that stops a process restarted in the meantime."""
    for name in ("entry-1", "entry-2"):
        processes.start_entry(name)
    processes.start_worker(0)
    processes.wait_ready("entry-1", "entry-2")
    for name in ("entry-1", "entry-2"):
        processes.wait_peers(name, 1)
        processes.wait_linked(name, 1)
    url = processes["entry-1"].http_url

    def drain(*names: str) -> testing.Result:
        return testing.CliRunner().invoke(application.main, ["drain", *names, "--entry", url])

    assert drain("entry-1", "nosuch").exit_code == exit_codes.USAGE
    with pytest.raises(urllib.error.HTTPError, match="409"):
        urllib.request.urlopen(f"{url}/v1/drain", b"another incarnation", timeout=5)
    with load.Load(processes, ["entry-1"], callers=4) as running:
        processes.wait_until(lambda: len(running.submissions) > 4, "jobs were answered")
        assert drain("entry-2").exit_code == exit_codes.COMPLETE
        assert processes.wait_exit("entry-2") == 0
        totals = running.finish()
    assert totals.keys() <= {"complete", *load.NEW_SESSION_CODES}
    assert not running.interrupted
    assert drain("agent-0", "entry-1").exit_code == exit_codes.COMPLETE
    assert [processes.wait_exit(name) for name in ("agent-0", "entry-1")] == [0, 0]
