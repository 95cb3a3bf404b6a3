"""The time line against real processes."""

import json
import signal

from click import testing

from cactusgauge.console import application
from emulator import cluster
from tests.system import caller


def test_timeline_shows_the_whole_life_of_a_job_in_order(processes: cluster.Cluster) -> None:
    """Guards against daemons that do not record what the time line needs, and against wrong order across processes."""
    processes.start_entry("entry-1")
    processes.start_worker(0)
    processes.start_worker(1)
    processes.wait_ready("entry-1")
    processes.wait_linked("entry-1", 2)
    submitter = caller.Caller(processes["entry-1"].http_url)
    session = submitter.open_session()
    submitter.submit(session, 1, caller.job_body(20, run_ms=20))
    environment = {"CACTUSGAUGE_ENTRY": processes["entry-1"].http_url}
    runner = testing.CliRunner()

    result = runner.invoke(application.main, ["timeline", "--format", "json", "--job", f"{session}/1"], env=environment)
    events = [json.loads(line) for line in result.stdout.splitlines()]
    assert result.exit_code == 0
    assert (events[0]["kind"], events[-1]["kind"]) == ("job_accepted", "job_finished")
    assert [event["time_s"] for event in events] == sorted(event["time_s"] for event in events)
    expected = [("entry", "task_sent"), ("agent", "task_started"), ("agent", "task_ended"), ("entry", "task_ended")]
    for task in range(20):
        own = [event for event in events if event["fields"].get("task") == task]
        assert [(event["role"], event["kind"]) for event in own] == expected

    processes.signal("agent-1", signal.SIGKILL)
    processes.wait_exit("agent-1")
    lost = runner.invoke(application.main, ["timeline", "--format", "html"], env=environment)
    assert lost.exit_code == 1
    assert "agent-1 does not answer" in lost.stderr
    assert lost.stdout.startswith("<!DOCTYPE html>")
